package selection

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/arbutusline/arbutusline/fleet"
)

// poolKey names the endpoints of a service for a model; the model is empty for plain
// requests.
type poolKey struct{ service, model string }

// pool holds the endpoints of a service in one view that are ready, with what each
// choice reads of them.
type pool struct {
	view       *fleet.View
	candidates []candidate
	// newest is the newest weights version that one of them has.
	newestWeightsVersion uint64
}

// candidate is an endpoint that may be chosen.
type candidate struct {
	endpoint *fleet.Endpoint
	state    *endpointState
	// hash is the endpoint's part in the rendezvous order of prompts.
	idHash         uint64
	weightsVersion uint64
	// old means that newer weights were named, at the time superseded.
	superseded    bool
	supersededAt  time.Time
	crossZoneCost time.Duration
}

// pool returns the candidates for a request in the view. They are collected once for
// each view, which does not change.
func (s *Selector) pool(v *fleet.View, r *Request) *pool {
	key := poolKey{service: r.Service}
	if r.Prompt != nil {
		key.model = r.Prompt.Model
	}
	p := s.pools[key]
	if p == nil {
		p = &pool{}
		s.pools[key] = p
	}
	if p.view != v {
		s.fillPool(p, v, key)
	}
	return p
}

func (s *Selector) fillPool(p *pool, v *fleet.View, key poolKey) {
	p.view, p.candidates, p.newestWeightsVersion = v, p.candidates[:0], 0
	for _, e := range v.ByService[key.service] {
		if e.State != fleet.Ready {
			continue
		}
		c := candidate{endpoint: e, state: s.endpointState(e.ID), idHash: xxhash.Sum64String(e.ID), weightsVersion: e.WeightsVersions[key.model]}
		if key.model != "" {
			c.supersededAt, c.superseded = v.SupersededAt(key.model, c.weightsVersion)
		}
		if e.Zone != s.zone {
			c.crossZoneCost = s.cfg.CrossZoneCost
		}
		p.newestWeightsVersion = max(p.newestWeightsVersion, c.weightsVersion)
		p.candidates = append(p.candidates, c)
	}
}

// homes returns the positions of the first two endpoints in the rendezvous order of
// the last shared part, or -1 where there is none.
func (p *pool) preferred(chain []uint64) (first, second int) {
	first, second = -1, -1
	if len(chain) == 0 {
		return first, second
	}
	last := chain[len(chain)-1]
	var firstHash, secondHash uint64
	for i := range p.candidates {
		h := mix(last ^ p.candidates[i].idHash)
		switch {
		case h > firstHash:
			second, secondHash = first, firstHash
			first, firstHash = i, h
		case h > secondHash:
			second, secondHash = i, h
		}
	}
	return first, second
}
