package cell

import (
	"time"

	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/model"
)

const (
	// quarantineFailures is the number of different jobs that must fail on an upstream, with no success in
	// between, before it is quarantined.
	quarantineFailures = 3
	// maxQuarantinedShare limits the share of a cell's upstreams of one kind and service that are in quarantine, so
	// that a batch of faulty jobs cannot take all of them out of service.
	maxQuarantinedShare = 0.2
	// quarantineDuration is how long a quarantined upstream gets no jobs.
	quarantineDuration = 10 * time.Minute
)

// health tracks the job failures of one upstream. A failure counts only while its job has not failed on other
// upstreams; once it has, the job is the likelier cause.
type health struct {
	failedJobs       map[model.JobKey]bool
	quarantinedUntil time.Time
}

func (h *health) isQuarantined(now time.Time) bool { return now.Before(h.quarantinedUntil) }

func (c *Coordinator) recordSuccess(agent string) {
	if u := c.upstreams[agent]; u != nil {
		u.health.failedJobs = nil
	}
}

// recordFailure counts a failure of a job at an agent; failedBefore names the upstreams on which the job failed
// earlier.
func (c *Coordinator) recordFailure(now time.Time, agent string, key model.JobKey, failedBefore []string) {
	others := 0
	for _, other := range failedBefore {
		if other == agent {
			continue
		}
		others++
		if u := c.upstreams[other]; u != nil {
			delete(u.health.failedJobs, key)
		}
	}
	u := c.upstreams[agent]
	if u == nil || others > 0 {
		return
	}
	if u.health.failedJobs == nil {
		u.health.failedJobs = make(map[model.JobKey]bool)
	}
	u.health.failedJobs[key] = true
	if len(u.health.failedJobs) < quarantineFailures || u.health.isQuarantined(now) {
		return
	}
	quarantined, all := c.countQuarantined(now, u)
	if float64(quarantined+1) > maxQuarantinedShare*float64(all) {
		klog.InfoS("Quarantine refused", "cell", c.cell, "upstream", agent, "quarantined", quarantined, "of", all,
			"max_share", maxQuarantinedShare)
		return
	}
	u.health.quarantinedUntil, u.health.failedJobs = now.Add(quarantineDuration), nil
	klog.InfoS("Quarantined upstream", "cell", c.cell, "upstream", agent, "failures", quarantineFailures,
		"quarantined", quarantined+1, "of", all)
}

// countQuarantined returns how many upstreams of the same kind and service as like are in quarantine, and how many
// there are.
func (c *Coordinator) countQuarantined(now time.Time, like *upstream) (quarantined, all int) {
	for _, u := range c.upstreams {
		if u.identity.Kind != like.identity.Kind || u.identity.Service != like.identity.Service {
			continue
		}
		all++
		if u.health.isQuarantined(now) {
			quarantined++
		}
	}
	return quarantined, all
}

// runTimeEstimates holds moving averages of the run times per team and job kind, since the declared run times are far
// off.
type runTimeEstimates map[estimateKey]*runTimeEstimate

type estimateKey struct{ team, kind string }

type runTimeEstimate struct {
	mean time.Duration
	runs int
}

const (
	// newestRunWeight is the weight of the newest run in the moving average.
	newestRunWeight = 0.3
	// minRunsForEstimate is the number of runs after which the learned run time replaces the declared one.
	minRunsForEstimate = 3
	// defaultRunTime is assumed for jobs that declare no run time.
	defaultRunTime = time.Hour
	// maxEstimates limits the number of estimates and so their memory.
	maxEstimates = 10_000
)

func (e runTimeEstimates) addRun(s model.JobSpec, ran time.Duration) {
	k := estimateKey{s.Key.Team, s.Kind}
	known := e[k]
	if known == nil {
		if len(e) < maxEstimates {
			e[k] = &runTimeEstimate{mean: ran, runs: 1}
		}
		return
	}
	known.runs++
	known.mean += time.Duration(newestRunWeight * float64(ran-known.mean))
}

func (e runTimeEstimates) expectedRunTime(s model.JobSpec) time.Duration {
	if known := e[estimateKey{s.Key.Team, s.Kind}]; known != nil && known.runs >= minRunsForEstimate {
		return known.mean
	}
	if s.RunTime > 0 {
		return s.RunTime
	}
	return defaultRunTime
}
