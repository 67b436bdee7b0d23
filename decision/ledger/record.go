// Package ledger records claims of requests that may run at most once. Each
// partition is a chain of segments in the object store, and only the conditional
// write of the newest segment decides who holds a claim. Partition is a pure state
// machine over that chain; it groups concurrent claims into one write.
//
// Besides the monotonic time, a Partition is given the wall clock as time since
// the Unix epoch, which only decides when the retention of a segment ends.
package ledger

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Errors of the package.
var (
	// ErrKeyReused means that the key belongs to a request with a different body.
	ErrKeyReused = errors.New("idempotency key was already used with a different body")
	// ErrUnavailable means that the store did not answer in time. The claim may
	// still be written, but no caller was told that it is held.
	ErrUnavailable = errors.New("ledger could not reach the object store in time")
	// ErrKeyTooLong means that the idempotency key exceeds 256 bytes.
	ErrKeyTooLong = errors.New("idempotency key is longer than 256 bytes")
	// ErrOverloaded means that MaxPendingOps operations are already queued.
	ErrOverloaded = errors.New("ledger has too many pending operations")
	// ErrCorrupt means that a segment could not be parsed.
	ErrCorrupt = errors.New("ledger segment is corrupt")
)

// Key identifies a request that may run at most once.
type Key struct {
	Team string
	// IdempotencyKey is the value of the request header Idempotency-Key.
	IdempotencyKey string
}

// Hash returns the hash that selects the partition and the index entry.
func (k Key) Hash() uint64 { return xxhash.Sum64String(k.Team + "\x00" + k.IdempotencyKey) }

// Partition returns the partition of the key, from 0 to n-1.
func (k Key) Partition(n int) int { return int(k.Hash() % uint64(n)) }

// State is the state of a key.
type State string

// States of a key.
const (
	// StateNone means that the key was never claimed within the retention.
	StateNone State = ""
	// StateClaimed means that the attempt that holds the claim may be running or
	// have run.
	StateClaimed State = "claimed"
	// StateReleased means that the attempt is known not to have run. The key may
	// be claimed again.
	StateReleased State = "released"
	// StateDone means that the attempt ran. Its answer is recorded unless it was
	// dropped.
	StateDone State = "done"
	// StateNotRun means that the request did not run and will not: the key can't
	// be claimed again.
	StateNotRun State = "not_run"
	// StateUnknown means that the attempt may have run and that its outcome can no
	// longer be determined.
	StateUnknown State = "unknown"
)

// Record is the newest entry of a key.
type Record struct {
	Key      Key
	BodyHash uint64
	State    State
	// Endpoint, AgentIncarnation and AttemptID identify the holder of the claim.
	Endpoint         string
	AgentIncarnation uint64
	AttemptID        string
	// Answer is the answer of StateDone if it is small enough to be stored in the
	// segment.
	Answer []byte
	// AnswerObjectKey is the object key of a larger answer.
	AnswerObjectKey string
	// AnswerDropped is true if the answer was too large or could not be stored.
	AnswerDropped bool
}

// segmentLine is one line of a segment: the header of a write, a record or the
// seal.
type segmentLine struct {
	WriteID string `json:"w,omitempty"`
	Router  string `json:"by,omitempty"`
	// ClockMS is the wall clock of the router that writes, used only for
	// retention.
	ClockMS int64 `json:"c,omitempty"`
	// TimestampMS never decreases along the chain.
	TimestampMS int64 `json:"t,omitempty"`
	Seal        bool  `json:"seal,omitempty"`

	Team             string `json:"m,omitempty"`
	IdempotencyKey   string `json:"k,omitempty"`
	BodyHash         uint64 `json:"b,omitempty"`
	State            State  `json:"s,omitempty"`
	Endpoint         string `json:"a,omitempty"`
	AgentIncarnation uint64 `json:"i,omitempty"`
	AttemptID        string `json:"n,omitempty"`
	Answer           []byte `json:"r,omitempty"`
	AnswerObjectKey  string `json:"o,omitempty"`
	AnswerDropped    bool   `json:"d,omitempty"`
}

func newRecordLine(r Record) segmentLine {
	return segmentLine{Team: r.Key.Team, IdempotencyKey: r.Key.IdempotencyKey, BodyHash: r.BodyHash, State: r.State, Endpoint: r.Endpoint,
		AgentIncarnation: r.AgentIncarnation, AttemptID: r.AttemptID, Answer: r.Answer, AnswerObjectKey: r.AnswerObjectKey, AnswerDropped: r.AnswerDropped}
}

func (l segmentLine) record() Record {
	return Record{Key: Key{l.Team, l.IdempotencyKey}, BodyHash: l.BodyHash, State: l.State, Endpoint: l.Endpoint, AgentIncarnation: l.AgentIncarnation,
		AttemptID: l.AttemptID, Answer: l.Answer, AnswerObjectKey: l.AnswerObjectKey, AnswerDropped: l.AnswerDropped}
}

func appendLine(dst []byte, l segmentLine) []byte {
	text, err := json.Marshal(l)
	if err != nil {
		panic(err) // no field of segmentLine can fail to encode
	}
	return append(append(dst, text...), '\n')
}

// segment is a parsed segment.
type segment struct {
	seq      uint64
	version  uint64
	raw      []byte
	sealed   bool
	records  map[Key]Record
	writeIDs map[string]bool
	// newestTimestamp is the largest TimestampMS; writerClocks holds the last
	// ClockMS of each router.
	newestTimestamp time.Duration
	writerClocks    map[string]time.Duration
}

func newSegment(seq uint64) *segment {
	return &segment{seq: seq, records: map[Key]Record{}, writeIDs: map[string]bool{}, writerClocks: map[string]time.Duration{}}
}

func parseSegment(seq, version uint64, raw []byte) (*segment, error) {
	s := newSegment(seq)
	s.version, s.raw = version, bytes.Clone(raw)
	for i, text := range bytes.Split(bytes.TrimSuffix(raw, []byte("\n")), []byte("\n")) {
		var l segmentLine
		if err := json.Unmarshal(text, &l); err != nil {
			return nil, errors.Wrapf(ErrCorrupt, "segment %d line %d: %v", seq, i+1, err)
		}
		s.apply(l)
	}
	return s, nil
}

func (s *segment) apply(l segmentLine) {
	switch {
	case l.Seal:
		s.sealed = true
	case l.WriteID != "":
		s.writeIDs[l.WriteID] = true
		s.newestTimestamp = max(s.newestTimestamp, time.Duration(l.TimestampMS)*time.Millisecond)
		s.writerClocks[l.Router] = time.Duration(l.ClockMS) * time.Millisecond
	default:
		r := l.record()
		s.records[r.Key] = r
	}
}

// SegmentPrefix returns the object key prefix of a partition's segments.
func SegmentPrefix(partition int) string { return fmt.Sprintf("ledger/%03d/", partition) }

// SegmentObjectKey returns the object key of a segment.
func SegmentObjectKey(partition int, seq uint64) string {
	return fmt.Sprintf("%s%012d", SegmentPrefix(partition), seq)
}

// AnswerObjectRoot is the object key prefix of the answers of all segments. It is
// outside SegmentPrefix, so that listing the segments returns no answers.
const AnswerObjectRoot = "ledger-answer/"

// answerObjectPrefix returns the object key prefix of the answers of a segment.
func answerObjectPrefix(partition int, seq uint64) string {
	return fmt.Sprintf("%s%03d/%012d/", AnswerObjectRoot, partition, seq)
}

func parseSegmentObjectKey(partition int, key string) (uint64, bool) {
	text, ok := strings.CutPrefix(key, SegmentPrefix(partition))
	if !ok {
		return 0, false
	}
	seq, err := strconv.ParseUint(text, 10, 64)
	return seq, err == nil
}

// Owner returns the router that should write a partition, by rendezvous hashing
// over the live routers. Ownership only avoids write conflicts: any router may
// write.
func Owner(partition int, routers []string) string {
	best, bestHash := "", uint64(0)
	for _, r := range routers {
		h := xxhash.Sum64String(strconv.Itoa(partition) + "\x00" + r)
		if best == "" || h > bestHash || h == bestHash && r < best {
			best, bestHash = r, h
		}
	}
	return best
}
