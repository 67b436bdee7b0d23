package streamversions

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/arbutusline/arbutusline/decision/versionpin"
	"github.com/arbutusline/arbutusline/internal/bootclock"
	"github.com/arbutusline/arbutusline/internal/wait"
	"github.com/arbutusline/arbutusline/platform"
)

// KindRecords is the kind of the store objects with the records of a router's streams, named
// after the router.
const KindRecords = "arbutus-streams"

const (
	// flushIntervalPerRouter times the number of routers is the time between two writes of
	// new records, so that all routers together make 100 writes a second, a quarter of the
	// lowest rate that the platform gives; minFlushInterval, unless maxUnwritten records wait, and
	// maxFlushInterval bound it. Streams that begin within it of the death of all routers are not
	// continued.
	flushIntervalPerRouter = 10 * time.Millisecond
	minFlushInterval       = 250 * time.Millisecond
	maxFlushInterval       = time.Second
	maxUnwritten           = 2
	// eraCheckInterval is the time between two looks whether the store has come back from a copy
	// without records that it had acknowledged. Routers may lose power just after that.
	eraCheckInterval = 40 * time.Millisecond
	// maxRecords bounds the size of a router's object to about 64 kB, and the memory of its
	// records. It is the number of streams that a router begins at 200 a second while it keeps them.
	maxRecords = 6000
)

// Record records the software version of a stream that this router has begun or taken up.
// requestID is that of the request that began it. It is recorded also while the table tells the
// version: the slot of the stream may move as long as the stream lasts.
func (v *StreamVersions) Record(serviceName, requestID, version string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.records.AddUpTo(maxRecords, versionpin.StreamHash(serviceName, requestID), version, bootclock.Now()+v.recordLifetimeLocked())
}

func (v *StreamVersions) flushPeriodically() {
	var era uint64
	retry := false
	for v.ctx.Err() == nil {
		var restored bool
		era, restored = v.waitForFlush(retry, era)
		retry = false
		v.mu.Lock()
		if restored && v.records.Len() > 0 {
			v.records.MarkChanged() // The copy may lack what was written.
		}
		v.records.Expire(bootclock.Now())
		v.held.Expire(bootclock.Now())
		changed := v.records.TakeChanged()
		v.mu.Unlock()
		if !changed {
			continue
		}
		if err := v.flush(); err != nil {
			v.log.WithError(err).Info("failed to write records of streams")
			v.mu.Lock()
			v.records.MarkChanged()
			v.mu.Unlock()
			retry = true
		}
	}
}

// flushDue reports whether new records are to be written after a time since the last write.
func flushDue(since time.Duration, unwritten, routers int) bool {
	shared := min(maxFlushInterval, time.Duration(routers)*flushIntervalPerRouter)
	return since >= max(minFlushInterval, shared) || unwritten >= maxUnwritten && since >= shared
}

// waitForFlush waits until records are to be written, after a failed write for retryDelay, or until
// the store has come back from a copy since the given era or records of a router that died are to
// be written. It returns the store's era, 0 if it is not known yet.
func (v *StreamVersions) waitForFlush(retry bool, era uint64) (now uint64, restored bool) {
	for begin := bootclock.Now(); v.ctx.Err() == nil; {
		wait.ForJittered(v.ctx, eraCheckInterval)
		if now = v.directory.StoreEra(); era > 0 && now != era {
			return now, true
		}
		since := bootclock.Now() - begin
		if v.clearTakenOver() || retry && since >= retryDelay || !retry && flushDue(since, v.unwrittenRecords(), v.directory.RouterCount()) {
			break
		}
	}
	return now, false
}

func (v *StreamVersions) unwrittenRecords() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.records.Unwritten()
}

// flush writes the records. Before the first write it takes over those that this router
// wrote before it restarted.
func (v *StreamVersions) flush() error {
	if !v.recordsLoaded {
		o, err := v.store.Get(v.ctx, KindRecords, v.node.ID)
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			return err
		}
		if err == nil {
			v.mu.Lock()
			mergeErr := v.records.Merge(o.Spec, bootclock.Now()+v.recordLifetimeLocked())
			v.mu.Unlock()
			v.logInvalidRecords(v.node.ID, mergeErr)
		}
		v.recordsLoaded = true
	}
	v.mu.Lock()
	spec, err := v.records.MarshalJSON()
	v.mu.Unlock()
	if err != nil {
		return err
	}
	_, err = v.store.Replace(v.ctx, KindRecords, v.node.ID, 0, rawJSON(spec))
	if errors.Is(err, platform.ErrNotFound) {
		_, err = v.store.Create(v.ctx, KindRecords, v.node.ID, rawJSON(spec))
	}
	v.tableWrites.WithLabelValues("records", writeResult(err)).Inc()
	return err
}

// rawJSON is a value that is encoded already.
type rawJSON []byte

// MarshalJSON implements json.Marshaler.
func (r rawJSON) MarshalJSON() ([]byte, error) { return r, nil }

// listRecords lists the records of all routers.
func (v *StreamVersions) listRecords() error {
	objects, _, err := v.store.List(v.ctx, KindRecords)
	if err != nil {
		return err
	}
	records := versionpin.NewRecords()
	for _, o := range objects {
		v.logInvalidRecords(o.Metadata.Name, records.Merge(o.Spec, 0))
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.listedRecords = records
	return nil
}

func (v *StreamVersions) logInvalidRecords(router string, err error) {
	if err != nil {
		v.log.WithError(err).WithFields(logrus.Fields{"router": router}).Warn("ignored invalid records of streams")
	}
}
