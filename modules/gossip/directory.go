package gossip

import (
	"slices"
	"strings"
	"sync"

	"github.com/arbutusline/arbutusline/decision/membership"
)

// directory is the member list for lookups on the request path.
type memberIndex struct {
	mu             sync.RWMutex
	members        map[string]*membership.Member
	endpointAgents map[string]string
	// routers is the number of members with that role.
	liveRouters int
	// alive lists the routers that are alive; nil means that it must be
	// rebuilt. Callers keep the slice, so that it is replaced, never changed.
	aliveRouters []string
}

func newMemberIndex() *memberIndex {
	return &memberIndex{members: map[string]*membership.Member{}, endpointAgents: map[string]string{}}
}

func (d *memberIndex) update(m *membership.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.updateRouters(m)
	if m.State == membership.Dead {
		delete(d.members, m.Name)
		if m.Endpoint != "" && d.endpointAgents[m.Endpoint] == m.Name {
			d.reassignEndpoint(m.Endpoint)
		}
		return
	}
	d.members[m.Name] = m
	if m.Endpoint == "" {
		return
	}
	held, ok := d.members[d.endpointAgents[m.Endpoint]]
	if !ok || held.Endpoint != m.Endpoint || m.Incarnation >= held.Incarnation {
		d.endpointAgents[m.Endpoint] = m.Name
	}
}

// countRouter accounts for a member that is about to be stored or removed.
func (d *memberIndex) updateRouters(m *membership.Member) {
	old, known := d.members[m.Name]
	if known && old.Role == membership.RoleRouter {
		d.liveRouters--
		d.aliveRouters = nil
	}
	if m.Role == membership.RoleRouter {
		d.aliveRouters = nil
		if m.State != membership.Dead {
			d.liveRouters++
		}
	}
}

// routerCount returns the number of routers that are not dead.
func (d *memberIndex) liveRouterCount() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.liveRouters
}

// aliveRouters returns the names of the routers that are alive. The caller
// must not change the slice.
func (d *memberIndex) aliveRouterNames() []string {
	d.mu.RLock()
	list := d.aliveRouters
	d.mu.RUnlock()
	if list != nil {
		return list
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.aliveRouters == nil {
		d.aliveRouters = make([]string, 0, d.liveRouters)
		for _, m := range d.members {
			if m.Role == membership.RoleRouter && m.State == membership.Alive {
				d.aliveRouters = append(d.aliveRouters, m.Name)
			}
		}
	}
	return d.aliveRouters
}

// reassign finds the newest remaining agent that announces the endpoint.
func (d *memberIndex) reassignEndpoint(endpoint string) {
	delete(d.endpointAgents, endpoint)
	var newest *membership.Member
	for _, m := range d.members {
		if m.Endpoint == endpoint && (newest == nil || m.Incarnation > newest.Incarnation) {
			newest = m
		}
	}
	if newest != nil {
		d.endpointAgents[endpoint] = newest.Name
	}
}

func (d *memberIndex) member(name string) (membership.Member, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	m, ok := d.members[name]
	if !ok {
		return membership.Member{}, false
	}
	return *m, true
}

func (d *memberIndex) agentByEndpoint(name string) (membership.Member, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	m, ok := d.members[d.endpointAgents[name]]
	if !ok || m.Endpoint != name {
		return membership.Member{}, false
	}
	return *m, true
}

func (d *memberIndex) liveMembers() []membership.Member {
	d.mu.RLock()
	list := make([]membership.Member, 0, len(d.members))
	for _, m := range d.members {
		list = append(list, *m)
	}
	d.mu.RUnlock()
	slices.SortFunc(list, func(a, b membership.Member) int { return strings.Compare(a.Name, b.Name) })
	return list
}
