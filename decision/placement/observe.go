package placement

import (
	"time"

	"github.com/arbutusline/arbutusline/decision/prefix"
)

// ObserveLoad records a load report of an endpoint.
func (p *Placer) ObserveLoad(now time.Duration, name string, load Load) {
	id, ok := p.endpointIDs[name]
	if !ok {
		return
	}
	e := &p.endpoints[id]
	if e.loadAt != 0 && e.load.EngineIncarnation != load.EngineIncarnation {
		e.cacheClearedAt = indexTime(now)
	}
	if e.loadAt == 0 {
		e.meanWaitMS = load.ExpectedWaitMS
	}
	e.meanWaitMS += (load.ExpectedWaitMS - e.meanWaitMS) / 4
	p.meanWaitMS += (load.ExpectedWaitMS - p.meanWaitMS) / meanWaitReports
	e.load, e.loadAt = load, max(now, 1)
	e.consecutiveFailures, e.suspendedUntil = 0, 0
}

// ObserveAdmitted records that an endpoint admitted a request. Afterwards the endpoint
// has cached the whole prompt, so the number of tokens cached before is not used.
func (p *Placer) ObserveAdmitted(now time.Duration, name string, r *Request, _ int) {
	p.updateHolders(now, name, r, len(r.BlockHashes), true)
}

// ObserveRefused records that an endpoint refused a request, how many prompt tokens
// its cache holds, and the wait that it expected.
func (p *Placer) ObserveRefused(now time.Duration, name string, r *Request, cachedTokens int, expectedWaitMS float64) {
	p.updateHolders(now, name, r, cachedTokens/prefix.TokensPerBlock, false)
	if id, ok := p.endpointIDs[name]; ok {
		e := &p.endpoints[id]
		e.load.ExpectedWaitMS, e.loadAt = expectedWaitMS, max(now, 1)
	}
}

// updateHolders records that an endpoint holds the first cachedBlocks blocks of the
// prompt and no others.
func (p *Placer) updateHolders(now time.Duration, name string, r *Request, cachedBlocks int, countRequest bool) {
	id, ok := p.endpointIDs[name]
	if !ok {
		return
	}
	indexNow := indexTime(now)
	for blocks := 1; blocks <= len(r.BlockHashes); blocks = nextIndexedLength(blocks) {
		if blocks > cachedBlocks {
			if e := p.prefixIndex.find(r.BlockHashes[blocks-1]); e != nil {
				e.removeHolder(id)
			}
			continue
		}
		e := p.prefixIndex.findOrCreate(r.BlockHashes[blocks-1], indexNow)
		if countRequest && e.requestCount < 1<<15 {
			e.requestCount++
		}
		e.addHolder(id, indexNow, p.holderLifetimeMS)
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
