package e2e

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/workload/answer"
)

const (
	callerCount       = 8
	requestsPerCaller = 40
	streamTokens      = 24
	// maxTries bounds what one caller does for one request.
	maxAttempts   = 40
	retryInterval = 100 * time.Millisecond
)

// ledgerLine is what a caller was finally told about one key.
type keyedCallResult struct {
	key, outcome, code string
}

// driver runs callers against a cluster.
type loadDriver struct {
	cluster          *cluster
	finishedRequests atomic.Int64
	mu               sync.Mutex
	keyedCallResults []keyedCallResult
	violations       []string
}

func (d *loadDriver) routerAddress(n int) string {
	return d.cluster.routers[n%len(d.cluster.routers)].callerAddress
}

func (d *loadDriver) addViolation(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.violations = append(d.violations, fmt.Sprintf(format, args...))
}

// run starts the callers and returns when all have ended.
func (d *loadDriver) runCallers() {
	var running sync.WaitGroup
	for caller := range callerCount {
		running.Add(1)
		go func() {
			defer running.Done()
			for n := range requestsPerCaller {
				if n%3 == 2 {
					d.runKeyedCall(caller, n)
				} else {
					d.runStream(caller, n)
				}
				d.finishedRequests.Add(1)
			}
		}()
	}
	running.Wait()
}

// oneStream asks for a completion until it has the whole of it, resuming at
// another router when a stream is cut.
func (d *loadDriver) runStream(caller, n int) {
	prompt := strings.Repeat(fmt.Sprintf("guidance of desk %d. ", caller%3), 60) + fmt.Sprintf("request %d of caller %d", n, caller)
	want := answer.New(prompt).Text(0, streamTokens)
	var stream streamAttempts
	for attempt := range maxAttempts {
		stream.continueOrRestart(d.routerAddress(caller+attempt), prompt)
		if !strings.HasPrefix(want, stream.text) {
			d.addViolation("caller %d request %d: got %q, want a prefix of %q", caller, n, stream.text, want)
			return
		}
		if stream.code == "" {
			if stream.text != want {
				d.addViolation("caller %d request %d: ended after %q", caller, n, stream.text)
			}
			return
		}
		time.Sleep(retryInterval)
	}
	d.addViolation("caller %d request %d: no whole answer, last code %q", caller, n, stream.code)
}

// fullAnswer is an answer that is asked for again or resumed.
type streamAttempts struct{ callResult }

func (s *streamAttempts) continueOrRestart(router, prompt string) {
	if s.code == "cut" && s.lastEventID != "" {
		s.callResult = resumeStream(context.Background(), router, s.callResult)
		if s.code != "stream_gone" {
			return
		}
	}
	s.callResult = streamCompletion(context.Background(), router, prompt, streamTokens)
}

// oneCall makes a call that may not be repeated and asks again with the same
// key until the end is known.
func (d *loadDriver) runKeyedCall(caller, n int) {
	key := fmt.Sprintf("key-%d-%d", caller, n)
	var result serviceResult
	for attempt := range maxAttempts {
		result = serviceResult(callService(context.Background(), d.routerAddress(caller+attempt), "/recovery", key, `{"key":"`+key+`"}`))
		if result.isFinal() {
			break
		}
		time.Sleep(retryInterval)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.keyedCallResults = append(d.keyedCallResults, keyedCallResult{key, result.outcome, result.code})
}

type serviceResult callResult

// final reports whether asking again makes no sense. A refusal that says not
// run may be asked again.
func (r serviceResult) isFinal() bool {
	switch r.code {
	case "", "outcome_unknown", "answer_expired":
		return true
	}
	return false
}

// step is a fault that is brought about once a share of the work is done.
type faultStep struct {
	afterPercent int64
	name         string
	inject       func()
}

func (d *loadDriver) injectFaults(steps []faultStep) {
	for _, s := range steps {
		for d.finishedRequests.Load()*100 < s.afterPercent*callerCount*requestsPerCaller {
			time.Sleep(10 * time.Millisecond)
		}
		d.cluster.t.Logf("fault: %s", s.name)
		s.inject()
	}
}

// check compares what callers were told with what ran.
func (d *loadDriver) check() {
	runsByKey := map[string]int{}
	for _, run := range d.cluster.auditedRuns() {
		if run.WrongHits > 0 {
			d.addViolation("endpoint %s served %d blocks of other text", run.Endpoint, run.WrongHits)
		}
		if run.IdempotencyKey != "" {
			runsByKey[run.IdempotencyKey]++
		}
	}
	counts := map[string]int{}
	for _, result := range d.keyedCallResults {
		counts[result.outcome+" "+result.code]++
		ran := runsByKey[result.key]
		switch {
		case ran > 1:
			d.addViolation("%s ran %d times", result.key, ran)
		case result.outcome == "done" && ran != 1:
			d.addViolation("%s was told done and ran %d times", result.key, ran)
		case result.outcome == "not_run" && ran != 0:
			d.addViolation("%s was told not run (%s) and ran %d times", result.key, result.code, ran)
		}
	}
	d.cluster.t.Logf("answers to calls that may not be repeated: %v", counts)
	for _, violation := range d.violations {
		d.cluster.t.Error(violation)
	}
}

// Guards against doubled work, false "not run", wrong or incomplete streams and
// cut requests when real processes are killed, frozen, drained and cut off
// from the store under load.
func TestProcessesUnderFaults(t *testing.T) {
	c := newCluster(t, clusterSize{routers: 2, engines: 3, services: 2})
	d := &loadDriver{cluster: c}
	steps := []faultStep{
		{8, "freeze a service's agent", func() {
			c.signal(c.agents["rec-01"], syscall.SIGSTOP)
			time.Sleep(1500 * time.Millisecond)
			c.signal(c.agents["rec-01"], syscall.SIGCONT)
		}},
		{20, "kill a router", func() {
			c.kill(c.routers[0])
			c.startProcess(c.routers[0])
			c.waitUntilReady(c.routers[0])
		}},
		{35, "store outage and lost answers", func() {
			postAdmin(t, c.standIns.Store.Address, "/admin/faults", `{"outage":true}`)
			time.Sleep(1500 * time.Millisecond)
			postAdmin(t, c.standIns.Store.Address, "/admin/faults", `{"lose_answers":3}`)
		}},
		{50, "crash an engine", func() { postAdmin(t, c.standIns.Engines[0].Address, "/admin/crash", `{}`) }},
		{60, "kill an engine's agent", func() {
			c.kill(c.agents["llm-02"])
			c.startProcess(c.agents["llm-02"])
		}},
		{70, "kill a service's agent", func() {
			c.kill(c.agents["rec-02"])
			c.startProcess(c.agents["rec-02"])
		}},
		{85, "stop a router gracefully", func() {
			assert.Equal(t, c.terminate(c.routers[1]), 0)
			c.startProcess(c.routers[1])
		}},
	}
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		d.runCallers()
	}()
	d.injectFaults(steps)
	<-finished
	d.check()
}
