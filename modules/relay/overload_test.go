package relay

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/decision/overload"
	"github.com/arbutusline/arbutusline/decision/selection"
	"github.com/arbutusline/arbutusline/fleet"
)

func testRelay(costAware bool) *Relay {
	config := &fleet.Configuration{Routes: []fleet.Route{{
		Kind: fleet.Stream, LatencyObjective: 1500 * time.Millisecond, GapObjective: 400 * time.Millisecond, TrafficSplit: []fleet.TrafficShare{{Service: "s", Weight: 1}},
	}}}
	config.BuildIndexes()
	r := &Relay{
		CostAware: costAware, clockOrigin: time.Now(), overloadControllers: map[string]*overload.Controller{},
		configuration: func() *fleet.Configuration { return config },
	}
	r.metrics.register(prometheus.NewRegistry())
	return r
}

func testExecution(r *Relay, priority int, objective time.Duration) *execution {
	route := &fleet.Route{Name: "r", Kind: fleet.Stream, LatencyObjective: objective, Priority: priority}
	return &execution{relay: r, req: &Request{Route: route, Service: "s", Prompt: &fleet.Prompt{Tokens: 800}, Deadline: time.Now().Add(time.Minute)}}
}

// Guards against less urgent requests that start without cost_aware being on or pressure
// being told, and against a held request that counts once for each poll.
func TestLessUrgentRequestsLeaveRoomOnlyIfCostAware(t *testing.T) {
	for _, costAware := range []bool{false, true} {
		r, choice := testRelay(costAware), selection.Choice{Wait: 600 * time.Millisecond, Prefill: 20 * time.Millisecond}
		urgent := testExecution(r, 0, 400*time.Millisecond)
		for range 10 {
			assert.Equal(t, urgent.admitLocked(0, choice), overload.Wait)
		}
		lessUrgent, want := testExecution(r, 2, 1500*time.Millisecond), overload.Start
		if costAware {
			want = overload.RefusePressure
		}
		assert.Equal(t, lessUrgent.admitLocked(time.Second, choice), want, "cost_aware %v", costAware)
		count := 0
		if costAware {
			count = 2
			assert.Assert(t, r.overloadPressures()["s"][0] <= 0.5, "%v", r.overloadPressures())
		}
		assert.Equal(t, testutil.CollectAndCount(pressureCollector{r}), count)
		r.CostAware = false
		assert.Equal(t, testExecution(r, 2, 1500*time.Millisecond).admitLocked(time.Second, choice), overload.Start, "switched off")
	}
}

// Guards against a late start that the caller does not wait for.
func TestPatienceIsTheLongestOfTheCallersLimits(t *testing.T) {
	for _, c := range []struct{ objective, gap, want time.Duration }{
		{400 * time.Millisecond, 0, 2 * time.Second},
		{1500 * time.Millisecond, 0, 6 * time.Second},
		{400 * time.Millisecond, 400 * time.Millisecond, 3200 * time.Millisecond},
	} {
		x := testExecution(testRelay(true), 0, c.objective)
		x.req.Route.GapObjective = c.gap
		assert.Equal(t, x.patience(), c.want)
		x.req.Deadline = time.Now().Add(time.Second)
		assert.Assert(t, x.patience() <= time.Second)
	}
}

// Guards against holding requests of a service that has no endpoint, and against refusing
// them at once while one is only busy or was not tried.
func TestEndpointsLeft(t *testing.T) {
	v := &fleet.View{EndpointsByService: map[string][]*fleet.Endpoint{"s": {{ID: "a"}, {ID: "b", State: fleet.Draining}}}}
	assert.Assert(t, anyEndpointLeft(v, "s", nil))
	assert.Assert(t, !anyEndpointLeft(v, "s", []string{"a"}))
	assert.Assert(t, !anyEndpointLeft(v, "t", nil))
}
