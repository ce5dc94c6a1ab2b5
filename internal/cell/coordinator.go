package cell

import (
	"slices"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/jobs"
	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/placement"
	"masticcart.example/masticcart/internal/protocol"
)

// Coordinator holds one cell's queue, attempts and view of upstreams. It does no I/O, takes the time as an
// argument and is not safe for concurrent use. Every entry of the cell keeps the upstream view; only the
// owner has jobs.
type Coordinator struct {
	cell      string
	planner   placement.Planner
	config    func() *model.Config
	owner     bool
	ownedAt   time.Time
	listed    bool // the open index has been read since this entry became owner
	jobs      map[model.JobKey]*job
	upstreams map[string]*upstream
	estimates estimates
	dirty     bool
	plannedAt time.Time
	grownAt   time.Time // when an upstream was last added to the view
	out       []Action
	finished  func(model.Job)
}

// NewCoordinator returns a coordinator that is not yet the owner. finished is called for each job that ends.
func NewCoordinator(cell string, p placement.Planner, config func() *model.Config, finished func(model.Job)) *Coordinator {
	return &Coordinator{
		cell: cell, planner: p, config: config, finished: finished,
		jobs: make(map[model.JobKey]*job), upstreams: make(map[string]*upstream), estimates: make(estimates),
	}
}

// IsOwner reports whether the coordinator acts for its cell.
func (c *Coordinator) IsOwner() bool { return c.owner }

// SetOwner starts or ends ownership. A new owner knows nothing but the upstream view and loads the rest.
func (c *Coordinator) SetOwner(now time.Time, owner bool) {
	if owner == c.owner {
		return
	}
	klog.InfoS("Cell ownership changed", "cell", c.cell, "owner", owner, "upstreams", len(c.upstreams))
	c.owner, c.listed, c.ownedAt = owner, false, now
	c.jobs = make(map[model.JobKey]*job)
	c.out = nil
	if !owner {
		return
	}
	for _, u := range c.upstreams {
		u.lastOwned = now // an earlier owner may have acknowledged a heartbeat until now
		for _, t := range u.tasks {
			c.adoptTask(now, u, t)
		}
	}
}

// DrainActions returns the actions that came up since the last call.
func (c *Coordinator) DrainActions() []Action {
	out := c.out
	c.out = nil
	return out
}

func (c *Coordinator) emit(a Action) { c.out = append(c.out, a) }

// IndexListed tells the coordinator which jobs are in the open index. Records whose entry has not changed since they
// were last read are not read again, so that a listing costs little whatever the number of open jobs.
func (c *Coordinator) IndexListed(now time.Time, open []jobs.OpenJob) {
	if !c.owner {
		return
	}
	c.listed = true
	known := make(map[model.JobKey]bool, len(open))
	for _, o := range open {
		known[o.Key] = true
		if j := c.jobs[o.Key]; j == nil || !j.loaded || j.index != o.Revision {
			c.IndexEntryChanged(now, o)
		}
	}
	for k := range c.jobs {
		if !known[k] { // finished by another owner, or known from an agent's report only
			c.emit(LoadRecordAction{Job: k})
		}
	}
	c.rereadOldest()
}

// rereadOldest reads the records of the waiting jobs again that were not read for the longest time.
func (c *Coordinator) rereadOldest() {
	var waiting []*job
	for _, j := range c.jobs {
		if j.phase == phaseWaiting {
			waiting = append(waiting, j)
		}
	}
	slices.SortFunc(waiting, func(a, b *job) int {
		if n := a.readAt.Compare(b.readAt); n != 0 {
			return n
		}
		return strings.Compare(a.key.String(), b.key.String())
	})
	for _, j := range waiting[:min(len(waiting), rereadWaiting)] {
		c.emit(LoadRecordAction{Job: j.key})
	}
}

// IndexEntryChanged tells the coordinator that a job is open and that its record may have changed.
func (c *Coordinator) IndexEntryChanged(_ time.Time, o jobs.OpenJob) {
	if !c.owner {
		return
	}
	if c.jobs[o.Key] == nil {
		c.jobs[o.Key] = &job{key: o.Key, phase: phaseLoading}
	}
	c.jobs[o.Key].index = o.Revision
	c.emit(LoadRecordAction{Job: o.Key})
}

// RecordMissing tells the coordinator that an open job has no record. The submitter writes the index entry first, so
// the record is usually on its way; it is read again with growing pauses until the entry counts as an orphan.
func (c *Coordinator) RecordMissing(now time.Time, key model.JobKey) {
	j := c.jobs[key]
	if j == nil {
		c.verifyTasks(key, func(protocol.TaskRef) bool { return true })
		return
	}
	if j.loaded {
		return
	}
	if j.attempt != nil { // known from an agent's report; its record has been removed since
		c.sendStops(now, j, "the job has no record")
		delete(c.jobs, key)
		return
	}
	if j.missingSince.IsZero() {
		j.missingSince = now
	}
	missing := now.Sub(j.missingSince)
	if missing > orphanIndexAge {
		delete(c.jobs, key)
		c.emit(RemoveIndexAction{Job: key})
		return
	}
	j.notBefore = now.Add(min(missing/2, platformRetry))
}

// RecordLoaded takes in a job record. Older versions than the known one are ignored.
func (c *Coordinator) RecordLoaded(now time.Time, r jobs.Record) {
	key := r.Job.Spec.Key
	j := c.jobs[key]
	if !c.owner || j != nil && j.loaded && r.Revision < j.record.Revision {
		return
	}
	if j == nil {
		c.loadedUnknown(now, r)
		return
	}
	fresh := !j.loaded || r.Revision > j.record.Revision
	if fresh {
		j.record, c.dirty = r, true
	}
	j.loaded, j.readAt = true, now
	switch r.Job.State {
	case model.JobFinished:
		c.loadedFinished(now, j)
	case model.JobClaimed:
		c.loadedClaimed(now, j)
	case model.JobAccepted:
		c.loadedAccepted(now, j, fresh)
	}
}

// loadedUnknown takes in the record of a job that only agents reported. It is supervised if the record calls for
// its attempt; otherwise its tasks are orphans.
func (c *Coordinator) loadedUnknown(now time.Time, r jobs.Record) {
	key := r.Job.Spec.Key
	c.verifyTasks(key, func(ref protocol.TaskRef) bool { return superseded(r.Job, ref) })
	if r.Job.State != model.JobFinished && r.Job.Cell == c.cell {
		c.jobs[key] = &job{key: key, phase: phaseLoading}
		c.RecordLoaded(now, r)
	}
}

// superseded reports whether the record has moved past an attempt, for ever.
func superseded(r model.Job, ref protocol.TaskRef) bool {
	return r.Attempt > ref.Attempt || r.State == model.JobFinished ||
		r.Attempt == ref.Attempt && (r.State != model.JobClaimed || r.Claim != ref.Claim)
}

// verifyTasks marks the tasks of a job as orphans if the record says so.
func (c *Coordinator) verifyTasks(key model.JobKey, orphan func(protocol.TaskRef) bool) {
	for _, u := range c.upstreams {
		if t := u.tasks[key]; t != nil {
			t.orphan = orphan(t.status.Ref())
		}
	}
}

// loadedFinished ends whatever still goes on for a job that someone else finished. Tasks that do not hear the
// stop are orphans from now on.
func (c *Coordinator) loadedFinished(now time.Time, j *job) {
	if j.attempt != nil {
		c.sendStops(now, j, "the job is finished")
	}
	c.drop(j)
}

func (c *Coordinator) loadedClaimed(now time.Time, j *job) {
	r := j.record.Job
	a := j.attempt
	switch {
	case a == nil:
		c.adopt(now, j)
	case !a.names(r):
		c.stopAttempt(now, j, ending{requeue: true, reason: "another owner claimed the job"})
		return
	case j.phase == phaseWriting && j.pending == nil:
		c.resumeStop(now, j) // the last write failed, or the record was not known before
	case r.Revoked && j.phase != phaseStopping && j.phase != phaseWriting:
		c.stopRevoked(now, j)
	}
	if r.CancelRequested {
		c.cancelRunning(now, j)
	}
}

func (c *Coordinator) loadedAccepted(now time.Time, j *job, fresh bool) {
	if j.attempt == nil {
		if fresh || j.phase != phaseWaiting {
			c.toWaiting(now, j, 0)
		}
		return
	}
	switch {
	case j.phase == phaseRunning || j.phase == phaseStarting:
		c.stopAttempt(now, j, ending{requeue: true, reason: "the record no longer names this attempt"})
	case j.phase == phaseStopping:
		c.settle(now, j)
	case j.phase == phaseWriting && j.pending == nil:
		c.toWaiting(now, j, retryDelay)
	}
}

// toWaiting puts the job back into the queue.
func (c *Coordinator) toWaiting(now time.Time, j *job, delay time.Duration) {
	if j.attempt != nil {
		j.nextAttempt = max(j.nextAttempt, j.attempt.number+1)
	}
	j.phase, j.attempt, j.pending = phaseWaiting, nil, nil
	j.nextAttempt = max(j.nextAttempt, j.record.Job.Attempt+1)
	j.notBefore = now.Add(delay)
	c.dirty = true
}

// drop forgets a job that has ended.
func (c *Coordinator) drop(j *job) {
	delete(c.jobs, j.key)
	c.emit(RemoveIndexAction{Job: j.key})
	if j.loaded && j.record.Job.State == model.JobFinished {
		c.finished(j.record.Job)
	}
	c.dirty = true
}

// adopt takes over an attempt that the record names, for example from an earlier owner. Starting it again is
// harmless: an agent answers yes for an attempt that already started.
func (c *Coordinator) adopt(now time.Time, j *job) {
	r := j.record.Job
	a := &attempt{number: r.Attempt, claim: r.Claim, guaranteed: r.Guaranteed, created: now, since: now}
	for _, m := range r.Members {
		a.members = append(a.members, &member{Member: m})
	}
	j.attempt = a
	j.nextAttempt = max(j.nextAttempt, r.Attempt+1)
	klog.InfoS("Adopted attempt", "cell", c.cell, "job", j.key, "attempt", a.number, "members", len(a.members), "revoked", r.Revoked)
	if r.Revoked {
		c.stopRevoked(now, j)
		return
	}
	c.startMembers(now, j)
	c.observeKnown(now, j)
}

// observeKnown applies what the agents reported before this entry supervised the attempt. They report changes
// only, so a task that ended meanwhile is not reported again.
func (c *Coordinator) observeKnown(now time.Time, j *job) {
	for _, m := range j.attempt.members {
		u := c.upstreams[m.Agent]
		if u == nil || u.identity.Incarnation != m.Incarnation {
			continue
		}
		if t := u.tasks[j.key]; t != nil && t.status.Ref() == j.ref() {
			c.observe(now, j, m, t.status)
		}
	}
}

// adoptTask lets a new owner supervise a gang whose record it cannot read during an outage of the platform.
func (c *Coordinator) adoptTask(now time.Time, u *upstream, t *taskView) {
	s := t.status
	if c.listed || c.jobs[s.Job] != nil || !s.Started || s.Phase.Terminal() || len(s.Members) == 0 || s.Spec == nil {
		return
	}
	a := &attempt{number: s.Attempt, claim: s.Claim, created: now, since: now}
	for _, m := range s.Members {
		a.members = append(a.members, &member{Member: m})
	}
	j := &job{key: s.Job, phase: phaseRunning, attempt: a, nextAttempt: s.Attempt + 1}
	j.record.Job = model.Job{Spec: *s.Spec, Cell: c.cell, State: model.JobClaimed, Attempt: s.Attempt, Claim: s.Claim, Members: s.Members}
	c.jobs[s.Job] = j
	klog.InfoS("Supervising attempt from an agent's report", "cell", c.cell, "job", s.Job, "attempt", s.Attempt, "agent", u.identity.Agent)
	c.observeKnown(now, j)
}

// Tick detects lost members, repeats unanswered calls and plans.
func (c *Coordinator) Tick(now time.Time) {
	if !c.owner {
		return
	}
	for _, j := range c.jobs {
		c.tickJob(now, j)
	}
	c.tickTasks(now)
	if c.listed && (c.dirty || now.Sub(c.plannedAt) >= planInterval) {
		c.dirty, c.plannedAt = false, now
		c.plan(now)
	}
}

func (c *Coordinator) tickJob(now time.Time, j *job) {
	switch j.phase {
	case phaseHolding:
		if now.Sub(j.attempt.since) > holdTimeout {
			c.stopAttempt(now, j, ending{requeue: true, reason: "holds were not answered in time"})
		}
	case phaseCommitting:
		c.refreshHolds(now, j)
	case phaseStarting, phaseRunning:
		c.checkMembers(now, j)
		c.leaveUpstreams(now, j)
	case phaseStopping:
		c.resendStops(now, j)
	case phaseWriting, phaseLoading:
		if !now.Before(j.notBefore) {
			c.retryPlatform(now, j)
		}
	}
}

// retryPlatform reads the record again after a read or a write that failed.
func (c *Coordinator) retryPlatform(now time.Time, j *job) {
	if j.pending != nil {
		return // its answer is still to come
	}
	j.notBefore = now.Add(platformRetry)
	c.emit(LoadRecordAction{Job: j.key})
}

// checkMembers stops the attempt when a member is lost, and repeats starts that were not answered.
func (c *Coordinator) checkMembers(now time.Time, j *job) {
	if j.phase == phaseStarting && now.Sub(j.attempt.since) > startTimeout {
		c.stopAttempt(now, j, c.endingAfterLoss(j, "starts were not answered in time"))
		return
	}
	for _, m := range j.attempt.members {
		if m.phase.Terminal() {
			continue
		}
		if why := c.lost(now, j.attempt, m); why != "" {
			m.uncertain = true
			c.stopAttempt(now, j, c.endingAfterLoss(j, "member "+m.Agent+" lost: "+why))
			return
		}
		if j.phase == phaseStarting && !m.answered && now.Sub(m.askedAt) >= startResend {
			c.sendStart(now, j, m)
		}
	}
}

// leaveUpstreams checkpoints a job that can be stopped when one of its upstreams leaves, so that a planned stop
// need not wait for work that runs for hours.
func (c *Coordinator) leaveUpstreams(now time.Time, j *job) {
	if j.phase != phaseRunning || !j.record.Job.Spec.Preemptible {
		return
	}
	for _, m := range j.attempt.members {
		if u := c.upstreams[m.Agent]; u != nil && u.leaving {
			c.stopAttempt(now, j, ending{requeue: true, checkpoint: true, reason: m.Agent + " is leaving"})
			return
		}
	}
}

// lost returns why a member no longer counts as running, or "".
func (c *Coordinator) lost(now time.Time, a *attempt, m *member) string {
	u := c.upstreams[m.Agent]
	switch {
	case u == nil:
		if now.Sub(c.ownedAt) > protocol.MemberTimeout {
			return "never reported to this owner"
		}
	case restarted(u, m, a):
		return "its agent restarted"
	case u.silent(now) && now.Sub(c.ownedAt) > protocol.MemberTimeout:
		return "silent for " + now.Sub(u.lastSeen).Round(time.Millisecond).String()
	}
	return ""
}

// restarted reports that the agent was heard with another incarnation since the attempt was made. A view from
// before that may be of an older incarnation than the member's.
func restarted(u *upstream, m *member, a *attempt) bool {
	return u.identity.Incarnation != m.Incarnation && u.lastSeen.After(a.created)
}

// stopRevoked stops an attempt that the record revokes.
func (c *Coordinator) stopRevoked(now time.Time, j *job) {
	c.stopAttempt(now, j, c.endingAfterLoss(j, "the attempt was revoked"))
}

// endingAfterLoss requeues idempotent work; other work may have run and is not repeated.
func (c *Coordinator) endingAfterLoss(j *job, reason string) ending {
	if j.record.Job.Spec.Idempotent {
		return ending{requeue: true, reason: reason}
	}
	return ending{result: model.ResultUnknown, reason: reason}
}
