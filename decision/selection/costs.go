package selection

import "time"

// SetCostAware turns cost-aware selection on or off.
func (s *Selector) SetCostAware(on bool) {
	if s.cfg.CostAware == on {
		return
	}
	s.cfg.CostAware = on
	clear(s.pools)
	if on {
		return
	}
	clear(s.work)
	s.UpdateSpeeds(func(string) float64 { return 0 })
}

// newestSpeedWeight is the weight of the newest speed in the average, which so follows some
// seconds: an engine that is slow for half a second keeps its place in the partition.
const newestSpeedWeight = 0.05

// UpdateSpeeds sets the speeds of all endpoints relative to the median endpoint of their
// service, 0 where unknown. It is called several times a second.
func (s *Selector) UpdateSpeeds(speed func(endpointID string) float64) {
	s.fastest = 1
	for id, st := range s.endpoints {
		st.setSpeed(speed(id))
		s.fastest = max(s.fastest, st.speed)
	}
}

func (st *endpointState) setSpeed(speed float64) {
	st.speed = 0
	if speed <= 0 {
		return
	}
	st.speed = min(max(speed, minSpeed), maxSpeed)
	if st.averageSpeed == 0 {
		st.averageSpeed = 1
	}
	st.averageSpeed += newestSpeedWeight * (st.speed - st.averageSpeed)
}

// minSpeed and maxSpeed bound the speeds that are applied. Endpoints of one service differ
// less; an estimate beyond is of an engine that was busy with prompts.
const minSpeed, maxSpeed = 0.4, 2

// relativeSpeed is the endpoint's speed, 1 if it is unknown.
func (st *endpointState) relativeSpeed() float64 {
	if st.speed <= 0 {
		return 1
	}
	return st.speed
}

// atSpeed returns the time in which the endpoint does what takes the median endpoint d.
func (st *endpointState) atSpeed(d time.Duration) time.Duration {
	if st.speed <= 0 {
		return d
	}
	return time.Duration(float64(d) / st.speed)
}

// kvTokensOf is the KV memory that the request is expected to need at its end, in tokens. Shared parts count
// in full: the engine cannot evict them while the request runs.
func (s *Selector) kvTokensOf(r *Request) int {
	if !s.costAware(r) {
		return 0
	}
	return r.Prompt.Tokens + r.OutputTokens
}

// missingMemory is the KV memory, in tokens, that the endpoint lacks for the request, or 0.
func (d *decision) missingMemory(st *endpointState) int {
	if d.kvTokens == 0 || d.pool.kvCapacity == 0 {
		return 0
	}
	return max(0, st.kvTokens+st.remoteKVTokens+d.kvTokens-d.pool.kvCapacity)
}

// waitForMemory is the expected time until the endpoint has KV memory for the request. What
// is in use becomes free evenly over the time for which requests occupy a slot.
func (d *decision) waitForMemory(c *candidate) time.Duration {
	missing, used := d.missingMemory(c.state), c.state.kvTokens+c.state.remoteKVTokens
	if missing == 0 || used == 0 {
		return 0
	}
	return time.Duration(float64(d.slotTime(c.endpoint.Service).average) * min(1, float64(missing)/float64(used)))
}

// preemptionCost is the cost of an endpoint without KV memory for the request: it preempts
// a running one, which is computed again and pauses for about the time of a slot.
func (d *decision) preemptionCost(c *candidate) time.Duration {
	if d.missingMemory(c.state) == 0 {
		return 0
	}
	return d.slotTime(c.endpoint.Service).average
}
