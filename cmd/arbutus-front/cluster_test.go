package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline"
	"github.com/arbutusline/arbutusline/fleet"
	"github.com/arbutusline/arbutusline/modules/directory"
	"github.com/arbutusline/arbutusline/modules/relay"
	"github.com/arbutusline/arbutusline/settings"
	"github.com/arbutusline/arbutusline/standin/platform"
)

// cluster runs a store, endpoints and the routers under test on loopback addresses.
type cluster struct {
	t               *testing.T
	store           *platform.Store
	endpointServers map[string]*httptest.Server
	engines         []*platform.Endpoint
	routers         []*testRouter
	logs            *logChecker
	// relaySettings are the settings of the module relay in JSON, or empty.
	relaySettings string
	// eraWait is how long a router that starts asks the others for their configuration.
	eraWait string
	// directorySettings are further settings of the module directory in JSON, or empty.
	directorySettings string
	// memorySettings are the settings of the module memory in JSON, or empty.
	memorySettings string
	// linger is how long a router that stops still accepts connections.
	linger string
	// modules are those of the routers.
	modules []string
	// network is the beginning of the routers' addresses.
	network string
}

type testRouter struct {
	kernel    *arbutusline.Kernel
	ip        string
	callerURL string
	adminURL  string
	// storeProxy forwards the router's requests to the store and can block them.
	storeProxy *platform.StoreProxy
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{t: t, store: &platform.Store{}, endpointServers: map[string]*httptest.Server{}, logs: &logChecker{t: t, loggedMessages: map[string]bool{}}, eraWait: "100ms", linger: "200ms", modules: modules, network: "127.0.0"}
	c.putConfiguration(1, nil)
	c.store.Put("versions", "m", map[string]any{"model": "m", "version": 1})
	return c
}

// putConfiguration stores the sample configuration, after modify has changed it.
func (c *cluster) putConfiguration(version int, modify func(map[string]any)) {
	config := platform.SampleConfiguration(version)
	if modify != nil {
		modify(config)
	}
	c.store.Put("config", "main", config)
}

// startEndpoint starts the server of an endpoint and registers it.
func (c *cluster) startEndpoint(e *platform.Endpoint) *platform.Endpoint {
	if e.Model != "" {
		e.SetWeightsVersion(1)
		c.engines = append(c.engines, e)
	}
	server := httptest.NewUnstartedServer(e)
	server.Config.ConnContext = platform.WithConnection
	server.Start()
	c.t.Cleanup(server.Close)
	c.endpointServers[e.ID] = server
	c.registerEndpoint(e, "ready")
	return e
}

// registerEndpoint stores the entry of an endpoint with the given state.
func (c *cluster) registerEndpoint(e *platform.Endpoint, state string) {
	address := strings.TrimPrefix(c.endpointServers[e.ID].URL, "http://")
	c.store.Put("servers", e.ID, e.StoreEntry(address, "a", state))
}

// startRouter starts a router on its own loopback address and waits until it is ready.
func (c *cluster) startRouter() *testRouter {
	r := c.loadRouter()
	assert.NilError(c.t, r.kernel.Start(context.Background()))
	c.eventually("the router is ready", func() bool { return getStatus(r.adminURL+"/readyz") == http.StatusOK })
	return r
}

// loadRouter loads the modules of a router on its own loopback address without starting
// them.
func (c *cluster) loadRouter() *testRouter {
	routerNumber := len(c.routers) + 2
	r := &testRouter{ip: fmt.Sprintf("%s.%d", c.network, routerNumber), storeProxy: &platform.StoreProxy{Store: c.store}}
	server := httptest.NewServer(r.storeProxy)
	c.t.Cleanup(server.Close)
	storeAddress := strings.TrimPrefix(server.URL, "http://")
	ports := c.freePorts(r.ip)
	r.callerURL, r.adminURL = "http://"+r.ip+":"+ports[0], "http://"+r.ip+":"+ports[1]
	text := fmt.Sprintf(`{
		"log": {"level": "debug"},
		"node": {"id": "front-%d", "role": "router", "zone": "a"},
		"admin": {"listen": "%s:%s"},
		"grpc": {"listen": "%s:%s"},
		"directory": {"store": %q, "advertise": "%s:%s", "era_wait": %q%s},
		"upgrade": {"holder": %q, "turn_pause": "300ms"},
		"relay": {%s},
		"memory": {%s},
		"ingress": {"listen": "%s:%s", "linger": %q, "start_wait": "30s"}
	}`, routerNumber, r.ip, ports[1], r.ip, ports[2], storeAddress, r.ip, ports[2], c.eraWait, c.directorySettings, r.ip, c.relaySettings, c.memorySettings, r.ip, ports[0], c.linger)
	file, err := settings.Parse([]byte(text))
	assert.NilError(c.t, err)
	log := logrus.New()
	log.SetOutput(testLogWriter{c.t})
	log.AddHook(c.logs)
	r.kernel = arbutusline.New(file, log.WithField("front", routerNumber))
	assert.NilError(c.t, r.kernel.Load(c.modules...))
	c.t.Cleanup(func() { r.stop(c.t) })
	c.routers = append(c.routers, r)
	return r
}

// fleetView returns the router's view of the endpoints and their configuration.
func (r *testRouter) fleetView() *fleet.View {
	d, err := arbutusline.Lookup[*directory.Directory](r.kernel, directory.Name)
	if err != nil {
		panic(err) // The module is always loaded.
	}
	return d.View()
}

// relay returns the router's module relay.
func (r *testRouter) relay() *relay.Relay {
	m, err := arbutusline.Lookup[*relay.Relay](r.kernel, relay.Name)
	if err != nil {
		panic(err) // The module is always loaded.
	}
	return m
}

func (r *testRouter) stop(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	assert.Check(t, r.kernel.Stop(ctx))
}

// freePorts returns three free ports of the address. The listeners are closed together,
// because the system could otherwise return the same port twice.
func (c *cluster) freePorts(ip string) [3]string {
	var ports [3]string
	var listeners [3]net.Listener
	for i := range ports {
		var err error
		listeners[i], err = net.Listen("tcp", ip+":0")
		assert.NilError(c.t, err)
		_, ports[i], err = net.SplitHostPort(listeners[i].Addr().String())
		assert.NilError(c.t, err)
	}
	for _, l := range listeners {
		assert.NilError(c.t, l.Close())
	}
	return ports
}

// eventually waits up to 10 s until the condition holds, or fails the test.
func (c *cluster) eventually(what string, condition func() bool) {
	c.t.Helper()
	for range 1000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.t.Fatalf("condition not reached: %s", what)
}

// getStatus returns the status code of a page, or 0 if it cannot be read.
func getStatus(url string) int {
	r, err := http.Get(url)
	if err != nil {
		return 0
	}
	_ = r.Body.Close()
	return r.StatusCode
}

// getBody returns the body of a page, or "" if it cannot be read.
func getBody(url string) string {
	r, err := http.Get(url)
	if err != nil {
		return ""
	}
	defer func() { _ = r.Body.Close() }()
	text, err := io.ReadAll(r.Body)
	if err != nil {
		return ""
	}
	return string(text)
}

// response is the response or error that a caller received.
type response struct {
	status int
	header http.Header
	body   string
	err    error
}

// send sends a request with the API key key-1. headers alternates names and values.
func (r *testRouter) send(id, method, path, body string, headers ...string) response {
	req, err := http.NewRequest(method, r.callerURL+path, strings.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	req.Host = platform.SampleHostname
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "5000")
	req.Header.Set("Authorization", "Token key-1")
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header, string(text), err}
}

// sendPrompt sends a request for a model.
func (r *testRouter) sendPrompt(id, path string, headers ...string) response {
	return r.send(id, http.MethodPost, path, "prompt", append([]string{
		"Model", "m", "Token-Count", "1460,200", "Prefix-Hash", "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
	}, headers...)...)
}

// eventIDs returns the ids of the events of a stream.
func (r response) eventIDs() []string {
	var ids []string
	scanner := bufio.NewScanner(strings.NewReader(r.body))
	for scanner.Scan() {
		if id, ok := strings.CutPrefix(scanner.Text(), "id: "); ok {
			ids = append(ids, id)
		}
	}
	return ids
}

// testLogWriter writes log lines to the log of the test.
type testLogWriter struct{ t *testing.T }

func (w testLogWriter) Write(p []byte) (int, error) {
	w.t.Log(strings.TrimSpace(string(p)))
	return len(p), nil
}
