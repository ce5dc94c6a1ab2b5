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

// Coordinator is the scheduling state machine of one cell: its job queue, the attempts in progress and the state of the
// upstreams. It does no I/O, takes the current time as an argument and is not safe for concurrent use. Every entry of
// the cell keeps the state of the upstreams; only the owner has jobs.
type Coordinator struct {
	cell            string
	planner         placement.Planner
	config          func() *model.Config
	owner           bool
	ownerSince      time.Time
	indexListed     bool // the open index has been read since this entry became owner
	jobs            map[model.JobKey]*job
	upstreams       map[string]*upstream
	estimates       runTimeEstimates
	planNeeded      bool
	plannedAt       time.Time
	upstreamAddedAt time.Time // when an upstream was last added
	actions         []Action
	onFinished      func(model.Job)
}

// NewCoordinator returns a coordinator that does not own its cell yet. It calls finished for each job that ends.
func NewCoordinator(
	cell string, p placement.Planner, config func() *model.Config, finished func(model.Job),
) *Coordinator {
	return &Coordinator{
		cell: cell, planner: p, config: config, onFinished: finished,
		jobs: make(map[model.JobKey]*job), upstreams: make(map[string]*upstream), estimates: make(runTimeEstimates),
	}
}

// IsOwner reports whether the coordinator owns its cell and so schedules its jobs.
func (c *Coordinator) IsOwner() bool { return c.owner }

// SetOwner starts or ends ownership and discards all jobs. A new owner keeps the state of the upstreams and loads the
// jobs again.
func (c *Coordinator) SetOwner(now time.Time, owner bool) {
	if owner == c.owner {
		return
	}
	klog.InfoS("Cell ownership changed", "cell", c.cell, "owner", owner, "upstreams", len(c.upstreams))
	c.owner, c.indexListed, c.ownerSince = owner, false, now
	c.jobs = make(map[model.JobKey]*job)
	c.actions = nil
	if !owner {
		return
	}
	for _, u := range c.upstreams {
		u.lastAckAsOwner = now // an earlier owner may have acknowledged heartbeats until now
		for _, t := range u.tasks {
			c.superviseReportedAttempt(now, u, t)
		}
	}
}

// DrainActions returns the actions requested since the last call.
func (c *Coordinator) DrainActions() []Action {
	out := c.actions
	c.actions = nil
	return out
}

func (c *Coordinator) emit(a Action) { c.actions = append(c.actions, a) }

// IndexListed receives a full listing of the open index. Records whose index entry has not changed since they were last
// read are not read again, so that a listing costs little whatever the number of open jobs.
func (c *Coordinator) IndexListed(now time.Time, open []jobs.OpenJob) {
	if !c.owner {
		return
	}
	c.indexListed = true
	known := make(map[model.JobKey]bool, len(open))
	for _, o := range open {
		known[o.Key] = true
		if j := c.jobs[o.Key]; j == nil || !j.loaded || j.indexRevision != o.Revision {
			c.IndexEntryChanged(now, o)
		}
	}
	for k := range c.jobs {
		if !known[k] { // finished by another owner, or known from an agent's report only
			c.emit(LoadRecordAction{Job: k})
		}
	}
	c.rereadStalestWaiting()
}

// rereadStalestWaiting requests the records of those waiting jobs whose records were last read longest ago.
func (c *Coordinator) rereadStalestWaiting() {
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
	for _, j := range waiting[:min(len(waiting), maxWaitingRereads)] {
		c.emit(LoadRecordAction{Job: j.key})
	}
}

// IndexEntryChanged reports that a job is open and that its record may have changed; the record is read again.
func (c *Coordinator) IndexEntryChanged(_ time.Time, o jobs.OpenJob) {
	if !c.owner {
		return
	}
	if c.jobs[o.Key] == nil {
		c.jobs[o.Key] = &job{key: o.Key, phase: phaseLoading}
	}
	c.jobs[o.Key].indexRevision = o.Revision
	c.emit(LoadRecordAction{Job: o.Key})
}

// RecordMissing reports that a job has no record. The record of an open job may still appear after its index entry, so
// it is read again with growing delays until the index entry counts as an orphan and is removed.
func (c *Coordinator) RecordMissing(now time.Time, key model.JobKey) {
	j := c.jobs[key]
	if j == nil {
		c.markOrphans(key, func(protocol.TaskRef) bool { return true })
		return
	}
	if j.loaded {
		return
	}
	if j.attempt != nil { // known from an agent's report; its record has been removed since then
		c.sendStops(now, j, "the job has no record")
		delete(c.jobs, key)
		return
	}
	if j.missingSince.IsZero() {
		j.missingSince = now
	}
	missing := now.Sub(j.missingSince)
	if missing > orphanIndexEntryAge {
		delete(c.jobs, key)
		c.emit(RemoveIndexAction{Job: key})
		return
	}
	j.notBefore = now.Add(min(missing/2, platformRetryInterval))
}

// RecordLoaded applies a job record that was read. Versions older than the known one are ignored.
func (c *Coordinator) RecordLoaded(now time.Time, r jobs.Record) {
	key := r.Job.Spec.Key
	j := c.jobs[key]
	if !c.owner || j != nil && j.loaded && r.Revision < j.record.Revision {
		return
	}
	if j == nil {
		c.unknownJobLoaded(now, r)
		return
	}
	isNewer := !j.loaded || r.Revision > j.record.Revision
	if isNewer {
		j.record, c.planNeeded = r, true
	}
	j.loaded, j.readAt = true, now
	switch r.Job.State {
	case model.JobFinished:
		c.finishedRecordLoaded(now, j)
	case model.JobClaimed:
		c.claimedRecordLoaded(now, j)
	case model.JobAccepted:
		c.acceptedRecordLoaded(now, j, isNewer)
	}
}

// unknownJobLoaded applies the record of a job that only agents reported. An unfinished job of this cell is supervised
// from now on; tasks whose attempts the record has superseded are orphans.
func (c *Coordinator) unknownJobLoaded(now time.Time, r jobs.Record) {
	key := r.Job.Spec.Key
	c.markOrphans(key, func(ref protocol.TaskRef) bool { return superseded(r.Job, ref) })
	if r.Job.State != model.JobFinished && r.Job.Cell == c.cell {
		c.jobs[key] = &job{key: key, phase: phaseLoading}
		c.RecordLoaded(now, r)
	}
}

// superseded reports whether the record has permanently moved past an attempt.
func superseded(r model.Job, ref protocol.TaskRef) bool {
	return r.Attempt > ref.Attempt || r.State == model.JobFinished ||
		r.Attempt == ref.Attempt && (r.State != model.JobClaimed || r.Claim != ref.Claim)
}

// markOrphans sets for each task of a job whether it is an orphan.
func (c *Coordinator) markOrphans(key model.JobKey, isOrphan func(protocol.TaskRef) bool) {
	for _, u := range c.upstreams {
		if t := u.tasks[key]; t != nil {
			t.orphan = isOrphan(t.status.Ref())
		}
	}
}

// finishedRecordLoaded stops the attempt of a job that another process finished and removes the job. Tasks that the
// stop does not reach are orphans from then on.
func (c *Coordinator) finishedRecordLoaded(now time.Time, j *job) {
	if j.attempt != nil {
		c.sendStops(now, j, "the job is finished")
	}
	c.removeFinished(j)
}

func (c *Coordinator) claimedRecordLoaded(now time.Time, j *job) {
	r := j.record.Job
	a := j.attempt
	switch {
	case a == nil:
		c.takeOverAttempt(now, j)
	case !a.isNamedBy(r):
		c.stopAttempt(now, j, disposition{requeue: true, reason: "another owner claimed the job"})
		return
	case j.phase == phaseWriting && j.pendingWrite == nil:
		c.resumeStop(now, j) // the last write failed, or the record was not known before
	case r.Revoked && j.phase != phaseStopping && j.phase != phaseWriting:
		c.stopRevokedAttempt(now, j)
	}
	if r.CancelRequested {
		c.cancelAttempt(now, j)
	}
}

func (c *Coordinator) acceptedRecordLoaded(now time.Time, j *job, isNewer bool) {
	if j.attempt == nil {
		if isNewer || j.phase != phaseWaiting {
			c.returnToQueue(now, j, 0)
		}
		return
	}
	switch {
	case j.phase == phaseRunning || j.phase == phaseStarting:
		c.stopAttempt(now, j, disposition{requeue: true, reason: "the record no longer names this attempt"})
	case j.phase == phaseStopping:
		c.concludeAttempt(now, j)
	case j.phase == phaseWriting && j.pendingWrite == nil:
		c.returnToQueue(now, j, requeueDelay)
	}
}

// returnToQueue puts the job back into the queue, to be planned again after the delay.
func (c *Coordinator) returnToQueue(now time.Time, j *job, delay time.Duration) {
	if j.attempt != nil {
		j.nextAttempt = max(j.nextAttempt, j.attempt.number+1)
	}
	j.phase, j.attempt, j.pendingWrite = phaseWaiting, nil, nil
	j.nextAttempt = max(j.nextAttempt, j.record.Job.Attempt+1)
	j.notBefore = now.Add(delay)
	c.planNeeded = true
}

// removeFinished removes a job that has ended, together with its index entry, and passes its record on to onFinished.
func (c *Coordinator) removeFinished(j *job) {
	delete(c.jobs, j.key)
	c.emit(RemoveIndexAction{Job: j.key})
	if j.loaded && j.record.Job.State == model.JobFinished {
		c.onFinished(j.record.Job)
	}
	c.planNeeded = true
}

// takeOverAttempt supervises an attempt that the record names, for example one of an earlier owner. Starting it again
// is harmless: an agent that has already started the attempt accepts the start.
func (c *Coordinator) takeOverAttempt(now time.Time, j *job) {
	r := j.record.Job
	a := &attempt{number: r.Attempt, claim: r.Claim, guaranteed: r.Guaranteed, createdAt: now, phaseSince: now}
	for _, m := range r.Members {
		a.members = append(a.members, &member{Member: m})
	}
	j.attempt = a
	j.nextAttempt = max(j.nextAttempt, r.Attempt+1)
	klog.InfoS("Took over attempt", "cell", c.cell, "job", j.key, "attempt", a.number,
		"members", len(a.members), "revoked", r.Revoked)
	if r.Revoked {
		c.stopRevokedAttempt(now, j)
		return
	}
	c.startMembers(now, j)
	c.applyEarlierReports(now, j)
}

// applyEarlierReports applies what the agents reported before this entry supervised the attempt. Agents report changes
// only, so a task that has already ended is not reported again.
func (c *Coordinator) applyEarlierReports(now time.Time, j *job) {
	for _, m := range j.attempt.members {
		u := c.upstreams[m.Agent]
		if u == nil || u.identity.Incarnation != m.Incarnation {
			continue
		}
		if t := u.tasks[j.key]; t != nil && t.status.Ref() == j.ref() {
			c.applyTaskStatus(now, j, m, t.status)
		}
	}
}

// superviseReportedAttempt lets a new owner supervise an attempt that an agent reports before the open index has been
// read, for example during an outage of the platform.
func (c *Coordinator) superviseReportedAttempt(now time.Time, u *upstream, t *taskView) {
	s := t.status
	if c.indexListed || c.jobs[s.Job] != nil || !s.Started || s.Phase.Terminal() || len(s.Members) == 0 || s.Spec == nil {
		return
	}
	a := &attempt{number: s.Attempt, claim: s.Claim, createdAt: now, phaseSince: now}
	for _, m := range s.Members {
		a.members = append(a.members, &member{Member: m})
	}
	j := &job{key: s.Job, phase: phaseRunning, attempt: a, nextAttempt: s.Attempt + 1}
	j.record.Job = model.Job{
		Spec: *s.Spec, Cell: c.cell, State: model.JobClaimed, Attempt: s.Attempt, Claim: s.Claim, Members: s.Members,
	}
	c.jobs[s.Job] = j
	klog.InfoS("Supervising attempt reported by an agent", "cell", c.cell, "job", s.Job, "attempt", s.Attempt,
		"agent", u.identity.Agent)
	c.applyEarlierReports(now, j)
}

// Tick detects lost members, retries unanswered calls and plans.
func (c *Coordinator) Tick(now time.Time) {
	if !c.owner {
		return
	}
	for _, j := range c.jobs {
		c.tickJob(now, j)
	}
	c.tickTasks(now)
	if c.indexListed && (c.planNeeded || now.Sub(c.plannedAt) >= maxPlanInterval) {
		c.planNeeded, c.plannedAt = false, now
		c.plan(now)
	}
}

func (c *Coordinator) tickJob(now time.Time, j *job) {
	switch j.phase {
	case phaseHolding:
		if now.Sub(j.attempt.phaseSince) > holdTimeout {
			c.stopAttempt(now, j, disposition{requeue: true, reason: "holds were not answered in time"})
		}
	case phaseCommitting:
		c.refreshHolds(now, j)
	case phaseStarting, phaseRunning:
		c.checkMembers(now, j)
		c.evictFromLeavingUpstream(now, j)
	case phaseStopping:
		c.resendStops(now, j)
	case phaseWriting, phaseLoading:
		if !now.Before(j.notBefore) {
			c.reloadRecord(now, j)
		}
	}
}

// reloadRecord reads the record again after a read or a write that failed.
func (c *Coordinator) reloadRecord(now time.Time, j *job) {
	if j.pendingWrite != nil {
		return // the write is still in flight
	}
	j.notBefore = now.Add(platformRetryInterval)
	c.emit(LoadRecordAction{Job: j.key})
}

// checkMembers stops the attempt when a member is lost or the start timeout has passed, and retries unanswered starts.
func (c *Coordinator) checkMembers(now time.Time, j *job) {
	if j.phase == phaseStarting && now.Sub(j.attempt.phaseSince) > startTimeout {
		c.stopAttempt(now, j, c.dispositionAfterLoss(j, "starts were not answered in time"))
		return
	}
	for _, m := range j.attempt.members {
		if m.phase.Terminal() {
			continue
		}
		if reason := c.lossReason(now, j.attempt, m); reason != "" {
			m.uncertain = true
			c.stopAttempt(now, j, c.dispositionAfterLoss(j, "member "+m.Agent+" lost: "+reason))
			return
		}
		if j.phase == phaseStarting && !m.answered && now.Sub(m.requestedAt) >= startRetryInterval {
			c.sendStart(now, j, m)
		}
	}
}

// evictFromLeavingUpstream checkpoints and stops a preemptible job when one of its upstreams is leaving, so that a
// planned shutdown does not wait for work that runs for hours.
func (c *Coordinator) evictFromLeavingUpstream(now time.Time, j *job) {
	if j.phase != phaseRunning || !j.record.Job.Spec.Preemptible {
		return
	}
	for _, m := range j.attempt.members {
		if u := c.upstreams[m.Agent]; u != nil && u.leaving {
			c.stopAttempt(now, j, disposition{requeue: true, checkpoint: true, reason: m.Agent + " is leaving"})
			return
		}
	}
}

// lossReason returns why a member counts as lost, or "" if it does not.
func (c *Coordinator) lossReason(now time.Time, a *attempt, m *member) string {
	u := c.upstreams[m.Agent]
	switch {
	case u == nil:
		if now.Sub(c.ownerSince) > protocol.MemberTimeout {
			return "never reported to this owner"
		}
	case restarted(u, m, a):
		return "its agent restarted"
	case u.isSilent(now) && now.Sub(c.ownerSince) > protocol.MemberTimeout:
		return "silent for " + now.Sub(u.lastSeen).Round(time.Millisecond).String()
	}
	return ""
}

// restarted reports whether the agent reported with another incarnation after the attempt was created. A report from
// before that may come from an incarnation older than the member's.
func restarted(u *upstream, m *member, a *attempt) bool {
	return u.identity.Incarnation != m.Incarnation && u.lastSeen.After(a.createdAt)
}

// stopRevokedAttempt stops an attempt that its record marks as revoked.
func (c *Coordinator) stopRevokedAttempt(now time.Time, j *job) {
	c.stopAttempt(now, j, c.dispositionAfterLoss(j, "the attempt was revoked"))
}

// dispositionAfterLoss requeues idempotent work. Other work may have run, so it is not repeated and its result is
// unknown.
func (c *Coordinator) dispositionAfterLoss(j *job, reason string) disposition {
	if j.record.Job.Spec.Idempotent {
		return disposition{requeue: true, reason: reason}
	}
	return disposition{result: model.ResultUnknown, reason: reason}
}
