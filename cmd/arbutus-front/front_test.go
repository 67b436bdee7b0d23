package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/standin/platform"
)

func app(id string) *platform.Endpoint { return &platform.Endpoint{ID: id, Service: "app"} }

func engine(id string) *platform.Endpoint {
	return &platform.Endpoint{ID: id, Service: "llm", Model: "m", StreamEvents: 10, EventInterval: time.Millisecond, WeightsLoadTime: 50 * time.Millisecond}
}

func wantEvents(t *testing.T, r reply) {
	t.Helper()
	assert.NilError(t, r.err)
	assert.Equal(t, r.status, http.StatusOK)
	events := r.events()
	assert.Equal(t, len(events), 10, "%v", events)
	for i, id := range events {
		assert.Equal(t, id, strconv.Itoa(i+1))
	}
}

// The whole path: an answer must be the endpoint's own, with its signature, and
// the endpoint must see the team and never the key.
func TestServesAllKindsOfRoute(t *testing.T) {
	c := newCluster(t)
	plain, model := c.worker(app("a1")), c.worker(engine("e1"))
	f := c.front()
	r := f.call("r1", http.MethodPost, "/post/x?q=1", "entry")
	assert.NilError(t, r.err)
	assert.Equal(t, r.status, http.StatusOK)
	assert.Equal(t, r.body, "answer to r1")
	assert.Equal(t, r.header.Get("Server-Stamp"), "a1.r1")
	run := plain.ExecutedRequests()[0]
	assert.Equal(t, run.Team, "open")
	assert.Equal(t, run.URI, "/post/x?q=1")
	assert.Equal(t, run.Body, "entry")
	left, err := strconv.Atoi(run.DeadlineMS)
	assert.NilError(t, err)
	assert.Assert(t, left > 0 && left <= 5000)
	wantEvents(t, f.ask("r2", "/ask/x"))
	assert.Equal(t, model.ExecutedRequests()[0].CacheNamespace, "1/")
	wantEvents(t, f.ask("r3", "/ask/x", "Authorization", "Token key-2"))
	assert.Equal(t, model.ExecutedRequests()[1].CacheNamespace, "1/walled")
}

// A caller without a valid key or route must be told so, and nothing may run.
func TestRefusesWhatTheConfigurationDoesNotAllow(t *testing.T) {
	c := newCluster(t)
	plain := c.worker(app("a1"))
	f := c.front()
	assert.Equal(t, f.call("r1", http.MethodGet, "/look/x", "", "Authorization", "Token nobody").status, http.StatusUnauthorized)
	assert.Equal(t, f.call("r2", http.MethodGet, "/elsewhere/x", "").status, http.StatusNotFound)
	assert.Equal(t, f.call("r3", http.MethodGet, "/look/x", "", "Deadline-Ms", "soon").status, http.StatusBadRequest)
	assert.Equal(t, len(plain.ExecutedRequests()), 0)
}

// Work that may not be repeated runs at most once, whatever its endpoint does
// after it began; a refusal that says it has not run must be true.
func TestNonIdempotentWorkRunsAtMostOnce(t *testing.T) {
	c := newCluster(t)
	workers := []*platform.Endpoint{c.worker(app("a1")), c.worker(app("a2"))}
	f := c.front()
	for i, fault := range []platform.Fault{platform.FaultNoResponse, platform.FaultTruncatedResponse, platform.FaultError, platform.FaultNotExecuted} {
		for _, w := range workers {
			w.InjectFault(1, fault)
		}
		id := fmt.Sprintf("r%d", i)
		r := f.call(id, http.MethodPost, "/post/x", "entry")
		ran := workers[0].ExecutionCount(id) + workers[1].ExecutionCount(id)
		assert.NilError(t, r.err)
		assert.Assert(t, ran <= 1, "%s: ran %d times", fault, ran)
		if r.status == http.StatusServiceUnavailable {
			assert.Equal(t, ran, 0, "%s: refused though it ran", fault)
		}
		for _, w := range workers {
			w.InjectFault(0, "")
		}
	}
}

// Idempotent calls get the answer of a second endpoint after any failure.
func TestIdempotentCallsAreRetried(t *testing.T) {
	c := newCluster(t)
	a1, a2 := c.worker(app("a1")), c.worker(app("a2"))
	f := c.front()
	for i, fault := range []platform.Fault{platform.FaultNoResponse, platform.FaultTruncatedResponse, platform.FaultError, platform.FaultNotExecuted} {
		a1.InjectFault(1, fault)
		a2.InjectFault(0, "")
		for n := range 4 {
			r := f.call(fmt.Sprintf("r%d-%d", i, n), http.MethodGet, "/look/x", "")
			assert.NilError(t, r.err)
			assert.Equal(t, r.status, http.StatusOK, "%s", fault)
		}
	}
}

// An answer to another request that arrives first must not reach the caller.
func TestForeignAnswerIsSkipped(t *testing.T) {
	c := newCluster(t)
	c.worker(app("a1")).InjectFault(1, platform.FaultForeignResponse)
	f := c.front()
	r := f.call("r1", http.MethodGet, "/look/x", "")
	assert.NilError(t, r.err)
	assert.Equal(t, r.body, "answer to r1")
}

// A resumable stream whose endpoint dies inside an event goes on elsewhere within
// the same answer, without a missing, repeated or half event. A stream that may
// not be repeated must not look complete.
func TestStreamGoesOnElsewhere(t *testing.T) {
	c := newCluster(t)
	e1, e2 := c.worker(engine("e1")), c.worker(engine("e2"))
	f := c.front()
	e1.InjectFault(1, platform.FaultTruncatedResponse)
	e2.InjectFault(1, platform.FaultTruncatedResponse)
	wantEvents(t, f.ask("r0", "/ask/x"))
	e1.InjectFault(0, "")
	e2.InjectFault(0, "")
	e1.InjectFault(1, platform.FaultTruncatedResponse)
	e2.InjectFault(1, platform.FaultTruncatedResponse)
	r := f.ask("r1", "/audit/x")
	assert.Assert(t, r.err != nil, "a stream that was cut looks complete")
	assert.Equal(t, e1.ExecutionCount("r1")+e2.ExecutionCount("r1"), 1)
}

// New weights come into force everywhere, ordered by one router at a time with
// rising tokens, and no stream is lost meanwhile.
func TestWeightsChangeUnderLoad(t *testing.T) {
	c := newCluster(t)
	engines := []*platform.Endpoint{c.worker(engine("e1")), c.worker(engine("e2")), c.worker(engine("e3"))}
	fronts := []*front{c.front(), c.front()}
	var callers sync.WaitGroup
	stop := make(chan struct{})
	for i := range 4 {
		callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				r := fronts[i%2].ask(fmt.Sprintf("c%d-%d", i, n), "/ask/x")
				if r.status != http.StatusServiceUnavailable {
					wantEvents(t, r)
				}
			}
		})
	}
	for version := 2; version <= 3; version++ {
		c.store.Put("versions", "m", map[string]any{"model": "m", "version": version})
		c.eventually("all engines have the version", func() bool {
			for _, e := range engines {
				if e.WeightsVersion() != uint64(version) {
					return false
				}
			}
			return true
		})
	}
	close(stop)
	callers.Wait()
	for _, e := range engines {
		fences := e.OrderFencingTokens()
		for i := 1; i < len(fences); i++ {
			assert.Assert(t, fences[i] >= fences[i-1], "fencing tokens %v", fences)
		}
		for _, r := range e.ExecutedRequests() {
			assert.Equal(t, r.CacheNamespace, fmt.Sprintf("%d/", r.WeightsVersion), "cache of other weights")
		}
	}
}

// An engine whose entry shows other weights than it has must be asked for them; a
// guess would have it refuse every request.
func TestEngineWithOtherWeightsThanItsEntryIsUsed(t *testing.T) {
	c := newCluster(t)
	e := c.worker(engine("e1"))
	f := c.front()
	e.SetWeightsVersion(2)
	c.eventually("the engine is used with the weights that it has", func() bool {
		return f.ask("r", "/ask/x").status == http.StatusOK
	})
}

// A router that starts later must know for how long weights have been old, or it
// would use them past their time. The store holds the newest version only.
func TestLaterRouterKnowsTheAgeOfWeights(t *testing.T) {
	c := newCluster(t)
	c.worker(app("a1"))
	first := c.front()
	c.store.Put("versions", "m", map[string]any{"model": "m", "version": 2})
	c.eventually("the version is known", func() bool { return first.view().LatestWeightsVersions["m"] == 2 })
	c.store.Put("versions", "m", map[string]any{"model": "m", "version": 3})
	c.eventually("the next version is known", func() bool { return first.view().LatestWeightsVersions["m"] == 3 })
	time.Sleep(500 * time.Millisecond)
	later := c.front()
	want, _ := first.view().SupersededAt("m", 1)
	c.eventually("the later router knows the age", func() bool {
		got, old := later.view().SupersededAt("m", 1)
		return old && got.Sub(want).Abs() < 300*time.Millisecond
	})
}

// A router that the store turns away must learn of a configuration and of a
// leaving endpoint from the other routers.
func TestRouterCutOffFromTheStoreLearnsFromOthers(t *testing.T) {
	c := newCluster(t)
	a1, a2 := c.worker(app("a1")), c.worker(app("a2"))
	first, cut := c.front(), c.front()
	c.eventually("routers know each other", func() bool { return c.store.RequestCount(http.MethodPost, "arbutus-routers") >= 2 })
	cut.gate.MakeUnavailable()
	c.configure(2, func(config map[string]any) {
		config["tenants"] = []map[string]any{{"name": "open", "api_keys": []string{"key-new"}}}
	})
	c.announce(a1, "draining")
	c.eventually("the key is refused", func() bool {
		return cut.call("k", http.MethodGet, "/look/x", "").status == http.StatusUnauthorized
	})
	assert.Equal(t, first.call("k2", http.MethodGet, "/look/x", "").status, http.StatusUnauthorized)
	c.eventually("the leaving endpoint gets no work", func() bool {
		before := len(a1.ExecutedRequests())
		for i := range 4 {
			cut.call(fmt.Sprintf("d%d", i), http.MethodGet, "/look/x", "", "Authorization", "Token key-new")
		}
		return len(a1.ExecutedRequests()) == before && len(a2.ExecutedRequests()) > 0
	})
}

// After the store dropped its history a waiting watch hears nothing; the change
// that was made meanwhile must still arrive.
func TestChangeIsFoundAfterTheHistoryIsDropped(t *testing.T) {
	c := newCluster(t)
	c.worker(app("a1"))
	f := c.front()
	c.store.ChangeWithoutEvents(func() {
		c.configure(2, func(config map[string]any) {
			config["tenants"] = []map[string]any{{"name": "open", "api_keys": []string{"key-new"}}}
		})
	})
	c.eventually("the new configuration is in force", func() bool {
		return f.call("r", http.MethodGet, "/look/x", "").status == http.StatusUnauthorized
	})
}

// A graceful shutdown must cut no stream and refuse readiness at once.
func TestShutdownCutsNoStream(t *testing.T) {
	c := newCluster(t)
	slow := engine("e1")
	slow.EventInterval = 60 * time.Millisecond
	c.worker(slow)
	f := c.front()
	got := make(chan reply, 1)
	go func() { got <- f.ask("r1", "/audit/x") }()
	c.eventually("the stream runs", func() bool { return len(slow.ExecutedRequests()) == 1 })
	f.stop(t)
	wantEvents(t, <-got)
	assert.Equal(t, statusOf(f.ready+"/readyz"), 0)
}

// A request that breaks the connections of three endpoints must not reach a fourth
// one.
func TestRequestThatCrashesEndpointsIsRefused(t *testing.T) {
	c := newCluster(t)
	workers := []*platform.Endpoint{c.worker(app("a1")), c.worker(app("a2")), c.worker(app("a3")), c.worker(app("a4"))}
	f := c.front()
	for _, w := range workers {
		w.InjectFault(100, platform.FaultNoResponse)
	}
	for i := range 5 {
		f.call(fmt.Sprintf("r%d", i), http.MethodGet, "/look/deadly", "")
	}
	runs := 0
	for _, w := range workers {
		runs += len(w.ExecutedRequests())
	}
	assert.Assert(t, runs <= 3, "reached endpoints %d times", runs)
}

// A lost answer to the registration must not keep a router from the others.
func TestRegistrationSurvivesALostAnswer(t *testing.T) {
	c := newCluster(t)
	c.worker(app("a1"))
	c.store.LoseWriteResponses(1)
	c.front()
	c.eventually("the registration is repeated", func() bool { return c.store.RequestCount(http.MethodPut, "arbutus-routers") > 0 })
}

// After a loss of power callers come before the first configuration does; a request
// that can wait for it must not be refused.
func TestRequestWaitsForTheFirstConfiguration(t *testing.T) {
	c := newCluster(t)
	c.worker(app("a1"))
	f := c.router()
	// The store holds the configuration back until the request is there.
	f.gate.PauseRequests()
	defer f.gate.ResumeRequests()
	assert.NilError(t, f.kernel.Start(context.Background()))
	answered := make(chan reply)
	go func() { answered <- f.call("r1", http.MethodGet, "/look/x", "") }()
	c.eventually("the request is there", func() bool {
		return strings.Contains(textOf(f.ready+"/metrics"), "arbutus_ingress_requests_in_flight 1")
	})
	f.gate.ResumeRequests()
	r := <-answered
	assert.NilError(t, r.err)
	assert.Equal(t, r.status, http.StatusOK)
}
