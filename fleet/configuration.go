package fleet

import (
	"sort"
	"strings"
)

// BuildIndexes builds the indexes that HasSlack, RouteFor and TeamForKey use. Call it once,
// before the configuration is shared between goroutines.
func (c *Configuration) BuildIndexes() {
	c.routesByHostname = map[string][]*Route{}
	for i := range c.Routes {
		r := &c.Routes[i]
		hostname := strings.ToLower(r.Hostname)
		c.routesByHostname[hostname] = append(c.routesByHostname[hostname], r)
	}
	for _, routes := range c.routesByHostname {
		sort.SliceStable(routes, func(i, j int) bool {
			return len(routes[i].PathPrefix) > len(routes[j].PathPrefix)
		})
	}
	c.servicesWithSlack = map[string]bool{}
	for i := range c.Routes {
		for _, share := range c.Routes[i].TrafficSplit {
			if c.Routes[i].HasSlack() {
				c.servicesWithSlack[share.Service] = true
			}
		}
	}
	c.teamsByKey = map[string]*Team{}
	for i := range c.Teams {
		for _, key := range c.Teams[i].APIKeys {
			c.teamsByKey[key] = &c.Teams[i]
		}
	}
}

// HasSlack reports whether a route to the service has slack, see Route.HasSlack.
func (c *Configuration) HasSlack(service string) bool { return c.servicesWithSlack[service] }

// RouteFor returns the route of the HTTP host name with the longest matching path
// prefix, or nil. A port in hostname is ignored.
func (c *Configuration) RouteFor(hostname, path string) *Route {
	if i := strings.LastIndexByte(hostname, ':'); i >= 0 && !strings.HasSuffix(hostname, "]") {
		hostname = hostname[:i]
	}
	for _, r := range c.routesByHostname[strings.ToLower(hostname)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// TeamForKey returns the team that the API key belongs to, or nil.
func (c *Configuration) TeamForKey(key string) *Team { return c.teamsByKey[key] }

// PickService returns the service for a request according to the traffic split. The
// same fraction in [0,1) always selects the same service.
func (r *Route) PickService(fraction float64) string {
	var totalWeight float64
	for _, s := range r.TrafficSplit {
		totalWeight += s.Weight
	}
	remaining := fraction * totalWeight
	for _, s := range r.TrafficSplit {
		if remaining -= s.Weight; remaining < 0 {
			return s.Service
		}
	}
	return r.TrafficSplit[len(r.TrafficSplit)-1].Service
}

// KVCacheStore returns the service that stores KV cache entries outside the engines,
// or nil if the configuration has none.
func (c *Configuration) KVCacheStore() *Service {
	for _, s := range c.Services {
		if s.KVCacheStoreAddress != "" {
			return s
		}
	}
	return nil
}
