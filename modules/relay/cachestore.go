package relay

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/arbutusline/arbutusline/fleet"
	"github.com/arbutusline/arbutusline/internal/wait"
)

// kvCacheStoreCheckInterval is the time between two checks of the KV cache store. A
// request that names an unreachable store is delayed by some hundred milliseconds.
const kvCacheStoreCheckInterval = time.Second

// Start starts the periodic checks of the KV cache store, of waiting requests and of
// suspect prompt parts.
func (r *Relay) Start(context.Context) error {
	r.goroutines.Go(func() { r.expireSuspects(r.ctx) })
	r.goroutines.Go(func() { r.withdrawPeriodically(r.ctx) })
	r.goroutines.Go(func() { r.monitorKVCacheStore(r.ctx) })
	return nil
}

// Stop ends all background work.
func (r *Relay) Stop(context.Context) error {
	r.cancel()
	r.goroutines.Wait()
	return nil
}

// monitorKVCacheStore checks periodically whether the KV cache store is reachable.
func (r *Relay) monitorKVCacheStore(ctx context.Context) {
	for ctx.Err() == nil {
		if s := kvCacheStoreService(r.directory.View()); s != nil {
			err := r.upstream.CheckReachable(ctx, s.KVCacheStoreAddress)
			if ctx.Err() == nil {
				r.setKVCacheStoreState(s.KVCacheStoreAddress, err)
			}
		}
		wait.For(ctx, kvCacheStoreCheckInterval)
	}
}

// kvCacheStoreService returns the service that stores KV cache entries, or nil.
func kvCacheStoreService(v *fleet.View) *fleet.Service {
	if v.Config == nil {
		return nil
	}
	return v.Config.KVCacheStore()
}

// setKVCacheStoreState tells the selector whether engines can use the KV cache store,
// and logs a change. err is the result of the last check.
func (r *Relay) setKVCacheStoreState(address string, err error) {
	if down := err != nil; r.kvCacheStoreUnreachable != down {
		r.kvCacheStoreUnreachable = down
		r.log.WithError(err).WithFields(logrus.Fields{"address": address, "down": down}).Warn("KV cache store reachability changed")
	}
	if err != nil {
		address = ""
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.selector.SetKVCacheStore(address)
}
