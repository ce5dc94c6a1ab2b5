package cell

import (
	"time"

	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/model"
)

const (
	// quarantineFailures is the number of different jobs that must fail on a worker, with no success between.
	quarantineFailures = 3
	// maxQuarantinedShare bounds the part of a cell that quarantine may take out, so that a bad batch of jobs
	// cannot take out the fleet.
	maxQuarantinedShare = 0.2
	// quarantineTime is how long a worker stays out before it gets another chance.
	quarantineTime = 10 * time.Minute
)

// health counts the failures of one upstream. A failure counts only while its job has not failed elsewhere,
// because then the job is the likelier cause.
type health struct {
	failed map[model.JobKey]bool
	until  time.Time // end of quarantine
}

func (h *health) quarantined(now time.Time) bool { return now.Before(h.until) }

func (c *Coordinator) recordSuccess(agent string) {
	if u := c.upstreams[agent]; u != nil {
		u.health.failed = nil
	}
}

// recordFailure notes a failure of a job that failed before on the given workers.
func (c *Coordinator) recordFailure(now time.Time, agent string, key model.JobKey, before []string) {
	others := 0
	for _, other := range before {
		if other == agent {
			continue
		}
		others++
		if u := c.upstreams[other]; u != nil {
			delete(u.health.failed, key)
		}
	}
	u := c.upstreams[agent]
	if u == nil || others > 0 {
		return
	}
	if u.health.failed == nil {
		u.health.failed = make(map[model.JobKey]bool)
	}
	u.health.failed[key] = true
	if len(u.health.failed) < quarantineFailures || u.health.quarantined(now) {
		return
	}
	out, all := c.quarantinedShare(now, u)
	if float64(out+1) > maxQuarantinedShare*float64(all) {
		klog.InfoS("Quarantine refused", "cell", c.cell, "upstream", agent, "quarantined", out, "of", all, "max_share", maxQuarantinedShare)
		return
	}
	u.health.until, u.health.failed = now.Add(quarantineTime), nil
	klog.InfoS("Quarantined upstream", "cell", c.cell, "upstream", agent, "failures", quarantineFailures, "quarantined", out+1, "of", all)
}

func (c *Coordinator) quarantinedShare(now time.Time, like *upstream) (out, all int) {
	for _, u := range c.upstreams {
		if u.identity.Kind != like.identity.Kind || u.identity.Service != like.identity.Service {
			continue
		}
		all++
		if u.health.quarantined(now) {
			out++
		}
	}
	return out, all
}

// estimates learns run times per team and kind, since declared ones are far off.
type estimates map[estimateKey]*estimate

type estimateKey struct{ team, kind string }

type estimate struct {
	mean  time.Duration
	count int
}

const (
	// estimateWeight is the weight of the newest run in the moving average.
	estimateWeight = 0.3
	// minEstimates is the number of runs after which the learned time replaces the declared one.
	minEstimates = 3
	// defaultRunTime stands for jobs that declare no run time.
	defaultRunTime = time.Hour
	// maxEstimates bounds the memory of the estimates.
	maxEstimates = 10_000
)

func (e estimates) learn(s model.JobSpec, ran time.Duration) {
	k := estimateKey{s.Key.Team, s.Kind}
	known := e[k]
	if known == nil {
		if len(e) < maxEstimates {
			e[k] = &estimate{mean: ran, count: 1}
		}
		return
	}
	known.count++
	known.mean += time.Duration(estimateWeight * float64(ran-known.mean))
}

func (e estimates) expected(s model.JobSpec) time.Duration {
	if known := e[estimateKey{s.Key.Team, s.Kind}]; known != nil && known.count >= minEstimates {
		return known.mean
	}
	if s.RunTime > 0 {
		return s.RunTime
	}
	return defaultRunTime
}
