package outcomes

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/arbutusline/arbutusline/decision/attempt"
)

// history is what callers sent and received and what endpoints ran.
type history struct {
	cluster     *cluster
	submissions []*submission
	// effects counts the runs of a request that must not be repeated.
	atMostOnceRuns map[string]int
	// starts counts all runs of a request.
	runs map[string]int
	// effectAt is the time of the first run.
	firstRunAt map[string]time.Duration
	// ranIDs holds the request ids of which an attempt ran.
	ranRequestIDs map[string]bool
	engineCrashes map[string]int
	openResumes   map[string]int
	resumeCount   int
	violations    []Violation
	// awaiting holds the first repeatable request of each router run until it
	// is dispatched.
	firstRequests map[string]*firstRequest
}

type firstRequest struct {
	submission *submission
	routerRun  int
	arrivedAt  time.Duration
	dispatched bool
}

// Violation is one broken invariant.
type Violation struct {
	Invariant string
	Detail    string
}

func newHistory(cl *cluster) *history {
	return &history{cluster: cl, atMostOnceRuns: map[string]int{}, runs: map[string]int{}, firstRunAt: map[string]time.Duration{}, ranRequestIDs: map[string]bool{}, engineCrashes: map[string]int{},
		openResumes: map[string]int{}, firstRequests: map[string]*firstRequest{}}
}

func (h *history) addViolation(invariant, format string, args ...any) {
	h.violations = append(h.violations, Violation{invariant, fmt.Sprintf(format, args...)})
}

// ran records that an endpoint started an attempt.
func (h *history) recordRun(attemptID string, req *request) {
	id, _, _ := strings.Cut(attemptID, "/")
	h.ranRequestIDs[id] = true
	h.runs[req.key]++
	if req.atMostOnce {
		if h.atMostOnceRuns[req.keyAndBody()]++; h.atMostOnceRuns[req.keyAndBody()] == 1 {
			h.firstRunAt[req.keyAndBody()] = h.cluster.sim.now
		}
	}
}

// reused checks I1 for one reused cache block.
func (h *history) checkCacheReuse(req *request, e *engine, c cachedBlock) {
	if c.team != req.team || c.weights != e.weights || c.incarnation != e.incarnation {
		h.addViolation("I1", "%s of team %s on engine %d with weights %s reused a block of team %s, engine %d, weights %s",
			req.key, req.team, e.incarnation, e.weights, c.team, c.incarnation, c.weights)
	}
}

func (h *history) recordEngineCrash(req *request) { h.engineCrashes[req.key]++ }

func (h *history) recordRequestID(id string, sub *submission) {
	sub.requestIDs = append(sub.requestIDs, id)
}

func (h *history) addOpenResumes(r *router, delta int) { h.openResumes[r.name] += delta }

// codeShuttingDown is the refusal of a router that takes no new work.
const codeShuttingDown attempt.Code = "shutting_down"

// restartLimit is the time within which a running router dispatches its first
// repeatable request.
const maxFirstDispatchDelay = 100 * time.Millisecond

func (h *history) recordArrival(r *router, sub *submission) {
	if f := h.firstRequests[r.name]; !sub.request.atMostOnce && !r.stopping && (f == nil || f.routerRun != r.runNumber) {
		h.firstRequests[r.name] = &firstRequest{submission: sub, routerRun: r.runNumber, arrivedAt: h.cluster.sim.now}
	}
}

// dispatched checks I3 for the first request of a router run.
func (h *history) checkFirstDispatch(r *router, req *routerRequest) {
	first := h.firstRequests[r.name]
	if first == nil || first.submission != req.submission || first.dispatched || first.routerRun != r.runNumber {
		return
	}
	first.dispatched = true
	waited := h.cluster.sim.now - first.arrivedAt
	if waited > maxFirstDispatchDelay && r.frozenUntil < first.arrivedAt {
		h.addViolation("I3", "router %s dispatched its first request after %v", r.name, waited)
	}
}

// stopped checks I8 when a process has shut down gracefully.
func (h *history) checkGracefulStop(name string, open []string) {
	if len(open) > 0 {
		h.addViolation("I8", "%s stopped with open work %v", name, open)
	}
}

// Summary counts the ends of the submissions of one run.
type Summary struct {
	Submissions, Done, NotRun, Unknown, BrokenConnections                       int
	RanTwice, FalseDone, IncompleteOutput, ForeignOutput, FalseNotRun, NoAnswer int
	MaxCrashes                                                                  int
}

// check compares both sides and returns what is violated.
func (h *history) check() ([]Violation, Summary) {
	var summary Summary
	for _, key := range sortedKeys(h.atMostOnceRuns) {
		if n := h.atMostOnceRuns[key]; n > 1 {
			summary.RanTwice++
			h.addViolation("I6", "%s ran %d times", key, n)
		}
	}
	for _, sub := range h.submissions {
		h.checkSubmission(sub, &summary)
	}
	for _, n := range h.engineCrashes {
		summary.MaxCrashes = max(summary.MaxCrashes, n)
	}
	return h.violations, summary
}

func (h *history) checkSubmission(sub *submission, summary *Summary) {
	summary.Submissions++
	h.checkOutput(sub, summary)
	switch {
	case !sub.ended:
		summary.NoAnswer++
		h.addViolation("answer", "%s copy %d at %s has no end", sub.request.key, sub.copyNumber, sub.router)
	case sub.connectionBroken:
		summary.BrokenConnections++
	case sub.outcome == attempt.OutcomeDone:
		summary.Done++
		h.checkDone(sub, summary)
	case sub.outcome == attempt.OutcomeNotRun:
		summary.NotRun++
		h.checkNotRun(sub, summary)
	default:
		summary.Unknown++
	}
}

// checkContent checks I2 and I4: every token is the caller's own and in order.
func (h *history) checkOutput(sub *submission, summary *Summary) {
	for i, t := range sub.receivedTokens {
		if t == sub.request.expectedToken(i) {
			continue
		}
		if strings.HasPrefix(t, sub.request.key+"#") {
			summary.IncompleteOutput++
			h.addViolation("I2", "%s got %s at %d", sub.request.key, t, i)
		} else {
			summary.ForeignOutput++
			h.addViolation("I4", "%s got %s at %d", sub.request.key, t, i)
		}
		return
	}
}

func (h *history) checkDone(sub *submission, summary *Summary) {
	if !sub.request.atMostOnce {
		if len(sub.receivedTokens) != sub.request.outputTokens {
			summary.IncompleteOutput++
			h.addViolation("I2", "%s is done with %d of %d tokens", sub.request.key, len(sub.receivedTokens), sub.request.outputTokens)
		}
		return
	}
	switch {
	case h.atMostOnceRuns[sub.request.keyAndBody()] == 0:
		summary.FalseDone++
		h.addViolation("lost", "%s is done but did not run", sub.request.key)
	case sub.answer == "":
		summary.IncompleteOutput++
		h.addViolation("I2", "%s is done without its answer", sub.request.key)
	case sub.answer != sub.request.expectedAnswer():
		summary.ForeignOutput++
		h.addViolation("I4", "%s got the answer %.40s", sub.request.key, sub.answer)
	}
}

// checkNotRun checks I5: neither the copy that is refused as not run nor an
// earlier copy of the same request may have run.
func (h *history) checkNotRun(sub *submission, summary *Summary) {
	for _, id := range sub.requestIDs {
		if h.ranRequestIDs[id] {
			summary.FalseNotRun++
			h.addViolation("I5", "%s copy %d (%s) was reported as not run, but ran", sub.request.key, sub.copyNumber, id)
			return
		}
	}
	ranEarlier := sub.request.atMostOnce && h.atMostOnceRuns[sub.request.keyAndBody()] > 0 && h.firstRunAt[sub.request.keyAndBody()] < sub.submittedAt
	if ranEarlier {
		summary.FalseNotRun++
		h.addViolation("I5", "%s copy %d was refused as %s and not run, but had run", sub.request.key, sub.copyNumber, sub.code)
	}
}

func sortedKeys[V any](m map[string]V) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
