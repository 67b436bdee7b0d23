package fleet

import (
	"sort"
	"strings"
)

// Index prepares the look-ups of a configuration. It is called once, before the
// configuration is shared.
func (c *Configuration) Index() {
	c.byHost = map[string][]*Route{}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, routes := range c.byHost {
		sort.SliceStable(routes, func(i, j int) bool {
			return len(routes[i].PathPrefix) > len(routes[j].PathPrefix)
		})
	}
	c.byKey = map[string]*Team{}
	for i := range c.Teams {
		for _, key := range c.Teams[i].Keys {
			c.byKey[key] = &c.Teams[i]
		}
	}
}

// Route returns the route of the host with the longest matching path prefix, or
// nil. A port in host is ignored.
func (c *Configuration) Route(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Team returns the team that holds the key, or nil.
func (c *Configuration) Team(key string) *Team { return c.byKey[key] }

// Pick returns the service for a request of the route. The same fraction in
// [0,1) always leads to the same service.
func (r *Route) Pick(fraction float64) string {
	var sum float64
	for _, s := range r.Shares {
		sum += s.Weight
	}
	rest := fraction * sum
	for _, s := range r.Shares {
		if rest -= s.Weight; rest < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// CacheStore returns the KV store of the configuration, or nil.
func (c *Configuration) CacheStore() *Service {
	for _, s := range c.Services {
		if s.CacheStore != "" {
			return s
		}
	}
	return nil
}
