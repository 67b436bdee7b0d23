package versionpin

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/fleet"
)

// Guards against a slot whose streams count as begun at a version that got the index of
// another one, because a table names seven versions and the same change prunes the slot.
func TestMoreVersionsThanATableNames(t *testing.T) {
	for step := time.Second; step <= 12*time.Second; step += 500 * time.Millisecond {
		m := NewMachine(testConfig)
		lastBegunAt := map[uint64]map[string]time.Duration{}
		for i := range 30 {
			now := time.Duration(i+1) * step
			// Each second version has an endpoint until the next but one comes.
			capacity := Capacity{fmt.Sprintf("v%d", i): 9}
			if i%2 == 1 {
				capacity[fmt.Sprintf("v%d", i-1)] = 3
			}
			p, ok := m.Propose(now, Circumstances{Capacity: capacity, Alone: true})
			if ok {
				m.ObserveWritten(now, p.Table, fleet.StorePosition{Revision: uint64(i + 1)})
			}
			m.ObserveRead(now, now, m.Table(), fleet.StorePosition{Revision: uint64(i + 1)})
			for stream := range uint64(Slots) {
				versions, _ := m.Begin(now, stream)
				if lastBegunAt[stream] == nil {
					lastBegunAt[stream] = map[string]time.Duration{}
				}
				lastBegunAt[stream][versions[0]] = now
				told, knowledge := m.Resume(now, now, stream)
				for begunAt, at := range lastBegunAt[stream] {
					assert.Assert(t, knowledge != Certain || now-at >= lifetime || told == begunAt, "step %v, change %d: stream begun at %s, told %s", step, i, begunAt, told)
				}
			}
		}
	}
}

// Guards against a table that is written by something else, or cut, and put in force.
func TestInvalidTablesAreRefused(t *testing.T) {
	valid, err := json.Marshal(newTable(Capacity{"a": 3, "b": 1}, 7, true))
	assert.NilError(t, err)
	table := &Table{}
	assert.NilError(t, json.Unmarshal(valid, table))
	assert.DeepEqual(t, table.Shares(), map[string]int{"a": 192, "b": 64})
	assert.Equal(t, table.MovedSlots(), Slots, "streams may have begun before the table")
	for _, bad := range []string{
		`{}`, `{"versions":["a"],"current":"","possible":""}`, `{"versions":[],"current":"0"}`,
		string(valid[:len(valid)-4]) + `zz"}`,
		fmt.Sprintf(`{"versions":["a"],"current":"%0256d","possible":"%0512d"}`, 0, 0),
		fmt.Sprintf(`{"versions":["a"],"current":"%0256d","possible":"%0512x"}`, 1, 1),
	} {
		err := json.Unmarshal([]byte(bad), &Table{})
		assert.Check(t, errors.Is(err, ErrInvalidTable), "%.60s: %v", bad, err)
	}
}

// Guards against records that are lost or mixed up when routers read each other's, and
// against two streams with one ID that are told apart by chance.
func TestRecordsOfStreams(t *testing.T) {
	r := NewRecords()
	r.Add(1, "v1", 10*time.Second)
	r.Add(2, "v2", 20*time.Second)
	r.Add(3, "v1", 20*time.Second)
	r.Add(3, "v2", 20*time.Second)
	data, err := json.Marshal(r)
	assert.NilError(t, err)
	other := NewRecords()
	assert.NilError(t, other.Merge(data, time.Minute))
	for stream, want := range map[uint64]string{1: "v1", 2: "v2", 3: ""} {
		version, recorded := other.Version(stream)
		assert.Assert(t, recorded)
		assert.Equal(t, version, want)
	}
	assert.ErrorIs(t, other.Merge([]byte(`{"v1":"AAAA"}`), 0), ErrInvalidRecords)
	r.Expire(15 * time.Second)
	assert.Equal(t, r.Len(), 2)
	_, recorded := r.Version(1)
	assert.Assert(t, !recorded)
}
