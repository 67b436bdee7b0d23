// Package cacheevents is the module "cache_events": it reads the cache events of engines
// and of the KV cache store, so that the module "relay" knows which prompt parts were
// evicted. Only a few routers follow an engine. The others learn about new parts through
// the module "exchange".
package cacheevents

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/arbutusline/arbutusline"
	"github.com/arbutusline/arbutusline/decision/catchup"
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
	// longPollWait is the maximum time for which an engine holds a request until
	// there are events.
	longPollWait = 800 * time.Millisecond
	// callTimeout bounds a request, longPollWait included.
	callTimeout = 2 * time.Second
	// retryDelay is the delay after a failed request.
	retryDelay = time.Second
	// routersPerSource is the number of routers that follow an engine or the KV cache
	// store. An engine accepts about a dozen requests for cache events at the same
	// time.
	routersPerSource = 5
	// maxResponseBytes is the maximum size of a response.
	maxResponseBytes = 4 << 20
	// decodedEventsExpansion is how many times the length of a response its events need: two
	// copies of the text, and about twice its length for the events.
	decodedEventsExpansion = 4
)

func init() {
	arbutusline.Register(func() arbutusline.Module {
		return &CacheEvents{PollDelay: settings.Duration(300 * time.Millisecond)}
	})
}

// CacheEvents reads the cache events of the engines that this router follows.
type CacheEvents struct {
	// PollDelay is the delay between two requests to an engine, so that one
	// response has several events. Default 300ms.
	PollDelay settings.Duration `json:"pace"`

	log        *logrus.Entry
	node       *node.Node
	directory  *directory.Directory
	relay      *relay.Relay
	upstream   *upstream.Client
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	startTime  time.Time

	mu sync.Mutex
	// stopFollowing maps the ID of each followed source to the function that ends its
	// goroutine.
	stopFollowing map[string]context.CancelFunc
	// turns decides when missed events are read, and catchUp counts what the first reads
	// of all sources return.
	turns   *catchup.Turns
	catchUp catchUp

	eventCounter *prometheus.CounterVec
}

// ModuleName returns "cache_events".
func (c *CacheEvents) ModuleName() string { return Name }

// Provision looks up the modules that CacheEvents uses and subscribes to the
// directory's views.
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
	c.startTime = time.Now()
	c.turns = catchup.New()
	c.directory.Subscribe(c.updateFollowedSources)
	return nil
}

// Validate checks the settings.
func (c *CacheEvents) Validate() error {
	if c.PollDelay < 0 {
		return errors.New("pace must not be negative")
	}
	return nil
}

// Stop cancels all requests and waits for their goroutines.
func (c *CacheEvents) Stop(context.Context) error {
	c.cancel()
	c.goroutines.Wait()
	return nil
}

// updateFollowedSources starts following the sources of the view that this router must
// follow, and stops following all others.
func (c *CacheEvents) updateFollowedSources(v *fleet.View) {
	if v.Config == nil || !c.directory.RoutersKnownLocked() {
		return
	}
	routers := []string{c.node.ID}
	for name := range c.directory.OtherRouterNamesLocked() {
		routers = append(routers, name)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	sources := eventSourcesOf(v)
	for id, s := range sources {
		if !isFollower(c.node.ID, id, routers) {
			delete(sources, id)
			continue
		}
		if c.stopFollowing[id] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(c.ctx)
		c.stopFollowing[id] = cancel
		c.goroutines.Go(func() { c.follow(ctx, s) })
	}
	for id, cancel := range c.stopFollowing {
		if _, ok := sources[id]; !ok {
			cancel()
			delete(c.stopFollowing, id)
		}
	}
}

// eventSource is an engine or the KV cache store.
type eventSource struct {
	id      string
	address string
	// expectedEndpointID identifies the incarnation of the endpoint that must respond
	// at the address. It is "" for the KV cache store.
	expectedEndpointID string
}

func eventSourcesOf(v *fleet.View) map[string]eventSource {
	out := map[string]eventSource{}
	for id, e := range v.EndpointsByID {
		if s := v.Config.Services[e.Service]; s != nil && s.Engine != nil {
			out[id] = eventSource{id, e.Address, id}
		}
	}
	if s := v.Config.KVCacheStore(); s != nil {
		out[selection.KVCacheStoreID] = eventSource{id: selection.KVCacheStoreID, address: s.KVCacheStoreAddress}
	}
	return out
}

// isFollower reports whether the router self is among the first routersPerSource
// routers in the rendezvous hashing order of an event source.
func isFollower(self, sourceID string, routers []string) bool {
	ownHash := xxhash.Sum64String(sourceID + "\x00" + self)
	higherRanked := 0
	for _, r := range routers {
		if xxhash.Sum64String(sourceID+"\x00"+r) > ownHash {
			higherRanked++
		}
	}
	return higherRanked < routersPerSource
}

// position is how far a source's events have been read.
type position struct {
	bootEpoch, nextSequence uint64
	readAt                  time.Time
}

// missedAfter is the time without a successful read after which a source may have many
// events: several polls.
const missedAfter = 4 * time.Second

func (c *CacheEvents) follow(ctx context.Context, s eventSource) {
	var p position
	for ctx.Err() == nil {
		if pause := c.relay.EndpointPause(s.id); pause > 0 {
			wait.For(ctx, pause)
		}
		var err error
		if time.Since(p.readAt) < missedAfter {
			_, err = c.readEvents(ctx, s, &p, func() {})
		} else {
			err = c.readMissedEvents(ctx, s, &p)
		}
		if err != nil {
			c.eventCounter.WithLabelValues("failed").Inc()
			wait.ForJittered(ctx, retryDelay)
			continue
		}
		wait.ForJittered(ctx, c.PollDelay.AsDuration())
	}
}

// readMissedEvents waits for the source's turn and reads its events.
func (c *CacheEvents) readMissedEvents(ctx context.Context, s eventSource, p *position) error {
	if !c.waitForTurn(ctx, s.id) {
		return ctx.Err()
	}
	first := p.bootEpoch == 0
	respondedAt := time.Now()
	events, err := c.readEvents(ctx, s, p, func() {
		respondedAt = time.Now()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.turns.Responded(s.id)
	})
	var busy time.Duration
	if events > 0 {
		busy = time.Since(respondedAt)
	}
	c.mu.Lock()
	c.turns.End(time.Since(c.startTime), s.id, busy)
	c.mu.Unlock()
	if first && err == nil {
		c.recordCaughtUp(events)
	}
	return err
}

// waitForTurn waits until the read of a source's missed events may begin. It returns false
// if ctx ends before that.
func (c *CacheEvents) waitForTurn(ctx context.Context, source string) bool {
	for ctx.Err() == nil {
		c.mu.Lock()
		ok, retryIn := c.turns.TryBegin(time.Since(c.startTime), source)
		c.mu.Unlock()
		if ok {
			return true
		}
		wait.For(ctx, retryIn)
	}
	return false
}

// readEvents reads and applies the events after a position and advances it. It calls
// onResponse when the response begins, and returns the number of events.
func (c *CacheEvents) readEvents(ctx context.Context, s eventSource, p *position, onResponse func()) (int, error) {
	response, err := c.fetchEvents(ctx, s, p.nextSequence, onResponse)
	if err != nil {
		return 0, err
	}
	defer response.release()
	restarted := p.bootEpoch != 0 && response.BootEpoch != p.bootEpoch
	if restarted {
		c.log.WithFields(logrus.Fields{"endpoint": s.id, "epoch": response.BootEpoch}).Info("engine restarted with an empty cache")
	}
	if response.EventsLost && p.nextSequence != 0 {
		c.eventCounter.WithLabelValues("lost").Inc()
	}
	c.eventCounter.WithLabelValues("taken").Add(float64(len(response.Events)))
	if p.bootEpoch != 0 || len(response.Events) > 0 {
		c.relay.ObserveCacheEvents(s.id, response.Events, restarted)
	}
	*p = position{response.BootEpoch, response.NextSequence, time.Now()}
	return len(response.Events), nil
}

// catchUp counts the sources whose events this router has begun to read since its start.
type catchUp struct{ sources, events int }

// recordCaughtUp records the first response of a source, and logs when all followed
// sources have sent one.
func (c *CacheEvents) recordCaughtUp(events int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.catchUp.sources++
	c.catchUp.events += events
	if c.catchUp.sources == len(c.stopFollowing) {
		c.log.WithFields(logrus.Fields{
			"sources": c.catchUp.sources, "events": c.catchUp.events, "took_ms": time.Since(c.startTime).Milliseconds(),
		}).Info("cache events caught up")
	}
}

// eventsResponse is a response with the memory that it holds until release.
type eventsResponse struct {
	platform.CacheEventsResponse
	release func()
}

func (c *CacheEvents) fetchEvents(ctx context.Context, s eventSource, since uint64, onResponse func()) (out eventsResponse, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	httpResponse, err := c.upstream.Do(ctx, s.address, &upstream.Request{
		Method: http.MethodGet, URI: platform.CacheEventsPath(since), Host: s.address,
		Header: platform.CacheEventsRequestHeader(s.expectedEndpointID, longPollWait),
	})
	if err != nil {
		return eventsResponse{}, err
	}
	defer func() { _ = httpResponse.Body.Close() }() // Close reuses the connection or closes it.
	onResponse()
	if httpResponse.Status != http.StatusOK {
		httpResponse.Discard()
		return eventsResponse{}, errors.Newf("request for cache events returned HTTP status %d", httpResponse.Status)
	}
	body, err := httpResponse.ReadAll(maxResponseBytes)
	if err != nil {
		return eventsResponse{}, err
	}
	if e := c.directory.View().EndpointsByID[s.id]; e != nil && platform.Leaving(httpResponse.Header) {
		c.directory.ObserveLeaving(e)
	}
	skipped := 0
	err = body.Decode(decodedEventsExpansion, func(text []byte) (err error) {
		out.CacheEventsResponse, skipped, err = platform.DecodeCacheEvents(text)
		return err
	})
	if skipped > 0 {
		c.eventCounter.WithLabelValues("unreadable").Add(float64(skipped))
	}
	if err != nil {
		body.Release()
		return eventsResponse{}, err
	}
	out.release = body.Release
	return out, nil
}
