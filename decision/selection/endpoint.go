package selection

import (
	"time"

	"github.com/arbutusline/arbutusline/fleet"
)

const (
	// failureWeight is the weight of the newest outcome in the failure rate.
	failureWeight = 0.2
	// suspendFirst and suspendMost bound the time for which an endpoint that
	// failed gets no requests; it doubles with each failure in a row.
	suspendFirst = 400 * time.Millisecond
	suspendMost  = 4 * time.Second
	// suspendAfter is the number of failures in a row that suspend an endpoint.
	suspendAfter = 2
	// maxSwap is the longest time for which an announced change of weights
	// keeps requests away.
	maxSwap = 6 * time.Second
	// queueShare is the part of an endpoint's slots that may wait beyond them.
	queueShare = 2
	// refusedPause is how long an endpoint that refused a request gets no other
	// one; a queue moves on within some steps.
	refusedPause = 100 * time.Millisecond
)

// endpointState is what a router observes of an endpoint.
type endpointState struct {
	id string
	// running and unread are the requests and unread prompt tokens that this
	// router has there; the remote ones are those of other routers.
	running, unread, long                   int
	remoteRunning, remoteUnread, remoteLong int
	// failure is the weighted share of failed requests.
	failure     float64
	inRow       int
	suspensions int
	until       time.Duration
	// dead means that the last failure was an endpoint that did not answer.
	dead  bool
	trial bool
	// swap is the change of weights that the endpoint prepares for or makes.
	swap      swap
	busyUntil time.Duration
	// cover is what the endpoint holds of the prompt of the choice coverChoice.
	cover       coverage
	coverChoice uint64
}

func (s *Selector) endpoint(id string) *endpointState {
	st := s.state[id]
	if st == nil {
		st = &endpointState{id: id}
		s.state[id] = st
	}
	return st
}

// swap is a change of weights.
type swap struct {
	model   string
	version uint64
	// soonUntil and nowUntil are how long the endpoint takes no long requests
	// and no requests, unless it has the version before.
	soonUntil, nowUntil time.Duration
}

func (st *endpointState) swapping(now time.Duration, e *fleet.Endpoint) bool {
	return now < st.swap.nowUntil && e.Weights[st.swap.model] < st.swap.version
}

func (st *endpointState) swapsSoon(now time.Duration, e *fleet.Endpoint) bool {
	return now < st.swap.soonUntil && e.Weights[st.swap.model] < st.swap.version
}

// lastResort reports whether a suspended endpoint may be used because no other
// one is left: it answered, if badly.
func (st *endpointState) lastResort() bool { return !st.dead && !st.trial }

// admits reports whether an endpoint that failed may be used: after its
// suspension one request at a time tries it, for some seconds only one that may
// be repeated.
func (st *endpointState) admits(now time.Duration, repeatable bool) bool {
	if st.suspensions == 0 {
		return true
	}
	return now >= st.until && !st.trial && (repeatable || now >= st.until+suspendMost)
}

func (st *endpointState) full(e *fleet.Endpoint) bool {
	return st.running+st.remoteRunning >= e.Slots*queueShare
}

// Started records that a request was sent to the chosen endpoint.
func (s *Selector) Started(now time.Duration, r *Request, c Choice) {
	st := s.endpoint(c.Endpoint.ID)
	st.running++
	if r.Long() {
		st.long++
	}
	if st.suspensions > 0 {
		st.trial = true
	}
	if r.Prompt == nil {
		return
	}
	st.unread += r.Prompt.InputTokens - c.CachedTokens
	for _, key := range partKeys(r.Namespace, r.Prompt) {
		if s.parts.used(key, c.Endpoint.ID, c.Weights, now) {
			s.parts.tell(news{key, c.Endpoint.ID, c.Weights, false})
		}
	}
}

// FirstEvent records that the prompt of a request was read, or that the request
// ended before.
func (s *Selector) FirstEvent(r *Request, c Choice, read bool) {
	if r.Prompt == nil {
		return
	}
	st := s.endpoint(c.Endpoint.ID)
	st.unread = max(0, st.unread-(r.Prompt.InputTokens-c.CachedTokens))
	if !read {
		return
	}
	for _, key := range partKeys(r.Namespace, r.Prompt) {
		s.parts.finished(key, c.Endpoint.ID, c.Weights)
	}
}

// NewParts returns the parts that endpoints have read or begun to read for this
// router since the last call.
func (s *Selector) NewParts() []Held {
	var out []Held
	index := map[string]int{}
	for _, n := range s.parts.fresh {
		i, ok := index[n.endpoint]
		if !ok || out[i].Weights != n.weights || out[i].Read != n.read {
			i = len(out)
			index[n.endpoint] = i
			out = append(out, Held{Endpoint: n.endpoint, Weights: n.weights, Read: n.read})
		}
		out[i].Keys = append(out[i].Keys, n.key)
	}
	s.parts.fresh = nil
	return out
}

// CacheEvent takes an engine's own word for what it holds of a part.
func (s *Selector) CacheEvent(now time.Duration, endpoint string, key, weights uint64, tokens int) {
	s.parts.event(now, key, endpoint, weights, tokens)
}

// CacheCleared forgets what an endpoint held, after it started again.
func (s *Selector) CacheCleared(endpoint string) { s.parts.drop(endpoint) }

// RemoteParts takes the parts that endpoints have read for another router.
func (s *Selector) RemoteParts(now time.Duration, held []Held) {
	for _, h := range held {
		for _, key := range h.Keys {
			s.parts.used(key, h.Endpoint, h.Weights, now)
			if h.Read {
				s.parts.find(key, h.Endpoint, h.Weights).read = true
			}
		}
	}
}

// Outcome is how a request at an endpoint ended.
type Outcome int

// Outcomes of a request at an endpoint.
const (
	// Good is a usable answer.
	Good Outcome = iota
	// Neutral says nothing of the endpoint's health, such as a caller that
	// left.
	Neutral
	// Refused means that the endpoint did not run the request for its load or
	// for a change of weights.
	Refused
	// Error is a whole answer that reports an error of the endpoint. Services
	// answer some requests so while they are well.
	Error
	// Failed is a broken answer.
	Failed
	// Dead means that the endpoint could not be reached or did not answer.
	Dead
)

// Change is how the end of a request changes the use of its endpoint.
type Change int

// Changes of use.
const (
	Unchanged Change = iota
	// Suspended endpoints get no requests for some time.
	Suspended
	// Restored endpoints are used like all others again.
	Restored
)

// Ended records the end of a request, after FirstEvent.
func (s *Selector) Ended(now time.Duration, r *Request, c Choice, o Outcome) Change {
	st := s.endpoint(c.Endpoint.ID)
	st.running = max(0, st.running-1)
	if r.Long() {
		st.long = max(0, st.long-1)
	}
	before := st.suspensions
	st.trial = false
	switch o {
	case Good:
		st.failure *= 1 - failureWeight
		st.inRow, st.suspensions = 0, 0
	case Refused:
		st.busyUntil = now + refusedPause
	case Error:
		st.failure += (1 - st.failure) * failureWeight
	case Failed, Dead:
		st.dead = o == Dead
		st.failure += (1 - st.failure) * failureWeight
		st.inRow++
		if o == Dead || st.inRow >= suspendAfter {
			st.suspend(now)
		}
	}
	switch {
	case st.suspensions > before:
		return Suspended
	case st.suspensions < before:
		return Restored
	}
	return Unchanged
}

// Health is what the choice goes by of an endpoint's failures.
type Health struct {
	// FailureShare is the weighted share of failed requests, from 0 to 1.
	FailureShare float64
	// Suspensions counts the suspensions in a row.
	Suspensions int
	// SuspendedFor is the time for which the endpoint gets no requests.
	SuspendedFor time.Duration
}

// Health returns the endpoint's failures.
func (s *Selector) Health(now time.Duration, endpoint string) Health {
	st := s.endpoint(endpoint)
	return Health{FailureShare: st.failure, Suspensions: st.suspensions, SuspendedFor: max(0, st.until-now)}
}

func (st *endpointState) suspend(now time.Duration) {
	if now < st.until {
		return
	}
	st.until = now + min(suspendMost, suspendFirst<<min(st.suspensions, 8))
	st.suspensions++
}

// Swapping keeps requests away from an endpoint whose weights are about to
// change, until it has the version or a time limit. It reports whether this is
// news.
func (s *Selector) Swapping(now time.Duration, endpoint, model string, version uint64) bool {
	st := s.endpoint(endpoint)
	if st.swap.version == version && now < st.swap.nowUntil {
		return false
	}
	st.swap = swap{model: model, version: version, nowUntil: now + maxSwap}
	return true
}

// Running returns the requests that all routers have at an endpoint.
func (s *Selector) Running(endpoint string) int {
	st := s.endpoint(endpoint)
	return st.running + st.remoteRunning
}

// SwappingSoon keeps long requests away from an endpoint that changes its weights
// next. It reports whether this is news.
func (s *Selector) SwappingSoon(now time.Duration, endpoint, model string, version uint64) bool {
	st := s.endpoint(endpoint)
	if st.swap.version == version && (now < st.swap.soonUntil || now < st.swap.nowUntil) {
		return false
	}
	st.swap = swap{model: model, version: version, soonUntil: now + maxSwap}
	return true
}

// Long returns the long requests that all routers have at an endpoint.
func (s *Selector) Long(endpoint string) int {
	st := s.endpoint(endpoint)
	return st.long + st.remoteLong
}

// Swapped ends Swapping. The endpoint's cache is empty. Repeated news has no
// effect.
func (s *Selector) Swapped(endpoint string) {
	st := s.state[endpoint]
	if st == nil || st.swap.version == 0 {
		return
	}
	s.parts.dropOlder(endpoint, st.swap.version)
	st.swap = swap{}
}

// Load is the work that a router has at an endpoint.
type Load struct {
	Endpoint string
	Running  int
	Unread   int
	// Long is how many of the running requests may take seconds.
	Long int
}

// Loads returns this router's own work by endpoint.
func (s *Selector) Loads() []Load {
	var out []Load
	for id, st := range s.state {
		if st.running > 0 {
			out = append(out, Load{id, st.running, st.unread, st.long})
		}
	}
	return out
}

// RemoteLoads replaces the work of all other routers.
func (s *Selector) RemoteLoads(loads []Load) {
	for _, st := range s.state {
		st.remoteRunning, st.remoteUnread, st.remoteLong = 0, 0, 0
	}
	for _, l := range loads {
		st := s.endpoint(l.Endpoint)
		st.remoteRunning += l.Running
		st.remoteUnread += l.Unread
		st.remoteLong += l.Long
	}
}

// Keep forgets endpoints that are not in the view and have no running request.
func (s *Selector) Keep(v *fleet.View) {
	// The candidates of earlier views are not needed any more.
	clear(s.pools)
	for id, st := range s.state {
		if v.ByID[id] == nil && st.running == 0 {
			delete(s.state, id)
			s.parts.drop(id)
		}
	}
}
