package versionpin

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrInvalidRecords marks errors about the encoding of records.
var ErrInvalidRecords = errors.New("invalid records of streams")

// Records are the versions of streams. Those of moved slots, which the table does not tell, are
// needed in the store; the others are kept until their slots move. It is not safe for concurrent
// use.
type Records struct {
	streams map[uint64]record
	// moved are the moved slots, or nil if all count as such.
	moved *SlotSet
	// changed means that records needed in the store came, changed or went since TakeChanged, and
	// unwritten is the number of those that came or changed.
	changed   bool
	unwritten int
	// incarnation is that of the process to which the records belong.
	incarnation uint64
	// added are the streams in the order in which their records came or changed, dropped is the
	// number of those that were left out at the front since.
	added   []uint64
	dropped uint64
}

type record struct {
	// version is empty if two streams have the same ID.
	version   string
	expiresAt time.Duration
}

// NewRecords returns empty records.
func NewRecords() *Records { return &Records{streams: map[uint64]record{}} }

// NewOwnRecords returns empty records of a process, for Since. Other processes of the same router
// have other incarnations.
func NewOwnRecords(incarnation uint64) *Records {
	r := NewRecords()
	r.incarnation = incarnation
	return r
}

// Add records the version of a stream until a time. A second version for the same stream
// makes both unknown.
func (r *Records) Add(stream uint64, version string, expiresAt time.Duration) {
	old, known := r.streams[stream]
	if known && old.version != version {
		version = ""
	}
	r.streams[stream] = record{version, max(expiresAt, old.expiresAt)}
	if !known || old.version != version {
		r.added = append(r.added, stream)
		if r.needed(stream) {
			r.changed = true
			r.unwritten++
		}
	}
}

// AddUpTo adds a record as Add does, but keeps no more than most of them. The oldest record that
// the store does not need gives way; if it needs all, the new one is left out.
func (r *Records) AddUpTo(most int, stream uint64, version string, expiresAt time.Duration) {
	if _, known := r.streams[stream]; known || r.Len() < most || r.dropOldestUnneeded() {
		r.Add(stream, version, expiresAt)
	}
}

// AddAll adds the records of others as AddUpTo does.
func (r *Records) AddAll(others *Records, most int) {
	for stream, e := range others.streams {
		r.AddUpTo(most, stream, e.version, e.expiresAt)
	}
}

// dropOldestUnneeded drops a record and reports whether there was one to drop.
func (r *Records) dropOldestUnneeded() bool {
	r.forgetDropped()
	for _, stream := range r.added {
		if _, ok := r.streams[stream]; ok && !r.needed(stream) {
			delete(r.streams, stream)
			return true
		}
	}
	return false
}

// SetMoved replaces the set of slots whose records are needed in the store. Streams that began
// before their slot moved are known by nothing else from then on.
func (r *Records) SetMoved(moved SlotSet) {
	if r.moved != nil && *r.moved == moved {
		return
	}
	for stream := range r.streams {
		switch slot := slotOf(stream); {
		case !r.needed(stream) && moved[slot]:
			r.unwritten++
			r.changed = true
		case r.needed(stream) && !moved[slot]:
			r.changed = true
		}
	}
	r.moved = &moved
}

// needed reports whether the store needs the record of a stream.
func (r *Records) needed(stream uint64) bool { return r.moved == nil || r.moved[slotOf(stream)] }

// Version returns the recorded version of a stream, or false if there is none or streams of
// several versions have its ID. Recorded is true in both of the latter cases.
func (r *Records) Version(stream uint64) (version string, recorded bool) {
	e, ok := r.streams[stream]
	return e.version, ok
}

// Expire drops the records whose time has passed.
func (r *Records) Expire(now time.Duration) {
	for stream, e := range r.streams {
		if now >= e.expiresAt {
			delete(r.streams, stream)
			r.changed = r.changed || r.needed(stream)
		}
	}
	r.forgetDropped()
}

// forgetDropped removes the oldest streams from added whose records are gone.
func (r *Records) forgetDropped() {
	for len(r.added) > 0 {
		if _, ok := r.streams[r.added[0]]; ok {
			break
		}
		r.added = r.added[1:]
		r.dropped++
	}
}

// Len returns the number of records.
func (r *Records) Len() int { return len(r.streams) }

// TakeChanged reports whether the records that the store needs have changed since the last call.
func (r *Records) TakeChanged() bool {
	changed := r.changed
	r.changed, r.unwritten = false, 0
	return changed
}

// Unwritten returns the number of records that the store needs and that came, changed or became
// needed since the last TakeChanged.
func (r *Records) Unwritten() int { return r.unwritten }

// MarkChanged makes the next TakeChanged return true, after a write that failed.
func (r *Records) MarkChanged() { r.changed = true }

// MarshalJSON implements json.Marshaler, for the records that the store needs: for each version
// the hashes of its streams, in base64.
func (r *Records) MarshalJSON() ([]byte, error) {
	streams := make([]uint64, 0, len(r.streams))
	for stream := range r.streams {
		if r.needed(stream) {
			streams = append(streams, stream)
		}
	}
	return r.encode(streams)
}

// encode encodes the records of those streams that have one.
func (r *Records) encode(streams []uint64) ([]byte, error) {
	hashes := map[string][]byte{}
	for _, stream := range streams {
		if e, ok := r.streams[stream]; ok {
			hashes[e.version] = binary.BigEndian.AppendUint64(hashes[e.version], stream)
		}
	}
	return json.Marshal(hashes)
}

// Merge adds encoded records until a time. It fails with ErrInvalidRecords.
func (r *Records) Merge(encoded []byte, expiresAt time.Duration) error {
	var hashes map[string]string
	if err := json.Unmarshal(encoded, &hashes); err != nil {
		return errors.Mark(err, ErrInvalidRecords)
	}
	for version, text := range hashes {
		data, err := base64.StdEncoding.DecodeString(text)
		if err != nil || len(data)%8 != 0 {
			return errors.Wrapf(ErrInvalidRecords, "%d bytes for version %q", len(data), version)
		}
		for ; len(data) > 0; data = data[8:] {
			r.Add(binary.BigEndian.Uint64(data), version, expiresAt)
		}
	}
	return nil
}
