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

// Options configures an Admin. Zero fields take their defaults.
type Options struct {
	// MaxAttempts is the maximum number of attempts per method call. Default 16.
	MaxAttempts int
	// InitialBackoff is the wait after the first failed attempt. It doubles with
	// each further one, up to MaxBackoff. Defaults 100ms and 2s: 16 attempts take
	// about 20 s.
	InitialBackoff, MaxBackoff time.Duration
	// Sleep waits for d or until ctx is done. Default: real time.
	Sleep func(ctx context.Context, d time.Duration) error
	// Now returns the creation time of new versions. Default time.Now.
	Now func() time.Time
}

const (
	defaultMaxAttempts    = 16
	defaultInitialBackoff = 100 * time.Millisecond
	defaultMaxBackoff     = 2 * time.Second
)

// Admin reads and changes the rules in an object store. It is safe for concurrent
// use.
type Admin struct {
	store   objectstore.Store
	options Options
}

// New returns an Admin for the rules in store.
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

// retry runs call until it succeeds, fails with a permanent error or has been
// attempted MaxAttempts times.
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

// readCurrent returns the current version and the object version of CurrentKey.
// Both are 0 when no rules exist.
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
		// The object was written by hand or by a tool that sets only version and text.
		record.HasText, record.TextSHA256 = true, sha256Hex(record.Text)
	}
	return record, object.Version, err
}

// initialRecord returns the empty record that precedes version 1. It fails with
// ErrCorrupt when a history exists, that is, when CurrentKey was deleted: processes
// ignore versions older than the one they hold, so numbering must not restart at 1.
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

// Current returns the current version. Its number is 0 when no rules exist. It
// fails with ErrStoreUnavailable or ErrCorrupt.
func (a *Admin) Current(ctx context.Context) (VersionRecord, error) {
	var record VersionRecord
	err := a.retry(ctx, func() (err error) {
		record, _, err = a.readCurrent(ctx)
		return err
	})
	return record, translateStoreError(err)
}

// Version returns a version with its whole text. It fails with ErrVersionNotFound,
// ErrStoreUnavailable or ErrCorrupt.
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

// History returns at most limit versions, newest first, without their texts. It
// fails with ErrStoreUnavailable or ErrCorrupt.
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

// Blame returns the lines of the current version and, for each of them, the version
// that added or last changed it. It reads at most maxVersions versions; older lines
// have the zero Origin.
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

// pruneHistory deletes the history objects of versions that are no longer retained.
// It ignores errors: a later call deletes what remains.
func (a *Admin) pruneHistory(ctx context.Context, currentVersion uint64) {
	if currentVersion%versionsPerPrune != 0 || currentVersion <= retainedVersions {
		return
	}
	// A version is rebuilt from the closest snapshot below it, so the oldest
	// retained version must be a snapshot.
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
