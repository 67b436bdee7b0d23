package admission

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/rules"
)

func machine(t testing.TB, cfg Config) *Controller {
	t.Helper()
	text := fmt.Sprintf(`team big token-sha256 %064x share 4 # a: b
team small token-sha256 %064x share 1 # a: b
endpoint e-1 model m host h-1 zone z # a: b
allow big model m # a: b
allow small model m # a: b
`, 1, 2)
	view, err := rules.Compile("test", 1, text)
	assert.NilError(t, err)
	cfg.Endpoint, cfg.AgentIncarnation = "e-1", 1
	m := New(cfg)
	m.SetRules(view)
	m.EngineUp(7)
	return m
}

func attempt(team, id string, tokens int) *Attempt {
	return &Attempt{ID: id, Team: team, AgentIncarnation: 1, PromptTokens: tokens, FirstTokenBudget: 650 * time.Millisecond, LastCandidate: true}
}

// Each check refuses before the attempt has any effect; a missing one runs work
// that must not run.
func TestOfferRefusesWhatMustNotRun(t *testing.T) {
	cases := []struct {
		change func(m *Controller, a *Attempt)
		want   Reason
	}{
		{func(m *Controller, _ *Attempt) { m.Shutdown() }, ReasonShuttingDown},
		{func(_ *Controller, a *Attempt) { a.AgentIncarnation = 2 }, ReasonWrongIncarnation},
		{func(_ *Controller, a *Attempt) { a.ID = "fenced" }, ReasonFenced},
		{func(_ *Controller, a *Attempt) { a.Team = "other" }, ReasonForbidden},
		{func(m *Controller, _ *Attempt) { m.EngineDown(0) }, ReasonEngineDown},
		{func(m *Controller, a *Attempt) { m.SetWeightsVersion("v2"); a.WeightsVersion = "v1" }, ReasonWrongWeights},
		{func(_ *Controller, a *Attempt) { a.Fingerprint = 13 }, ReasonQuarantined},
		{func(_ *Controller, a *Attempt) { a.PromptTokens = 9000 }, ReasonDeadline},
		{func(_ *Controller, a *Attempt) { a.FirstTokenBudget = -time.Millisecond }, ReasonDeadline},
	}
	for _, c := range cases {
		m := machine(t, Config{
			IsFenced:      func(id string) bool { return id == "fenced" },
			IsQuarantined: func(f uint64, _ int) bool { return f == 13 },
		})
		a := attempt("big", "1", 100)
		c.change(m, a)
		v := m.Offer(0, a)
		assert.Equal(t, v.Reason, c.want)
		assert.Assert(t, !v.Admitted && m.Next(0) == nil)
	}
}

// A team that floods must not delay the first attempt of another team by more
// than the work that has already started.
func TestSmallTeamPassesAFlood(t *testing.T) {
	m := machine(t, Config{})
	for i := range 10 {
		m.Offer(0, attempt("big", fmt.Sprint("b", i), 400))
	}
	assert.Equal(t, m.Next(0).ID, "b0")
	v := m.Offer(0, attempt("small", "s", 400))
	assert.Assert(t, v.Admitted && v.ExpectedWait < 100*time.Millisecond, "%v", v.ExpectedWait)
	m.RecordFirstToken(44*time.Millisecond, "b0", 0)
	next := m.Next(44 * time.Millisecond).ID
	assert.Equal(t, next, "s")
}

// Over a long backlog the served work must follow the shares.
func TestServiceFollowsShares(t *testing.T) {
	m := machine(t, Config{QueueLimit: 1000})
	for i := range 200 {
		for _, team := range []string{"big", "small"} {
			a := attempt(team, fmt.Sprint(team, i), 400)
			a.FirstTokenBudget = 0
			m.Offer(0, a)
		}
	}
	big := 0
	for i := range 100 {
		a := m.Next(0)
		if strings.HasPrefix(a.ID, "big") {
			big++
		}
		m.RecordFirstToken(time.Duration(i)*time.Millisecond, a.ID, 0)
		m.Finish(0, a.ID)
	}
	assert.Assert(t, big >= 78 && big <= 82, "big got %d of 100", big)
}

// An attempt that started after its deadline would waste the endpoint; one that
// neither starts nor expires would hang its caller.
func TestLateAttemptsExpireAndNeverStart(t *testing.T) {
	m := machine(t, Config{})
	m.Offer(0, attempt("big", "1", 1000))
	m.Offer(0, attempt("big", "2", 1000))
	assert.Equal(t, m.Next(0).ID, "1")
	m.RecordFirstToken(time.Second, "1", 0)
	assert.Assert(t, m.Next(time.Second) == nil)
	expired := m.TakeExpired()
	assert.Equal(t, len(expired), 1)
	assert.Equal(t, expired[0].ID, "2")
	assert.Assert(t, m.TakeExpired() == nil)
}

// A refusal for cost must need a cheaper alternative, and must not hit an
// attempt that has nowhere else to go.
func TestRefusesForCostOnlyWithABetterAlternative(t *testing.T) {
	m := machine(t, Config{})
	a := attempt("big", "1", 2000)
	a.LastCandidate, a.AlternativeCostMS = false, 100
	assert.Equal(t, m.Offer(0, a).Reason, ReasonCheaperElsewhere)
	a.AlternativeCostMS = 5000
	assert.Assert(t, m.Offer(0, a).Admitted)
	b := attempt("big", "2", 2000)
	b.AlternativeCostMS = 1
	assert.Assert(t, m.Offer(0, b).Admitted)
}

// Higher priority must start first whatever the shares say.
func TestPriorityComesFirst(t *testing.T) {
	m := machine(t, Config{})
	m.Offer(0, attempt("small", "low", 100))
	high := attempt("big", "high", 100)
	high.Priority = 1
	m.Offer(0, high)
	assert.Equal(t, m.Next(0).ID, "high")
}

// Events arrive late, out of order and repeated; the view must equal the
// engine's cache once all have come, and must ask for a snapshot when some
// never come.
func TestCacheViewFollowsDisorderedEvents(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		truth := map[uint64]bool{}
		var events []CacheEvent
		for seq := range uint64(60) {
			b := rng.Uint64N(20)
			op := EventStored
			if rng.IntN(3) == 0 {
				op = EventRemoved
			}
			truth[b] = op == EventStored
			events = append(events, CacheEvent{Seq: seq, Op: op, Blocks: []uint64{b}})
		}
		held := 0
		for _, on := range truth {
			if on {
				held++
			}
		}
		lost := rng.IntN(59)
		c := NewCacheView()
		c.Reset(7, 0)
		for _, i := range rng.Perm(len(events)) {
			if i != lost {
				c.ApplyEvents(0, 7, events[i:i+1])
				c.ApplyEvents(0, 6, []CacheEvent{{Seq: uint64(i), Op: EventCleared}})
			}
		}
		assert.Assert(t, c.NeedsSnapshot(gapTimeout+1), "seed %d", seed)
		c.ApplyEvents(0, 7, events[lost:lost+1])
		assert.Assert(t, !c.NeedsSnapshot(gapTimeout+1), "seed %d", seed)
		assert.Equal(t, c.Len(), held)
		for b, on := range truth {
			assert.Equal(t, c.MatchPrefix([]uint64{b}) == 1, on, "seed %d", seed)
		}
	}
}

// A snapshot that is older than events already seen must not undo them.
func TestSnapshotKeepsLaterEvents(t *testing.T) {
	c := NewCacheView()
	c.Reset(7, 0)
	c.ApplyEvents(0, 7, []CacheEvent{{Seq: 5, Op: EventStored, Blocks: []uint64{55}}})
	assert.Assert(t, c.NeedsSnapshot(time.Second))
	c.ApplySnapshot(time.Second, 7, 5, []uint64{1, 2})
	assert.Assert(t, !c.NeedsSnapshot(2*time.Second))
	assert.Equal(t, c.MatchPrefix([]uint64{1, 2, 55}), 3)
}

// An estimate that counts blocks of a dead engine breaks invariant I1.
func TestRestartedEngineHoldsNothing(t *testing.T) {
	m := machine(t, Config{})
	m.Cache().ApplyEvents(0, 7, []CacheEvent{{Seq: 0, Op: EventStored, Blocks: []uint64{1, 2}}})
	a := attempt("big", "1", 200)
	a.BlockHashes = []uint64{1, 2, 3}
	assert.Equal(t, m.Estimate(0, a).CachedTokens, 128)
	m.EngineDown(0)
	m.EngineUp(8)
	assert.Equal(t, m.Estimate(0, a).CachedTokens, 0)
}

func BenchmarkOffer(b *testing.B) {
	m := machine(b, Config{QueueLimit: 1000})
	for i := range 32 {
		a := attempt("big", fmt.Sprint(i), 100)
		a.FirstTokenBudget = 0
		m.Offer(0, a)
	}
	a := attempt("small", "x", 5000)
	a.BlockHashes = make([]uint64, 80)
	a.FirstTokenBudget = 1
	b.ReportAllocs()
	for range b.N {
		m.Offer(0, a)
	}
}
