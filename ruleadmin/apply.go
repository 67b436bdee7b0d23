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

// Request is a change of the rules.
type ChangeRequest struct {
	// Text is the whole wanted text.
	Text string
	// Base is the version that Text was made from; 0 for an empty one.
	BaseVersion uint64
	// Author is one word, Reason one line.
	Author, Reason string
	// WriteID identifies the change. The default is derived from the other
	// fields, so that running the same request again is recognised.
	WriteID string
}

// Result is an applied change.
type ChangeResult struct {
	// Version is the one that the change is part of.
	Version uint64 `json:"version"`
	// Current is the latest version seen; it is higher than Version when other
	// changes followed.
	CurrentVersion uint64 `json:"current"`
	WriteID        string `json:"write_id"`
	// Unchanged means that the rules in force already said the same, so that
	// nothing was written.
	Unchanged bool `json:"unchanged,omitempty"`
	// Earlier means that an earlier run of the same request made the version.
	AlreadyApplied bool `json:"earlier,omitempty"`
	// Duplicates are added rules that another edit had already added.
	Duplicates []string `json:"duplicates,omitempty"`
	// Hunks lead from the version before to Version.
	Hunks []rules.Hunk `json:"hunks,omitempty"`
}

// operation is an Apply under way.
type pendingChange struct {
	ChangeRequest
	admin     *Admin
	createdAt time.Time
	// lost is true while a write without an answer may still take effect; it
	// expected the object version lostAt.
	putAmbiguous        bool
	ambiguousPutVersion uint64
	putSent             bool // some write of this run was sent
	knownRecords        map[uint64]VersionRecord
}

// Apply merges a change into the rules in force and returns when the store has
// confirmed the version that holds it. A write whose answer is lost is resolved
// by reading the version in force and the history: the write id tells whether it
// took effect, also when later changes followed. It is only written again under
// the same object version, so that it takes effect at most once.
//
// Apply fails with ErrRequest, rules.ErrInvalid, ErrTooLarge, *ConflictError,
// ErrTooOld, ErrNotFound (unknown base), ErrUnavailable or ErrCorrupt, all
// without effect, or with ErrUnknown.
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

// deriveID hashes what identifies a change. 16 bytes suffice: ids are only
// compared within the history.
func deriveWriteID(r ChangeRequest) string {
	sum := sha256Hex(fmt.Sprintf("%d\n%s\n%s\n%s", r.BaseVersion, r.Author, r.Reason, r.Text))
	return sum[:hex.EncodedLen(16)]
}

// round reads the version in force and either recognises the change in it or
// tries to write it once.
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
		// The lost write can no longer take effect, and no version is it.
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
		// Another change came first: read again.
		return ChangeResult{}, errConcurrentChange
	}
	if err != nil {
		return ChangeResult{}, err
	}
	p.putAmbiguous = false
	result.Version, result.CurrentVersion, result.Hunks = nextRecord.Version, nextRecord.Version, nextRecord.Hunks
	return result, nil
}

// errAgain asks for another round; it counts as a refused call when the tries
// are used up.
var errConcurrentChange = fmt.Errorf("%w: other changes kept coming first", objectstore.ErrUnavailable)

// merge returns the wanted text together with the edits since the base.
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

// revived returns lines that the change would add although a version after the
// base had them and removed them again. A merge does not see them, because the
// base and the version in force agree.
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

// refusal adds the version of the other edit, and its author and reason when
// the line is gone and names nobody.
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

// Preview returns what Apply would change in the version in force, without
// writing. Its errors are those of Apply except ErrUnknown.
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

// Edit applies a change that is computed from the version in force, for
// example a drain. edit must not have side effects. Errors are those of Apply
// and of edit.
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
