package ledger

import (
	"bytes"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusline/arbutusline/objectstore"
)

// verdict is the result of evaluating one operation against the view.
type evaluation struct {
	// reply answers the operation; when write is set, only after the write.
	reply      Reply
	needsWrite bool
	// fetch is a sealed segment that must be read first, or 0.
	fetchSegment uint32
	// refresh is true when the tail must be read first.
	refreshTail bool
}

// find returns the newest record of a key, or the sealed segment to read.
func (p *Partition) findRecord(key Key, uncommitted map[Key]Record) (Record, uint32) {
	if r, ok := uncommitted[key]; ok {
		return r, 0
	}
	if r, ok := p.tail.records[key]; ok {
		return r, 0
	}
	seq, ok := p.index.newestSegment(key)
	if !ok {
		return Record{Key: key}, 0
	}
	if f, ok := p.fetchedRecords[key]; ok && f.seq == seq {
		return f.record, 0
	}
	return Record{}, seq
}

func (p *Partition) evaluate(q *pendingOp, uncommitted map[Key]Record) evaluation {
	current, fetchSegment := p.findRecord(q.op.Key, uncommitted)
	if fetchSegment != 0 {
		return evaluation{fetchSegment: fetchSegment}
	}
	switch q.op.Kind {
	case OpClaim:
		return evaluateClaim(q.op, current)
	case OpFinish:
		return evaluateFinish(q, current)
	}
	if q.submittedAt > p.tailAsOf {
		return evaluation{refreshTail: true}
	}
	return evaluation{reply: Reply{ID: q.op.ID, Record: current}}
}

func evaluateClaim(op Op, current Record) evaluation {
	claimed := Record{Key: op.Key, BodyHash: op.BodyHash, State: StateClaimed, Agent: op.Agent,
		AgentIncarnation: op.AgentIncarnation, AttemptID: op.AttemptID}
	existing := evaluation{reply: Reply{ID: op.ID, Record: current}}
	granted := evaluation{reply: Reply{ID: op.ID, Record: claimed, Accepted: true}, needsWrite: true}
	if current.State != StateNone && current.BodyHash != op.BodyHash {
		existing.reply.Err = ErrKeyReused
		return existing
	}
	switch current.State {
	case StateNone, StateReleased:
		return granted
	case StateClaimed:
		if current.AttemptID == op.AttemptID {
			// An earlier write of this claim was applied although its answer
			// was lost.
			existing.reply.Accepted = true
			return existing
		}
		if op.PreviousAttemptID != "" && current.AttemptID == op.PreviousAttemptID {
			return granted
		}
	}
	return existing
}

// evaluateFinish decides whether an end may be recorded: only for the attempt
// that holds the claim, and an end that is known never becomes unknown.
func evaluateFinish(q *pendingOp, current Record) evaluation {
	op := q.op
	allowed := current.State == StateClaimed || current.State == StateUnknown && op.State == StateDone ||
		current.State == StateReleased && op.State == StateNotRun
	if !allowed || current.AttemptID != op.AttemptID {
		repeated := current.AttemptID == op.AttemptID && current.State == op.State
		return evaluation{reply: Reply{ID: op.ID, Record: current, Accepted: repeated}}
	}
	finished := current
	finished.State = op.State
	finished.Answer, finished.AnswerObjectKey, finished.AnswerDropped = op.Answer, q.answerObjectKey, q.answerDropped
	return evaluation{reply: Reply{ID: op.ID, Record: finished, Accepted: true}, needsWrite: true}
}

// flush evaluates the waiting operations and starts at most one store call.
func (p *Partition) processQueue(now time.Duration) []Action {
	var out []Action
	var records []Record
	batchBytes := 0
	var remaining []*pendingOp
	uncommitted := map[Key]Record{}
	writeDue, writeAllowed := false, now >= p.lastWriteAt+p.cfg.MinWriteInterval
	var fetchSegment uint32
	refreshTail := false
	for _, q := range p.queue {
		if q.storingAnswer || len(p.batch) >= p.cfg.MaxBatchRecords || batchBytes > p.cfg.SegmentBytes {
			remaining = append(remaining, q)
			continue
		}
		v := p.evaluate(q, uncommitted)
		switch {
		case v.fetchSegment != 0:
			fetchSegment = v.fetchSegment
			remaining = append(remaining, q)
		case v.refreshTail:
			refreshTail = true
			remaining = append(remaining, q)
		case v.needsWrite:
			uncommitted[q.op.Key] = v.reply.Record
			records = append(records, v.reply.Record)
			batchBytes += maxRecordSize(&v.reply.Record)
			p.batch = append(p.batch, q)
			writeDue = writeDue || now >= p.writeDueAt(q)
		default:
			if _, batched := uncommitted[q.op.Key]; batched {
				// The answer rests on a record that is not yet written.
				remaining = append(remaining, q)
				continue
			}
			out = append(out, v.reply)
		}
	}
	p.queue = remaining
	if len(p.batch) > 0 && writeDue && writeAllowed {
		return append(out, p.writeTail(now, records))
	}
	p.requeueBatch()
	if fetchSegment != 0 {
		p.phase, p.callStartedAt = phaseReading, now
		return append(out, p.getSegment(uint64(fetchSegment)))
	}
	if refreshTail {
		p.phase, p.callStartedAt = phaseReading, now
		return append(out, p.getSegment(p.tail.seq))
	}
	return out
}

// recordSize estimates the encoded size of a record from above, in bytes.
func maxRecordSize(r *Record) int {
	const fixedBytes = 256
	return fixedBytes + 6*len(r.Key.IdempotencyKey) + len(r.Key.Team) + len(r.Agent) + len(r.AttemptID) + len(r.AnswerObjectKey) + len(r.Answer)*4/3
}

// nextWrite is the value of a write that is not yet known to be applied.
type tailUpdate struct {
	raw     []byte
	lines   []segmentLine
	version uint64
}

func (u *tailUpdate) appendLine(l segmentLine) {
	u.raw = appendLine(u.raw, l)
	u.lines = append(u.lines, l)
}

// write builds the next value of the tail and asks for its conditional write.
func (p *Partition) writeTail(now time.Duration, records []Record) Action {
	p.writeID = p.nextWriteID()
	timestamp := max(p.wallClock, p.tail.newestTimestamp)
	if n := len(p.sealed); n > 0 {
		timestamp = max(timestamp, p.sealed[n-1].newestTimestamp)
	}
	update := &tailUpdate{raw: bytes.Clone(p.tail.raw)}
	update.appendLine(segmentLine{WriteID: p.writeID, Router: p.router, ClockMS: p.wallClock.Milliseconds(), TimestampMS: timestamp.Milliseconds()})
	for _, r := range records {
		update.appendLine(newRecordLine(r))
	}
	// The write that creates a segment never seals it, so that a segment below
	// the newest one that is not sealed is known to be void.
	if len(update.raw) >= p.cfg.SegmentBytes && p.tail.version != 0 {
		update.appendLine(segmentLine{Seal: true})
	}
	p.update = update
	p.phase, p.callStartedAt, p.lastWriteAt = phaseWriting, now, now
	p.stats.Writes++
	return PutSegment{SegmentObjectKey(p.id, p.tail.seq), update.raw, p.tail.version}
}

func (p *Partition) handlePutResult(now time.Duration, in PutResult) []Action {
	if p.phase != phaseWriting {
		return nil
	}
	switch {
	case in.Err == nil:
		p.storeSucceeded()
		p.update.version = in.Version
		if p.tail.version == 0 {
			return p.verifyTail(now)
		}
		return p.commitWrite(now)
	case errors.Is(in.Err, objectstore.ErrConflict):
		p.stats.Conflicts++
		p.requeueBatch()
		return p.rereadTail(now)
	case errors.Is(in.Err, objectstore.ErrAmbiguous):
		p.stats.AmbiguousWrites++
		p.ambiguousWriteID = p.writeID
		p.requeueBatch()
		return p.rereadTail(now)
	default:
		p.requeueBatch()
		p.phase = phaseReady
		p.storeFailed(now)
		return nil
	}
}

// reread reads the tail after a write that failed or may have failed.
func (p *Partition) rereadTail(now time.Duration) []Action {
	p.phase, p.callStartedAt = phaseReading, now
	return []Action{p.getSegment(p.tail.seq)}
}

// commit makes the written segment the view and answers its operations.
func (p *Partition) commitWrite(now time.Duration) []Action {
	var out []Action
	s := p.tail
	s.raw, s.version = p.update.raw, p.update.version
	for _, l := range p.update.lines {
		s.apply(l)
	}
	for _, q := range p.batch {
		out = append(out, Reply{ID: q.op.ID, Record: s.records[q.op.Key], Accepted: true})
		if q.op.Kind == OpClaim {
			p.stats.Claims++
		} else {
			p.stats.Finishes++
		}
	}
	p.batch, p.update, p.phase = nil, nil, phaseReady
	p.tailAsOf = p.callStartedAt
	clear(p.fetchedRecords)
	if s.sealed {
		p.addSegment(s)
		p.tail = newSegment(s.seq + 1)
		p.tail.newestTimestamp = s.newestTimestamp
	}
	return append(out, p.deleteExpired(s.writerClocks)...)
}

// dropOld drops the oldest segment once enough routers' own clocks say that
// its retention is over.
func (p *Partition) deleteExpired(writerClocks map[string]time.Duration) []Action {
	if len(p.sealed) <= minSealedSegments {
		return nil
	}
	oldest := p.sealed[0]
	confirmations := 0
	for _, clock := range writerClocks {
		if clock > oldest.newestTimestamp+p.cfg.Retention {
			confirmations++
		}
	}
	if confirmations < p.cfg.ExpiryConfirmations {
		return nil
	}
	p.removeSegment(oldest.seq)
	return []Action{DeleteSegment{SegmentObjectKey(p.id, oldest.seq), oldest.version, answerObjectPrefix(p.id, oldest.seq)}}
}
