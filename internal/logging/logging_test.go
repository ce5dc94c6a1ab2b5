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

// blockedWriter blocks writes until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(b)
}

// TestBlockedOutputNeverBlocksCaller guards against a process that stalls because nobody reads its output, and against
// dropped lines that are not reported.
func TestBlockedOutputNeverBlocksCaller(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	w := NewNonBlockingWriter(out)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for n := range 3 * maxQueuedLines {
			_, _ = fmt.Fprintf(w, "line %d\n", n)
		}
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("Write blocked")
	}
	close(out.release)
	deadline := time.Now().Add(5 * time.Second)
	kept, reported := 0, int64(0)
	for time.Now().Before(deadline) {
		w.Flush()
		out.mu.Lock()
		text := out.buf.String()
		out.mu.Unlock()
		kept, reported = countLines(t, text)
		// The writer resets the count before it writes the line with the count, so the drops may be reported in two lines.
		if reported > 0 && int64(kept)+reported+w.Dropped() == 3*maxQueuedLines && kept <= maxQueuedLines+1 &&
			strings.Contains(text, fmt.Sprintf("line %d\n", maxQueuedLines-1)) {
			return
		}
	}
	t.Errorf("%d lines kept, %d reported as dropped, %d dropped but not yet reported, of %d",
		kept, reported, w.Dropped(), 3*maxQueuedLines)
}

// countLines returns the number of lines that were kept and the number that the output reports as dropped.
func countLines(t *testing.T, text string) (kept int, reported int64) {
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
		reported += dropped.Count
	}
	return kept, reported
}
