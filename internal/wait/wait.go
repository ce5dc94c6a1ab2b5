// Package wait provides delays that end early when their context is cancelled.
package wait

import (
	"context"
	"time"
)

// For blocks for d or until ctx is done, whichever comes first.
func For(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
