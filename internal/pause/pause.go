// Package pause implements waits that end early when a context ends.
package pause

import (
	"context"
	"time"
)

// For waits for the given time. It returns false if the context ended first.
func For(ctx context.Context, wait time.Duration) bool {
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
