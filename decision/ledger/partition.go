package ledger

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/arbutusline/arbutusline/objectstore"
)

// Config holds the parameters of a Partition. Zero fields take defaults.
type Config struct {
	// SegmentBytes is the size at which a segment is sealed. Default 128 KiB:
	// every write sends the whole segment, so 1 MiB segments would send eight
	// times the bytes. The store's limit is 1 MiB.
	SegmentBytes int
	// MinWriteInterval is the minimum time between two writes. Default 150 ms,
	// which limits 32 partitions to 213 writes per second.
	MinWriteInterval time.Duration
	// MaxFinishDelay is how long an OpFinish may wait for an OpClaim to share its
	// write. Default 500 ms, which is safe because agents store answers for 60 s.
	MaxFinishDelay time.Duration
	// ClaimTimeout bounds an OpClaim or OpLookup. Default 2 s.
	ClaimTimeout time.Duration
	// FinishTimeout bounds an OpFinish during a store outage. Default 10 min.
	FinishTimeout time.Duration
	// Retention is the minimum time that a key is kept. Default 24 h.
	Retention time.Duration
	// ExpiryConfirmations is the number of routers whose own clocks must show
	// that a segment is past its retention before it is deleted. Default 2, so
	// that one wrong clock deletes nothing.
	ExpiryConfirmations int
	// MaxInlineAnswerBytes is the size of the largest answer stored in the
	// segment itself. Default 1 KiB.
	MaxInlineAnswerBytes int
	// MaxAnswerBytes is the size of the largest answer stored at all. Default
	// 512 KiB.
	MaxAnswerBytes int
	// MaxPendingOps bounds the operations without a reply. Default 4096.
	MaxPendingOps int
	// MaxBatchRecords bounds the records of one write. Default 256.
	MaxBatchRecords int
}

func (c *Config) setDefaults() {
	setDefault(&c.SegmentBytes, 128<<10)
	setDefault(&c.MinWriteInterval, 150*time.Millisecond)
	setDefault(&c.MaxFinishDelay, 500*time.Millisecond)
	setDefault(&c.ClaimTimeout, 2*time.Second)
	setDefault(&c.FinishTimeout, 10*time.Minute)
	setDefault(&c.Retention, 24*time.Hour)
	setDefault(&c.ExpiryConfirmations, 2)
	setDefault(&c.MaxInlineAnswerBytes, 1<<10)
	setDefault(&c.MaxAnswerBytes, 512<<10)
	setDefault(&c.MaxPendingOps, 4096)
	setDefault(&c.MaxBatchRecords, 256)
	// A write adds at most SegmentBytes and one record to an unsealed segment.
	c.SegmentBytes = min(c.SegmentBytes, objectstore.MaxValueBytes/3)
}

func setDefault[T int | time.Duration](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

const (
	// maxKeyBytes bounds the idempotency key.
	maxKeyBytes = 256
	// maxConcurrentLoads bounds the concurrent segment reads while a partition
	// is being loaded.
	maxConcurrentLoads = 16
	minRetryDelay      = 50 * time.Millisecond
	maxRetryDelay      = 2 * time.Second
	// minSealedSegments is the number of newest sealed segments that are never
	// deleted, so that a router that creates an outdated segment always finds a
	// segment with a higher number.
	minSealedSegments = 1
)

// phase is the store call that a Partition waits for.
type phase uint8

const (
	// phaseUnloaded means that no segment has been read.
	phaseUnloaded phase = iota
	// phaseListing waits for the list of segments to load.
	phaseListing
	// phaseLoading waits for the segments of that list.
	phaseLoading
	// phaseReady waits for no store call.
	phaseReady
	// phaseReading waits for the tail or one sealed segment.
	phaseReading
	// phaseWriting waits for the write of the tail.
	phaseWriting
	// phaseVerifying waits for a list that shows whether the tail is current.
	phaseVerifying
)

// pendingOp is an operation without a reply.
type pendingOp struct {
	op              Op
	submittedAt     time.Duration
	deadline        time.Duration
	answerObjectKey string
	answerDropped   bool
	storingAnswer   bool
}

// Stats counts the store calls and recorded operations of a Partition.
type Stats struct {
	Writes, Conflicts, AmbiguousWrites, AmbiguousWritesApplied, Reads, Lists int
	Claims, Finishes                                                         int
}

// Partition is the state machine of one partition at one router. It is not
// safe for concurrent use.
type Partition struct {
	cfg           Config
	id            int
	router        string
	writeIDPrefix string
	rng           *rand.Rand
	phase         phase

	// tail is the newest segment, to which records are appended.
	tail   *segment
	sealed []sealedSegment
	// unsealed holds the unsealed segments read while the partition is loaded.
	unsealed       []*segment
	index          keyIndex
	fetchedRecords map[Key]fetchedRecord
	segmentsToLoad []uint64
	loadsInFlight  int

	queue []*pendingOp
	// batch holds the operations of the write in flight; update is the value
	// written.
	batch   []*pendingOp
	update  *tailUpdate
	writeID string
	// ambiguousWriteID names a write that may or may not have been applied.
	ambiguousWriteID string
	writeCount       uint64
	wallClock        time.Duration
	lastWriteAt      time.Duration
	// tailAsOf is the start of the last store call that confirmed the tail.
	tailAsOf       time.Duration
	callStartedAt  time.Duration
	retryAt        time.Duration
	retryDelay     time.Duration
	storeDown      bool
	storeDownSince time.Duration
	stats          Stats
}

// sealedSegment describes a segment to which no more records are appended.
type sealedSegment struct {
	seq             uint64
	version         uint64
	newestTimestamp time.Duration
}

// fetchedRecord is a record read from a sealed segment.
type fetchedRecord struct {
	seq    uint32
	record Record
}

// New returns a partition that holds no segments; the first operation loads
// them. router is the name of this router, incarnation the unique number of this
// run of its process.
func New(cfg Config, id int, router string, incarnation uint64, rng *rand.Rand) *Partition {
	cfg.setDefaults()
	writeIDPrefix := router + "-" + strconv.FormatUint(incarnation, 36)
	return &Partition{cfg: cfg, id: id, router: router, writeIDPrefix: writeIDPrefix, rng: rng,
		lastWriteAt: -cfg.MinWriteInterval, fetchedRecords: map[Key]fetchedRecord{}}
}

// Stats returns the counters since New.
func (p *Partition) Stats() Stats { return p.stats }

// PendingOps returns the number of operations without a reply.
func (p *Partition) PendingOps() int { return len(p.queue) + len(p.batch) }

// IndexedKeys returns the number of key hashes in the index of sealed segments.
func (p *Partition) IndexedKeys() int { return p.index.len() }

// NextTick returns when Step needs a Tick, or false if it needs none.
func (p *Partition) NextTick() (time.Duration, bool) {
	if len(p.queue) == 0 {
		return 0, false
	}
	at := p.queue[0].deadline
	for _, pending := range p.queue {
		at = min(at, pending.deadline)
		if !pending.storingAnswer {
			at = min(at, max(p.writeDueAt(pending), p.retryAt, p.lastWriteAt+p.cfg.MinWriteInterval))
		}
	}
	return at, true
}

// writeDueAt returns when an operation is written even if no other operation shares
// the write.
func (p *Partition) writeDueAt(pending *pendingOp) time.Duration {
	if pending.op.Kind == OpFinish {
		return pending.submittedAt + p.cfg.MaxFinishDelay
	}
	return pending.submittedAt
}

// Step applies one input and returns the actions to carry out. now is read from a
// monotonic clock; wallClock is the time since the Unix epoch.
func (p *Partition) Step(now, wallClock time.Duration, in Input) []Action {
	p.wallClock = wallClock
	var actions []Action
	switch in := in.(type) {
	case Submitted:
		actions = p.submit(now, in.Op)
	case ListResult:
		actions = p.handleListResult(now, in)
	case GetResult:
		actions = p.handleGetResult(now, in)
	case PutResult:
		actions = p.handlePutResult(now, in)
	case PutAnswerResult:
		p.handlePutAnswerResult(in)
	case Tick:
	}
	actions = append(actions, p.expireOps(now)...)
	return append(actions, p.startNextCall(now)...)
}

func (p *Partition) submit(now time.Duration, op Op) []Action {
	if len(op.Key.IdempotencyKey) > maxKeyBytes {
		return []Action{Reply{ID: op.ID, Err: ErrKeyTooLong}}
	}
	if len(p.queue) >= p.cfg.MaxPendingOps {
		return []Action{Reply{ID: op.ID, Err: ErrOverloaded}}
	}
	pending := &pendingOp{op: op, submittedAt: now, deadline: now + p.cfg.ClaimTimeout}
	if op.Kind == OpFinish {
		pending.deadline = now + p.cfg.FinishTimeout
	} else if p.storeDown && now-p.storeDownSince > p.cfg.ClaimTimeout && now < p.retryAt {
		// The store has been down for longer than a claim may wait.
		return []Action{Reply{ID: op.ID, Err: ErrUnavailable}}
	}
	p.queue = append(p.queue, pending)
	return p.extractLargeAnswer(pending)
}

// extractLargeAnswer moves an answer that is too large for the segment to an
// object of its own, or drops it if it exceeds MaxAnswerBytes.
func (p *Partition) extractLargeAnswer(pending *pendingOp) []Action {
	size := len(pending.op.Answer)
	if size <= p.cfg.MaxInlineAnswerBytes {
		return nil
	}
	answer := pending.op.Answer
	pending.op.Answer = nil
	if size > p.cfg.MaxAnswerBytes {
		pending.answerDropped = true
		return nil
	}
	var seq uint64 = 1
	if p.tail != nil {
		seq = p.tail.seq
	}
	pending.answerObjectKey = fmt.Sprintf("%s%016x-%016x", answerObjectPrefix(p.id, seq), pending.op.Key.Hash(), xxhash.Sum64String(pending.op.AttemptID))
	pending.storingAnswer = true
	return []Action{PutAnswer{pending.op.ID, pending.answerObjectKey, answer}}
}

func (p *Partition) handlePutAnswerResult(in PutAnswerResult) {
	for _, pending := range p.queue {
		if pending.op.ID == in.OpID && pending.storingAnswer {
			pending.storingAnswer = false
			if in.Err != nil && !errors.Is(in.Err, objectstore.ErrConflict) {
				// Record the end even if its answer could not be stored.
				pending.answerObjectKey, pending.answerDropped = "", true
			}
		}
	}
}

// expireOps answers the operations whose deadline has passed.
func (p *Partition) expireOps(now time.Duration) []Action {
	var actions []Action
	p.queue = slices.DeleteFunc(p.queue, func(pending *pendingOp) bool {
		if now < pending.deadline {
			return false
		}
		actions = append(actions, Reply{ID: pending.op.ID, Err: ErrUnavailable})
		return true
	})
	return actions
}

// startNextCall starts the next store call if a call is needed and none is in flight.
func (p *Partition) startNextCall(now time.Duration) []Action {
	if len(p.queue) == 0 || now < p.retryAt {
		return nil
	}
	switch p.phase {
	case phaseUnloaded:
		p.phase = phaseListing
		p.callStartedAt = now
		p.stats.Lists++
		return []Action{ListSegments{SegmentPrefix(p.id)}}
	case phaseLoading:
		return p.continueLoad(now)
	case phaseReady:
		return p.processQueue(now)
	}
	return nil
}

// storeFailed marks the store as down and schedules a retry with exponential
// backoff and jitter.
func (p *Partition) storeFailed(now time.Duration) {
	if !p.storeDown {
		p.storeDown, p.storeDownSince = true, now
	}
	p.retryDelay = min(max(2*p.retryDelay, minRetryDelay), maxRetryDelay)
	p.retryAt = now + p.retryDelay/2 + time.Duration(p.rng.Int64N(int64(p.retryDelay)))
}

func (p *Partition) storeSucceeded() { p.storeDown, p.retryDelay, p.retryAt = false, 0, 0 }

// reset discards all loaded segments, so that they are loaded again.
func (p *Partition) reset() {
	p.phase, p.tail, p.sealed, p.index = phaseUnloaded, nil, nil, keyIndex{}
	p.segmentsToLoad, p.loadsInFlight, p.unsealed = nil, 0, nil
	clear(p.fetchedRecords)
}

// resolveAmbiguousWrite counts an ambiguous write as applied if the segment that was
// read contains its ID. The operations of the write are evaluated again in any case.
func (p *Partition) resolveAmbiguousWrite(s *segment) {
	if p.ambiguousWriteID != "" && s.writeIDs[p.ambiguousWriteID] {
		p.stats.AmbiguousWritesApplied++
	}
	p.ambiguousWriteID = ""
}

// removeSegment removes a sealed segment that was deleted from the store.
func (p *Partition) removeSegment(seq uint64) {
	p.sealed = slices.DeleteFunc(p.sealed, func(s sealedSegment) bool { return s.seq == seq })
	p.index.removeSegment(uint32(seq))
}

// requeueBatch puts the operations of an unconfirmed write back into the queue.
func (p *Partition) requeueBatch() {
	p.queue = append(p.batch, p.queue...)
	p.batch, p.update = nil, nil
}

func (p *Partition) nextWriteID() string {
	p.writeCount++
	return p.writeIDPrefix + "-" + strconv.FormatUint(p.writeCount, 36)
}
