package logging

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// stuck is an output that nobody reads until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(b)
}

// A reader that does not read must not block a decision; what is dropped is counted in a line.
func TestStuckOutputNeverBlocks(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	w := NewWriter(out)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for n := range 3 * ringLines {
			_, _ = fmt.Fprintf(w, "line %d\n", n)
		}
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("writing blocked")
	}
	if w.Dropped() < ringLines {
		t.Errorf("%d lines dropped, want at least %d", w.Dropped(), ringLines)
	}
	close(out.release)
	deadline := time.Now().Add(5 * time.Second)
	for time.Now().Before(deadline) {
		w.Flush()
		out.mu.Lock()
		text := out.buf.String()
		out.mu.Unlock()
		if strings.Contains(text, "Log lines dropped") && strings.Contains(text, fmt.Sprintf("line %d\n", ringLines-1)) {
			return
		}
	}
	t.Error("the kept lines and the count were not written")
}
