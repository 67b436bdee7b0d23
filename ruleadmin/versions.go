package ruleadmin

import (
	"context"
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/arbutusline/arbutusline/rules"
)

// versionReader reads versions up to current and caches them, because a version
// never changes.
type versionReader struct {
	admin        *Admin
	current      VersionRecord
	knownRecords map[uint64]VersionRecord
}

func newVersionReader(a *Admin, current VersionRecord) *versionReader {
	return &versionReader{admin: a, current: current, knownRecords: map[uint64]VersionRecord{}}
}

func (v *versionReader) record(ctx context.Context, version uint64) (VersionRecord, error) {
	if version == v.current.Version {
		return v.current, nil
	}
	if version == 0 {
		return VersionRecord{HasText: true, TextSHA256: sha256Hex("")}, nil
	}
	if version > v.current.Version {
		return VersionRecord{}, fmt.Errorf("%w: version %d, the latest is %d", ErrVersionNotFound, version, v.current.Version)
	}
	if r, ok := v.knownRecords[version]; ok {
		return r, nil
	}
	r, err := v.admin.readHistoryVersion(ctx, version)
	if err == nil {
		v.knownRecords[version] = r
	}
	return r, err
}

// text returns the text of a version. It applies inverted hunks to the current text
// when fewer versions lie in between, otherwise hunks to the closest snapshot below.
func (v *versionReader) text(ctx context.Context, version uint64) (string, error) {
	target, err := v.record(ctx, version)
	if err != nil || target.HasText {
		return target.Text, err
	}
	var text string
	if v.current.Version-version <= version%versionsPerSnapshot {
		text, err = v.textFromCurrent(ctx, version)
	}
	if text == "" && err == nil {
		text, err = v.textFromSnapshot(ctx, version)
	}
	if err == nil && sha256Hex(text) != target.TextSHA256 {
		err = fmt.Errorf("%w: text of version %d", ErrCorrupt, version)
	}
	return text, err
}

// textFromCurrent returns "" when a version in between has no hunks.
func (v *versionReader) textFromCurrent(ctx context.Context, version uint64) (string, error) {
	text := v.current.Text
	for n := v.current.Version; n > version; n-- {
		r, err := v.record(ctx, n)
		if err != nil || len(r.Hunks) == 0 {
			return "", err
		}
		if text, err = applyHunks(text, rules.Invert(r.Hunks), n); err != nil {
			return "", err
		}
	}
	return text, nil
}

func (v *versionReader) textFromSnapshot(ctx context.Context, version uint64) (string, error) {
	var deltas []VersionRecord
	text := ""
	for n := version; ; n-- {
		r, err := v.record(ctx, n)
		if err != nil {
			return "", err
		}
		if r.HasText {
			text = r.Text
			break
		}
		deltas = append(deltas, r)
	}
	for _, r := range slices.Backward(deltas) {
		var err error
		if text, err = applyHunks(text, r.Hunks, r.Version); err != nil {
			return "", err
		}
	}
	return text, nil
}

func applyHunks(text string, hunks []rules.Hunk, version uint64) (string, error) {
	patched, err := rules.Patch(text, hunks)
	if err != nil {
		return "", fmt.Errorf("%w: changes of version %d: %w", ErrCorrupt, version, err)
	}
	return patched, nil
}

// findWriteID searches the versions after baseVersion, newest first, for a write ID.
// It fails with ErrVersionNotFound when one of them is missing.
func (v *versionReader) findWriteID(ctx context.Context, writeID string, baseVersion uint64) (VersionRecord, bool, error) {
	for n := v.current.Version; n > baseVersion; n-- {
		r, err := v.record(ctx, n)
		if err != nil || r.WriteID == writeID {
			return r, err == nil, err
		}
	}
	return VersionRecord{}, false, nil
}

// lastEdit returns the latest version after baseVersion that edited a line with the
// given rule key.
func (v *versionReader) lastEdit(ctx context.Context, key string, baseVersion uint64) (VersionRecord, bool) {
	for n := v.current.Version; n > baseVersion; n-- {
		hunks, err := v.hunksOf(ctx, n)
		if err != nil {
			return VersionRecord{}, false
		}
		for _, h := range hunks {
			if changesKey(h, key) {
				r, err := v.record(ctx, n)
				return r, err == nil
			}
		}
	}
	return VersionRecord{}, false
}

// hunksOf returns the hunks of a version and computes them when its record has none.
func (v *versionReader) hunksOf(ctx context.Context, version uint64) ([]rules.Hunk, error) {
	r, err := v.record(ctx, version)
	if err != nil || len(r.Hunks) > 0 {
		return r.Hunks, err
	}
	before, err := v.text(ctx, version-1)
	if err != nil {
		return nil, err
	}
	after, err := v.text(ctx, version)
	return rules.Diff(before, after), err
}

func changesKey(h rules.Hunk, key string) bool {
	for _, lines := range [][]string{h.Removed, h.Added} {
		for _, text := range lines {
			for _, l := range rules.Lines(text) {
				if key != "" && l.Key() == key {
					return true
				}
			}
		}
	}
	return false
}

// archiveVersion writes a version to the history before it is replaced, so that
// every version below the current one is in the history until it is pruned.
func (a *Admin) archiveVersion(ctx context.Context, r VersionRecord) error {
	if r.Version == 0 {
		return nil
	}
	value, err := r.historyForm().Encode()
	if err != nil {
		return err
	}
	_, err = a.store.Put(ctx, HistoryKey(r.Version), value, 0)
	if err == nil || !errors.Is(err, errObjectConflict) {
		return err
	}
	archived, err := a.readHistoryVersion(ctx, r.Version)
	if err == nil && archived.WriteID != r.WriteID {
		return fmt.Errorf("%w: %s belongs to another write", ErrCorrupt, HistoryKey(r.Version))
	}
	return err
}
