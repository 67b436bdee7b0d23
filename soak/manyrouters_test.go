package soak

import (
	"cmp"
	"context"
	"slices"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// manyRoutersIndex gives the routers addresses that no seed of TestSoak in CI uses.
	manyRoutersIndex = 127
	// ranksSettlingTime is enough for several rounds of calls between 31 routers, after which
	// they agree who watches the store.
	ranksSettlingTime = 3 * time.Second
	// impairedPeriod is twice the deadline of a configuration.
	impairedPeriod = 2 * configurationDeadline
)

// Guards against a router that reaches the store and answers from a replaced configuration,
// because the few routers that watch the store hear nothing from it or stand still. It takes
// more routers than watch: ARBUTUS_SOAK_ROUTERS, 8 by default, of which 6 watch. Fewer than 7 leave none to look at.
func TestConfigurationReachesSoundRoutersAmongMany(t *testing.T) {
	routerCount := int(envUint("ARBUTUS_SOAK_ROUTERS", 8))
	for name, impair := range map[string]func(r *router) (restore func()){
		"no response from the store": func(r *router) func() {
			r.storeProxy.SetMode(DropResponses)
			return func() { r.storeProxy.SetMode(Forward) }
		},
		"frozen": func(r *router) func() {
			r.signal(syscall.SIGSTOP, false)
			return func() { r.signal(syscall.SIGCONT, false) }
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, manyRoutersIndex, defaultWatchers, routerCount, 1, 1, false)
			time.Sleep(ranksSettlingTime)
			// Those with the lowest addresses watch.
			byAddress := slices.SortedFunc(slices.Values(d.routers), func(a, b *router) int { return cmp.Compare(a.ip, b.ip) })
			impairedCount := max(defaultWatchers, routerCount*4/5)
			var restores []func()
			for _, r := range byAddress[:impairedCount] {
				d.recordFault(name, r.name, false, impairedPeriod)
				restores = append(restores, impair(r))
			}
			d.publishNextConfiguration()
			ctx, cancel := context.WithTimeout(t.Context(), impairedPeriod)
			defer cancel()
			d.probeRouters(ctx, byAddress[impairedCount:])
			for _, restore := range restores {
				restore()
			}
			d.waitForRecovery()
			d.checkLogs()
			history := d.collectHistory()
			t.Logf("%d of %d routers impaired; %d probes served by the others, %d refused for good", impairedCount, routerCount, len(history.ServedVersions), len(history.RefusedVersions))
			for _, violation := range history.Violations() {
				t.Error(violation)
			}
			assert.Assert(t, len(history.ServedVersions) > 0)
		})
	}
}
