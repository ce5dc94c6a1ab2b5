package scheduler

import (
	"slices"
	"time"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/scheduler/queuewait"
)

// Load describes the queues to entries.
type Load struct {
	// Pending is, by queue, the number of jobs without a started task.
	Pending map[string]int `json:"pending"`
	// Waits has the queues in which a job that is accepted now is expected to wait.
	Waits map[string]QueueWait `json:"waits,omitempty"`
	// Full means that the leader holds as many jobs as its memory permits. FullTeams are the teams that have used their
	// share of it.
	Full      bool     `json:"full,omitempty"`
	FullTeams []string `json:"fullTeams,omitempty"`
}

// Accepts reports whether the leader has memory for further jobs of a team.
func (l Load) Accepts(team string) bool { return !l.Full && !slices.Contains(l.FullTeams, team) }

// AcceptsAll reports whether the leader has memory for further jobs of all teams.
func (l Load) AcceptsAll() bool { return !l.Full && len(l.FullTeams) == 0 }

// QueueWait is the expected wait in a queue.
type QueueWait struct {
	WaitMS int64 `json:"wait"` // milliseconds until the start of a job that is accepted now
	// DurationRatio is the ratio of real to estimated durations of the queue's tasks.
	DurationRatio float64 `json:"ratio"`
	// Need and LatestStartMS describe the least demanding and the most urgent job of the queue. Jobs that need less or are
	// more urgent may start sooner.
	Need          batch.Resources `json:"need"`
	LatestStartMS int64           `json:"latest"` // from the acceptance to the latest start that meets the objective
}

const (
	// minForecastTerm is how long a leader leads before it forecasts waits. Until then it does not know all workers, and
	// would take the fleet to be smaller than it is.
	minForecastTerm = 5 * time.Second
	// maxWaitsAge is how long forecasts are used again. One takes about 2 ms of a core for 8,000 waiting tasks, and a
	// dozen entries ask twice a second each.
	maxWaitsAge = 300 * time.Millisecond
)

// QueueWaits returns the expected wait of each queue of a priority above 0 in which jobs are expected to wait. When in
// doubt, for instance just after a takeover, it returns none.
func (c *Core) QueueWaits(now time.Duration) map[string]QueueWait {
	if now-c.startedAt < minForecastTerm {
		return nil
	}
	waits := map[string]QueueWait{}
	for _, s := range c.snapshots(now) {
		if len(s.Queues) == 0 {
			continue
		}
		forecast := queuewait.Forecast(s)
		for i := range s.Queues {
			if q := &s.Queues[i]; forecast[q.Name] > 0 {
				waits[q.Name] = QueueWait{WaitMS: forecast[q.Name].Milliseconds(), Need: q.Need,
					LatestStartMS: q.LatestStart.Milliseconds(), DurationRatio: c.durationStats(q.Name).ratio}
			}
		}
	}
	return waits
}

// snapshots returns the state of the services.
func (c *Core) snapshots(now time.Duration) map[string]*queuewait.Snapshot {
	services := map[string]*queuewait.Snapshot{}
	for _, w := range c.sortedWorkers {
		if !c.expectsTasks(w, now) {
			continue
		}
		s := services[w.info.Service]
		if s == nil {
			s = &queuewait.Snapshot{}
			services[w.info.Service] = s
		}
		s.Capacity = s.Capacity.Plus(w.info.Capacity)
		for t := range w.tasks {
			switch {
			case t.phase != assigned: // its capacity is being freed
			case t.step.spec.LongRunning:
				s.Capacity = s.Capacity.Minus(t.step.spec.Reserved())
			default:
				s.Running = append(s.Running,
					queuewait.Running{Need: t.step.spec.Reserved(), Remaining: c.remainingTime(t, now)})
			}
		}
	}
	queues := map[string]*queuewait.Queue{}
	for _, j := range c.openJobs {
		q := c.queue(j)
		if s := services[q.Service]; s != nil {
			c.appendDemands(s, j, q, now)
			addToQueue(queues, j, q, c.objective(j)-c.longestChainOf(j))
		}
	}
	for name, queue := range queues {
		if q := c.catalog.Queue(name); q != nil && q.Priority > 0 {
			s := services[q.Service]
			if s != nil {
				s.Queues = append(s.Queues, *queue)
			}
		}
	}
	return services
}

// appendDemands appends the tasks of a job that can start once there is capacity. Jobs past their late limit are left
// out, since they may be placed after others.
func (c *Core) appendDemands(s *queuewait.Snapshot, j *job, q *batch.Queue, now time.Duration) {
	lateLimit := batch.LateFactor * c.objective(j)
	for n := range j.nextOccurrence {
		o := j.occurrences[n]
		if o == nil || lateLimit > 0 && o.age(now) > lateLimit {
			continue
		}
		for _, step := range o.steps {
			if step.openTasks == 0 || step.spec.LongRunning || !step.ready() {
				continue
			}
			count := 0
			for _, t := range step.tasks {
				if t.phase == waiting && t.retryAt <= now {
					count++
				}
			}
			if count > 0 {
				s.Waiting = append(s.Waiting, queuewait.Demand{Need: step.spec.Reserved(), Count: count,
					Duration: c.expectedDuration(step), Priority: q.Priority,
					LatestStart: c.deadline(step, now) - c.longestChain(step) - now})
			}
		}
	}
}

// addToQueue adds a job to the description of what its queue's jobs need at least, and of how late they may start.
func addToQueue(queues map[string]*queuewait.Queue, j *job, q *batch.Queue, latestStart time.Duration) {
	queue := queues[q.Name]
	if queue == nil {
		queue = &queuewait.Queue{Name: q.Name, Priority: q.Priority, LatestStart: latestStart, Need: j.LeastNeed()}
		queues[q.Name] = queue
	}
	queue.LatestStart, queue.Need = min(queue.LatestStart, latestStart), queue.Need.Min(j.LeastNeed())
}

// longestChainOf returns the expected duration of the longest chain of a job's steps.
func (c *Core) longestChainOf(j *job) time.Duration {
	return time.Duration(float64(j.LongestChain()) * c.durationStats(j.Queue.Name).ratio)
}

// Load returns the figures on the queues. It returns false unless this process is the leader.
func (s *Service) Load(now time.Duration) (Load, bool) {
	t := s.currentTerm()
	if t == nil {
		return Load{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.waits == nil || now-t.waitsAt > maxWaitsAge {
		t.waits, t.waitsAt = t.core.QueueWaits(now), now
	}
	return Load{Pending: t.core.PendingByQueue(), Waits: t.waits, Full: t.core.memory.Full(),
		FullTeams: t.core.memory.FullTeams()}, true
}
