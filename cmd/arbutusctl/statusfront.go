package main

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/arbutusline/arbutusline/api/arbutuspb"
)

// entryStatus is what an entry host's router knows.
type entryStatus struct {
	Name                 string          `json:"name"`
	Zone                 string          `json:"zone"`
	Address              string          `json:"address"`
	ConfigurationVersion uint64          `json:"configuration_version"`
	StoreLost            bool            `json:"store_lost"`
	LostPeers            []string        `json:"lost_peers"`
	Peers                int             `json:"peers"`
	LeaseHolder          string          `json:"lease_holder"`
	LeaseFence           uint64          `json:"lease_fence"`
	LeaseHeld            bool            `json:"lease_held"`
	Weights              []namedStatus   `json:"weights"`
	Endpoints            []endpointState `json:"endpoints"`
	Error                string          `json:"error,omitempty"`
}

// namedStatus is the weights version that a model should serve.
type namedStatus struct {
	Model   string `json:"model"`
	Version uint64 `json:"version"`
	// AgeMS is the time since the version was named, 0 when the router has
	// forgotten it.
	AgeMS uint32 `json:"age_ms"`
}

// endpointState is an endpoint as one router sees it.
type endpointState struct {
	ID      string            `json:"id"`
	Service string            `json:"service"`
	Zone    string            `json:"zone"`
	Address string            `json:"address"`
	Weights map[string]uint64 `json:"weights"`
	// Use is "used" or the reason why the endpoint gets no requests.
	Use     string `json:"use"`
	Running uint32 `json:"running"`
	Unread  uint32 `json:"unread_tokens"`
}

// entryFleet is the output of status for routers on entry hosts.
type entryFleet struct {
	Routers []entryStatus `json:"routers"`
	Faults  []string      `json:"faults"`
}

// describeAll asks the processes as routers on entry hosts. It returns false when one of
// them is another process.
func describeAll(s *session, addresses []string) (entryFleet, bool) {
	var out entryFleet
	for _, r := range askAll(s.ctx, addresses, describe) {
		if status.Code(r.err) == codes.Unimplemented {
			return entryFleet{}, false
		}
		out.Routers = append(out.Routers, fromDescription(r.address, r.value, r.err))
	}
	out.Faults = faultsOf(out.Routers)
	return out, true
}

func describe(ctx context.Context, conn grpc.ClientConnInterface) (*arbutuspb.RouterDescription, error) {
	return arbutuspb.NewRouterStatusClient(conn).Describe(ctx, &arbutuspb.DescribeRequest{})
}

func fromDescription(address string, d *arbutuspb.RouterDescription, err error) entryStatus {
	if err != nil {
		return entryStatus{Name: "?", Address: address, Error: status.Convert(err).Message()}
	}
	out := entryStatus{
		Name: d.Name, Zone: d.Zone, Address: address, ConfigurationVersion: d.ConfigurationVersion, StoreLost: d.StoreLost,
		Peers: len(d.Peers), LeaseHolder: d.Lease.GetHolder(), LeaseFence: d.Lease.GetFence(), LeaseHeld: d.Lease.GetHeld(),
	}
	for _, p := range d.Peers {
		if p.Lost {
			out.LostPeers = append(out.LostPeers, p.Address)
		}
	}
	for _, w := range d.Weights {
		out.Weights = append(out.Weights, namedStatus{w.Model, w.Version, w.AgeMs})
	}
	for _, e := range d.Endpoints {
		out.Endpoints = append(out.Endpoints, endpointState{e.Endpoint, e.Service, e.Zone, e.Address, e.Weights, e.Use, e.Running, e.Unread})
	}
	return out
}

// faultsOf returns what status --strict complains of.
func faultsOf(routers []entryStatus) []string {
	var out []string
	var newest uint64
	for _, r := range routers {
		newest = max(newest, r.ConfigurationVersion)
	}
	for _, r := range routers {
		name := cmp.Or(strings.Trim(r.Name, "?"), r.Address)
		switch {
		case r.Error != "":
			out = append(out, name+" does not answer: "+r.Error)
			continue
		case r.ConfigurationVersion < newest:
			out = append(out, fmt.Sprintf("%s has configuration %d, another router %d", name, r.ConfigurationVersion, newest))
		}
		if r.StoreLost {
			out = append(out, name+" does not reach the store")
		}
		for _, p := range r.LostPeers {
			out = append(out, name+" does not reach the router at "+p)
		}
		for _, e := range r.Endpoints {
			if e.Use == "suspended" || e.Use == "on_trial" {
				out = append(out, fmt.Sprintf("%s does not use %s: %s", name, e.ID, e.Use))
			}
		}
	}
	return out
}

func (s *session) printEntryFleet(f entryFleet) {
	if s.json {
		s.printJSON(f)
		return
	}
	rows := [][]string{{"ROUTER", "ZONE", "ADDRESS", "CONFIGURATION", "STORE", "PEERS", "ORDER LEASE", "NOTE"}}
	for _, r := range f.Routers {
		store := "ok"
		if r.StoreLost {
			store = "lost"
		}
		leader := fmt.Sprintf("%s, fence %d", cmp.Or(r.LeaseHolder, "nobody"), r.LeaseFence)
		if r.LeaseHeld {
			leader += " (held here)"
		}
		rows = append(rows, []string{
			r.Name, r.Zone, r.Address, fmt.Sprint(r.ConfigurationVersion), store,
			fmt.Sprintf("%d, %d lost", r.Peers, len(r.LostPeers)), leader, r.Error,
		})
	}
	s.table(rows)
	s.printEndpoints(f.Routers)
	for _, fault := range f.Faults {
		fmt.Fprintln(s.stdout, "fault:", fault)
	}
}

// printEndpoints prints the endpoints as the first router that answered sees them.
func (s *session) printEndpoints(routers []entryStatus) {
	i := slices.IndexFunc(routers, func(r entryStatus) bool { return r.Error == "" })
	if i < 0 {
		return
	}
	r := routers[i]
	for _, w := range r.Weights {
		fmt.Fprintf(s.stdout, "weights of %s: version %d, named %s ago\n", w.Model, w.Version, time.Duration(w.AgeMS)*time.Millisecond)
	}
	rows := [][]string{{"ENDPOINT", "SERVICE", "ZONE", "ADDRESS", "WEIGHTS", "USE", "RUNNING", "UNREAD"}}
	for _, e := range r.Endpoints {
		var weights []string
		for model, version := range e.Weights {
			weights = append(weights, fmt.Sprintf("%s:%d", model, version))
		}
		slices.Sort(weights)
		rows = append(rows, []string{
			e.ID, e.Service, e.Zone, e.Address, strings.Join(weights, ","), e.Use, fmt.Sprint(e.Running), fmt.Sprint(e.Unread),
		})
	}
	fmt.Fprintf(s.stdout, "endpoints as seen by %s:\n", r.Name)
	s.table(rows)
}
