// Package cacheevents is the module "cache_events": it follows the cache events
// of engines, so that the relay knows which prompt parts were evicted. An engine
// is followed by a few routers only; the others learn of new parts by exchange.
package cacheevents

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/arbutusline/arbutusline"
	"github.com/arbutusline/arbutusline/decision/selection"
	"github.com/arbutusline/arbutusline/fleet"
	"github.com/arbutusline/arbutusline/internal/wait"
	"github.com/arbutusline/arbutusline/modules/admin"
	"github.com/arbutusline/arbutusline/modules/directory"
	"github.com/arbutusline/arbutusline/modules/node"
	"github.com/arbutusline/arbutusline/modules/relay"
	"github.com/arbutusline/arbutusline/modules/upstream"
	"github.com/arbutusline/arbutusline/platform"
	"github.com/arbutusline/arbutusline/settings"
)

// Name is the name of the module.
const Name = "cache_events"

const (
	// hold is how long an engine holds a call until there are events.
	longPollWait = 800 * time.Millisecond
	// callTimeout bounds a call that waits.
	callTimeout = 2 * time.Second
	// retryAfter is the pause after a failed call.
	retryDelay = time.Second
	// followers is the number of routers that follow an engine. An engine takes
	// about a dozen of these calls at once.
	routersPerEngine = 5
	// maxBytes bounds one answer.
	maxResponseBytes = 4 << 20
)

func init() {
	arbutusline.Register(func() arbutusline.Module {
		return &CacheEvents{PollDelay: settings.Duration(300 * time.Millisecond)}
	})
}

// CacheEvents follows engines.
type CacheEvents struct {
	// Pace is the pause between two calls to an engine, in which events gather.
	// Default 300ms.
	PollDelay settings.Duration `json:"pace"`

	log       *logrus.Entry
	node      *node.Node
	directory *directory.Directory
	relay     *relay.Relay
	upstream  *upstream.Client
	ctx       context.Context
	cancel    context.CancelFunc
	followers sync.WaitGroup

	mu            sync.Mutex
	stopFollowing map[string]context.CancelFunc

	eventCounter *prometheus.CounterVec
}

// ModuleName returns "cache_events".
func (c *CacheEvents) ModuleName() string { return Name }

// Provision looks up the modules that it uses.
func (c *CacheEvents) Provision(k *arbutusline.Kernel) error {
	c.log = k.Log.WithField("module", Name)
	c.stopFollowing = map[string]context.CancelFunc{}
	a, err := arbutusline.Lookup[*admin.Admin](k, admin.Name)
	if err != nil {
		return err
	}
	if c.node, err = arbutusline.Lookup[*node.Node](k, node.Name); err != nil {
		return err
	}
	if c.directory, err = arbutusline.Lookup[*directory.Directory](k, directory.Name); err != nil {
		return err
	}
	if c.upstream, err = arbutusline.Lookup[*upstream.Client](k, upstream.Name); err != nil {
		return err
	}
	if c.relay, err = arbutusline.Lookup[*relay.Relay](k, relay.Name); err != nil {
		return err
	}
	c.eventCounter = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "arbutus_cache_events_total", Help: "Cache events of engines by result: taken, unreadable, lost, failed calls.",
	}, []string{"result"})
	a.Registry().MustRegister(c.eventCounter)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.directory.Watch(c.updateFollowedSources)
	return nil
}

// Validate checks the settings.
func (c *CacheEvents) Validate() error {
	if c.PollDelay < 0 {
		return errors.New("pace must not be negative")
	}
	return nil
}

// Stop ends all calls.
func (c *CacheEvents) Stop(context.Context) error {
	c.cancel()
	c.followers.Wait()
	return nil
}

// onView follows the engines that fall to this router and leaves the others.
func (c *CacheEvents) updateFollowedSources(v *fleet.View) {
	if v.Config == nil {
		return
	}
	routers := []string{c.node.ID}
	for name := range c.directory.RouterNames() {
		routers = append(routers, name)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	sources := eventSourcesOf(v)
	for id, s := range sources {
		if c.stopFollowing[id] != nil || !isFollower(c.node.ID, id, routers) {
			continue
		}
		ctx, cancel := context.WithCancel(c.ctx)
		c.stopFollowing[id] = cancel
		c.followers.Go(func() { c.follow(ctx, s) })
	}
	for id, cancel := range c.stopFollowing {
		if _, ok := sources[id]; !ok {
			cancel()
			delete(c.stopFollowing, id)
		}
	}
}

// source is an engine or KV store that tells cache events.
type eventSource struct {
	id      string
	address string
	// endpoint is the incarnation that must answer, empty for a KV store.
	expectedEndpointID string
}

func eventSourcesOf(v *fleet.View) map[string]eventSource {
	out := map[string]eventSource{}
	for id, e := range v.ByID {
		if s := v.Config.Services[e.Service]; s != nil && s.Engine != nil {
			out[id] = eventSource{id, e.Address, id}
		}
	}
	if s := v.Config.KVCacheStore(); s != nil {
		out[selection.KVCacheStoreID] = eventSource{id: selection.KVCacheStoreID, address: s.KVCacheStoreAddress}
	}
	return out
}

// mine reports whether a router is among the first in the rendezvous order of
// an engine.
func isFollower(self, engine string, routers []string) bool {
	ownHash := xxhash.Sum64String(engine + "\x00" + self)
	higherRanked := 0
	for _, r := range routers {
		if xxhash.Sum64String(engine+"\x00"+r) > ownHash {
			higherRanked++
		}
	}
	return higherRanked < routersPerEngine
}

func (c *CacheEvents) follow(ctx context.Context, s eventSource) {
	var bootEpoch, nextSequence uint64
	for ctx.Err() == nil {
		response, err := c.fetchEvents(ctx, s, nextSequence)
		if err != nil {
			c.eventCounter.WithLabelValues("failed").Inc()
			wait.ForJittered(ctx, retryDelay)
			continue
		}
		restarted := bootEpoch != 0 && response.BootEpoch != bootEpoch
		if restarted {
			c.log.WithFields(logrus.Fields{"endpoint": s.id, "epoch": response.BootEpoch}).Info("engine started again, its cache is empty")
		}
		if response.EventsLost && nextSequence != 0 {
			c.eventCounter.WithLabelValues("lost").Inc()
		}
		c.eventCounter.WithLabelValues("taken").Add(float64(len(response.Events)))
		if bootEpoch != 0 || len(response.Events) > 0 {
			c.relay.CacheEvents(s.id, response.Events, restarted)
		}
		bootEpoch, nextSequence = response.BootEpoch, response.NextSequence
		wait.ForJittered(ctx, c.PollDelay.AsDuration())
	}
}

func (c *CacheEvents) fetchEvents(ctx context.Context, s eventSource, since uint64) (platform.CacheEventsResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	httpResponse, err := c.upstream.Do(ctx, s.address, &upstream.Request{
		Method: http.MethodGet, URI: platform.CacheEventsPath(since), Host: s.address,
		Header: platform.CacheEventsRequestHeader(s.expectedEndpointID, longPollWait),
	})
	if err != nil {
		return platform.CacheEventsResponse{}, err
	}
	defer func() { _ = httpResponse.Body.Close() }() // Closing gives the connection back or drops it.
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxResponseBytes))
	if err != nil {
		return platform.CacheEventsResponse{}, err
	}
	if httpResponse.Status != http.StatusOK {
		return platform.CacheEventsResponse{}, errors.Newf("engine answered with status %d", httpResponse.Status)
	}
	response, skipped, err := platform.DecodeCacheEvents(body)
	if skipped > 0 {
		c.eventCounter.WithLabelValues("unreadable").Add(float64(skipped))
	}
	return response, err
}
