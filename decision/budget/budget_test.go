package budget

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against retry storms, which multiply an overload: the limit must hold at
// every granted retry, counted over exactly the ten seconds that end with it.
func TestRetriesNeverExceedATenth(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var budget RetryBudget
		var firstAttempts, retries []time.Duration
		now := time.Duration(0)
		count := func(times []time.Duration) int {
			n := 0
			for _, at := range times {
				if at > now-RetryWindow {
					n++
				}
			}
			return n
		}
		for range 4000 {
			now += time.Duration(rng.Int64N(int64(20 * time.Millisecond)))
			if rng.IntN(500) == 0 {
				now += time.Duration(rng.Int64N(int64(12 * time.Second)))
			}
			if rng.IntN(2) == 0 {
				budget.RecordFirstAttempt(now)
				firstAttempts = append(firstAttempts, now)
			} else if budget.Allow(now) {
				retries = append(retries, now)
				assert.Assert(t, count(retries)*FirstAttemptsPerRetry <= count(firstAttempts), "seed %d at %v", seed, now)
			}
		}
		assert.Assert(t, len(retries) > 20, "seed %d granted only %d", seed, len(retries))
	}
}

// Guards against less important retries that use up the whole budget, and against a
// slack that is granted only after first attempts.
func TestShareAndSlackOfTheBudget(t *testing.T) {
	budget := RetryBudget{Ratio: 0.2, Slack: 10}
	granted := 0
	for range 100 {
		if budget.AllowShare(0, 0.5) {
			granted++
		}
	}
	assert.Equal(t, granted, 5)
	for range 100 {
		if budget.Allow(0) {
			granted++
		}
	}
	assert.Equal(t, granted, 10)
	for range 50 {
		budget.RecordFirstAttempt(0)
	}
	assert.Assert(t, budget.Allow(time.Second))
	assert.Assert(t, !budget.Allow(20*time.Second) || budget.retryTotal <= 10, "old first attempts do not count")
}

// Guards against routers that each grant the whole limit, which would multiply the
// limit of a team by the number of routers.
func TestRoutersTogetherKeepTheLimit(t *testing.T) {
	const routers, seconds, limit = 8, 60, 100.0
	rng := rand.New(rand.NewPCG(1, 1))
	var limits []*TeamLimits
	for range routers {
		teams := NewTeamLimits()
		teams.SetRouterCount(routers)
		limits = append(limits, teams)
	}
	granted := 0
	for now := time.Duration(0); now < seconds*time.Second; now += 2 * time.Millisecond {
		ok, wait := limits[rng.IntN(routers)].Allow(now, "t", limit, 0, 10)
		if ok {
			granted++
		}
		assert.Assert(t, ok == (wait == 0))
	}
	bound := limit * (seconds + burstDuration.Seconds())
	assert.Assert(t, float64(granted) <= bound && float64(granted) > 0.9*limit*seconds, "granted %d", granted)
}

// Guards against a token limit that counts requests instead of tokens, and against
// refusals of a team without limits.
func TestTokenLimitAndNoLimit(t *testing.T) {
	teams := NewTeamLimits()
	granted := 0
	for range 1000 {
		if ok, _ := teams.Allow(0, "t", 0, 1000, 100); ok {
			granted++
		}
	}
	assert.Equal(t, granted, 10)
	ok, _ := teams.Allow(0, "free", 0, 0, 1<<30)
	assert.Assert(t, ok)
}
