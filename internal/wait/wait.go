// Package wait provides delays that end early when a context is done.
package wait

import (
	"context"
	"math/rand/v2"
	"time"
)

// For waits for d or until ctx is done.
func For(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// ForJittered waits for a random time between 0.75 d and 1.25 d or until ctx is
// done, so that processes with the same delay do not act at the same time.
func ForJittered(ctx context.Context, d time.Duration) {
	For(ctx, d*3/4+rand.N(d/2+1))
}
