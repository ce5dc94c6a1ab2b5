// Package logging writes structured log lines to standard output without ever blocking the caller.
package logging

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

// ringLines bounds the lines that wait for a slow reader of standard output. Later lines are dropped and counted.
const ringLines = 2048

// NonBlockingWriter is a bounded ring of lines in front of another writer.
type NonBlockingWriter struct {
	out     io.Writer
	ring    chan []byte
	dropped atomic.Int64
	flush   chan chan struct{}
}

// NewNonBlockingWriter returns a writer that never blocks. Lines that find the ring full are dropped; a line with their
// number precedes the next line written.
func NewNonBlockingWriter(out io.Writer) *NonBlockingWriter {
	w := &NonBlockingWriter{out: out, ring: make(chan []byte, ringLines), flush: make(chan chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It always succeeds.
func (w *NonBlockingWriter) Write(line []byte) (int, error) {
	select {
	case w.ring <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the last line that said so.
func (w *NonBlockingWriter) Dropped() int64 { return w.dropped.Load() }

func (w *NonBlockingWriter) run() {
	for {
		select {
		case line := <-w.ring:
			w.emit(line)
		case done := <-w.flush:
			for len(w.ring) > 0 {
				w.emit(<-w.ring)
			}
			close(done)
		}
	}
}

// emit writes a line. An error of standard output cannot be reported anywhere.
func (w *NonBlockingWriter) emit(line []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w.out, `{"level":"WARN","msg":"Log lines dropped","count":%d}`+"\n", n)
	}
	_, _ = w.out.Write(line)
}

// flushTimeout bounds the wait for standard output when the process stops.
const flushTimeout = 200 * time.Millisecond

// Flush writes what waits, for at most flushTimeout.
func (w *NonBlockingWriter) Flush() {
	done := make(chan struct{})
	timer := time.NewTimer(flushTimeout)
	defer timer.Stop()
	select {
	case w.flush <- done:
	case <-timer.C:
		return
	}
	select {
	case <-done:
	case <-timer.C:
	}
}

// UseJSON makes klog write JSON lines to standard output through a Writer, each tagged with the process.
func UseJSON(process string) *NonBlockingWriter {
	w := NewNonBlockingWriter(os.Stdout)
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: slog.LevelInfo, ReplaceAttr: stringers})
	klog.SetSlogLogger(slog.New(handler).With("process", process))
	return w
}

// stringers prints values by their String method, and errors by their message.
func stringers(_ []string, a slog.Attr) slog.Attr {
	if s, ok := a.Value.Any().(fmt.Stringer); ok && a.Value.Kind() == slog.KindAny {
		return slog.String(a.Key, s.String())
	}
	return a
}
