package capacity

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/arbutusline/arbutusline/decision/ledger"
	"github.com/arbutusline/arbutusline/objectstore"
)

const (
	// storeLatency is the virtual time that one store call takes.
	storeLatency = 5 * time.Millisecond
	// requestDuration is the time from a claim to its finish.
	requestDuration = 200 * time.Millisecond
	// ledgerRunDuration is the virtual time during which claims arrive.
	ledgerRunDuration = 2 * time.Minute
	// answerBytes is the size of a recorded answer.
	answerBytes = 200
)

// scheduledInput is an input of the partition at a virtual time. Inputs of the same time
// are ordered by sequence.
type scheduledInput struct {
	at       time.Duration
	sequence int
	input    ledger.Input
}

type inputQueue []scheduledInput

func (e inputQueue) Len() int { return len(e) }
func (e inputQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e inputQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *inputQueue) Push(x any)   { *e = append(*e, x.(scheduledInput)) }
func (e *inputQueue) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// ledgerSimulation drives one partition against an object store in virtual time.
type ledgerSimulation struct {
	partition     *ledger.Partition
	objects       map[string]objectstore.Object
	lastVersion   uint64
	queue         inputQueue
	lastSequence  int
	now           time.Duration
	writtenBytes  int
	replies       int
	failedReplies int
}

func (r *ledgerSimulation) schedule(d time.Duration, in ledger.Input) {
	r.lastSequence++
	heap.Push(&r.queue, scheduledInput{r.now + d, r.lastSequence, in})
}

// simulateLedger submits claims at a mean rate per second, each followed by its finish,
// and returns the simulation when no input is left.
func simulateLedger(rate float64, duration time.Duration) *ledgerSimulation {
	r := &ledgerSimulation{objects: map[string]objectstore.Object{}}
	r.partition = ledger.New(ledger.Config{}, 0, "router-1", exampleIncarnation, rand.New(rand.NewPCG(9, 10)))
	rng := rand.New(rand.NewPCG(11, 12))
	id := uint64(0)
	for at := time.Duration(0); at < duration; at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second)) {
		id++
		op := ledger.Op{
			ID: 2 * id, Kind: ledger.OpClaim, Key: ledger.Key{Team: "team-042", IdempotencyKey: fmt.Sprintf("order-2026-%012d", id)},
			BodyHash: rng.Uint64(), Endpoint: "agent-rec-0007", AgentIncarnation: exampleIncarnation, AttemptID: fmt.Sprintf("dfkz3gq0w1a8-%d@rec-0007/1", id),
		}
		r.schedule(at, ledger.Submitted{Op: op})
		op.ID, op.Kind, op.State, op.Answer = op.ID+1, ledger.OpFinish, ledger.StateDone, make([]byte, answerBytes)
		r.schedule(at+requestDuration, ledger.Submitted{Op: op})
	}
	for len(r.queue) > 0 {
		next := heap.Pop(&r.queue).(scheduledInput)
		r.now = next.at
		for _, action := range r.partition.Step(r.now, r.now, next.input) {
			r.handleAction(action)
		}
		if at, ok := r.partition.NextTick(); ok && len(r.queue) == 0 {
			r.schedule(max(at-r.now, time.Millisecond), ledger.Tick{})
		} else if ok && at < r.queue[0].at {
			r.schedule(max(at-r.now, time.Millisecond), ledger.Tick{})
		}
	}
	return r
}

func (r *ledgerSimulation) handleAction(action ledger.Action) {
	switch a := action.(type) {
	case ledger.Reply:
		r.replies++
		if a.Err != nil {
			r.failedReplies++
		}
	case ledger.ListSegments:
		var keys []string
		for key := range r.objects {
			keys = append(keys, key)
		}
		r.schedule(storeLatency, ledger.ListResult{ObjectKeys: keys})
	case ledger.GetSegment:
		o, ok := r.objects[a.ObjectKey]
		if !ok {
			r.schedule(storeLatency, ledger.GetResult{ObjectKey: a.ObjectKey, Err: objectstore.ErrNotFound})
			return
		}
		r.schedule(storeLatency, ledger.GetResult{ObjectKey: a.ObjectKey, Object: o})
	case ledger.PutSegment:
		if r.objects[a.ObjectKey].Version != a.ExpectedVersion {
			r.schedule(storeLatency, ledger.PutResult{Err: objectstore.ErrConflict})
			return
		}
		r.lastVersion++
		r.writtenBytes += len(a.Value)
		r.objects[a.ObjectKey] = objectstore.Object{Key: a.ObjectKey, Value: a.Value, Version: r.lastVersion}
		r.schedule(storeLatency, ledger.PutResult{Version: r.lastVersion})
	}
}

// claimsPerSecond are the measured claim rates of one partition. With 32 partitions they
// are 0.17%, 1% and 5% of the target's requests.
var claimsPerSecond = []float64{1, 6, 30}

func measureLedger(s *Slopes) error {
	if err := measureLedgerCounts(s); err != nil {
		return err
	}
	micros := cpuMicrosPerCall(1, func(int) { simulateLedger(claimsPerSecond[1], ledgerRunDuration) })
	s.addMeasured("ledger.time", micros/(claimsPerSecond[1]*ledgerRunDuration.Seconds()), "µs", "6 claims per second in one partition, per request, without the store's client")
	var indexedKeys [2]int
	var heapBytes [2]float64
	for i, duration := range []time.Duration{2 * time.Minute, 12 * time.Minute} {
		heapBytes[i] = addedHeapBytes(func() any {
			r := simulateLedger(30, duration)
			indexedKeys[i] = r.partition.IndexedKeys()
			return r.partition
		})
	}
	s.addMeasured("ledger.key", (heapBytes[1]-heapBytes[0])/float64(indexedKeys[1]-indexedKeys[0]), "B", fmt.Sprintf("slope from %d to %d remembered keys", indexedKeys[0], indexedKeys[1]))
	return nil
}

// measureLedgerCounts counts store writes per claim, bytes per write and stored bytes per
// record.
func measureLedgerCounts(s *Slopes) error {
	for _, rate := range claimsPerSecond {
		r := simulateLedger(rate, ledgerRunDuration)
		stats := r.partition.Stats()
		if r.failedReplies > 0 || stats.Claims == 0 || stats.Claims != stats.Finishes {
			return fmt.Errorf("ledger run at %g/s: %d of %d replies failed, %d claims, %d finishes", rate, r.failedReplies, r.replies, stats.Claims, stats.Finishes)
		}
		conditions := fmt.Sprintf("%g claims per second in one partition for %s of virtual time", rate, ledgerRunDuration)
		s.addCount(fmt.Sprintf("ledger.writes.%g", rate), float64(stats.Writes)/float64(stats.Claims), "writes", conditions+", per request")
		s.addCount(fmt.Sprintf("ledger.bytes.%g", rate), float64(r.writtenBytes)/float64(stats.Writes), "B", conditions+", per write")
		if rate == claimsPerSecond[len(claimsPerSecond)-1] {
			total := 0
			for _, o := range r.objects {
				total += len(o.Value)
			}
			s.addCount("ledger.record", float64(total)/float64(2*stats.Claims), "B", "stored bytes per record; a request has two")
		}
	}
	return nil
}
