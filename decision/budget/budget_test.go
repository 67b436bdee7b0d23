package budget

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A retry storm multiplies an overload. The bound must hold at every granted
// retry, counted over exactly the ten seconds that end with it.
func TestRetriesNeverExceedATenth(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var r Retry
		var firsts, retries []time.Duration
		now := time.Duration(0)
		count := func(list []time.Duration) int {
			n := 0
			for _, at := range list {
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
				r.First(now)
				firsts = append(firsts, now)
			} else if r.Allow(now) {
				retries = append(retries, now)
				assert.Assert(t, count(retries)*FirstPerRetry <= count(firsts), "seed %d at %v", seed, now)
			}
		}
		assert.Assert(t, len(retries) > 20, "seed %d granted only %d", seed, len(retries))
	}
}

// Less important retries must leave room for the others, and the slack must hold
// without any first attempt.
func TestShareAndSlackOfTheBudget(t *testing.T) {
	r := Retry{Ratio: 0.2, Slack: 10}
	granted := 0
	for range 100 {
		if r.AllowShare(0, 0.5) {
			granted++
		}
	}
	assert.Equal(t, granted, 5)
	for range 100 {
		if r.Allow(0) {
			granted++
		}
	}
	assert.Equal(t, granted, 10)
	for range 50 {
		r.First(0)
	}
	assert.Assert(t, r.Allow(time.Second))
	assert.Assert(t, !r.Allow(20*time.Second) || r.sumRetry <= 10, "old first attempts do not count")
}

// Routers that each grant the whole limit would let a team exceed it by the
// number of routers.
func TestRoutersTogetherKeepTheLimit(t *testing.T) {
	const routers, seconds, limit = 8, 60, 100.0
	rng := rand.New(rand.NewPCG(1, 1))
	var fleet []*Teams
	for range routers {
		teams := NewTeams()
		teams.SetRouters(routers)
		fleet = append(fleet, teams)
	}
	granted := 0
	for now := time.Duration(0); now < seconds*time.Second; now += 2 * time.Millisecond {
		ok, wait := fleet[rng.IntN(routers)].Allow(now, "t", limit, 0, 10)
		if ok {
			granted++
		}
		assert.Assert(t, ok == (wait == 0))
	}
	most := limit * (seconds + burstTime.Seconds())
	assert.Assert(t, float64(granted) <= most && float64(granted) > 0.9*limit*seconds, "granted %d", granted)
}

// A limit of tokens must count the tokens, and no limit must not refuse.
func TestTokenLimitAndNoLimit(t *testing.T) {
	teams := NewTeams()
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
