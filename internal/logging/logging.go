// Package logging writes structured log lines to standard output without blocking the caller.
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

// maxQueuedLines bounds the lines that are queued while standard output is blocked. Further lines are dropped and
// counted.
const maxQueuedLines = 2048

// NonBlockingWriter queues lines for another writer in a bounded queue.
type NonBlockingWriter struct {
	out     io.Writer
	queue   chan []byte
	dropped atomic.Int64
	flushes chan chan struct{}
}

// NewNonBlockingWriter returns a writer to out that never blocks. Lines that do not fit into the queue are dropped, and
// a line with their number is written before the next line.
func NewNonBlockingWriter(out io.Writer) *NonBlockingWriter {
	w := &NonBlockingWriter{out: out, queue: make(chan []byte, maxQueuedLines), flushes: make(chan chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It queues a copy of the line or drops it, and reports success in either case.
func (w *NonBlockingWriter) Write(line []byte) (int, error) {
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines that have not been reported yet.
func (w *NonBlockingWriter) Dropped() int64 { return w.dropped.Load() }

func (w *NonBlockingWriter) run() {
	for {
		select {
		case line := <-w.queue:
			w.writeLine(line)
		case done := <-w.flushes:
			for len(w.queue) > 0 {
				w.writeLine(<-w.queue)
			}
			close(done)
		}
	}
}

// writeLine writes a line, preceded by the number of dropped lines if there are any. Errors are ignored, since there is
// nowhere else to report them.
func (w *NonBlockingWriter) writeLine(line []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w.out, `{"level":"WARN","msg":"Log lines dropped","count":%d}`+"\n", n)
	}
	_, _ = w.out.Write(line)
}

// flushTimeout bounds Flush, so that a blocked standard output does not delay the stop of the process.
const flushTimeout = 200 * time.Millisecond

// Flush writes the queued lines and returns when they are written or after flushTimeout.
func (w *NonBlockingWriter) Flush() {
	done := make(chan struct{})
	timer := time.NewTimer(flushTimeout)
	defer timer.Stop()
	select {
	case w.flushes <- done:
	case <-timer.C:
		return
	}
	select {
	case <-done:
	case <-timer.C:
	}
}

// UseJSON makes klog write JSON lines to standard output through a NonBlockingWriter. Each line names the process.
func UseJSON(process string) *NonBlockingWriter {
	w := NewNonBlockingWriter(os.Stdout)
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: slog.LevelInfo, ReplaceAttr: formatValue})
	klog.SetSlogLogger(slog.New(handler).With("process", process))
	return w
}

// formatValue replaces a value that is a fmt.Stringer by its string. Errors are left to the JSON handler, which prints
// their message.
func formatValue(_ []string, a slog.Attr) slog.Attr {
	if s, ok := a.Value.Any().(fmt.Stringer); ok && a.Value.Kind() == slog.KindAny {
		return slog.String(a.Key, s.String())
	}
	return a
}
