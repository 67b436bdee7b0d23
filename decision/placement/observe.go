package placement

import (
	"time"

	"github.com/arbutusline/arbutusline/decision/prefix"
)

// ObserveLoad stores the newest load report of an endpoint.
func (p *Placer) ObserveLoad(now time.Duration, name string, load Load) {
	id, ok := p.endpointIDs[name]
	if !ok {
		return
	}
	e := &p.endpoints[id]
	if e.loadAt != 0 && e.load.Incarnation != load.Incarnation {
		e.cacheClearedAt = indexTime(now)
	}
	if e.loadAt == 0 {
		e.meanWaitMS = load.QueueWaitMS
	}
	e.meanWaitMS += (load.QueueWaitMS - e.meanWaitMS) / 4
	p.meanWaitMS += (load.QueueWaitMS - p.meanWaitMS) / meanWaitReports
	e.load, e.loadAt = load, max(now, 1)
	e.consecutiveFailures, e.suspendedUntil = 0, 0
}

// ObserveAdmitted records that an endpoint admitted a request and how many
// prompt tokens its cache held. The whole prompt is cached there afterwards.
func (p *Placer) ObserveAdmitted(now time.Duration, name string, r *Request, _ int) {
	p.updateHolders(now, name, r, len(r.BlockHashes), true)
}

// ObserveRefused records that an endpoint refused a request, how many prompt
// tokens its cache holds, and the wait in ms that it expected.
func (p *Placer) ObserveRefused(now time.Duration, name string, r *Request, cachedTokens int, waitMS float64) {
	p.updateHolders(now, name, r, cachedTokens/prefix.TokensPerBlock, false)
	if id, ok := p.endpointIDs[name]; ok {
		e := &p.endpoints[id]
		e.load.QueueWaitMS, e.loadAt = waitMS, max(now, 1)
	}
}

// learn confirms an endpoint as holder down to depth blocks and drops it below.
func (p *Placer) updateHolders(now time.Duration, name string, r *Request, cachedBlocks int, countRequest bool) {
	id, ok := p.endpointIDs[name]
	if !ok {
		return
	}
	ms := indexTime(now)
	for d := 1; d <= len(r.BlockHashes); d = nextIndexedDepth(d) {
		if d > cachedBlocks {
			if e := p.index.find(r.BlockHashes[d-1]); e != nil {
				e.removeHolder(id)
			}
			continue
		}
		e := p.index.findOrCreate(r.BlockHashes[d-1], ms)
		if countRequest && e.requestCount < 1<<15 {
			e.requestCount++
		}
		e.addHolder(id, ms, p.holderLifetimeMS)
	}
}

// ObserveFailure records that an attempt at the endpoint failed.
func (p *Placer) ObserveFailure(now time.Duration, name string) {
	id, ok := p.endpointIDs[name]
	if !ok {
		return
	}
	e := &p.endpoints[id]
	e.suspendedUntil = now + min(minSuspension<<min(e.consecutiveFailures, 8), maxSuspension)
	e.consecutiveFailures++
}
