package intake

import (
	"maps"
	"time"
)

const (
	// unresolvedRetention is how long a write of this process that was not answered is assumed to be able to take effect.
	// It is far above callTimeout, as a margin for data that stays in the buffers of a broken link.
	unresolvedRetention = time.Minute
	// maxUnresolved bounds the remembered jobs, which take about 100 bytes each.
	maxUnresolved = 4096
	// pruneInterval limits how often a full set is searched for jobs that can be removed.
	pruneInterval = time.Second
)

// unresolvedJobs are the jobs that this process has tried to store without learning that they are stored.
type unresolvedJobs struct {
	attempts   map[string]time.Duration // time of the last attempt by job
	overflowAt time.Duration            // when a job did not fit last
}

// add adds a job before its write is sent.
func (u *unresolvedJobs) add(id string, now time.Duration) {
	if len(u.attempts) >= maxUnresolved && now-u.overflowAt >= pruneInterval {
		maps.DeleteFunc(u.attempts, func(_ string, at time.Duration) bool { return now-at > unresolvedRetention })
	}
	if len(u.attempts) >= maxUnresolved {
		u.overflowAt = now
		return
	}
	u.attempts[id] = now
}

// remove removes a job of which it is known whether it is stored.
func (u *unresolvedJobs) remove(id string) { delete(u.attempts, id) }

// contains reports whether a job may be stored by an unanswered write. After an overflow that holds for all jobs.
func (u *unresolvedJobs) contains(id string, now time.Duration) bool {
	at, ok := u.attempts[id]
	return ok && now-at <= unresolvedRetention || now-u.overflowAt <= unresolvedRetention
}
