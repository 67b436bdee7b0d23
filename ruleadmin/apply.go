package ruleadmin

import (
	"context"
	"encoding/hex"
	"fmt"
	"strings"
	"time"
	"unicode"

	"github.com/cockroachdb/errors"

	"github.com/arbutusline/arbutusline/objectstore"
	"github.com/arbutusline/arbutusline/rules"
)

var errObjectConflict = objectstore.ErrConflict

// ChangeRequest is a requested change of the rules.
type ChangeRequest struct {
	// Text is the whole text of the changed rules.
	Text string
	// BaseVersion is the version that Text was edited from; 0 means empty rules.
	BaseVersion uint64
	// Author must be one word, Reason one line.
	Author, Reason string
	// WriteID identifies the change, so that repeating a request does not apply it
	// twice. Default: a hash of the other fields.
	WriteID string
}

// ChangeResult is the result of an applied change.
type ChangeResult struct {
	// Version is the version that contains the change.
	Version uint64 `json:"version"`
	// CurrentVersion is the latest version read. It is higher than Version when
	// other changes followed.
	CurrentVersion uint64 `json:"current"`
	WriteID        string `json:"write_id"`
	// Unchanged means that the merged text equals the current one, so nothing was
	// written.
	Unchanged bool `json:"unchanged,omitempty"`
	// AlreadyApplied means that an earlier call with the same write ID created
	// Version.
	AlreadyApplied bool `json:"earlier,omitempty"`
	// Duplicates are added lines whose rules another change had already added.
	Duplicates []string `json:"duplicates,omitempty"`
	// Hunks are the changes between the previous version and Version.
	Hunks []rules.Hunk `json:"hunks,omitempty"`
}

// pendingChange is the state of one call of Apply or Preview.
type pendingChange struct {
	ChangeRequest
	admin     *Admin
	createdAt time.Time
	// putAmbiguous is true while a write with an unknown outcome may have taken
	// effect or may still do so. ambiguousPutVersion is the object version that this
	// write expected.
	putAmbiguous        bool
	ambiguousPutVersion uint64
	putSent             bool // this call has sent a write of CurrentKey
	knownRecords        map[uint64]VersionRecord
}

// Apply merges a change into the current rules and returns when the store has
// confirmed the version that contains it. When the response to a write is lost,
// Apply searches the current version and the history for the write ID, which shows
// whether the write took effect, also when later changes followed. Otherwise it
// writes again. Every write is conditional on the object version read before it, so
// the change takes effect at most once.
//
// Apply fails with ErrInvalidRequest, rules.ErrInvalid, ErrRulesTooLarge,
// *ConflictError, ErrBaseTooOld, ErrVersionNotFound (unknown base version),
// ErrStoreUnavailable or ErrCorrupt, all without effect, or with ErrOutcomeUnknown.
func (a *Admin) Apply(ctx context.Context, req ChangeRequest) (ChangeResult, error) {
	if err := req.validate(); err != nil {
		return ChangeResult{}, err
	}
	change := &pendingChange{ChangeRequest: req, admin: a, createdAt: a.options.Now().UTC(), knownRecords: map[uint64]VersionRecord{}}
	if change.WriteID == "" {
		change.WriteID = deriveWriteID(req)
	}
	var result ChangeResult
	err := a.retry(ctx, func() (err error) {
		result, err = change.attempt(ctx)
		return err
	})
	if err == nil {
		if !result.Unchanged {
			a.pruneHistory(ctx, result.CurrentVersion)
		}
		return result, nil
	}
	if change.putAmbiguous {
		return ChangeResult{WriteID: change.WriteID}, fmt.Errorf("%w: write id %s: %w", ErrOutcomeUnknown, change.WriteID, err)
	}
	return ChangeResult{WriteID: change.WriteID}, translateStoreError(err)
}

func (r ChangeRequest) validate() error {
	switch {
	case r.Author == "" || strings.ContainsFunc(r.Author, func(char rune) bool { return !unicode.IsGraphic(char) || unicode.IsSpace(char) }):
		return fmt.Errorf("%w: the author must be one word, not %q", ErrInvalidRequest, r.Author)
	case strings.TrimSpace(r.Reason) == "" || strings.ContainsFunc(r.Reason, unicode.IsControl):
		return fmt.Errorf("%w: the reason must be one line, not %q", ErrInvalidRequest, r.Reason)
	}
	_, err := rules.Compile("rules", 0, r.Text)
	return err
}

// deriveWriteID returns a hash of base version, author, reason and text. 16 bytes
// are enough because IDs are only compared within the history.
func deriveWriteID(r ChangeRequest) string {
	sum := sha256Hex(fmt.Sprintf("%d\n%s\n%s\n%s", r.BaseVersion, r.Author, r.Reason, r.Text))
	return sum[:hex.EncodedLen(16)]
}

// attempt reads the current version. When a version after the base has the write ID,
// attempt returns that version; otherwise it sends one write.
func (p *pendingChange) attempt(ctx context.Context) (ChangeResult, error) {
	current, objectVersion, err := p.admin.readCurrent(ctx)
	if err != nil {
		return ChangeResult{}, err
	}
	reader := &versionReader{admin: p.admin, current: current, knownRecords: p.knownRecords}
	if err := p.checkBaseVersion(current.Version); err != nil {
		return ChangeResult{}, err
	}
	found, ok, err := reader.findWriteID(ctx, p.WriteID, p.BaseVersion)
	if ok {
		p.putAmbiguous = false
		return ChangeResult{
			Version: found.Version, CurrentVersion: current.Version, WriteID: p.WriteID,
			AlreadyApplied: !p.putSent, Duplicates: found.Duplicates, Hunks: found.Hunks,
		}, nil
	}
	if err != nil {
		return ChangeResult{}, err
	}
	if p.putAmbiguous && objectVersion != p.ambiguousPutVersion {
		// The object version has changed since the ambiguous write was sent, so the
		// write can no longer take effect, and no version has its write ID.
		p.putAmbiguous = false
	}
	return p.writeMerged(ctx, reader, objectVersion)
}

func (p *pendingChange) checkBaseVersion(currentVersion uint64) error {
	if p.BaseVersion > currentVersion {
		return fmt.Errorf("%w: base version %d, the latest is %d", ErrVersionNotFound, p.BaseVersion, currentVersion)
	}
	if currentVersion-p.BaseVersion > maxVersionsBehind {
		return fmt.Errorf("%w: version %d is %d behind, at most %d can be merged",
			ErrBaseTooOld, p.BaseVersion, currentVersion-p.BaseVersion, maxVersionsBehind)
	}
	return nil
}

func (p *pendingChange) writeMerged(ctx context.Context, reader *versionReader, objectVersion uint64) (ChangeResult, error) {
	merged, err := p.merge(ctx, reader)
	if err != nil {
		return ChangeResult{}, err
	}
	result := ChangeResult{Version: reader.current.Version, CurrentVersion: reader.current.Version, WriteID: p.WriteID, Duplicates: merged.Duplicates}
	if merged.Text == reader.current.Text {
		result.Unchanged = true
		return result, nil
	}
	nextRecord := newVersionRecord(reader.current, p, merged)
	value, err := nextRecord.Encode()
	if err != nil {
		return ChangeResult{}, err
	}
	if err := p.admin.archiveVersion(ctx, reader.current); err != nil {
		return ChangeResult{}, err
	}
	p.putSent = true
	_, err = p.admin.store.Put(ctx, CurrentKey, value, objectVersion)
	switch {
	case errors.Is(err, objectstore.ErrAmbiguous):
		p.putAmbiguous, p.ambiguousPutVersion = true, objectVersion
	case errors.Is(err, objectstore.ErrConflict):
		// Another change was written since the read: read again.
		return ChangeResult{}, errConcurrentChange
	}
	if err != nil {
		return ChangeResult{}, err
	}
	p.putAmbiguous = false
	result.Version, result.CurrentVersion, result.Hunks = nextRecord.Version, nextRecord.Version, nextRecord.Hunks
	return result, nil
}

// errConcurrentChange makes retry start another attempt. It wraps ErrUnavailable, so
// that Apply fails with ErrStoreUnavailable when this was the last attempt.
var errConcurrentChange = fmt.Errorf("%w: other changes kept coming first", objectstore.ErrUnavailable)

// merge merges the requested text with the changes since the base version.
func (p *pendingChange) merge(ctx context.Context, reader *versionReader) (rules.MergeResult, error) {
	baseText, err := reader.text(ctx, p.BaseVersion)
	if err != nil {
		return rules.MergeResult{}, err
	}
	merged := rules.Merge(baseText, p.Text, reader.current.Text)
	reintroduced, err := p.reintroducedLines(ctx, reader, merged.Text)
	if err != nil {
		return merged, err
	}
	merged.Conflicts = append(merged.Conflicts, reintroduced...)
	if len(merged.Conflicts) > 0 {
		conflictErr := &ConflictError{CurrentVersion: reader.current.Version}
		for _, conflict := range merged.Conflicts {
			conflictErr.Conflicts = append(conflictErr.Conflicts, p.lineConflict(ctx, reader, conflict))
		}
		return merged, conflictErr
	}
	if _, err := rules.Compile("rules", reader.current.Version+1, merged.Text); err != nil {
		return merged, &ConflictError{CurrentVersion: reader.current.Version, MergedTextErr: err}
	}
	return merged, nil
}

// reintroducedLines returns a conflict for each line that the change would add
// although a version after the base removed it. A three-way merge cannot detect
// these: the line is missing from both the base and the current version when it was
// added and removed in between.
func (p *pendingChange) reintroducedLines(ctx context.Context, reader *versionReader, mergedText string) ([]rules.Conflict, error) {
	currentLines, addedLines := map[string]bool{}, map[string]rules.Line{}
	for _, l := range rules.Lines(reader.current.Text) {
		currentLines[l.Text] = true
	}
	for _, l := range rules.Lines(mergedText) {
		if l.Rule != "" && !currentLines[l.Text] {
			addedLines[l.Text] = l
		}
	}
	var conflicts []rules.Conflict
	for version := reader.current.Version; version > p.BaseVersion && len(addedLines) > 0; version-- {
		hunks, err := reader.hunksOf(ctx, version)
		if err != nil {
			return nil, err
		}
		for _, h := range hunks {
			for _, removed := range h.Removed {
				if l, ok := addedLines[removed]; ok {
					delete(addedLines, removed)
					conflicts = append(conflicts, rules.Conflict{Base: l.Text, Mine: l.Text, Key: l.Key()})
				}
			}
		}
	}
	return conflicts, nil
}

// lineConflict adds the version that last edited the line. It also adds the author
// and reason of that version when the line was removed, because then no comment
// names them.
func (p *pendingChange) lineConflict(ctx context.Context, reader *versionReader, conflict rules.Conflict) LineConflict {
	line := LineConflict{Conflict: conflict}
	if lastEdit, ok := reader.lastEdit(ctx, conflict.Key, p.BaseVersion); ok {
		line.LastEditVersion = lastEdit.Version
		if line.Author == "" {
			line.Author, line.Reason = lastEdit.Author, lastEdit.Reason
		}
	}
	return line
}

// Preview returns what Apply would change in the current version, without writing.
// Its errors are those of Apply except ErrOutcomeUnknown.
func (a *Admin) Preview(ctx context.Context, req ChangeRequest) (ChangeResult, error) {
	if _, err := rules.Compile("rules", 0, req.Text); err != nil {
		return ChangeResult{}, err
	}
	var result ChangeResult
	err := a.retry(ctx, func() error {
		current, _, err := a.readCurrent(ctx)
		if err != nil {
			return err
		}
		change := &pendingChange{ChangeRequest: req, admin: a}
		if err := change.checkBaseVersion(current.Version); err != nil {
			return err
		}
		merged, err := change.merge(ctx, newVersionReader(a, current))
		result = ChangeResult{
			Version: current.Version, CurrentVersion: current.Version, Unchanged: merged.Text == current.Text,
			Duplicates: merged.Duplicates, Hunks: rules.Diff(current.Text, merged.Text),
		}
		return err
	})
	return result, translateStoreError(err)
}

// Edit applies a change that edit computes from the text of the current version, for
// example a drain. edit must not have side effects. Errors are those of Apply and of
// edit.
func (a *Admin) Edit(ctx context.Context, author, reason string, edit func(text string) (string, error)) (ChangeResult, error) {
	current, err := a.Current(ctx)
	if err != nil {
		return ChangeResult{}, err
	}
	text, err := edit(current.Text)
	if err != nil {
		return ChangeResult{}, err
	}
	return a.Apply(ctx, ChangeRequest{Text: text, BaseVersion: current.Version, Author: author, Reason: reason})
}
