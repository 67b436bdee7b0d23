package relay

import (
	"context"
	"time"

	"github.com/arbutusline/arbutusline/fleet"
)

// cacheStoreCheck is the period at which the KV store is tried. A request that
// names a dead store is some hundred milliseconds late.
const cacheStoreCheck = time.Second

// Start begins to check the KV store.
func (r *Relay) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.done.Go(func() { r.checkCacheStore(ctx) })
	return nil
}

// Stop ends the checks.
func (r *Relay) Stop(context.Context) error {
	if r.cancel != nil {
		r.cancel()
	}
	r.done.Wait()
	return nil
}

func (r *Relay) checkCacheStore(ctx context.Context) {
	for ctx.Err() == nil {
		if s := cacheStore(r.directory.View()); s != nil {
			err := r.upstream.Check(ctx, s.CacheStore)
			if down := err != nil; ctx.Err() == nil && r.cacheStoreDown.Swap(down) != down {
				r.log.WithError(err).WithField("address", s.CacheStore).WithField("down", down).Warn("KV store changed")
			}
		}
		sleep(ctx, cacheStoreCheck)
	}
}

func cacheStore(v *fleet.View) *fleet.Service {
	if v.Config == nil {
		return nil
	}
	return v.Config.CacheStore()
}

// cacheStoreAddress returns the address of the KV store, empty when there is
// none or it is down.
func (r *Relay) cacheStoreAddress() string {
	s := cacheStore(r.directory.View())
	if s == nil || r.cacheStoreDown.Load() {
		return ""
	}
	return s.CacheStore
}
