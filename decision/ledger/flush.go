package ledger

import (
	"bytes"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusline/arbutusline/objectstore"
)

// evaluation is the result of checking one operation against the loaded records.
type evaluation struct {
	// reply answers the operation. If needsWrite is true, the reply is sent only
	// after the write.
	reply      Reply
	needsWrite bool
	// fetchSegmentSeq is the sequence number of the sealed segment that must be read
	// first, or 0.
	fetchSegmentSeq uint32
	// refreshTail is true if the tail must be read first.
	refreshTail bool
}

// findRecord returns the newest record of a key, or the sequence number of the sealed
// segment that must be read to find the record.
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

// evaluate checks an operation against the loaded records and the uncommitted
// records of the batch.
func (p *Partition) evaluate(pending *pendingOp, uncommitted map[Key]Record) evaluation {
	current, fetchSegmentSeq := p.findRecord(pending.op.Key, uncommitted)
	if fetchSegmentSeq != 0 {
		return evaluation{fetchSegmentSeq: fetchSegmentSeq}
	}
	switch pending.op.Kind {
	case OpClaim:
		return evaluateClaim(pending.op, current)
	case OpFinish:
		return evaluateFinish(pending, current)
	}
	if pending.submittedAt > p.tailAsOf {
		return evaluation{refreshTail: true}
	}
	return evaluation{reply: Reply{ID: pending.op.ID, Record: current}}
}

// evaluateClaim decides whether the attempt gets the claim.
func evaluateClaim(op Op, current Record) evaluation {
	claimed := Record{Key: op.Key, BodyHash: op.BodyHash, State: StateClaimed, Endpoint: op.Endpoint,
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
			// An earlier write of this claim was applied, but its response was
			// lost.
			existing.reply.Accepted = true
			return existing
		}
		if op.PreviousAttemptID != "" && current.AttemptID == op.PreviousAttemptID {
			return granted
		}
	}
	return existing
}

// evaluateFinish decides whether a final state may be recorded: only for the
// attempt that holds the claim, and a known state never becomes StateUnknown.
func evaluateFinish(pending *pendingOp, current Record) evaluation {
	op := pending.op
	allowed := current.State == StateClaimed || current.State == StateUnknown && op.State == StateDone ||
		current.State == StateReleased && op.State == StateNotRun
	if !allowed || current.AttemptID != op.AttemptID {
		repeated := current.AttemptID == op.AttemptID && current.State == op.State
		return evaluation{reply: Reply{ID: op.ID, Record: current, Accepted: repeated}}
	}
	finished := current
	finished.State = op.State
	finished.Answer, finished.AnswerObjectKey, finished.AnswerDropped = op.Answer, pending.answerObjectKey, pending.answerDropped
	return evaluation{reply: Reply{ID: op.ID, Record: finished, Accepted: true}, needsWrite: true}
}

// processQueue evaluates the queued operations and starts at most one store call.
func (p *Partition) processQueue(now time.Duration) []Action {
	var actions []Action
	var records []Record
	batchBytes := 0
	var remaining []*pendingOp
	uncommitted := map[Key]Record{}
	writeDue, writeAllowed := false, now >= p.lastWriteAt+p.cfg.MinWriteInterval
	var fetchSegmentSeq uint32
	refreshTail := false
	for _, pending := range p.queue {
		if pending.storingAnswer || len(p.batch) >= p.cfg.MaxBatchRecords || batchBytes > p.cfg.SegmentBytes {
			remaining = append(remaining, pending)
			continue
		}
		result := p.evaluate(pending, uncommitted)
		switch {
		case result.fetchSegmentSeq != 0:
			fetchSegmentSeq = result.fetchSegmentSeq
			remaining = append(remaining, pending)
		case result.refreshTail:
			refreshTail = true
			remaining = append(remaining, pending)
		case result.needsWrite:
			uncommitted[pending.op.Key] = result.reply.Record
			records = append(records, result.reply.Record)
			batchBytes += maxRecordSize(&result.reply.Record)
			p.batch = append(p.batch, pending)
			writeDue = writeDue || now >= p.writeDueAt(pending)
		default:
			if _, batched := uncommitted[pending.op.Key]; batched {
				// The reply depends on a record that is not written yet.
				remaining = append(remaining, pending)
				continue
			}
			actions = append(actions, result.reply)
		}
	}
	p.queue = remaining
	if len(p.batch) > 0 && writeDue && writeAllowed {
		return append(actions, p.writeTail(now, records))
	}
	p.requeueBatch()
	if fetchSegmentSeq != 0 {
		p.phase, p.callStartedAt = phaseReading, now
		return append(actions, p.getSegment(uint64(fetchSegmentSeq)))
	}
	if refreshTail {
		p.phase, p.callStartedAt = phaseReading, now
		return append(actions, p.getSegment(p.tail.seq))
	}
	return actions
}

// maxRecordSize returns an upper bound of the encoded size of a record, in bytes.
func maxRecordSize(r *Record) int {
	const fixedBytes = 256
	return fixedBytes + 6*len(r.Key.IdempotencyKey) + len(r.Key.Team) + len(r.Endpoint) + len(r.AttemptID) + len(r.AnswerObjectKey) + len(r.Answer)*4/3
}

// tailUpdate is the next value of the tail, whose write is not confirmed yet.
type tailUpdate struct {
	raw     []byte
	lines   []segmentLine
	version uint64
}

func (u *tailUpdate) appendLine(l segmentLine) {
	u.raw = appendLine(u.raw, l)
	u.lines = append(u.lines, l)
}

// writeTail builds the next value of the tail and returns its conditional write.
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
	// The write that creates a segment never seals it. An unsealed segment below
	// the newest one is therefore known to be invalid.
	if len(update.raw) >= p.cfg.SegmentBytes && p.tail.version != 0 {
		update.appendLine(segmentLine{Seal: true})
	}
	p.update = update
	p.phase, p.callStartedAt, p.lastWriteAt = phaseWriting, now, now
	p.stats.Writes++
	return PutSegment{SegmentObjectKey(p.id, p.tail.seq), update.raw, p.tail.version}
}

// handlePutResult commits the write, or reads the tail again after a conflict or an
// ambiguous result.
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

// rereadTail reads the tail after a write that failed or may have failed.
func (p *Partition) rereadTail(now time.Duration) []Action {
	p.phase, p.callStartedAt = phaseReading, now
	return []Action{p.getSegment(p.tail.seq)}
}

// commitWrite applies the confirmed write to the tail and answers its operations.
func (p *Partition) commitWrite(now time.Duration) []Action {
	var actions []Action
	s := p.tail
	s.raw, s.version = p.update.raw, p.update.version
	for _, l := range p.update.lines {
		s.apply(l)
	}
	for _, pending := range p.batch {
		actions = append(actions, Reply{ID: pending.op.ID, Record: s.records[pending.op.Key], Accepted: true})
		if pending.op.Kind == OpClaim {
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
	return append(actions, p.deleteExpired(s.writerClocks)...)
}

// deleteExpired deletes the oldest segment once the clocks of enough routers show
// that it is past its retention.
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
