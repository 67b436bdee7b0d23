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

// startTimeout bounds the wait for a process to be ready. It is long because the
// race detector and a loaded host slow the start.
const startTimeout = 60 * time.Second

// builtPrograms is the directory of the programs, which are built once for all tests
// of the package.
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

// programPath builds the programs if necessary and returns the path of one.
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

// process is a router or agent process.
type process struct {
	name, program, settingsPath string
	callerAddress, grpcAddress  string
	adminAddress                string
	cmd                         *exec.Cmd
	logFile                     *os.File
}

// cluster is a deployment of routers, agents and stand-ins on loopback.
type cluster struct {
	t           *testing.T
	dir         string
	fleet       *fleet.Fleet
	standIns    fleet.Config
	routers     []*process
	agents      map[string]*process
	gossipSeeds []string
}

// clusterSize is the number of routers, engines and service instances of a cluster.
type clusterSize struct{ routers, engines, services int }

// newCluster starts a cluster, applies rules that allow the team the model and the
// service, and waits until all routers serve.
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

// Ports of the test processes. They lie below the ephemeral port range, because an
// outgoing connection can take a port of that range between the check that it is free
// and its use. No port is used twice.
const (
	firstPort = 10000
	lastPort  = 19999
)

var nextPort atomic.Int32

// freeAddress returns a loopback address whose port is free for TCP and UDP.
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
		p := &process{name: fmt.Sprintf("router-%d", i+1), program: "arbutus-router", callerAddress: c.freeAddress()}
		c.writeSettings(p, "router", fmt.Sprintf("zone-%d", i%2), i, map[string]any{
			"caller_api": map[string]any{"listen": p.callerAddress, "drain_notice": "200ms"},
		})
		c.routers = append(c.routers, p)
		c.startProcess(p)
	}
	for i, e := range c.standIns.Engines {
		c.startAgent(e.Name, e.Address, i%2, false)
	}
	for i, s := range c.standIns.Services {
		c.startAgent(s.Name, s.Address, i%2, true)
	}
}

func (c *cluster) startAgent(endpoint, address string, zone int, isService bool) {
	p := &process{name: "agent-" + endpoint, program: "arbutus-agent"}
	c.writeSettings(p, "agent", fmt.Sprintf("zone-%d", zone), -1, map[string]any{
		"engine": map[string]any{"url": "http://" + address, "service": isService},
	})
	c.agents[endpoint] = p
	c.startProcess(p)
}

// writeSettings writes the settings file of a process. The first routers use the gossip
// seed addresses; routerIndex is -1 for agents.
func (c *cluster) writeSettings(p *process, role, zone string, routerIndex int, extraSections map[string]any) {
	p.grpcAddress, p.adminAddress = c.freeAddress(), c.freeAddress()
	gossip := c.freeAddress()
	if routerIndex >= 0 && routerIndex < len(c.gossipSeeds) {
		gossip = c.gossipSeeds[routerIndex]
	}
	identity := map[string]any{"id": p.name, "role": role, "zone": zone}
	if role == "agent" {
		endpoint := strings.TrimPrefix(p.name, "agent-")
		identity["endpoint"], identity["host"] = endpoint, "h-"+endpoint
	}
	sections := map[string]any{
		"node":        identity,
		"grpc":        map[string]any{"listen": p.grpcAddress},
		"admin":       map[string]any{"listen": p.adminAddress},
		"gossip":      map[string]any{"listen": gossip, "seeds": c.gossipSeeds},
		"objectstore": map[string]any{"addresses": []string{"http://" + c.standIns.Store.Address}},
	}
	for k, v := range extraSections {
		sections[k] = v
	}
	text, err := json.Marshal(sections)
	assert.NilError(c.t, err)
	p.settingsPath = filepath.Join(c.dir, p.name+".json")
	assert.NilError(c.t, os.WriteFile(p.settingsPath, text, 0o600))
}

func (c *cluster) startProcess(p *process) {
	log, err := os.OpenFile(filepath.Join(c.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(c.t, err)
	cmd := exec.Command(programPath(c.t, p.program), "--settings", p.settingsPath)
	cmd.Stdout, cmd.Stderr = log, log
	// Kills the process if the test process dies.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	assert.NilError(c.t, cmd.Start())
	p.cmd, p.logFile = cmd, log
	c.t.Cleanup(func() { c.stopAndCheckLog(p, cmd) })
}

// maxRaceReportBytes limits the part of a race report that is printed.
const maxRaceReportBytes = 4000

// stopAndCheckLog kills the process if it runs and fails the test if its log has a race
// report. If the test failed, it prints the last log lines.
func (c *cluster) stopAndCheckLog(p *process, cmd *exec.Cmd) {
	if cmd.ProcessState == nil {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	text, _ := os.ReadFile(p.logFile.Name())
	// The programs are built with the race detector, which reports to stderr.
	if at := strings.Index(string(text), "DATA RACE"); at >= 0 {
		c.t.Errorf("data race in %s:\n%s", p.name, text[at:min(len(text), at+maxRaceReportBytes)])
	}
	if c.t.Failed() {
		c.t.Logf("log of %s:\n%s", p.name, lastLines(string(text), 15))
	}
}

func lastLines(text string, lines int) string {
	all := strings.Split(strings.TrimSpace(text), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}

func (c *cluster) kill(p *process) {
	assert.NilError(c.t, p.cmd.Process.Kill())
	_ = p.cmd.Wait()
}

func (c *cluster) signal(p *process, s syscall.Signal) {
	assert.NilError(c.t, p.cmd.Process.Signal(s))
}

// terminate stops a process with SIGTERM and returns its exit code.
func (c *cluster) terminate(p *process) int {
	c.signal(p, syscall.SIGTERM)
	_ = p.cmd.Wait()
	return p.cmd.ProcessState.ExitCode()
}

// applyRules applies the text of a rules file with arbutusctl.
func (c *cluster) applyRules(text string) {
	path := filepath.Join(c.dir, "site.rules")
	assert.NilError(c.t, os.WriteFile(path, []byte(text), 0o600))
	ctl := exec.Command(programPath(c.t, "arbutusctl"), "--store", "http://"+c.standIns.Store.Address, "apply", path, "--base", "0")
	out, err := ctl.CombinedOutput()
	assert.NilError(c.t, err, string(out))
}

func (c *cluster) waitUntilAllReady() {
	for _, p := range c.routers {
		c.waitUntilReady(p)
	}
	for _, p := range c.agents {
		c.waitUntilReady(p)
	}
	for _, p := range c.routers {
		c.waitUntilServing(p)
	}
}

// waitUntilReady waits until the process reports that it is ready.
func (c *cluster) waitUntilReady(p *process) {
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		resp, err := http.Get("http://" + p.adminAddress + "/readyz")
		if err != nil {
			return poll.Continue("%s: %v", p.name, err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return poll.Continue("%s: status %d", p.name, resp.StatusCode)
		}
		return poll.Success()
	}, poll.WithTimeout(startTimeout), poll.WithDelay(20*time.Millisecond))
}

// waitUntilServing waits until the router serves a completion and, if the cluster has
// service instances, a service call.
func (c *cluster) waitUntilServing(p *process) {
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		completion := streamCompletion(context.Background(), p.callerAddress, "are you there", 2)
		if completion.code != "" {
			return poll.Continue("%s: %s", p.name, completion.code)
		}
		if len(c.standIns.Services) == 0 {
			return poll.Success()
		}
		call := callService(context.Background(), p.callerAddress, "/lookup", "", "{}")
		if call.code != "" {
			return poll.Continue("%s: %s", p.name, call.code)
		}
		return poll.Success()
	}, poll.WithTimeout(startTimeout), poll.WithDelay(20*time.Millisecond))
}

// postAdmin posts to an admin path of a stand-in, for example to inject a fault.
func postAdmin(t *testing.T, address, path, body string) {
	resp, err := http.Post("http://"+address+path, "application/json", strings.NewReader(body))
	assert.NilError(t, err)
	_ = resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}

// auditedRuns returns the runs in the audit logs of all stand-ins.
func (c *cluster) auditedRuns() []audit.Run { return c.fleet.Runs().Runs }
