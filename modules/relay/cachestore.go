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
const cacheStoreCheck = time.Second

// Start begins to check the KV store.
func (r *Relay) Start(context.Context) error {
	r.done.Go(func() { r.checkCacheStore(r.ctx) })
	return nil
}

// Stop ends the checks.
func (r *Relay) Stop(context.Context) error {
	r.cancel()
	r.done.Wait()
	return nil
}

func (r *Relay) checkCacheStore(ctx context.Context) {
	for ctx.Err() == nil {
		if s := cacheStore(r.directory.View()); s != nil {
			err := r.upstream.Check(ctx, s.KVCacheStoreAddress)
			if ctx.Err() == nil {
				r.noteCacheStore(s.KVCacheStoreAddress, err)
			}
		}
		wait.For(ctx, cacheStoreCheck)
	}
}

func cacheStore(v *fleet.View) *fleet.Service {
	if v.Config == nil {
		return nil
	}
	return v.Config.KVCacheStore()
}

// noteCacheStore takes the result of a check.
func (r *Relay) noteCacheStore(address string, err error) {
	if down := err != nil; r.cacheStoreDown != down {
		r.cacheStoreDown = down
		r.log.WithError(err).WithFields(logrus.Fields{"address": address, "down": down}).Warn("KV store changed")
	}
	if err != nil {
		address = ""
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.selector.SetKVCacheStore(address)
}
