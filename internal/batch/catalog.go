package batch

import (
	"strings"
	"time"
)

// Queue accepts the jobs of one kind of request.
type Queue struct {
	Name       string `json:"name"`
	Host       string `json:"host,omitempty"`
	PathPrefix string `json:"prefix,omitempty"` // of the path, up to the job's id
	Service    string `json:"service"`          // the service whose workers run the tasks
	// Priority orders queues; 0 comes first and may preempt the others.
	Priority int `json:"prio,omitempty"`
	// MaxAttempts bounds the failed runs of a task.
	MaxAttempts int `json:"attempts,omitempty"`
	// SlackFactor times the longest chain of work, plus Target, is the latency objective of a job.
	SlackFactor   float64       `json:"slack,omitempty"`
	TargetLatency time.Duration `json:"target,omitempty"`
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
	// GuaranteedAccelerators is the number of accelerators that the team's jobs of priority 0 can have at any time.
	GuaranteedAccelerators int
}

// Catalog is one version of what operators have configured. It is immutable.
type Catalog struct {
	Version  int64
	Queues   []Queue
	Services []Service
	Teams    []Team
	// MaxBodyBytes is the largest request body in bytes.
	MaxBodyBytes int64
}

// MatchQueue returns the queue of the host whose prefix is the longest that the path begins with, and the rest of the path.
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

// TeamByKey returns the team that holds a key, or nil.
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
