package relay

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/arbutusline/arbutusline/fleet"
	"github.com/arbutusline/arbutusline/internal/wait"
)

// cacheStoreCheck is the period at which the KV store is tried. A request that
// names a dead store is some hundred milliseconds late.
const kvCacheStoreCheckInterval = time.Second

// Start begins to check the KV store.
func (r *Relay) Start(context.Context) error {
	r.background.Go(func() { r.monitorKVCacheStore(r.ctx) })
	return nil
}

// Stop ends the checks.
func (r *Relay) Stop(context.Context) error {
	r.cancel()
	r.background.Wait()
	return nil
}

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

func kvCacheStoreService(v *fleet.View) *fleet.Service {
	if v.Config == nil {
		return nil
	}
	return v.Config.KVCacheStore()
}

// noteCacheStore takes the result of a check.
func (r *Relay) setKVCacheStoreState(address string, err error) {
	if down := err != nil; r.kvCacheStoreDown != down {
		r.kvCacheStoreDown = down
		r.log.WithError(err).WithFields(logrus.Fields{"address": address, "down": down}).Warn("KV store changed")
	}
	if err != nil {
		address = ""
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.selector.SetKVCacheStore(address)
}
