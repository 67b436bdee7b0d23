package selection

import (
	"slices"
	"time"

	"github.com/arbutusline/arbutusline/fleet"
)

// coverage is what an endpoint or store is believed to hold of a prompt's shared parts.
type coverage struct {
	weightsVersion uint64
	// tokens counts the leading parts that it holds or is reading, and parts their
	// number.
	tokens, parts int
	// read has a bit for each part that it holds whole, from the first on.
	computedParts uint64
}

// maxFetchParts is the number of leading parts that are considered for fetching.
const maxFetchParts = 64

// cover finds the endpoints that hold shared parts of the prompt, and what the KV
// store holds. An endpoint can use a part only where it holds those before it.
func (s *Selector) findCoverage(now time.Duration, keys []uint64, p *fleet.Prompt) {
	s.scratch.decision++
	s.scratch.holders, s.scratch.storeCoverages = s.scratch.holders[:0], s.scratch.storeCoverages[:0]
	since := now - s.cfg.HolderLifetime
	tokensBefore := 0
	for i, key := range keys {
		size := p.Parts[i].Tokens
		for _, h := range s.partIndex.holders[key] {
			if h.lastUsed < since {
				continue
			}
			if h.endpoint == KVCacheStoreID {
				s.storeCoverageToUpdate(h.weightsVersion).addPart(i, tokensBefore, size, h)
				continue
			}
			c := s.coverageOf(h)
			if h.weightsVersion > c.weightsVersion {
				*c = coverage{weightsVersion: h.weightsVersion}
			}
			if h.weightsVersion == c.weightsVersion {
				c.addPart(i, tokensBefore, size, h)
			}
		}
		tokensBefore += size
	}
}

// covering returns the coverage of a holder in this choice.
func (s *Selector) coverageOf(h holder) *coverage {
	st := s.endpointState(h.endpoint)
	if st.coverageDecision != s.scratch.decision {
		st.coverageDecision, st.coverage = s.scratch.decision, coverage{}
		s.scratch.holders = append(s.scratch.holders, st)
	}
	return &st.coverage
}

// inStore returns what the KV store holds under the weights, to be completed.
func (s *Selector) storeCoverageToUpdate(weightsVersion uint64) *coverage {
	for i := range s.scratch.storeCoverages {
		if c := &s.scratch.storeCoverages[i]; c.weightsVersion == weightsVersion {
			return c
		}
	}
	s.scratch.storeCoverages = append(s.scratch.storeCoverages, coverage{weightsVersion: weightsVersion})
	return &s.scratch.storeCoverages[len(s.scratch.storeCoverages)-1]
}

// stored returns what the KV store holds under the weights.
func (s *Selector) storeCoverage(weightsVersion uint64) coverage {
	for _, c := range s.scratch.storeCoverages {
		if c.weightsVersion == weightsVersion {
			return c
		}
	}
	return coverage{}
}

// take adds part i, which begins behind the tokens before it.
func (c *coverage) addPart(i, tokensBefore, size int, h holder) {
	if c.tokens == tokensBefore && c.parts == i {
		c.tokens += min(size, h.tokens)
		if h.tokens >= size {
			c.parts++
		}
	}
	if h.computed && h.tokens >= size && i < maxFetchParts {
		c.computedParts |= 1 << i
	}
}

// source is where a request's parts can be fetched from, with the endpoints that
// should hold them.
type fetchPlan struct {
	// offers has an entry for each weights version under which parts were read.
	sourceLists []sourceList
	// first and second are positions in the pool, or -1.
	firstPreferred, secondPreferred int
}

// offer is where parts can be fetched that were read under the weights.
type sourceList struct {
	weightsVersion uint64
	// reach holds, for an endpoint that has the first i parts, the best place to
	// fetch those that follow.
	byFirstPart []fetchSource
}

// reach is an address from which parts can be fetched, up to that many tokens of the
// prompt.
type fetchSource struct {
	address, endpointID string
	prefixTokens        int
}

// homeCost is the cost of adding a holder of a prompt's parts, by its position.
func (s *fetchPlan) newCopyCost(position int) time.Duration {
	switch position {
	case s.firstPreferred:
		return 0
	case s.secondPreferred:
		return secondPreferredCost
	}
	return notPreferredCost
}

// source returns where the prompt's shared parts can be fetched.
func (s *Selector) planFetches(now time.Duration, v *fleet.View, r *Request, parts int) fetchPlan {
	plan := fetchPlan{sourceLists: s.scratch.fetchSources[:0]}
	parts = min(parts, maxFetchParts)
	if s.kvCacheStore != "" {
		// Of places that hold as much the store comes first.
		for _, c := range s.scratch.storeCoverages {
			plan.addSource(c.weightsVersion, parts, fetchSource{address: s.kvCacheStore}, c.computedParts, r.Prompt)
		}
	}
	for _, st := range s.scratch.holders {
		if address := s.fetchAddress(now, v, r, st); address != "" {
			plan.addSource(st.coverage.weightsVersion, parts, fetchSource{address: address, endpointID: st.id}, st.coverage.computedParts, r.Prompt)
		}
	}
	s.scratch.fetchSources = plan.sourceLists
	return plan
}

// fetchable returns the address of an endpoint that gives out parts, or "".
func (s *Selector) fetchAddress(now time.Duration, v *fleet.View, r *Request, st *endpointState) string {
	if st.coverage.computedParts == 0 || st.suspensions > 0 {
		return ""
	}
	e := v.ByID[st.id]
	if e == nil || e.WeightsVersions[r.Prompt.Model] != st.coverage.weightsVersion || st.changingWeights(now, e) {
		return ""
	}
	return e.Address
}

// take adds a place that holds the parts whose bits are set.
func (s *fetchPlan) addSource(weightsVersion uint64, parts int, source fetchSource, computedParts uint64, p *fleet.Prompt) {
	if computedParts != 0 {
		s.sourceList(weightsVersion, parts).add(source, computedParts, p)
	}
}

// offer returns the offer under the weights. It uses the space of an earlier choice.
func (s *fetchPlan) sourceList(weightsVersion uint64, parts int) *sourceList {
	for i := range s.sourceLists {
		if s.sourceLists[i].weightsVersion == weightsVersion {
			return &s.sourceLists[i]
		}
	}
	var list []fetchSource
	if n := len(s.sourceLists); n < cap(s.sourceLists) {
		list = s.sourceLists[:n+1][n].byFirstPart
	}
	list = slices.Grow(list[:0], parts)[:parts]
	clear(list)
	s.sourceLists = append(s.sourceLists, sourceList{weightsVersion: weightsVersion, byFirstPart: list})
	return &s.sourceLists[len(s.sourceLists)-1]
}

func (o *sourceList) add(source fetchSource, computedParts uint64, p *fleet.Prompt) {
	begin := 0
	for i := range o.byFirstPart {
		end := begin
		for j := i; j < len(o.byFirstPart) && computedParts&(1<<j) != 0; j++ {
			end += p.Parts[j].Tokens
		}
		best := &o.byFirstPart[i]
		if end > begin && (end > best.prefixTokens || end == best.prefixTokens && source.endpointID < best.endpointID) {
			*best = fetchSource{address: source.address, endpointID: source.endpointID, prefixTokens: end}
		}
		begin += p.Parts[i].Tokens
	}
}

// fetch returns where an endpoint that has the first parts under the weights fetches
// the next ones.
func (s *fetchPlan) sourceFor(weightsVersion uint64, parts int) (fetchSource, bool) {
	for i := range s.sourceLists {
		o := &s.sourceLists[i]
		if o.weightsVersion == weightsVersion && parts < len(o.byFirstPart) && o.byFirstPart[parts].address != "" {
			return o.byFirstPart[parts], true
		}
	}
	return fetchSource{}, false
}

// minFetchTokens is the least gain for which parts are fetched. A fetch that finds
// nothing costs a millisecond, in which some 40 tokens are read.
const minFetchTokens = 100
