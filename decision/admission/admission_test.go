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

func newController(t testing.TB, cfg Config) *Controller {
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
	ctl := New(cfg)
	ctl.SetRules(view)
	ctl.EngineUp(7)
	return ctl
}

func attempt(team, id string, tokens int) *Attempt {
	return &Attempt{ID: id, Team: team, AgentIncarnation: 1, PromptTokens: tokens, FirstTokenBudget: 650 * time.Millisecond, MustQueue: true}
}

// Guards against a missing admission check, after which the endpoint would run an
// attempt that must not run.
func TestOfferRefusesWhatMustNotRun(t *testing.T) {
	cases := []struct {
		change func(ctl *Controller, a *Attempt)
		want   Reason
	}{
		{func(ctl *Controller, _ *Attempt) { ctl.Shutdown() }, ReasonShuttingDown},
		{func(_ *Controller, a *Attempt) { a.AgentIncarnation = 2 }, ReasonWrongIncarnation},
		{func(_ *Controller, a *Attempt) { a.ID = "fenced" }, ReasonFenced},
		{func(_ *Controller, a *Attempt) { a.Team = "other" }, ReasonForbidden},
		{func(ctl *Controller, _ *Attempt) { ctl.EngineDown(0) }, ReasonEngineDown},
		{func(ctl *Controller, a *Attempt) { ctl.SetWeightsVersion("v2"); a.WeightsVersion = "v1" }, ReasonWrongWeights},
		{func(_ *Controller, a *Attempt) { a.Fingerprint = 13 }, ReasonQuarantined},
		{func(_ *Controller, a *Attempt) { a.PromptTokens = 9000 }, ReasonDeadline},
		{func(_ *Controller, a *Attempt) { a.FirstTokenBudget = -time.Millisecond }, ReasonDeadline},
	}
	for _, c := range cases {
		ctl := newController(t, Config{
			IsFenced:      func(id string) bool { return id == "fenced" },
			IsQuarantined: func(f uint64, _ int) bool { return f == 13 },
		})
		a := attempt("big", "1", 100)
		c.change(ctl, a)
		decision := ctl.Offer(0, a)
		assert.Equal(t, decision.Reason, c.want)
		assert.Assert(t, !decision.Admitted && ctl.Next(0) == nil)
	}
}

// Guards against a team with many attempts that delays the first attempt of another
// team by more than the work already started.
func TestBacklogOfOneTeamDoesNotDelayAnother(t *testing.T) {
	ctl := newController(t, Config{})
	for i := range 10 {
		ctl.Offer(0, attempt("big", fmt.Sprint("b", i), 400))
	}
	assert.Equal(t, ctl.Next(0).ID, "b0")
	decision := ctl.Offer(0, attempt("small", "s", 400))
	assert.Assert(t, decision.Admitted && decision.ExpectedWait < 100*time.Millisecond, "%v", decision.ExpectedWait)
	ctl.RecordFirstToken(44*time.Millisecond, "b0", 0)
	next := ctl.Next(44 * time.Millisecond).ID
	assert.Equal(t, next, "s")
}

// Guards against a division of work in a long backlog that differs from the teams'
// shares.
func TestServiceFollowsShares(t *testing.T) {
	ctl := newController(t, Config{QueueLimit: 1000})
	for i := range 200 {
		for _, team := range []string{"big", "small"} {
			a := attempt(team, fmt.Sprint(team, i), 400)
			a.FirstTokenBudget = 0
			ctl.Offer(0, a)
		}
	}
	big := 0
	for i := range 100 {
		a := ctl.Next(0)
		if strings.HasPrefix(a.ID, "big") {
			big++
		}
		ctl.RecordFirstToken(time.Duration(i)*time.Millisecond, a.ID, 0)
		ctl.Finish(0, a.ID)
	}
	assert.Assert(t, big >= 78 && big <= 82, "big got %d of 100", big)
}

// Guards against an attempt that starts after its deadline, which wastes the endpoint's
// time, and against an attempt that neither starts nor expires, which blocks its caller.
func TestLateAttemptsExpireAndNeverStart(t *testing.T) {
	ctl := newController(t, Config{})
	ctl.Offer(0, attempt("big", "1", 1000))
	ctl.Offer(0, attempt("big", "2", 1000))
	assert.Equal(t, ctl.Next(0).ID, "1")
	ctl.RecordFirstToken(time.Second, "1", 0)
	assert.Assert(t, ctl.Next(time.Second) == nil)
	expired := ctl.TakeExpired()
	assert.Equal(t, len(expired), 1)
	assert.Equal(t, expired[0].ID, "2")
	assert.Assert(t, ctl.TakeExpired() == nil)
}

// Guards against a refusal for cost without a cheaper alternative, or of an attempt
// that has no other candidate.
func TestRefusesForCostOnlyWithACheaperAlternative(t *testing.T) {
	ctl := newController(t, Config{})
	a := attempt("big", "1", 2000)
	a.MustQueue, a.AlternativeCostMS = false, 100
	assert.Equal(t, ctl.Offer(0, a).Reason, ReasonCheaperElsewhere)
	a.AlternativeCostMS = 5000
	assert.Assert(t, ctl.Offer(0, a).Admitted)
	b := attempt("big", "2", 2000)
	b.AlternativeCostMS = 1
	assert.Assert(t, ctl.Offer(0, b).Admitted)
}

// Guards against an order of the queue in which a team's share takes precedence over
// priority.
func TestPriorityComesFirst(t *testing.T) {
	ctl := newController(t, Config{})
	ctl.Offer(0, attempt("small", "low", 100))
	high := attempt("big", "high", 100)
	high.Priority = 1
	ctl.Offer(0, high)
	assert.Equal(t, ctl.Next(0).ID, "high")
}

// Guards against a view that differs from the engine's cache after events arrived late,
// out of order or repeatedly, and against a lost event that requests no snapshot.
func TestCacheViewAppliesEventsInAnyOrder(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		cached := map[uint64]bool{}
		var events []CacheEvent
		for seq := range uint64(60) {
			b := rng.Uint64N(20)
			op := EventStored
			if rng.IntN(3) == 0 {
				op = EventRemoved
			}
			cached[b] = op == EventStored
			events = append(events, CacheEvent{Seq: seq, Op: op, Blocks: []uint64{b}})
		}
		want := 0
		for _, stored := range cached {
			if stored {
				want++
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
		assert.Equal(t, c.Len(), want)
		for b, stored := range cached {
			assert.Equal(t, c.MatchPrefix([]uint64{b}) == 1, stored, "seed %d", seed)
		}
	}
}

// Guards against a snapshot that undoes events which are newer than it.
func TestSnapshotKeepsLaterEvents(t *testing.T) {
	c := NewCacheView()
	c.Reset(7, 0)
	c.ApplyEvents(0, 7, []CacheEvent{{Seq: 5, Op: EventStored, Blocks: []uint64{55}}})
	assert.Assert(t, c.NeedsSnapshot(time.Second))
	c.ApplySnapshot(time.Second, 7, 5, []uint64{1, 2})
	assert.Assert(t, !c.NeedsSnapshot(2*time.Second))
	assert.Equal(t, c.MatchPrefix([]uint64{1, 2, 55}), 3)
}

// Guards against an estimate that counts cached blocks of a crashed engine, which
// violates invariant I1.
func TestRestartedEngineHasAnEmptyCache(t *testing.T) {
	ctl := newController(t, Config{})
	ctl.Cache().ApplyEvents(0, 7, []CacheEvent{{Seq: 0, Op: EventStored, Blocks: []uint64{1, 2}}})
	a := attempt("big", "1", 200)
	a.BlockHashes = []uint64{1, 2, 3}
	assert.Equal(t, ctl.Estimate(0, a).CachedTokens, 128)
	ctl.EngineDown(0)
	ctl.EngineUp(8)
	assert.Equal(t, ctl.Estimate(0, a).CachedTokens, 0)
}

func BenchmarkOffer(b *testing.B) {
	ctl := newController(b, Config{QueueLimit: 1000})
	for i := range 32 {
		a := attempt("big", fmt.Sprint(i), 100)
		a.FirstTokenBudget = 0
		ctl.Offer(0, a)
	}
	a := attempt("small", "x", 5000)
	a.BlockHashes = make([]uint64, 80)
	a.FirstTokenBudget = 1
	b.ReportAllocs()
	for range b.N {
		ctl.Offer(0, a)
	}
}
