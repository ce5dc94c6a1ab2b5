// Package wait has pauses that end with their context.
package wait

import (
	"context"
	"time"
)

// For returns after d, or when ctx ends.
func For(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
