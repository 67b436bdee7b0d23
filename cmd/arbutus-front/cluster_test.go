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
	"github.com/arbutusline/arbutusline/settings"
	"github.com/arbutusline/arbutusline/standin/platform"
)

// cluster is a store, its workers and the routers under test, all on loopback.
type cluster struct {
	t       *testing.T
	store   *platform.Store
	workers map[string]*httptest.Server
	fronts  []*front
	lines   *lineCheck
}

type front struct {
	kernel *arbutusline.Kernel
	ip     string
	url    string
	ready  string
	// gate is the router's way to the store.
	gate *platform.StoreProxy
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{t: t, store: &platform.Store{}, workers: map[string]*httptest.Server{}, lines: &lineCheck{t: t, seen: map[string]bool{}}}
	c.configure(1, nil)
	c.store.Put("versions", "m", map[string]any{"model": "m", "version": 1})
	return c
}

// configure writes a configuration; change may alter it first.
func (c *cluster) configure(version int, change func(map[string]any)) {
	config := platform.SampleConfiguration(version)
	if change != nil {
		change(config)
	}
	c.store.Put("config", "main", config)
}

// worker starts a worker and registers it.
func (c *cluster) worker(w *platform.Endpoint) *platform.Endpoint {
	if w.Model != "" {
		w.SetWeightsVersion(1)
	}
	server := httptest.NewServer(w)
	c.t.Cleanup(server.Close)
	c.workers[w.ID] = server
	c.announce(w, "ready")
	return w
}

func (c *cluster) announce(w *platform.Endpoint, state string) {
	address := strings.TrimPrefix(c.workers[w.ID].URL, "http://")
	c.store.Put("servers", w.ID, w.StoreEntry(address, "a", state))
}

// front starts a router on its own loopback address and waits until it is ready.
func (c *cluster) front() *front {
	f := c.router()
	assert.NilError(c.t, f.kernel.Start(context.Background()))
	c.eventually("front is ready", func() bool { return statusOf(f.ready+"/readyz") == http.StatusOK })
	return f
}

// router loads a router on its own loopback address, to be started.
func (c *cluster) router() *front {
	n := len(c.fronts) + 2
	f := &front{ip: fmt.Sprintf("127.0.0.%d", n), gate: &platform.StoreProxy{Store: c.store}}
	server := httptest.NewServer(f.gate)
	c.t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	port := c.freePorts(f.ip)
	f.url, f.ready = "http://"+f.ip+":"+port[0], "http://"+f.ip+":"+port[1]
	text := fmt.Sprintf(`{
		"log": {"level": "debug"},
		"node": {"id": "front-%d", "role": "router", "zone": "a"},
		"admin": {"listen": "%s:%s"},
		"grpc": {"listen": "%s:%s"},
		"directory": {"store": %q, "advertise": "%s:%s"},
		"upgrade": {"holder": %q, "turn_pause": "300ms"},
		"ingress": {"listen": "%s:%s", "linger": "200ms", "start_wait": "30s"}
	}`, n, f.ip, port[1], f.ip, port[2], address, f.ip, port[2], f.ip, f.ip, port[0])
	file, err := settings.Parse([]byte(text))
	assert.NilError(c.t, err)
	log := logrus.New()
	log.SetOutput(testWriter{c.t})
	log.AddHook(c.lines)
	f.kernel = arbutusline.New(file, log.WithField("front", n))
	assert.NilError(c.t, f.kernel.Load(modules...))
	c.t.Cleanup(func() { f.stop(c.t) })
	c.fronts = append(c.fronts, f)
	return f
}

// view returns what the router knows.
func (f *front) view() *fleet.View {
	d, err := arbutusline.Lookup[*directory.Directory](f.kernel, directory.Name)
	if err != nil {
		panic(err) // The module is always loaded.
	}
	return d.View()
}

func (f *front) stop(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	assert.Check(t, f.kernel.Stop(ctx))
}

// freePorts returns three ports that are free on the address. The listeners are
// closed together, or the system could give out the same port twice.
func (c *cluster) freePorts(ip string) [3]string {
	var out [3]string
	var listeners [3]net.Listener
	for i := range out {
		var err error
		listeners[i], err = net.Listen("tcp", ip+":0")
		assert.NilError(c.t, err)
		_, out[i], err = net.SplitHostPort(listeners[i].Addr().String())
		assert.NilError(c.t, err)
	}
	for _, l := range listeners {
		assert.NilError(c.t, l.Close())
	}
	return out
}

func (c *cluster) eventually(what string, f func() bool) {
	c.t.Helper()
	for range 1000 {
		if f() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.t.Fatalf("never: %s", what)
}

func statusOf(url string) int {
	r, err := http.Get(url)
	if err != nil {
		return 0
	}
	_ = r.Body.Close()
	return r.StatusCode
}

// textOf returns the body of a page, empty when there is none.
func textOf(url string) string {
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

// reply is what a caller got.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// call sends a request of the team with key-1.
func (f *front) call(id, method, path, body string, headers ...string) reply {
	r, err := http.NewRequest(method, f.url+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	r.Host = platform.SampleHostname
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", "5000")
	r.Header.Set("Authorization", "Token key-1")
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	return reply{answer.StatusCode, answer.Header, string(text), err}
}

func (f *front) ask(id, path string, headers ...string) reply {
	return f.call(id, http.MethodPost, path, "prompt", append([]string{
		"Model", "m", "Token-Count", "1460,200", "Prefix-Hash", "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
	}, headers...)...)
}

// events returns the ids of a stream's events.
func (r reply) events() []string {
	var out []string
	scanner := bufio.NewScanner(strings.NewReader(r.body))
	for scanner.Scan() {
		if id, ok := strings.CutPrefix(scanner.Text(), "id: "); ok {
			out = append(out, id)
		}
	}
	return out
}

// testWriter sends log lines to the test's log.
type testWriter struct{ t *testing.T }

func (w testWriter) Write(p []byte) (int, error) {
	w.t.Log(strings.TrimSpace(string(p)))
	return len(p), nil
}
