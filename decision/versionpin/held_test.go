package versionpin

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// exchangeRecords passes the records of a router on to one that holds them.
func exchangeRecords(t *testing.T, from *Records, to *Held, router string) (messages int, earlier *Records) {
	t.Helper()
	for {
		before := to.Cursor(router)
		encoded, next, err := from.Since(before)
		assert.NilError(t, err)
		old, err := to.Take(router, encoded, next, time.Minute)
		assert.NilError(t, err)
		if old != nil {
			earlier = old
		}
		if encoded == nil {
			return messages, earlier
		}
		messages++
	}
}

// Guards against records that a holder misses, or gets again with each message.
func TestHolderGetsEachRecordOnce(t *testing.T) {
	r, h := NewOwnRecords(7), NewHeld()
	stream := uint64(0)
	for round := range 20 {
		for range round * 100 {
			stream++
			r.Add(stream, "v1", time.Duration(stream)*time.Millisecond)
		}
		messages, _ := exchangeRecords(t, r, h, "a")
		assert.Equal(t, messages, (round*100+maxRecordsPerMessage-1)/maxRecordsPerMessage)
		r.Expire(time.Duration(stream/2) * time.Millisecond)
	}
	for s := range stream {
		version, held := h.Version(s + 1)
		assert.Assert(t, held && version == "v1", "stream %d", s+1)
	}
	h.Expire(time.Minute)
	_, held := h.Version(stream)
	assert.Assert(t, !held)
}

// Guards against records that are lost when their router restarts, and against a cursor of the
// process before that hides those of the new one.
func TestRecordsOfAnEarlierProcessAreReturned(t *testing.T) {
	before, h := NewOwnRecords(1), NewHeld()
	for s := range uint64(9) {
		before.Add(s, "v1", time.Minute)
	}
	exchangeRecords(t, before, h, "a")
	after := NewOwnRecords(2)
	after.Add(100, "v2", time.Minute)
	_, earlier := exchangeRecords(t, after, h, "a")
	assert.Equal(t, earlier.Len(), 9)
	version, held := h.Version(100)
	assert.Assert(t, held && version == "v2")
	own := NewOwnRecords(3)
	own.AddAll(earlier, 5)
	assert.Equal(t, own.Len(), 5)
	assert.Assert(t, own.TakeChanged())
	assert.Assert(t, h.Release("a") != nil && h.Release("a") == nil)
}

// Guards against a stream that goes on at one of two versions that routers have recorded.
func TestHeldRecordsThatDifferTellNothing(t *testing.T) {
	h := NewHeld()
	for i, version := range []string{"v1", "v2"} {
		r := NewOwnRecords(uint64(i))
		r.Add(5, version, time.Minute)
		exchangeRecords(t, r, h, version)
	}
	version, recorded := h.Version(5)
	assert.Equal(t, version, "")
	assert.Assert(t, recorded)
}
