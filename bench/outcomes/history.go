package outcomes

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/arbutusline/arbutusline/decision/attempt"
)

// Invariants that are checked, by their labels.
const (
	// invariantCacheIsolation: a cached block is only reused by its team, with the same
	// weights and on the same incarnation of the engine.
	invariantCacheIsolation = "I1"
	// invariantCompleteOutput: a caller receives its output in order and complete.
	invariantCompleteOutput = "I2"
	// invariantFastRestart: a running router dispatches its first request promptly.
	invariantFastRestart = "I3"
	// invariantOwnOutput: a caller never receives the output of another request.
	invariantOwnOutput = "I4"
	// invariantTrueNotRun: a request that is reported as not run has not run.
	invariantTrueNotRun = "I5"
	// invariantAtMostOnce: an at-most-once request runs at most once.
	invariantAtMostOnce = "I6"
	// invariantGracefulStop: a graceful stop interrupts no work.
	invariantGracefulStop = "I8"
	// invariantAnswered: every submission ends with an outcome or a broken connection.
	invariantAnswered = "answer"
	// invariantTrueDone: a request that is reported as done has run.
	invariantTrueDone = "lost"
)

// history records what callers sent and received and what endpoints ran.
type history struct {
	cluster     *cluster
	submissions []*submission
	// atMostOnceRuns counts the runs of each at-most-once request, by key and body.
	atMostOnceRuns map[string]int
	// runs counts the runs of all requests, by key.
	runs map[string]int
	// firstRunAt is the time of the first run of each at-most-once request, by key and
	// body.
	firstRunAt map[string]time.Duration
	// ranRequestIDs holds the request IDs that have an attempt that ran.
	ranRequestIDs map[string]bool
	// engineCrashes counts the engine crashes that each request caused, by key.
	engineCrashes map[string]int
	// openResumes counts the resumed streams that each router serves.
	openResumes map[string]int
	// resumeCount is the number of resumptions by callers.
	resumeCount int
	violations  []Violation
	// firstRequests holds, for each router, the first request of its current run that
	// may run more than once.
	firstRequests map[string]*firstRequest
}

// firstRequest is the first request of a router's run that may run more than once.
type firstRequest struct {
	submission      *submission
	routerRunNumber int
	arrivedAt       time.Duration
	dispatched      bool
}

// Violation is one violation of an invariant.
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

// recordRun records that an endpoint started an attempt.
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

// checkCacheReuse checks invariantCacheIsolation for a reused cache block.
func (h *history) checkCacheReuse(req *request, e *engine, c cachedBlock) {
	if c.team != req.team || c.weightsVersion != e.weightsVersion || c.incarnation != e.incarnation {
		h.addViolation(invariantCacheIsolation, "%s of team %s on engine %d with weights %s reused a block of team %s, engine %d, weights %s",
			req.key, req.team, e.incarnation, e.weightsVersion, c.team, c.incarnation, c.weightsVersion)
	}
}

func (h *history) recordEngineCrash(req *request) { h.engineCrashes[req.key]++ }

func (h *history) recordRequestID(id string, sub *submission) {
	sub.requestIDs = append(sub.requestIDs, id)
}

func (h *history) addOpenResumes(r *router, delta int) { h.openResumes[r.name] += delta }

// codeShuttingDown is the code of a refusal by a router that is shutting down.
const codeShuttingDown attempt.Code = "shutting_down"

// maxFirstDispatchDelay is the time within which a router must dispatch the first
// request of its run.
const maxFirstDispatchDelay = 100 * time.Millisecond

// recordArrival records that a submission reached a router. At-most-once requests are
// not timed; they need a claim in the ledger before they are dispatched.
func (h *history) recordArrival(r *router, sub *submission) {
	if f := h.firstRequests[r.name]; !sub.request.atMostOnce && !r.stopping && (f == nil || f.routerRunNumber != r.runNumber) {
		h.firstRequests[r.name] = &firstRequest{submission: sub, routerRunNumber: r.runNumber, arrivedAt: h.cluster.sim.now}
	}
}

// checkFirstDispatch checks invariantFastRestart when a router dispatches a request.
func (h *history) checkFirstDispatch(r *router, req *routerRequest) {
	first := h.firstRequests[r.name]
	if first == nil || first.submission != req.submission || first.dispatched || first.routerRunNumber != r.runNumber {
		return
	}
	first.dispatched = true
	waited := h.cluster.sim.now - first.arrivedAt
	if waited > maxFirstDispatchDelay && r.pausedUntil < first.arrivedAt {
		h.addViolation(invariantFastRestart, "router %s dispatched its first request after %v", r.name, waited)
	}
}

// checkGracefulStop checks invariantGracefulStop when a process has stopped.
func (h *history) checkGracefulStop(name string, open []string) {
	if len(open) > 0 {
		h.addViolation(invariantGracefulStop, "%s stopped with open work %v", name, open)
	}
}

// Summary counts the submissions of one simulation by outcome, and the violations.
type Summary struct {
	Submissions, Done, NotRun, Unknown, BrokenConnections                       int
	RanTwice, FalseDone, IncompleteOutput, ForeignOutput, FalseNotRun, NoAnswer int
	MaxCrashes                                                                  int
}

// check compares what callers received with what endpoints ran.
func (h *history) check() ([]Violation, Summary) {
	var summary Summary
	for _, key := range sortedKeys(h.atMostOnceRuns) {
		if n := h.atMostOnceRuns[key]; n > 1 {
			summary.RanTwice++
			h.addViolation(invariantAtMostOnce, "%s ran %d times", key, n)
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
		h.addViolation(invariantAnswered, "%s copy %d at %s received no outcome", sub.request.key, sub.copyNumber, sub.router)
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

// checkOutput checks invariantCompleteOutput and invariantOwnOutput: every token
// belongs to the caller's request and is in order.
func (h *history) checkOutput(sub *submission, summary *Summary) {
	for i, t := range sub.receivedTokens {
		if t == sub.request.expectedToken(i) {
			continue
		}
		if strings.HasPrefix(t, sub.request.key+"#") {
			summary.IncompleteOutput++
			h.addViolation(invariantCompleteOutput, "%s received token %s at offset %d", sub.request.key, t, i)
		} else {
			summary.ForeignOutput++
			h.addViolation(invariantOwnOutput, "%s received token %s at offset %d", sub.request.key, t, i)
		}
		return
	}
}

// checkDone checks that a request that was reported as done ran and has its complete
// output.
func (h *history) checkDone(sub *submission, summary *Summary) {
	if !sub.request.atMostOnce {
		if len(sub.receivedTokens) != sub.request.outputTokens {
			summary.IncompleteOutput++
			h.addViolation(invariantCompleteOutput, "%s was reported as done after %d of %d tokens", sub.request.key, len(sub.receivedTokens), sub.request.outputTokens)
		}
		return
	}
	switch {
	case h.atMostOnceRuns[sub.request.keyAndBody()] == 0:
		summary.FalseDone++
		h.addViolation(invariantTrueDone, "%s was reported as done, but did not run", sub.request.key)
	case sub.answer == "":
		summary.IncompleteOutput++
		h.addViolation(invariantCompleteOutput, "%s was reported as done without its answer", sub.request.key)
	case sub.answer != sub.request.expectedAnswer():
		summary.ForeignOutput++
		h.addViolation(invariantOwnOutput, "%s received the wrong answer %.40s", sub.request.key, sub.answer)
	}
}

// checkNotRun checks invariantTrueNotRun: neither the submission itself nor an earlier
// copy of the same request may have run.
func (h *history) checkNotRun(sub *submission, summary *Summary) {
	for _, id := range sub.requestIDs {
		if h.ranRequestIDs[id] {
			summary.FalseNotRun++
			h.addViolation(invariantTrueNotRun, "%s copy %d (%s) was reported as not run, but ran", sub.request.key, sub.copyNumber, id)
			return
		}
	}
	ranEarlier := sub.request.atMostOnce && h.atMostOnceRuns[sub.request.keyAndBody()] > 0 && h.firstRunAt[sub.request.keyAndBody()] < sub.submittedAt
	if ranEarlier {
		summary.FalseNotRun++
		h.addViolation(invariantTrueNotRun, "%s copy %d was refused with code %s and reported as not run, but an earlier copy ran", sub.request.key, sub.copyNumber, sub.code)
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
