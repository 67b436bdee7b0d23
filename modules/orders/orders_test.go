package orders

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	pb "github.com/arbutusline/arbutusline/api/arbutuspb"
	"github.com/arbutusline/arbutusline/decision/membership"
	"github.com/arbutusline/arbutusline/decision/rollout"
	"github.com/arbutusline/arbutusline/objectstore"
	"github.com/arbutusline/arbutusline/objectstore/fake"
	"github.com/arbutusline/arbutusline/rules"
	"github.com/arbutusline/arbutusline/settings"
	"github.com/arbutusline/arbutusline/standin/engine"
)

func startEngine(t *testing.T, name, fencing, weightsURL string) *engine.Server {
	t.Helper()
	cfg := engine.Defaults()
	cfg.Name, cfg.Address, cfg.Model, cfg.FencingMode = name, "127.0.0.1:0", "ledger-llm", fencing
	cfg.WeightsVersion, cfg.WeightsLoadTime, cfg.WeightStoreURL = "v1", settings.Duration(time.Millisecond), weightsURL
	s := engine.New(cfg, engine.NewFleetCacheIndex())
	assert.NilError(t, s.Start())
	t.Cleanup(s.Stop)
	return s
}

func newOrderServer(name, url string, store objectstore.Store) *orderServer {
	return &orderServer{endpoint: name, engineURL: url, httpClient: newEngineClient(), store: store, callTimeout: 2 * time.Second, answeredOrders: newMetrics().answeredOrders}
}

func writeLease(t *testing.T, store objectstore.Store, token uint64) {
	t.Helper()
	value, err := json.Marshal(rollout.Lease{Holder: "router-1", FencingToken: token})
	assert.NilError(t, err)
	_, err = store.Put(context.Background(), rollout.LeaseKey, value, objectstore.MustNotExist)
	assert.NilError(t, err)
}

// Guards against an order of an earlier holder of the lease that an engine executes
// because it ignores fencing tokens, also after a restart of its agent, and against a
// restarted agent that passes orders before it has read the token of the lease.
func TestAgentKeepsHighestToken(t *testing.T) {
	for _, fencing := range []string{engine.FencingHonoured, engine.FencingIgnored} {
		store := fake.New()
		writeLease(t, store, 5)
		e := startEngine(t, "llm-1", fencing, "")
		first := newOrderServer("llm-1", e.URL(), store)
		state, err := first.EngineState(context.Background(), nil)
		assert.NilError(t, err)
		sendOrder := func(a *orderServer, token uint64, version string) pb.OrderResult {
			out, err := a.Give(context.Background(), &pb.OrderRequest{
				Endpoint: "llm-1", Token: token, Kind: string(rollout.KindLoadWeights), Model: "ledger-llm",
				WeightsVersion: version, EngineIncarnation: state.Incarnation,
			})
			assert.NilError(t, err)
			return out.Result
		}
		assert.Equal(t, sendOrder(first, 4, "v1"), pb.OrderResult_ORDER_RESULT_STALE)
		assert.Equal(t, sendOrder(first, 6, "v1"), pb.OrderResult_ORDER_RESULT_ACCEPTED)
		assert.Equal(t, sendOrder(first, 5, "v1"), pb.OrderResult_ORDER_RESULT_STALE)

		restarted := newOrderServer("llm-1", e.URL(), store)
		store.SetOutage(true)
		assert.Equal(t, sendOrder(restarted, 6, "v1"), pb.OrderResult_ORDER_RESULT_UNKNOWN)
		store.SetOutage(false)
		assert.Equal(t, sendOrder(restarted, 4, "v1"), pb.OrderResult_ORDER_RESULT_STALE)
		assert.Equal(t, sendOrder(restarted, 6, "v1"), pb.OrderResult_ORDER_RESULT_ACCEPTED)

		state.Incarnation++
		assert.Equal(t, sendOrder(restarted, 7, "v2"), pb.OrderResult_ORDER_RESULT_GONE)
	}
}

// fakeCluster is the directory and rules source of a router. Its agents, each beside a
// stand-in engine, are called over gRPC on the loopback interface.
type fakeCluster struct {
	name         string
	rulesView    *rules.View
	orderServers map[string]*orderServer
	addresses    map[string]string
}

func (c *fakeCluster) Self() membership.Member {
	return membership.Member{Name: c.name, Role: membership.RoleRouter, Incarnation: 1}
}
func (c *fakeCluster) LiveMembers() []membership.Member { return nil }
func (c *fakeCluster) Current() *rules.View             { return c.rulesView }
func (c *fakeCluster) AgentByEndpoint(name string) (membership.Member, bool) {
	return membership.Member{GRPCAddress: c.addresses[name]}, true
}

// newFakeCluster starts an engine that checks fencing tokens and one that ignores them, with
// a rollout to v2 that loads one engine at a time.
func newFakeCluster(t *testing.T, store objectstore.Store, weightsURL string) *fakeCluster {
	t.Helper()
	c := &fakeCluster{name: "router-0", orderServers: map[string]*orderServer{}, addresses: map[string]string{}}
	var lines []string
	for i, fencing := range []string{engine.FencingHonoured, engine.FencingIgnored} {
		name := fmt.Sprintf("llm-%d", i)
		a := newOrderServer(name, startEngine(t, name, fencing, weightsURL).URL(), store)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		server := grpc.NewServer()
		pb.RegisterOrdersServer(server, a)
		go func() { _ = server.Serve(listener) }()
		t.Cleanup(server.Stop)
		c.orderServers[name], c.addresses[name] = a, listener.Addr().String()
		lines = append(lines, fmt.Sprintf("endpoint %s model ledger-llm host h-%d zone a # anitha: rack", name, i))
	}
	lines = append(lines, "rollout ledger-llm version v2 loads 1 keep 0% # anitha: weights")
	view, err := rules.Compile("rules", 1, strings.Join(lines, "\n"))
	assert.NilError(t, err)
	c.rulesView = view
	return c
}

// fastClock runs ten times as fast as the wall clock, so that a lease expires after
// one second.
type fastClock struct{ origin time.Time }

func (c fastClock) Now() time.Duration                     { return 10 * time.Since(c.origin) }
func (c fastClock) After(d time.Duration) <-chan time.Time { return time.After(d / 10) }

func (c *fakeCluster) startRouter(t *testing.T, name string, store objectstore.Store) *Module {
	t.Helper()
	log := logrus.New()
	log.SetLevel(logrus.ErrorLevel)
	c.name = name
	m := NewModule()
	m.Configure(c, c, store, newGRPCAgentClient(), fastClock{time.Now()}, logrus.NewEntry(log))
	assert.NilError(t, m.Start(context.Background()))
	return m
}

func (c *fakeCluster) weightsVersion(t *testing.T, name string) string {
	t.Helper()
	s, err := c.orderServers[name].EngineState(context.Background(), nil)
	assert.NilError(t, err)
	return s.WeightsVersion
}

func waitFor(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(60 * time.Second)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", condition)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against a new holder of the lease that ignores the recorded steps of a holder
// which stopped in the middle of a rollout, and against late orders of that holder: both
// engines must reach the new version, and the old token must be refused.
func TestSecondHolderResumes(t *testing.T) {
	store := fake.New()
	// The first weights load lasts until the second router holds the lease, so that
	// the step is in progress at any speed of the host.
	loadGate := make(chan struct{})
	releaseLoad := sync.OnceFunc(func() { close(loadGate) })
	weightStore := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-loadGate }))
	defer weightStore.Close()
	defer releaseLoad()
	c := newFakeCluster(t, store, weightStore.URL)
	first := c.startRouter(t, "router-0", store)
	waitFor(t, "a recorded step", func() bool {
		_, _, records := first.Status()
		return len(records) > 0 && len(records[0].Steps) > 0
	})
	firstToken, _, _ := first.Status()
	assert.NilError(t, first.Stop(context.Background()))

	second := c.startRouter(t, "router-1", store)
	defer func() { assert.NilError(t, second.Stop(context.Background())) }()
	waitFor(t, "the second router to hold the lease", func() bool {
		_, holds, _ := second.Status()
		return holds
	})
	assert.Equal(t, c.weightsVersion(t, "llm-0"), "v1")
	releaseLoad()
	waitFor(t, "both engines at v2 and no step left", func() bool {
		_, holds, records := second.Status()
		return holds && len(records) == 1 && len(records[0].Steps) == 0 &&
			c.weightsVersion(t, "llm-0") == "v2" && c.weightsVersion(t, "llm-1") == "v2"
	})
	token, _, _ := second.Status()
	assert.Assert(t, token > firstToken, "token %d after %d", token, firstToken)
	for name, a := range c.orderServers {
		s, err := a.EngineState(context.Background(), nil)
		assert.NilError(t, err)
		result := newGRPCAgentClient().SendOrder(context.Background(), c.addresses[name], rollout.Order{
			Endpoint: name, FencingToken: firstToken, Kind: rollout.KindLoadWeights, Model: "ledger-llm", WeightsVersion: "v1", EngineIncarnation: s.Incarnation,
		})
		assert.Equal(t, result, rollout.OrderFencingTokenStale, "%s", name)
		assert.Equal(t, c.weightsVersion(t, name), "v2")
	}
}

// Guards against a rollout that continues with the second engine after the first engine
// failed to load the new version.
func TestRolloutStopsWhenLoadFails(t *testing.T) {
	store := fake.New()
	weightStore := httptest.NewServer(http.NotFoundHandler())
	defer weightStore.Close()
	c := newFakeCluster(t, store, weightStore.URL)
	m := c.startRouter(t, "router-0", store)
	defer func() { assert.NilError(t, m.Stop(context.Background())) }()
	waitFor(t, "a halted rollout", func() bool {
		_, _, records := m.Status()
		return len(records) > 0 && records[0].HaltReason != ""
	})
	_, _, records := m.Status()
	assert.Equal(t, records[0].HaltReason, "llm-0 could not load version v2")
	// In ten further planning steps, no order may be sent to the second engine.
	sent := testutil.ToFloat64(m.metrics.sentOrders.WithLabelValues("accepted"))
	time.Sleep(500 * time.Millisecond)
	assert.Equal(t, testutil.ToFloat64(m.metrics.sentOrders.WithLabelValues("accepted")), sent)
	assert.Equal(t, c.weightsVersion(t, "llm-1"), "v1")
	_, _, records = m.Status()
	assert.Equal(t, len(records[0].Steps), 1)
}
