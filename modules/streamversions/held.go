package streamversions

import (
	"github.com/sirupsen/logrus"

	"github.com/arbutusline/arbutusline/decision/versionpin"
	"github.com/arbutusline/arbutusline/internal/bootclock"
)

// RecordsSince returns encoded records of the streams that this router has begun after a cursor,
// and the cursor after them, for a router that holds them. There are none if the two cursors are
// the same.
func (v *StreamVersions) RecordsSince(c versionpin.Cursor) ([]byte, versionpin.Cursor) {
	v.mu.Lock()
	defer v.mu.Unlock()
	encoded, next, err := v.records.Since(c)
	if err != nil {
		v.log.WithError(err).Error("failed to encode records of streams")
		return nil, c
	}
	return encoded, next
}

// HeldRecords returns up to where this router holds the records of another one, which is named by
// its address.
func (v *StreamVersions) HeldRecords(router string) versionpin.Cursor {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.held.Cursor(router)
}

// HoldRecords holds encoded records of another router up to a cursor. Records of an earlier
// process of that router become this one's own.
func (v *StreamVersions) HoldRecords(router string, encoded []byte, c versionpin.Cursor) {
	v.mu.Lock()
	defer v.mu.Unlock()
	earlier, err := v.held.Take(router, encoded, c, bootclock.Now()+v.recordLifetimeLocked())
	v.logInvalidRecords(router, err)
	v.takeOverLocked(router, earlier)
}

// TakeOverRecords makes the records that are held for a router, which does not respond any more,
// this one's own, so that the store gets them.
func (v *StreamVersions) TakeOverRecords(router string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.takeOverLocked(router, v.held.Release(router))
}

// takeOverLocked adds records of another router to this one's own. The caller holds mu.
func (v *StreamVersions) takeOverLocked(router string, records *versionpin.Records) {
	if records == nil || records.Len() == 0 {
		return
	}
	v.records.AddAll(records, maxRecords)
	v.takenOver = true
	v.log.WithFields(logrus.Fields{"router": router, "records": records.Len()}).Info("took over records of streams")
}

// clearTakenOver reports whether records were taken over since the last call.
func (v *StreamVersions) clearTakenOver() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	taken := v.takenOver
	v.takenOver = false
	return taken
}
