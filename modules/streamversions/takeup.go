package streamversions

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/arbutusline/arbutusline/decision/versionpin"
	"github.com/arbutusline/arbutusline/fleet"
	"github.com/arbutusline/arbutusline/internal/bootclock"
	"github.com/arbutusline/arbutusline/modules/directory"
	"github.com/arbutusline/arbutusline/platform"
)

const (
	// readTimeout bounds the time for which a request to take up a stream waits for the table
	// from the store, which takes 4 ms for a call. Without it, the caller is better off at another
	// router.
	readTimeout = 600 * time.Millisecond
	// recordsTimeout bounds the time for which it waits for the records of all routers after that.
	// After a loss of power, when all routers read them at once, it takes some routers .3 s to read
	// .2 MB, and a request waits for the read before its own, too.
	recordsTimeout = 2 * time.Second
)

// takeUpResult is what told the version of a stream, as counted.
type takeUpResult string

const (
	toldByTable  takeUpResult = "table"
	toldByRecord takeUpResult = "record"
	notTold      takeUpResult = "unknown"
	// contradicted means that a record names another version than the table.
	contradicted takeUpResult = "contradicted"
)

// Resume returns the software version at which a stream began. requestID is that of the
// request that began it, as the caller says, or empty. arrivedAt is when the request to take
// it up arrived. It returns false if the version is not known.
func (v *StreamVersions) Resume(ctx context.Context, serviceName, requestID string, arrivedAt time.Time) (string, bool) {
	v.awaitTable(ctx, serviceName)
	version, result := v.resume(ctx, serviceName, requestID, bootclock.Now()-time.Since(arrivedAt))
	v.takeUps.WithLabelValues(string(result)).Inc()
	return version, result == toldByTable || result == toldByRecord
}

func (v *StreamVersions) resume(ctx context.Context, serviceName, requestID string, arrivedAt time.Duration) (string, takeUpResult) {
	v.mu.Lock()
	s := v.services[serviceName]
	v.mu.Unlock()
	if s == nil {
		return "", notTold
	}
	tableCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	_ = s.tableRead.do(tableCtx, &v.goroutines, func() error { return v.readTable(s) }) // The machine knows whether it succeeded.
	stream := versionpin.StreamHash(serviceName, requestID)
	version, knowledge := v.askMachine(s, stream, requestID == "", arrivedAt)
	switch {
	case knowledge == versionpin.Certain:
		return v.checkRecord(s, stream, version)
	case knowledge == versionpin.NeedsRead || requestID == "":
		return "", notTold
	}
	if version := v.recordedVersion(ctx, stream); version != "" {
		return version, toldByRecord
	}
	return "", notTold
}

// checkRecord compares what the table tells about a stream with the records that this router has.
// A record is evidence, and the table concludes from the time for which callers wait, which a caller
// may exceed; but a caller may also have used an ID twice. Neither is trusted if they differ.
func (v *StreamVersions) checkRecord(s *service, stream uint64, version string) (string, takeUpResult) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, find := range []func(uint64) (string, bool){v.records.Version, v.held.Version} {
		if recorded, ok := find(stream); ok && recorded != version {
			v.log.WithFields(logrus.Fields{
				"service": s.name, "stream": stream, "table": version, "record": recorded, "sequence": s.machine.Table().Sequence,
			}).Warn("record of a stream contradicts the table of software versions")
			return "", contradicted
		}
	}
	return version, toldByTable
}

func (v *StreamVersions) askMachine(s *service, stream uint64, unnamed bool, arrivedAt time.Duration) (string, versionpin.Knowledge) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.observeContactLocked(s, outageSpreadTime)
	if unnamed {
		return s.machine.ResumeUnnamed(bootclock.Now(), arrivedAt)
	}
	return s.machine.Resume(bootclock.Now(), arrivedAt, stream)
}

// observeContactLocked tells the machine if there was contact with the store or another
// router within a duration. The caller holds mu.
func (v *StreamVersions) observeContactLocked(s *service, within time.Duration) {
	if v.directory.InTouch(within) {
		s.machine.ObserveContact(bootclock.Now())
	}
}

// readTable reads a service's table from the store.
func (v *StreamVersions) readTable(s *service) error {
	begin := bootclock.Now()
	o, err := v.store.Get(v.ctx, directory.KindSoftwareVersions, s.name)
	v.mu.Lock()
	defer v.mu.Unlock()
	s.readFailedAt = 0
	switch {
	case err == nil:
		s.machine.ObserveRead(begin, bootclock.Now(), v.decodeTable(s.name, o.Spec), o.Position())
	case errors.Is(err, platform.ErrNotFound):
		s.machine.ObserveRead(begin, bootclock.Now(), nil, fleet.StorePosition{Era: o.Era})
	default:
		s.readFailedAt = bootclock.Now()
		s.machine.ObserveStoreLost(bootclock.Now())
		return err
	}
	v.directory.ObserveContact()
	v.onTableChangeLocked(s)
	return nil
}

// recordedVersion returns the recorded version of a stream, or "" if there is none.
func (v *StreamVersions) recordedVersion(ctx context.Context, stream uint64) string {
	v.mu.Lock()
	version, recorded := v.records.Version(stream)
	held, isHeld := v.held.Version(stream)
	v.mu.Unlock()
	switch {
	case recorded && (!isHeld || held == version):
		return version
	case recorded:
		return "" // Streams of two versions have this ID.
	}
	ctx, cancel := context.WithTimeout(ctx, recordsTimeout)
	defer cancel()
	if err := v.recordsRead.do(ctx, &v.goroutines, v.listRecords); err != nil {
		v.log.WithError(err).Info("failed to list records of streams")
		return held
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	version, recorded = v.listedRecords.Version(stream)
	switch {
	case !recorded:
		return held
	case isHeld && held != version:
		return "" // Streams of two versions have this ID.
	}
	return version
}
