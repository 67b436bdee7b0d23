package main

import (
	"context"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline"
	"github.com/arbutusline/arbutusline/api/arbutuspb"
	"github.com/arbutusline/arbutusline/modules/grpcserver"
)

// Guards against a Describe response, which operators read, that does not follow the
// state of peers, endpoints and the store.
func TestDescribeShowsTheLiveState(t *testing.T) {
	c := newCluster(t)
	first := c.startEndpoint(engineEndpoint("e1"))
	router, _ := c.startRouter(), c.startRouter()
	server, err := arbutusline.Lookup[*grpcserver.Server](router.kernel, grpcserver.Name)
	assert.NilError(t, err)
	conn, err := grpc.NewClient(server.Address(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	assert.NilError(t, err)
	defer func() { assert.Check(t, conn.Close()) }()
	describe := func() *arbutuspb.RouterDescription {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		d, err := arbutuspb.NewRouterStatusClient(conn).Describe(ctx, &arbutuspb.DescribeRequest{})
		assert.NilError(t, err)
		return d
	}
	c.eventually("the other router is known", func() bool { return len(describe().Peers) == 1 })
	d := describe()
	assert.Equal(t, d.ConfigurationVersion, uint64(1))
	assert.Equal(t, d.Weights[0].Version, uint64(1))
	assert.Equal(t, d.Endpoints[0].Endpoint, "e1")
	assert.Equal(t, d.Endpoints[0].Use, "used")
	c.registerEndpoint(first, "draining")
	c.eventually("the endpoint is shown as draining", func() bool { return describe().Endpoints[0].Use == "draining" })
	router.storeProxy.MakeUnavailable()
	c.eventually("the store is shown as lost", func() bool { return describe().StoreLost })
}
