package outcomes

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusline/arbutusline/decision/attempt"
)

// ErrInvalidScenario means that a scenario has a syntax error or names a process that
// does not exist.
var ErrInvalidScenario = errors.New("invalid scenario")

// RunScenario simulates a scenario until the given time and returns a report of the
// requests' runs and outcomes and of the violations. Each line of the scenario is a
// time and a command, such as "200ms kill r1".
func RunScenario(cfg Config, script string, until time.Duration) (string, error) {
	cl := newCluster(cfg)
	for i, line := range strings.Split(strings.TrimSpace(script), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			return "", errors.Wrapf(ErrInvalidScenario, "line %d: expected a time and a command", i+1)
		}
		at, err := time.ParseDuration(fields[0])
		if err != nil {
			return "", errors.Wrapf(ErrInvalidScenario, "line %d: %v", i+1, err)
		}
		run, err := cl.parseCommand(fields[1], fields[2:])
		if err != nil {
			return "", errors.Wrapf(err, "line %d", i+1)
		}
		cl.sim.scheduleAt(at, run)
	}
	cl.sim.runUntil(until)
	return cl.report(), nil
}

// splitArgs splits arguments into words and "name=value" pairs.
func splitArgs(arguments []string) (words []string, values map[string]string) {
	values = map[string]string{}
	for _, a := range arguments {
		if name, v, ok := strings.Cut(a, "="); ok {
			values[name] = v
			continue
		}
		words = append(words, a)
	}
	return words, values
}

// parseCommand returns a function that performs the command.
func (cl *cluster) parseCommand(name string, arguments []string) (func(), error) {
	words, values := splitArgs(arguments)
	for _, n := range words {
		if name != "call" && n != storeName && cl.routers[n] == nil && cl.agents[n] == nil {
			return nil, errors.Wrapf(ErrInvalidScenario, "process %q does not exist", n)
		}
	}
	var duration time.Duration
	if v, ok := values["for"]; ok {
		d, err := time.ParseDuration(v)
		if err != nil {
			return nil, errors.Wrapf(ErrInvalidScenario, "duration \"for\": %v", err)
		}
		duration = d
	}
	probability, _ := strconv.ParseFloat(values["share"], 64)
	afterDuration := func(fn func()) {
		if duration > 0 {
			cl.sim.scheduleAfter(duration, fn)
		}
	}
	forEachProcess := func(fn func(name string)) func() {
		return func() {
			for _, n := range words {
				fn(n)
			}
		}
	}
	switch name {
	case "call":
		return cl.parseCallCommand(words, values)
	case "kill":
		return forEachProcess(func(n string) { cl.kill(n); afterDuration(func() { cl.restart(n) }) }), nil
	case "crash":
		return forEachProcess(func(n string) { cl.agents[n].engine.crash() }), nil
	case "freeze":
		return forEachProcess(func(n string) { cl.pause(n, duration) }), nil
	case "stop":
		return forEachProcess(func(n string) {
			cl.shutdown(n)
			afterDuration(func() { cl.restartAfterStop(n, duration) })
		}), nil
	case "cut":
		return func() { cl.disconnectFor(words[0], words[1], duration) }, nil
	case "outage":
		return func() { cl.store.outage = true; afterDuration(func() { cl.store.outage = false }) }, nil
	case "lose":
		return func() {
			cl.store.responseLossRate = probability
			afterDuration(func() { cl.store.responseLossRate = 0 })
		}, nil
	case "cross":
		return func() {
			cl.network.misdeliveryProbability = probability
			afterDuration(func() { cl.network.misdeliveryProbability = 0 })
		}, nil
	case "late":
		return func() {
			cl.network.delayProbability, cl.network.maxDelay = probability, 3*time.Second
			afterDuration(func() { cl.network.delayProbability = 0 })
		}, nil
	case "jump":
		return forEachProcess(func(n string) { cl.processByName(n).clockSkew += duration }), nil
	case "weights":
		return forEachProcess(func(n string) { cl.agents[n].engine.weightsVersion += "+" }), nil
	}
	return nil, errors.Wrapf(ErrInvalidScenario, "unknown command %q", name)
}

// parseCallCommand parses the arguments of "call": <key> [once] [bad] [leave]
// [via=r1,r2] [tokens=n] [service=d] [answer=bytes] [body=n] [resend=n]. The request
// runs at most once with "once", crashes its engine with "bad" and is not sent again
// with "leave". One copy is sent through each router of "via".
func (cl *cluster) parseCallCommand(words []string, values map[string]string) (func(), error) {
	if len(words) == 0 {
		return nil, errors.Wrap(ErrInvalidScenario, "call needs a key")
	}
	req := &request{key: words[0], team: "t1", outputTokens: 20, crashAtToken: -1, prompt: promptWithSharedPrefix(len(words[0]))}
	leave := false
	for _, word := range words[1:] {
		switch word {
		case "once":
			req.atMostOnce = true
		case "bad":
			req.crashAtToken = 3
		case "leave":
			leave = true
		default:
			return nil, errors.Wrapf(ErrInvalidScenario, "call: unknown argument %q", word)
		}
	}
	number := func(name string) int {
		n, _ := strconv.Atoi(values[name])
		return n
	}
	if values["tokens"] != "" {
		req.outputTokens = number("tokens")
	}
	req.answerPaddingBytes, req.body = number("answer"), values["body"]
	req.serviceDuration, _ = time.ParseDuration(values["service"])
	return func() {
		if earlier := cl.scriptedRequests[req.key]; earlier != nil && req.body == earlier.body {
			req = earlier
		}
		cl.scriptedRequests[req.key] = req
		for _, routerName := range strings.Split(values["via"], ",") {
			c := &retryingCaller{cluster: cl, request: req, retryUntil: cl.sim.now + callerRetryWindow, firstSubmittedAt: cl.sim.now, remainingResends: number("resend")}
			if leave {
				c.retryUntil = 0
			}
			if r := cl.routers[routerName]; r != nil {
				c.submitTo(r)
			} else {
				c.submit()
			}
		}
	}, nil
}

// report lists the runs and outcomes of all requests, in the order of their first
// copies, and the violations.
func (cl *cluster) report() string {
	violations, _ := cl.history.check()
	var b strings.Builder
	var keys []string
	ends := map[string][]string{}
	for _, sub := range cl.history.submissions {
		key := sub.request.key
		if len(ends[key]) == 0 {
			keys = append(keys, key)
		}
		ends[key] = append(ends[key], sub.router+" "+sub.describeEnd())
	}
	for _, key := range keys {
		fmt.Fprintf(&b, "%s", key)
		if n := cl.history.runs[key]; n > 0 {
			fmt.Fprintf(&b, " ran %d", n)
		}
		if n := cl.history.engineCrashes[key]; n > 0 {
			fmt.Fprintf(&b, " crashed %d", n)
		}
		fmt.Fprintf(&b, ": %s\n", strings.Join(ends[key], ", "))
	}
	if cl.history.resumeCount > 0 {
		fmt.Fprintf(&b, "resumed %d\n", cl.history.resumeCount)
	}
	for _, v := range violations {
		fmt.Fprintf(&b, "VIOLATED %s: %s\n", v.Invariant, v.Detail)
	}
	return b.String()
}

func (s *submission) describeEnd() string {
	switch {
	case !s.ended:
		return "no outcome"
	case s.connectionBroken:
		return "disconnected"
	case s.outcome == attempt.OutcomeDone:
		return "done"
	}
	return fmt.Sprintf("%s/%s", s.code, s.outcome)
}
