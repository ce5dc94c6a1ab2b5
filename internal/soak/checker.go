// Package soak runs entries and agents as separate processes beside stand-ins of the platform, injects faults from
// outside them, and checks the platform's rules from what callers and workers see.
package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"masticcart.example/masticcart/platform/standin"
)

// lateStart is how long after the acknowledgement of a cancellation a task may still start: an order under way, and its
// lease.
const lateStart = 9 * time.Second

// checker collects what workers and callers see, and the rules that are broken.
type checker struct {
	mu        sync.Mutex
	began     time.Time
	running   map[string]*standin.Worker // by task
	noted     map[string]bool            // done, and noted
	done      map[string]bool            // has ended done once
	starts    map[string]int             // by job
	cancelled map[string]time.Time       // when the cancellation was acknowledged
	steps     map[string][]int           // tasks of each step, by job
	broken    []string
}

func newChecker() *checker {
	return &checker{began: time.Now(), running: map[string]*standin.Worker{}, noted: map[string]bool{}, done: map[string]bool{},
		starts: map[string]int{}, cancelled: map[string]time.Time{}, steps: map[string][]int{}}
}

var _ standin.Observer = (*checker)(nil)

// violation records a broken rule. The mutex is held.
func (c *checker) violation(format string, args ...any) {
	c.broken = append(c.broken, fmt.Sprintf("%6.2fs %s", time.Since(c.began).Seconds(), fmt.Sprintf(format, args...)))
}

// Broken returns the broken rules so far.
func (c *checker) Broken() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.broken...)
}

// submitted takes note of a job before it is handed in.
func (c *checker) submitted(job string, steps []int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.steps[job] = steps
}

func (c *checker) cancelAcknowledged(job string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelled[job] = time.Now()
}

// startsOf returns how many tasks of a job were started.
func (c *checker) startsOf(job string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts[job]
}

// Started implements standin.Observer.
func (c *checker) Started(w *standin.Worker, task string, run int, _ string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var step, index int
	job, rest, _ := strings.Cut(task, ".")
	if _, err := fmt.Sscanf(rest, "0.%d.%d", &step, &index); err != nil {
		c.violation("UNASKED: unreadable task %q", task)
		return
	}
	steps, known := c.steps[job]
	switch {
	case !known || step >= len(steps) || index >= steps[step]:
		c.violation("UNASKED: %s was not handed in", task)
		return
	case c.noted[task]:
		c.violation("TWICE: %s run %d starts after it was done", task, run)
	}
	if at, ok := c.cancelled[job]; ok && time.Since(at) > lateStart {
		c.violation("UNASKED: %s starts %v after its cancellation", task, time.Since(at))
	}
	for n := 0; step > 0 && n < steps[step-1]; n++ {
		if before := fmt.Sprintf("%s.0.%d.%d", job, step-1, n); !c.done[before] {
			c.violation("ORDER: %s starts before %s has ended", task, before)
		}
	}
	if holder := c.running[task]; holder != nil && holder != w {
		go c.checkHolder(holder, w, task, run) // the callers hold the locks of their workers
	}
	c.running[task] = w
	c.starts[job]++
}

// checkHolder reports a task that still runs under a lease on another worker than the one on which it has just started.
func (c *checker) checkHolder(holder, w *standin.Worker, task string, run int) {
	if !holder.Holds(task) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violation("TWICE: %s run %d starts on %s while it is on %s", task, run, w.ID, holder.ID)
}

// Ended implements standin.Observer.
func (c *checker) Ended(w *standin.Worker, task string, _ int, how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running[task] == w {
		delete(c.running, task)
	}
	if how == "done" {
		c.done[task] = true
	}
}

// Noted implements standin.Observer.
func (c *checker) Noted(_ *standin.Worker, task string, _ int, how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if how == "done" {
		c.noted[task] = true
	}
}

// Died implements standin.Observer.
func (c *checker) Died(w *standin.Worker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for task, holder := range c.running {
		if holder == w {
			delete(c.running, task)
		}
	}
}
