// Package pause waits for a time or for the end of a context.
package pause

import (
	"context"
	"time"
)

// For waits for d, or reports false when ctx ended first. A d of zero or less
// only asks whether ctx has ended.
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
