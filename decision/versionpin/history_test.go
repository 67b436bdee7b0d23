package versionpin

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/fleet"
)

const (
	tick           = 20 * time.Millisecond
	flushInterval  = 250 * time.Millisecond
	firstEventTime = 160 * time.Millisecond
	lifetime       = 15 * time.Second
)

var testConfig = Config{
	SpreadTime: 10 * time.Second, OutageSpreadTime: 500 * time.Millisecond,
	MinChangeInterval: time.Second, MinPruneInterval: 3 * time.Second, PromiseTime: 2500 * time.Millisecond,
}

// world is a deployment in virtual time: a store that comes back from copies, routers that
// die and pause, endpoints of several versions, and callers that take up broken streams.
type world struct {
	rng      *rand.Rand
	now      time.Duration
	store    simStore
	copied   simStore
	downTill time.Duration
	routers  []*simRouter
	// endpoints counts the ready endpoints of each version, and next is the release in
	// progress: endpoints move to it one by one.
	endpoints map[string]int
	release   string
	releases  int
	moveEvery time.Duration
	streams   []*simStream
	nextID    int
	// begun, refused, takenUp and continued count new streams and take-ups. A take-up counts
	// only if the stream's version has endpoints.
	begun, refused, takenUp, continued int
	// movedTakenUp and movedContinued count the take-ups of streams whose slots moved since they
	// began or were taken up last.
	movedTakenUp, movedContinued int
	tableWrites, recordWrites    int
	faults                       faultRates
	incarnation                  uint64
	// timeout is the route's timeout as the operator wants it, 0 while the route is not
	// resumable, and rewriteAt when it is written again after a restore of the store.
	timeout, rewriteAt time.Duration
	killAt, killAllAt  time.Duration
}

type simStore struct {
	position fleet.StorePosition
	// table is the decoded object, as tables are immutable.
	table   *Table
	tableAt fleet.StorePosition
	// records are what each router wrote last.
	records map[int]*Records
	// timeout is that of the route in the configuration, and timeoutAt the position of the
	// configuration.
	timeout   time.Duration
	timeoutAt fleet.StorePosition
}

func (s simStore) clone() simStore {
	records := map[int]*Records{}
	for i, r := range s.records {
		records[i] = r
	}
	s.records = records
	return s
}

type simRouter struct {
	index    int
	machine  *Machine
	records  *Records
	startsAt time.Duration
	alive    bool
	// seesAt is when it next observes the store and the endpoints, and flushAt when it
	// next writes records.
	seesAt, flushAt, startedAt, needSince time.Duration
	capacity                              Capacity
	loadedRecords                         bool
	// held are the records of other routers, all of which this one holds in a small deployment.
	held *Held
	// storeLostTill and cutTill are until when this router alone does not reach the store, and
	// the other routers.
	storeLostTill, cutTill time.Duration
	// timeout is that of the route in the configuration that this router knows, and timeoutAt
	// the position of the configuration.
	timeout   time.Duration
	timeoutAt fleet.StorePosition
}

// simStream is a stream and, for the oracle, the version of its events.
type simStream struct {
	hash    uint64
	begunAt time.Duration
	// lifetime is how long the caller waits for the end of the stream.
	lifetime  time.Duration
	endsAt    time.Duration
	firstAt   time.Duration
	router    *simRouter
	version   string
	hasEvents bool
	// wasCertain means that the table told the version when the last run sent its first event.
	wasCertain bool
	broken     bool
	retryAt    time.Duration
	wasTakenUp bool
}

func newWorld(seed uint64, routers int) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 17)), endpoints: map[string]int{"v0": 18}, moveEvery: time.Hour, timeout: lifetime,
		store: simStore{
			position: fleet.StorePosition{Era: 1, Revision: 10}, records: map[int]*Records{},
			timeout: lifetime, timeoutAt: fleet.StorePosition{Era: 1, Revision: 1},
		},
	}
	w.copied = w.store.clone()
	for i := range routers {
		w.routers = append(w.routers, &simRouter{index: i})
	}
	for _, r := range w.routers {
		w.start(r)
	}
	return w
}

func (w *world) start(r *simRouter) {
	*r = simRouter{
		index: r.index, machine: NewMachine(testConfig), alive: true, startedAt: w.now, seesAt: w.now,
		storeLostTill: r.storeLostTill, cutTill: r.cutTill, held: NewHeld(),
	}
	w.incarnation++
	r.records = NewOwnRecords(w.incarnation)
	var others []string
	for _, o := range w.routers {
		if o != r {
			others = append(others, fmt.Sprint(o.index))
		}
	}
	r.machine.SetRouters(others)
}

// storeUp reports whether a router reaches the store.
func (w *world) storeUp(r *simRouter) bool { return w.now >= w.downTill && w.now >= r.storeLostTill }

func (w *world) paused(r *simRouter) bool { return w.now < r.seesAt-time.Second }

func (w *world) capacity() Capacity {
	c := Capacity{}
	for v, n := range w.endpoints {
		if n > 0 {
			c[v] = n * 16
		}
	}
	return c
}

// hold lets a router ask another one for the records of its streams, or take over those of one
// that has died.
func (w *world) hold(t *testing.T, r *simRouter) {
	for _, o := range w.routers {
		name := fmt.Sprint(o.index)
		switch {
		case o == r || w.now < max(o.cutTill, r.cutTill) || w.paused(o):
		case !o.alive:
			w.takeOver(r, r.held.Release(name))
		default:
			encoded, next, err := o.records.Since(r.held.Cursor(name))
			assert.NilError(t, err)
			earlier, err := r.held.Take(name, encoded, next, w.now+w.recordLifetime(r))
			assert.NilError(t, err)
			w.takeOver(r, earlier)
		}
	}
	r.held.Expire(w.now)
}

func (w *world) takeOver(r *simRouter, records *Records) {
	if records != nil {
		r.records.AddAll(records, 6000)
	}
}

// see lets a router observe the store, or what other routers know while the store is down.
func (w *world) see(r *simRouter) {
	r.capacity = w.capacity()
	defer func() {
		if r.machine.Table() != nil {
			r.records.SetMoved(r.machine.Table().Moved())
		}
	}()
	if !w.storeUp(r) {
		r.machine.ObserveStoreLost(w.now)
		for range 3 {
			o := w.routers[w.rng.IntN(len(w.routers))]
			if !o.alive || o == r || w.paused(o) || w.now < max(o.cutTill, r.cutTill) {
				continue
			}
			r.machine.ObserveStored(w.now, o.machine.stored, o.machine.position)
			w.observeTimeout(r, o.timeout, o.timeoutAt)
			r.machine.ObserveContact(w.now)
			if w.storeUp(o) {
				continue
			}
			if p, ok := o.machine.GivePromise(w.now); ok {
				r.machine.ObservePromise(fmt.Sprint(o.index), w.now, p)
			}
		}
		return
	}
	w.observeTimeout(r, w.store.timeout, w.store.timeoutAt)
	if w.store.table == nil {
		r.machine.ObserveRead(w.now, w.now, nil, fleet.StorePosition{Era: w.store.position.Era})
		return
	}
	r.machine.ObserveRead(w.now, w.now, w.store.table, fleet.StorePosition{Era: w.store.position.Era, Revision: w.store.tableAt.Revision})
}

// observeTimeout lets a router learn a configuration that is not older than its own.
func (w *world) observeTimeout(r *simRouter, timeout time.Duration, at fleet.StorePosition) {
	if !at.Before(r.timeoutAt) {
		r.timeout, r.timeoutAt = timeout, at
	}
	r.machine.SetStreamLifetime(w.now, r.timeout)
}

// propose lets a router write the table.
func (w *world) propose(t *testing.T, r *simRouter) {
	alone := w.now-r.startedAt > 2*time.Second
	for _, o := range w.routers {
		alone = alone && (!o.alive || o.machine.Table() == nil)
	}
	p, ok := r.machine.Propose(w.now, Circumstances{
		Capacity: r.capacity, Alone: alone, Restarted: w.now > 3*time.Second, RunningFor: w.now - r.startedAt,
	})
	if !ok {
		r.needSince = 0
		return
	}
	if r.needSince == 0 {
		r.needSince = w.now
	}
	if w.now-r.needSince < time.Duration(r.index)*300*time.Millisecond || !w.storeUp(r) || w.store.tableAt.Revision != p.Position.Revision {
		return
	}
	data, err := json.Marshal(p.Table)
	assert.NilError(t, err)
	w.store.position.Revision++
	w.store.table, w.store.tableAt = &Table{}, w.store.position
	assert.NilError(t, json.Unmarshal(data, w.store.table))
	w.tableWrites++
	if w.happens(w.faults.killAfterChange) {
		w.killAt = w.now + time.Duration(100+w.rng.IntN(400))*time.Millisecond
	}
	if w.killAllAt == 0 && w.happens(w.faults.killAllAfterChange) {
		// Records of the last moment are in no store yet.
		w.killAllAt = w.now + time.Second + time.Duration(w.rng.IntN(2000))*time.Millisecond
	}
	r.machine.ObserveWritten(w.now, p.Table, w.store.position)
}

// flush lets a router write its records.
func (w *world) flush(t *testing.T, r *simRouter) {
	if !w.storeUp(r) {
		return
	}
	if !r.loadedRecords {
		if old := w.store.records[r.index]; old != nil {
			data, err := json.Marshal(old)
			assert.NilError(t, err)
			assert.NilError(t, r.records.Merge(data, w.now+w.recordLifetime(r)))
		}
		r.loadedRecords = true
	}
	r.records.Expire(w.now)
	if r.records.TakeChanged() {
		data, err := json.Marshal(r.records)
		assert.NilError(t, err)
		written := NewRecords()
		assert.NilError(t, written.Merge(data, 0))
		w.store.records[r.index] = written
		w.store.position.Revision++
		w.recordWrites++
	}
}

// lookUp returns the recorded version of a stream.
func (w *world) lookUp(t *testing.T, r *simRouter, hash uint64) (string, bool) {
	if v, recorded := r.records.Version(hash); recorded {
		return v, v != ""
	}
	found := NewRecords()
	if v, recorded := r.held.Version(hash); recorded {
		found.Add(hash, v, w.now)
	}
	if !w.storeUp(r) {
		v, _ := found.Version(hash)
		return v, v != ""
	}
	for _, records := range w.store.records {
		if v, recorded := records.Version(hash); recorded {
			found.Add(hash, v, w.now)
		}
	}
	v, _ := found.Version(hash)
	return v, v != ""
}

func (w *world) begin(r *simRouter) {
	if r.timeout == 0 && r.timeoutAt.Revision > 0 {
		return // The route is not resumable.
	}
	w.nextID++
	s := &simStream{hash: StreamHash("llm", fmt.Sprint(w.nextID)), begunAt: w.now, router: r, lifetime: r.timeout}
	if w.happens(w.faults.longDeadline) {
		s.lifetime = longDeadline
	}
	r.machine.ObserveStreamLifetime(w.now, s.lifetime)
	for _, v := range r.machine.Begin(w.now, s.hash) {
		if w.endpoints[v] > 0 {
			s.version = v
			w.run(s, r)
			w.begun++
			w.streams = append(w.streams, s)
			return
		}
	}
	w.refused++
}

// run starts a run of a stream at a router.
func (w *world) run(s *simStream, r *simRouter) {
	s.router, s.broken = r, false
	s.firstAt = w.now + firstEventTime
	s.endsAt = s.firstAt + time.Duration(200+w.rng.IntN(2500))*time.Millisecond
	if w.faults.longStreams {
		s.endsAt = s.firstAt + s.lifetime - 3*time.Second
	}
}

// recordVersion lets the router of a stream record its version.
func (w *world) recordVersion(s *simStream) {
	table := s.router.machine.Table()
	s.wasCertain = table != nil && table.certain(slotOf(s.hash))
	s.router.records.Add(s.hash, s.version, w.now+w.recordLifetime(s.router))
}

// recordLifetime is how long a router keeps a record.
func (w *world) recordLifetime(r *simRouter) time.Duration { return r.machine.StreamLifetime(w.now) }

// takeUp lets a caller take up a broken stream at a router, and checks the router's decision
// against the oracle.
func (w *world) takeUp(t *testing.T, seed uint64, s *simStream, r *simRouter) {
	version, knowledge := r.machine.Resume(w.now, w.now, s.hash)
	if knowledge == NeedsRead && w.storeUp(r) {
		w.see(r)
		version, knowledge = r.machine.Resume(w.now, w.now, s.hash)
	}
	known := knowledge == Certain
	moved := s.wasCertain && w.store.table != nil && !w.store.table.certain(slotOf(s.hash))
	if knowledge == NeedsRecord {
		version, known = w.lookUp(t, r, s.hash)
	}
	if !s.wasTakenUp && w.endpoints[s.version] >= 2 {
		w.takenUp++
		if moved {
			w.movedTakenUp++
		}
	}
	if known {
		assert.Equal(t, version, s.version, "seed %d at %v: stream begun at %v", seed, w.now, s.begunAt)
	}
	if known && w.endpoints[version] > 0 {
		if !s.wasTakenUp && w.endpoints[s.version] >= 2 {
			w.continued++
			if moved {
				w.movedContinued++
			}
		}
		w.run(s, r)
		w.recordVersion(s)
	} else {
		s.retryAt = w.now + 500*time.Millisecond
	}
	s.wasTakenUp = true
}

// step advances the world by a tick.
func (w *world) step(t *testing.T, seed uint64) {
	w.now += tick
	w.injectFaults(w.faults)
	for _, r := range w.routers {
		if !r.alive && w.now >= r.startsAt {
			w.start(r)
		}
		if !r.alive || w.paused(r) {
			continue
		}
		if w.now >= r.seesAt {
			w.see(r)
			w.hold(t, r)
			w.propose(t, r)
			r.seesAt = w.now + time.Duration(20+w.rng.IntN(400))*time.Millisecond
		}
		if w.now >= r.flushAt {
			w.flush(t, r)
			r.flushAt = w.now + flushInterval
		}
		if w.rng.IntN(4) == 0 {
			w.begin(r)
		}
	}
	kept := w.streams[:0]
	for _, s := range w.streams {
		if w.now-s.begunAt > s.lifetime || !s.broken && w.now >= s.endsAt && s.router.alive {
			continue
		}
		kept = append(kept, s)
		w.advance(t, seed, s)
	}
	w.streams = kept
}

func (w *world) advance(t *testing.T, seed uint64, s *simStream) {
	switch {
	case s.broken:
		if r := w.routers[w.rng.IntN(len(w.routers))]; w.now >= s.retryAt && r.alive && !w.paused(r) {
			w.takeUp(t, seed, s, r)
		}
	case !s.router.alive || s.router.startedAt > s.firstAt:
		s.broken = true
		if !s.hasEvents {
			s.begunAt = -s.lifetime // The caller begins another stream.
		}
	case !s.hasEvents && w.now >= s.firstAt:
		s.hasEvents = true
		w.recordVersion(s)
	case s.hasEvents && w.happens(w.faults.breakStream):
		s.broken, s.retryAt = true, w.now
	}
}

// seeds is the number of histories of each kind.
var seeds = flag.Int("seeds", 2, "histories of each kind")

// Guards against a stream that goes on at another version than that which began it, and
// against routers that refuse to continue most streams: routers die alone and all at once,
// pause, and learn of changes late; releases overlap, stop in the middle or happen at once;
// the store is away, for all routers or a single one, or comes back from a copy; a router is cut
// off from the others; streams break by themselves and are taken up again and again.
func TestStreamsGoOnAtTheirVersion(t *testing.T) {
	cases := []struct {
		name   string
		faults faultRates
		// minShare is the least share of take-ups that go on, half of the share of new
		// streams that begin; 0 where the store loses records.
		minShare float64
	}{
		{"one version", faultRates{killAll: 800, killOne: 200, pause: 300}, .5},
		{"routers die alone", faultRates{killOne: 100, pause: 300, release: 700}, .5},
		{"all routers die", faultRates{killAll: 500, pause: 300, release: 700}, .5},
		{"the store is away", faultRates{killAll: 900, killOne: 200, release: 700, storeDown: 300}, 0},
		{"the store comes back from copies", faultRates{killAll: 900, killOne: 200, pause: 300, release: 500, restore: 500}, 0},
		{"routers die after changes", faultRates{pause: 200, release: 400, killAfterChange: 1}, .5},
		{"more versions than a table names", faultRates{killOne: 100, release: 60, killAfterChange: 2}, 0},
		{"routers die with the store", faultRates{killOne: 200, release: 300, restore: 400, killOnRestore: true}, 0},
		{"a router alone loses the store", faultRates{release: 300, loseStore: 150, breakStream: 30}, .5},
		{"a router alone loses the store, dies or stands still", faultRates{killOne: 300, pause: 150, release: 300, loseStore: 150, breakStream: 30}, .5},
		{"a router is cut off from store and others", faultRates{pause: 300, release: 300, loseStore: 150, cutOff: 150, breakStream: 30}, .5},
		{"the store is away for one or all", faultRates{killOne: 400, release: 400, loseStore: 200, cutOff: 300, storeDown: 300, breakStream: 30}, 0},
		{"long streams, a router dies in a release", faultRates{pause: 300, release: 2500, killAfterChange: 1, longStreams: true}, .5},
		{"long streams, all routers die in a release", faultRates{release: 2500, killAllAfterChange: 1, longStreams: true}, .5},
		{"long streams, routers restart in releases", faultRates{killOne: 150, pause: 300, release: 2500, longStreams: true}, .5},
		{"long streams, a router alone loses the store in releases", faultRates{release: 2500, loseStore: 300, killAfterChange: 1, longStreams: true}, .5},
		{"the store is away, all routers run", faultRates{release: 500, storeDown: 250, breakStream: 30}, .5},
		{"timeouts change", faultRates{release: 700, changeTimeout: 400, breakStream: 60, longStreams: true}, .5},
		{"timeouts change, routers restart", faultRates{killOne: 150, killAll: 1500, pause: 300, release: 700, changeTimeout: 400, breakStream: 60, longStreams: true}, .5},
		{"timeouts change, the store is away", faultRates{killOne: 400, release: 500, storeDown: 250, loseStore: 200, changeTimeout: 300, breakStream: 60, longStreams: true}, 0},
		{"timeouts change, the store comes back from copies", faultRates{killAll: 1500, killOne: 300, release: 500, restore: 500, changeTimeout: 300, breakStream: 60, longStreams: true}, 0},
		{"timeouts change, a router is cut off", faultRates{pause: 300, release: 400, loseStore: 150, cutOff: 150, changeTimeout: 300, breakStream: 60, longStreams: true}, .5},
		{"callers wait longer than timeouts", faultRates{killOne: 300, release: 500, changeTimeout: 500, longDeadline: 20, breakStream: 60, longStreams: true}, .5},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var begun, refused, takenUp, continued, movedTakenUp, movedContinued int
			for seed := range uint64(*seeds) {
				w := newWorld(seed, 4)
				w.faults = c.faults
				for w.now < 2*time.Minute {
					w.step(t, seed)
				}
				begun, refused, takenUp, continued = begun+w.begun, refused+w.refused, takenUp+w.takenUp, continued+w.continued
				movedTakenUp, movedContinued = movedTakenUp+w.movedTakenUp, movedContinued+w.movedContinued
			}
			share := float64(continued) / float64(max(1, takenUp))
			beginShare := float64(begun) / float64(begun+refused)
			t.Logf("%d of %d streams begun, %d of %d take-ups went on, %d of %d after a move", begun, begun+refused, continued, takenUp, movedContinued, movedTakenUp)
			assert.Assert(t, takenUp > 200)
			assert.Assert(t, share >= c.minShare*beginShare, "share %.2f of %.2f", share, beginShare)
			if c.faults.longStreams && c.faults.changeTimeout == 0 {
				assert.Assert(t, movedTakenUp > 20)
				movedShare := float64(movedContinued) / float64(movedTakenUp)
				assert.Assert(t, movedShare >= c.minShare*beginShare, "share %.2f of %.2f after a move", movedShare, beginShare)
			}
			assert.Assert(t, beginShare > .8, "only %.2f of the streams begin", beginShare)
		})
	}
}
