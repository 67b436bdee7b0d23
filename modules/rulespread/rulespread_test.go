package rulespread

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	pb "github.com/arbutusline/arbutusline/api/arbutuspb"
	"github.com/arbutusline/arbutusline/decision/membership"
	"github.com/arbutusline/arbutusline/decision/ruleset"
	"github.com/arbutusline/arbutusline/modules/gossip"
	"github.com/arbutusline/arbutusline/objectstore"
	"github.com/arbutusline/arbutusline/objectstore/fake"
	"github.com/arbutusline/arbutusline/rules"
)

// inProcessFetcher calls the other processes of the test without a network.
type inProcessFetcher struct {
	mu        sync.Mutex
	byAddress map[string]*Module
}

func (f *inProcessFetcher) Fetch(ctx context.Context, address string, haveVersion, haveHash uint64) (*ruleset.FetchResponse, error) {
	f.mu.Lock()
	m := f.byAddress[address]
	f.mu.Unlock()
	if m == nil {
		return nil, errors.New("no such process")
	}
	out, err := m.FetchRules(ctx, &pb.FetchRulesRequest{HaveVersion: haveVersion, HaveHash: haveHash})
	return decodeFetchResponse(out, haveVersion), err
}

type systemClock struct{ origin time.Time }

func (c systemClock) Now() time.Duration                     { return time.Since(c.origin) }
func (c systemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

type testProcess struct {
	*Module
	gossip *gossip.Module
	views  chan *rules.View
}

// startProcess starts the modules "gossip" and "rules" of process n.
func startProcess(t *testing.T, n int, role string, seeds []string, store objectstore.Store, fetcher *inProcessFetcher) *testProcess {
	t.Helper()
	log := logrus.NewEntry(logrus.New())
	log.Logger.SetLevel(logrus.ErrorLevel)
	clock := systemClock{time.Now()}
	g := gossip.NewModule()
	g.Seeds = seeds
	g.Configure(membership.Member{
		Name: fmt.Sprintf("p%d", n), Role: role, Zone: "a", GRPCAddress: fmt.Sprintf("10.0.0.%d:1", n), Incarnation: uint64(n + 1),
	}, clock, nil, log)
	p := &testProcess{Module: NewModule(), gossip: g, views: make(chan *rules.View, 64)}
	p.Configure(g, store, fetcher, clock, log)
	p.Subscribe(func(v *rules.View) { p.views <- v })
	fetcher.mu.Lock()
	fetcher.byAddress[fmt.Sprintf("10.0.0.%d:1", n)] = p.Module
	fetcher.mu.Unlock()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	assert.NilError(t, err)
	g.Advertise = conn.LocalAddr().String()
	g.StartOnConn(conn)
	assert.NilError(t, p.Start(context.Background()))
	t.Cleanup(func() {
		assert.NilError(t, p.Stop(context.Background()))
		assert.NilError(t, g.Stop(context.Background()))
	})
	return p
}

// awaitVersion waits until the version or a newer one is in force, and checks that
// versions arrive in ascending order.
func (p *testProcess) awaitVersion(t *testing.T, version uint64) {
	t.Helper()
	var last uint64
	for {
		select {
		case v := <-p.views:
			assert.Assert(t, v.Version > last, "version %d after %d", v.Version, last)
			if last = v.Version; last >= version {
				return
			}
		case <-time.After(30 * time.Second):
			t.Fatalf("version %d did not arrive, have %d", version, last)
		}
	}
}

func writeRules(t *testing.T, store objectstore.Store, version uint64, text string) {
	t.Helper()
	expect := objectstore.MustNotExist
	if o, err := store.Get(context.Background(), CurrentKey); err == nil {
		expect = o.Version
	}
	value, err := json.Marshal(record{Version: version, Author: "jose", Text: text})
	assert.NilError(t, err)
	_, err = store.Put(context.Background(), CurrentKey, value, expect)
	assert.NilError(t, err)
}

// Guards against processes that never receive a new version of the rules. Two agents
// without a store must get the first version and a change from the router that
// watches the store, and a router that joins during a store outage must get the
// change from the other processes.
func TestRulesReachProcessesWithoutStore(t *testing.T) {
	store, fetcher := fake.New(), &inProcessFetcher{byAddress: map[string]*Module{}}
	writeRules(t, store, 1, "weights hit 1 # jose: start\n")
	router := startProcess(t, 0, membership.RoleRouter, nil, store, fetcher)
	seeds := []string{router.gossip.Advertise}
	a := startProcess(t, 1, membership.RoleAgent, seeds, nil, fetcher)
	b := startProcess(t, 2, membership.RoleAgent, seeds, nil, fetcher)
	a.awaitVersion(t, 1)
	b.awaitVersion(t, 1)
	writeRules(t, store, 2, "weights hit 2 # jose: change\n")
	a.awaitVersion(t, 2)
	b.awaitVersion(t, 2)

	store.SetOutage(true)
	c := startProcess(t, 3, membership.RoleRouter, []string{a.gossip.Advertise}, store, fetcher)
	c.awaitVersion(t, 2)
	assert.Equal(t, c.Current().PlacementWeights.HitRate, 2.0)
	status := c.Status()
	assert.Equal(t, status.ActiveVersion, uint64(2))
}
