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
	// maxAttempts bounds the attempts of a caller for one request.
	maxAttempts   = 40
	retryInterval = 100 * time.Millisecond
)

// keyedCallResult is the final result of a call with an idempotency key.
type keyedCallResult struct {
	key, outcome, code string
}

// loadDriver runs callers against a cluster and records violations.
type loadDriver struct {
	cluster          *cluster
	finishedRequests atomic.Int64
	mu               sync.Mutex
	keyedCallResults []keyedCallResult
	violations       []string
}

// routerAddress returns the caller address of router n modulo the number of routers.
func (d *loadDriver) routerAddress(n int) string {
	return d.cluster.routers[n%len(d.cluster.routers)].callerAddress
}

func (d *loadDriver) addViolation(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.violations = append(d.violations, fmt.Sprintf(format, args...))
}

// runCallers starts the callers and returns when all have ended.
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

// runStream requests a completion until it is complete. It retries at the next router
// and resumes an interrupted stream there.
func (d *loadDriver) runStream(caller, n int) {
	prompt := strings.Repeat(fmt.Sprintf("guidance of desk %d. ", caller%3), 60) + fmt.Sprintf("request %d of caller %d", n, caller)
	want := answer.OutputFor(prompt).Text(0, streamTokens)
	var stream streamAttempts
	for attempt := range maxAttempts {
		stream.continueOrRestart(d.routerAddress(caller+attempt), prompt)
		if !strings.HasPrefix(want, stream.text) {
			d.addViolation("caller %d request %d: got %q, want a prefix of %q", caller, n, stream.text, want)
			return
		}
		if stream.code == "" {
			if stream.text != want {
				d.addViolation("caller %d request %d: stream ended after %q", caller, n, stream.text)
			}
			return
		}
		time.Sleep(retryInterval)
	}
	d.addViolation("caller %d request %d: no complete response, last code %q", caller, n, stream.code)
}

// streamAttempts is a streamed completion over several attempts.
type streamAttempts struct{ callResult }

// continueOrRestart resumes an interrupted stream, or requests the completion anew if
// it cannot be resumed.
func (s *streamAttempts) continueOrRestart(router, prompt string) {
	if s.code == "cut" && s.lastEventID != "" {
		s.callResult = resumeStream(context.Background(), router, s.callResult)
		if s.code != "stream_gone" {
			return
		}
	}
	s.callResult = streamCompletion(context.Background(), router, prompt, streamTokens)
}

// runKeyedCall makes a non-idempotent call and retries it with the same idempotency
// key until the result is final.
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

// serviceResult is the result of one attempt of a service call.
type serviceResult callResult

// isFinal reports whether a retry cannot change the result. Refusals and connection
// failures may be retried.
func (r serviceResult) isFinal() bool {
	switch r.code {
	case "", "outcome_unknown", "answer_expired":
		return true
	}
	return false
}

// faultStep is a fault that is injected once a percentage of the requests has finished.
type faultStep struct {
	afterPercent int64
	name         string
	inject       func()
}

// injectFaults injects the faults one after the other, each at its percentage.
func (d *loadDriver) injectFaults(steps []faultStep) {
	for _, s := range steps {
		for d.finishedRequests.Load()*100 < s.afterPercent*callerCount*requestsPerCaller {
			time.Sleep(10 * time.Millisecond)
		}
		d.cluster.t.Logf("fault: %s", s.name)
		s.inject()
	}
}

// check compares the results of callers with the audit logs and reports all
// violations.
func (d *loadDriver) check() {
	runsByKey := map[string]int{}
	for _, run := range d.cluster.auditedRuns() {
		if run.InvalidCacheHits > 0 {
			d.addViolation("endpoint %s used %d cached blocks of other text or another team", run.Endpoint, run.InvalidCacheHits)
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
			d.addViolation("%s: outcome done, but ran %d times", result.key, ran)
		case result.outcome == "not_run" && ran != 0:
			d.addViolation("%s: outcome not_run (%s), but ran %d times", result.key, result.code, ran)
		}
	}
	d.cluster.t.Logf("results of calls with an idempotency key: %v", counts)
	for _, violation := range d.violations {
		d.cluster.t.Error(violation)
	}
}

// Guards against work that runs twice, a false "not run" outcome, wrong or incomplete
// streams and interrupted requests, when processes are killed, paused, drained or
// disconnected from the store under load.
func TestProcessesUnderFaults(t *testing.T) {
	c := newCluster(t, clusterSize{routers: 2, engines: 3, services: 2})
	d := &loadDriver{cluster: c}
	steps := []faultStep{
		{8, "pause the agent of a service", func() {
			c.signal(c.agents["rec-01"], syscall.SIGSTOP)
			time.Sleep(1500 * time.Millisecond)
			c.signal(c.agents["rec-01"], syscall.SIGCONT)
		}},
		{20, "kill a router", func() {
			c.kill(c.routers[0])
			c.startProcess(c.routers[0])
			c.waitUntilReady(c.routers[0])
		}},
		{35, "store outage and lost write responses", func() {
			postAdmin(t, c.standIns.Store.Address, "/admin/faults", `{"outage":true}`)
			time.Sleep(1500 * time.Millisecond)
			postAdmin(t, c.standIns.Store.Address, "/admin/faults", `{"lose_answers":3}`)
		}},
		{50, "crash an engine", func() { postAdmin(t, c.standIns.Engines[0].Address, "/admin/crash", `{}`) }},
		{60, "kill the agent of an engine", func() {
			c.kill(c.agents["llm-02"])
			c.startProcess(c.agents["llm-02"])
		}},
		{70, "kill the agent of a service", func() {
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
