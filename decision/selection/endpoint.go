package selection

import (
	"time"

	"github.com/arbutusline/arbutusline/fleet"
)

const (
	// newestOutcomeWeight is the weight of the newest outcome in the failure rate,
	// an exponential moving average.
	newestOutcomeWeight = 0.2
	// minSuspension and maxSuspension bound the time for which an endpoint gets no
	// requests after failures. The time doubles with each consecutive suspension.
	minSuspension = 400 * time.Millisecond
	maxSuspension = 4 * time.Second
	// failuresToSuspend is the number of consecutive incomplete responses after which
	// an endpoint is suspended.
	failuresToSuspend = 2
	// maxWeightsChangeTime is the maximum time for which an announced weights change
	// keeps requests away from an endpoint.
	maxWeightsChangeTime = 6 * time.Second
	// maxRequestsPerSlot is the maximum number of requests at an endpoint for each of
	// its slots; those beyond the slots wait in its queue.
	maxRequestsPerSlot = 2
	// refusalBackoff is how long an endpoint that refused a request gets no further
	// requests. In this time the engine runs several steps, which shorten its queue.
	refusalBackoff = 100 * time.Millisecond
)

// endpointState is what the router has observed of an endpoint.
type endpointState struct {
	id string
	// running and longRunning count this router's requests at the endpoint, and
	// pendingPrefillTokens their prompt tokens that are not computed yet. The remote
	// fields count those of all other routers.
	running, pendingPrefillTokens, longRunning                   int
	remoteRunning, remotePendingPrefillTokens, remoteLongRunning int
	// speed is the speed relative to the median endpoint of the service, and averageSpeed its
	// moving average. Both are 0 while unknown.
	speed, averageSpeed float64
	// light is true if the endpoint is in the light partition.
	light bool
	// kvTokens is the KV memory that this router's requests need at most, and
	// remoteKVTokens that of all other routers, for requests to which cost-aware selection applies.
	kvTokens, remoteKVTokens int
	// failureRate is the moving average of failed requests, from 0 to 1.
	failureRate         float64
	consecutiveFailures int
	// suspensions counts the suspensions since the last good response.
	suspensions    int
	suspendedUntil time.Duration
	// unresponsive is true if the endpoint did not respond to the last request that
	// failed.
	unresponsive bool
	// trialRunning is true while a request tests the endpoint after a suspension.
	trialRunning bool
	// weightsChange is the weights change that the endpoint prepares or makes.
	weightsChange       weightsChange
	refusalBackoffUntil time.Duration
	// coverage is what the endpoint holds of the prompt in the decision with the
	// number coverageDecision.
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

// weightsChange is a change of the weights version of a model at an endpoint.
type weightsChange struct {
	model   string
	version uint64
	// Until longBlockedUntil the endpoint gets no long requests, and until
	// blockedUntil none at all. Both end when it has loaded the version.
	longBlockedUntil, blockedUntil time.Duration
}

func (st *endpointState) changingWeights(now time.Duration, e *fleet.Endpoint) bool {
	return now < st.weightsChange.blockedUntil && e.WeightsVersions[st.weightsChange.model] < st.weightsChange.version
}

func (st *endpointState) changingWeightsSoon(now time.Duration, e *fleet.Endpoint) bool {
	return now < st.weightsChange.longBlockedUntil && e.WeightsVersions[st.weightsChange.model] < st.weightsChange.version
}

// usableAsLastResort reports whether a suspended endpoint may be used when no other
// one is left. It must have responded to the last failed request, and no trial request
// may be running.
func (st *endpointState) usableAsLastResort() bool { return !st.unresponsive && !st.trialRunning }

// healthAllows reports whether the endpoint's failures allow a request. After a
// suspension, the endpoint gets one trial request at a time. During the first
// maxSuspension, the trial request must be repeatable.
func (st *endpointState) healthAllows(now time.Duration, repeatable bool) bool {
	if st.suspensions == 0 {
		return true
	}
	return now >= st.suspendedUntil && !st.trialRunning && (repeatable || now >= st.suspendedUntil+maxSuspension)
}

func (st *endpointState) full(e *fleet.Endpoint) bool {
	return st.running+st.remoteRunning >= e.Slots*maxRequestsPerSlot
}

func (st *endpointState) hasFreeSlot(e *fleet.Endpoint) bool {
	return st.running+st.remoteRunning < e.Slots
}

// ObserveStarted records that a request was sent to the chosen endpoint.
func (s *Selector) ObserveStarted(now time.Duration, r *Request, c Choice) {
	s.throttle.Take(now, c.Endpoint.ID)
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
	st.pendingPrefillTokens += r.Prompt.Tokens - c.CachedTokens
	st.kvTokens += c.KVTokens
	if s.isHeavy(r) {
		s.observeHeavyWork(now, r, c)
	}
	for _, key := range partKeys(r.CacheNamespace, r.Prompt) {
		if s.partIndex.recordUse(key, c.Endpoint.ID, c.WeightsVersion, now) {
			s.partIndex.queueUpdate(holderUpdate{key, c.Endpoint.ID, c.WeightsVersion, false})
		}
	}
}

// ObservePrefillEnded records that the prompt of a request was computed, or that the
// request ended before that.
func (s *Selector) ObservePrefillEnded(r *Request, c Choice, computed bool) {
	if r.Prompt == nil {
		return
	}
	st := s.endpointState(c.Endpoint.ID)
	st.pendingPrefillTokens = max(0, st.pendingPrefillTokens-(r.Prompt.Tokens-c.CachedTokens))
	if !computed {
		return
	}
	for _, key := range partKeys(r.CacheNamespace, r.Prompt) {
		s.partIndex.markComputed(key, c.Endpoint.ID, c.WeightsVersion)
	}
}

// TakeNewParts returns the parts that endpoints have computed or begun to compute for
// this router since the last call.
func (s *Selector) TakeNewParts() []CachedParts {
	var out []CachedParts
	positions := map[string]int{}
	for _, u := range s.partIndex.updates {
		i, ok := positions[u.endpointID]
		if !ok || out[i].WeightsVersion != u.weightsVersion || out[i].Computed != u.computed {
			i = len(out)
			positions[u.endpointID] = i
			out = append(out, CachedParts{EndpointID: u.endpointID, WeightsVersion: u.weightsVersion, Computed: u.computed})
		}
		out[i].Keys = append(out[i].Keys, u.partKey)
	}
	s.partIndex.updates = nil
	return out
}

// ObserveCacheEvent records how much of a part an engine's cache holds, as reported by
// the engine.
func (s *Selector) ObserveCacheEvent(now time.Duration, endpointID string, key, weightsVersion uint64, tokens int) {
	s.partIndex.applyCacheEvent(now, key, endpointID, weightsVersion, tokens)
}

// ObserveCacheCleared records that an endpoint's cache is empty after a restart.
func (s *Selector) ObserveCacheCleared(endpointID string) { s.partIndex.removeEndpoint(endpointID) }

// ObserveRemoteParts records the parts that endpoints have computed or begun to compute
// for another router.
func (s *Selector) ObserveRemoteParts(now time.Duration, parts []CachedParts) {
	for _, p := range parts {
		for _, key := range p.Keys {
			s.partIndex.recordUse(key, p.EndpointID, p.WeightsVersion, now)
			if p.Computed {
				s.partIndex.findHolder(key, p.EndpointID, p.WeightsVersion).computed = true
			}
		}
	}
}

// Outcome is the result of a request at an endpoint, as far as it tells about the
// endpoint's health.
type Outcome int

// Outcomes.
const (
	// OutcomeGood is a usable response.
	OutcomeGood Outcome = iota
	// OutcomeNeutral tells nothing about the endpoint's health, for example if the
	// caller disconnected.
	OutcomeNeutral
	// OutcomeRefused means that the endpoint did not run the request because of
	// its load or a weights change.
	OutcomeRefused
	// OutcomeErrorResponse is a complete response that reports an error of the
	// endpoint. Healthy services also answer some requests this way.
	OutcomeErrorResponse
	// OutcomeIncompleteResponse is an incomplete or invalid response.
	OutcomeIncompleteResponse
	// OutcomeNoResponse means that the endpoint could not be reached or did not
	// respond.
	OutcomeNoResponse
)

// SuspensionChange is how the end of a request changes the suspension of its endpoint.
type SuspensionChange int

// Suspension changes.
const (
	SuspensionUnchanged SuspensionChange = iota
	// SuspensionStarted means that the endpoint gets no requests for some time.
	SuspensionStarted
	// SuspensionEnded means that the endpoint is used like all others again.
	SuspensionEnded
)

// ObserveEnded records the end of a request. Call it after ObservePrefillEnded.
func (s *Selector) ObserveEnded(now time.Duration, r *Request, c Choice, o Outcome) SuspensionChange {
	st := s.endpointState(c.Endpoint.ID)
	st.running = max(0, st.running-1)
	st.kvTokens = max(0, st.kvTokens-c.KVTokens)
	if r.IsLong() {
		st.longRunning = max(0, st.longRunning-1)
	}
	suspensionsBefore := st.suspensions
	st.trialRunning = false
	switch o {
	case OutcomeGood:
		if r.Prompt != nil {
			s.slotTime(c.Endpoint.Service).observe(now - c.SelectedAt - c.Wait)
		}
		st.failureRate *= 1 - newestOutcomeWeight
		st.consecutiveFailures, st.suspensions = 0, 0
	case OutcomeRefused:
		st.refusalBackoffUntil = now + refusalBackoff
	case OutcomeErrorResponse:
		st.failureRate += (1 - st.failureRate) * newestOutcomeWeight
	case OutcomeIncompleteResponse, OutcomeNoResponse:
		st.observeFailure(now, o)
	}
	switch {
	case st.suspensions > suspensionsBefore:
		return SuspensionStarted
	case st.suspensions < suspensionsBefore:
		return SuspensionEnded
	}
	return SuspensionUnchanged
}

// ObserveSilence records that a request, which goes on, has got nothing from an endpoint for too
// long. The endpoint gets no further ones for some time.
func (s *Selector) ObserveSilence(now time.Duration, endpointID string) {
	st := s.endpointState(endpointID)
	st.observeFailure(now, OutcomeNoResponse)
}

// observeFailure records an outcome that counts against the endpoint.
func (st *endpointState) observeFailure(now time.Duration, o Outcome) {
	st.unresponsive = o == OutcomeNoResponse
	st.failureRate += (1 - st.failureRate) * newestOutcomeWeight
	st.consecutiveFailures++
	if o == OutcomeNoResponse || st.consecutiveFailures >= failuresToSuspend {
		st.suspend(now)
	}
}

// Health describes an endpoint's failures.
type Health struct {
	// FailureRate is the moving average of failed requests, from 0 to 1.
	FailureRate float64
	// Suspensions counts the suspensions since the last good response.
	Suspensions int
	// SuspendedFor is how much longer the endpoint gets no requests.
	SuspendedFor time.Duration
}

// Health returns the state of the endpoint's failures.
func (s *Selector) Health(now time.Duration, endpointID string) Health {
	st := s.endpointState(endpointID)
	return Health{FailureRate: st.failureRate, Suspensions: st.suspensions, SuspendedFor: max(0, st.suspendedUntil-now)}
}

func (st *endpointState) suspend(now time.Duration) {
	if now < st.suspendedUntil {
		return
	}
	st.suspendedUntil = now + min(maxSuspension, minSuspension<<min(st.suspensions, 8))
	st.suspensions++
}

// ObserveWeightsChangeStarted records that an endpoint is about to change its weights,
// and reports whether the change was unknown. The endpoint gets no requests until it
// has loaded the version, or for maxWeightsChangeTime.
func (s *Selector) ObserveWeightsChangeStarted(now time.Duration, endpointID, model string, version uint64) bool {
	st := s.endpointState(endpointID)
	if st.weightsChange.version == version && now < st.weightsChange.blockedUntil {
		return false
	}
	st.weightsChange = weightsChange{model: model, version: version, blockedUntil: now + maxWeightsChangeTime}
	return true
}

// RunningRequests returns the number of requests of all routers at an endpoint.
func (s *Selector) RunningRequests(endpointID string) int {
	st := s.endpointState(endpointID)
	return st.running + st.remoteRunning
}

// ObserveWeightsChangeSoon records that an endpoint is the next to change its weights,
// and reports whether the change was unknown. The endpoint gets no long requests until
// it has loaded the version, or for maxWeightsChangeTime.
func (s *Selector) ObserveWeightsChangeSoon(now time.Duration, endpointID, model string, version uint64) bool {
	st := s.endpointState(endpointID)
	if st.weightsChange.version == version && (now < st.weightsChange.longBlockedUntil || now < st.weightsChange.blockedUntil) {
		return false
	}
	st.weightsChange = weightsChange{model: model, version: version, longBlockedUntil: now + maxWeightsChangeTime}
	return true
}

// LongRunningRequests returns the number of long requests of all routers at an
// endpoint.
func (s *Selector) LongRunningRequests(endpointID string) int {
	st := s.endpointState(endpointID)
	return st.longRunning + st.remoteLongRunning
}

// ObserveWeightsChangeDone records that an endpoint has changed its weights, and
// forgets the parts that it held under older versions. Further calls for the same
// change have no effect.
func (s *Selector) ObserveWeightsChangeDone(endpointID string) {
	st := s.endpoints[endpointID]
	if st == nil || st.weightsChange.version == 0 {
		return
	}
	s.partIndex.removeOlderVersions(endpointID, st.weightsChange.version)
	st.weightsChange = weightsChange{}
}

// EndpointLoad is the work that a router has at an endpoint.
type EndpointLoad struct {
	EndpointID string
	Running    int
	// PendingPrefillTokens is the number of prompt tokens that the endpoint still has
	// to compute.
	PendingPrefillTokens int
	// LongRunning is the number of running requests that may take seconds.
	LongRunning int
	// KVTokens is the maximum KV memory, in tokens, that the running requests will need.
	KVTokens int
	// Speed is the router's estimate of the endpoint's speed, 1 being the median of its
	// service, from SpeedSamples observations. Both are 0 if it is unknown.
	Speed        float64
	SpeedSamples int
}

// Loads returns this router's own work at each endpoint.
func (s *Selector) Loads() []EndpointLoad {
	var out []EndpointLoad
	for id, st := range s.endpoints {
		if st.running > 0 {
			out = append(out, EndpointLoad{EndpointID: id, Running: st.running, PendingPrefillTokens: st.pendingPrefillTokens, LongRunning: st.longRunning, KVTokens: st.kvTokens})
		}
	}
	return out
}

// ReplaceRemoteLoads replaces the work that another router reported before by the work
// that it reports now. The cost does not depend on the number of routers.
func (s *Selector) ReplaceRemoteLoads(before, now []EndpointLoad) {
	for _, l := range before {
		if st := s.endpoints[l.EndpointID]; st != nil {
			st.remoteRunning = max(0, st.remoteRunning-l.Running)
			st.remotePendingPrefillTokens = max(0, st.remotePendingPrefillTokens-l.PendingPrefillTokens)
			st.remoteLongRunning = max(0, st.remoteLongRunning-l.LongRunning)
			st.remoteKVTokens = max(0, st.remoteKVTokens-l.KVTokens)
		}
	}
	for _, l := range now {
		st := s.endpointState(l.EndpointID)
		st.remoteRunning += l.Running
		st.remotePendingPrefillTokens += l.PendingPrefillTokens
		st.remoteLongRunning += l.LongRunning
		st.remoteKVTokens += l.KVTokens
	}
}

// ForgetRemovedEndpoints removes the state of endpoints that are not in the view and
// have no running request of this router.
func (s *Selector) ForgetRemovedEndpoints(v *fleet.View) {
	// The pools of earlier views are no longer needed.
	clear(s.pools)
	s.throttle.Forget(func(id string) bool { return v.EndpointsByID[id] != nil })
	for id, st := range s.endpoints {
		if v.EndpointsByID[id] != nil || st.running > 0 {
			continue
		}
		s.partIndex.removeEndpoint(id)
		// The state is kept until the other routers have taken back the work that they
		// reported for it.
		if st.remoteRunning == 0 && st.remotePendingPrefillTokens == 0 {
			delete(s.endpoints, id)
		}
	}
}
