package scheduler

import (
	"fmt"
	"strings"
	"time"

	"masticcart.example/masticcart/internal/batch"
)

// Explanation describes the state of a job and what its tasks wait for.
type Explanation struct {
	Job         string            `json:"job"`
	State       batch.State       `json:"state"`
	Queue       string            `json:"queue"`
	Team        string            `json:"team,omitempty"`
	Priority    int               `json:"priority"`
	WaitedMS    int64             `json:"waited_ms"`
	ObjectiveMS int64             `json:"objective_ms"`
	Catalog     int64             `json:"catalog"`          // version of the configuration
	Reason      string            `json:"reason,omitempty"` // why the job has failed
	Tasks       []TaskExplanation `json:"tasks"`
}

// TaskExplanation describes a task that is not done.
type TaskExplanation struct {
	Task     string `json:"task"`
	Phase    string `json:"phase"`
	Run      int    `json:"run,omitempty"`
	Node     string `json:"node,omitempty"`
	Percent  int    `json:"percent,omitempty"`
	Failures int    `json:"fails,omitempty"`
	Crashes  int    `json:"crashes,omitempty"` // of workers that ran the task
	// Speed is what is known of the worker of a running task.
	Speed  string `json:"speed,omitempty"`
	Reason string `json:"reason,omitempty"`
}

// Explain describes a job. It returns false if the core does not have it.
func (c *Core) Explain(id string, now time.Duration) (*Explanation, bool) {
	j := c.jobs[id]
	if j == nil || j.state == stateDeleted {
		return nil, false
	}
	e := &Explanation{Job: id, State: j.state, Queue: j.Queue.Name, Team: j.Team, Priority: c.queue(j).Priority,
		WaitedMS: j.age(now).Milliseconds(), ObjectiveMS: c.objective(j).Milliseconds(), Catalog: c.catalog.Version,
		Reason: j.failure}
	if j.waitsForMemory {
		e.Reason = fmt.Sprintf("waits until the leader has room for %d further tasks", j.Tasks())
	}
	names := [...]string{waiting: "waiting", assigned: "assigned", stopping: "stopping"}
	j.forEachTask(func(t *task) {
		if t.phase == done {
			return
		}
		x := TaskExplanation{Task: t.id.String(), Phase: names[t.phase], Run: t.run, Node: t.node, Percent: t.percent,
			Failures: t.failures, Crashes: t.crashes(), Reason: t.reason}
		switch {
		case t.phase == assigned && t.confirmed:
			x.Phase, x.Speed = "running", c.describeSpeed(t.node)
		case t.phase == assigned && j.writing:
			x.Reason = "the assignment is being recorded"
		case t.phase == waiting:
			x.Reason = c.waitReason(t.step, now)
		}
		e.Tasks = append(e.Tasks, x)
	})
	return e, true
}

// waitReason names the condition that a waiting step does not meet, with the amounts that it needs and that are
// available.
func (c *Core) waitReason(s *stepInstance, now time.Duration) string {
	if !s.ready() {
		return fmt.Sprintf("waits for the steps %v", s.spec.After)
	}
	if cl := c.claims[s]; cl != nil {
		return "room is being freed on " + strings.Join(cl.nodes, ", ")
	}
	need := s.spec.Reserved()
	usable, eligible, totalFit := 0, 0, 0
	var evacuated []string // data centres with workers that the step could use otherwise
	for _, w := range c.sortedWorkers {
		if !w.usable(now) {
			continue
		}
		suitable := w.info.Service == c.queue(s.job()).Service && w.info.HasLabel(s.spec.RequiredLabel)
		if c.evacuated(w) {
			if suitable {
				evacuated = addCell(evacuated, w.info.Cell)
			}
			continue
		}
		usable++
		if !suitable {
			continue
		}
		eligible++
		totalFit += need.FitCount(w.info.Capacity.Minus(w.reserved()))
	}
	n := 1
	if s.spec.Gang {
		n = s.spec.Count
	}
	reason := fmt.Sprintf(
		"needs room for %d x %d accelerators, %d mCPU, %d MB; %d fit on %d eligible of %d usable workers",
		n, need.Accelerators, need.MilliCPU, need.MemoryMB, totalFit, eligible, usable)
	if len(evacuated) > 0 {
		reason += "; could otherwise use the evacuated data centres " + strings.Join(evacuated, ", ")
	}
	if n := c.unmetGuarantees()[s.job().Team]; n > 0 && c.queue(s.job()).Priority == 0 {
		reason += fmt.Sprintf("; %d accelerators of the team's guarantee have no room outside evacuated data centres", n)
	}
	if c.startsHeld {
		reason += fmt.Sprintf("; nothing starts, since the store has not confirmed the requests to evacuate for %d ms",
			(now - c.evacuations.ConfirmedAt).Milliseconds())
	}
	if c.missingGuarantees > 0 {
		reason += fmt.Sprintf("; the guarantees of all teams exceed the other data centres by %d accelerators",
			c.missingGuarantees)
	}
	return reason
}
