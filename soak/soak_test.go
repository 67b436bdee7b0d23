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
	disturbed  = 6 * time.Second
	faultPause = 350 * time.Millisecond
	// calm is how long callers call before the first fault and after the last one,
	// when everything must be served.
	calm = 1200 * time.Millisecond
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
	first, seeds := number("ARBUTUS_SOAK_FIRST", 1), number("ARBUTUS_SOAK_SEEDS", 2)
	for seed := first; seed < first+seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			play(t, seed)
		})
	}
}

// TestSoakRegressions plays the seeds that failed once.
func TestSoakRegressions(t *testing.T) {
	for _, r := range regressions {
		t.Run(fmt.Sprintf("%d %s", r.seed, r.cause), func(t *testing.T) {
			t.Parallel()
			play(t, r.seed)
		})
	}
}

func number(name string, otherwise uint64) uint64 {
	if n, err := strconv.ParseUint(os.Getenv(name), 10, 64); err == nil {
		return n
	}
	return otherwise
}

// play disturbs a deployment and checks what was seen.
func play(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	d := newDeployment(t, int(seed), 3+random.IntN(2), 2+random.IntN(2), 3+random.IntN(3))
	ctx, cancel := context.WithCancel(context.Background())
	var traffic sync.WaitGroup
	traffic.Go(func() { d.traffic(ctx, seed, "t") })
	time.Sleep(calm)
	// Every fourth seed has planned changes alone, which must cut no call.
	d.disturb(random, seed%4 == 0)
	d.lift()
	time.Sleep(aftermath)
	time.Sleep(calm)
	cancel()
	traffic.Wait()
	d.checkRecovered()
	h := d.collect()
	broken := h.Check()
	for _, b := range broken {
		t.Error(b)
	}
	d.checkLogs()
	t.Logf("%d calls, %d runs, %d orders, %d faults", len(h.Calls), len(h.Runs), len(h.Orders), len(h.Faults))
	assert.Assert(t, len(h.Calls) > 0 && len(h.Runs) > 0 && len(h.Versions) > 0)
	if t.Failed() {
		d.keepLogs(seed)
	}
}

// disturb injects faults in series that overlap.
func (d *deployment) disturb(random *rand.Rand, plannedOnly bool) {
	var running sync.WaitGroup
	for end := time.Now().Add(disturbed); time.Now().Before(end); {
		choices := planned
		if !plannedOnly && random.IntN(4) > 0 {
			choices = faults
		}
		inject := choices[random.IntN(len(choices))]
		lasts := time.Duration(100+random.IntN(1500)) * time.Millisecond
		target := random.IntN(1000)
		running.Go(func() { inject(d, target, lasts) })
		time.Sleep(time.Duration(random.Int64N(int64(2 * faultPause))))
	}
	running.Wait()
}

// injection disturbs the target for a time and returns when that is over.
type injection func(d *deployment, target int, lasts time.Duration)

// planned are changes that must cut no call.
var planned = []injection{
	func(d *deployment, target int, _ time.Duration) { d.router(target).restartGracefully() },
	func(d *deployment, target int, _ time.Duration) {
		r := d.router(target)
		r.writeSettings(10 + target%20)
		if !r.rotates() {
			return // It may not take signals yet.
		}
		r.signal(syscall.SIGHUP, false)
		d.note("hangup", r.name, true, 0)
	},
	func(d *deployment, _ int, _ time.Duration) { d.configure() },
	func(d *deployment, _ int, _ time.Duration) { d.nameWeights() },
	func(d *deployment, target int, lasts time.Duration) {
		e := d.any(target)
		e.announce("draining")
		time.Sleep(lasts)
		e.announce("ready")
	},
}

// faults are the others.
var faults = []injection{
	func(d *deployment, target int, lasts time.Duration) {
		r := d.router(target)
		if !r.busy.TryLock() {
			return
		}
		defer r.busy.Unlock()
		d.note("killed", r.name, false, lasts)
		r.kill()
		time.Sleep(lasts / 4)
		r.start()
	},
	func(d *deployment, target int, lasts time.Duration) {
		r := d.router(target)
		if !r.busy.TryLock() {
			return
		}
		defer r.busy.Unlock()
		d.note("paused", r.name, false, lasts)
		r.signal(syscall.SIGSTOP, false)
		time.Sleep(lasts)
		r.signal(syscall.SIGCONT, false)
	},
	func(d *deployment, _ int, lasts time.Duration) {
		d.note("all routers killed", "", false, lasts)
		for _, r := range d.routers {
			if r.busy.TryLock() {
				r.kill()
				r.start()
				r.busy.Unlock()
			}
		}
	},
	func(d *deployment, target int, lasts time.Duration) {
		d.impair("store of", d.router(target).toStore, "", target, lasts)
	},
	func(d *deployment, target int, lasts time.Duration) {
		d.impair("peers of", d.router(target).fromPeers, "", target, lasts)
	},
	func(d *deployment, target int, lasts time.Duration) {
		e := d.any(target)
		d.impair("endpoint "+e.name, e.proxy, "", target/7, lasts)
	},
	func(d *deployment, target int, lasts time.Duration) {
		e := d.any(target)
		if e.busy.TryLock() {
			defer e.busy.Unlock()
			d.note("restart of "+e.name, "", false, lasts)
			e.restart(lasts)
		}
	},
	func(d *deployment, target int, lasts time.Duration) {
		e := d.any(target)
		kind := []platform.Fault{platform.FaultNotExecuted, platform.FaultError, platform.FaultNoResponse, platform.FaultTruncatedResponse}[target%4]
		d.note(fmt.Sprintf("%s fails: %s", e.name, kind), "", false, lasts)
		e.worker().InjectFault(1+target%5, kind)
		time.Sleep(lasts)
		e.worker().InjectFault(0, "")
	},
	func(d *deployment, target int, lasts time.Duration) {
		d.note("writes without an answer", "", false, lasts)
		d.store.LoseWriteResponses(1 + target%3)
	},
	func(d *deployment, _ int, lasts time.Duration) {
		d.note("change behind a dropped history", "", false, lasts)
		d.store.ChangeWithoutEvents(d.configure)
	},
}

func (d *deployment) router(target int) *router { return d.routers[target%len(d.routers)] }

func (d *deployment) any(target int) *endpoint {
	all := append(append([]*endpoint(nil), d.plain...), d.engines...)
	return all[target%len(all)]
}

// impair disturbs the connections of a proxy.
func (d *deployment) impair(what string, p *Proxy, router string, target int, lasts time.Duration) {
	mode := []Mode{Delay, Reset, CutForth, CutBack, Silent}[target%5]
	d.note(fmt.Sprintf("%s %s: mode %d", what, p.Address(), mode), router, false, lasts)
	p.Set(mode)
	time.Sleep(lasts)
	p.Set(Pass)
}

// restartGracefully ends the process as the platform does and starts it again.
func (r *router) restartGracefully() {
	if !r.busy.TryLock() {
		return
	}
	defer r.busy.Unlock()
	r.note("graceful restart", r.name, true, stopTimeout)
	r.terminate()
	r.start()
}

// lift ends all faults.
func (d *deployment) lift() {
	for _, r := range d.routers {
		r.toStore.Set(Pass)
		r.fromPeers.Set(Pass)
		r.signal(syscall.SIGCONT, false)
	}
	d.note("faults lifted", "", false, 0)
	d.store.LoseWriteResponses(0)
}

// checkRecovered waits until every router and engine is up to date.
func (d *deployment) checkRecovered() {
	configuration, weights := d.newest()
	client := &http.Client{Timeout: callDeadline}
	for _, r := range d.routers {
		d.eventually(fmt.Sprintf("%s serves configuration %d", r.name, configuration), func() bool {
			return r.probe(context.Background(), client) == configuration
		})
	}
	for _, e := range d.engines {
		d.eventually(fmt.Sprintf("%s has weights %d", e.name, weights), func() bool { return e.worker().WeightsVersion() == weights })
	}
}

// checkLogs finds data races and panics.
func (d *deployment) checkLogs() {
	for _, r := range d.routers {
		text, err := os.ReadFile(r.log.Name())
		assert.NilError(d.t, err)
		for _, mark := range []string{"WARNING: DATA RACE", "panic:", "fatal error:"} {
			if bytes.Contains(text, []byte(mark)) {
				d.t.Errorf("log of %s has %q", r.name, mark)
			}
		}
	}
}

// keepLogs copies the logs of a failed seed out of the test's directory.
func (d *deployment) keepLogs(seed uint64) {
	dir, err := os.MkdirTemp("", fmt.Sprintf("arbutus-soak-%d-", seed))
	if err == nil {
		err = os.CopyFS(dir, os.DirFS(d.dir))
	}
	d.t.Logf("logs kept in %s, error %v", dir, err)
}
