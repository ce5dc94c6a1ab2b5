//go:build review

// Command standins runs one scenario of the review: it starts the platform's store, executors, clients and the
// processes of the deploy file on loopback addresses, injects a disruption, and checks one rule by what executors and
// clients have seen.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to a file and to standard output.
type recorder struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

func newRecorder(dir string) (*recorder, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	return &recorder{start: time.Now(), file: f}, err
}

// logf writes one line with the time since the start of the scenario.
func (r *recorder) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	fmt.Print(line)
	_, _ = r.file.WriteString(line)
}
