package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline"
	"github.com/arbutusline/arbutusline/modules/directory"
)

func (r *testRouter) directory() *directory.Directory {
	d, err := arbutusline.Lookup[*directory.Directory](r.kernel, directory.Name)
	if err != nil {
		panic(err) // The module is always loaded.
	}
	return d
}

// startWatchedRouters starts routers of which only the first ones watch the store, and waits
// until all have applied version 2.
func (c *cluster) startWatchedRouters(watchers, routers int) {
	c.directorySettings = fmt.Sprintf(`, "watchers": %d`, watchers)
	for range routers {
		c.startRouter()
	}
	for _, r := range c.routers {
		c.eventually("the routers know each other", func() bool { return r.directory().RouterCount() == routers })
	}
	for _, r := range c.routers[watchers:] {
		c.eventually("only the first routers watch", func() bool { return r.directory().WatchRank() >= watchers })
	}
	// The change ends the watches that routers began before they knew the others.
	c.putConfiguration(2, nil)
	for _, r := range c.routers {
		c.eventually("the configuration is in force", func() bool { return r.serves(2) })
	}
}

// Guards against a router that reaches the store and yet answers from an older configuration,
// because the routers that watch the store hear nothing from it and go on answering calls.
func TestRouterReadsAChangeThatTheWatchersMiss(t *testing.T) {
	const watchers = 2
	for _, sound := range []int{1, 2} {
		t.Run(fmt.Sprint(sound), func(t *testing.T) {
			c := newCluster(t)
			c.startEndpoint(appEndpoint("a1"))
			c.startWatchedRouters(watchers, watchers+sound)
			for _, r := range c.routers[:watchers] {
				r.storeProxy.Silence()
				t.Cleanup(r.storeProxy.EndSilence)
			}
			c.putConfiguration(3, nil)
			for _, r := range c.routers[watchers:] {
				c.eventually("the change is in force", func() bool { return r.serves(3) })
			}
			// What one router has read confirms the others, so that they need not read.
			c.eventually("a router has read the store itself", func() bool {
				return slices.ContainsFunc(c.routers[watchers:], func(r *testRouter) bool {
					return strings.Contains(getBody(r.adminURL+"/metrics"), `arbutus_directory_confirmations_total{kind="config",source="read"}`)
				})
			})
		})
	}
}

// Guards against final refusals by a router that reaches neither the store nor other routers and
// cannot know whether a newer configuration has the route or the key.
func TestUnconfirmedConfigurationRefusesNothingForGood(t *testing.T) {
	c := newCluster(t)
	c.directorySettings = `, "configuration_deadline": "1s"`
	c.startEndpoint(appEndpoint("a1"))
	r := c.startRouter()
	unknownRoute := func() int { return r.send("r", http.MethodGet, "/nowhere/", "").status }
	unknownKey := func() int { return r.send("k", http.MethodGet, "/look/x", "", "Authorization", "Token nobody").status }
	c.eventually("the refusals are final", func() bool { return unknownRoute() == http.StatusNotFound && unknownKey() == http.StatusUnauthorized })
	r.storeProxy.Silence()
	c.eventually("the refusals leave it open", func() bool {
		return unknownRoute() == http.StatusServiceUnavailable && unknownKey() == http.StatusServiceUnavailable
	})
	assert.Equal(t, r.send("known", http.MethodGet, "/look/x", "").status, http.StatusOK)
	r.storeProxy.EndSilence()
	c.eventually("the refusals are final again", func() bool { return unknownRoute() == http.StatusNotFound })
}

// Guards against a store that came back from a copy and confirms the configuration of the copy to
// a router that had missed the one which the store lost.
func TestRestoredStoreDoesNotConfirmWhatItLost(t *testing.T) {
	c := newCluster(t)
	c.startEndpoint(appEndpoint("a1"))
	r := c.startRouter()
	copied := c.store.Copy()
	r.storeProxy.Silence()
	c.putConfiguration(2, nil)
	c.store.Restore(copied)
	r.storeProxy.EndSilence()
	c.eventually("the router knows the era", func() bool { return r.directory().StoreEra() == 2 })
	assert.Equal(t, r.send("missed", http.MethodGet, "/cfg/2/x", "").status, http.StatusServiceUnavailable)
	c.store.Rewrite()
	c.eventually("the configuration is in force", func() bool { return r.serves(2) })
}
