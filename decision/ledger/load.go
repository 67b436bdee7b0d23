package ledger

import (
	"bytes"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusline/arbutusline/objectstore"
)

// segmentSeqs returns the sequence numbers of the listed segments in rising order.
func (p *Partition) segmentSeqs(keys []string) []uint64 {
	var seqs []uint64
	for _, key := range keys {
		if seq, ok := parseSegmentObjectKey(p.id, key); ok {
			seqs = append(seqs, seq)
		}
	}
	slices.Sort(seqs)
	return seqs
}

func (p *Partition) handleListResult(now time.Duration, in ListResult) []Action {
	switch {
	case in.Err != nil:
		// The tail could not be verified; load the partition again.
		p.requeueBatch()
		p.reset()
		p.storeFailed(now)
		return nil
	case p.phase == phaseVerifying:
		p.storeSucceeded()
		return p.finishVerify(now, p.segmentSeqs(in.ObjectKeys))
	case p.phase == phaseListing:
		p.storeSucceeded()
		p.segmentsToLoad, p.loadsInFlight, p.phase = p.segmentSeqs(in.ObjectKeys), 0, phaseLoading
		return p.continueLoad(now)
	}
	return nil
}

// verifyTail lists the segments after the tail was created or first read. A router
// that was paused for longer than the retention may create a segment again that
// had been deleted, or read a segment that another such router created. For every
// deleted segment there is one with a higher number, which the list shows.
func (p *Partition) verifyTail(now time.Duration) []Action {
	p.phase, p.callStartedAt = phaseVerifying, now
	p.stats.Lists++
	return []Action{ListSegments{SegmentPrefix(p.id)}}
}

// finishVerify accepts the tail if no higher segment exists, and loads the partition
// again otherwise.
func (p *Partition) finishVerify(now time.Duration, seqs []uint64) []Action {
	if len(seqs) > 0 && seqs[len(seqs)-1] > p.tail.seq {
		p.requeueBatch()
		p.reset()
		return nil
	}
	if p.update != nil {
		return p.commitWrite(now)
	}
	p.tailAsOf = p.callStartedAt
	p.phase = phaseReady
	return nil
}

// continueLoad starts more segment reads, or ends the load if none is left.
func (p *Partition) continueLoad(now time.Duration) []Action {
	var actions []Action
	for len(p.segmentsToLoad) > 0 && p.loadsInFlight < maxConcurrentLoads {
		actions = append(actions, p.getSegment(p.segmentsToLoad[0]))
		p.segmentsToLoad = p.segmentsToLoad[1:]
		p.loadsInFlight++
	}
	if p.loadsInFlight == 0 {
		actions = append(actions, p.finishLoad(now)...)
	}
	return actions
}

// finishLoad ends the load: the tail is the newest segment if it is not sealed,
// otherwise a new segment that is not in the store yet. An unsealed segment below it
// was created by a router that had been paused for longer than the retention. None of
// its claims was ever confirmed to a caller, so it is deleted. Its answer objects are
// kept: the finish that stored one may be recorded in a newer segment.
func (p *Partition) finishLoad(now time.Duration) []Action {
	var actions []Action
	var newestSealed uint64
	if n := len(p.sealed); n > 0 {
		newestSealed = p.sealed[n-1].seq
	}
	for _, s := range p.unsealed {
		if s.seq > newestSealed && (p.tail == nil || s.seq > p.tail.seq) {
			p.tail = s
		}
	}
	for _, s := range p.unsealed {
		if s != p.tail {
			actions = append(actions, DeleteSegment{ObjectKey: SegmentObjectKey(p.id, s.seq), ExpectedVersion: s.version})
		}
	}
	p.unsealed = nil
	if p.tail != nil {
		return append(actions, p.verifyTail(now)...)
	}
	p.tail = newSegment(newestSealed + 1)
	p.phase = phaseReady
	return actions
}

func (p *Partition) getSegment(seq uint64) Action {
	p.stats.Reads++
	return GetSegment{SegmentObjectKey(p.id, seq)}
}

func (p *Partition) handleGetResult(now time.Duration, in GetResult) []Action {
	seq, ok := parseSegmentObjectKey(p.id, in.ObjectKey)
	if !ok {
		return nil
	}
	switch p.phase {
	case phaseLoading:
		return p.handleLoadRead(now, seq, in)
	case phaseReading:
		return p.handleSegmentRead(now, seq, in)
	}
	return nil
}

// handleLoadRead processes the result of reading a segment while the partition is
// loaded.
func (p *Partition) handleLoadRead(now time.Duration, seq uint64, in GetResult) []Action {
	p.loadsInFlight--
	switch {
	case errors.Is(in.Err, objectstore.ErrNotFound):
		// The segment was deleted after the list.
	case in.Err != nil:
		p.segmentsToLoad = append(p.segmentsToLoad, seq)
		p.storeFailed(now)
		return nil
	default:
		s, err := parseSegment(seq, in.Object.Version, in.Object.Value)
		if err != nil {
			p.reset()
			p.storeFailed(now)
			return nil
		}
		p.storeSucceeded()
		p.addSegment(s)
	}
	return p.continueLoad(now)
}

// addSegment adds a segment that was read. Of a sealed segment, only the key hashes
// are added to the index.
func (p *Partition) addSegment(s *segment) {
	if !s.sealed {
		p.unsealed = append(p.unsealed, s)
		return
	}
	for _, existing := range p.sealed {
		if existing.seq == s.seq {
			return
		}
	}
	p.sealed = append(p.sealed, sealedSegment{s.seq, s.version, s.newestTimestamp})
	slices.SortFunc(p.sealed, func(a, b sealedSegment) int { return int(int64(a.seq) - int64(b.seq)) })
	for key := range s.records {
		p.index.add(key.Hash(), uint32(s.seq))
	}
}

// handleSegmentRead processes the result of reading the tail or one sealed segment.
func (p *Partition) handleSegmentRead(now time.Duration, seq uint64, in GetResult) []Action {
	missing := errors.Is(in.Err, objectstore.ErrNotFound)
	if in.Err != nil && !missing {
		p.phase = phaseReady
		p.storeFailed(now)
		return nil
	}
	p.storeSucceeded()
	p.phase = phaseReady
	if seq < p.tail.seq {
		return p.handleSealedRead(seq, in, missing)
	}
	return p.handleTailRead(now, seq, in, missing)
}

// handleSealedRead keeps the records of a sealed segment that queued operations
// need.
func (p *Partition) handleSealedRead(seq uint64, in GetResult, missing bool) []Action {
	if missing {
		p.removeSegment(seq)
		return nil
	}
	s, err := parseSegment(seq, in.Object.Version, in.Object.Value)
	if err != nil {
		p.reset()
		return nil
	}
	for _, pending := range p.queue {
		key := pending.op.Key
		if r, ok := s.records[key]; ok {
			p.fetchedRecords[key] = fetchedRecord{uint32(seq), r}
		} else {
			// Another key has the same hash; the key may be in an older
			// segment.
			p.index.addFalseMatch(key.Hash(), uint32(seq), key)
		}
	}
	return nil
}

// handleTailRead replaces the tail by the value read, and moves on to the next
// segment if that value is sealed.
func (p *Partition) handleTailRead(now time.Duration, seq uint64, in GetResult, missing bool) []Action {
	known := p.tail.version != 0
	if missing && !known {
		p.tailAsOf = p.callStartedAt
		p.ambiguousWriteID = ""
		return nil
	}
	s, err := parseSegment(seq, in.Object.Version, in.Object.Value)
	if missing || err != nil || known && !bytes.HasPrefix(s.raw, p.tail.raw) {
		// The newest segment is never deleted and only grows, so the loaded state
		// is invalid.
		p.reset()
		return nil
	}
	p.resolveAmbiguousWrite(s)
	switch {
	case s.sealed:
		p.addSegment(s)
		p.tail = newSegment(seq + 1)
		p.phase = phaseReading
		return []Action{p.getSegment(seq + 1)}
	case !known:
		p.tail = s
		return p.verifyTail(now)
	}
	p.tail = s
	p.tailAsOf = p.callStartedAt
	return nil
}
