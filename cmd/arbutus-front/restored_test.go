package main

import (
	"fmt"
	"net/http"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/fleet"
	"github.com/arbutusline/arbutusline/modules/directory"
	"github.com/arbutusline/arbutusline/platform"
)

// serves reports whether the router serves the route that only one configuration has.
func (r *testRouter) serves(version int) bool {
	return r.send("probe", http.MethodGet, fmt.Sprintf("/cfg/%d/x", version), "").status == http.StatusOK
}

// Guards against routers that compare revisions across a restore of the store: they list the
// objects again without pause, and never apply configurations that were written at revisions
// given out again.
func TestConfigurationWrittenAfterARestoreIsApplied(t *testing.T) {
	c := newCluster(t)
	c.startEndpoint(appEndpoint("a1"))
	routers := []*testRouter{c.startRouter(), c.startRouter()}
	copied := c.store.Copy()
	for version := 2; version <= 20; version++ {
		c.putConfiguration(version, nil)
	}
	for _, r := range routers {
		c.eventually("the configuration before the restore is applied", func() bool { return r.serves(20) })
	}
	lists := c.store.RequestCount(http.MethodGet, platform.KindConfiguration)
	c.store.Restore(copied)
	c.putConfiguration(21, nil)
	for _, r := range routers {
		c.eventually("the configuration after the restore is applied", func() bool { return r.serves(21) })
	}
	lists = c.store.RequestCount(http.MethodGet, platform.KindConfiguration) - lists
	assert.Assert(t, lists < 20, "%d requests for the configuration within seconds of a restore", lists)
}

// Guards against routers that stay unknown to the others after a restore of the store, as
// they registered after the copy: they exchange nothing, and limits and tests of prompt parts
// are divided without them.
func TestRoutersRegisterAgainAfterARestore(t *testing.T) {
	c := newCluster(t)
	c.startEndpoint(appEndpoint("a1"))
	c.startRouter()
	c.eventually("the first router is registered", func() bool { return len(c.store.Names(directory.KindRouters)) == 1 })
	copied := c.store.Copy()
	c.startRouter()
	c.startRouter()
	c.eventually("all routers are registered", func() bool { return len(c.store.Names(directory.KindRouters)) == 3 })
	writes := c.store.RequestCount(http.MethodPost, directory.KindRouters)
	c.store.Restore(copied)
	assert.Equal(t, len(c.store.Names(directory.KindRouters)), 1)
	c.eventually("all routers are registered again", func() bool { return len(c.store.Names(directory.KindRouters)) == 3 })
	assert.Equal(t, c.store.RequestCount(http.MethodPost, directory.KindRouters)-writes, 2, "a router registered again although the copy had it")
}

// Guards against a router that starts while the store holds an older configuration, or older
// published weights, than those that were acknowledged, and takes them although another
// router knows the newer ones; and against one that then stays without configuration when
// there is no other router.
func TestRouterThatStartsAfterARestoreAsksTheOthers(t *testing.T) {
	c := newCluster(t)
	c.eraWait = "2s"
	c.startEndpoint(appEndpoint("a1"))
	first := c.startRouter()
	copied := c.store.Copy()
	c.putConfiguration(2, nil)
	c.store.Put("versions", "m", map[string]any{"model": "m", "version": 2})
	latestWeights := func(r *testRouter) uint64 { return r.fleetView().LatestWeightsVersions["m"] }
	c.eventually("the changes are known", func() bool { return first.serves(2) && latestWeights(first) == 2 })
	c.store.Restore(copied)
	second := c.startRouter()
	for range 50 {
		assert.Assert(t, !second.serves(1), "the router serves a configuration that was replaced")
	}
	c.eventually("the router has the configuration of the other one", func() bool { return second.serves(2) })
	c.eventually("the router knows the published weights", func() bool { return latestWeights(second) == 2 })
	first.stop(t)
	second.stop(t)
	alone := c.startRouter()
	c.eventually("the router has the configuration of the store", func() bool { return alone.serves(1) })
}

// Guards against requests to endpoints that leave, or have left, because a restored copy of
// the store lists them as ready again; and against a sound endpoint that stays unused because
// its object was once removed.
func TestEndpointsThatLeftStayAwayAfterARestore(t *testing.T) {
	c := newCluster(t)
	staying, draining, gone := c.startEndpoint(appEndpoint("a1")), c.startEndpoint(appEndpoint("a2")), c.startEndpoint(appEndpoint("a3"))
	router := c.startRouter()
	copied := c.store.Copy()
	c.registerEndpoint(draining, "draining")
	c.store.Remove("servers", gone.ID)
	c.eventually("the router knows", func() bool {
		v := router.fleetView()
		return v.EndpointsByID[gone.ID] == nil && v.EndpointsByID[draining.ID].State == fleet.Draining
	})
	before := len(draining.ExecutedRequests()) + len(gone.ExecutedRequests())
	c.store.Restore(copied)
	c.putConfiguration(2, nil)
	c.eventually("the router follows the restored store", func() bool { return router.serves(2) })
	for i := range 60 {
		router.send(fmt.Sprintf("r%d", i), http.MethodGet, "/look/x", "")
	}
	assert.Equal(t, len(draining.ExecutedRequests())+len(gone.ExecutedRequests()), before)
	assert.Assert(t, len(staying.ExecutedRequests()) >= 60)
	c.eventually("an endpoint that is listed for longer than the store keeps silent ones is used", func() bool {
		return router.fleetView().EndpointsByID[gone.ID] != nil
	})
	assert.Equal(t, router.fleetView().EndpointsByID[draining.ID].State, fleet.Draining)
}

// Guards against the same among many routers, whose calls reach the one that starts before its own
// are answered.
func TestRouterThatStartsAfterARestoreAmongManyAsksThem(t *testing.T) {
	c := newCluster(t)
	c.eraWait = "2s"
	c.startEndpoint(appEndpoint("a1"))
	routers := make([]*testRouter, 0, 12)
	for range cap(routers) {
		routers = append(routers, c.startRouter())
	}
	copied := c.store.Copy()
	c.putConfiguration(2, nil)
	for _, r := range routers {
		c.eventually("the change is known", func() bool { return r.serves(2) })
	}
	c.store.Restore(copied)
	for range 3 {
		started := c.startRouter()
		for range 50 {
			assert.Assert(t, !started.serves(1), "the router serves a configuration that was replaced")
		}
		c.eventually("the router has the configuration of the others", func() bool { return started.serves(2) })
	}
}

// Guards against an engine that stays unused and keeps its weights for ever because it was draining
// when the store came back from a copy, although it has written since that it is ready; and against
// believing the copy, which lists it as ready from before.
func TestEndpointThatStaysAfterAllIsUsedAfterARestore(t *testing.T) {
	c := newCluster(t)
	c.startEndpoint(engineEndpoint("e1"))
	staying := c.startEndpoint(engineEndpoint("e2"))
	router := c.startRouter()
	state := func() fleet.EndpointState { return router.fleetView().EndpointsByID["e2"].State }
	for era := uint64(2); era <= 3; era++ { // What was remembered at one restore must not outlast the next one either.
		copied := c.store.Copy()
		c.registerEndpoint(staying, "draining")
		c.eventually("the engine is draining", func() bool { return state() == fleet.Draining })
		c.store.Restore(copied)
		c.eventually("the router has listed the endpoints of the copy", func() bool {
			return slices.ContainsFunc(router.directory().ReplicaPositions(), func(p directory.ReplicaPosition) bool {
				return p.Kind == platform.KindEndpoints && p.Position.Era == era
			})
		})
		assert.Equal(t, state(), fleet.Draining)
		c.registerEndpoint(staying, "ready")
		c.eventually("the engine is ready", func() bool { return state() == fleet.Ready })
	}
	c.store.Put("versions", "m", map[string]any{"model": "m", "version": 2})
	c.eventually("the engine has the new weights", func() bool { return staying.WeightsVersion() == 2 })
}
