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

// Records are the versions of streams that the table does not tell. It is not safe for
// concurrent use.
type Records struct {
	streams map[uint64]record
	changed bool
	// unwritten is the number of records that came or changed since TakeChanged.
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
		r.changed = true
		r.unwritten++
		r.added = append(r.added, stream)
	}
}

// AddAll adds the records of others as long as there are fewer than most.
func (r *Records) AddAll(others *Records, most int) {
	for stream, e := range others.streams {
		if r.Len() >= most {
			return
		}
		r.Add(stream, e.version, e.expiresAt)
	}
}

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
			r.changed = true
		}
	}
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

// TakeChanged reports whether the records have changed since the last call.
func (r *Records) TakeChanged() bool {
	changed := r.changed
	r.changed, r.unwritten = false, 0
	return changed
}

// Unwritten returns the number of records that came or changed since the last TakeChanged.
func (r *Records) Unwritten() int { return r.unwritten }

// MarkChanged makes the next TakeChanged return true, after a write that failed.
func (r *Records) MarkChanged() { r.changed = true }

// MarshalJSON implements json.Marshaler: for each version the hashes of its streams, in
// base64.
func (r *Records) MarshalJSON() ([]byte, error) {
	streams := make([]uint64, 0, len(r.streams))
	for stream := range r.streams {
		streams = append(streams, stream)
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
