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
	view *fleet.View
	list []candidate
	// newest is the newest weights version that one of them has.
	newest uint64
}

// candidate is an endpoint that may be chosen.
type candidate struct {
	e  *fleet.Endpoint
	st *endpointState
	// hash is the endpoint's part in the rendezvous order of prompts.
	hash    uint64
	weights uint64
	// old means that newer weights were named, at the time superseded.
	old        bool
	superseded time.Time
	zoneCost   time.Duration
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
		s.collect(p, v, key)
	}
	return p
}

func (s *Selector) collect(p *pool, v *fleet.View, key poolKey) {
	p.view, p.list, p.newest = v, p.list[:0], 0
	for _, e := range v.ByService[key.service] {
		if e.State != fleet.Ready {
			continue
		}
		c := candidate{e: e, st: s.endpoint(e.ID), hash: xxhash.Sum64String(e.ID), weights: e.Weights[key.model]}
		if key.model != "" {
			c.superseded, c.old = v.Superseded(key.model, c.weights)
		}
		if e.Zone != s.zone {
			c.zoneCost = s.cfg.ZoneCost
		}
		p.newest = max(p.newest, c.weights)
		p.list = append(p.list, c)
	}
}

// homes returns the positions of the first two endpoints in the rendezvous order of
// the last shared part, or -1 where there is none.
func (p *pool) homes(chain []uint64) (first, second int) {
	first, second = -1, -1
	if len(chain) == 0 {
		return first, second
	}
	last := chain[len(chain)-1]
	var firstHash, secondHash uint64
	for i := range p.list {
		h := mix(last ^ p.list[i].hash)
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
