package main

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline"
	"github.com/arbutusline/arbutusline/modules/relay"
)

// speedMetric and errorMetrics are the beginnings of metrics that exist once something was
// learned of the engine and of the route.
const speedMetric = `arbutus_endpoint_speed_ratio{endpoint="e1",service="llm"} `

var errorMetrics = []string{
	`arbutus_output_estimate_error_tokens{percentile="90",route="ask"} `, `arbutus_first_event_estimate_error_seconds{percentile="50",route="ask"} `,
}

// Load: streams of 20 events at one engine through two of three routers. Guards against
// estimates that no metric shows or that other routers do not receive, against observing
// anything while cost_aware is off or no route's objective leaves room for it, and against a
// reload that does not switch it.
func TestRoutersLearnAndExchangeSpeeds(t *testing.T) {
	c := newCluster(t)
	engine := engineEndpoint("e1")
	engine.StreamEvents, engine.EventInterval = 20, 20*time.Millisecond
	c.startEndpoint(engine)
	off := c.startRouter()
	c.relaySettings = `"cost_aware": true`
	router, other := c.startRouter(), c.startRouter()
	sent := 0
	var streams sync.WaitGroup
	defer streams.Wait()
	// awaitMetrics sends streams until a router shows the metrics.
	awaitMetrics := func(r *testRouter, names ...string) {
		var missing string
		for range 40 {
			sent++
			id := fmt.Sprint("off", sent)
			streams.Go(func() { off.sendPrompt(id, "/ask/x") })
			assert.Equal(t, len(router.sendPrompt(fmt.Sprint("r", sent), "/ask/x").eventIDs()), 20)
			text := getBody(r.adminURL + "/metrics")
			missing = ""
			for _, name := range names {
				if !strings.Contains(text, name) {
					missing = name
				}
			}
			if missing == "" {
				return
			}
		}
		t.Fatalf("no metric %q after %d streams", missing, sent)
	}
	for i := range 10 {
		assert.Equal(t, len(router.sendPrompt(fmt.Sprint("tight", i), "/ask/x").eventIDs()), 20)
	}
	assert.Assert(t, !strings.Contains(getBody(router.adminURL+"/metrics"), errorMetrics[0]))
	c.putConfiguration(2, func(config map[string]any) {
		for _, route := range config["routes"].([]map[string]any) {
			route["target_gap_ms"] = 100
		}
	})
	for _, r := range []*testRouter{off, router, other} {
		c.eventually("the configuration is in force", func() bool { return r.fleetView().Config.Version == 2 })
	}
	awaitMetrics(router, append(errorMetrics, speedMetric)...)
	awaitMetrics(other, speedMetric)
	assert.Assert(t, c.logs.wasLogged("estimated the cost of a request"))
	assert.Assert(t, !strings.Contains(getBody(off.adminURL+"/metrics"), speedMetric))
	r, err := arbutusline.Lookup[*relay.Relay](router.kernel, relay.Name)
	assert.NilError(t, err)
	next := &relay.Relay{RetryRatio: r.RetryRatio, RetrySlack: r.RetrySlack, OldWeightsLimit: r.OldWeightsLimit, WeightsDeadline: r.WeightsDeadline}
	r.Reload(next)
	assert.Assert(t, !strings.Contains(getBody(router.adminURL+"/metrics"), speedMetric))
	next.CostAware = true
	r.Reload(next)
	awaitMetrics(router, append(errorMetrics, speedMetric)...)
}
