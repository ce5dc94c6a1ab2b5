package scheduler

import (
	"time"

	"masticcart.example/masticcart/internal/batch"
)

// LossCause is the reason why the work of a run was lost.
type LossCause string

// The causes. Members of a gang have causes of their own, since one run that ends takes those of all members with it.
const (
	LossPreempted       LossCause = "preempted"
	LossMemberPreempted LossCause = "member_preempted"
	LossCancelled       LossCause = "job_cancelled"
	LossJobFailed       LossCause = "job_failed" // other runs of a job that has used up its attempts
	LossFailed          LossCause = "failed"
	LossMemberFailed    LossCause = "member_failed"
	LossStalled         LossCause = "stands_still"
	LossSlow            LossCause = "crawls"
	LossMemberStalled   LossCause = "member_straggles"
	LossLate            LossCause = "late_run" // restarted on faster workers
	LossWorker          LossCause = "lost_with_worker"
	LossMemberLost      LossCause = "member_lost"
	LossOrder           LossCause = "order" // a start refused or not answered, or a run that is not listed any more
	LossEnded           LossCause = "ended_otherwise"
	LossEvacuated       LossCause = "evacuated" // runs that move out of an evacuated data centre
	LossRestarted       LossCause = "restarted" // runs of long-running tasks that have ended done
)

// LostWork returns the work in core-seconds that was thrown away since the leader took over, by cause. Work that a
// checkpoint has saved does not count.
func (c *Core) LostWork() map[LossCause]float64 { return c.lostWork }

// YieldedWork returns the work in core-seconds that each team has lost by preemption for other teams since the leader
// took over.
func (c *Core) YieldedWork() map[string]float64 { return c.yielded }

// recordLoss adds the work of a run that ends without success to the account. cause applies unless the run was being
// stopped for another one.
func (c *Core) recordLoss(t *task, cause LossCause, now time.Duration) {
	if !t.confirmed {
		return // it is not known to have worked
	}
	if t.phase == stopping && t.stopCause != "" {
		cause = t.stopCause
	}
	from := t.startedAt
	if t.step.spec.Checkpoints {
		from = max(from, t.checkpointAt)
	}
	lost := (now - from).Seconds() * t.step.spec.Need.CoreEquivalents()
	c.lostWork[cause] += lost
	if team := t.step.job().Team; (cause == LossPreempted || cause == LossMemberPreempted) && team != t.preemptedFor {
		c.yielded[team] += lost
	}
}

// finalLossCause returns the cause for the runs of a job that ends in a final state.
func finalLossCause(state batch.State) LossCause {
	if state == batch.Cancelled {
		return LossCancelled
	}
	return LossJobFailed
}
