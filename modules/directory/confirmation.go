package directory

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/arbutusline/arbutusline/decision/freshness"
	"github.com/arbutusline/arbutusline/fleet"
	"github.com/arbutusline/arbutusline/internal/bootclock"
	"github.com/arbutusline/arbutusline/internal/wait"
	"github.com/arbutusline/arbutusline/platform"
)

// A few routers watch the store and the others learn from them. Neither a router that answers
// nor one that believes to reach the store tells in time what has changed: its path to the
// store may be silent, or it may be short of processor time. Each replica therefore carries as
// of when it is confirmed, and a router whose replica was not confirmed lately reads the changes
// from the store itself.

const (
	// minConfirmationInterval separates two reads of a kind that both succeed, should the
	// clock and the responses disagree.
	minConfirmationInterval = 50 * time.Millisecond
	// maxConfirmationCheck bounds the time until a changed rank takes effect.
	maxConfirmationCheck = time.Second
)

// errStoreSilent ends the pending watches when another call to the store has failed. Their
// connections may be dead.
var errStoreSilent = errors.New("store does not answer other calls")

// deadlines returns how old a replica may become, by kind. The registered routers have no
// deadline: routers that do not answer are left out anyway.
func (d *Directory) deadlines() map[string]time.Duration {
	configuration, endpoints := d.ConfigurationDeadline.AsDuration(), d.EndpointDeadline.AsDuration()
	return map[string]time.Duration{
		platform.KindConfiguration:            configuration,
		platform.KindEndpoints:                endpoints,
		platform.KindPublishedWeightsVersions: min(configuration, endpoints),
		KindSoftwareVersions:                  min(configuration, endpoints),
	}
}

// confirmKind reads the changes of a kind whenever the replica was not confirmed lately.
func (d *Directory) confirmKind(ctx context.Context, kind string, deadline time.Duration) {
	draw, delay := rand.Float64(), minRetryDelay
	for ctx.Err() == nil {
		if dueIn := d.confirmationDueIn(kind, deadline, draw); dueIn > 0 {
			wait.For(ctx, min(dueIn, maxConfirmationCheck))
			continue
		}
		draw = rand.Float64()
		if err := d.confirmFromStore(ctx, kind); err != nil && ctx.Err() == nil {
			d.markStoreUnreachable(kind, err)
			wait.ForJittered(ctx, delay)
			delay = min(2*delay, maxRetryDelay)
			continue
		}
		delay = minRetryDelay
		wait.For(ctx, minConfirmationInterval)
	}
}

// confirmationDueIn returns the time until this router has to read the changes of a kind, or 0.
// The first list of a kind confirms it. While the store is unreachable, the configuration alone
// finds out when it is back.
func (d *Directory) confirmationDueIn(kind string, deadline time.Duration, draw float64) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.replicas[kind].Position().Revision == 0 || kind != platform.KindConfiguration && d.storeUnreachable.Load() {
		return maxRetryDelay
	}
	return d.confirmations[kind].DueIn(bootclock.Now(), freshness.Patience(deadline, d.watchRank, d.reachableRouters, d.Watchers, draw))
}

// confirmFromStore reads the changes of a kind since the replica's position.
func (d *Directory) confirmFromStore(ctx context.Context, kind string) error {
	d.mu.Lock()
	since := d.replicas[kind].Position()
	d.mu.Unlock()
	_, err := d.readChanges(ctx, kind, since, 0)
	if errors.IsAny(err, platform.ErrCompacted, platform.ErrEraChanged) {
		_, err = d.listObjects(ctx, kind)
	}
	if err != nil {
		return err
	}
	d.markStoreReachable(kind)
	return nil
}

// confirmLocked records that the replica of a kind holds all changes acknowledged before a
// time. The caller holds mu and has applied them.
func (d *Directory) confirmLocked(kind, source string, asOf time.Duration) {
	d.confirmations[kind].Confirm(asOf)
	d.replicaConfirmations.WithLabelValues(kind, source).Inc()
	if kind == platform.KindConfiguration {
		d.updateStanding()
	}
}

// ConfirmedAge returns for how long the replica of a kind may lack changes, or false if it was
// never confirmed.
func (d *Directory) ConfirmedAge(kind string) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.confirmations[kind]
	if c == nil {
		return 0, false
	}
	return c.Age(bootclock.Now())
}

// ConfirmFromRouter records what another router said of its replica in a response: that at a
// time, on this router's clock, it held all changes up to a position and none was missing. It
// has no effect while this router's replica is behind that position.
func (d *Directory) ConfirmFromRouter(kind string, position fleet.StorePosition, asOf time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.replicas[kind]
	if r == nil || d.confirmations[kind] == nil || position.Era != r.Position().Era || r.Position().Before(position) {
		return
	}
	d.confirmLocked(kind, sourceRouter, asOf)
}

// ConfigurationStanding tells how well the configuration in force is known.
type ConfigurationStanding struct {
	// Version is 0 if there is no configuration.
	Version uint64
	// Position is that of the object which holds the configuration, Source how this router
	// learned of it: list, watch, read, router, or store if it had to ask the others first.
	Position fleet.StorePosition
	Source   string
	// ConfirmedAt is the time, on bootclock, before which no newer configuration was
	// acknowledged. It is meaningless unless Confirmed is set.
	ConfirmedAt time.Duration
	Confirmed   bool
	// Watching is true if this router watches the store.
	Watching bool
}

// Age returns for how long a newer configuration may have been in force elsewhere, or -1 if
// that is not known.
func (s ConfigurationStanding) Age() time.Duration {
	if !s.Confirmed {
		return -1
	}
	return max(0, bootclock.Now()-s.ConfirmedAt)
}

// Fields returns the fields that explain a decision which was taken by the configuration.
func (s ConfigurationStanding) Fields() logrus.Fields {
	age := s.Age().Milliseconds()
	if !s.Confirmed {
		age = -1
	}
	return logrus.Fields{
		"configuration": s.Version, "revision": s.Position.Revision, "era": s.Position.Era, "source": s.Source,
		"age_ms": age, "watching": s.Watching,
	}
}

// Standing returns how well the configuration in force is known. The view that is read after
// it is at least as new.
func (d *Directory) Standing() ConfigurationStanding { return *d.standing.Load() }

// updateStanding publishes the standing. The caller holds mu.
func (d *Directory) updateStanding() {
	c := d.confirmations[platform.KindConfiguration]
	s := &ConfigurationStanding{
		Position: d.active.position, Source: d.active.source, Watching: d.watchRank < d.Watchers,
	}
	if d.active.configuration != nil {
		s.Version = d.active.configuration.Version
	}
	age, known := c.Age(bootclock.Now())
	s.ConfirmedAt, s.Confirmed = bootclock.Now()-age, known && d.lostNothingLocked()
	d.standing.Store(s)
}

// lostNothingLocked reports whether the store still holds what it acknowledged, as far as this
// router knows. A store that came back from a copy confirms nothing that was acknowledged before
// until operators have written it again. A router that starts does not know how long ago that was,
// unless the era has settled. The caller holds mu.
func (d *Directory) lostNothingLocked() bool {
	if !d.restoredAt.IsZero() {
		return time.Since(d.restoredAt) > eraSettleTime
	}
	return time.Since(d.eraKnownSince) > eraSettleTime || d.eraSettledLocked() || d.inFirstEraLocked()
}

// ConfigurationKnown reports whether no newer configuration was acknowledged longer than the
// deadline ago.
func (d *Directory) ConfigurationKnown(s ConfigurationStanding) bool {
	return s.Confirmed && s.Age() <= d.ConfigurationDeadline.AsDuration()
}

func (d *Directory) registerConfirmationMetrics(registry prometheus.Registerer) {
	d.replicaConfirmations = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "arbutus_directory_confirmations_total", Help: "Confirmations that a replica lacks nothing, by kind and source.",
	}, []string{"kind", "source"})
	registry.MustRegister(d.replicaConfirmations,
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "arbutus_configuration_version", Help: "Version of the configuration in force, 0 if there is none.",
		}, func() float64 { return float64(d.Standing().Version) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "arbutus_configuration_age_seconds", Help: "Time since which a newer configuration may have been acknowledged, -1 if not known.",
		}, func() float64 {
			if s := d.Standing(); s.Confirmed {
				return s.Age().Seconds()
			}
			return -1
		}))
}
