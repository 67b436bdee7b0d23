package selection

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/arbutusline/arbutusline/fleet"
)

// poolKey identifies a pool. The model is empty for plain requests, and the software version
// for requests that any version may run.
type poolKey struct{ service, model, softwareVersion string }

// pool holds the ready endpoints of a service in a view.
type pool struct {
	view       *fleet.View
	candidates []candidate
	// aperture are the positions of the candidates that this router prefers.
	aperture []int
	// newestLoadedVersion is the newest weights version that an endpoint of the pool
	// has loaded.
	newestLoadedVersion uint64
	// kvCapacity is the KV memory of an engine in tokens, or 0 if it is unknown.
	kvCapacity int
	partition  partition
}

// candidate is an endpoint that may be chosen.
type candidate struct {
	endpoint *fleet.Endpoint
	state    *endpointState
	// idHash is the hash of the endpoint's ID for rendezvous hashing.
	idHash         uint64
	weightsVersion uint64
	// superseded is true when a newer weights version was published, at
	// supersededAt.
	superseded    bool
	supersededAt  time.Time
	crossZoneCost time.Duration
	// light is true in the light partition.
	light bool
}

// pool returns the candidates for a request in the view. They are collected once per
// view, because views are immutable.
func (s *Selector) pool(v *fleet.View, r *Request) *pool {
	key := poolKey{service: r.Service, softwareVersion: r.SoftwareVersion}
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
	p.view, p.candidates, p.newestLoadedVersion = v, p.candidates[:0], 0
	for _, e := range v.EndpointsByService[key.service] {
		if e.State != fleet.Ready || key.softwareVersion != "" && e.SoftwareVersion != key.softwareVersion {
			continue
		}
		c := candidate{endpoint: e, state: s.endpointState(e.ID), idHash: xxhash.Sum64String(e.ID), weightsVersion: e.WeightsVersions[key.model]}
		if key.model != "" {
			c.supersededAt, c.superseded = v.SupersededAt(key.model, c.weightsVersion)
		}
		if e.Zone != s.zone {
			c.crossZoneCost = s.cfg.CrossZoneCost
		}
		p.newestLoadedVersion = max(p.newestLoadedVersion, c.weightsVersion)
		p.candidates = append(p.candidates, c)
	}
	p.partition.valid, p.partition.lightShare, p.kvCapacity = false, 0, 0
	if v.Config != nil {
		if service := v.Config.Services[key.service]; service != nil && service.Engine != nil {
			p.kvCapacity = service.Engine.KVCapacityTokens
		}
	}
	p.fillAperture(s.zone, s.zonePosition, s.zoneRouters)
}

// preferred returns the positions of the two endpoints that rendezvous hashing ranks
// first for the last shared part, or -1 where there is none.
func (p *pool) preferred(keys []uint64, exceptLight bool) (first, second int) {
	first, second = -1, -1
	if len(keys) == 0 {
		return first, second
	}
	last := keys[len(keys)-1]
	var firstHash, secondHash uint64
	for i := range p.candidates {
		if exceptLight && p.candidates[i].light {
			continue
		}
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
