package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// pointsPerEndpoint is the number of points of an endpoint on the hash ring. With 64,
// the endpoints' shares of the ring differ by about an eighth. This evens out because
// a request goes to any of the first endpoints of its order.
const pointsPerEndpoint = 64

// ring is a consistent-hash ring. It gives every hash a fixed order of endpoints.
// When an endpoint joins or leaves, the others keep their relative order, so that a
// prefix is still found at one of the next endpoints of its order. The order depends
// only on the set of names, so all routers compute the same one.
type ring struct {
	points []ringPoint
}

type ringPoint struct {
	hash       uint64
	endpointID int32
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

// positionOf returns the position on the ring at which the order of a hash begins.
func (r *ring) positionOf(hash uint64) int {
	position, _ := slices.BinarySearchFunc(r.points, mix(hash, 1), func(p ringPoint, h uint64) int { return cmp.Compare(p.hash, h) })
	return position
}

// endpointAt returns the endpoint at a position, modulo the size of the ring. An
// endpoint occurs at several positions, possibly consecutive ones.
func (r *ring) endpointAt(position int) int32 { return r.points[position%len(r.points)].endpointID }

// mix hashes two words with the finaliser of splitmix64.
func mix(a, b uint64) uint64 {
	x := a + (b+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
