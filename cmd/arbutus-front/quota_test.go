package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/standin/platform"
)

// setQuota returns a change of the sample configuration that gives the team of key-1 a quota.
func setQuota(fields map[string]any) func(map[string]any) {
	return func(config map[string]any) {
		for name, value := range fields {
			config["tenants"].([]map[string]any)[0][name] = value
		}
	}
}

// retryAfter returns the seconds after which a refused caller is asked to return, or 0.
func retryAfter(r response) float64 {
	seconds, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return seconds
}

// Guards against routers that together run more than a quota allows, run a request that they refused,
// tell callers no time to return or one beyond a third of their time, refuse a team without a quota,
// or go on refusing after the quota was removed.
func TestQuotaHoldsForAllRouters(t *testing.T) {
	const rate, burst, tokens = 2000, 2000, 1660
	c := newCluster(t)
	engine := c.startEndpoint(engineEndpoint("e1"))
	c.putConfiguration(2, setQuota(map[string]any{"rate_per_s": rate, "burst": burst, "unit": "tokens", "uncached_tokens": 100}))
	routers := []*testRouter{c.startRouter(), c.startRouter(), c.startRouter()}
	t.Cleanup(http.DefaultClient.CloseIdleConnections)
	start := time.Now()
	var callers sync.WaitGroup
	var mu sync.Mutex
	served := map[string]bool{}
	for caller := range 6 {
		callers.Go(func() {
			for i := range 40 {
				id := fmt.Sprintf("r%d-%d", caller, i)
				got := routers[caller%len(routers)].sendPrompt(id, "/ask/x")
				if got.status == http.StatusOK {
					mu.Lock()
					served[id] = true
					mu.Unlock()
					continue
				}
				assert.Check(t, got.status == http.StatusTooManyRequests, "status %d", got.status)
				assert.Check(t, retryAfter(got) >= 0.2 && retryAfter(got) <= 5.0/3, "%v", retryAfter(got))
			}
		})
	}
	callers.Wait()
	window := max(8, time.Since(start).Seconds())
	bound := (rate*window+burst)*1.1 + 110_000
	executed := engine.ExecutedRequests()
	assert.Assert(t, float64(len(executed)*tokens) <= bound, "%d requests in %.1f s", len(executed), window)
	assert.Assert(t, len(executed) > 0 && len(executed) < 240)
	assert.Equal(t, len(executed), len(served))
	for i := range 5 {
		assert.Equal(t, routers[0].sendPrompt(fmt.Sprintf("other-%d", i), "/ask/x", "Authorization", "Token key-2").status, http.StatusOK)
	}
	for _, name := range []string{`arbutus_refusals_total{reason="quota"}`, `arbutus_quota_limit_units_per_second{team="open"} 2000`, `arbutus_quota_level_units{team="open"}`, `arbutus_quota_units_total{result="refused",team="open"}`} {
		assert.Check(t, strings.Contains(getBody(routers[0].adminURL+"/metrics"), name), name)
	}
	c.putConfiguration(3, nil)
	for _, r := range routers {
		c.eventually("the quota is removed", func() bool { return r.fleetView().Config.Version == 3 })
		for i := range 5 {
			assert.Equal(t, r.sendPrompt(fmt.Sprintf("free-%d", i), "/ask/x").status, http.StatusOK)
		}
	}
}

// Guards against units that stay counted for requests that no endpoint ran.
func TestRequestsThatDidNotRunDoNotUseTheQuota(t *testing.T) {
	c := newCluster(t)
	app := c.startEndpoint(appEndpoint("a1"))
	c.putConfiguration(2, setQuota(map[string]any{"rate_per_s": 0.5, "burst": 2}))
	router := c.startRouter()
	c.eventually("a request is admitted", func() bool { return router.send("first", http.MethodPost, "/post/x", "entry").status == http.StatusOK })
	app.InjectFault(1, platform.FaultNotExecuted)
	c.eventually("the quota has room", func() bool {
		return router.send("refused", http.MethodPost, "/post/x", "entry").status == http.StatusServiceUnavailable
	})
	metrics := getBody(router.adminURL + "/metrics")
	assert.Assert(t, strings.Contains(metrics, `arbutus_quota_units_total{result="refunded",team="open"} 1`), metrics)
}

// invalidConfigurationErrors collects the errors of ignored configurations.
type invalidConfigurationErrors struct {
	mu     sync.Mutex
	errors []string
}

func (h *invalidConfigurationErrors) Levels() []logrus.Level { return logrus.AllLevels }

func (h *invalidConfigurationErrors) Fire(e *logrus.Entry) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if e.Message == "ignored invalid configuration" {
		h.errors = append(h.errors, fmt.Sprint(e.Data[logrus.ErrorKey]))
	}
	return nil
}

func (h *invalidConfigurationErrors) list() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string(nil), h.errors...)
}

// Guards against an invalid quota that takes effect in part, takes the last valid one out of force, or is
// not told to operators in one line that names team and value.
func TestInvalidQuotaLeavesTheLastConfigurationInForce(t *testing.T) {
	c := newCluster(t)
	c.startEndpoint(appEndpoint("a1"))
	c.putConfiguration(2, setQuota(map[string]any{"rate_per_s": 0.1, "burst": 1}))
	router := c.startRouter()
	hook := &invalidConfigurationErrors{}
	router.kernel.Log.Logger.AddHook(hook)
	refused := func(id string) bool {
		return router.send(id, http.MethodGet, "/look/x", "").status == http.StatusTooManyRequests
	}
	c.eventually("the quota is used up", func() bool { return refused("first") })
	for i, bad := range []struct {
		fields map[string]any
		want   string
	}{
		{map[string]any{"rate_per_s": -5}, `team "open": rate_per_s is -5; it must be a number that is not negative: invalid object`},
		{map[string]any{"rate_per_s": 1000, "burst": 1000, "unit": "words"}, `team "open": unit is "words"; it must be "tokens" or "requests": invalid object`},
	} {
		c.putConfiguration(3+i, setQuota(bad.fields))
		c.eventually("the configuration is ignored", func() bool { return len(hook.list()) > i })
		time.Sleep(300 * time.Millisecond) // Several rounds in which the line could come again.
		assert.DeepEqual(t, hook.list()[i:], []string{bad.want})
		assert.Equal(t, router.fleetView().Config.Version, uint64(2))
		assert.Assert(t, refused(fmt.Sprintf("after-%d", i)))
	}
	c.putConfiguration(5, setQuota(map[string]any{"rate_per_s": 1000, "burst": 1000}))
	c.eventually("a raised quota takes effect", func() bool { return router.send("raised", http.MethodGet, "/look/x", "").status == http.StatusOK })
}
