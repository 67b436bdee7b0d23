package soak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/standin/platform"
)

const (
	// faultPeriod is how long faults are injected, on average one per
	// meanFaultInterval.
	faultPeriod       = 6 * time.Second
	meanFaultInterval = 350 * time.Millisecond
	// invalidConfigurationPeriod is how long an invalid configuration stays the newest one.
	invalidConfigurationPeriod = 2 * time.Second
	// silentConnectionsTime is how long connections that went silent may disturb calls: a call
	// waits for its deadline at most, and a connection is given up after some failed calls.
	silentConnectionsTime = callDeadline
	// defaultWatchers is more than there are routers: all watch the store.
	defaultWatchers = 6
	// undisturbedPeriod is how long callers run before the first fault, and again
	// after the recovery from the last one. All calls must succeed or be refused then.
	undisturbedPeriod = 1200 * time.Millisecond
	// restoreStep is the unit of the time from a restore of the store until operators and
	// endpoints have written again what was lost.
	restoreStep = 50 * time.Millisecond
)

// regressions lists seeds that have failed, with the cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{4, "SIGTERM or SIGHUP during startup killed the process"},
	{9909, "an engine that drained when the store came back from a copy stayed draining"},
}

// Guards against violations of the guarantees that History.Violations checks, under
// random faults. It runs ARBUTUS_SOAK_SEEDS seeds, 2 by default, beginning with
// ARBUTUS_SOAK_FIRST, with 3 or 4 routers or ARBUTUS_SOAK_ROUTERS. In every fifth seed some callers
// read slowly.
func TestSoak(t *testing.T) {
	first, seeds := envUint("ARBUTUS_SOAK_FIRST", 1), envUint("ARBUTUS_SOAK_SEEDS", 2)
	for seed := first; seed < first+seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runSeed(t, seed, seed%3 == 1)
		})
	}
}

// Guards against the return of the failures that the seeds in regressions showed.
func TestSoakRegressions(t *testing.T) {
	for _, r := range regressions {
		t.Run(fmt.Sprintf("%d %s", r.seed, r.cause), func(t *testing.T) {
			t.Parallel()
			runSeed(t, r.seed, false)
		})
	}
}

// envUint returns the environment variable as a number, or fallback.
func envUint(name string, fallback uint64) uint64 {
	if n, err := strconv.ParseUint(os.Getenv(name), 10, 64); err == nil {
		return n
	}
	return fallback
}

// runSeed injects the faults of a seed into a new deployment under load and checks the
// history, the recovery and the logs. With fewWatchers a single router watches the store, and an
// invalid configuration is written.
func runSeed(t *testing.T, seed uint64, fewWatchers bool) {
	rng := rand.New(rand.NewPCG(seed, 0))
	watchers := defaultWatchers
	if fewWatchers {
		watchers = 1
	}
	routers := 3 + rng.IntN(2)
	d := newDeployment(t, int(seed), watchers, int(envUint("ARBUTUS_SOAK_ROUTERS", uint64(routers))), 2+rng.IntN(2), 3+rng.IntN(3), seed%5 == 2)
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	callers.Go(func() { d.runCallers(ctx, seed, "t") })
	time.Sleep(undisturbedPeriod)
	if fewWatchers {
		callers.Go(func() { d.publishInvalidConfiguration(invalidConfigurationPeriod) })
	}
	// Every fourth seed has only planned changes, which must not interrupt any call.
	d.injectFaults(rng, seed%4 == 0)
	d.clearFaults()
	if version, _ := d.latestVersions(); version%2 != 0 {
		d.publishNextConfiguration() // isolates the team that has shared its cached prefixes
	}
	time.Sleep(faultRecoveryTime)
	time.Sleep(undisturbedPeriod)
	cancel()
	callers.Wait()
	d.waitForRecovery()
	history := d.collectHistory()
	violations := history.Violations()
	for _, violation := range violations {
		t.Error(violation)
	}
	d.checkLogs()
	t.Logf("%d calls, %d executions, %d weights orders, %d faults", len(history.Calls), len(history.Executions), len(history.WeightsOrders), len(history.Faults))
	assert.Assert(t, len(history.Calls) > 0 && len(history.Executions) > 0 && len(history.ServedVersions) > 0)
}

// injectFaults starts random faults, which may overlap, and waits for their end.
func (d *deployment) injectFaults(rng *rand.Rand, plannedOnly bool) {
	var injections sync.WaitGroup
	for end := time.Now().Add(faultPeriod); time.Now().Before(end); {
		choices := plannedChanges
		if !plannedOnly && rng.IntN(4) > 0 {
			choices = unplannedFaults
		}
		inject := choices[rng.IntN(len(choices))]
		duration := time.Duration(100+rng.IntN(1500)) * time.Millisecond
		target := rng.IntN(1000)
		injections.Go(func() { inject(d, target, duration) })
		time.Sleep(time.Duration(rng.Int64N(int64(2 * meanFaultInterval))))
	}
	injections.Wait()
}

// injection injects a fault for a duration and returns when it has ended. target
// selects the router or endpoint and the variant of the fault.
type injection func(d *deployment, target int, duration time.Duration)

// plannedChanges must not interrupt any call.
var plannedChanges = []injection{
	func(d *deployment, target int, _ time.Duration) { d.routerAt(target).restartGracefully() },
	func(d *deployment, target int, _ time.Duration) {
		r := d.routerAt(target)
		r.writeSettings(10 + target%20)
		if !r.isInRotation() {
			return // The process may not handle signals yet.
		}
		r.signal(syscall.SIGHUP, false)
		d.recordFault("settings reload", r.name, true, 0)
	},
	func(d *deployment, _ int, _ time.Duration) { d.publishNextConfiguration() },
	func(d *deployment, _ int, _ time.Duration) { d.publishNextWeightsVersion() },
	func(d *deployment, target int, duration time.Duration) {
		e := d.endpointAt(target)
		e.publishState("draining")
		time.Sleep(duration)
		e.publishState("ready")
	},
}

// endpointFaults are the ways in which an endpoint fails requests.
var endpointFaults = []platform.Fault{
	platform.FaultNotExecuted, platform.FaultError, platform.FaultNoResponse, platform.FaultTruncatedResponse, platform.FaultRefusalStatus,
	platform.FaultImpossibleStatus, platform.FaultContradiction, platform.FaultResetPart,
}

// unplannedFaults may interrupt calls.
var unplannedFaults = []injection{
	func(d *deployment, target int, duration time.Duration) {
		r := d.routerAt(target)
		if !r.interruptMu.TryLock() {
			return
		}
		defer r.interruptMu.Unlock()
		d.recordFault("process killed", r.name, false, duration)
		r.kill()
		time.Sleep(duration / 4)
		r.startProcess()
	},
	func(d *deployment, target int, duration time.Duration) {
		r := d.routerAt(target)
		if !r.interruptMu.TryLock() {
			return
		}
		defer r.interruptMu.Unlock()
		d.recordFault("process paused", r.name, false, duration)
		r.signal(syscall.SIGSTOP, false)
		time.Sleep(duration)
		r.signal(syscall.SIGCONT, false)
	},
	func(d *deployment, _ int, duration time.Duration) {
		d.recordFault("all routers killed", "", false, duration)
		for _, r := range d.routers {
			if r.interruptMu.TryLock() {
				r.kill()
				r.startProcess()
				r.interruptMu.Unlock()
			}
		}
	},
	func(d *deployment, target int, duration time.Duration) {
		d.impairProxy("store connections through", d.routerAt(target).storeProxy, "", target, duration)
	},
	func(d *deployment, target int, duration time.Duration) {
		d.impairProxy("peer connections through", d.routerAt(target).peerProxy, "", target, duration)
	},
	func(d *deployment, target int, duration time.Duration) {
		e := d.endpointAt(target)
		d.impairProxy("endpoint "+e.name, e.proxy, "", target/7, duration)
	},
	func(d *deployment, target int, duration time.Duration) {
		e := d.endpointAt(target)
		if e.interruptMu.TryLock() {
			defer e.interruptMu.Unlock()
			d.recordFault("restart of "+e.name, "", false, duration)
			if target%2 == 0 {
				e.release()
			}
			e.restart(duration)
		}
	},
	// An endpoint has its own entry and that of its predecessor at the same address. Every other
	// incarnation repeats its refusals of requests for the predecessor.
	func(d *deployment, target int, duration time.Duration) {
		e := d.endpointAt(target)
		if e.interruptMu.TryLock() {
			defer e.interruptMu.Unlock()
			d.recordFault("restart with two entries of "+e.name, "", false, 2*duration)
			e.restartWithEntry(duration/4, 2*duration)
		}
	},
	// Open connections go silent for good while new ones work.
	func(d *deployment, target int, _ time.Duration) {
		d.recordFault("open connections silent", "", false, silentConnectionsTime)
		for i, p := range d.proxies() {
			if (target+i)%10 < 7 {
				p.SilenceOpen()
			}
		}
	},
	// A router alone loses the store while an engine is replaced by one of another software
	// version and streams break.
	func(d *deployment, target int, duration time.Duration) {
		engine := func(i int) *endpoint { return d.engineEndpoints[i%len(d.engineEndpoints)] }
		var impaired sync.WaitGroup
		impaired.Go(func() {
			d.impairProxy("store connections through", d.routerAt(target).storeProxy, "", target, duration+time.Second)
		})
		engine(target+1).current().InjectFault(3, platform.FaultTruncatedResponse)
		if e := engine(target); e.interruptMu.TryLock() {
			d.recordFault("release at "+e.name, "", false, duration)
			e.release()
			e.restart(duration / 4)
			e.interruptMu.Unlock()
		}
		impaired.Wait()
	},
	func(d *deployment, target int, duration time.Duration) {
		e := d.endpointAt(target)
		kind := endpointFaults[target%len(endpointFaults)]
		d.recordFault(fmt.Sprintf("%s fails: %s", e.name, kind), "", false, duration)
		e.current().InjectFault(1+target%5, kind)
		time.Sleep(duration)
		e.current().InjectFault(0, "")
	},
	func(d *deployment, target int, duration time.Duration) {
		d.recordFault("store write responses lost", "", false, duration)
		d.store.LoseWriteResponses(1 + target%3)
	},
	func(d *deployment, target int, duration time.Duration) {
		if !d.restoreMu.TryLock() {
			return
		}
		defer d.restoreMu.Unlock()
		copied := d.store.Copy()
		time.Sleep(duration)
		d.recordFault("store restored from a copy", "", false, duration)
		d.recordRestore()
		d.store.Restore(copied)
		time.Sleep(time.Duration(target%10) * restoreStep)
		d.store.Rewrite()
	},
	func(d *deployment, _ int, duration time.Duration) {
		d.recordFault("configuration change without watch events", "", false, duration)
		d.store.ChangeWithoutEvents(d.publishNextConfiguration)
	},
}

// proxies returns the proxies of all connections of routers.
func (d *deployment) proxies() []*Proxy {
	var all []*Proxy
	for _, r := range d.routers {
		all = append(all, r.storeProxy, r.peerProxy)
	}
	for _, e := range append(append([]*endpoint(nil), d.serviceEndpoints...), d.engineEndpoints...) {
		all = append(all, e.proxy)
	}
	return all
}

func (d *deployment) routerAt(index int) *router { return d.routers[index%len(d.routers)] }

func (d *deployment) endpointAt(index int) *endpoint {
	all := append(append([]*endpoint(nil), d.serviceEndpoints...), d.engineEndpoints...)
	return all[index%len(all)]
}

// impairProxy sets a fault mode of the proxy for a duration.
func (d *deployment) impairProxy(description string, p *Proxy, routerName string, target int, duration time.Duration) {
	mode := []ProxyMode{Delay, Reset, DropRequests, DropResponses, DropAll}[target%5]
	d.recordFault(fmt.Sprintf("%s %s: mode %d", description, p.Address(), mode), routerName, false, duration)
	p.SetMode(mode)
	time.Sleep(duration)
	p.SetMode(Forward)
}

// restartGracefully stops the process as the platform does and starts it again.
func (r *router) restartGracefully() {
	if !r.interruptMu.TryLock() {
		return
	}
	defer r.interruptMu.Unlock()
	r.recordFault("graceful restart", r.name, true, stopTimeout)
	r.terminate()
	r.startProcess()
}

// clearFaults ends all faults of routers and the store.
func (d *deployment) clearFaults() {
	for _, r := range d.routers {
		r.storeProxy.SetMode(Forward)
		r.peerProxy.SetMode(Forward)
		r.signal(syscall.SIGCONT, false)
	}
	d.recordFault("faults cleared", "", false, 0)
	d.store.LoseWriteResponses(0)
}

// waitForRecovery waits until every router serves the latest configuration and every
// engine has the latest weights.
func (d *deployment) waitForRecovery() {
	configurationVersion, weightsVersion := d.latestVersions()
	client := &http.Client{Timeout: callDeadline}
	for _, r := range d.routers {
		d.eventually(fmt.Sprintf("%s serves configuration %d", r.name, configurationVersion), func() bool {
			return r.probeConfiguration(context.Background(), client) == configurationVersion
		})
	}
	for _, e := range d.engineEndpoints {
		d.eventually(fmt.Sprintf("%s has weights %d", e.name, weightsVersion), func() bool { return e.current().WeightsVersion() == weightsVersion })
	}
}

// checkLogs fails the test if a router log reports a data race or panic.
func (d *deployment) checkLogs() {
	for _, r := range d.routers {
		text, err := os.ReadFile(r.logFile.Name())
		assert.NilError(d.t, err)
		for _, mark := range []string{"WARNING: DATA RACE", "panic:", "fatal error:"} {
			if bytes.Contains(text, []byte(mark)) {
				d.t.Errorf("log of %s has %q", r.name, mark)
			}
		}
	}
}
