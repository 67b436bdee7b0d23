package selection

import (
	"slices"
	"time"

	"github.com/arbutusline/arbutusline/fleet"
)

// coverage is what an endpoint is believed to hold of a prompt's shared parts.
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

// cover fills s.covers with the endpoints that hold shared parts of the prompt, and
// s.stored with what the KV store holds by weights. An endpoint can use a part only
// where it holds those before it.
func (s *Selector) cover(now time.Duration, chain []uint64, p *fleet.Prompt) {
	clear(s.covers)
	clear(s.stored)
	since := now - s.cfg.PartLife
	before := 0
	for i, key := range chain {
		size := p.Parts[i].Tokens
		for _, h := range s.parts.holders[key] {
			if h.used < since {
				continue
			}
			if h.endpoint == StoreID {
				c := s.stored[h.weights]
				c.take(i, before, size, h)
				s.stored[h.weights] = c
				continue
			}
			c := s.covers[h.endpoint]
			if h.weights > c.weights {
				c = coverage{weights: h.weights}
			}
			if h.weights == c.weights {
				c.take(i, before, size, h)
			}
			s.covers[h.endpoint] = c
		}
		before += size
	}
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
	offers        []offer
	first, second string
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

// homeCost is the cost of adding a holder of a prompt's parts.
func (s *source) homeCost(endpoint string) time.Duration {
	switch endpoint {
	case s.first:
		return 0
	case s.second:
		return homeSecond
	}
	return homeOther
}

// source returns where the prompt's shared parts can be fetched.
func (s *Selector) source(now time.Duration, v *fleet.View, r *Request, parts int) source {
	out := source{offers: s.offers[:0]}
	parts = min(parts, maxFetchParts)
	if s.store != "" {
		// Of places that hold as much the store comes first.
		for weights, c := range s.stored {
			out.take(weights, parts, reach{address: s.store}, c.read, r.Prompt)
		}
	}
	for id, c := range s.covers {
		if address := s.fetchable(now, v, r, id, c); address != "" {
			out.take(c.weights, parts, reach{address: address, id: id}, c.read, r.Prompt)
		}
	}
	s.offers = out.offers
	return out
}

// fetchable returns the address of an endpoint that gives out parts, or "".
func (s *Selector) fetchable(now time.Duration, v *fleet.View, r *Request, id string, c coverage) string {
	e := v.ByID[id]
	if e == nil || c.read == 0 || e.Weights[r.Prompt.Model] != c.weights {
		return ""
	}
	if st := s.endpoint(id); st.swapping(now, e) || st.suspensions > 0 {
		return ""
	}
	return e.Address
}

// take adds a place that holds the parts whose bits are set.
func (s *source) take(weights uint64, parts int, from reach, read uint64, p *fleet.Prompt) {
	if read == 0 {
		return
	}
	i := slices.IndexFunc(s.offers, func(o offer) bool { return o.weights == weights })
	if i < 0 {
		i = len(s.offers)
		s.offers = append(s.offers, offer{weights: weights, reach: make([]reach, parts)})
	}
	s.offers[i].take(from, read, p)
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
