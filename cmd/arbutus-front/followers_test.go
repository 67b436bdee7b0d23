package main

import (
	"context"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/modules/directory"
	"github.com/arbutusline/arbutusline/standin/platform"
)

const (
	followedEngines = 20
	otherRouters    = 30
	// maxShare is far above the 20 x 5 / 31 engines of a router's share.
	maxShare = 10
)

func (c *cluster) startEngines() []*platform.Endpoint {
	var engines []*platform.Endpoint
	for i := range followedEngines {
		engines = append(engines, c.startEndpoint(engineEndpoint(fmt.Sprintf("e%d", i))))
	}
	return engines
}

func (c *cluster) registerOtherRouters() {
	for i := range otherRouters {
		c.store.Put(directory.KindRouters, fmt.Sprintf("other-%d", i), map[string]any{"address": "127.0.0.1:1", "zone": "a"})
	}
}

// readsOf returns how often the cache events of each engine were read.
func readsOf(engines []*platform.Endpoint) []int {
	var reads []int
	for _, e := range engines {
		reads = append(reads, e.CacheEventReads())
	}
	return reads
}

// readEngines returns the number of engines that were read since the reads before, when one
// of them was read several times since.
func (c *cluster) readEngines(engines []*platform.Endpoint, before []int) int {
	read := 0
	c.eventually("an engine is read several times", func() bool {
		read = 0
		several := false
		for i, n := range readsOf(engines) {
			if n > before[i] {
				read++
			}
			several = several || n >= before[i]+4
		}
		return several
	})
	return read
}

// Guards against a router that learns of the engines before it learns of the other routers,
// takes itself for the only one, and reads the cache events of all engines for good.
func TestRouterFollowsNoEngineBeforeItKnowsTheRouters(t *testing.T) {
	c := newCluster(t)
	c.registerOtherRouters()
	engines := c.startEngines()
	router := c.loadRouter()
	router.storeProxy.PauseKind(directory.KindRouters)
	t.Cleanup(router.storeProxy.ResumeRequests)
	assert.NilError(t, router.kernel.Start(context.Background()))
	c.eventually("the engines are known", func() bool { return len(router.fleetView().EndpointsByID) == followedEngines })
	router.storeProxy.ResumeRequests()
	read := c.readEngines(engines, make([]int, followedEngines))
	assert.Assert(t, read > 0 && read <= maxShare, "%d of %d engines were read", read, followedEngines)
}

// Guards against a router that goes on to read the cache events of all engines when other
// routers have come.
func TestRouterLeavesEnginesToOtherRouters(t *testing.T) {
	c := newCluster(t)
	engines := c.startEngines()
	c.startRouter()
	c.eventually("all engines are read", func() bool {
		for _, n := range readsOf(engines) {
			if n == 0 {
				return false
			}
		}
		return true
	})
	c.registerOtherRouters()
	read := 0
	for range 3 {
		read = c.readEngines(engines, readsOf(engines))
	}
	assert.Assert(t, read > 0 && read <= maxShare, "%d of %d engines are read", read, followedEngines)
}
