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
	callers      = 8
	perCaller    = 40
	streamTokens = 24
	// maxTries bounds what one caller does for one request.
	maxTries = 40
	retryGap = 100 * time.Millisecond
)

// ledgerLine is what a caller was finally told about one key.
type ledgerLine struct {
	key, outcome, code string
}

// driver runs callers against a cluster.
type driver struct {
	c     *cluster
	done  atomic.Int64
	mu    sync.Mutex
	once  []ledgerLine
	wrong []string
}

func (d *driver) routerFor(n int) string {
	return d.c.routers[n%len(d.c.routers)].caller
}

func (d *driver) fault(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.wrong = append(d.wrong, fmt.Sprintf(format, args...))
}

// run starts the callers and returns when all have ended.
func (d *driver) run() {
	var all sync.WaitGroup
	for caller := range callers {
		all.Add(1)
		go func() {
			defer all.Done()
			for n := range perCaller {
				if n%3 == 2 {
					d.oneCall(caller, n)
				} else {
					d.oneStream(caller, n)
				}
				d.done.Add(1)
			}
		}()
	}
	all.Wait()
}

// oneStream asks for a completion until it has the whole of it, resuming at
// another router when a stream is cut.
func (d *driver) oneStream(caller, n int) {
	prompt := strings.Repeat(fmt.Sprintf("guidance of desk %d. ", caller%3), 60) + fmt.Sprintf("request %d of caller %d", n, caller)
	want := answer.OutputFor(prompt).Text(0, streamTokens)
	var a fullAnswer
	for try := range maxTries {
		a.next(d.routerFor(caller+try), prompt)
		if !strings.HasPrefix(want, a.text) {
			d.fault("caller %d request %d: got %q, want a prefix of %q", caller, n, a.text, want)
			return
		}
		if a.code == "" {
			if a.text != want {
				d.fault("caller %d request %d: ended after %q", caller, n, a.text)
			}
			return
		}
		time.Sleep(retryGap)
	}
	d.fault("caller %d request %d: no whole answer, last code %q", caller, n, a.code)
}

// fullAnswer is an answer that is asked for again or resumed.
type fullAnswer struct{ told }

func (a *fullAnswer) next(router, prompt string) {
	if a.code == "cut" && a.lastID != "" {
		a.told = resume(context.Background(), router, a.told)
		if a.code != "stream_gone" {
			return
		}
	}
	a.told = complete(context.Background(), router, prompt, streamTokens)
}

// oneCall makes a call that may not be repeated and asks again with the same
// key until the end is known.
func (d *driver) oneCall(caller, n int) {
	key := fmt.Sprintf("key-%d-%d", caller, n)
	var a answerOf
	for try := range maxTries {
		a = answerOf(callService(context.Background(), d.routerFor(caller+try), "/recovery", key, `{"key":"`+key+`"}`))
		if a.final() {
			break
		}
		time.Sleep(retryGap)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.once = append(d.once, ledgerLine{key, a.outcome, a.code})
}

type answerOf told

// final reports whether asking again makes no sense. A refusal that says not
// run may be asked again.
func (a answerOf) final() bool {
	switch a.code {
	case "", "outcome_unknown", "answer_expired":
		return true
	}
	return false
}

// step is a fault that is brought about once a share of the work is done.
type step struct {
	percent int64
	name    string
	do      func()
}

func (d *driver) inject(steps []step) {
	for _, s := range steps {
		for d.done.Load()*100 < s.percent*callers*perCaller {
			time.Sleep(10 * time.Millisecond)
		}
		d.c.t.Logf("fault: %s", s.name)
		s.do()
	}
}

// check compares what callers were told with what ran.
func (d *driver) check() {
	runs := map[string]int{}
	for _, r := range d.c.runs() {
		if r.InvalidCacheHits > 0 {
			d.fault("endpoint %s served %d blocks of other text", r.Endpoint, r.InvalidCacheHits)
		}
		if r.IdempotencyKey != "" {
			runs[r.IdempotencyKey]++
		}
	}
	counts := map[string]int{}
	for _, line := range d.once {
		counts[line.outcome+" "+line.code]++
		ran := runs[line.key]
		switch {
		case ran > 1:
			d.fault("%s ran %d times", line.key, ran)
		case line.outcome == "done" && ran != 1:
			d.fault("%s was told done and ran %d times", line.key, ran)
		case line.outcome == "not_run" && ran != 0:
			d.fault("%s was told not run (%s) and ran %d times", line.key, line.code, ran)
		}
	}
	d.c.t.Logf("answers to calls that may not be repeated: %v", counts)
	for _, w := range d.wrong {
		d.c.t.Error(w)
	}
}

// Guards against doubled work, false "not run", wrong or incomplete streams and
// cut requests when real processes are killed, frozen, drained and cut off
// from the store under load.
func TestProcessesUnderFaults(t *testing.T) {
	c := newCluster(t, sizes{routers: 2, engines: 3, services: 2})
	d := &driver{c: c}
	steps := []step{
		{8, "freeze a service's agent", func() {
			c.signal(c.agents["rec-01"], syscall.SIGSTOP)
			time.Sleep(1500 * time.Millisecond)
			c.signal(c.agents["rec-01"], syscall.SIGCONT)
		}},
		{20, "kill a router", func() {
			c.kill(c.routers[0])
			c.spawn(c.routers[0])
			c.await(c.routers[0])
		}},
		{35, "store outage and lost answers", func() {
			fault(t, c.stand.Store.Address, "/admin/faults", `{"outage":true}`)
			time.Sleep(1500 * time.Millisecond)
			fault(t, c.stand.Store.Address, "/admin/faults", `{"lose_answers":3}`)
		}},
		{50, "crash an engine", func() { fault(t, c.stand.Engines[0].Address, "/admin/crash", `{}`) }},
		{60, "kill an engine's agent", func() {
			c.kill(c.agents["llm-02"])
			c.spawn(c.agents["llm-02"])
		}},
		{70, "kill a service's agent", func() {
			c.kill(c.agents["rec-02"])
			c.spawn(c.agents["rec-02"])
		}},
		{85, "stop a router gracefully", func() {
			assert.Equal(t, c.terminate(c.routers[1]), 0)
			c.spawn(c.routers[1])
		}},
	}
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		d.run()
	}()
	d.inject(steps)
	<-finished
	d.check()
}
