// Package pause waits for a time or for the end of a context, whichever is first.
package pause

import (
	"context"
	"time"
)

// For waits and reports whether the whole time has passed; false means that the context ended first.
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
