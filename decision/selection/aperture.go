package selection

import (
	"cmp"
	"slices"
	"time"
)

// Routers know the work of other routers at an endpoint only as of some hundred
// milliseconds ago. Routers that all choose among all endpoints therefore send their
// requests to the same endpoint, the one that was idle then. An aperture is the part of
// the endpoints that a router prefers for requests without large shared parts. The
// apertures of the routers in an availability zone cover its endpoints evenly, so that a
// router knows most of the work in its aperture at first hand.

const (
	// minApertureEndpoints lets a router avoid an endpoint that just became slow.
	minApertureEndpoints = 2
	// maxApertureWait is the queue time of the best endpoint of the aperture above
	// which the others are considered, too.
	maxApertureWait = 60 * time.Millisecond
	// maxApertureRecompute is the recompute cost of the shared parts up to which a
	// request prefers the aperture to the holders of its parts.
	maxApertureRecompute = 60 * time.Millisecond
)

// SetRouters sets this router's position among the routers of its availability zone and
// their number.
func (s *Selector) SetRouters(position, routers int) {
	if routers != s.zoneRouters || position != s.zonePosition {
		s.zonePosition, s.zoneRouters = position, routers
		clear(s.pools)
	}
}

// fillAperture chooses the aperture among the candidates of the router's own availability
// zone, or among all candidates if it has too few.
func (p *pool) fillAperture(zone string, position, routers int) {
	p.aperture = p.aperture[:0]
	for i, c := range p.candidates {
		if c.endpoint.Zone == zone {
			p.aperture = append(p.aperture, i)
		}
	}
	if len(p.aperture) < minApertureEndpoints {
		p.aperture = p.aperture[:0]
		for i := range p.candidates {
			p.aperture = append(p.aperture, i)
		}
	}
	n := len(p.aperture)
	if routers <= 1 || n <= minApertureEndpoints {
		return
	}
	slices.SortFunc(p.aperture, func(a, b int) int {
		return cmp.Or(cmp.Compare(p.candidates[a].idHash, p.candidates[b].idHash), cmp.Compare(p.candidates[a].endpoint.ID, p.candidates[b].endpoint.ID))
	})
	size := min(n, max(minApertureEndpoints, (n+routers-1)/routers))
	first := position % routers * n / routers
	chosen := make([]int, 0, size)
	for i := range size {
		chosen = append(chosen, p.aperture[(first+i)%n])
	}
	p.aperture = chosen
}

// considerAperture considers the endpoints of the aperture if the request prefers them,
// and reports whether one of them should run it. Plain requests do not prefer them: their
// services have few endpoints, and one that fails must be compared with all others.
func (d *decision) considerAperture() bool {
	if d.request.Prompt == nil || d.partitioned && d.heavy || d.recomputeCost(d.sharedTokens) > maxApertureRecompute {
		return false
	}
	if d.partitioned {
		return d.considerLightPartition()
	}
	for _, i := range d.pool.aperture {
		d.consider(i)
	}
	return d.bestIndex >= 0 && d.bestCost < lastResortCost && d.expectedWait(&d.pool.candidates[d.bestIndex]) <= maxApertureWait
}
