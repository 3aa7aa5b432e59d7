// Package pause waits for a duration that a context may end early. Other modules
// use it too; it imports none of the other packages.
package pause

import (
	"context"
	"time"
)

// For waits for d, or until ctx ends, and reports whether ctx is still active. It
// returns at once if d is not positive.
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
