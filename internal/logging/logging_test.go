package logging

import (
	"bytes"
	"encoding/json"
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
	w := NewNonBlockingWriter(out)
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
	close(out.release)
	deadline := time.Now().Add(5 * time.Second)
	kept, said := 0, int64(0)
	for time.Now().Before(deadline) {
		w.Flush()
		out.mu.Lock()
		text := out.buf.String()
		out.mu.Unlock()
		kept, said = count(t, text)
		// The count is taken before the line that says it is written, so it may be split over two such lines.
		if said > 0 && int64(kept)+said+w.Dropped() == 3*ringLines && kept <= ringLines+1 &&
			strings.Contains(text, fmt.Sprintf("line %d\n", ringLines-1)) {
			return
		}
	}
	t.Errorf("%d lines kept, %d said to be dropped, %d not said yet, of %d", kept, said, w.Dropped(), 3*ringLines)
}

// count returns the lines of an output that were kept, and how many others it says were dropped.
func count(t *testing.T, text string) (kept int, said int64) {
	t.Helper()
	for line := range strings.Lines(text) {
		if strings.HasPrefix(line, "line ") {
			kept++
			continue
		}
		var dropped struct{ Count int64 }
		if err := json.Unmarshal([]byte(line), &dropped); err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		said += dropped.Count
	}
	return kept, said
}
