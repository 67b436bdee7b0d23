package catchup

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The simulated router shares its processor evenly between everything that is ready to
// run, as a scheduler does. Callers' requests take the processor twice: to be sent, and to
// be given up when their caller closes the connection. Steady work is gossip between
// routers and the renewal of views.
const (
	simStep            = time.Millisecond
	simDuration        = time.Minute
	simRequestInterval = 50 * time.Millisecond
	simRequestWork     = 2500 * time.Microsecond
	simSteadyInterval  = 100 * time.Millisecond
	simSteadyWork      = 2 * time.Millisecond
	// simEvents is the number of events that an engine keeps for its followers, and
	// simEventWork the processor time to decode and apply one.
	simEvents       = 4000
	simEventWork    = 10 * time.Microsecond
	simResponseTime = 10 * time.Millisecond // the mean
)

// simTask is ready to run from readyAt on until it has had its work.
type simTask struct {
	readyAt time.Duration
	left    time.Duration
	source  string
}

// simResult is how long requests took in the router, and when the last source was read.
type simResult struct {
	requestTimes []time.Duration
	caughtUpAt   time.Duration
}

// simulate runs a router with a share of a core from its start on. The first silent
// sources that it reads respond after two seconds.
func simulate(turns *Turns, seed uint64, cores float64, sources, silent int) simResult {
	random := rand.New(rand.NewPCG(seed, 0))
	var result simResult
	var tasks []*simTask
	waiting := map[string]time.Duration{}
	for i := range sources {
		waiting[fmt.Sprintf("engine-%02d", i)] = 0
	}
	reading := map[string]time.Duration{}
	for now := time.Duration(0); now < simDuration; now += simStep {
		if now%simRequestInterval == 0 {
			tasks = append(tasks, &simTask{readyAt: now, left: simRequestWork})
		}
		if now%simSteadyInterval == 0 {
			tasks = append(tasks, &simTask{readyAt: now, left: simSteadyWork, source: "steady"})
		}
		for _, source := range sortedKeys(waiting) {
			if now < waiting[source] {
				continue
			}
			ok, retryIn := turns.TryBegin(now, source)
			if !ok {
				waiting[source] = now + max(retryIn, simStep)
				continue
			}
			delete(waiting, source)
			reading[source] = now + time.Duration(random.Int64N(int64(2*simResponseTime)))
			if len(waiting) >= sources-silent {
				reading[source] = now + 2*time.Second
			}
		}
		for _, source := range sortedKeys(reading) {
			if now >= reading[source] {
				delete(reading, source)
				turns.Responded(source)
				tasks = append(tasks, &simTask{readyAt: now, left: simEvents * simEventWork, source: source})
			}
		}
		share := time.Duration(float64(simStep) * cores / float64(max(1, len(tasks))))
		tasks = slices.DeleteFunc(tasks, func(task *simTask) bool {
			task.left -= share
			if task.left > 0 {
				return false
			}
			switch task.source {
			case "":
				result.requestTimes = append(result.requestTimes, now-task.readyAt)
			case "steady":
			default:
				turns.End(now, task.source, now-task.readyAt)
				result.caughtUpAt = now
			}
			return true
		})
	}
	if len(waiting)+len(reading) > 0 {
		result.caughtUpAt = simDuration
	}
	return result
}

func sortedKeys(m map[string]time.Duration) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// Callers' closes must reach the endpoints within half a second.
const maxRequestTime = 500 * time.Millisecond

// Guards against a small router that starts, reads the events of all engines that it
// follows at once, and gets to callers' requests and closes seconds late.
func TestStartLeavesProcessorTimeToRequests(t *testing.T) {
	for seed := range uint64(10) {
		for _, router := range []struct {
			cores   float64
			sources int
		}{{0.144, 9}, {0.144, 16}, {0.12, 16}, {0.8, 16}} {
			result := simulate(New(), seed, router.cores, router.sources, 0)
			longest := slices.Max(result.requestTimes)
			assert.Check(t, longest < maxRequestTime, "seed %d, %v cores, %d sources: a request took %v", seed, router.cores, router.sources, longest)
		}
	}
}

// Guards against a router that never gets to the events of all sources.
func TestAllSourcesAreRead(t *testing.T) {
	for seed := range uint64(10) {
		for _, silent := range []int{0, 4} {
			result := simulate(New(), seed, 0.144, 16, silent)
			assert.Check(t, result.caughtUpAt < simDuration, "seed %d, %d silent sources: caught up after %v", seed, silent, result.caughtUpAt)
		}
	}
}
