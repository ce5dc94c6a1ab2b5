package batch

import (
	"strings"
	"time"
)

// Queue is the configuration of one kind of job: where requests arrive, which service runs them and in what time.
type Queue struct {
	Name       string `json:"name"`
	Host       string `json:"host,omitempty"`
	PathPrefix string `json:"prefix,omitempty"` // prefix of the request path, in front of the job's id
	Service    string `json:"service"`          // the service whose workers run the tasks
	// Priority orders the queues. Jobs of priority 0 come first and may preempt the others.
	Priority int `json:"prio,omitempty"`
	// MaxAttempts is the number of failed runs of a task after which its job fails. Zero means no limit.
	MaxAttempts int `json:"attempts,omitempty"`
	// SlackFactor times the estimated duration of the longest chain of steps, plus TargetLatency, is the latency
	// objective of a job.
	SlackFactor   float64       `json:"slack,omitempty"`
	TargetLatency time.Duration `json:"target,omitempty"`
	// Public means that requests need no key.
	Public bool `json:"public,omitempty"`
}

// LateFactor times the latency objective of a job is its late limit, after which its result is of little use.
const LateFactor = 3

// Service is a set of workers that run the same kind of task.
type Service struct {
	Name string `json:"name"`
	// EnforcesCapacity means that the workers reject tasks that exceed their free capacity.
	EnforcesCapacity bool `json:"enforces,omitempty"`
}

// Team is a group of callers with its API keys and its guaranteed capacity.
type Team struct {
	Name string
	Keys []string
	// GuaranteedAccelerators is the number of accelerators that the team's jobs of priority 0 are guaranteed at any
	// time.
	GuaranteedAccelerators int
}

// Catalog is one version of the operators' configuration. It is immutable.
type Catalog struct {
	Version  int64
	Queues   []Queue
	Services []Service
	Teams    []Team
	// MaxBodyBytes is the size limit of a request body.
	MaxBodyBytes int64
}

// MatchQueue returns the queue of the host with the longest path prefix that matches, and the rest of the path. The
// queue is nil if none matches.
func (c *Catalog) MatchQueue(host, path string) (*Queue, string) {
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if strings.EqualFold(q.Host, host) && strings.HasPrefix(path, q.PathPrefix) &&
			(best == nil || len(q.PathPrefix) > len(best.PathPrefix)) {
			best = q
		}
	}
	if best == nil {
		return nil, ""
	}
	return best, path[len(best.PathPrefix):]
}

// Queue returns the queue with a name, or nil.
func (c *Catalog) Queue(name string) *Queue {
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i]
		}
	}
	return nil
}

// Team returns the team with a name, or nil.
func (c *Catalog) Team(name string) *Team {
	for i := range c.Teams {
		if c.Teams[i].Name == name {
			return &c.Teams[i]
		}
	}
	return nil
}

// TeamByKey returns the team that an API key belongs to, or nil.
func (c *Catalog) TeamByKey(key string) *Team {
	if key == "" {
		return nil
	}
	for i := range c.Teams {
		for _, k := range c.Teams[i].Keys {
			if k == key {
				return &c.Teams[i]
			}
		}
	}
	return nil
}
