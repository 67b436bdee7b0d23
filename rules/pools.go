package rules

import (
	"slices"
	"strings"
)

// Pool is a set of endpoints that the same teams may use.
type Pool struct {
	Name      string
	Endpoints []*Endpoint
}

// PoolName returns the name of the pool of a model or service for the teams of a
// half. half is "" for teams that belong to no half.
func PoolName(kind Kind, target, half string) string {
	return kind.String() + "/" + target + "/" + half
}

// Pools returns all pools in name order, without draining endpoints.
func (v *View) Pools() []Pool {
	halves := v.halves()
	var pools []Pool
	for key, endpoints := range v.endpointsByTarget {
		for _, half := range halves {
			pools = append(pools, Pool{
				Name:      PoolName(key.kind, key.name, half),
				Endpoints: endpointsForHalf(endpoints, half),
			})
		}
	}
	slices.SortFunc(pools, func(a, b Pool) int { return strings.Compare(a.Name, b.Name) })
	return pools
}

// halves returns "" and the halves of all teams.
func (v *View) halves() []string {
	halves := []string{""}
	for _, t := range v.teams {
		if !slices.Contains(halves, t.Half) {
			halves = append(halves, t.Half)
		}
	}
	return halves
}

// endpointsForHalf returns the endpoints that are not draining and whose host is not
// owned by another half.
func endpointsForHalf(endpoints []*Endpoint, half string) []*Endpoint {
	var available []*Endpoint
	for _, e := range endpoints {
		if !e.Draining && (half == "" || e.OwnerHalf == "" || e.OwnerHalf == half) {
			available = append(available, e)
		}
	}
	return available
}
