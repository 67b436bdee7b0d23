package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/decision/lease"
	"github.com/arbutusline/arbutusline/standin/platform"
)

// orderRefuser records the versions of all weights orders to an engine and, while
// refusing is true, answers them as if another order was in progress. The next dropped
// orders get no answer.
type orderRefuser struct {
	engine *platform.Endpoint

	mu       sync.Mutex
	refusing bool
	dropped  int
	versions []uint64
	// statusCalls counts the requests for the engine's status since the last order, and
	// statusCallsBetween has the counts between two orders.
	statusCalls        int
	statusCallsBetween []int
}

// ServeHTTP implements http.Handler.
func (o *orderRefuser) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/report":
		o.countStatusCall()
	case r.URL.Path == "/order" && o.dropOrder():
		panic(http.ErrAbortHandler)
	case r.URL.Path == "/order" && !o.admitOrder(r):
		w.WriteHeader(http.StatusConflict)
		return
	}
	o.engine.ServeHTTP(w, r)
}

func (o *orderRefuser) countStatusCall() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.statusCalls++
}

// dropOrder counts an order and reports whether it gets no answer.
func (o *orderRefuser) dropOrder() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.statusCallsBetween = append(o.statusCallsBetween, o.statusCalls)
	o.statusCalls = 0
	o.dropped--
	return o.dropped >= 0
}

func (o *orderRefuser) admitOrder(r *http.Request) bool {
	var order struct {
		Version uint64 `json:"version"`
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(body, &order) != nil {
		return false
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	o.mu.Lock()
	defer o.mu.Unlock()
	o.versions = append(o.versions, order.Version)
	return !o.refusing
}

func (o *orderRefuser) orderedVersions() []uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.versions)
}

func (o *orderRefuser) acceptOrders() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.refusing = false
}

// Guards against orders for a version that was superseded while its change waited: the
// engine loads it, loads the newest one after it, and requests run on superseded weights
// meanwhile.
func TestWaitingChangeGoesToTheNewestVersion(t *testing.T) {
	c := newCluster(t)
	e := engineEndpoint("e1")
	e.SetWeightsVersion(1)
	orders := &orderRefuser{engine: e, refusing: true}
	server := httptest.NewServer(orders)
	t.Cleanup(server.Close)
	c.endpointServers[e.ID] = server
	c.registerEndpoint(e, "ready")
	router := c.startRouter()
	c.store.Put("versions", "m", map[string]any{"model": "m", "version": 2})
	c.eventually("an order for version 2", func() bool { return slices.Contains(orders.orderedVersions(), 2) })
	c.store.Put("versions", "m", map[string]any{"model": "m", "version": 3})
	c.eventually("the router knows version 3", func() bool { return router.fleetView().LatestWeightsVersions["m"] == 3 })
	// One order may be on its way.
	known := len(orders.orderedVersions()) + 1
	c.eventually("another order", func() bool { return len(orders.orderedVersions()) > known })
	orders.acceptOrders()
	c.eventually("the engine has version 3", func() bool { return e.WeightsVersion() == 3 })
	for _, version := range orders.orderedVersions()[known:] {
		assert.Equal(t, version, uint64(3), "orders %v, version 3 was known before order %d", orders.orderedVersions(), known)
	}
}

// Guards against a pause of seconds after each order whose answer is lost: engines keep
// superseded weights meanwhile.
func TestOrderWithoutAnswerIsRepeatedWithTheNextStatus(t *testing.T) {
	c := newCluster(t)
	e := engineEndpoint("e1")
	e.SetWeightsVersion(1)
	orders := &orderRefuser{engine: e, dropped: 4}
	server := httptest.NewServer(orders)
	t.Cleanup(server.Close)
	c.endpointServers[e.ID] = server
	c.registerEndpoint(e, "ready")
	c.startRouter()
	c.store.Put("versions", "m", map[string]any{"model": "m", "version": 2})
	c.eventually("the engine has version 2", func() bool { return e.WeightsVersion() == 2 })
	orders.mu.Lock()
	defer orders.mu.Unlock()
	assert.DeepEqual(t, orders.statusCallsBetween, []int{1, 1, 1, 1, 1})
	assert.DeepEqual(t, e.OrderVersions(), []uint64{2})
}

// Guards against a request that waits in an engine's queue until the engine's weights
// have been superseded for too long, and begins then.
func TestRequestThatWaitsOnExpiredWeightsIsWithdrawn(t *testing.T) {
	c := newCluster(t)
	c.relaySettings = `"weights_deadline": "1s"`
	engine := engineEndpoint("engine-1")
	engine.Queue = make(chan struct{})
	c.startEndpoint(engine)
	router := c.startRouter()
	responses := make(chan response, 1)
	go func() { responses <- router.sendPrompt("waiting", "/audit/x") }()
	c.eventually("the request has reached the engine", func() bool { return engine.ExecutionCount("waiting") == 1 })
	c.store.Put("versions", "m", map[string]any{"model": "m", "version": 2})
	r := <-responses
	assert.NilError(t, r.err)
	assert.Equal(t, r.status, http.StatusBadGateway, "the request may have run")
	c.eventually("the engine has loaded the weights", func() bool { return engine.WeightsVersion() == 2 })
	assert.Equal(t, engine.BegunStreams(), 0)
	close(engine.Queue)
	c.eventually("requests are served again", func() bool { return router.sendPrompt("next", "/audit/x").status == http.StatusOK })
}

// Guards against a router that alone cannot reach the store and suspends the deadline of
// superseded weights, while the others reach the store and go on changing weights.
func TestRouterWithoutStoreKeepsTheWeightsDeadline(t *testing.T) {
	c := newCluster(t)
	c.relaySettings = `"weights_deadline": "1s"`
	engine := engineEndpoint("engine-1")
	engine.Queue = make(chan struct{})
	c.startEndpoint(engine)
	c.startRouter()
	isolated := c.startRouter()
	isolated.storeProxy.MakeUnavailable()
	c.eventually("the router has lost the store", func() bool { return c.logs.wasLogged("store unreachable") })
	responses := make(chan response, 1)
	go func() { responses <- isolated.sendPrompt("waiting", "/audit/x") }()
	c.eventually("the request has reached the engine", func() bool { return engine.ExecutionCount("waiting") == 1 })
	c.store.Put("versions", "m", map[string]any{"model": "m", "version": 2})
	assert.Equal(t, (<-responses).status, http.StatusBadGateway)
	c.eventually("the engine has loaded the weights", func() bool { return engine.WeightsVersion() == 2 })
	assert.Equal(t, engine.BegunStreams(), 0)
	close(engine.Queue)
}

// Guards against routers that all restart while engines have superseded weights, and
// count the age of the newer version from their own start.
func TestRestartedRouterKeepsTheWeightsDeadline(t *testing.T) {
	c := newCluster(t)
	c.relaySettings = `"weights_deadline": "2s"`
	engine := engineEndpoint("e1")
	engine.SetWeightsVersion(1)
	server := httptest.NewServer(&orderRefuser{engine: engine, refusing: true})
	t.Cleanup(server.Close)
	c.endpointServers[engine.ID] = server
	c.registerEndpoint(engine, "ready")
	c.store.Put("versions", "m", map[string]any{"model": "m", "version": 2})
	// Another holder of the lease gives no orders.
	c.store.Put("arbutus-leases", "orders", lease.Record{Holder: "silent", FencingToken: 1})
	router := c.startRouter()
	assert.Equal(t, router.sendPrompt("after", "/audit/x").status, http.StatusServiceUnavailable)
	assert.Equal(t, engine.BegunStreams(), 0)
}

// Guards against taking a model's first publication for old at routers that run: engines had
// versions that the store did not name, and requests were refused seconds too early.
func TestFirstPublicationAfterTheStartIsNew(t *testing.T) {
	c := newCluster(t)
	c.store.Remove("versions", "m")
	c.startEndpoint(engineEndpoint("engine-1"))
	first, second := c.startRouter(), c.startRouter()
	c.store.Put("versions", "m", map[string]any{"model": "m", "version": 2})
	for _, r := range []*testRouter{first, second} {
		c.eventually("the version is known", func() bool { return r.fleetView().LatestWeightsVersions["m"] == 2 })
		assert.Assert(t, !r.fleetView().PublishedWeightsVersions["m"][0].Assumed)
	}
}

// Guards against keeping an assumed publish time when another router knows the time.
func TestPublishTimeOfAnotherRouterReplacesTheAssumedOne(t *testing.T) {
	c := newCluster(t)
	c.startEndpoint(engineEndpoint("engine-1"))
	first := c.startRouter()
	c.store.Put("versions", "m", map[string]any{"model": "m", "version": 2})
	known := func(r *testRouter) bool {
		versions := r.fleetView().PublishedWeightsVersions["m"]
		return len(versions) > 0 && versions[len(versions)-1].Version == 2 && !versions[len(versions)-1].Assumed
	}
	c.eventually("the running router knows the time", func() bool { return known(first) })
	second := c.startRouter()
	c.eventually("the started router learns the time", func() bool { return known(second) })
}

// Guards against engines that load a superseded version because a newer one was
// published while their change was being prepared: each then needed a second load.
func TestChangeInPreparationLoadsTheLatestWeights(t *testing.T) {
	c := newCluster(t)
	engine := engineEndpoint("engine-1")
	engine.Queue = make(chan struct{})
	c.startEndpoint(engine)
	router := c.startRouter()
	responses := make(chan response, 1)
	go func() { responses <- router.sendPrompt("long", "/audit/x") }()
	c.eventually("the request has reached the engine", func() bool { return engine.ExecutionCount("long") == 1 })
	c.store.Put("versions", "m", map[string]any{"model": "m", "version": 2})
	c.eventually("the change to version 2 is prepared", func() bool { return c.logs.wasLogged("weights change started") })
	c.store.Put("versions", "m", map[string]any{"model": "m", "version": 3})
	c.eventually("version 3 is known", func() bool { return router.fleetView().LatestWeightsVersions["m"] == 3 })
	close(engine.Queue)
	assert.Equal(t, (<-responses).status, http.StatusOK)
	c.eventually("the engine has loaded the weights", func() bool { return engine.WeightsVersion() == 3 })
	for _, version := range engine.OrderVersions() {
		assert.Equal(t, version, uint64(3))
	}
}

// Guards against a deadline of superseded weights that is late by the time for which the
// store hid the publication: it dropped its history, so watches missed the change.
func TestLatePublicationKeepsTheWeightsDeadline(t *testing.T) {
	const deadline = 1500 * time.Millisecond
	c := newCluster(t)
	c.relaySettings = `"weights_deadline": "1500ms"`
	engine := engineEndpoint("engine-1")
	engine.Queue = make(chan struct{})
	c.startEndpoint(engine)
	router := c.startRouter()
	responses := make(chan response, 1)
	go func() { responses <- router.sendPrompt("waiting", "/audit/x") }()
	c.eventually("the request has reached the engine", func() bool { return engine.ExecutionCount("waiting") == 1 })
	watches := c.store.RequestCount(http.MethodGet, "versions")
	c.eventually("a new watch begins", func() bool { return c.store.RequestCount(http.MethodGet, "versions") > watches })
	publishedAt := time.Now()
	c.store.ChangeWithoutEvents(func() { c.store.Put("versions", "m", map[string]any{"model": "m", "version": 2}) })
	time.Sleep(time.Until(publishedAt.Add(deadline)))
	close(engine.Queue)
	<-responses
	assert.Equal(t, engine.BegunStreams(), 0, "the request began after the deadline")
}
