package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// pointsPerEndpoint is the number of points of an endpoint on the ring. With 64,
// shares differ by about an eighth, which the choice among the first endpoints
// of the order evens out.
const pointsPerEndpoint = 64

// ring gives every key a fixed order of endpoints by consistent hashing. An
// endpoint that joins or leaves is inserted into the orders or removed from
// them, and all others keep their places, so that a prefix is still found at
// one of the next places. The result depends only on the set of names, so
// routers agree without talking.
type ring struct {
	points []ringPoint
}

type ringPoint struct {
	hash     uint64
	endpoint int32
}

func newRing(ids []int32, name func(int32) string) ring {
	r := ring{points: make([]ringPoint, 0, len(ids)*pointsPerEndpoint)}
	for _, id := range ids {
		h := xxhash.Sum64String(name(id))
		for i := range uint64(pointsPerEndpoint) {
			r.points = append(r.points, ringPoint{mix(h, i), id})
		}
	}
	slices.SortFunc(r.points, func(a, b ringPoint) int { return cmp.Compare(a.hash, b.hash) })
	return r
}

// start returns the position on the ring where the order of key begins.
func (r *ring) positionOf(key uint64) int {
	at, _ := slices.BinarySearchFunc(r.points, mix(key, 1), func(p ringPoint, h uint64) int { return cmp.Compare(p.hash, h) })
	return at
}

// at returns the endpoint at a position, counted around the ring. Consecutive
// positions may repeat an endpoint.
func (r *ring) endpointAt(position int) int32 { return r.points[position%len(r.points)].endpoint }

// mix hashes two words (splitmix64 finaliser).
func mix(a, b uint64) uint64 {
	x := a + (b+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
