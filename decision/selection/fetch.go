package selection

import (
	"slices"
	"time"

	"github.com/arbutusline/arbutusline/fleet"
)

// coverage is what an endpoint or the KV cache store is expected to hold of a prompt's
// shared parts.
type coverage struct {
	weightsVersion uint64
	// tokens is the number of leading prompt tokens that the endpoint or store holds
	// or is computing, and parts the number of whole parts among them.
	tokens, parts int
	// computedParts has bit i set if all of part i is computed and held.
	computedParts uint64
}

// maxFetchParts is the number of leading parts that can be fetched.
const maxFetchParts = 64

// findCoverage determines what endpoints and the KV cache store hold of the prompt's
// shared parts. An endpoint can use a part only if it holds all parts before it.
func (s *Selector) findCoverage(now time.Duration, keys []uint64, p *fleet.Prompt) {
	s.scratch.decisionNumber++
	s.scratch.holders, s.scratch.storeCoverages = s.scratch.holders[:0], s.scratch.storeCoverages[:0]
	since := now - s.cfg.HolderLifetime
	tokensBefore := 0
	for i, key := range keys {
		size := p.Parts[i].Tokens
		for _, h := range s.partIndex.holders[key] {
			if h.lastUsed < since {
				continue
			}
			if h.endpointID == KVCacheStoreID {
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

// coverageOf returns the coverage of a holder in the current decision.
func (s *Selector) coverageOf(h holder) *coverage {
	st := s.endpointState(h.endpointID)
	if st.coverageDecision != s.scratch.decisionNumber {
		st.coverageDecision, st.coverage = s.scratch.decisionNumber, coverage{}
		s.scratch.holders = append(s.scratch.holders, st)
	}
	return &st.coverage
}

// storeCoverageToUpdate returns the coverage of the KV cache store under the weights
// version, which it creates if needed.
func (s *Selector) storeCoverageToUpdate(weightsVersion uint64) *coverage {
	for i := range s.scratch.storeCoverages {
		if c := &s.scratch.storeCoverages[i]; c.weightsVersion == weightsVersion {
			return c
		}
	}
	s.scratch.storeCoverages = append(s.scratch.storeCoverages, coverage{weightsVersion: weightsVersion})
	return &s.scratch.storeCoverages[len(s.scratch.storeCoverages)-1]
}

// storeCoverage returns what the KV cache store holds under the weights version.
func (s *Selector) storeCoverage(weightsVersion uint64) coverage {
	for _, c := range s.scratch.storeCoverages {
		if c.weightsVersion == weightsVersion {
			return c
		}
	}
	return coverage{}
}

// addPart adds part i, which has the given size and follows tokensBefore tokens.
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

// fetchPlan has the sources from which a prompt's parts can be fetched, and the
// endpoints that rendezvous hashing prefers for them.
type fetchPlan struct {
	// sourceLists has an entry for each weights version under which parts were
	// computed.
	sourceLists []sourceList
	// firstPreferred and secondPreferred are positions in the pool, or -1.
	firstPreferred, secondPreferred int
}

// sourceList has the best sources of the parts that were computed under a weights
// version.
type sourceList struct {
	weightsVersion uint64
	// byFirstPart has, at position i, the best source for an endpoint that holds the
	// first i parts.
	byFirstPart []fetchSource
}

// fetchSource is an address from which parts can be fetched. An endpoint that has
// fetched them holds the first prefixTokens tokens of the prompt.
type fetchSource struct {
	address, endpointID string
	prefixTokens        int
}

// newCopyCost is the cost of caching a prompt's parts at one more endpoint, given by
// its position in the pool.
func (f *fetchPlan) newCopyCost(position int) time.Duration {
	switch position {
	case f.firstPreferred:
		return 0
	case f.secondPreferred:
		return secondPreferredCost
	}
	return notPreferredCost
}

// planFetches returns the sources of the prompt's shared parts.
func (s *Selector) planFetches(now time.Duration, v *fleet.View, r *Request, parts int) fetchPlan {
	plan := fetchPlan{sourceLists: s.scratch.sourceLists[:0]}
	parts = min(parts, maxFetchParts)
	if s.kvCacheStore != "" {
		// The store is preferred to other sources with the same number of tokens.
		for _, c := range s.scratch.storeCoverages {
			plan.addSource(c.weightsVersion, parts, fetchSource{address: s.kvCacheStore}, c.computedParts, r.Prompt)
		}
	}
	for _, st := range s.scratch.holders {
		if address := s.fetchAddress(now, v, r, st); address != "" {
			plan.addSource(st.coverage.weightsVersion, parts, fetchSource{address: address, endpointID: st.id}, st.coverage.computedParts, r.Prompt)
		}
	}
	s.scratch.sourceLists = plan.sourceLists
	return plan
}

// fetchAddress returns the address from which parts of an endpoint can be fetched, or ""
// when they cannot.
func (s *Selector) fetchAddress(now time.Duration, v *fleet.View, r *Request, st *endpointState) string {
	if st.coverage.computedParts == 0 || st.suspensions > 0 {
		return ""
	}
	e := v.EndpointsByID[st.id]
	if e == nil || e.WeightsVersions[r.Prompt.Model] != st.coverage.weightsVersion || st.changingWeights(now, e) {
		return ""
	}
	return e.Address
}

// addSource adds a source of the parts whose bits are set in computedParts.
func (f *fetchPlan) addSource(weightsVersion uint64, parts int, source fetchSource, computedParts uint64, p *fleet.Prompt) {
	if computedParts != 0 {
		f.sourceList(weightsVersion, parts).add(source, computedParts, p)
	}
}

// sourceList returns the list for the weights version, which it creates if needed. It
// reuses the memory of earlier decisions.
func (f *fetchPlan) sourceList(weightsVersion uint64, parts int) *sourceList {
	for i := range f.sourceLists {
		if f.sourceLists[i].weightsVersion == weightsVersion {
			return &f.sourceLists[i]
		}
	}
	var list []fetchSource
	if n := len(f.sourceLists); n < cap(f.sourceLists) {
		list = f.sourceLists[:n+1][n].byFirstPart
	}
	list = slices.Grow(list[:0], parts)[:parts]
	clear(list)
	f.sourceLists = append(f.sourceLists, sourceList{weightsVersion: weightsVersion, byFirstPart: list})
	return &f.sourceLists[len(f.sourceLists)-1]
}

func (l *sourceList) add(source fetchSource, computedParts uint64, p *fleet.Prompt) {
	begin := 0
	for i := range l.byFirstPart {
		end := begin
		for j := i; j < len(l.byFirstPart) && computedParts&(1<<j) != 0; j++ {
			end += p.Parts[j].Tokens
		}
		best := &l.byFirstPart[i]
		if end > begin && (end > best.prefixTokens || end == best.prefixTokens && source.endpointID < best.endpointID) {
			*best = fetchSource{address: source.address, endpointID: source.endpointID, prefixTokens: end}
		}
		begin += p.Parts[i].Tokens
	}
}

// sourceFor returns the source from which an endpoint that holds the given number of
// leading parts under the weights version should fetch the next ones.
func (f *fetchPlan) sourceFor(weightsVersion uint64, cachedParts int) (fetchSource, bool) {
	for i := range f.sourceLists {
		l := &f.sourceLists[i]
		if l.weightsVersion == weightsVersion && cachedParts < len(l.byFirstPart) && l.byFirstPart[cachedParts].address != "" {
			return l.byFirstPart[cachedParts], true
		}
	}
	return fetchSource{}, false
}

// minFetchTokens is the minimum number of tokens that are worth a fetch. A fetch that
// finds nothing costs a millisecond, in which an engine computes about 40 tokens.
const minFetchTokens = 100
