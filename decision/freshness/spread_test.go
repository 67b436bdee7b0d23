package freshness

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/decision/peering"
)

// The model plays many routers that call each other and a store in virtual time, with the calls
// and timeouts of the modules exchange and directory.
const (
	modelWatchers   = 6
	roundInterval   = 120 * time.Millisecond
	fanout          = 3
	callTimeout     = 400 * time.Millisecond
	pullTimeout     = 1500 * time.Millisecond
	storeTimeout    = 1500 * time.Millisecond
	watchTimeout    = 10 * time.Second
	roundTrip       = 4 * time.Millisecond
	changeInterval  = 800 * time.Millisecond
	impairedFrom    = 5 * time.Second
	impairedUntil   = 13 * time.Second
	modelEnd        = 18 * time.Second
	slowedRoundTrip = 350 * time.Millisecond
	modelKind       = "config"
	// watcherCheck is the time between two checks of a router whether it has to watch.
	watcherCheck       = time.Second
	candidatesPerRound = 12
)

// impairment is the state of a router while it is not sound.
type impairment int

const (
	sound impairment = iota
	// cutFromStore routers get no responses of the store, and answer others.
	cutFromStore
	// slowed routers take long for every call and response.
	slowed
	// frozen routers do nothing.
	frozen
)

type modelRouter struct {
	index      int
	address    string
	checkedAt  time.Duration
	impaired   impairment
	revision   int
	copy       Copy
	pulls      *peering.Pulls
	calling    map[int]bool
	failing    map[int]bool
	storeLost  map[int]bool
	lostStore  bool
	watching   bool
	confirming bool
	draw       float64
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type model struct {
	rng      *rand.Rand
	now      time.Duration
	queue    events
	seq      int
	routers  []*modelRouter
	deadline time.Duration
	// watchersOnly leaves the reads of routers whose copies are not confirmed out.
	watchersOnly bool
	ackedAt      []time.Duration
	// confirmations are the reads that confirm a copy.
	confirmations int
	// oldest is the age of the oldest change that a sound router lacked.
	oldest time.Duration
}

func (m *model) after(d time.Duration, do func()) {
	m.seq++
	heap.Push(&m.queue, event{m.now + d, m.seq, do})
}

func (m *model) state(r *modelRouter) impairment {
	if m.now < impairedFrom || m.now >= impairedUntil {
		return sound
	}
	return r.impaired
}

func (m *model) run() {
	m.after(0, m.change)
	for _, r := range m.routers {
		m.after(time.Duration(m.rng.Int64N(int64(roundInterval))), func() { m.round(r) })
	}
	for m.queue.Len() > 0 && m.now < modelEnd {
		e := heap.Pop(&m.queue).(event)
		m.now = e.at
		e.do()
	}
}

func (m *model) change() {
	m.ackedAt = append(m.ackedAt, m.now)
	m.after(changeInterval, m.change)
}

func (m *model) rank(r *modelRouter) int {
	rank := 0
	for i := range r.index {
		if !r.failing[i] && !r.storeLost[i] {
			rank++
		}
	}
	return rank
}

func (m *model) round(r *modelRouter) {
	m.after(roundInterval, func() { m.round(r) })
	if m.state(r) == frozen {
		return
	}
	if m.state(r) == sound && r.revision < len(m.ackedAt) && m.now > impairedFrom && m.now < impairedUntil {
		m.oldest = max(m.oldest, m.now-m.ackedAt[r.revision])
	}
	rank := m.rank(r)
	if !r.watching && m.now-r.checkedAt >= watcherCheck {
		r.checkedAt = m.now
		if rank < modelWatchers {
			m.watch(r, m.now)
		}
	}
	if !m.watchersOnly && !r.confirming && r.copy.DueIn(m.now, Patience(m.deadline, rank, len(m.routers), modelWatchers, r.draw)) == 0 {
		m.confirm(r)
	}
	// A random subset of the others keeps the model fast at any size.
	var ready []peering.Candidate
	for range candidatesPerRound {
		other := m.routers[m.rng.IntN(len(m.routers))]
		c := peering.Candidate{Address: other.address, SameZone: other.index%4 == r.index%4}
		if other != r && !r.calling[other.index] && !slices.Contains(ready, c) {
			ready = append(ready, c)
		}
	}
	for _, c := range peering.Choose(ready, fanout, m.rng.Shuffle) {
		i, err := strconv.Atoi(c.Address)
		if err != nil {
			panic(err) // Addresses are indices.
		}
		m.call(r, m.routers[i])
	}
}

// delay returns how long a message from or to a router takes.
func (m *model) delay(routers ...*modelRouter) time.Duration {
	d := roundTrip / 2
	for _, r := range routers {
		if m.state(r) == slowed {
			d += time.Duration(float64(slowedRoundTrip) * (0.5 + m.rng.Float64()))
		}
	}
	return d
}

func (m *model) call(r, other *modelRouter) {
	r.calling[other.index] = true
	begin, pulling, timeout := m.now, r.pulls.Begin(m.now, modelKind), callTimeout
	if pulling {
		timeout = pullTimeout
	}
	ended := false
	end := func(failed bool) bool {
		if ended {
			return false
		}
		ended = true
		delete(r.calling, other.index)
		r.failing[other.index] = failed
		if pulling {
			r.pulls.End(modelKind, begin)
		}
		return true
	}
	m.after(timeout, func() { end(true) })
	m.after(m.delay(r, other), func() {
		if m.state(other) == frozen {
			return
		}
		revision, lost := other.revision, other.lostStore
		age, known := other.copy.Age(m.now)
		m.after(m.delay(r, other), func() {
			if m.state(r) == frozen || !end(false) {
				return
			}
			r.storeLost[other.index] = lost
			if pulling {
				r.revision = max(r.revision, revision)
			}
			if known && r.revision >= revision {
				r.copy.Confirm(begin - age)
			}
		})
	})
}

// read reads the store's revision and calls done with it, unless there is no response.
func (m *model) read(r *modelRouter, done func(revision int, ok bool)) {
	m.confirmations++
	answered := false
	m.after(storeTimeout, func() {
		if !answered {
			answered = true
			done(0, false)
		}
	})
	m.after(m.delay(r), func() {
		revision := len(m.ackedAt)
		m.after(m.delay(r), func() {
			if s := m.state(r); !answered && s != cutFromStore && s != frozen {
				answered = true
				done(revision, true)
			}
		})
	})
}

func (m *model) confirm(r *modelRouter) {
	r.confirming, r.draw = true, m.rng.Float64()
	begin := m.now
	m.read(r, func(revision int, ok bool) {
		r.confirming, r.lostStore = false, !ok
		if ok {
			r.revision = max(r.revision, revision)
			r.copy.Confirm(begin)
		}
	})
}

// watch polls for a change, as a pending watch would return it, until its timeout.
func (m *model) watch(r *modelRouter, begin time.Duration) {
	r.watching = true
	switch {
	case m.state(r) == sound && len(m.ackedAt) > r.revision, m.now-begin >= watchTimeout && m.state(r) != cutFromStore:
		m.after(m.delay(r), func() {
			r.revision, r.watching = max(r.revision, len(m.ackedAt)), false
			r.copy.Confirm(begin)
			m.watch(r, m.now)
		})
	case m.now-begin >= watchTimeout+storeTimeout:
		r.watching, r.lostStore = false, true
	default:
		m.after(roundTrip, func() { m.watch(r, begin) })
	}
}

func newModel(seed uint64, routers int, deadline time.Duration, kind impairment, impairedShare float64, watchersOnly bool) *model {
	m := &model{rng: rand.New(rand.NewPCG(seed, 1)), deadline: deadline, watchersOnly: watchersOnly}
	for i := range routers {
		r := &modelRouter{
			index: i, address: strconv.Itoa(i), pulls: peering.NewPulls(), calling: map[int]bool{}, failing: map[int]bool{}, storeLost: map[int]bool{}, draw: m.rng.Float64(),
		}
		// The watchers are among the impaired routers.
		if i < modelWatchers || m.rng.Float64() < impairedShare {
			r.impaired = kind
		}
		m.routers = append(m.routers, r)
	}
	return m
}

// modelSizes are deployments with the time limits and the reading calls a second that their stores
// take. The largest one is played with fewer seeds.
var modelSizes = []struct {
	routers   int
	deadline  time.Duration
	readsPerS float64
	seeds     uint64
}{{31, 3 * time.Second, 6000, 3}, {68, 4 * time.Second, 16000, 2}, {380, 4 * time.Second, 16000, 1}}

// storeShare is the share of the reading calls that the confirmations of all kinds may take.
const storeShare, kinds = 0.01, 4

// Guards against sound routers that lack a change for longer than the deadline while most others,
// among them all that watch, are cut off from the store, slow or frozen. Four routers never show
// it, because all of them watch.
func TestSoundRoutersLearnOfChangesInTime(t *testing.T) {
	for _, size := range modelSizes {
		for _, kind := range []impairment{cutFromStore, slowed, frozen} {
			for seed := range size.seeds {
				m := newModel(seed, size.routers, size.deadline, kind, 0.8, false)
				m.run()
				assert.Check(t, m.oldest < size.deadline, "%d routers, impairment %d, seed %d: a change was missing for %s",
					size.routers, kind, seed, m.oldest)
			}
		}
	}
}

// Shows that the model finds the fault: without the reads of routers whose copies are not
// confirmed, a change is missing for longer than the deadline. Frozen routers are found sooner here
// than by real connections, which have to time out first.
func TestWatchersAloneDoNotBoundTheAgeOfACopy(t *testing.T) {
	for _, kind := range []impairment{cutFromStore, slowed} {
		m := newModel(1, 31, 3*time.Second, kind, 0.8, true)
		m.run()
		assert.Check(t, m.oldest > m.deadline, "impairment %d: a change was missing for %s only", kind, m.oldest)
	}
}

// Guards against confirmations that take a call of each router: without impairment they stay below
// a hundredth of what the store takes.
func TestConfirmationsAreShared(t *testing.T) {
	for _, size := range modelSizes {
		m := newModel(1, size.routers, size.deadline, sound, 0, false)
		m.run()
		perSecond := kinds * float64(m.confirmations) / modelEnd.Seconds()
		t.Logf("%d routers: %.1f reads a second", size.routers, perSecond)
		assert.Check(t, perSecond < storeShare*size.readsPerS, "%d routers: %.1f reads a second", size.routers, perSecond)
	}
}

// Guards against a copy that becomes younger by an older statement.
func TestConfirmationsNeverGoBack(t *testing.T) {
	var c Copy
	_, known := c.Age(time.Second)
	assert.Assert(t, !known)
	c.Confirm(5 * time.Second)
	c.Confirm(2 * time.Second)
	age, known := c.Age(6 * time.Second)
	assert.Assert(t, known && age == time.Second)
	assert.Equal(t, c.DueIn(6*time.Second, 3*time.Second), 2*time.Second)
	assert.Equal(t, c.DueIn(60*time.Second, 3*time.Second), time.Duration(0))
}

// Guards against routers that would leave the call to the store too little of the deadline.
func TestPatienceLeavesTimeForTheCall(t *testing.T) {
	for _, routers := range []int{1, 4, 31, 400} {
		for rank := range routers {
			p := Patience(time.Second, rank, routers, modelWatchers, 0.999)
			assert.Assert(t, p >= time.Second/4 && p <= 3*time.Second/4, "rank %d of %d: %s", rank, routers, p)
		}
	}
}
