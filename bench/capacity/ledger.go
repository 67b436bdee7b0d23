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
	// storeLatency is that of one call in virtual time.
	storeLatency = 5 * time.Millisecond
	// callTime is how long a claimed request runs.
	callTime = 200 * time.Millisecond
	// ledgerTime is the virtual time of one measurement.
	ledgerTime = 2 * time.Minute
	// answerBytes is the size of a recorded answer.
	answerBytes = 200
)

// event is an input of the partition at a virtual time.
type event struct {
	at    time.Duration
	order int
	in    ledger.Input
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// ledgerRun drives one partition against an object store in virtual time.
type ledgerRun struct {
	part    *ledger.Partition
	objects map[string]objectstore.Object
	version uint64
	queue   events
	order   int
	now     time.Duration
	bytes   int
	replies int
	failed  int
}

func (r *ledgerRun) after(d time.Duration, in ledger.Input) {
	r.order++
	heap.Push(&r.queue, event{r.now + d, r.order, in})
}

// runLedger sends claims at a rate, each followed by its end, and returns the
// run after all replies.
func runLedger(rate float64, length time.Duration) *ledgerRun {
	r := &ledgerRun{objects: map[string]objectstore.Object{}}
	r.part = ledger.New(ledger.Config{}, 0, "router-1", incarnation, rand.New(rand.NewPCG(9, 10)))
	rng := rand.New(rand.NewPCG(11, 12))
	id := uint64(0)
	for at := time.Duration(0); at < length; at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second)) {
		id++
		op := ledger.Op{
			ID: 2 * id, Kind: ledger.OpClaim, Key: ledger.Key{Team: "team-042", IdempotencyKey: fmt.Sprintf("order-2026-%012d", id)},
			BodyHash: rng.Uint64(), Endpoint: "agent-rec-0007", AgentIncarnation: incarnation, AttemptID: fmt.Sprintf("dfkz3gq0w1a8-%d@rec-0007/1", id),
		}
		r.after(at, ledger.Submitted{Op: op})
		op.ID, op.Kind, op.State, op.Answer = op.ID+1, ledger.OpFinish, ledger.StateDone, make([]byte, answerBytes)
		r.after(at+callTime, ledger.Submitted{Op: op})
	}
	for len(r.queue) > 0 {
		e := heap.Pop(&r.queue).(event)
		r.now = e.at
		for _, action := range r.part.Step(r.now, r.now, e.in) {
			r.do(action)
		}
		if at, ok := r.part.NextTick(); ok && len(r.queue) == 0 {
			r.after(max(at-r.now, time.Millisecond), ledger.Tick{})
		} else if ok && at < r.queue[0].at {
			r.after(max(at-r.now, time.Millisecond), ledger.Tick{})
		}
	}
	return r
}

func (r *ledgerRun) do(action ledger.Action) {
	switch a := action.(type) {
	case ledger.Reply:
		r.replies++
		if a.Err != nil {
			r.failed++
		}
	case ledger.ListSegments:
		var keys []string
		for key := range r.objects {
			keys = append(keys, key)
		}
		r.after(storeLatency, ledger.ListResult{ObjectKeys: keys})
	case ledger.GetSegment:
		o, ok := r.objects[a.ObjectKey]
		if !ok {
			r.after(storeLatency, ledger.GetResult{ObjectKey: a.ObjectKey, Err: objectstore.ErrNotFound})
			return
		}
		r.after(storeLatency, ledger.GetResult{ObjectKey: a.ObjectKey, Object: o})
	case ledger.PutSegment:
		if r.objects[a.ObjectKey].Version != a.ExpectedVersion {
			r.after(storeLatency, ledger.PutResult{Err: objectstore.ErrConflict})
			return
		}
		r.version++
		r.bytes += len(a.Value)
		r.objects[a.ObjectKey] = objectstore.Object{Key: a.ObjectKey, Value: a.Value, Version: r.version}
		r.after(storeLatency, ledger.PutResult{Version: r.version})
	}
}

// ledgerRates are claims per second of one partition. With 32 partitions they
// stand for 0.17%, 1% and 5% of the target's requests.
var ledgerRates = []float64{1, 6, 30}

func measureLedger(s *Slopes) error {
	if err := measureLedgerCounts(s); err != nil {
		return err
	}
	micros := microsOf(1, func(int) { runLedger(ledgerRates[1], ledgerTime) })
	s.measured("ledger.time", micros/(ledgerRates[1]*ledgerTime.Seconds()), "µs", "6 claims per second in one partition, per request, without the store's client")
	var keys [2]int
	var size [2]float64
	for i, length := range []time.Duration{2 * time.Minute, 12 * time.Minute} {
		size[i] = heapOf(func() any {
			r := runLedger(30, length)
			keys[i] = r.part.IndexedKeys()
			return r.part
		})
	}
	s.measured("ledger.key", (size[1]-size[0])/float64(keys[1]-keys[0]), "B", fmt.Sprintf("slope from %d to %d remembered keys", keys[0], keys[1]))
	return nil
}

// measureLedgerCounts counts writes and bytes per request.
func measureLedgerCounts(s *Slopes) error {
	for _, rate := range ledgerRates {
		r := runLedger(rate, ledgerTime)
		stats := r.part.Stats()
		if r.failed > 0 || stats.Claims == 0 || stats.Claims != stats.Finishes {
			return fmt.Errorf("ledger run at %g/s: %d of %d replies failed, %d claims, %d ends", rate, r.failed, r.replies, stats.Claims, stats.Finishes)
		}
		at := fmt.Sprintf("%g claims per second in one partition for %s of virtual time", rate, ledgerTime)
		s.count(fmt.Sprintf("ledger.writes.%g", rate), float64(stats.Writes)/float64(stats.Claims), "writes", at+", per request")
		s.count(fmt.Sprintf("ledger.bytes.%g", rate), float64(r.bytes)/float64(stats.Writes), "B", at+", per write")
		if rate == ledgerRates[len(ledgerRates)-1] {
			total := 0
			for _, o := range r.objects {
				total += len(o.Value)
			}
			s.count("ledger.record", float64(total)/float64(2*stats.Claims), "B", "stored bytes per record; a request has two")
		}
	}
	return nil
}
