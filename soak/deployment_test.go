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
	// eventuallyTimeout bounds the wait for a condition. It is long because the race
	// detector and a loaded host slow everything down.
	eventuallyTimeout = 60 * time.Second
	// stopTimeout is the time that the platform gives a process to exit after SIGTERM.
	stopTimeout = 8 * time.Second
	// eventsPerStream and streamEventInterval make a stream last 200ms.
	eventsPerStream     = 20
	streamEventInterval = 10 * time.Millisecond
)

// builtProgram is the directory of arbutus-front, which is built once for all tests of
// the package.
var builtProgram struct {
	once sync.Once
	dir  string
	err  error
}

func TestMain(m *testing.M) {
	code := m.Run()
	if builtProgram.dir != "" {
		_ = os.RemoveAll(builtProgram.dir)
	}
	os.Exit(code)
}

// programPath builds arbutus-front if necessary and returns its path.
func programPath(t *testing.T) string {
	builtProgram.once.Do(func() {
		if builtProgram.dir, builtProgram.err = os.MkdirTemp("", "arbutus-soak"); builtProgram.err != nil {
			return
		}
		out, err := exec.Command("go", "build", "-race", "-o", builtProgram.dir+"/", "../cmd/arbutus-front").CombinedOutput()
		if err != nil {
			builtProgram.err = fmt.Errorf("build: %w\n%s", err, out)
		}
	})
	assert.NilError(t, builtProgram.err)
	return filepath.Join(builtProgram.dir, "arbutus-front")
}

// invalidConfigurationVersion is the version that an invalid configuration states.
const invalidConfigurationVersion = 1 << 20

// deployment consists of a store, endpoints and routers on loopback.
type deployment struct {
	t                *testing.T
	dir              string
	startedAt        time.Time
	store            *platform.Store
	routers          []*router
	serviceEndpoints []*endpoint
	engineEndpoints  []*endpoint
	// slowCallers says whether some callers read slowly and events are long.
	slowCallers bool
	// restoreMu is held from a copy of the store until the store is restored from it.
	restoreMu sync.Mutex

	mu                   sync.Mutex
	history              History
	configurationVersion int
	// configurationAckedAt is when the store accepted that version.
	configurationAckedAt time.Duration
	weightsVersion       uint64
	// softwareReleases is the number of software versions of the engines so far.
	softwareReleases int
}

// router is a router process. Its connections to the store, and the connections of
// other routers to it, pass through proxies.
type router struct {
	*deployment
	name, ip   string
	watchers   int
	storeProxy *Proxy
	peerProxy  *Proxy
	logFile    *os.File
	// interruptMu is held while a fault pauses or replaces the process.
	interruptMu  sync.Mutex
	mu           sync.Mutex
	cmd          *exec.Cmd
	exited       chan struct{}
	incarnation  int
	exitExpected bool
	// hasBeenReady says whether the current incarnation has been ready.
	hasBeenReady bool
	// inRotation says whether callers may use the router.
	inRotation bool
	stopping   bool
}

// newDeployment starts a deployment and waits until all routers are ready. Deployments
// that run at the same time need different indices, which give their routers different
// addresses.
func newDeployment(t *testing.T, index, watchers, routerCount, serviceCount, engineCount int, slowCallers bool) *deployment {
	d := &deployment{t: t, slowCallers: slowCallers, dir: t.TempDir(), startedAt: time.Now(), store: &platform.Store{}}
	// Runs after the routers have stopped, also if a wait ends the test.
	t.Cleanup(func() { d.saveLogs(index) })
	d.history.EventsPerStream = eventsPerStream
	d.publishNextConfiguration()
	d.publishNextWeightsVersion()
	d.logScheduleDelays()
	store := httptest.NewServer(d.store)
	t.Cleanup(store.Close)
	for i := range serviceCount {
		d.serviceEndpoints = append(d.serviceEndpoints, d.startEndpoint(fmt.Sprintf("app-%d", i), ""))
	}
	for i := range engineCount {
		d.engineEndpoints = append(d.engineEndpoints, d.startEndpoint(fmt.Sprintf("llm-%d", i), "m"))
	}
	for i := range routerCount {
		r := &router{deployment: d, watchers: watchers, name: fmt.Sprintf("front-%d", i), ip: fmt.Sprintf("127.%d.%d.%d", 64+index%128, 1+os.Getpid()%250, i+1)}
		r.storeProxy = d.startProxy("127.0.0.1:0", strings.TrimPrefix(store.URL, "http://"))
		r.peerProxy = d.startProxy(r.ip+":8003", r.ip+":8002")
		d.routers = append(d.routers, r)
		r.createFiles()
		r.startProcess()
		go r.watchReadiness()
	}
	t.Cleanup(d.stopRouters)
	for _, r := range d.routers {
		d.eventually(r.name+" is ready", r.isInRotation)
	}
	return d
}

func (d *deployment) startProxy(address, target string) *Proxy {
	p, err := NewProxy(address, target)
	assert.NilError(d.t, err)
	d.t.Cleanup(p.Close)
	return p
}

func (d *deployment) elapsed() time.Duration { return time.Since(d.startedAt) }

// eventually waits until holds returns true and fails the test after
// eventuallyTimeout.
func (d *deployment) eventually(condition string, holds func() bool) {
	d.t.Helper()
	for end := time.Now().Add(eventuallyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	d.t.Fatalf("timed out waiting until %s", condition)
}

// publishNextConfiguration stores the next configuration version. Every other one isolates the
// team "walled".
func (d *deployment) publishNextConfiguration() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.configurationVersion++
	config := platform.SampleConfiguration(d.configurationVersion)
	isolated := d.configurationVersion%2 == 0
	for _, team := range config["tenants"].([]map[string]any) {
		if team["name"] == "walled" {
			team["isolated"] = isolated
		}
	}
	d.store.Put("config", "main", config)
	d.configurationAckedAt = d.elapsed()
	d.history.Isolations = append(d.history.Isolations, Isolation{Team: "walled", At: d.elapsed(), Isolated: isolated})
}

// publishInvalidConfiguration stores a configuration that no router may take, and after a duration
// the next valid one.
func (d *deployment) publishInvalidConfiguration(duration time.Duration) {
	d.store.Put("config", "main", map[string]any{"version": invalidConfigurationVersion, "routes": "none"})
	time.Sleep(duration)
	d.publishNextConfiguration()
}

// publishNextWeightsVersion stores the next weights version, which all engines
// must then serve.
func (d *deployment) publishNextWeightsVersion() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.weightsVersion++
	d.store.Put("versions", "m", map[string]any{"model": "m", "version": d.weightsVersion})
}

func (d *deployment) latestVersions() (configurationVersion int, weightsVersion uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.configurationVersion, d.weightsVersion
}

func (d *deployment) recordRestore() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.history.Restores = append(d.history.Restores, d.elapsed())
}

// recordFault records a fault that begins now and lasts for duration.
func (d *deployment) recordFault(description, routerName string, planned bool, duration time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.elapsed()
	d.history.Faults = append(d.history.Faults, Fault{Description: description, Router: routerName, Start: now, End: now + duration, Planned: planned})
	d.t.Logf("%8s %s %s for %s", now.Round(time.Millisecond), description, routerName, duration)
}

// collectHistory adds the records of all endpoints to the history and returns it.
func (d *deployment) collectHistory() *History {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range append(append([]*endpoint(nil), d.serviceEndpoints...), d.engineEndpoints...) {
		for _, incarnation := range e.incarnations {
			for _, request := range incarnation.ExecutedRequests() {
				d.history.Executions = append(d.history.Executions, Execution{
					CallID: request.RequestID, Team: request.Team, Endpoint: incarnation.ID, CacheNamespace: request.CacheNamespace, WeightsVersion: request.WeightsVersion, At: request.At.Sub(d.startedAt),
				})
			}
			holders := incarnation.OrderHolders()
			for i, token := range incarnation.OrderFencingTokens() {
				d.history.WeightsOrders = append(d.history.WeightsOrders, WeightsOrder{Endpoint: incarnation.ID, LeaseHolder: holders[i], FencingToken: token})
			}
		}
	}
	return &d.history
}

// stopRouters kills the router processes.
func (d *deployment) stopRouters() {
	for _, r := range d.routers {
		r.mu.Lock()
		r.stopping = true
		r.mu.Unlock()
		r.kill()
		if err := r.logFile.Close(); err != nil {
			d.t.Errorf("log of %s: %v", r.name, err)
		}
	}
}

// saveLogs copies the files of a failed test out of the test's temporary directory.
func (d *deployment) saveLogs(index int) {
	if !d.t.Failed() {
		return
	}
	dir, err := os.MkdirTemp("", fmt.Sprintf("arbutus-soak-%d-", index))
	if err == nil {
		err = os.CopyFS(dir, os.DirFS(d.dir))
	}
	d.t.Logf("logs saved in %s, error %v", dir, err)
}

// createFiles creates the log file and the settings file.
func (r *router) createFiles() {
	var err error
	r.logFile, err = os.Create(filepath.Join(r.dir, r.name+".log"))
	assert.NilError(r.t, err)
	r.writeSettings(20)
}

// writeSettings writes the settings file. A reload may change the retry slack.
func (r *router) writeSettings(retrySlack int) {
	text := fmt.Sprintf(`{
	"node": {"id": %q, "role": "router", "zone": "a"},
	"admin": {"listen": "%[2]s:8001"},
	"grpc": {"listen": "%[2]s:8002"},
	"directory": {"store": %[3]q, "advertise": "%[2]s:8003", "watchers": %[5]d},
	"relay": {"retry_slack": %[4]d},
	"upgrade": {"holder": %[2]q, "turn_pause": "500ms"},
	"ingress": {"listen": "%[2]s:8000", "linger": "500ms"}
}`, r.name, r.ip, r.storeProxy.Address(), retrySlack, r.watchers)
	assert.Check(r.t, os.WriteFile(r.settingsPath(), []byte(text), 0o600))
}

func (r *router) settingsPath() string { return filepath.Join(r.dir, r.name+".json") }

// startProcess starts the next incarnation of the process.
func (r *router) startProcess() {
	r.mu.Lock()
	defer r.mu.Unlock()
	cmd := exec.Command(programPath(r.t), "--settings", r.settingsPath(), "--stop-timeout", "7s")
	cmd.Stdout, cmd.Stderr = r.logFile, r.logFile
	// Kills the process if the test process dies.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		r.t.Errorf("start %s: %v", r.name, err)
		return
	}
	r.incarnation++
	r.cmd, r.exited, r.exitExpected, r.hasBeenReady = cmd, make(chan struct{}), false, false
	go r.awaitExit(cmd, r.exited)
}

// awaitExit waits for the process and records an unexpected exit.
func (r *router) awaitExit(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	r.mu.Lock()
	unexpected := !r.exitExpected
	r.mu.Unlock()
	if unexpected {
		r.deployment.mu.Lock()
		r.history.UnexpectedExits = append(r.history.UnexpectedExits, fmt.Sprintf("%s: %v", r.name, err))
		r.deployment.mu.Unlock()
	}
	close(exited)
}

// signal sends a signal and returns a channel that is closed when the process exits.
// endsProcess says that the process is expected to exit because of the signal.
func (r *router) signal(s syscall.Signal, endsProcess bool) chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.exitExpected = r.exitExpected || endsProcess
	if err := r.cmd.Process.Signal(s); err != nil && !endsProcess {
		r.t.Logf("signal %s to %s: %v", s, r.name, err)
	}
	return r.exited
}

func (r *router) kill() { <-r.signal(syscall.SIGKILL, true) }

// terminate stops the process with SIGTERM and records a violation if it does not exit
// in time with code 0.
func (r *router) terminate() {
	r.mu.Lock()
	wasReady := r.hasBeenReady
	r.mu.Unlock()
	exited := r.signal(syscall.SIGTERM, true)
	select {
	case <-exited:
	case <-time.After(stopTimeout):
		r.deployment.mu.Lock()
		r.history.UnexpectedExits = append(r.history.UnexpectedExits, r.name+" did not exit within its stop timeout")
		r.deployment.mu.Unlock()
		r.kill()
		return
	}
	// A process that was never ready may not handle signals yet, so that SIGTERM ends
	// it at once.
	if code := r.cmd.ProcessState.ExitCode(); code != 0 && wasReady {
		r.deployment.mu.Lock()
		r.history.UnexpectedExits = append(r.history.UnexpectedExits, fmt.Sprintf("%s: graceful stop with exit code %d", r.name, code))
		r.deployment.mu.Unlock()
	}
}

// watchReadiness polls the readiness of the router and keeps it in rotation while it
// is ready.
func (r *router) watchReadiness() {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		ready := false
		if response, err := client.Get("http://" + r.ip + ":8001/readyz"); err == nil {
			_ = response.Body.Close() // Only the status counts.
			ready = response.StatusCode == http.StatusOK
		}
		r.mu.Lock()
		r.inRotation = ready
		r.hasBeenReady = r.hasBeenReady || ready
		stopping := r.stopping
		r.mu.Unlock()
		if stopping {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (r *router) isInRotation() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inRotation
}

func (r *router) currentIncarnation() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.incarnation
}

// probeConfiguration finds and records the newest configuration version that the router
// serves, among the latest three. It returns 0 if none is found.
func (r *router) probeConfiguration(ctx context.Context, client *http.Client) int {
	latest, _ := r.latestVersions()
	incarnation, sentAt := r.currentIncarnation(), r.elapsed()
	for version := latest; version > max(0, latest-3); version-- {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:8000/cfg/%d/x", r.ip, version), nil)
		if err != nil {
			return 0
		}
		request.Host = platform.SampleHostname
		request.Header.Set("Request-Id", fmt.Sprintf("probe-%s-%d-%d", r.name, version, r.elapsed()))
		request.Header.Set("Deadline-Ms", "2000")
		response, err := client.Do(request)
		if err != nil {
			return 0
		}
		_ = response.Body.Close() // Only the status counts.
		if response.StatusCode == http.StatusNotFound && version == latest {
			r.recordRefusedVersion(version, sentAt)
		}
		if response.StatusCode == http.StatusOK && r.currentIncarnation() == incarnation {
			r.deployment.mu.Lock()
			r.history.ServedVersions = append(r.history.ServedVersions, ServedVersion{Router: r.name, Incarnation: incarnation, Version: version})
			r.deployment.mu.Unlock()
			return version
		}
	}
	return 0
}

// recordRefusedVersion records that the router refused for good what a configuration allows, if
// that is still the newest.
func (r *router) recordRefusedVersion(version int, sentAt time.Duration) {
	r.deployment.mu.Lock()
	defer r.deployment.mu.Unlock()
	if version == r.configurationVersion {
		r.history.RefusedVersions = append(r.history.RefusedVersions, RefusedVersion{
			Router: r.name, Version: version, AckedAt: r.configurationAckedAt, SentAt: sentAt,
		})
	}
}
