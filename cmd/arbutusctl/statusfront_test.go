package main

import (
	"context"
	"net"
	"strings"
	"testing"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/api/arbutuspb"
)

// fakeFrontRouter answers with a fixed description.
type fakeFrontRouter struct {
	arbutuspb.UnimplementedRouterStatusServer
	description *arbutuspb.RouterDescription
}

func (r *fakeFrontRouter) Describe(context.Context, *arbutuspb.DescribeRequest) (*arbutuspb.RouterDescription, error) {
	return r.description, nil
}

func (f *fixture) serveFrontRouter(l net.Listener, d *arbutuspb.RouterDescription) {
	server := grpc.NewServer()
	arbutuspb.RegisterRouterStatusServer(server, &fakeFrontRouter{description: d})
	go func() { _ = server.Serve(l) }()
	f.t.Cleanup(server.Stop)
}

// Guards against a status that does not show why an endpoint gets no requests, which
// router has an old configuration, or which router may order changes of weights.
func TestStatusOfFrontRouters(t *testing.T) {
	f := newFixture(t)
	listener1, listener2 := f.listen("f1"), f.listen("f2")
	assert.NilError(t, f.listen("gone").Close())
	f.serveFrontRouter(listener1, &arbutuspb.RouterDescription{
		Name: "front-a", Zone: "kochi-a", ConfigurationVersion: 7,
		Weights: []*arbutuspb.NamedWeights{{Model: "m", Version: 4, AgeMs: 2500}},
		Lease:   &arbutuspb.OrderLease{Holder: "10.1.0.30", Fence: 3, Held: true},
		Peers:   []*arbutuspb.RouterPeer{{Address: "10.1.0.31:1", Lost: true}, {Address: "10.1.0.32:1"}},
		Endpoints: []*arbutuspb.EndpointUse{
			{Endpoint: "llm-1", Service: "llm", Zone: "kochi-a", Address: "10.9.0.1:80", Weights: map[string]uint64{"m": 3}, Use: "changes_weights", Running: 2, Unread: 900},
			{Endpoint: "app-1", Service: "app", Zone: "kochi-b", Address: "10.9.0.2:80", Use: "suspended"},
		},
	})
	f.serveFrontRouter(listener2, &arbutuspb.RouterDescription{Name: "front-b", Zone: "kochi-b", ConfigurationVersion: 6, StoreLost: true})
	got := f.runCommand("status --router $f1 --router $f2 --router $gone --strict")
	header, rest, _ := strings.Cut(got, "\n")
	assert.Equal(t, collapseSpaces(header), "ROUTER ZONE ADDRESS CONFIGURATION STORE PEERS ORDER LEASE NOTE")
	for _, want := range []string{
		"front-a kochi-a $f1 7 ok 2, 1 lost 10.1.0.30, fence 3 (held here)",
		"front-b kochi-b $f2 6 lost 0, 0 lost nobody, fence 0",
		"weights of m: version 4, published 2.5s ago",
		"llm-1 llm kochi-a 10.9.0.1:80 m:3 changes_weights 2 900",
		"app-1 app kochi-b 10.9.0.2:80 suspended 0 0",
		"fault: front-a does not reach the router at 10.1.0.31:1",
		"fault: front-a does not use app-1: suspended",
		"fault: front-b has configuration 6, another router 7",
		"fault: front-b does not reach the store",
		"fault: $gone does not answer",
		"exit 7",
	} {
		assert.Assert(t, strings.Contains(collapseSpaces(rest), want), "%q is not in:\n%s", want, rest)
	}
	got = f.runCommand("status --router $f1 --output json")
	assert.Assert(t, strings.Contains(got, `"lease_held": true`), got)
	assert.Assert(t, strings.HasSuffix(got, "exit 0\n"), got)
	got = f.runCommand("status --router $gone")
	assert.Assert(t, strings.HasSuffix(got, "exit 4\n"), got)
}
