package main

import (
	"fmt"
	"strings"
	"testing"

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
	const watchers, routers = 2, 4
	c := newCluster(t)
	c.startEndpoint(appEndpoint("a1"))
	c.startWatchedRouters(watchers, routers)
	for _, r := range c.routers[:watchers] {
		r.storeProxy.Silence()
		t.Cleanup(r.storeProxy.EndSilence)
	}
	c.putConfiguration(3, nil)
	for _, r := range c.routers[watchers:] {
		c.eventually("the change is in force", func() bool { return r.serves(3) })
		c.eventually("the router has read the store itself", func() bool {
			return strings.Contains(getBody(r.adminURL+"/metrics"), `arbutus_directory_confirmations_total{kind="config",source="read"}`)
		})
	}
}
