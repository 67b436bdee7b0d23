// Package wait has waits that end with a context.
package wait

import (
	"context"
	"math/rand/v2"
	"time"
)

// For waits for d or until ctx ends.
func For(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// ForJittered waits for three to five quarters of d or until ctx ends, so that many
// processes that wait for the same time do not act at once.
func ForJittered(ctx context.Context, d time.Duration) {
	For(ctx, d*3/4+rand.N(d/2+1))
}
