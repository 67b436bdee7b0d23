package soak

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/arbutusline/arbutusline/standin/platform"
)

// endpoint is a simulated endpoint behind a proxy.
type endpoint struct {
	*deployment
	name  string
	proxy *Proxy
	// interruptMu is held while a fault replaces the current incarnation.
	interruptMu sync.Mutex
	mu          sync.Mutex
	// incarnations holds all incarnations; the last one is current.
	incarnations    []*platform.Endpoint
	softwareVersion string
}

// startEndpoint starts an endpoint and registers it in the store. An empty model makes
// it an endpoint of the plain service.
func (d *deployment) startEndpoint(name, model string) *endpoint {
	e := &endpoint{deployment: d, name: name, softwareVersion: "v1"}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.current().ServeHTTP(w, r) }))
	server.Config.ConnContext = platform.WithConnection
	server.Start()
	d.t.Cleanup(server.Close)
	e.proxy = d.startProxy("127.0.0.1:0", strings.TrimPrefix(server.URL, "http://"))
	e.startIncarnation(model, d.weightsVersion)
	e.publishState("ready")
	return e
}

// current returns the current incarnation.
func (e *endpoint) current() *platform.Endpoint {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnations[len(e.incarnations)-1]
}

// startIncarnation makes a new incarnation current.
func (e *endpoint) startIncarnation(model string, weightsVersion uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	incarnation := &platform.Endpoint{
		ID: fmt.Sprintf("%s.%d", e.name, len(e.incarnations)), Service: "app", Model: model,
		SoftwareVersion: e.softwareVersion, StreamEvents: eventsPerStream, EventInterval: streamEventInterval, WeightsLoadTime: 100 * time.Millisecond,
	}
	if e.slowCallers {
		incarnation.EventPadding = slowEventPadding
	}
	if model != "" {
		incarnation.Service = "llm"
		incarnation.SetWeightsVersion(weightsVersion)
	}
	incarnation.RepeatRefusals(len(e.incarnations)%2 == 1)
	e.incarnations = append(e.incarnations, incarnation)
}

// publishState writes the store entry of the current incarnation, as a real endpoint
// does itself.
func (e *endpoint) publishState(state string) {
	incarnation := e.current()
	e.store.Put("servers", incarnation.ID, incarnation.StoreEntry(e.proxy.Address(), "a", state))
}

// restart resets the connections of the current incarnation and starts the next one
// after downtime.
func (e *endpoint) restart(downtime time.Duration) { e.restartWithEntry(downtime, 0) }

// restartWithEntry restarts the endpoint, whose old entry stays in the store for a while after the
// new one was written.
func (e *endpoint) restartWithEntry(downtime, entryStays time.Duration) {
	old := e.current()
	e.proxy.SetMode(Reset)
	time.Sleep(downtime)
	e.startIncarnation(old.Model, old.WeightsVersion())
	e.proxy.SetMode(Forward)
	if entryStays > 0 {
		e.publishState("ready")
		time.Sleep(entryStays)
	}
	e.store.Remove("servers", old.ID)
	e.publishState("ready")
}

// release makes the next incarnation of the endpoint one of a software version: every other
// time a new one, else the newest.
func (e *endpoint) release() {
	e.deployment.mu.Lock()
	e.softwareReleases++
	version := fmt.Sprintf("v%d", 2+e.softwareReleases/2)
	e.deployment.mu.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.softwareVersion = version
}
