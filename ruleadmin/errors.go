package ruleadmin

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/arbutusline/arbutusline/objectstore"
	"github.com/arbutusline/arbutusline/rules"
)

// Errors of Admin. Invalid text fails with rules.ErrInvalid.
var (
	// ErrRequest means that a request lacks its author or reason.
	ErrInvalidRequest = errors.New("request is incomplete")
	// ErrConflict means that other edits forbid the change. It had no effect.
	ErrConflict = errors.New("change conflicts with other edits")
	// ErrUnavailable means that the store could not be used. The change had no
	// effect.
	ErrStoreUnavailable = errors.New("rules store is unavailable")
	// ErrUnknown means that an answer was lost and the store could not be read
	// afterwards: the change may be in force. Applying the same request again
	// finds out and never applies it twice.
	ErrOutcomeUnknown = errors.New("outcome of the change is unknown")
	// ErrNotFound means that the version does not exist or is no longer kept.
	ErrVersionNotFound = errors.New("version is not in the history")
	// ErrTooOld means that more versions than can be compared lie between the
	// base of an edit and the rules in force. The change had no effect.
	ErrBaseTooOld = errors.New("base version is too old")
	// ErrTooLarge means that the rules exceed what the store holds.
	ErrRulesTooLarge = errors.New("rules are too large for the object store")
	// ErrCorrupt means that a stored object is not what ruleadmin wrote.
	ErrCorrupt = errors.New("stored rules are corrupt")
)

// Refusal is one line of a change that other edits forbid.
type LineConflict struct {
	rules.Conflict
	// Version is the latest one that edited the line, 0 when not known.
	LastEditVersion uint64 `json:"version"`
}

// ConflictError lists why a change was refused. It is an ErrConflict.
type ConflictError struct {
	// Current is the version in force that the change conflicts with.
	CurrentVersion uint64
	// Lines are the lines that both sides edited.
	Conflicts []LineConflict
	// Invalid is set when all lines merge but the result has faults.
	MergedTextErr error
}

// Error returns one line per refused line or fault.
func (e *ConflictError) Error() string {
	if e.MergedTextErr != nil {
		return fmt.Sprintf("together with the other edits up to version %d the rules are invalid:\n%v", e.CurrentVersion, e.MergedTextErr)
	}
	lines := make([]string, len(e.Conflicts))
	for i, l := range e.Conflicts {
		lines[i] = l.String()
		if l.Author != "" {
			lines[i] += fmt.Sprintf(" (%s: %s", l.Author, l.Reason)
			if l.LastEditVersion > 0 {
				lines[i] += fmt.Sprintf(", version %d", l.LastEditVersion)
			}
			lines[i] += ")"
		}
	}
	return strings.Join(lines, "\n")
}

// Is reports whether target is ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// transient reports whether a call of the store may succeed later.
func isTransient(err error) bool {
	return errors.Is(err, objectstore.ErrUnavailable) || errors.Is(err, objectstore.ErrRateLimited) ||
		errors.Is(err, objectstore.ErrAmbiguous)
}

// translate turns an error of the store into one of this package.
func translateStoreError(err error) error {
	switch {
	case err == nil:
		return nil
	case isTransient(err):
		return fmt.Errorf("%w: %w", ErrStoreUnavailable, err)
	case errors.Is(err, objectstore.ErrTooLarge):
		return fmt.Errorf("%w: %w", ErrRulesTooLarge, err)
	}
	return err
}
