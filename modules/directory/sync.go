package directory

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/arbutusline/arbutusline/decision/replica"
	"github.com/arbutusline/arbutusline/fleet"
	"github.com/arbutusline/arbutusline/internal/bootclock"
	"github.com/arbutusline/arbutusline/internal/wait"
	"github.com/arbutusline/arbutusline/platform"
)

const (
	// batchDelay precedes each watch of the endpoints and the routers, so that one
	// response returns several changes.
	batchDelay = 150 * time.Millisecond
	// watcherCheckInterval is the time between two checks whether this router has to watch.
	watcherCheckInterval = time.Second
)

// syncKind keeps the replica of one kind up to date until ctx is done.
func (d *Directory) syncKind(ctx context.Context, kind string) {
	delay := minRetryDelay
	for ctx.Err() == nil {
		position, err := d.listObjects(ctx, kind)
		watched := false
		for err == nil && ctx.Err() == nil {
			position = d.waitUntilWatcher(ctx, kind, position)
			position, err = d.watchObjects(ctx, kind, position)
			watched = watched || err == nil
		}
		if ctx.Err() != nil {
			return
		}
		if watched {
			delay = minRetryDelay
		}
		if errors.IsAny(err, platform.ErrCompacted, platform.ErrEraChanged) {
			d.log.WithError(err).WithFields(logrus.Fields{"kind": kind, "era": position.Era, "revision": position.Revision}).Info("store lacks the requested changes; listing objects again")
			if watched {
				continue
			}
		} else {
			d.markStoreUnreachable(kind, err)
		}
		wait.ForJittered(ctx, delay)
		delay = min(2*delay, maxRetryDelay)
	}
}

func (d *Directory) listObjects(ctx context.Context, kind string) (fleet.StorePosition, error) {
	begin := bootclock.Now()
	objects, position, err := d.store.List(ctx, kind)
	if err != nil {
		return fleet.StorePosition{}, err
	}
	d.markStoreReachable(kind)
	entries := make([]replica.Entry, 0, len(objects))
	for _, o := range objects {
		entries = append(entries, replica.Entry{Name: o.Metadata.Name, Revision: o.Metadata.Revision, Spec: o.Spec, Removed: o.Metadata.Deleting})
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.applyLocked(kind, sourceList, begin, replica.Delta{At: position, Entries: entries, Complete: true})
	if kind == KindSoftwareVersions {
		d.ObserveContact()
	}
	d.versionsLoaded = d.versionsLoaded || kind == platform.KindPublishedWeightsVersions
	return position, nil
}

// waitUntilWatcher waits while enough other routers watch the store. It then returns
// the position up to which this router's replica is complete.
func (d *Directory) waitUntilWatcher(ctx context.Context, kind string, position fleet.StorePosition) fleet.StorePosition {
	for ctx.Err() == nil {
		d.mu.Lock()
		isWatcher := d.watchRank < d.Watchers
		if p := d.replicas[kind].Position(); position.Before(p) {
			position = p
		}
		d.mu.Unlock()
		if isWatcher {
			break
		}
		wait.ForJittered(ctx, watcherCheckInterval)
	}
	return position
}

// SetWatchRank sets this router's rank, from 0, among the routers that reach each
// other and the store, and their number. The routers with the lowest ranks watch the
// store.
func (d *Directory) SetWatchRank(rank, routers int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watchRank, d.reachableRouters = rank, routers
	d.othersReachStore.Store(routers > 1)
	if watching := rank < d.Watchers; watching != d.Standing().Watching {
		d.updateStanding()
	}
}

// watchObjects waits for changes of a kind and merges them. It returns the position up to
// which they are complete.
func (d *Directory) watchObjects(ctx context.Context, kind string, since fleet.StorePosition) (fleet.StorePosition, error) {
	if kind == platform.KindEndpoints || kind == KindRouters {
		wait.ForJittered(ctx, batchDelay)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if !d.beginWatch(kind, since, cancel) {
		return since, platform.ErrEraChanged
	}
	position, err := d.readChanges(ctx, kind, since, d.WatchTimeout.AsDuration())
	if cause := context.Cause(ctx); errors.IsAny(cause, platform.ErrEraChanged, errStoreSilent) {
		return since, cause
	}
	return position, err
}

// readChanges reads the changes of a kind since a position, waiting up to timeout for the
// first one, and merges them. It returns the position up to which they are complete.
func (d *Directory) readChanges(ctx context.Context, kind string, since fleet.StorePosition, timeout time.Duration) (fleet.StorePosition, error) {
	begin := bootclock.Now()
	changes, position, err := d.store.Watch(ctx, kind, since, timeout)
	if err != nil {
		return since, err
	}
	entries := make([]replica.Entry, 0, len(changes))
	for _, c := range changes {
		entries = append(entries, replica.Entry{
			Name: c.Object.Metadata.Name, Revision: c.Object.Metadata.Revision, Spec: c.Object.Spec,
			Removed: c.Removed || c.Object.Metadata.Deleting,
		})
	}
	source := sourceWatch
	if timeout == 0 {
		source = sourceRead
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.applyLocked(kind, source, begin, replica.Delta{At: position, Entries: entries})
	if kind == KindSoftwareVersions {
		d.ObserveContact()
	}
	return position, nil
}
