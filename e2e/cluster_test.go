package e2e

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/arbutusline/arbutusline/standin/engine"
	"github.com/arbutusline/arbutusline/standin/fleet"
	"github.com/arbutusline/arbutusline/standin/objectapi"
	"github.com/arbutusline/arbutusline/standin/service"
	"github.com/arbutusline/arbutusline/workload/audit"
)

const (
	team  = "audit"
	token = "secret-of-audit"
	model = "ledger-llm"
)

// startTimeout bounds waiting for a process to be ready. It is generous because
// the race detector and a busy machine slow the start.
const startTimeout = 60 * time.Second

// binaries are built once for all tests of the package.
var builtPrograms struct {
	once sync.Once
	dir  string
	err  error
}

func TestMain(m *testing.M) {
	code := m.Run()
	if builtPrograms.dir != "" {
		_ = os.RemoveAll(builtPrograms.dir)
	}
	os.Exit(code)
}

func programPath(t *testing.T, name string) string {
	builtPrograms.once.Do(func() {
		if builtPrograms.dir, builtPrograms.err = os.MkdirTemp("", "arbutus-e2e"); builtPrograms.err != nil {
			return
		}
		build := exec.Command("go", "build", "-race", "-o", builtPrograms.dir+"/", "../cmd/arbutus-router", "../cmd/arbutus-agent", "../cmd/arbutusctl")
		out, err := build.CombinedOutput()
		if err != nil {
			builtPrograms.err = fmt.Errorf("build: %w\n%s", err, out)
		}
	})
	assert.NilError(t, builtPrograms.err)
	return filepath.Join(builtPrograms.dir, name)
}

// node is a router or agent process.
type process struct {
	name, program, settingsPath string
	callerAddress, grpcAddress  string
	adminAddress                string
	cmd                         *exec.Cmd
	logFile                     *os.File
}

// cluster is a small deployment on loopback.
type cluster struct {
	t           *testing.T
	dir         string
	fleet       *fleet.Fleet
	standIns    fleet.Config
	routers     []*process
	agents      map[string]*process
	gossipSeeds []string
}

// sizes of a test cluster.
type clusterSize struct{ routers, engines, services int }

func newCluster(t *testing.T, size clusterSize) *cluster {
	c := &cluster{t: t, dir: t.TempDir(), agents: map[string]*process{}}
	store := objectapi.Defaults()
	store.Address = c.freeAddress()
	c.standIns.Store = &store
	rules := []string{
		fmt.Sprintf("team %s token-sha256 %s # test: e2e", team, sha256Hex(token)),
		fmt.Sprintf("allow %s model %s # test: e2e", team, model),
	}
	if size.services > 0 {
		rules = append(rules, fmt.Sprintf("allow %s service records-app # test: e2e", team),
			"once service records-app POST /recovery # test: e2e")
	}
	for i := range size.engines {
		e := engine.Defaults()
		e.Name, e.Address, e.Model = fmt.Sprintf("llm-%02d", i+1), c.freeAddress(), model
		c.standIns.Engines = append(c.standIns.Engines, e)
		rules = append(rules, fmt.Sprintf("endpoint %s model %s host h-%s zone zone-%d # test: e2e", e.Name, model, e.Name, i%2))
	}
	for i := range size.services {
		s := service.Defaults()
		s.Name, s.Address = fmt.Sprintf("rec-%02d", i+1), c.freeAddress()
		c.standIns.Services = append(c.standIns.Services, s)
		rules = append(rules, fmt.Sprintf("service records-app endpoint %s host h-%s zone zone-%d # test: e2e", s.Name, s.Name, i%2))
	}
	var err error
	c.fleet, err = fleet.New(c.standIns)
	assert.NilError(t, err)
	assert.NilError(t, c.fleet.Start())
	t.Cleanup(c.fleet.Stop)
	c.startProcesses(size)
	c.applyRules(strings.Join(rules, "\n") + "\n")
	c.waitUntilAllReady()
	return c
}

func sha256Hex(s string) string {
	sum := sha256.Sum256([]byte(s))
	return hex.EncodeToString(sum[:])
}

// Ports of the test processes. They lie below the range of outgoing connections,
// which took a chosen port between its check and its use, and none is given out
// twice.
const (
	firstPort = 10000
	lastPort  = 19999
)

var nextPort atomic.Int32

// address returns a loopback address whose port is free for TCP and UDP.
func (c *cluster) freeAddress() string {
	for {
		port := firstPort + int(nextPort.Add(1))
		assert.Assert(c.t, port <= lastPort, "no free port is left")
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		u, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		_ = u.Close()
		return address
	}
}

func (c *cluster) startProcesses(size clusterSize) {
	c.gossipSeeds = []string{c.freeAddress(), c.freeAddress()}
	for i := range size.routers {
		n := &process{name: fmt.Sprintf("router-%d", i+1), program: "arbutus-router", callerAddress: c.freeAddress()}
		c.writeSettings(n, "router", fmt.Sprintf("zone-%d", i%2), i, map[string]any{
			"caller_api": map[string]any{"listen": n.callerAddress, "drain_notice": "200ms"},
		})
		c.routers = append(c.routers, n)
		c.startProcess(n)
	}
	for i, e := range c.standIns.Engines {
		c.startAgent(e.Name, e.Address, i%2, false)
	}
	for i, s := range c.standIns.Services {
		c.startAgent(s.Name, s.Address, i%2, true)
	}
}

func (c *cluster) startAgent(endpoint, address string, zone int, isService bool) {
	n := &process{name: "agent-" + endpoint, program: "arbutus-agent"}
	c.writeSettings(n, "agent", fmt.Sprintf("zone-%d", zone), -1, map[string]any{
		"engine": map[string]any{"url": "http://" + address, "service": isService},
	})
	c.agents[endpoint] = n
	c.startProcess(n)
}

// configure writes the settings file of a process. Routers below len(seeds) use
// the seed addresses for gossip.
func (c *cluster) writeSettings(n *process, role, zone string, routerIndex int, extraSections map[string]any) {
	n.grpcAddress, n.adminAddress = c.freeAddress(), c.freeAddress()
	gossip := c.freeAddress()
	if routerIndex >= 0 && routerIndex < len(c.gossipSeeds) {
		gossip = c.gossipSeeds[routerIndex]
	}
	identity := map[string]any{"id": n.name, "role": role, "zone": zone}
	if role == "agent" {
		endpoint := strings.TrimPrefix(n.name, "agent-")
		identity["endpoint"], identity["host"] = endpoint, "h-"+endpoint
	}
	sections := map[string]any{
		"node":        identity,
		"grpc":        map[string]any{"listen": n.grpcAddress},
		"admin":       map[string]any{"listen": n.adminAddress},
		"gossip":      map[string]any{"listen": gossip, "seeds": c.gossipSeeds},
		"objectstore": map[string]any{"addresses": []string{"http://" + c.standIns.Store.Address}},
	}
	for k, v := range extraSections {
		sections[k] = v
	}
	text, err := json.Marshal(sections)
	assert.NilError(c.t, err)
	n.settingsPath = filepath.Join(c.dir, n.name+".json")
	assert.NilError(c.t, os.WriteFile(n.settingsPath, text, 0o600))
}

func (c *cluster) startProcess(n *process) {
	log, err := os.OpenFile(filepath.Join(c.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(c.t, err)
	cmd := exec.Command(programPath(c.t, n.program), "--settings", n.settingsPath)
	cmd.Stdout, cmd.Stderr = log, log
	// A test that dies must not leave processes behind.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	assert.NilError(c.t, cmd.Start())
	n.cmd, n.logFile = cmd, log
	c.t.Cleanup(func() { c.stopAndCheckLog(n, cmd) })
}

// maxRaceReport bounds a printed report, in bytes.
const maxRaceReportBytes = 4000

func (c *cluster) stopAndCheckLog(n *process, cmd *exec.Cmd) {
	if cmd.ProcessState == nil {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	text, _ := os.ReadFile(n.logFile.Name())
	// The programs are built with the race detector, which reports to stderr.
	if at := strings.Index(string(text), "DATA RACE"); at >= 0 {
		c.t.Errorf("race in %s:\n%s", n.name, text[at:min(len(text), at+maxRaceReportBytes)])
	}
	if c.t.Failed() {
		c.t.Logf("log of %s:\n%s", n.name, lastLines(string(text), 15))
	}
}

func lastLines(text string, lines int) string {
	all := strings.Split(strings.TrimSpace(text), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}

func (c *cluster) kill(n *process) {
	assert.NilError(c.t, n.cmd.Process.Kill())
	_ = n.cmd.Wait()
}

func (c *cluster) signal(n *process, s syscall.Signal) {
	assert.NilError(c.t, n.cmd.Process.Signal(s))
}

// terminate stops a process gracefully and returns its exit code.
func (c *cluster) terminate(n *process) int {
	c.signal(n, syscall.SIGTERM)
	_ = n.cmd.Wait()
	return n.cmd.ProcessState.ExitCode()
}

// apply puts a rules file in force with arbutusctl.
func (c *cluster) applyRules(text string) {
	path := filepath.Join(c.dir, "site.rules")
	assert.NilError(c.t, os.WriteFile(path, []byte(text), 0o600))
	ctl := exec.Command(programPath(c.t, "arbutusctl"), "--store", "http://"+c.standIns.Store.Address, "apply", path, "--base", "0")
	out, err := ctl.CombinedOutput()
	assert.NilError(c.t, err, string(out))
}

func (c *cluster) waitUntilAllReady() {
	for _, n := range c.routers {
		c.waitUntilReady(n)
	}
	for _, n := range c.agents {
		c.waitUntilReady(n)
	}
	for _, n := range c.routers {
		c.waitUntilServing(n)
	}
}

func (c *cluster) waitUntilReady(n *process) {
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		resp, err := http.Get("http://" + n.adminAddress + "/readyz")
		if err != nil {
			return poll.Continue("%s: %v", n.name, err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return poll.Continue("%s: status %d", n.name, resp.StatusCode)
		}
		return poll.Success()
	}, poll.WithTimeout(startTimeout), poll.WithDelay(20*time.Millisecond))
}

// awaitServing waits until the router has found agents for both kinds of work.
func (c *cluster) waitUntilServing(n *process) {
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		completion := streamCompletion(context.Background(), n.callerAddress, "are you there", 2)
		if completion.code != "" {
			return poll.Continue("%s: %s", n.name, completion.code)
		}
		if len(c.standIns.Services) == 0 {
			return poll.Success()
		}
		call := callService(context.Background(), n.callerAddress, "/lookup", "", "{}")
		if call.code != "" {
			return poll.Continue("%s: %s", n.name, call.code)
		}
		return poll.Success()
	}, poll.WithTimeout(startTimeout), poll.WithDelay(20*time.Millisecond))
}

// fault posts to the admin address of a stand-in.
func postAdmin(t *testing.T, address, path, body string) {
	resp, err := http.Post("http://"+address+path, "application/json", strings.NewReader(body))
	assert.NilError(t, err)
	_ = resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}

func (c *cluster) auditedRuns() []audit.Run { return c.fleet.Runs().Runs }
