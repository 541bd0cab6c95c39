// Package pause provides a sleep that ends early if its context is done.
package pause

import (
	"context"
	"time"
)

// For waits for d and returns true, or returns false as soon as ctx is done. If d
// is not positive, it returns at once, true if ctx is still active.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
