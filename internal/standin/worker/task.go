package worker

import (
	"encoding/json"
	"math"
	"time"
)

// State is the state of a task.
type State string

// The states of a task.
const (
	StateRunning      State = "running"
	StateDone         State = "done"
	StateFailed       State = "failed"
	StateStopped      State = "stopped"
	StateLeaseExpired State = "lease_expired"
)

// maxMilliseconds bounds durations in requests, so that they fit a time.Duration.
const maxMilliseconds = int64(366 * 24 * time.Hour / time.Millisecond)

// task is one start of a task. Its progress grows by share times the time since it was last updated.
type task struct {
	id           string
	accelerators int
	work         time.Duration
	fail         bool
	started      time.Time

	state    State
	reason   string
	leaseEnd time.Time
	stopped  time.Time
	progress time.Duration
	updated  time.Time // when progress was computed
	shares   []shareChange
	listed   bool // whether the task is among the server's ended tasks
}

// shareChange records a throttling, so that the usage of a past moment can be reported.
type shareChange struct {
	since time.Time
	share float64
}

// Payload is what a payload can ask for. Payloads of any other form mean work that takes no time.
type Payload struct {
	WorkMS   int64 `json:"work_ms"`
	Fail     bool  `json:"fail"`
	ResumeMS int64 `json:"resume_ms"` // progress of the checkpoint to continue from
}

func newTask(request StartRequest, now time.Time) *task {
	var work Payload
	if json.Unmarshal(request.Payload, &work) != nil {
		work = Payload{}
	}
	total := milliseconds(work.WorkMS)
	return &task{
		id:           request.ID,
		accelerators: request.Accelerators,
		work:         total,
		fail:         work.Fail,
		started:      now,
		state:        StateRunning,
		leaseEnd:     now.Add(milliseconds(request.LeaseMS)),
		progress:     min(milliseconds(work.ResumeMS), total),
		updated:      now,
		shares:       []shareChange{{since: now, share: 1}},
	}
}

// settle ends a running task whose work was done or whose lease lapsed by now, at the moment when that happened.
func (t *task) settle(now time.Time) {
	if t.state != StateRunning {
		return
	}
	finish, finishes := t.finish()
	if finishes && !finish.After(now) && !finish.After(t.leaseEnd) {
		if t.fail {
			t.end(StateFailed, finish, "failed as the payload asked")
		} else {
			t.end(StateDone, finish, "")
		}
		return
	}
	if !t.leaseEnd.After(now) {
		t.end(StateLeaseExpired, t.leaseEnd, "the lease expired")
	}
}

// finish returns when the work will be done at the present share. A task without a share never finishes.
func (t *task) finish() (time.Time, bool) {
	remaining := float64(t.work-t.progress) / t.share()
	if math.IsNaN(remaining) || remaining > float64(milliseconds(maxMilliseconds)) {
		return time.Time{}, false
	}
	return t.updated.Add(time.Duration(math.Ceil(remaining))), true
}

func (t *task) end(state State, at time.Time, reason string) {
	t.progress, t.updated = t.progressAt(at), at
	t.state, t.stopped, t.reason = state, at, reason
}

func (t *task) share() float64 { return t.shares[len(t.shares)-1].share }

// setShare changes the share and forgets changes that no usage report can ask for any more.
func (t *task) setShare(share float64, now time.Time) {
	t.progress, t.updated = t.progressAt(now), now
	for len(t.shares) > 1 && t.shares[1].since.Before(now.Add(-UsageLag)) {
		t.shares = t.shares[1:]
	}
	t.shares = append(t.shares, shareChange{since: now, share: share})
}

func (t *task) progressAt(now time.Time) time.Duration {
	if t.state != StateRunning {
		return t.progress
	}
	gained := time.Duration(float64(now.Sub(t.updated)) * t.share())
	return min(t.progress+gained, t.work)
}

// usageAt returns the share that the task had at a moment, and whether it was running.
func (t *task) usageAt(at time.Time) (float64, bool) {
	if at.Before(t.started) || (t.state != StateRunning && !at.Before(t.stopped)) {
		return 0, false
	}
	share := t.shares[0].share
	for _, c := range t.shares {
		if !c.since.After(at) {
			share = c.share
		}
	}
	return share, true
}

func (t *task) view(now time.Time) Task {
	v := Task{
		ID:           t.id,
		State:        t.state,
		Accelerators: t.accelerators,
		Started:      t.started,
		ProgressMS:   t.progressAt(now).Milliseconds(),
		Reason:       t.reason,
	}
	if t.state == StateDone {
		v.Output, _ = json.Marshal(t.id) // a string always encodes
	}
	return v
}

// milliseconds converts a field of a request, bounded to what a time.Duration can hold.
func milliseconds(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), maxMilliseconds)) * time.Millisecond
}
