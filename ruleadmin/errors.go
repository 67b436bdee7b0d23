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
	// ErrInvalidRequest means that the author or reason is missing or malformed.
	ErrInvalidRequest = errors.New("request is incomplete")
	// ErrConflict means that the change conflicts with changes made after its base
	// version. It had no effect.
	ErrConflict = errors.New("change conflicts with other edits")
	// ErrStoreUnavailable means that the object store could not be read or written.
	// The change had no effect.
	ErrStoreUnavailable = errors.New("rules store is unavailable")
	// ErrOutcomeUnknown means that the response to a write was lost and the store
	// could not be read afterwards: the change may have taken effect. Applying the
	// same request again resolves this and never applies it twice.
	ErrOutcomeUnknown = errors.New("outcome of the change is unknown")
	// ErrVersionNotFound means that the version does not exist or has been pruned.
	ErrVersionNotFound = errors.New("version is not in the history")
	// ErrBaseTooOld means that the base version of a change is more than
	// maxVersionsBehind versions behind the current one. The change had no effect.
	ErrBaseTooOld = errors.New("base version is too old")
	// ErrRulesTooLarge means that the rules exceed the largest value that the
	// object store accepts.
	ErrRulesTooLarge = errors.New("rules are too large for the object store")
	// ErrCorrupt means that the stored objects are damaged or contradict each other.
	ErrCorrupt = errors.New("stored rules are corrupt")
)

// LineConflict is a conflict in one line, with the version that caused it.
type LineConflict struct {
	rules.Conflict
	// LastEditVersion is the latest version that edited the line, 0 when unknown.
	LastEditVersion uint64 `json:"version"`
}

// ConflictError lists why a change cannot be merged. It matches ErrConflict.
type ConflictError struct {
	// CurrentVersion is the version that the change was merged with.
	CurrentVersion uint64
	// Conflicts are the lines that cannot be merged.
	Conflicts []LineConflict
	// MergedTextErr is set when all lines merge but the merged rules are invalid.
	MergedTextErr error
}

// Error returns one line per conflict, or the problems of the merged rules.
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

// isTransient reports whether a store call that failed with err may succeed when
// repeated.
func isTransient(err error) bool {
	return errors.Is(err, objectstore.ErrUnavailable) || errors.Is(err, objectstore.ErrRateLimited) ||
		errors.Is(err, objectstore.ErrAmbiguous)
}

// translateStoreError wraps an error of the object store in an error of this package.
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
