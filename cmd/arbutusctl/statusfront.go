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

// frontStatus is what a front router reports. A front router runs arbutus-front, which
// routes requests to endpoints that have no agents.
type frontStatus struct {
	Name                     string                    `json:"name"`
	Zone                     string                    `json:"zone"`
	Address                  string                    `json:"address"`
	ConfigurationVersion     uint64                    `json:"configuration_version"`
	StoreUnreachable         bool                      `json:"store_lost"`
	UnreachablePeers         []string                  `json:"lost_peers"`
	PeerCount                int                       `json:"peers"`
	OrderLeaseHolder         string                    `json:"lease_holder"`
	OrderLeaseFencingToken   uint64                    `json:"lease_fence"`
	HoldsOrderLease          bool                      `json:"lease_held"`
	PublishedWeightsVersions []publishedWeightsVersion `json:"weights"`
	Endpoints                []endpointStatus          `json:"endpoints"`
	Error                    string                    `json:"error,omitempty"`
}

// publishedWeightsVersion is the newest published weights version of a model.
type publishedWeightsVersion struct {
	Model   string `json:"model"`
	Version uint64 `json:"version"`
	// AgeMS is the time since the version was published, or 0 if the router does not
	// know that time.
	AgeMS uint32 `json:"age_ms"`
}

// endpointStatus is the state of an endpoint according to one router.
type endpointStatus struct {
	ID              string            `json:"id"`
	Service         string            `json:"service"`
	Zone            string            `json:"zone"`
	Address         string            `json:"address"`
	WeightsVersions map[string]uint64 `json:"weights"`
	// Use is "used" or the reason why the endpoint gets no requests.
	Use string `json:"use"`
	// RunningRequests is the number of running requests of all routers, and
	// PendingPrefillTokens the number of their prompt tokens that the endpoint has not
	// processed yet.
	RunningRequests      uint32 `json:"running"`
	PendingPrefillTokens uint32 `json:"unread_tokens"`
}

// frontFleetStatus is the output of status for front routers.
type frontFleetStatus struct {
	Routers []frontStatus `json:"routers"`
	Faults  []string      `json:"faults"`
}

// describeFrontRouters asks front routers for their status. It returns false if one of
// the processes is not a front router.
func describeFrontRouters(inv *invocation, addresses []string) (frontFleetStatus, bool) {
	var fleet frontFleetStatus
	for _, r := range callAll(inv.ctx, addresses, describeCall) {
		if status.Code(r.err) == codes.Unimplemented {
			return frontFleetStatus{}, false
		}
		fleet.Routers = append(fleet.Routers, newFrontStatus(r.address, r.value, r.err))
	}
	fleet.Faults = findFaults(fleet.Routers)
	return fleet, true
}

func describeCall(ctx context.Context, conn grpc.ClientConnInterface) (*arbutuspb.RouterDescription, error) {
	return arbutuspb.NewRouterStatusClient(conn).Describe(ctx, &arbutuspb.DescribeRequest{})
}

func newFrontStatus(address string, description *arbutuspb.RouterDescription, err error) frontStatus {
	if err != nil {
		return frontStatus{Name: unknownName, Address: address, Error: status.Convert(err).Message()}
	}
	router := frontStatus{
		Name: description.Name, Zone: description.Zone, Address: address, ConfigurationVersion: description.ConfigurationVersion, StoreUnreachable: description.StoreLost,
		PeerCount: len(description.Peers), OrderLeaseHolder: description.Lease.GetHolder(), OrderLeaseFencingToken: description.Lease.GetFence(), HoldsOrderLease: description.Lease.GetHeld(),
	}
	for _, p := range description.Peers {
		if p.Lost {
			router.UnreachablePeers = append(router.UnreachablePeers, p.Address)
		}
	}
	for _, w := range description.Weights {
		router.PublishedWeightsVersions = append(router.PublishedWeightsVersions, publishedWeightsVersion{w.Model, w.Version, w.AgeMs})
	}
	for _, e := range description.Endpoints {
		router.Endpoints = append(router.Endpoints, endpointStatus{e.Endpoint, e.Service, e.Zone, e.Address, e.Weights, e.Use, e.Running, e.Unread})
	}
	return router
}

// findFaults returns the faults that make status --strict fail.
func findFaults(routers []frontStatus) []string {
	var faults []string
	var newest uint64
	for _, r := range routers {
		newest = max(newest, r.ConfigurationVersion)
	}
	for _, r := range routers {
		name := cmp.Or(strings.Trim(r.Name, unknownName), r.Address)
		switch {
		case r.Error != "":
			faults = append(faults, name+" does not answer: "+r.Error)
			continue
		case r.ConfigurationVersion < newest:
			faults = append(faults, fmt.Sprintf("%s has configuration %d, another router %d", name, r.ConfigurationVersion, newest))
		}
		if r.StoreUnreachable {
			faults = append(faults, name+" does not reach the store")
		}
		for _, p := range r.UnreachablePeers {
			faults = append(faults, name+" does not reach the router at "+p)
		}
		for _, e := range r.Endpoints {
			if e.Use == "suspended" || e.Use == "on_trial" {
				faults = append(faults, fmt.Sprintf("%s does not use %s: %s", name, e.ID, e.Use))
			}
		}
	}
	return faults
}

func (inv *invocation) printFrontFleet(fleet frontFleetStatus) {
	if inv.jsonOutput {
		inv.printJSON(fleet)
		return
	}
	rows := [][]string{{"ROUTER", "ZONE", "ADDRESS", "CONFIGURATION", "STORE", "PEERS", "ORDER LEASE", "NOTE"}}
	for _, r := range fleet.Routers {
		store := "ok"
		if r.StoreUnreachable {
			store = "lost"
		}
		lease := fmt.Sprintf("%s, fence %d", cmp.Or(r.OrderLeaseHolder, "nobody"), r.OrderLeaseFencingToken)
		if r.HoldsOrderLease {
			lease += " (held here)"
		}
		rows = append(rows, []string{
			r.Name, r.Zone, r.Address, fmt.Sprint(r.ConfigurationVersion), store,
			fmt.Sprintf("%d, %d lost", r.PeerCount, len(r.UnreachablePeers)), lease, r.Error,
		})
	}
	inv.printTable(rows)
	inv.printEndpoints(fleet.Routers)
	for _, fault := range fleet.Faults {
		fmt.Fprintln(inv.stdout, "fault:", fault)
	}
}

// printEndpoints prints the weights versions and endpoints that the first router that
// answered reports.
func (inv *invocation) printEndpoints(routers []frontStatus) {
	i := slices.IndexFunc(routers, func(r frontStatus) bool { return r.Error == "" })
	if i < 0 {
		return
	}
	r := routers[i]
	for _, w := range r.PublishedWeightsVersions {
		fmt.Fprintf(inv.stdout, "weights of %s: version %d, published %s ago\n", w.Model, w.Version, time.Duration(w.AgeMS)*time.Millisecond)
	}
	rows := [][]string{{"ENDPOINT", "SERVICE", "ZONE", "ADDRESS", "WEIGHTS", "USE", "RUNNING", "UNREAD"}}
	for _, e := range r.Endpoints {
		var weightsVersions []string
		for model, version := range e.WeightsVersions {
			weightsVersions = append(weightsVersions, fmt.Sprintf("%s:%d", model, version))
		}
		slices.Sort(weightsVersions)
		rows = append(rows, []string{
			e.ID, e.Service, e.Zone, e.Address, strings.Join(weightsVersions, ","), e.Use, fmt.Sprint(e.RunningRequests), fmt.Sprint(e.PendingPrefillTokens),
		})
	}
	fmt.Fprintf(inv.stdout, "endpoints according to %s:\n", r.Name)
	inv.printTable(rows)
}
