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
	// disturbed is how long faults are injected, about one in faultPause.
	faultPeriod       = 6 * time.Second
	meanFaultInterval = 350 * time.Millisecond
	// calm is how long callers call before the first fault and after the last one,
	// when everything must be served.
	undisturbedPeriod = 1200 * time.Millisecond
)

// regressions are seeds that failed once, with the cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{4, "a SIGTERM or SIGHUP during the start ended the process at once"},
}

// TestSoak plays one seed, or as many fresh ones as ARBUTUS_SOAK_SEEDS says, from
// ARBUTUS_SOAK_FIRST on. It guards all promises that Check knows.
func TestSoak(t *testing.T) {
	first, seeds := envUint("ARBUTUS_SOAK_FIRST", 1), envUint("ARBUTUS_SOAK_SEEDS", 2)
	for seed := first; seed < first+seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runSeed(t, seed)
		})
	}
}

// TestSoakRegressions plays the seeds that failed once.
func TestSoakRegressions(t *testing.T) {
	for _, r := range regressions {
		t.Run(fmt.Sprintf("%d %s", r.seed, r.cause), func(t *testing.T) {
			t.Parallel()
			runSeed(t, r.seed)
		})
	}
}

func envUint(name string, fallback uint64) uint64 {
	if n, err := strconv.ParseUint(os.Getenv(name), 10, 64); err == nil {
		return n
	}
	return fallback
}

// play disturbs a deployment and checks what was seen.
func runSeed(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	d := newDeployment(t, int(seed), 3+random.IntN(2), 2+random.IntN(2), 3+random.IntN(3))
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	callers.Go(func() { d.runCallers(ctx, seed, "t") })
	time.Sleep(undisturbedPeriod)
	// Every fourth seed has planned changes alone, which must cut no call.
	d.injectFaults(random, seed%4 == 0)
	d.clearFaults()
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
	t.Logf("%d calls, %d runs, %d orders, %d faults", len(history.Calls), len(history.Executions), len(history.WeightsOrders), len(history.Faults))
	assert.Assert(t, len(history.Calls) > 0 && len(history.Executions) > 0 && len(history.ServedVersions) > 0)
	if t.Failed() {
		d.saveLogs(seed)
	}
}

// disturb injects faults in series that overlap.
func (d *deployment) injectFaults(random *rand.Rand, plannedOnly bool) {
	var injections sync.WaitGroup
	for end := time.Now().Add(faultPeriod); time.Now().Before(end); {
		choices := plannedChanges
		if !plannedOnly && random.IntN(4) > 0 {
			choices = unplannedFaults
		}
		inject := choices[random.IntN(len(choices))]
		duration := time.Duration(100+random.IntN(1500)) * time.Millisecond
		target := random.IntN(1000)
		injections.Go(func() { inject(d, target, duration) })
		time.Sleep(time.Duration(random.Int64N(int64(2 * meanFaultInterval))))
	}
	injections.Wait()
}

// injection disturbs the target for a time and returns when that is over.
type injection func(d *deployment, target int, lasts time.Duration)

// planned are changes that must cut no call.
var plannedChanges = []injection{
	func(d *deployment, target int, _ time.Duration) { d.routerAt(target).restartGracefully() },
	func(d *deployment, target int, _ time.Duration) {
		r := d.routerAt(target)
		r.writeSettings(10 + target%20)
		if !r.isInRotation() {
			return // It may not take signals yet.
		}
		r.signal(syscall.SIGHUP, false)
		d.recordFault("hangup", r.name, true, 0)
	},
	func(d *deployment, _ int, _ time.Duration) { d.publishNextConfiguration() },
	func(d *deployment, _ int, _ time.Duration) { d.publishNextWeightsVersion() },
	func(d *deployment, target int, lasts time.Duration) {
		e := d.endpointAt(target)
		e.publishState("draining")
		time.Sleep(lasts)
		e.publishState("ready")
	},
}

// faults are the others.
var unplannedFaults = []injection{
	func(d *deployment, target int, lasts time.Duration) {
		r := d.routerAt(target)
		if !r.interruptMu.TryLock() {
			return
		}
		defer r.interruptMu.Unlock()
		d.recordFault("killed", r.name, false, lasts)
		r.kill()
		time.Sleep(lasts / 4)
		r.startProcess()
	},
	func(d *deployment, target int, lasts time.Duration) {
		r := d.routerAt(target)
		if !r.interruptMu.TryLock() {
			return
		}
		defer r.interruptMu.Unlock()
		d.recordFault("paused", r.name, false, lasts)
		r.signal(syscall.SIGSTOP, false)
		time.Sleep(lasts)
		r.signal(syscall.SIGCONT, false)
	},
	func(d *deployment, _ int, lasts time.Duration) {
		d.recordFault("all routers killed", "", false, lasts)
		for _, r := range d.routers {
			if r.interruptMu.TryLock() {
				r.kill()
				r.startProcess()
				r.interruptMu.Unlock()
			}
		}
	},
	func(d *deployment, target int, lasts time.Duration) {
		d.impairProxy("store of", d.routerAt(target).storeProxy, "", target, lasts)
	},
	func(d *deployment, target int, lasts time.Duration) {
		d.impairProxy("peers of", d.routerAt(target).peerProxy, "", target, lasts)
	},
	func(d *deployment, target int, lasts time.Duration) {
		e := d.endpointAt(target)
		d.impairProxy("endpoint "+e.name, e.proxy, "", target/7, lasts)
	},
	func(d *deployment, target int, lasts time.Duration) {
		e := d.endpointAt(target)
		if e.interruptMu.TryLock() {
			defer e.interruptMu.Unlock()
			d.recordFault("restart of "+e.name, "", false, lasts)
			e.restart(lasts)
		}
	},
	func(d *deployment, target int, lasts time.Duration) {
		e := d.endpointAt(target)
		kind := []platform.Fault{platform.FaultNotExecuted, platform.FaultError, platform.FaultNoResponse, platform.FaultTruncatedResponse}[target%4]
		d.recordFault(fmt.Sprintf("%s fails: %s", e.name, kind), "", false, lasts)
		e.current().InjectFault(1+target%5, kind)
		time.Sleep(lasts)
		e.current().InjectFault(0, "")
	},
	func(d *deployment, target int, lasts time.Duration) {
		d.recordFault("writes without an answer", "", false, lasts)
		d.store.LoseWriteResponses(1 + target%3)
	},
	func(d *deployment, _ int, lasts time.Duration) {
		d.recordFault("change behind a dropped history", "", false, lasts)
		d.store.ChangeWithoutEvents(d.publishNextConfiguration)
	},
}

func (d *deployment) routerAt(index int) *router { return d.routers[index%len(d.routers)] }

func (d *deployment) endpointAt(index int) *endpoint {
	all := append(append([]*endpoint(nil), d.serviceEndpoints...), d.engineEndpoints...)
	return all[index%len(all)]
}

// impair disturbs the connections of a proxy.
func (d *deployment) impairProxy(description string, p *Proxy, routerName string, target int, duration time.Duration) {
	mode := []ProxyMode{Delay, Reset, DropRequests, DropResponses, DropAll}[target%5]
	d.recordFault(fmt.Sprintf("%s %s: mode %d", description, p.Address(), mode), routerName, false, duration)
	p.SetMode(mode)
	time.Sleep(duration)
	p.SetMode(Forward)
}

// restartGracefully ends the process as the platform does and starts it again.
func (r *router) restartGracefully() {
	if !r.interruptMu.TryLock() {
		return
	}
	defer r.interruptMu.Unlock()
	r.recordFault("graceful restart", r.name, true, stopTimeout)
	r.terminate()
	r.startProcess()
}

// lift ends all faults.
func (d *deployment) clearFaults() {
	for _, r := range d.routers {
		r.storeProxy.SetMode(Forward)
		r.peerProxy.SetMode(Forward)
		r.signal(syscall.SIGCONT, false)
	}
	d.recordFault("faults lifted", "", false, 0)
	d.store.LoseWriteResponses(0)
}

// checkRecovered waits until every router and engine is up to date.
func (d *deployment) waitForRecovery() {
	configuration, weights := d.latestVersions()
	client := &http.Client{Timeout: callDeadline}
	for _, r := range d.routers {
		d.eventually(fmt.Sprintf("%s serves configuration %d", r.name, configuration), func() bool {
			return r.probeConfiguration(context.Background(), client) == configuration
		})
	}
	for _, e := range d.engineEndpoints {
		d.eventually(fmt.Sprintf("%s has weights %d", e.name, weights), func() bool { return e.current().WeightsVersion() == weights })
	}
}

// checkLogs finds data races and panics.
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

// keepLogs copies the logs of a failed seed out of the test's directory.
func (d *deployment) saveLogs(seed uint64) {
	dir, err := os.MkdirTemp("", fmt.Sprintf("arbutus-soak-%d-", seed))
	if err == nil {
		err = os.CopyFS(dir, os.DirFS(d.dir))
	}
	d.t.Logf("logs kept in %s, error %v", dir, err)
}
