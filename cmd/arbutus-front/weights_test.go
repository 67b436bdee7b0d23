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

	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/standin/platform"
)

// orderRefuser records the versions of all weights orders to an engine and, while
// refusing is true, answers them as if another order was in progress.
type orderRefuser struct {
	engine *platform.Endpoint

	mu       sync.Mutex
	refusing bool
	versions []uint64
}

// ServeHTTP implements http.Handler.
func (o *orderRefuser) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/order" && !o.admitOrder(r) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	o.engine.ServeHTTP(w, r)
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
