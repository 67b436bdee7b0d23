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

// Config are the parameters of a Partition.
type Config struct {
	// SegmentBytes is the size at which a segment is sealed. Default 128 KiB:
	// every write sends the whole segment, so that 1 MiB segments would send
	// eight times the bytes. The store's limit is 1 MiB.
	SegmentBytes int
	// MinInterval is the least time between two writes. Default 150 ms, which
	// keeps 32 partitions at 213 writes per second at most.
	MinWriteInterval time.Duration
	// FinishDelay is how long the end of a request may wait for a claim to
	// share its write. Default 500 ms; agents keep answers for 60 s.
	MaxFinishDelay time.Duration
	// ClaimWait bounds the wait of a claim or lookup. Default 2 s.
	ClaimTimeout time.Duration
	// FinishWait bounds the wait of a finish during an outage. Default 10 min.
	FinishTimeout time.Duration
	// Retention is the least time that a key is remembered. Default 24 h.
	Retention time.Duration
	// Confirmations is the number of routers whose own clocks must agree that
	// a segment is past its retention before it is dropped. Default 2, so that
	// one wrong clock forgets nothing.
	ExpiryConfirmations int
	// InlineBytes is the largest answer kept in the segment. Default 1 KiB.
	MaxInlineAnswerBytes int
	// AnswerBytes is the largest answer recorded at all. Default 512 KiB.
	MaxAnswerBytes int
	// MaxWaiting bounds waiting operations. Default 4096.
	MaxPendingOps int
	// MaxBatch bounds the records of one write. Default 256.
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
	// A write adds at most SegmentBytes and one record to an open segment.
	c.SegmentBytes = min(c.SegmentBytes, objectstore.MaxValueBytes/3)
}

func setDefault[T int | time.Duration](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

const (
	// maxKeyBytes bounds the caller's key.
	maxKeyBytes = 256
	// loadsAtOnce bounds the concurrent reads of a partition that is loaded.
	maxConcurrentLoads = 16
	minRetryDelay      = 50 * time.Millisecond
	maxRetryDelay      = 2 * time.Second
	// keptSealed is the number of newest sealed segments that are never
	// dropped, so that a stale creation always finds a higher segment.
	minSealedSegments = 1
)

type phase uint8

const (
	phaseUnloaded phase = iota
	phaseListing
	phaseLoading
	phaseReady
	phaseReading
	phaseWriting
	phaseVerifying
)

type pendingOp struct {
	op              Op
	submittedAt     time.Duration
	deadline        time.Duration
	answerObjectKey string
	answerDropped   bool
	storingAnswer   bool
}

// Stats counts what a Partition did.
type Stats struct {
	Writes, Conflicts, AmbiguousWrites, AmbiguousWritesApplied, Reads, Lists int
	Claims, Finishes                                                         int
}

// Partition is the state of one partition at one router. It is not safe for
// concurrent use.
type Partition struct {
	cfg           Config
	id            int
	router        string
	writeIDPrefix string
	rng           *rand.Rand
	phase         phase

	tail           *segment
	sealed         []sealedSegment
	unsealed       []*segment
	index          keyIndex
	fetchedRecords map[Key]fetchedRecord
	segmentsToLoad []uint64
	loadsInFlight  int

	queue            []*pendingOp
	batch            []*pendingOp
	update           *tailUpdate
	writeID          string
	ambiguousWriteID string
	writeCount       uint64
	wallClock        time.Duration
	lastWriteAt      time.Duration
	// refreshed is when the read started that the tail was last known from.
	tailAsOf       time.Duration
	callStartedAt  time.Duration
	retryAt        time.Duration
	retryDelay     time.Duration
	storeDown      bool
	storeDownSince time.Duration
	stats          Stats
}

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

// New returns an empty view of a partition; the first operation loads it.
// Router is the name of this router, incarnation the unique number of its run.
func New(cfg Config, id int, router string, incarnation uint64, rng *rand.Rand) *Partition {
	cfg.setDefaults()
	writeIDPrefix := router + "-" + strconv.FormatUint(incarnation, 36)
	return &Partition{cfg: cfg, id: id, router: router, writeIDPrefix: writeIDPrefix, rng: rng,
		lastWriteAt: -cfg.MinWriteInterval, fetchedRecords: map[Key]fetchedRecord{}}
}

// Stats returns the counters.
func (p *Partition) Stats() Stats { return p.stats }

// Waiting returns the number of operations without a reply.
func (p *Partition) PendingOps() int { return len(p.queue) + len(p.batch) }

// IndexedKeys returns the number of keys of sealed segments held in memory.
func (p *Partition) IndexedKeys() int { return p.index.len() }

// Wake returns when Step needs a Tick, and false when it needs none.
func (p *Partition) NextTick() (time.Duration, bool) {
	if len(p.queue) == 0 {
		return 0, false
	}
	at := p.queue[0].deadline
	for _, q := range p.queue {
		at = min(at, q.deadline)
		if !q.storingAnswer {
			at = min(at, max(p.writeDueAt(q), p.retryAt, p.lastWriteAt+p.cfg.MinWriteInterval))
		}
	}
	return at, true
}

// dueAt is when an operation wants a write of its own.
func (p *Partition) writeDueAt(q *pendingOp) time.Duration {
	if q.op.Kind == OpFinish {
		return q.submittedAt + p.cfg.MaxFinishDelay
	}
	return q.submittedAt
}

// Step applies one input and returns what is to be done. Clock is the wall clock.
func (p *Partition) Step(now, wallClock time.Duration, in Input) []Action {
	p.wallClock = wallClock
	var out []Action
	switch in := in.(type) {
	case Submitted:
		out = p.submit(now, in.Op)
	case ListResult:
		out = p.handleListResult(now, in)
	case GetResult:
		out = p.handleGetResult(now, in)
	case PutResult:
		out = p.handlePutResult(now, in)
	case PutAnswerResult:
		p.handlePutAnswerResult(in)
	case Tick:
	}
	out = append(out, p.expireOps(now)...)
	return append(out, p.startNextCall(now)...)
}

func (p *Partition) submit(now time.Duration, op Op) []Action {
	if len(op.Key.IdempotencyKey) > maxKeyBytes {
		return []Action{Reply{ID: op.ID, Err: ErrKeyTooLong}}
	}
	if len(p.queue) >= p.cfg.MaxPendingOps {
		return []Action{Reply{ID: op.ID, Err: ErrOverloaded}}
	}
	q := &pendingOp{op: op, submittedAt: now, deadline: now + p.cfg.ClaimTimeout}
	if op.Kind == OpFinish {
		q.deadline = now + p.cfg.FinishTimeout
	} else if p.storeDown && now-p.storeDownSince > p.cfg.ClaimTimeout && now < p.retryAt {
		// The store has failed for longer than a claim may wait.
		return []Action{Reply{ID: op.ID, Err: ErrUnavailable}}
	}
	p.queue = append(p.queue, q)
	return p.extractLargeAnswer(q)
}

// prepareAnswer moves a large answer out of the record.
func (p *Partition) extractLargeAnswer(q *pendingOp) []Action {
	size := len(q.op.Answer)
	if size <= p.cfg.MaxInlineAnswerBytes {
		return nil
	}
	answer := q.op.Answer
	q.op.Answer = nil
	if size > p.cfg.MaxAnswerBytes {
		q.answerDropped = true
		return nil
	}
	var seq uint64 = 1
	if p.tail != nil {
		seq = p.tail.seq
	}
	q.answerObjectKey = fmt.Sprintf("%s%016x-%016x", answerObjectPrefix(p.id, seq), q.op.Key.Hash(), xxhash.Sum64String(q.op.AttemptID))
	q.storingAnswer = true
	return []Action{PutAnswer{q.op.ID, q.answerObjectKey, answer}}
}

func (p *Partition) handlePutAnswerResult(in PutAnswerResult) {
	for _, q := range p.queue {
		if q.op.ID == in.OpID && q.storingAnswer {
			q.storingAnswer = false
			if in.Err != nil && !errors.Is(in.Err, objectstore.ErrConflict) {
				// The end is worth recording without its answer.
				q.answerObjectKey, q.answerDropped = "", true
			}
		}
	}
}

// expire answers operations whose time is up.
func (p *Partition) expireOps(now time.Duration) []Action {
	var out []Action
	p.queue = slices.DeleteFunc(p.queue, func(q *pendingOp) bool {
		if now < q.deadline {
			return false
		}
		out = append(out, Reply{ID: q.op.ID, Err: ErrUnavailable})
		return true
	})
	return out
}

// advance starts the next store call when one is needed and none is running.
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

func (p *Partition) storeFailed(now time.Duration) {
	if !p.storeDown {
		p.storeDown, p.storeDownSince = true, now
	}
	p.retryDelay = min(max(2*p.retryDelay, minRetryDelay), maxRetryDelay)
	p.retryAt = now + p.retryDelay/2 + time.Duration(p.rng.Int64N(int64(p.retryDelay)))
}

func (p *Partition) storeSucceeded() { p.storeDown, p.retryDelay, p.retryAt = false, 0, 0 }

// reset forgets the view, so that it is loaded anew.
func (p *Partition) reset() {
	p.phase, p.tail, p.sealed, p.index = phaseUnloaded, nil, nil, keyIndex{}
	p.segmentsToLoad, p.loadsInFlight, p.unsealed = nil, 0, nil
	clear(p.fetchedRecords)
}

// noteUnsure settles an ambiguous write by its write id. The operations
// themselves are evaluated again over what was read.
func (p *Partition) resolveAmbiguousWrite(s *segment) {
	if p.ambiguousWriteID != "" && s.writeIDs[p.ambiguousWriteID] {
		p.stats.AmbiguousWritesApplied++
	}
	p.ambiguousWriteID = ""
}

// forget removes a dropped segment from the view.
func (p *Partition) removeSegment(seq uint64) {
	p.sealed = slices.DeleteFunc(p.sealed, func(s sealedSegment) bool { return s.seq == seq })
	p.index.removeSegment(uint32(seq))
}

func (p *Partition) requeueBatch() {
	p.queue = append(p.batch, p.queue...)
	p.batch, p.update = nil, nil
}

func (p *Partition) nextWriteID() string {
	p.writeCount++
	return p.writeIDPrefix + "-" + strconv.FormatUint(p.writeCount, 36)
}
