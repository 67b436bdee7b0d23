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

var errConflict = objectstore.ErrConflict

// Request is a change of the rules.
type Request struct {
	// Text is the whole wanted text.
	Text string
	// Base is the version that Text was made from; 0 for an empty one.
	Base uint64
	// Author is one word, Reason one line.
	Author, Reason string
	// WriteID identifies the change. The default is derived from the other
	// fields, so that running the same request again is recognised.
	WriteID string
}

// Result is an applied change.
type Result struct {
	// Version is the one that the change is part of.
	Version uint64 `json:"version"`
	// Current is the latest version seen; it is higher than Version when other
	// changes followed.
	Current uint64 `json:"current"`
	WriteID string `json:"write_id"`
	// Unchanged means that the rules in force already said the same, so that
	// nothing was written.
	Unchanged bool `json:"unchanged,omitempty"`
	// Earlier means that an earlier run of the same request made the version.
	Earlier bool `json:"earlier,omitempty"`
	// Duplicates are added rules that another edit had already added.
	Duplicates []string `json:"duplicates,omitempty"`
	// Hunks lead from the version before to Version.
	Hunks []rules.Hunk `json:"hunks,omitempty"`
}

// operation is an Apply under way.
type operation struct {
	Request
	admin *Admin
	at    time.Time
	// lost is true while a write without an answer may still take effect; it
	// expected the object version lostAt.
	lost   bool
	lostAt uint64
	wrote  bool // some write of this run was sent
	known  map[uint64]Record
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
func (a *Admin) Apply(ctx context.Context, req Request) (Result, error) {
	if err := req.check(); err != nil {
		return Result{}, err
	}
	op := &operation{Request: req, admin: a, at: a.options.Now().UTC(), known: map[uint64]Record{}}
	if op.WriteID == "" {
		op.WriteID = deriveID(req)
	}
	var result Result
	err := a.retry(ctx, func() (err error) {
		result, err = op.round(ctx)
		return err
	})
	if err == nil {
		if !result.Unchanged {
			a.prune(ctx, result.Current)
		}
		return result, nil
	}
	if op.lost {
		return Result{WriteID: op.WriteID}, fmt.Errorf("%w: write id %s: %w", ErrUnknown, op.WriteID, err)
	}
	return Result{WriteID: op.WriteID}, translate(err)
}

func (r Request) check() error {
	switch {
	case r.Author == "" || strings.ContainsFunc(r.Author, func(c rune) bool { return !unicode.IsGraphic(c) || unicode.IsSpace(c) }):
		return fmt.Errorf("%w: the author must be one word, not %q", ErrRequest, r.Author)
	case strings.TrimSpace(r.Reason) == "" || strings.ContainsFunc(r.Reason, unicode.IsControl):
		return fmt.Errorf("%w: the reason must be one line, not %q", ErrRequest, r.Reason)
	}
	_, err := rules.Compile("rules", 0, r.Text)
	return err
}

// deriveID hashes what identifies a change. 16 bytes suffice: ids are only
// compared within the history.
func deriveID(r Request) string {
	sum := digest(fmt.Sprintf("%d\n%s\n%s\n%s", r.Base, r.Author, r.Reason, r.Text))
	return sum[:hex.EncodedLen(16)]
}

// round reads the version in force and either recognises the change in it or
// tries to write it once.
func (op *operation) round(ctx context.Context) (Result, error) {
	current, at, err := op.admin.readCurrent(ctx)
	if err != nil {
		return Result{}, err
	}
	v := &versions{admin: op.admin, current: current, known: op.known}
	if err := op.checkBase(current.Version); err != nil {
		return Result{}, err
	}
	found, ok, err := v.find(ctx, op.WriteID, op.Base)
	if ok {
		op.lost = false
		return Result{
			Version: found.Version, Current: current.Version, WriteID: op.WriteID,
			Earlier: !op.wrote, Duplicates: found.Duplicates, Hunks: found.Hunks,
		}, nil
	}
	if err != nil {
		return Result{}, err
	}
	if op.lost && at != op.lostAt {
		// The lost write can no longer take effect, and no version is it.
		op.lost = false
	}
	return op.write(ctx, v, at)
}

func (op *operation) checkBase(current uint64) error {
	if op.Base > current {
		return fmt.Errorf("%w: base version %d, the latest is %d", ErrNotFound, op.Base, current)
	}
	if current-op.Base > maxSpan {
		return fmt.Errorf("%w: version %d is %d behind, at most %d can be merged",
			ErrTooOld, op.Base, current-op.Base, maxSpan)
	}
	return nil
}

func (op *operation) write(ctx context.Context, v *versions, at uint64) (Result, error) {
	merged, err := op.merge(ctx, v)
	if err != nil {
		return Result{}, err
	}
	result := Result{Version: v.current.Version, Current: v.current.Version, WriteID: op.WriteID, Duplicates: merged.Duplicates}
	if merged.Text == v.current.Text {
		result.Unchanged = true
		return result, nil
	}
	next := newRecord(v.current, op, merged)
	value, err := next.Encode()
	if err != nil {
		return Result{}, err
	}
	if err := op.admin.archive(ctx, v.current); err != nil {
		return Result{}, err
	}
	op.wrote = true
	_, err = op.admin.store.Put(ctx, CurrentKey, value, at)
	switch {
	case errors.Is(err, objectstore.ErrAmbiguous):
		op.lost, op.lostAt = true, at
	case errors.Is(err, objectstore.ErrConflict):
		// Another change came first: read again.
		return Result{}, errAgain
	}
	if err != nil {
		return Result{}, err
	}
	op.lost = false
	result.Version, result.Current, result.Hunks = next.Version, next.Version, next.Hunks
	return result, nil
}

// errAgain asks for another round; it counts as a refused call when the tries
// are used up.
var errAgain = fmt.Errorf("%w: other changes kept coming first", objectstore.ErrUnavailable)

// merge returns the wanted text together with the edits since the base.
func (op *operation) merge(ctx context.Context, v *versions) (rules.MergeResult, error) {
	base, err := v.text(ctx, op.Base)
	if err != nil {
		return rules.MergeResult{}, err
	}
	merged := rules.Merge(base, op.Text, v.current.Text)
	revived, err := op.revived(ctx, v, merged.Text)
	if err != nil {
		return merged, err
	}
	merged.Conflicts = append(merged.Conflicts, revived...)
	if len(merged.Conflicts) > 0 {
		refused := &ConflictError{Current: v.current.Version}
		for _, c := range merged.Conflicts {
			refused.Lines = append(refused.Lines, op.refusal(ctx, v, c))
		}
		return merged, refused
	}
	if _, err := rules.Compile("rules", v.current.Version+1, merged.Text); err != nil {
		return merged, &ConflictError{Current: v.current.Version, Invalid: err}
	}
	return merged, nil
}

// revived returns lines that the change would add although a version after the
// base had them and removed them again. A merge does not see them, because the
// base and the version in force agree.
func (op *operation) revived(ctx context.Context, v *versions, text string) ([]rules.Conflict, error) {
	inForce, added := map[string]bool{}, map[string]rules.Line{}
	for _, l := range rules.Lines(v.current.Text) {
		inForce[l.Text] = true
	}
	for _, l := range rules.Lines(text) {
		if l.Rule != "" && !inForce[l.Text] {
			added[l.Text] = l
		}
	}
	var conflicts []rules.Conflict
	for n := v.current.Version; n > op.Base && len(added) > 0; n-- {
		hunks, err := v.changes(ctx, n)
		if err != nil {
			return nil, err
		}
		for _, h := range hunks {
			for _, removed := range h.Removed {
				if l, ok := added[removed]; ok {
					delete(added, removed)
					conflicts = append(conflicts, rules.Conflict{Base: l.Text, Mine: l.Text, Key: l.Key()})
				}
			}
		}
	}
	return conflicts, nil
}

// refusal adds the version of the other edit, and its author and reason when
// the line is gone and names nobody.
func (op *operation) refusal(ctx context.Context, v *versions, c rules.Conflict) Refusal {
	r := Refusal{Conflict: c}
	if editor, ok := v.editor(ctx, c.Key, op.Base); ok {
		r.Version = editor.Version
		if r.Author == "" {
			r.Author, r.Reason = editor.Author, editor.Reason
		}
	}
	return r
}

// Preview returns what Apply would change in the version in force, without
// writing. Its errors are those of Apply except ErrUnknown.
func (a *Admin) Preview(ctx context.Context, req Request) (Result, error) {
	if _, err := rules.Compile("rules", 0, req.Text); err != nil {
		return Result{}, err
	}
	var result Result
	err := a.retry(ctx, func() error {
		current, _, err := a.readCurrent(ctx)
		if err != nil {
			return err
		}
		op := &operation{Request: req, admin: a}
		if err := op.checkBase(current.Version); err != nil {
			return err
		}
		merged, err := op.merge(ctx, newVersions(a, current))
		result = Result{
			Version: current.Version, Current: current.Version, Unchanged: merged.Text == current.Text,
			Duplicates: merged.Duplicates, Hunks: rules.Diff(current.Text, merged.Text),
		}
		return err
	})
	return result, translate(err)
}

// Edit applies a change that is computed from the version in force, for
// example a drain. edit must not have side effects. Errors are those of Apply
// and of edit.
func (a *Admin) Edit(ctx context.Context, author, reason string, edit func(text string) (string, error)) (Result, error) {
	current, err := a.Current(ctx)
	if err != nil {
		return Result{}, err
	}
	text, err := edit(current.Text)
	if err != nil {
		return Result{}, err
	}
	return a.Apply(ctx, Request{Text: text, Base: current.Version, Author: author, Reason: reason})
}
