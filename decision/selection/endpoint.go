package selection

import (
	"time"

	"github.com/arbutusline/arbutusline/fleet"
)

const (
	// failureWeight is the weight of the newest outcome in the failure rate.
	newestOutcomeWeight = 0.2
	// suspendFirst and suspendMost bound the time for which an endpoint that
	// failed gets no requests; it doubles with each failure in a row.
	minSuspension = 400 * time.Millisecond
	maxSuspension = 4 * time.Second
	// suspendAfter is the number of failures in a row that suspend an endpoint.
	failuresToSuspend = 2
	// maxSwap is the longest time for which an announced change of weights
	// keeps requests away.
	maxWeightsChangeTime = 6 * time.Second
	// queueShare is the part of an endpoint's slots that may wait beyond them.
	maxRequestsPerSlot = 2
	// refusedPause is how long an endpoint that refused a request gets no other
	// one; a queue moves on within some steps.
	refusalBackoff = 100 * time.Millisecond
)

// endpointState is what a router observes of an endpoint.
type endpointState struct {
	id string
	// running and unread are the requests and unread prompt tokens that this
	// router has there; the remote ones are those of other routers.
	running, pendingPrefill, longRunning                   int
	remoteRunning, remotePendingPrefill, remoteLongRunning int
	// failure is the weighted share of failed requests.
	failureRate         float64
	consecutiveFailures int
	suspensions         int
	suspendedUntil      time.Duration
	// dead means that the last failure was an endpoint that did not answer.
	unresponsive bool
	trialRunning bool
	// swap is the change of weights that the endpoint prepares for or makes.
	weightsChange       weightsChange
	refusalBackoffUntil time.Duration
	// cover is what the endpoint holds of the prompt of the choice coverChoice.
	coverage         coverage
	coverageDecision uint64
}

func (s *Selector) endpointState(id string) *endpointState {
	st := s.endpoints[id]
	if st == nil {
		st = &endpointState{id: id}
		s.endpoints[id] = st
	}
	return st
}

// swap is a change of weights.
type weightsChange struct {
	model   string
	version uint64
	// soonUntil and nowUntil are how long the endpoint takes no long requests
	// and no requests, unless it has the version before.
	longBlockedUntil, blockedUntil time.Duration
}

func (st *endpointState) changingWeights(now time.Duration, e *fleet.Endpoint) bool {
	return now < st.weightsChange.blockedUntil && e.WeightsVersions[st.weightsChange.model] < st.weightsChange.version
}

func (st *endpointState) changingWeightsSoon(now time.Duration, e *fleet.Endpoint) bool {
	return now < st.weightsChange.longBlockedUntil && e.WeightsVersions[st.weightsChange.model] < st.weightsChange.version
}

// lastResort reports whether a suspended endpoint may be used because no other
// one is left: it answered, if badly.
func (st *endpointState) usableAsLastResort() bool { return !st.unresponsive && !st.trialRunning }

// admits reports whether an endpoint that failed may be used: after its
// suspension one request at a time tries it, for some seconds only one that may
// be repeated.
func (st *endpointState) healthAllows(now time.Duration, repeatable bool) bool {
	if st.suspensions == 0 {
		return true
	}
	return now >= st.suspendedUntil && !st.trialRunning && (repeatable || now >= st.suspendedUntil+maxSuspension)
}

func (st *endpointState) full(e *fleet.Endpoint) bool {
	return st.running+st.remoteRunning >= e.Slots*maxRequestsPerSlot
}

// Started records that a request was sent to the chosen endpoint.
func (s *Selector) ObserveStarted(now time.Duration, r *Request, c Choice) {
	st := s.endpointState(c.Endpoint.ID)
	st.running++
	if r.IsLong() {
		st.longRunning++
	}
	if st.suspensions > 0 {
		st.trialRunning = true
	}
	if r.Prompt == nil {
		return
	}
	st.pendingPrefill += r.Prompt.InputTokens - c.CachedTokens
	for _, key := range partKeys(r.CacheNamespace, r.Prompt) {
		if s.partIndex.recordUse(key, c.Endpoint.ID, c.WeightsVersion, now) {
			s.partIndex.queueUpdate(holderUpdate{key, c.Endpoint.ID, c.WeightsVersion, false})
		}
	}
}

// FirstEvent records that the prompt of a request was read, or that the request
// ended before.
func (s *Selector) ObservePrefillEnded(r *Request, c Choice, computed bool) {
	if r.Prompt == nil {
		return
	}
	st := s.endpointState(c.Endpoint.ID)
	st.pendingPrefill = max(0, st.pendingPrefill-(r.Prompt.InputTokens-c.CachedTokens))
	if !computed {
		return
	}
	for _, key := range partKeys(r.CacheNamespace, r.Prompt) {
		s.partIndex.markComputed(key, c.Endpoint.ID, c.WeightsVersion)
	}
}

// NewParts returns the parts that endpoints have read or begun to read for this
// router since the last call.
func (s *Selector) TakeNewParts() []CachedParts {
	var out []CachedParts
	positions := map[string]int{}
	for _, n := range s.partIndex.updates {
		i, ok := positions[n.endpoint]
		if !ok || out[i].WeightsVersion != n.weightsVersion || out[i].Computed != n.computed {
			i = len(out)
			positions[n.endpoint] = i
			out = append(out, CachedParts{Endpoint: n.endpoint, WeightsVersion: n.weightsVersion, Computed: n.computed})
		}
		out[i].Keys = append(out[i].Keys, n.partKey)
	}
	s.partIndex.updates = nil
	return out
}

// CacheEvent takes an engine's own word for what it holds of a part.
func (s *Selector) ObserveCacheEvent(now time.Duration, endpoint string, key, weightsVersion uint64, tokens int) {
	s.partIndex.applyCacheEvent(now, key, endpoint, weightsVersion, tokens)
}

// CacheCleared forgets what an endpoint held, after it started again.
func (s *Selector) ObserveCacheCleared(endpoint string) { s.partIndex.removeEndpoint(endpoint) }

// RemoteParts takes the parts that endpoints have read for another router.
func (s *Selector) ObserveRemoteParts(now time.Duration, parts []CachedParts) {
	for _, h := range parts {
		for _, key := range h.Keys {
			s.partIndex.recordUse(key, h.Endpoint, h.WeightsVersion, now)
			if h.Computed {
				s.partIndex.findHolder(key, h.Endpoint, h.WeightsVersion).computed = true
			}
		}
	}
}

// Outcome is how a request at an endpoint ended.
type Outcome int

// Outcomes of a request at an endpoint.
const (
	// Good is a usable answer.
	OutcomeGood Outcome = iota
	// Neutral says nothing of the endpoint's health, such as a caller that
	// left.
	OutcomeNeutral
	// Refused means that the endpoint did not run the request for its load or
	// for a change of weights.
	OutcomeRefused
	// Error is a whole answer that reports an error of the endpoint. Services
	// answer some requests so while they are well.
	OutcomeErrorAnswer
	// Failed is a broken answer.
	OutcomeBrokenAnswer
	// Dead means that the endpoint could not be reached or did not answer.
	OutcomeNoAnswer
)

// Change is how the end of a request changes the use of its endpoint.
type SuspensionChange int

// Changes of use.
const (
	SuspensionUnchanged SuspensionChange = iota
	// Suspended endpoints get no requests for some time.
	SuspensionStarted
	// Restored endpoints are used like all others again.
	SuspensionEnded
)

// Ended records the end of a request, after FirstEvent.
func (s *Selector) ObserveEnded(now time.Duration, r *Request, c Choice, o Outcome) SuspensionChange {
	st := s.endpointState(c.Endpoint.ID)
	st.running = max(0, st.running-1)
	if r.IsLong() {
		st.longRunning = max(0, st.longRunning-1)
	}
	suspensionsBefore := st.suspensions
	st.trialRunning = false
	switch o {
	case OutcomeGood:
		st.failureRate *= 1 - newestOutcomeWeight
		st.consecutiveFailures, st.suspensions = 0, 0
	case OutcomeRefused:
		st.refusalBackoffUntil = now + refusalBackoff
	case OutcomeErrorAnswer:
		st.failureRate += (1 - st.failureRate) * newestOutcomeWeight
	case OutcomeBrokenAnswer, OutcomeNoAnswer:
		st.unresponsive = o == OutcomeNoAnswer
		st.failureRate += (1 - st.failureRate) * newestOutcomeWeight
		st.consecutiveFailures++
		if o == OutcomeNoAnswer || st.consecutiveFailures >= failuresToSuspend {
			st.suspend(now)
		}
	}
	switch {
	case st.suspensions > suspensionsBefore:
		return SuspensionStarted
	case st.suspensions < suspensionsBefore:
		return SuspensionEnded
	}
	return SuspensionUnchanged
}

// Health is what the choice goes by of an endpoint's failures.
type Health struct {
	// FailureShare is the weighted share of failed requests, from 0 to 1.
	FailureRate float64
	// Suspensions counts the suspensions in a row.
	Suspensions int
	// SuspendedFor is the time for which the endpoint gets no requests.
	SuspendedFor time.Duration
}

// Health returns the endpoint's failures.
func (s *Selector) Health(now time.Duration, endpoint string) Health {
	st := s.endpointState(endpoint)
	return Health{FailureRate: st.failureRate, Suspensions: st.suspensions, SuspendedFor: max(0, st.suspendedUntil-now)}
}

func (st *endpointState) suspend(now time.Duration) {
	if now < st.suspendedUntil {
		return
	}
	st.suspendedUntil = now + min(maxSuspension, minSuspension<<min(st.suspensions, 8))
	st.suspensions++
}

// Swapping keeps requests away from an endpoint whose weights are about to
// change, until it has the version or a time limit. It reports whether this is
// news.
func (s *Selector) ObserveWeightsChangeStarted(now time.Duration, endpoint, model string, version uint64) bool {
	st := s.endpointState(endpoint)
	if st.weightsChange.version == version && now < st.weightsChange.blockedUntil {
		return false
	}
	st.weightsChange = weightsChange{model: model, version: version, blockedUntil: now + maxWeightsChangeTime}
	return true
}

// Running returns the requests that all routers have at an endpoint.
func (s *Selector) RunningRequests(endpoint string) int {
	st := s.endpointState(endpoint)
	return st.running + st.remoteRunning
}

// SwappingSoon keeps long requests away from an endpoint that changes its weights
// next. It reports whether this is news.
func (s *Selector) ObserveWeightsChangeSoon(now time.Duration, endpoint, model string, version uint64) bool {
	st := s.endpointState(endpoint)
	if st.weightsChange.version == version && (now < st.weightsChange.longBlockedUntil || now < st.weightsChange.blockedUntil) {
		return false
	}
	st.weightsChange = weightsChange{model: model, version: version, longBlockedUntil: now + maxWeightsChangeTime}
	return true
}

// Long returns the long requests that all routers have at an endpoint.
func (s *Selector) LongRunningRequests(endpoint string) int {
	st := s.endpointState(endpoint)
	return st.longRunning + st.remoteLongRunning
}

// Swapped ends Swapping. The endpoint's cache is empty. Repeated news has no
// effect.
func (s *Selector) ObserveWeightsChangeDone(endpoint string) {
	st := s.endpoints[endpoint]
	if st == nil || st.weightsChange.version == 0 {
		return
	}
	s.partIndex.removeOlderVersions(endpoint, st.weightsChange.version)
	st.weightsChange = weightsChange{}
}

// Load is the work that a router has at an endpoint.
type EndpointLoad struct {
	Endpoint             string
	Running              int
	PendingPrefillTokens int
	// Long is how many of the running requests may take seconds.
	LongRunning int
}

// Loads returns this router's own work by endpoint.
func (s *Selector) Loads() []EndpointLoad {
	var out []EndpointLoad
	for id, st := range s.endpoints {
		if st.running > 0 {
			out = append(out, EndpointLoad{id, st.running, st.pendingPrefill, st.longRunning})
		}
	}
	return out
}

// RemoteLoads replaces the work of all other routers.
func (s *Selector) SetRemoteLoads(loads []EndpointLoad) {
	for _, st := range s.endpoints {
		st.remoteRunning, st.remotePendingPrefill, st.remoteLongRunning = 0, 0, 0
	}
	for _, l := range loads {
		st := s.endpointState(l.Endpoint)
		st.remoteRunning += l.Running
		st.remotePendingPrefill += l.PendingPrefillTokens
		st.remoteLongRunning += l.LongRunning
	}
}

// Keep forgets endpoints that are not in the view and have no running request.
func (s *Selector) ForgetRemovedEndpoints(v *fleet.View) {
	// The candidates of earlier views are not needed any more.
	clear(s.pools)
	for id, st := range s.endpoints {
		if v.ByID[id] == nil && st.running == 0 {
			delete(s.endpoints, id)
			s.partIndex.removeEndpoint(id)
		}
	}
}
