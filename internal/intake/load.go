package intake

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/admission"
	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/boottime"
	"masticcart.example/masticcart/internal/kvstore"
	"masticcart.example/masticcart/internal/scheduler"
	"masticcart.example/masticcart/internal/wait"
)

const (
	// loadRefreshFraction is the age at which the leader's figures are requested again, as a fraction of the largest
	// usable age, so that the next figures arrive before the last ones are too old.
	loadRefreshFraction = 0.5
	// loadFollowTime is how long the figures are requested regularly after a submission, while any queue has a wait. With
	// a dozen entries and few submissions a second, an entry gets one in several seconds, and would never have figures
	// that are young enough if it asked only then.
	loadFollowTime = 10 * time.Second
	// minLoadRefresh bounds how often the figures are requested regularly.
	minLoadRefresh = 100 * time.Millisecond
	// maxFullAge is the age of the figures up to which a leader without memory for jobs is taken to have none. A new leader
	// may have more.
	maxFullAge = 5 * time.Second
	// fullRetryAfter is the time after which a caller may retry a submission for which the leader had no memory, which
	// jobs release only when they end.
	fullRetryAfter = 5 * time.Second
)

// metrics counts decisions on submissions.
type metrics struct{ scope tally.Scope }

func newMetrics(scope tally.Scope) *metrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	return &metrics{scope: scope.SubScope("admission")}
}

func (m *metrics) count(queue, decision string) {
	m.scope.Tagged(map[string]string{"queue": queue, "decision": decision}).Counter("decisions").Inc(1)
}

// Values of the tag decision.
const (
	decisionAccept = "accept"
	decisionRefuse = "refuse"
	// decisionRepeat means that the job would have been refused, but may be stored already.
	decisionRepeat = "repeat"
)

// refuseForLoad returns a refusal if a result of the job would come too late, and nil if the job is to be stored. It
// refuses only a job of which it is certain that it is not stored: the caller is told that it has not run and will not.
func (s *Service) refuseForLoad(ctx context.Context, j *batch.Job) *Response {
	q := &j.Queue
	if q.Priority <= 0 || s.settings.MaxPendingAge <= 0 {
		return nil
	}
	load, age := s.noteArrival()
	queueWait := load.Waits[q.Name]
	d := admission.Decide(admission.Job{ID: j.ID, Priority: q.Priority, Chain: j.LongestChain(),
		SlackFactor: q.SlackFactor, TargetLatency: q.TargetLatency, Need: j.LeastNeed(),
		Deferred: isDeferred(j)},
		admission.Figures{Wait: time.Duration(queueWait.WaitMS) * time.Millisecond, Need: queueWait.Need,
			LatestStart:   time.Duration(queueWait.LatestStartMS) * time.Millisecond,
			DurationRatio: queueWait.DurationRatio, Age: age}, s.settings.MaxPendingAge)
	decision := decisionAccept
	switch {
	case d.Refused && s.mayBeStored(ctx, j.ID):
		decision = decisionRepeat
	case d.Refused:
		decision = decisionRefuse
	}
	s.metrics.count(q.Name, decision)
	if decision != decisionRefuse {
		return nil
	}
	klog.InfoS("Submission refused because of load", "job", j.ID, "queue", q.Name, "team", j.Team,
		"priority", q.Priority, "expectedWaitMs", d.Wait.Milliseconds(), "expectedWorkMs", d.Chain.Milliseconds(),
		"limitMs", d.Limit.Milliseconds(), "figuresAgeMs", age.Milliseconds(), "retryAfterMs", d.RetryAfter.Milliseconds())
	return &Response{Outcome: Unavailable, RetryAfter: d.RetryAfter, Reason: fmt.Sprintf(
		"overloaded: a start is expected in %.1f s, which is too late; the job has not run and will not run",
		d.Wait.Seconds())}
}

// isDeferred reports whether a job starts later than at once, or never ends.
func isDeferred(j *batch.Job) bool {
	return j.RepeatCount > 0 || slices.ContainsFunc(j.Steps, func(s batch.Step) bool { return s.LongRunning })
}

// mayBeStored reports whether a job may be stored already, or by a write that this process has sent: its caller may
// repeat a submission whose answer was lost. If the store does not answer, that is not known.
func (s *Service) mayBeStored(ctx context.Context, id string) bool {
	if s.isUnresolved(id) || s.storeSilent() {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := s.store.Get(ctx, scheduler.JobKey(id))
	return !errors.Is(err, kvstore.ErrNotFound) || s.isUnresolved(id)
}

// isUnresolved reports whether this process may have stored a job.
func (s *Service) isUnresolved(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unresolved.contains(id, boottime.Now())
}

// noteArrival returns the known figures and their age, and has them requested again if they will soon be too old. It
// does not wait for the answer.
func (s *Service) noteArrival() (scheduler.Load, time.Duration) {
	load, age := s.knownLoad()
	s.mu.Lock()
	s.lastArrival = boottime.Now()
	s.mu.Unlock()
	if load.Pending == nil || age < 0 || age > s.loadRefreshAge() {
		s.requestLoad()
	}
	return load, age
}

// requestLoad has the figures requested from the leader, and does not wait for the answer.
func (s *Service) requestLoad() {
	select {
	case s.loadNeeded <- struct{}{}:
	default:
	}
}

func (s *Service) loadRefreshAge() time.Duration {
	return max(minLoadRefresh, time.Duration(float64(s.settings.MaxPendingAge)*loadRefreshFraction))
}

const leaderFullReason = "the scheduler holds as many jobs as its memory permits"

// leaderAccepts reports whether the leader has memory for a job of a team, by its last figures. An entry learns that there
// is none from the leader's answer to a notification, and requests the figures regularly from then on.
func (s *Service) leaderAccepts(team string) bool {
	load, age := s.knownLoad()
	return load.Accepts(team) || age > maxFullAge
}

// followLoad requests the leader's figures when a submission needs them, and regularly while jobs arrive that have to
// wait, until ctx ends. If the leader does not answer, the next submission asks again.
func (s *Service) followLoad(ctx context.Context) {
	for {
		select {
		case <-s.loadNeeded:
		case <-ctx.Done():
			return
		}
		for s.followOnce(ctx) {
			wait.For(ctx, s.loadRefreshAge())
		}
	}
}

// followOnce requests the figures and reports whether they are needed again without a submission.
func (s *Service) followOnce(ctx context.Context) bool {
	load, err := s.refreshLoad(ctx)
	if err != nil {
		klog.V(1).InfoS("Failed to ask the leader for the load", "err", err)
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return ctx.Err() == nil && (!load.AcceptsAll() ||
		len(load.Waits) > 0 && boottime.Now()-s.lastArrival <= loadFollowTime)
}

// knownLoad returns the last figures and the time since they were requested.
func (s *Service) knownLoad() (scheduler.Load, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.load, boottime.Now() - s.loadAt
}

// refreshLoad requests the figures from the leader once.
func (s *Service) refreshLoad(ctx context.Context) (scheduler.Load, error) {
	requestedAt := boottime.Now()
	load, err := s.leader.Load(ctx)
	if err != nil {
		return scheduler.Load{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if requestedAt >= s.loadAt {
		s.load, s.loadAt = load, requestedAt
	}
	return load, nil
}
