package selection

import (
	"slices"
	"time"

	"github.com/arbutusline/arbutusline/fleet"
)

// coverage is what an endpoint or store is believed to hold of a prompt's shared parts.
type coverage struct {
	weights uint64
	// tokens counts the leading parts that it holds or is reading, and parts their
	// number.
	tokens, parts int
	// read has a bit for each part that it holds whole, from the first on.
	read uint64
}

// maxFetchParts is the number of leading parts that are considered for fetching.
const maxFetchParts = 64

// cover finds the endpoints that hold shared parts of the prompt, and what the KV
// store holds. An endpoint can use a part only where it holds those before it.
func (s *Selector) cover(now time.Duration, chain []uint64, p *fleet.Prompt) {
	s.space.choice++
	s.space.covering, s.space.stored = s.space.covering[:0], s.space.stored[:0]
	since := now - s.cfg.PartLife
	before := 0
	for i, key := range chain {
		size := p.Parts[i].Tokens
		for _, h := range s.parts.holders[key] {
			if h.used < since {
				continue
			}
			if h.endpoint == StoreID {
				s.inStore(h.weights).take(i, before, size, h)
				continue
			}
			c := s.covering(h)
			if h.weights > c.weights {
				*c = coverage{weights: h.weights}
			}
			if h.weights == c.weights {
				c.take(i, before, size, h)
			}
		}
		before += size
	}
}

// covering returns the coverage of a holder in this choice.
func (s *Selector) covering(h holder) *coverage {
	st := s.endpoint(h.endpoint)
	if st.coverChoice != s.space.choice {
		st.coverChoice, st.cover = s.space.choice, coverage{}
		s.space.covering = append(s.space.covering, st)
	}
	return &st.cover
}

// inStore returns what the KV store holds under the weights, to be completed.
func (s *Selector) inStore(weights uint64) *coverage {
	for i := range s.space.stored {
		if c := &s.space.stored[i]; c.weights == weights {
			return c
		}
	}
	s.space.stored = append(s.space.stored, coverage{weights: weights})
	return &s.space.stored[len(s.space.stored)-1]
}

// stored returns what the KV store holds under the weights.
func (s *Selector) stored(weights uint64) coverage {
	for _, c := range s.space.stored {
		if c.weights == weights {
			return c
		}
	}
	return coverage{}
}

// take adds part i, which begins behind the tokens before it.
func (c *coverage) take(i, before, size int, h holder) {
	if c.tokens == before && c.parts == i {
		c.tokens += min(size, h.tokens)
		if h.tokens >= size {
			c.parts++
		}
	}
	if h.read && h.tokens >= size && i < maxFetchParts {
		c.read |= 1 << i
	}
}

// source is where a request's parts can be fetched from, with the endpoints that
// should hold them.
type source struct {
	// offers has an entry for each weights version under which parts were read.
	offers []offer
	// first and second are positions in the pool, or -1.
	first, second int
}

// offer is where parts can be fetched that were read under the weights.
type offer struct {
	weights uint64
	// reach holds, for an endpoint that has the first i parts, the best place to
	// fetch those that follow.
	reach []reach
}

// reach is an address from which parts can be fetched, up to that many tokens of the
// prompt.
type reach struct {
	address, id string
	tokens      int
}

// homeCost is the cost of adding a holder of a prompt's parts, by its position.
func (s *source) homeCost(position int) time.Duration {
	switch position {
	case s.first:
		return 0
	case s.second:
		return homeSecond
	}
	return homeOther
}

// source returns where the prompt's shared parts can be fetched.
func (s *Selector) source(now time.Duration, v *fleet.View, r *Request, parts int) source {
	out := source{offers: s.space.offers[:0]}
	parts = min(parts, maxFetchParts)
	if s.store != "" {
		// Of places that hold as much the store comes first.
		for _, c := range s.space.stored {
			out.take(c.weights, parts, reach{address: s.store}, c.read, r.Prompt)
		}
	}
	for _, st := range s.space.covering {
		if address := s.fetchable(now, v, r, st); address != "" {
			out.take(st.cover.weights, parts, reach{address: address, id: st.id}, st.cover.read, r.Prompt)
		}
	}
	s.space.offers = out.offers
	return out
}

// fetchable returns the address of an endpoint that gives out parts, or "".
func (s *Selector) fetchable(now time.Duration, v *fleet.View, r *Request, st *endpointState) string {
	if st.cover.read == 0 || st.suspensions > 0 {
		return ""
	}
	e := v.ByID[st.id]
	if e == nil || e.Weights[r.Prompt.Model] != st.cover.weights || st.swapping(now, e) {
		return ""
	}
	return e.Address
}

// take adds a place that holds the parts whose bits are set.
func (s *source) take(weights uint64, parts int, from reach, read uint64, p *fleet.Prompt) {
	if read != 0 {
		s.offer(weights, parts).take(from, read, p)
	}
}

// offer returns the offer under the weights. It uses the space of an earlier choice.
func (s *source) offer(weights uint64, parts int) *offer {
	for i := range s.offers {
		if s.offers[i].weights == weights {
			return &s.offers[i]
		}
	}
	var space []reach
	if n := len(s.offers); n < cap(s.offers) {
		space = s.offers[:n+1][n].reach
	}
	space = slices.Grow(space[:0], parts)[:parts]
	clear(space)
	s.offers = append(s.offers, offer{weights: weights, reach: space})
	return &s.offers[len(s.offers)-1]
}

func (o *offer) take(from reach, read uint64, p *fleet.Prompt) {
	begin := 0
	for i := range o.reach {
		end := begin
		for j := i; j < len(o.reach) && read&(1<<j) != 0; j++ {
			end += p.Parts[j].Tokens
		}
		best := &o.reach[i]
		if end > begin && (end > best.tokens || end == best.tokens && from.id < best.id) {
			*best = reach{address: from.address, id: from.id, tokens: end}
		}
		begin += p.Parts[i].Tokens
	}
}

// fetch returns where an endpoint that has the first parts under the weights fetches
// the next ones.
func (s *source) fetch(weights uint64, parts int) (reach, bool) {
	for i := range s.offers {
		o := &s.offers[i]
		if o.weights == weights && parts < len(o.reach) && o.reach[parts].address != "" {
			return o.reach[parts], true
		}
	}
	return reach{}, false
}

// minFetchTokens is the least gain for which parts are fetched. A fetch that finds
// nothing costs a millisecond, in which some 40 tokens are read.
const minFetchTokens = 100
