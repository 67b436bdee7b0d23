package gossip

import (
	"slices"
	"strings"
	"sync"

	"github.com/arbutusline/arbutusline/decision/membership"
)

// memberIndex indexes the members that are not dead for lookups on the request
// path. It does not contain the process itself.
type memberIndex struct {
	mu      sync.RWMutex
	members map[string]*membership.Member
	// endpointAgents maps each endpoint to the name of the agent that announces it
	// with the highest incarnation.
	endpointAgents map[string]string
	// liveRouters is the number of routers that are not dead.
	liveRouters int
	// aliveRouters are the names of the routers in state Alive; nil means that the
	// list must be rebuilt. Callers keep the slice, so it is replaced and never
	// modified.
	aliveRouters []string
}

func newMemberIndex() *memberIndex {
	return &memberIndex{members: map[string]*membership.Member{}, endpointAgents: map[string]string{}}
}

// update stores the new state of a member, or removes the member if it is dead.
func (x *memberIndex) update(m *membership.Member) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.updateRouters(m)
	if m.State == membership.Dead {
		delete(x.members, m.Name)
		if m.Endpoint != "" && x.endpointAgents[m.Endpoint] == m.Name {
			x.reassignEndpoint(m.Endpoint)
		}
		return
	}
	x.members[m.Name] = m
	if m.Endpoint == "" {
		return
	}
	current, ok := x.members[x.endpointAgents[m.Endpoint]]
	if !ok || current.Endpoint != m.Endpoint || m.Incarnation >= current.Incarnation {
		x.endpointAgents[m.Endpoint] = m.Name
	}
}

// updateRouters updates the router count and invalidates the list of alive routers
// for a member that is about to be stored or removed.
func (x *memberIndex) updateRouters(m *membership.Member) {
	old, known := x.members[m.Name]
	if known && old.Role == membership.RoleRouter {
		x.liveRouters--
		x.aliveRouters = nil
	}
	if m.Role == membership.RoleRouter {
		x.aliveRouters = nil
		if m.State != membership.Dead {
			x.liveRouters++
		}
	}
}

// liveRouterCount returns the number of routers that are not dead.
func (x *memberIndex) liveRouterCount() int {
	x.mu.RLock()
	defer x.mu.RUnlock()
	return x.liveRouters
}

// aliveRouterNames returns the names of the routers in state Alive. The caller
// must not change the slice.
func (x *memberIndex) aliveRouterNames() []string {
	x.mu.RLock()
	list := x.aliveRouters
	x.mu.RUnlock()
	if list != nil {
		return list
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.aliveRouters == nil {
		x.aliveRouters = make([]string, 0, x.liveRouters)
		for _, m := range x.members {
			if m.Role == membership.RoleRouter && m.State == membership.Alive {
				x.aliveRouters = append(x.aliveRouters, m.Name)
			}
		}
	}
	return x.aliveRouters
}

// reassignEndpoint maps the endpoint to the remaining agent that announces it with
// the highest incarnation.
func (x *memberIndex) reassignEndpoint(endpoint string) {
	delete(x.endpointAgents, endpoint)
	var newest *membership.Member
	for _, m := range x.members {
		if m.Endpoint == endpoint && (newest == nil || m.Incarnation > newest.Incarnation) {
			newest = m
		}
	}
	if newest != nil {
		x.endpointAgents[endpoint] = newest.Name
	}
}

func (x *memberIndex) member(name string) (membership.Member, bool) {
	x.mu.RLock()
	defer x.mu.RUnlock()
	m, ok := x.members[name]
	if !ok {
		return membership.Member{}, false
	}
	return *m, true
}

func (x *memberIndex) agentByEndpoint(endpoint string) (membership.Member, bool) {
	x.mu.RLock()
	defer x.mu.RUnlock()
	m, ok := x.members[x.endpointAgents[endpoint]]
	if !ok || m.Endpoint != endpoint {
		return membership.Member{}, false
	}
	return *m, true
}

// liveMembers returns copies of all members, sorted by name.
func (x *memberIndex) liveMembers() []membership.Member {
	x.mu.RLock()
	list := make([]membership.Member, 0, len(x.members))
	for _, m := range x.members {
		list = append(list, *m)
	}
	x.mu.RUnlock()
	slices.SortFunc(list, func(a, b membership.Member) int { return strings.Compare(a.Name, b.Name) })
	return list
}
