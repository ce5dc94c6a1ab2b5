// Package intake accepts jobs at an entry: it checks the caller, stores the job before it is acknowledged, and answers
// for its state. Any entry accepts and answers, whoever schedules.
package intake

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/kvstore"
	"masticcart.example/masticcart/internal/scheduler"
	"masticcart.example/masticcart/internal/wait"
)

// Outcome is what a caller is told.
type Outcome string

// The outcomes.
const (
	OK           Outcome = "ok"
	NoQueue      Outcome = "no-queue"
	Unauthorized Outcome = "unauthorized"
	Invalid      Outcome = "invalid"
	TooLarge     Outcome = "too-large"
	Gone         Outcome = "gone"
	// Unavailable means that nothing was stored and nothing will be; the caller is told when to come back.
	Unavailable Outcome = "not-run"
	// OutcomeUnknown means that the request may take effect; the caller has to ask again.
	OutcomeUnknown Outcome = "unclear"
)

// ErrTooLarge is returned by the parser of a submission whose body exceeds MaxBodyBytes.
var ErrTooLarge = errors.New("the body is too large")

// Request is one call of a caller.
type Request struct {
	Host, Path, Key string
	// Deadline is when the caller stops waiting. The zero time means that it did not say.
	Deadline time.Time
}

// Response answers a Request.
type Response struct {
	Outcome Outcome
	Reason  string
	// RetryAfter goes with Unavailable.
	RetryAfter time.Duration
	State      batch.State
	Pending    int
}

// Settings bound the intake.
type Settings struct {
	// MaxCatalogAge is the age of the configuration from which on keys are not trusted any more. Zero: always trusted.
	MaxCatalogAge time.Duration
	// MaxPendingAge is how old the number of waiting jobs may be.
	MaxPendingAge time.Duration
}

const (
	// callTimeout bounds one call to the store. It is above an answer of a store that is sixty times slower than usual.
	callTimeout = 700 * time.Millisecond
	// defaultDeadline is assumed of callers that state none.
	defaultDeadline = 3 * time.Second
	// answerMargin is left of the caller's time for the answer to travel.
	answerMargin = 150 * time.Millisecond
	// storeRetry is the pause between tries to store a job.
	storeRetry = 60 * time.Millisecond
	// refuseAfter is how long a job that is certainly not stored is tried again before the caller is told so.
	refuseAfter = 300 * time.Millisecond
	// downAfter is the time without an answer of the store from which on nothing is sent to it for a caller.
	downAfter = 2500 * time.Millisecond
	// comeBack is when a caller may try again that was told that its request has not run.
	comeBack = time.Second
)

// LeaderClient answers for the scheduler, wherever it runs.
type LeaderClient interface {
	// Pending returns the number of jobs of each queue of which no task has started.
	Pending(ctx context.Context) (map[string]int, error)
	// State returns the recorded state of a job, and whether the scheduler knows it. While the job is not over it waits
	// for a change, at most for wait.
	State(ctx context.Context, job string, wait time.Duration) (batch.State, bool, error)
	// NotifyStored tells it of an entry that was stored. It may be lost: the scheduler also watches the store.
	NotifyStored(ctx context.Context, e kvstore.Entry) error
}

// Service accepts jobs.
type Service struct {
	store    kvstore.Store
	follower *CatalogWatcher
	leader   LeaderClient
	settings Settings

	news      chan kvstore.Entry
	mu        sync.Mutex
	pending   map[string]int
	pendingAt time.Duration
}

// New returns the intake of an entry.
func New(store kvstore.Store, follower *CatalogWatcher, leader LeaderClient, settings Settings) *Service {
	return &Service{store: store, follower: follower, leader: leader, settings: settings, news: make(chan kvstore.Entry, newsRing)}
}

// newsRing bounds the stored entries of which the leader has not been told.
const newsRing = 64

// Run tells the leader of what this entry has stored, until ctx ends.
func (s *Service) Run(ctx context.Context) {
	for {
		select {
		case e := <-s.news:
			if err := s.leader.NotifyStored(ctx, e); err != nil {
				klog.V(1).InfoS("Leader not told", "key", e.Key, "err", err)
			}
		case <-ctx.Done():
			return
		}
	}
}

// tell queues an entry for Run. If too many wait, the scheduler's watch brings it.
func (s *Service) tell(e kvstore.Entry) {
	select {
	case s.news <- e:
	default:
	}
}

// Ready returns an error while the entry cannot serve callers.
func (s *Service) Ready() error {
	catalog, _, age := s.follower.Current()
	if catalog.Version == 0 {
		return errors.New("no configuration yet")
	}
	if age > downAfter {
		return errors.New("the store does not answer")
	}
	return nil
}

// admission is a request whose queue and caller are known.
type admission struct {
	queue     *batch.Queue
	team      string
	rest      string // of the path
	catalog   *batch.Catalog
	condition kvstore.Condition
	age       time.Duration
}

// admit finds the queue of a request and checks its key.
func (s *Service) admit(r Request) (*admission, *Response) {
	catalog, condition, age := s.follower.Current()
	if catalog.Version == 0 {
		return nil, &Response{Outcome: Unavailable, Reason: "no configuration yet", RetryAfter: comeBack}
	}
	queue, rest := catalog.MatchQueue(r.Host, r.Path)
	if queue == nil {
		return nil, &Response{Outcome: NoQueue, Reason: "no queue has this host and prefix"}
	}
	a := &admission{queue: queue, rest: rest, catalog: catalog, condition: condition, age: age}
	if queue.Public {
		return a, nil
	}
	if s.settings.MaxCatalogAge > 0 && age > s.settings.MaxCatalogAge {
		return nil, &Response{Outcome: Unavailable, Reason: "keys cannot be checked", RetryAfter: comeBack}
	}
	team := catalog.TeamByKey(r.Key)
	if team == nil {
		return nil, &Response{Outcome: Unauthorized, Reason: "unknown key"}
	}
	a.team = team.Name
	return a, nil
}

// MaxBodyBytes returns the largest body that is accepted, in bytes.
func (s *Service) MaxBodyBytes() int64 { return s.follower.Catalog().MaxBodyBytes }

// jobID is the length of a job's id in hexadecimal digits.
const jobID = 16

func validID(id string) bool {
	if len(id) != jobID {
		return false
	}
	_, err := hex.DecodeString(id)
	return err == nil
}

// deadline returns when the answer has to leave.
func (r Request) deadline() time.Time {
	if r.Deadline.IsZero() {
		return time.Now().Add(defaultDeadline - answerMargin)
	}
	return r.Deadline.Add(-answerMargin)
}

// Submit stores a job and acknowledges it. parse reads the job from the body of the request; it is called only for a
// request that is admitted.
func (s *Service) Submit(ctx context.Context, r Request, parse func() (*batch.Job, error)) Response {
	started := time.Now()
	a, refusal := s.admit(r)
	if refusal != nil {
		return s.log("Submission refused", r, a, started, *refusal)
	}
	if !validID(a.rest) {
		return s.log("Submission refused", r, a, started, Response{Outcome: Invalid, Reason: "the id has to be 16 hexadecimal digits"})
	}
	job, err := parse()
	if err == nil {
		job.ID, job.Queue, job.Team, job.AcceptedAt = a.rest, *a.queue, a.team, time.Now()
		err = job.Validate()
	}
	if errors.Is(err, ErrTooLarge) {
		return s.log("Submission refused", r, a, started, Response{Outcome: TooLarge, Reason: err.Error()})
	}
	if err != nil {
		return s.log("Submission refused", r, a, started, Response{Outcome: Invalid, Reason: err.Error()})
	}
	value, err := json.Marshal(job)
	if err != nil {
		return s.log("Submission refused", r, a, started, Response{Outcome: Invalid, Reason: err.Error()})
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline())
	defer cancel()
	return s.log("Submission answered", r, a, started, s.put(ctx, r, a, value))
}

// put writes the job on the condition that it is new and that the configuration has not changed.
func (s *Service) put(ctx context.Context, r Request, a *admission, value []byte) Response {
	key := scheduler.JobKey(a.rest)
	unclear := false
	started := time.Now()
	for {
		revision, err := s.try(ctx, kvstore.Txn{
			Expect: []kvstore.Condition{{Key: key}, a.condition},
			Puts:   []kvstore.Write{{Key: key, Value: value}},
		}, a.age)
		var conflict *kvstore.ConflictError
		switch {
		case err == nil:
			s.tell(kvstore.Entry{Key: key, Value: value, Revision: revision})
			return Response{Outcome: OK, Reason: "stored"}
		case errors.As(err, &conflict):
			if found := conflict.Find(key); found.Revision != 0 {
				return Response{Outcome: OK, Reason: "stored before"}
			}
			// The configuration has changed, so no write before can take effect any more.
			unclear = false
			if _, err := s.follower.Refresh(ctx); err == nil {
				again, refusal := s.admit(r)
				if refusal != nil {
					return *refusal
				}
				a.condition, a.age = again.condition, again.age
				continue
			}
		case errors.Is(err, kvstore.ErrUnknownOutcome):
			unclear = true
		}
		if !unclear && (time.Since(started) > refuseAfter || ctx.Err() != nil) {
			return Response{Outcome: Unavailable, Reason: "the store does not answer", RetryAfter: comeBack}
		}
		if unclear && s.leaderKnows(ctx, a.rest) {
			return Response{Outcome: OK, Reason: "stored, the leader has it"}
		}
		if ctx.Err() != nil {
			return Response{Outcome: OutcomeUnknown, Reason: "the store has not said whether the job is stored"}
		}
		wait.For(ctx, storeRetry)
	}
}

// leaderKnows reports whether the leader has read a job from the store, which may turn this machine away and serve the
// leader's.
func (s *Service) leaderKnows(ctx context.Context, id string) bool {
	_, known, err := s.leader.State(ctx, id, 0)
	if err != nil {
		klog.V(1).InfoS("Leader not asked about a submission", "job", id, "err", err)
	}
	return known && err == nil
}

// try makes one write, unless the store has been silent for long.
func (s *Service) try(ctx context.Context, txn kvstore.Txn, age time.Duration) (kvstore.Revision, error) {
	if age > downAfter {
		return 0, kvstore.ErrUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.store.Txn(ctx, txn)
}

// log writes the line of a decision on a request and returns the response.
func (s *Service) log(message string, r Request, a *admission, started time.Time, response Response) Response {
	id, queue, team, version, age := r.Path, "", "", s.follower.Catalog().Version, time.Duration(0)
	if a != nil {
		id, queue, team, version, age = a.rest, a.queue.Name, a.team, a.catalog.Version, a.age
	}
	klog.InfoS(message, "job", id, "queue", queue, "team", team, "answer", response.Outcome, "reason", response.Reason,
		"state", response.State, "pending", response.Pending, "catalog", version, "catalogAgeMs", age.Milliseconds(),
		"tookMs", time.Since(started).Milliseconds())
	return response
}
