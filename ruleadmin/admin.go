package ruleadmin

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusline/arbutusline/objectstore"
	"github.com/arbutusline/arbutusline/rules"
)

// Options tune an Admin. Zero fields take their defaults.
type Options struct {
	// Tries bounds the rounds of reading and writing of one call. Default 16.
	MaxAttempts int
	// Pause is the wait after the first failed call; it doubles up to
	// MaxPause. Defaults 100ms and 2s: 16 tries last about 20 s.
	InitialBackoff, MaxBackoff time.Duration
	// Sleep waits. Default: real time.
	Sleep func(ctx context.Context, d time.Duration) error
	// Now returns the time that records carry. Default time.Now.
	Now func() time.Time
}

const (
	defaultMaxAttempts    = 16
	defaultInitialBackoff = 100 * time.Millisecond
	defaultMaxBackoff     = 2 * time.Second
)

// Admin changes and reads the rules in a store. It is safe for concurrent use.
type Admin struct {
	store   objectstore.Store
	options Options
}

// New returns an Admin.
func New(store objectstore.Store, options Options) *Admin {
	if options.MaxAttempts == 0 {
		options.MaxAttempts = defaultMaxAttempts
	}
	if options.InitialBackoff == 0 {
		options.InitialBackoff = defaultInitialBackoff
	}
	if options.MaxBackoff == 0 {
		options.MaxBackoff = defaultMaxBackoff
	}
	if options.Sleep == nil {
		options.Sleep = sleep
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Admin{store: store, options: options}
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// retry runs f until it succeeds, fails for good or the tries are used up.
func (a *Admin) retry(ctx context.Context, call func() error) error {
	backoff := a.options.InitialBackoff
	for attempt := 1; ; attempt++ {
		err := call()
		if err == nil || !isTransient(err) || attempt >= a.options.MaxAttempts {
			return err
		}
		if a.options.Sleep(ctx, backoff) != nil {
			return err
		}
		backoff = min(2*backoff, a.options.MaxBackoff)
	}
}

// readCurrent returns the version in force and the object version of its key.
// Without rules both are 0.
func (a *Admin) readCurrent(ctx context.Context) (VersionRecord, uint64, error) {
	object, err := a.store.Get(ctx, CurrentKey)
	if errors.Is(err, objectstore.ErrNotFound) {
		return a.initialRecord(ctx)
	}
	if err != nil {
		return VersionRecord{}, 0, err
	}
	record, err := DecodeVersionRecord(object.Value)
	if err == nil && !record.HasText && record.TextSHA256 == "" {
		// Written by hand or by a tool that only knows version and text.
		record.HasText, record.TextSHA256 = true, sha256Hex(record.Text)
	}
	return record, object.Version, err
}

// withoutRules refuses to start from version 1 again when rules/current was
// deleted: processes ignore versions older than the one they hold.
func (a *Admin) initialRecord(ctx context.Context) (VersionRecord, uint64, error) {
	history, err := a.store.List(ctx, HistoryPrefix)
	if err == nil && len(history) > 0 {
		err = fmt.Errorf("%w: %s is missing, but %s is there", ErrCorrupt, CurrentKey, history[0].Key)
	}
	return VersionRecord{HasText: true}, objectstore.MustNotExist, err
}

func (a *Admin) readHistoryVersion(ctx context.Context, version uint64) (VersionRecord, error) {
	object, err := a.store.Get(ctx, HistoryKey(version))
	if errors.Is(err, objectstore.ErrNotFound) {
		return VersionRecord{}, fmt.Errorf("%w: version %d", ErrVersionNotFound, version)
	}
	if err != nil {
		return VersionRecord{}, err
	}
	record, err := DecodeVersionRecord(object.Value)
	if err == nil && record.Version != version {
		return VersionRecord{}, fmt.Errorf("%w: %s holds version %d", ErrCorrupt, object.Key, record.Version)
	}
	return record, err
}

// Current returns the version in force. Without rules its version is 0. It
// fails with ErrUnavailable or ErrCorrupt.
func (a *Admin) Current(ctx context.Context) (VersionRecord, error) {
	var record VersionRecord
	err := a.retry(ctx, func() (err error) {
		record, _, err = a.readCurrent(ctx)
		return err
	})
	return record, translateStoreError(err)
}

// Show returns a version with its whole text. It fails with ErrNotFound,
// ErrUnavailable or ErrCorrupt.
func (a *Admin) Version(ctx context.Context, version uint64) (VersionRecord, error) {
	var record VersionRecord
	err := a.retry(ctx, func() error {
		current, _, err := a.readCurrent(ctx)
		if err != nil {
			return err
		}
		reader := newVersionReader(a, current)
		if record, err = reader.record(ctx, version); err != nil {
			return err
		}
		record.Text, err = reader.text(ctx, version)
		record.HasText = true
		return err
	})
	return record, translateStoreError(err)
}

// History returns at most limit versions, the latest first, without their
// texts. It fails with ErrUnavailable or ErrCorrupt.
func (a *Admin) History(ctx context.Context, limit int) ([]VersionRecord, error) {
	var records []VersionRecord
	err := a.retry(ctx, func() error {
		current, _, err := a.readCurrent(ctx)
		if err != nil {
			return err
		}
		records = nil
		reader := newVersionReader(a, current)
		for n := current.Version; n > 0 && len(records) < limit; n-- {
			record, err := reader.record(ctx, n)
			if errors.Is(err, ErrVersionNotFound) {
				return nil
			}
			if err != nil {
				return err
			}
			record.Text, record.HasText = "", false
			records = append(records, record)
		}
		return nil
	})
	return records, translateStoreError(err)
}

// Blame returns, for each line of the version in force, the version that wrote
// it, looking back at most limit versions. Lines that are older have the zero
// Origin.
func (a *Admin) Blame(ctx context.Context, maxVersions int) ([]rules.Line, []rules.Origin, error) {
	history, err := a.History(ctx, maxVersions)
	if err != nil || len(history) == 0 {
		return nil, nil, err
	}
	current, err := a.Version(ctx, history[0].Version)
	if err != nil {
		return nil, nil, err
	}
	oldest := history[len(history)-1]
	oldestWithText, err := a.Version(ctx, oldest.Version)
	if err != nil {
		return nil, nil, err
	}
	origins := make([]rules.Origin, strings.Count(oldestWithText.Text, "\n")+1)
	if oldest.Version == 1 {
		origins = rules.Blame(nil, rules.Diff("", oldestWithText.Text), oldest.origin())
	}
	text := oldestWithText.Text
	for i := len(history) - 2; i >= 0; i-- {
		hunks := history[i].Hunks
		if len(hunks) == 0 {
			next, err := a.Version(ctx, history[i].Version)
			if err != nil {
				return nil, nil, err
			}
			hunks = rules.Diff(text, next.Text)
		}
		origins = rules.Blame(origins, hunks, history[i].origin())
		if text, err = rules.Patch(text, hunks); err != nil {
			return nil, nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
		}
	}
	lines := rules.Lines(current.Text)
	return lines, origins[:min(len(lines), len(origins))], nil
}

func (r VersionRecord) origin() rules.Origin {
	return rules.Origin{Version: r.Version, Author: r.Author, Reason: r.Reason}
}

// prune deletes history objects that are too old. It is best effort: what is
// left behind is deleted by a later call.
func (a *Admin) pruneHistory(ctx context.Context, currentVersion uint64) {
	if currentVersion%versionsPerPrune != 0 || currentVersion <= retainedVersions {
		return
	}
	// Versions are rebuilt from the snapshot below them, so that the cut must
	// lie on one.
	oldest := (currentVersion - retainedVersions) / versionsPerSnapshot * versionsPerSnapshot
	history, err := a.store.List(ctx, HistoryPrefix)
	if err != nil {
		return
	}
	for _, object := range history {
		version, err := strconv.ParseUint(strings.TrimPrefix(object.Key, HistoryPrefix), 10, 64)
		if err == nil && version < oldest {
			_ = a.store.Delete(ctx, object.Key, object.Version)
		}
	}
}
