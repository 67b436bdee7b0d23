package soak

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/standin/platform"
)

const (
	// startTimeout bounds waiting for a state that must come; the race detector and a
	// busy machine slow everything down.
	startTimeout = 60 * time.Second
	// stopTimeout is the time that the platform gives a process to end.
	stopTimeout = 8 * time.Second
	// streamEvents and streamGap make a stream of a fifth of a second.
	streamEvents = 20
	streamGap    = 10 * time.Millisecond
)

// program is built once for all tests of the package.
var program struct {
	once sync.Once
	dir  string
	err  error
}

func TestMain(m *testing.M) {
	code := m.Run()
	if program.dir != "" {
		_ = os.RemoveAll(program.dir)
	}
	os.Exit(code)
}

func binary(t *testing.T) string {
	program.once.Do(func() {
		if program.dir, program.err = os.MkdirTemp("", "arbutus-soak"); program.err != nil {
			return
		}
		out, err := exec.Command("go", "build", "-race", "-o", program.dir+"/", "../cmd/arbutus-front").CombinedOutput()
		if err != nil {
			program.err = fmt.Errorf("build: %w\n%s", err, out)
		}
	})
	assert.NilError(t, program.err)
	return filepath.Join(program.dir, "arbutus-front")
}

// deployment is a store, endpoints and routers on loopback.
type deployment struct {
	t       *testing.T
	dir     string
	begun   time.Time
	store   *platform.Store
	routers []*router
	plain   []*endpoint
	engines []*endpoint

	mu            sync.Mutex
	history       History
	configuration int
	weights       uint64
}

// router is a process behind proxies to the store and from other routers.
type router struct {
	*deployment
	name, ip  string
	toStore   *Proxy
	fromPeers *Proxy
	log       *os.File
	// busy is held while the process is replaced.
	busy         sync.Mutex
	mu           sync.Mutex
	cmd          *exec.Cmd
	exited       chan struct{}
	incarnation  int
	expectedExit bool
	// wasReady says that this incarnation has been ready.
	wasReady   bool
	inRotation bool
	ending     bool
}

// endpoint is a worker behind a proxy, and its earlier incarnations.
type endpoint struct {
	*deployment
	name  string
	proxy *Proxy
	// busy is held while the worker is replaced.
	busy sync.Mutex
	mu   sync.Mutex
	all  []*platform.Endpoint
}

// newDeployment starts everything. The number tells deployments apart that run at the
// same time.
func newDeployment(t *testing.T, number, routers, plain, engines int) *deployment {
	d := &deployment{t: t, dir: t.TempDir(), begun: time.Now(), store: &platform.Store{}}
	d.history.Events = streamEvents
	d.configure()
	d.nameWeights()
	store := httptest.NewServer(d.store)
	t.Cleanup(store.Close)
	for i := range plain {
		d.plain = append(d.plain, d.endpoint(fmt.Sprintf("app-%d", i), ""))
	}
	for i := range engines {
		d.engines = append(d.engines, d.endpoint(fmt.Sprintf("llm-%d", i), "m"))
	}
	for i := range routers {
		r := &router{deployment: d, name: fmt.Sprintf("front-%d", i), ip: fmt.Sprintf("127.%d.%d.%d", 64+number%128, 1+os.Getpid()%250, i+1)}
		r.toStore = d.proxy("127.0.0.1:0", strings.TrimPrefix(store.URL, "http://"))
		r.fromPeers = d.proxy(r.ip+":8003", r.ip+":8002")
		d.routers = append(d.routers, r)
		r.open()
		r.start()
		go r.watchReadiness()
	}
	t.Cleanup(d.stop)
	for _, r := range d.routers {
		d.eventually(r.name+" is ready", r.rotates)
	}
	return d
}

func (d *deployment) proxy(address, target string) *Proxy {
	p, err := NewProxy(address, target)
	assert.NilError(d.t, err)
	d.t.Cleanup(p.Close)
	return p
}

func (d *deployment) now() time.Duration { return time.Since(d.begun) }

func (d *deployment) eventually(what string, f func() bool) {
	d.t.Helper()
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f() {
			return
		}
	}
	d.t.Fatalf("never: %s", what)
}

// configure writes the next configuration version.
func (d *deployment) configure() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.configuration++
	d.store.Put("config", "main", platform.SampleConfiguration(d.configuration))
}

// nameWeights names the next weights version.
func (d *deployment) nameWeights() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.weights++
	d.store.Put("versions", "m", map[string]any{"model": "m", "version": d.weights})
}

func (d *deployment) newest() (configuration int, weights uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.configuration, d.weights
}

// note records a fault that begins now and lasts for a time.
func (d *deployment) note(what, router string, planned bool, lasts time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.history.Faults = append(d.history.Faults, Fault{What: what, Router: router, From: now, To: now + lasts, Planned: planned})
	d.t.Logf("%8s %s %s for %s", now.Round(time.Millisecond), what, router, lasts)
}

// endpoint starts a worker and announces it.
func (d *deployment) endpoint(name, model string) *endpoint {
	e := &endpoint{deployment: d, name: name}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.worker().ServeHTTP(w, r) }))
	d.t.Cleanup(server.Close)
	e.proxy = d.proxy("127.0.0.1:0", strings.TrimPrefix(server.URL, "http://"))
	e.renew(model, d.weights)
	e.announce("ready")
	return e
}

func (e *endpoint) worker() *platform.Endpoint {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.all[len(e.all)-1]
}

// renew replaces the worker by its next incarnation.
func (e *endpoint) renew(model string, weights uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w := &platform.Endpoint{
		ID: fmt.Sprintf("%s.%d", e.name, len(e.all)), Service: "app", Model: model,
		StreamEvents: streamEvents, EventInterval: streamGap, WeightsLoadTime: 100 * time.Millisecond,
	}
	if model != "" {
		w.Service = "llm"
		w.SetWeightsVersion(weights)
	}
	e.all = append(e.all, w)
}

// announce writes the worker's entry, like the worker itself.
func (e *endpoint) announce(state string) {
	w := e.worker()
	e.store.Put("servers", w.ID, w.StoreEntry(e.proxy.Address(), "a", state))
}

// restart ends the worker with its connections and starts the next incarnation.
func (e *endpoint) restart(away time.Duration) {
	old := e.worker()
	e.proxy.Set(Reset)
	time.Sleep(away)
	e.renew(old.Model, old.WeightsVersion())
	e.proxy.Set(Pass)
	e.store.Remove("servers", old.ID)
	e.announce("ready")
}

// collect adds what the endpoints saw to the history.
func (d *deployment) collect() *History {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range append(append([]*endpoint(nil), d.plain...), d.engines...) {
		for _, w := range e.all {
			for _, r := range w.ExecutedRequests() {
				d.history.Runs = append(d.history.Runs, Run{
					Call: r.RequestID, Team: r.Team, Endpoint: w.ID, Namespace: r.CacheNamespace, Weights: r.WeightsVersion, Isolated: r.Team == "walled",
				})
			}
			holders := w.OrderHolders()
			for i, f := range w.OrderFencingTokens() {
				d.history.Orders = append(d.history.Orders, Order{Endpoint: w.ID, Holder: holders[i], Fence: f})
			}
		}
	}
	return &d.history
}

// stop ends the processes that are left.
func (d *deployment) stop() {
	for _, r := range d.routers {
		r.mu.Lock()
		r.ending = true
		r.mu.Unlock()
		r.kill()
		if err := r.log.Close(); err != nil {
			d.t.Errorf("log of %s: %v", r.name, err)
		}
	}
}

func (r *router) open() {
	var err error
	r.log, err = os.Create(filepath.Join(r.dir, r.name+".log"))
	assert.NilError(r.t, err)
	r.writeSettings(20)
}

// writeSettings writes the settings with a retry slack, which may change.
func (r *router) writeSettings(slack int) {
	text := fmt.Sprintf(`{
	"node": {"id": %q, "role": "router", "zone": "a"},
	"admin": {"listen": "%[2]s:8001"},
	"grpc": {"listen": "%[2]s:8002"},
	"directory": {"store": %[3]q, "advertise": "%[2]s:8003"},
	"relay": {"retry_slack": %[4]d},
	"upgrade": {"holder": %[2]q, "turn_pause": "500ms"},
	"ingress": {"listen": "%[2]s:8000", "linger": "500ms"}
}`, r.name, r.ip, r.toStore.Address(), slack)
	assert.Check(r.t, os.WriteFile(r.settings(), []byte(text), 0o600))
}

func (r *router) settings() string { return filepath.Join(r.dir, r.name+".json") }

// start starts the process.
func (r *router) start() {
	r.mu.Lock()
	defer r.mu.Unlock()
	cmd := exec.Command(binary(r.t), "--settings", r.settings(), "--stop-timeout", "7s")
	cmd.Stdout, cmd.Stderr = r.log, r.log
	// The process ends with the test.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		r.t.Errorf("start %s: %v", r.name, err)
		return
	}
	r.incarnation++
	r.cmd, r.exited, r.expectedExit, r.wasReady = cmd, make(chan struct{}), false, false
	go r.wait(cmd, r.exited)
}

func (r *router) wait(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	r.mu.Lock()
	unexpected := !r.expectedExit
	r.mu.Unlock()
	if unexpected {
		r.deployment.mu.Lock()
		r.history.Exits = append(r.history.Exits, fmt.Sprintf("%s: %v", r.name, err))
		r.deployment.mu.Unlock()
	}
	close(exited)
}

// signal sends a signal; last says that the process is to end by it.
func (r *router) signal(s syscall.Signal, last bool) chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expectedExit = r.expectedExit || last
	if err := r.cmd.Process.Signal(s); err != nil && !last {
		r.t.Logf("signal %s to %s: %v", s, r.name, err)
	}
	return r.exited
}

func (r *router) kill() { <-r.signal(syscall.SIGKILL, true) }

// terminate asks the process to end and reports whether it did so in time and without
// an error.
func (r *router) terminate() {
	r.mu.Lock()
	ready := r.wasReady
	r.mu.Unlock()
	exited := r.signal(syscall.SIGTERM, true)
	select {
	case <-exited:
	case <-time.After(stopTimeout):
		r.deployment.mu.Lock()
		r.history.Exits = append(r.history.Exits, r.name+" was still there after its stop timeout")
		r.deployment.mu.Unlock()
		r.kill()
		return
	}
	// Before its main function runs, the signal ends a process at once.
	if code := r.cmd.ProcessState.ExitCode(); code != 0 && ready {
		r.deployment.mu.Lock()
		r.history.Exits = append(r.history.Exits, fmt.Sprintf("%s: graceful end with code %d", r.name, code))
		r.deployment.mu.Unlock()
	}
}

// watchReadiness keeps the router in rotation while it says that it is ready.
func (r *router) watchReadiness() {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		ready := false
		if answer, err := client.Get("http://" + r.ip + ":8001/readyz"); err == nil {
			_ = answer.Body.Close() // Only the status counts.
			ready = answer.StatusCode == http.StatusOK
		}
		r.mu.Lock()
		r.inRotation = ready
		r.wasReady = r.wasReady || ready
		ending := r.ending
		r.mu.Unlock()
		if ending {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (r *router) rotates() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inRotation
}

func (r *router) generation() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.incarnation
}

// probe records the configuration that the router serves, if it answers.
func (r *router) probe(ctx context.Context, client *http.Client) int {
	newest, _ := r.newest()
	generation := r.generation()
	for version := newest; version > max(0, newest-3); version-- {
		q, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:8000/cfg/%d/x", r.ip, version), nil)
		if err != nil {
			return 0
		}
		q.Host = platform.SampleHostname
		q.Header.Set("Request-Id", fmt.Sprintf("probe-%s-%d-%d", r.name, version, r.now()))
		q.Header.Set("Deadline-Ms", "2000")
		answer, err := client.Do(q)
		if err != nil {
			return 0
		}
		_ = answer.Body.Close() // Only the status counts.
		if answer.StatusCode == http.StatusOK && r.generation() == generation {
			r.deployment.mu.Lock()
			r.history.Versions = append(r.history.Versions, Version{Router: r.name, Incarnation: generation, Version: version})
			r.deployment.mu.Unlock()
			return version
		}
	}
	return 0
}
