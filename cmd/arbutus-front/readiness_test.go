package main

import (
	"net/http"
	"slices"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline"
	"github.com/arbutusline/arbutusline/fleet"
	"github.com/arbutusline/arbutusline/modules/directory"
	"github.com/arbutusline/arbutusline/modules/streamversions"
)

const viewProbeName = "view_probe"

func init() { arbutusline.Register(func() arbutusline.Module { return &viewProbe{} }) }

// viewProbe is a module that is told of each view before the modules after it.
type viewProbe struct {
	onView atomic.Pointer[func(*fleet.View)]
}

func (p *viewProbe) ModuleName() string { return viewProbeName }

func (p *viewProbe) Provision(k *arbutusline.Kernel) error {
	d, err := arbutusline.Lookup[*directory.Directory](k, directory.Name)
	if err != nil {
		return err
	}
	d.Subscribe(func(v *fleet.View) {
		if f := p.onView.Load(); f != nil {
			(*f)(v)
		}
	})
	return nil
}

// Guards against a router that is ready, and refuses streams, between the moment at which it
// knows the configuration and the endpoints and that at which software versions are assigned.
func TestRouterIsNotReadyBeforeStreamsCanBegin(t *testing.T) {
	c := newCluster(t)
	c.startEndpoint(engineEndpoint("u1"))
	c.modules = slices.Insert(slices.Clone(modules), slices.Index(modules, streamversions.Name), viewProbeName)
	r := c.loadRouter()
	probe, err := arbutusline.Lookup[*viewProbe](r.kernel, viewProbeName)
	assert.NilError(t, err)
	var seen atomic.Bool
	onView := func(v *fleet.View) {
		if v.Config != nil && len(v.EndpointsByID) > 0 && !seen.Swap(true) {
			assert.Check(t, getStatus(r.adminURL+"/readyz") != http.StatusOK, "ready before a stream can begin")
		}
	}
	probe.onView.Store(&onView)
	assert.NilError(t, r.kernel.Start(t.Context()))
	c.eventually("the router is ready", func() bool { return getStatus(r.adminURL+"/readyz") == http.StatusOK })
	assert.Assert(t, seen.Load())
	assert.Equal(t, r.sendPrompt("r1", "/ask/x").status, http.StatusOK)
}
