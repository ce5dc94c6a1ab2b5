package batch

import (
	"strings"
	"time"
)

// Queue accepts the jobs of one kind of request.
type Queue struct {
	Name    string `json:"name"`
	Host    string `json:"host,omitempty"`
	Prefix  string `json:"prefix,omitempty"` // of the path, up to the job's id
	Service string `json:"service"`          // the service whose workers run the tasks
	// Priority orders queues; 0 comes first and may preempt the others.
	Priority int `json:"prio,omitempty"`
	// MaxAttempts bounds the failed runs of a task.
	MaxAttempts int `json:"attempts,omitempty"`
	// Slack times the longest chain of work, plus Target, is the latency objective of a job.
	Slack  float64       `json:"slack,omitempty"`
	Target time.Duration `json:"target,omitempty"`
	// Public queues accept requests without a key.
	Public bool `json:"public,omitempty"`
}

// Service is a set of workers.
type Service struct {
	Name string `json:"name"`
	// EnforcesCapacity means that the workers reject what does not fit.
	EnforcesCapacity bool `json:"enforces,omitempty"`
}

// Team holds keys and a guarantee.
type Team struct {
	Name string
	Keys []string
	// Guaranteed is the number of accelerators that the team's jobs of priority 0 can have at any time.
	Guaranteed int
}

// Catalog is one version of what operators have configured. It is immutable.
type Catalog struct {
	Version  int64
	Queues   []Queue
	Services []Service
	Teams    []Team
	// MaxBody is the largest request body in bytes.
	MaxBody int64
}

// Match returns the queue of the host whose prefix is the longest that the path begins with, and the rest of the path.
func (c *Catalog) Match(host, path string) (*Queue, string) {
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if strings.EqualFold(q.Host, host) && strings.HasPrefix(path, q.Prefix) &&
			(best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	if best == nil {
		return nil, ""
	}
	return best, path[len(best.Prefix):]
}

// Queue returns the queue of the name, or nil.
func (c *Catalog) Queue(name string) *Queue {
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i]
		}
	}
	return nil
}

// Team returns the team of the name, or nil.
func (c *Catalog) Team(name string) *Team {
	for i := range c.Teams {
		if c.Teams[i].Name == name {
			return &c.Teams[i]
		}
	}
	return nil
}

// Holder returns the team that holds a key, or nil.
func (c *Catalog) Holder(key string) *Team {
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
