// Package ledger records claims of requests that may run at most once. Each
// partition is a chain of segments in the object store, and the conditional
// write of the newest segment alone decides who holds a claim. Partition is a
// pure state machine over that chain; it groups concurrent claims into one
// write.
//
// Beside the usual now, a Partition is given the wall clock, as time since the
// Unix epoch, which only decides when a segment's retention is over.
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
	// ErrKeyReused means that the key belongs to a request with another body.
	ErrKeyReused = errors.New("idempotency key was used with another body")
	// ErrUnavailable means that the store could not be asked in time. The
	// claim may still become durable, but nobody was told that it is held.
	ErrUnavailable = errors.New("ledger could not reach the object store")
	// ErrKeyTooLong means that the key exceeds 256 bytes.
	ErrKeyTooLong = errors.New("idempotency key is longer than 256 bytes")
	// ErrOverloaded means that too many operations wait.
	ErrOverloaded = errors.New("ledger has too many waiting operations")
	// ErrCorrupt means that a segment can't be parsed.
	ErrCorrupt = errors.New("ledger segment is corrupt")
)

// Key names a request that may run at most once.
type Key struct {
	Team string
	// ID is the caller's Idempotency-Key.
	IdempotencyKey string
}

// Hash returns the hash that selects the partition and the index entry.
func (k Key) Hash() uint64 { return xxhash.Sum64String(k.Team + "\x00" + k.IdempotencyKey) }

// Partition returns the partition of the key among n.
func (k Key) Partition(n int) int { return int(k.Hash() % uint64(n)) }

// State is what is known about a key.
type State string

// States of a key.
const (
	// StateNone means that the key was never claimed within the retention.
	StateNone State = ""
	// StateClaimed means that the named attempt may run or have run.
	StateClaimed State = "claimed"
	// StateReleased means that the claimed attempt provably did not run. The
	// key may be claimed again.
	StateReleased State = "released"
	// StateDone means that the attempt ran; the answer may be recorded.
	StateDone State = "done"
	// StateNotRun means that the key is closed: it did not and will not run.
	StateNotRun State = "not_run"
	// StateUnknown means that the attempt may have run and that nobody can
	// tell any more.
	StateUnknown State = "unknown"
)

// Record is the newest entry of a key.
type Record struct {
	Key      Key
	BodyHash uint64
	State    State
	// Agent, Incarnation and Attempt name the holder of the claim.
	Agent            string
	AgentIncarnation uint64
	AttemptID        string
	// Answer is the recorded answer of StateDone if it is small.
	Answer []byte
	// AnswerObject is the object key of a larger answer.
	AnswerObjectKey string
	// AnswerDropped is true when the answer exceeded the limit.
	AnswerDropped bool
}

// line is one line of a segment: a write mark, a record or the seal.
type segmentLine struct {
	WriteID string `json:"w,omitempty"`
	Router  string `json:"by,omitempty"`
	// ClockMS is the writer's own clock, which only serves retention.
	ClockMS int64 `json:"c,omitempty"`
	// StampMS never falls along the chain.
	TimestampMS int64 `json:"t,omitempty"`
	Seal        bool  `json:"seal,omitempty"`

	Team             string `json:"m,omitempty"`
	IdempotencyKey   string `json:"k,omitempty"`
	BodyHash         uint64 `json:"b,omitempty"`
	State            State  `json:"s,omitempty"`
	Agent            string `json:"a,omitempty"`
	AgentIncarnation uint64 `json:"i,omitempty"`
	AttemptID        string `json:"n,omitempty"`
	Answer           []byte `json:"r,omitempty"`
	AnswerObjectKey  string `json:"o,omitempty"`
	AnswerDropped    bool   `json:"d,omitempty"`
}

func newRecordLine(r Record) segmentLine {
	return segmentLine{Team: r.Key.Team, IdempotencyKey: r.Key.IdempotencyKey, BodyHash: r.BodyHash, State: r.State, Agent: r.Agent,
		AgentIncarnation: r.AgentIncarnation, AttemptID: r.AttemptID, Answer: r.Answer, AnswerObjectKey: r.AnswerObjectKey, AnswerDropped: r.AnswerDropped}
}

func (l segmentLine) record() Record {
	return Record{Key: Key{l.Team, l.IdempotencyKey}, BodyHash: l.BodyHash, State: l.State, Agent: l.Agent, AgentIncarnation: l.AgentIncarnation,
		AttemptID: l.AttemptID, Answer: l.Answer, AnswerObjectKey: l.AnswerObjectKey, AnswerDropped: l.AnswerDropped}
}

func appendLine(dst []byte, l segmentLine) []byte {
	text, err := json.Marshal(l)
	if err != nil {
		panic(err) // no field of line can fail
	}
	return append(append(dst, text...), '\n')
}

// segment is a parsed object of the chain.
type segment struct {
	seq      uint64
	version  uint64
	raw      []byte
	sealed   bool
	records  map[Key]Record
	writeIDs map[string]bool
	// newest is the largest stamp; clocks holds the last clock of each writer.
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

// Prefix returns the object key prefix of a partition's segments.
func SegmentPrefix(partition int) string { return fmt.Sprintf("ledger/%03d/", partition) }

// SegmentKey returns the object key of a segment.
func SegmentObjectKey(partition int, seq uint64) string {
	return fmt.Sprintf("%s%012d", SegmentPrefix(partition), seq)
}

// answerPrefix is outside Prefix, so that listing segments stays short.
func answerObjectPrefix(partition int, seq uint64) string {
	return fmt.Sprintf("ledger-answer/%03d/%012d/", partition, seq)
}

func parseSegmentObjectKey(partition int, key string) (uint64, bool) {
	text, ok := strings.CutPrefix(key, SegmentPrefix(partition))
	if !ok {
		return 0, false
	}
	seq, err := strconv.ParseUint(text, 10, 64)
	return seq, err == nil
}

// Owner returns the router that writes a partition, by rendezvous hashing over
// the live routers. Ownership only saves conflicts; it gives no right.
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
