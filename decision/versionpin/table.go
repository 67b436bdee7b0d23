// Package versionpin decides at which software version of a service a stream may begin and
// go on. What two versions generate for one stream does not fit together, and callers take
// up broken streams at any router, also after all routers have restarted.
//
// The streams of a service are divided into slots by a hash of the ID of the request that
// began them. A table, which routers keep in the store, assigns each slot to a version and
// names all versions at which streams of the slot may have begun that may still live. A
// router begins a stream at a version of its slot, so that every router can tell the
// version of a stream from its ID, unless the slot was moved lately. Then only a record
// tells, also for streams that began before the move, and a stream without a record is not
// continued.
//
// The package is pure: it does no I/O and reads no clock.
package versionpin

import (
	"encoding/hex"
	"encoding/json"
	"math/bits"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Slots is the number of slots, so that a version with one of several hundred endpoints
// gets about its share of the streams.
const Slots = 256

const (
	// maxVersions is the number of versions that a table can name.
	maxVersions = 7
	// unknownBit means that streams of the slot may have begun at a version that the table
	// does not name.
	unknownBit = 1 << maxVersions
)

// ErrInvalidTable marks errors about the encoding of a table.
var ErrInvalidTable = errors.New("invalid table of software versions")

// Table assigns the streams of a service to software versions. Tables are immutable once
// they are written.
type Table struct {
	// Sequence rises with each change of the table.
	Sequence uint64
	// Era is the era of the store in which the table was written. In a later one, a
	// newer table may have been lost.
	Era uint64
	// Versions are the named versions.
	Versions []string
	// StreamLifetime is the longest time from the begin of a live stream until its caller may
	// take it up for the last time. It outlives the configuration that allowed it.
	StreamLifetime time.Duration
	// current is the index of the version at which new streams of a slot begin, and
	// possible has bit i set if live streams may have begun at version i.
	current  [Slots]uint8
	possible [Slots]uint8
}

// StreamHash identifies a stream of a service by the ID of the request that began it.
func StreamHash(service, requestID string) uint64 {
	return xxhash.Sum64String(service + "\x00" + requestID)
}

func slotOf(stream uint64) int { return int(stream % Slots) }

// Current returns the version at which a new stream begins.
func (t *Table) Current(stream uint64) string { return t.Versions[t.current[slotOf(stream)]] }

// Possible returns the versions at which a live stream may have begun, that of new streams
// first, and whether it may have begun at another one.
func (t *Table) Possible(stream uint64) (versions []string, unknown bool) {
	slot := slotOf(stream)
	versions = []string{t.Versions[t.current[slot]]}
	for i, v := range t.Versions {
		if i != int(t.current[slot]) && t.possible[slot]&(1<<i) != 0 {
			versions = append(versions, v)
		}
	}
	return versions, t.possible[slot]&unknownBit != 0
}

// certain reports whether all live streams of a slot began at its current version.
func (t *Table) certain(slot int) bool { return t.possible[slot] == 1<<t.current[slot] }

// SlotSet is a set of slots.
type SlotSet [Slots]bool

// Moved returns the slots whose streams may have begun at several versions.
func (t *Table) Moved() SlotSet {
	var out SlotSet
	for slot := range Slots {
		out[slot] = !t.certain(slot)
	}
	return out
}

// MovedSlots returns the number of slots in Moved.
func (t *Table) MovedSlots() int {
	n := 0
	for _, moved := range t.Moved() {
		if moved {
			n++
		}
	}
	return n
}

// Shares returns the number of slots of each version that has any.
func (t *Table) Shares() map[string]int {
	out := map[string]int{}
	for i, n := range t.counts() {
		if n > 0 {
			out[t.Versions[i]] = n
		}
	}
	return out
}

// counts returns the number of slots of each version.
func (t *Table) counts() []int {
	out := make([]int, len(t.Versions))
	for _, i := range t.current {
		out[i]++
	}
	return out
}

// wireTable is the encoding of a table in the store.
type wireTable struct {
	Sequence uint64   `json:"sequence"`
	Era      uint64   `json:"era"`
	Versions []string `json:"versions"`
	// LifetimeMS is StreamLifetime in milliseconds, rounded up.
	LifetimeMS int64 `json:"lifetime_ms,omitempty"`
	// Current has a digit, and Possible two hexadecimal digits, for each slot.
	Current  string `json:"current"`
	Possible string `json:"possible"`
}

// MarshalJSON implements json.Marshaler.
func (t *Table) MarshalJSON() ([]byte, error) {
	current := make([]byte, 0, Slots)
	for _, i := range t.current {
		current = strconv.AppendUint(current, uint64(i), 10)
	}
	return json.Marshal(wireTable{t.Sequence, t.Era, t.Versions, ceilMS(min(t.StreamLifetime, maxStreamLifetime)), string(current), hex.EncodeToString(t.possible[:])})
}

// UnmarshalJSON implements json.Unmarshaler. It fails with ErrInvalidTable.
func (t *Table) UnmarshalJSON(data []byte) error {
	var w wireTable
	if err := json.Unmarshal(data, &w); err != nil {
		return errors.Mark(err, ErrInvalidTable)
	}
	possible, err := hex.DecodeString(w.Possible)
	if err != nil || len(possible) != Slots || len(w.Current) != Slots || len(w.Versions) == 0 || len(w.Versions) > maxVersions {
		return errors.Wrapf(ErrInvalidTable, "%d versions, %d and %d slots", len(w.Versions), len(w.Current), len(possible))
	}
	if w.LifetimeMS < 0 || w.LifetimeMS > maxStreamLifetime.Milliseconds() {
		return errors.Wrapf(ErrInvalidTable, "stream lifetime of %d ms", w.LifetimeMS)
	}
	t.Sequence, t.Era, t.Versions, t.StreamLifetime = w.Sequence, w.Era, w.Versions, time.Duration(w.LifetimeMS)*time.Millisecond
	for slot := range Slots {
		i := w.Current[slot] - '0'
		if int(i) >= len(w.Versions) || possible[slot]&(1<<i) == 0 || bits.Len8(possible[slot]&^unknownBit) > len(w.Versions) {
			return errors.Wrapf(ErrInvalidTable, "slot %d is assigned to %q of %x", slot, w.Current[slot], possible[slot])
		}
		t.current[slot], t.possible[slot] = i, possible[slot]
	}
	return nil
}

// Capacity is the number of requests that the ready endpoints of a service run at once, by
// software version. It has no entry for versions without a ready endpoint.
type Capacity map[string]int

func (c Capacity) total() int {
	n := 0
	for _, slots := range c {
		n += slots
	}
	return n
}

// versions returns the versions in order.
func (c Capacity) versions() []string {
	var out []string
	for v, slots := range c {
		if slots > 0 {
			out = append(out, v)
		}
	}
	slices.Sort(out)
	return out
}

// newTable returns a table that divides the slots by capacity. Unknown means that streams
// may have begun before it.
func newTable(c Capacity, era uint64, unknown bool) *Table {
	t := &Table{Sequence: 1, Era: era, Versions: c.versions()}
	t.Versions = t.Versions[:min(len(t.Versions), maxVersions)]
	slot := 0
	for i, n := range t.targets(c) {
		for range n {
			t.current[slot], t.possible[slot] = uint8(i), 1<<i
			if unknown {
				t.possible[slot] |= unknownBit
			}
			slot++
		}
	}
	return t
}

// clone returns a copy to modify, with the next sequence number.
func (t *Table) clone() *Table {
	out := *t
	out.Sequence++
	out.Versions = slices.Clone(t.Versions)
	return &out
}

// targets returns the number of slots of each named version for a capacity: its share, but
// at least one for a version with capacity.
func (t *Table) targets(c Capacity) []int {
	out, total, left := make([]int, len(t.Versions)), c.total(), Slots
	largest := 0
	for i, v := range t.Versions {
		if c[v] > 0 {
			out[i] = max(1, Slots*c[v]/total)
			left -= out[i]
		}
		if out[i] > out[largest] {
			largest = i
		}
	}
	out[largest] += left // Rounding leaves less than a slot for each version.
	return out
}

// assign moves as few slots as possible so that each version has its share. Slots move to
// versions at which their streams may have begun already, where there are such.
func (t *Table) assign(c Capacity) {
	t.nameVersions(c)
	targets, counts := t.targets(c), t.counts()
	for _, onlyPossible := range []bool{true, false} {
		for slot := range Slots {
			from := t.current[slot]
			if counts[from] <= targets[from] {
				continue
			}
			for to := range t.Versions {
				if counts[to] >= targets[to] || onlyPossible && t.possible[slot]&(1<<to) == 0 {
					continue
				}
				counts[from]--
				counts[to]++
				t.current[slot] = uint8(to)
				t.possible[slot] |= 1 << to
				break
			}
		}
	}
}

// nameVersions adds the versions of a capacity and removes those that no slot has.
func (t *Table) nameVersions(c Capacity) {
	var used uint8
	for slot := range Slots {
		used |= t.possible[slot]
	}
	missing := slices.DeleteFunc(c.versions(), func(v string) bool { return slices.Contains(t.Versions, v) })
	for _, v := range missing {
		if len(t.Versions) < maxVersions {
			t.Versions = append(t.Versions, v)
			continue
		}
		if i := t.replaceable(used, c); i >= 0 {
			t.forget(i)
			t.Versions[i], used = v, used|1<<i
		}
	}
}

// replaceable returns the index of a version without capacity, preferably one that no slot
// has, or -1.
func (t *Table) replaceable(used uint8, c Capacity) int {
	best := -1
	for i, v := range t.Versions {
		if c[v] > 0 {
			continue
		}
		if used&(1<<i) == 0 {
			return i
		}
		best = i
	}
	return best
}

// forget makes the version with an index unknown at all slots that have it. New streams of
// slots that are assigned to it begin at the version that gets the index.
func (t *Table) forget(i int) {
	for slot := range Slots {
		if t.possible[slot]&(1<<i) != 0 {
			t.possible[slot] = t.possible[slot]&^(1<<i) | unknownBit
		}
		t.possible[slot] |= 1 << t.current[slot]
	}
}
