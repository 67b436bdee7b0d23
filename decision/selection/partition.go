package selection

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Engines compute prompts in chunks between the output steps of running streams, so that a
// long prompt pauses all streams of its engine. With cost-aware selection, requests with small
// prompts (light) therefore prefer a part of the engines, the light partition, and those with
// large ones (heavy) the rest. The size of the partition follows the work of both kinds, and
// fast engines come first: a prompt of others pauses streams there for the shortest time.
// Each kind uses engines of the other when its own ones are busier than the harm that it does
// there. All routers choose nearly the same partition, as they exchange rates and speeds.

const (
	// heavyShare is the share of the gap objective above which the time to compute the whole
	// prompt makes a request heavy: two such prompts in a row, or one at a slow engine,
	// take half of the objective.
	heavyShare = 0.25
	// lightShareHysteresis is the change of the light share below which the partition stays:
	// each change moves the caches of some engines.
	lightShareHysteresis = 0.05
	// partitionInterval is the time after which the partition follows changed speeds.
	partitionInterval = time.Second
	// minZoneToPartition is the number of engines in an availability zone from which on some
	// are in the light partition.
	minZoneToPartition = 4
	// slowSpeed and fastSpeed bound the classes of speeds by which engines are ranked. Coarse
	// classes let routers with slightly different estimates agree.
	slowSpeed, fastSpeed = 0.8, 1.4
	// maxCapacity bounds the speed with which an engine counts. Engines of the light partition
	// seem faster than they are, as the median engine is busy with long prompts.
	maxCapacity = 1.25
	// lightCrossingShare is the share of the gap objective that it costs a light request to
	// use another engine, as the next heavy prompt there may pause it.
	lightCrossingShare = 0.25
	// heavyCrossingCost is the cost of a heavy request in the light partition, above that of all
	// queues that requests may wait in. If it were less, a burst of heavy requests would
	// take these engines from light ones, which need a small part of the time.
	heavyCrossingCost = 10 * time.Second
	// lightChoices is the number of engines that are compared for a light request.
	lightChoices = 2
)

// costAware reports whether learned costs and the partition apply to the request.
func (s *Selector) costAware(r *Request) bool {
	return s.cfg.CostAware && r.Prompt != nil && r.GapObjective > 0
}

// isHeavy reports whether the request's prompt is large.
func (s *Selector) isHeavy(r *Request) bool {
	return s.costAware(r) && s.prefillTime(r.Prompt.Tokens) > time.Duration(heavyShare*float64(r.GapObjective))
}

// partition holds the engines of a pool that light requests prefer.
type partition struct {
	// lightShare is the share of the engines in the light partition, or 0 if there is none.
	lightShare float64
	// updatedAt is when the partition was last determined; valid is false before.
	updatedAt time.Duration
	valid     bool
	// preferred are the positions of the candidates that this router prefers for light
	// requests: those in its availability zone, or all if there are too few.
	preferred []int
}

// updatePartition determines the partition again if the work or, after some time, speeds
// may have changed enough.
func (s *Selector) updatePartition(now time.Duration, p *pool, r *Request) {
	w := s.workOf(r.Service)
	w.decay(now)
	var totalSpeed float64
	for i := range p.candidates {
		totalSpeed += p.candidates[i].state.capacity()
	}
	share := w.lightShare(totalSpeed)
	part := &p.partition
	unchanged := math.Abs(share-part.lightShare) < lightShareHysteresis && (share == 0) == (part.lightShare == 0)
	if part.valid && unchanged && (share == 0 || now-part.updatedAt < partitionInterval) {
		return
	}
	if part.valid && unchanged {
		share = part.lightShare
	}
	part.valid, part.updatedAt, part.lightShare = true, now, share
	p.chooseLight(share)
	part.preferred = p.lightCandidates(s.zone, part.preferred[:0])
}

// chooseLight chooses the engines of the light partition: in each availability zone the same
// share by speed, so that requests need not cross zones.
func (p *pool) chooseLight(share float64) {
	byZone := map[string][]int{}
	for i := range p.candidates {
		c := &p.candidates[i]
		byZone[c.endpoint.Zone] = append(byZone[c.endpoint.Zone], i)
	}
	for _, zone := range byZone {
		slices.SortFunc(zone, func(a, b int) int {
			x, y := &p.candidates[a], &p.candidates[b]
			return cmp.Or(cmp.Compare(y.rank(), x.rank()), cmp.Compare(x.idHash, y.idHash), cmp.Compare(x.endpoint.ID, y.endpoint.ID))
		})
		for _, i := range zone {
			p.candidates[i].light, p.candidates[i].state.light = false, false
		}
		if share == 0 || len(zone) < minZoneToPartition {
			continue
		}
		var total, light float64
		for _, i := range zone {
			total += p.candidates[i].state.capacity()
		}
		for _, i := range zone[:len(zone)/2] {
			speed := p.candidates[i].state.capacity()
			if light > 0 && light+speed/2 > share*total {
				break
			}
			p.candidates[i].light, p.candidates[i].state.light = true, true
			light += speed
		}
	}
}

// capacity is the speed with which the endpoint counts in the size of the partition.
func (st *endpointState) capacity() float64 {
	if st.averageSpeed == 0 {
		return 1
	}
	return min(st.averageSpeed, maxCapacity)
}

// rank orders the candidates of a zone by their place in the light partition: by coarse
// classes of speed, among those of a class first the ones that are in it already.
func (c *candidate) rank() int {
	rank := 2
	switch speed := c.state.averageSpeed; {
	case speed > fastSpeed:
		rank = 4
	case speed > 0 && speed < slowSpeed:
		rank = 0
	}
	if c.state.light {
		rank++
	}
	return rank
}

// lightCandidates appends the positions of the candidates in the light partition that a
// router in the availability zone prefers.
func (p *pool) lightCandidates(zone string, out []int) []int {
	for i := range p.candidates {
		if p.candidates[i].light && p.candidates[i].endpoint.Zone == zone {
			out = append(out, i)
		}
	}
	if len(out) >= minApertureEndpoints {
		return out
	}
	out = out[:0]
	for i := range p.candidates {
		if p.candidates[i].light {
			out = append(out, i)
		}
	}
	return out
}

// considerLightPartition considers two engines of the light partition, chosen at random with
// probabilities in proportion to their speeds, and reports whether one of them should run
// the request. As loads of other routers are known late, more choices would draw all routers to
// the same engine.
func (d *decision) considerLightPartition() bool {
	preferred := d.pool.partition.preferred
	var total float64
	for _, i := range preferred {
		total += d.pool.candidates[i].state.relativeSpeed()
	}
	for range lightChoices {
		d.choices++
		x := float64(mix(d.choices^d.cfg.Seed)>>11) / (1 << 53) * total
		for _, i := range preferred {
			if x -= d.pool.candidates[i].state.relativeSpeed(); x < 0 {
				d.consider(i)
				break
			}
		}
	}
	return d.bestIndex >= 0 && d.bestCost < lastResortCost && d.expectedWait(&d.pool.candidates[d.bestIndex]) <= maxApertureWait
}

// crossingCost is the cost of the request at a candidate that requests of its kind do not
// prefer.
func (d *decision) crossingCost(c *candidate) time.Duration {
	switch {
	case !d.partitioned || c.light == !d.heavy:
		return 0
	case d.heavy:
		return heavyCrossingCost
	}
	return time.Duration(lightCrossingShare * float64(d.request.GapObjective))
}
