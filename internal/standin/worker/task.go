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

// maxMilliseconds bounds durations in requests, so that they fit into a time.Duration.
const maxMilliseconds = int64(366 * 24 * time.Hour / time.Millisecond)

// task is one start of a task. While it runs, its progress is that at updated plus the time since then multiplied by
// the current share.
type task struct {
	id           string
	accelerators int
	workTime     time.Duration
	fail         bool
	started      time.Time

	state    State
	reason   string
	leaseEnd time.Time
	stopped  time.Time
	progress time.Duration // work done at updated
	updated  time.Time     // time at which progress was computed
	shares   []shareChange // oldest first, never empty
	inEnded  bool          // whether the task was added to Server.ended
}

// shareChange records a change of the share, so that the usage at an earlier time can be reported.
type shareChange struct {
	since time.Time
	share float64
}

// Payload is the form of payload that the stand-in understands. A task with any other payload finishes at once.
type Payload struct {
	WorkMS   int64 `json:"work_ms"`   // run time without throttling
	Fail     bool  `json:"fail"`      // whether the task fails when its work is done
	ResumeMS int64 `json:"resume_ms"` // progress at the checkpoint to resume from
}

func newTask(request StartRequest, now time.Time) *task {
	var payload Payload
	if json.Unmarshal(request.Payload, &payload) != nil {
		payload = Payload{}
	}
	workTime := milliseconds(payload.WorkMS)
	return &task{
		id:           request.ID,
		accelerators: request.Accelerators,
		workTime:     workTime,
		fail:         payload.Fail,
		started:      now,
		state:        StateRunning,
		leaseEnd:     now.Add(milliseconds(request.LeaseMS)),
		progress:     min(milliseconds(payload.ResumeMS), workTime),
		updated:      now,
		shares:       []shareChange{{since: now, share: 1}},
	}
}

// advanceTo ends a running task whose work is done or whose lease has expired by now. The recorded end is the time at
// which that happened.
func (t *task) advanceTo(now time.Time) {
	if t.state != StateRunning {
		return
	}
	finish, finishes := t.finishTime()
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

// finishTime returns the time at which the work is done at the current share. It returns false if that is never or too
// far ahead for a time.Duration, as with a share of 0.
func (t *task) finishTime() (time.Time, bool) {
	remaining := float64(t.workTime-t.progress) / t.share()
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

// setShare changes the share and removes changes older than any usage report covers.
func (t *task) setShare(share float64, now time.Time) {
	t.progress, t.updated = t.progressAt(now), now
	for len(t.shares) > 1 && t.shares[1].since.Before(now.Add(-UsageLag)) {
		t.shares = t.shares[1:]
	}
	t.shares = append(t.shares, shareChange{since: now, share: share})
}

// progressAt returns the work done by now, which for an ended task is that at its end.
func (t *task) progressAt(now time.Time) time.Duration {
	if t.state != StateRunning {
		return t.progress
	}
	gained := time.Duration(float64(now.Sub(t.updated)) * t.share())
	return min(t.progress+gained, t.workTime)
}

// usageAt returns the share that the task had at a time, and whether it was running then.
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

// response returns the state of the task for an HTTP response.
func (t *task) response(now time.Time) Task {
	v := Task{
		ID:           t.id,
		State:        t.state,
		Accelerators: t.accelerators,
		Started:      t.started,
		ProgressMS:   t.progressAt(now).Milliseconds(),
		Reason:       t.reason,
	}
	if t.state == StateDone {
		v.Output, _ = json.Marshal(t.id) // encoding a string cannot fail
	}
	return v
}

// milliseconds converts a field of a request to a duration from 0 to maxMilliseconds.
func milliseconds(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), maxMilliseconds)) * time.Millisecond
}
