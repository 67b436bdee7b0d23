// Package trace is the module "trace": a bounded in-memory record of a router's
// decisions on recent requests, for "arbutusctl explain".
package trace

import (
	"sync"
	"time"

	"github.com/arbutusline/arbutusline"
	"github.com/arbutusline/arbutusline/api/arbutuspb"
)

// Name is the name of the module.
const Name = "trace"

const maxStepsPerRequest = 64

func init() {
	arbutusline.Register(func() arbutusline.Module { return &Trace{MaxRequests: 20000} })
}

// Trace keeps the records of the most recent requests.
type Trace struct {
	// MaxRequests is the number of most recent requests to keep. Default 20000.
	MaxRequests int `json:"requests"`

	mu            sync.Mutex
	byID          map[string]*RequestTrace
	idRing        []string
	nextRingIndex int
}

// RequestTrace is the record of the decisions on one request.
type RequestTrace struct {
	trace     *Trace
	startTime time.Time
	id        string
	team      string
	outcome   string
	steps     []*arbutuspb.ExplainStep
}

// ModuleName returns "trace".
func (t *Trace) ModuleName() string { return Name }

// Provision allocates the ring buffer of request ids.
func (t *Trace) Provision(*arbutusline.Kernel) error {
	t.byID = map[string]*RequestTrace{}
	t.idRing = make([]string, max(t.MaxRequests, 1))
	return nil
}

// Begin starts the record of a request. If MaxRequests records exist, it drops the
// oldest one.
func (t *Trace) Begin(id, team string) *RequestTrace {
	r := &RequestTrace{trace: t, startTime: time.Now(), id: id, team: team}
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byID, t.idRing[t.nextRingIndex])
	t.idRing[t.nextRingIndex] = id
	t.nextRingIndex = (t.nextRingIndex + 1) % len(t.idRing)
	t.byID[id] = r
	return r
}

// AddStep adds a step to the record and sets its time. It ignores steps beyond
// maxStepsPerRequest.
func (r *RequestTrace) AddStep(step *arbutuspb.ExplainStep) {
	r.trace.mu.Lock()
	defer r.trace.mu.Unlock()
	if len(r.steps) >= maxStepsPerRequest {
		return
	}
	step.AtMs = time.Since(r.startTime).Milliseconds()
	r.steps = append(r.steps, step)
}

// SetOutcome sets the outcome of the request.
func (r *RequestTrace) SetOutcome(outcome string) {
	r.trace.mu.Lock()
	defer r.trace.mu.Unlock()
	r.outcome = outcome
}

// Explain returns the record of a request; Found is false if there is none. The id must
// not have the suffix "@ENDPOINT" that callers see.
func (t *Trace) Explain(id string) *arbutuspb.ExplainResponse {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.byID[id]
	if !ok {
		return &arbutuspb.ExplainResponse{RequestId: id}
	}
	return &arbutuspb.ExplainResponse{
		Found: true, RequestId: r.id, Team: r.team, Outcome: r.outcome,
		Steps: append([]*arbutuspb.ExplainStep(nil), r.steps...),
	}
}
