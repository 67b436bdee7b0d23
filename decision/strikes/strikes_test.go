package strikes

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Broken connections are common and must not refuse a request at once; three
// endpoints that broke under it are enough, also when another router saw some.
func TestThirdEndpointRefusesTheRequest(t *testing.T) {
	a, b := New(), New()
	a.Add(0, CrashReport{Fingerprint: 7, Endpoint: "e1"})
	assert.Assert(t, !a.Refused(0, 7))
	assert.Assert(t, !a.Add(time.Second, CrashReport{Fingerprint: 7, Endpoint: "e1"}), "the same endpoint is no news")
	assert.Assert(t, !a.Refused(time.Second, 7))
	a.Add(0, CrashReport{Fingerprint: 7, Endpoint: "e2"})
	b.Add(0, CrashReport{Fingerprint: 7, Endpoint: "e3"})
	assert.Assert(t, !a.Refused(0, 7) && !b.Refused(0, 7))
	for _, r := range a.PendingReports(time.Second, 10) {
		b.Add(time.Second, r)
	}
	assert.Assert(t, b.Refused(time.Second, 7))
	assert.Assert(t, !b.Refused(reportTTL+time.Second, 7), "strikes end")
}

// A request that ran to its end did not crash its endpoints.
func TestCompletionClears(t *testing.T) {
	table := New()
	table.Add(0, CrashReport{Fingerprint: 7, Endpoint: "e1"})
	table.Add(0, CrashReport{Fingerprint: 7, Endpoint: "e2"})
	table.Completed(7)
	table.Add(0, CrashReport{Fingerprint: 7, Endpoint: "e3"})
	assert.Assert(t, !table.Refused(0, 7))
}

// A flood of broken connections must not take unbounded memory.
func TestTableIsBounded(t *testing.T) {
	table := New()
	for f := range uint64(3 * maxEntries) {
		table.Add(0, CrashReport{Fingerprint: f, Endpoint: "e"})
	}
	assert.Equal(t, len(table.entries), maxEntries)
	assert.Assert(t, table.Add(2*reportTTL, CrashReport{Fingerprint: 1 << 40, Endpoint: "e"}), "old strikes make room")
}
