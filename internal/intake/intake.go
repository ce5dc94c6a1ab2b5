// Package intake serves the callers of an entry: it authenticates them, stores a submitted job before it acknowledges
// it, reports the state of jobs and cancels them. Every entry serves callers, whichever entry is the leader.
package intake

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/boottime"
	"masticcart.example/masticcart/internal/clientlimit"
	"masticcart.example/masticcart/internal/kvstore"
	"masticcart.example/masticcart/internal/scheduler"
	"masticcart.example/masticcart/internal/wait"
)

// Outcome classifies the response to a caller.
type Outcome string

// The outcomes.
const (
	OK           Outcome = "ok"
	NoQueue      Outcome = "no-queue"
	Unauthorized Outcome = "unauthorized"
	Invalid      Outcome = "invalid"
	TooLarge     Outcome = "too-large"
	Gone         Outcome = "gone" // there is no such job
	// Unavailable means that the request has no effect and will have none. Response.RetryAfter says when to retry.
	Unavailable Outcome = "not-run"
	// OutcomeUnknown means that the request may have an effect. The caller has to ask again.
	OutcomeUnknown Outcome = "unclear"
)

// Request is one request of a caller.
type Request struct {
	Host, Path, Key string
	// Deadline is when the caller stops waiting. The zero time means that the caller has not set one.
	Deadline time.Time
}

// Response answers a Request.
type Response struct {
	Outcome Outcome
	Reason  string
	// RetryAfter is set if the outcome is Unavailable.
	RetryAfter time.Duration
	State      batch.State
	Pending    int // number of pending jobs of the queue
}

// Settings limit the age of the data that the intake uses.
type Settings struct {
	// MaxCatalogAge is the time without confirmation of the configuration after which callers' keys are not trusted.
	// Zero means no limit.
	MaxCatalogAge time.Duration
	// MaxPendingAge is how old the leader's figures on the queues may be. Without it no job is refused because of load.
	MaxPendingAge time.Duration
	// Scope is the parent scope of the metrics. Nil means none.
	Scope tally.Scope
}

const (
	// callTimeout bounds one call to the store. It exceeds the response time of a store that is sixty times slower than
	// usual.
	callTimeout = 700 * time.Millisecond
	// defaultDeadline is the time that callers without a deadline are assumed to wait.
	defaultDeadline = 3 * time.Second
	// maxDeadline bounds the time for which a request is held, whatever its caller asks for.
	maxDeadline = time.Minute
	// responseMargin is the part of the caller's time that is reserved for sending the response.
	responseMargin = 150 * time.Millisecond
	// retryDelay is the pause between attempts to reach the store or the leader.
	retryDelay = 60 * time.Millisecond
	// maxRetryTime is how long a write that certainly had no effect is retried before the caller is told so.
	maxRetryTime = 300 * time.Millisecond
	// maxStoreSilence is the time without an answer of the store after which it counts as out of reach: the answer to the
	// poll of the configuration is overdue by more than a call to a slow store takes.
	maxStoreSilence = catalogPollWait + callTimeout
	// retryAfter is the time after which a caller may retry a request that had no effect.
	retryAfter = time.Second
)

// LeaderClient calls the scheduler of the leader, on whichever entry it runs.
type LeaderClient interface {
	// Load returns the leader's figures on the queues.
	Load(ctx context.Context) (scheduler.Load, error)
	// State returns the recorded state of a job, and whether the scheduler knows the job. While the job is unfinished,
	// the call waits up to wait for a change.
	State(ctx context.Context, job string, wait time.Duration) (batch.State, bool, error)
	// NotifyStored tells the scheduler about a newly stored entry. Notifications may be lost: the scheduler also watches
	// the store. full means that the leader has no memory for further jobs of at least one team.
	NotifyStored(ctx context.Context, e kvstore.Entry) (full bool, err error)
}

// Service serves submissions, state queries and cancellations.
type Service struct {
	store    kvstore.Store
	catalogs *CatalogWatcher
	leader   LeaderClient
	settings Settings

	metrics *metrics

	stored      chan kvstore.Entry // entries to notify the leader of
	loadNeeded  chan struct{}      // wakes followLoad
	mu          sync.Mutex
	load        scheduler.Load // Pending is nil before the first answer
	loadAt      time.Duration  // boottime when load was requested
	lastArrival time.Duration  // boottime of the last submission that may be refused because of load
	unresolved  unresolvedJobs
	// refusalChecks is a semaphore that bounds the calls to the store on behalf of submissions that are refused. Without a
	// check, the outcome of earlier submissions of the job is unknown.
	refusalChecks chan struct{}
}

// New returns the intake of an entry. Run has to be called to notify the leader of stored entries.
func New(store kvstore.Store, catalogs *CatalogWatcher, leader LeaderClient, settings Settings) *Service {
	return &Service{store: store, catalogs: catalogs, leader: leader, settings: settings,
		metrics: newMetrics(settings.Scope), stored: make(chan kvstore.Entry, storedQueueLength),
		loadNeeded: make(chan struct{}, 1), refusalChecks: make(chan struct{}, maxRefusalChecks),
		unresolved: unresolvedJobs{attempts: map[string]time.Duration{}, overflowAt: -unresolvedRetention}}
}

// maxRefusalChecks bounds the concurrent checks of submissions that are refused at the limits of this entry or the leader.
const maxRefusalChecks = 2

// storedQueueLength bounds the stored entries that the leader has yet to be notified of.
const storedQueueLength = 64

// Run notifies the leader of the entries that this process stores, and follows the load, until ctx ends.
func (s *Service) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { s.followLoad(ctx) })
	for {
		select {
		case e := <-s.stored:
			full, err := s.leader.NotifyStored(ctx, e)
			if err != nil {
				klog.V(1).InfoS("Failed to notify the leader of a stored entry", "key", e.Key, "err", err)
			}
			if full {
				s.requestLoad()
			}
		case <-ctx.Done():
			return
		}
	}
}

// notifyLeader queues an entry for Run. If the queue is full, it discards the entry: the scheduler's watch delivers it.
func (s *Service) notifyLeader(e kvstore.Entry) {
	select {
	case s.stored <- e:
	default:
	}
}

// Ready returns an error while the intake cannot serve callers.
func (s *Service) Ready() error {
	if s.catalogs.Catalog().Version == 0 {
		return errors.New("no configuration yet")
	}
	if s.storeSilent() {
		return errors.New("the store does not answer")
	}
	return nil
}

// admitted is the result of the checks on a request: its queue, its caller and the configuration that they used.
type admitted struct {
	queue     *batch.Queue
	team      string
	jobID     string // from the path; empty if the path names the queue only
	catalog   *batch.Catalog
	condition kvstore.Condition // holds while the configuration has not changed
	age       time.Duration     // time since the configuration was last confirmed
}

// admit finds the queue of a request and checks the caller's key. It returns either the result or a refusal.
func (s *Service) admit(r Request) (*admitted, *Response) {
	catalog, condition, age := s.catalogs.Current()
	if catalog.Version == 0 {
		return nil, &Response{Outcome: Unavailable, Reason: "no configuration yet", RetryAfter: retryAfter}
	}
	queue, jobID := catalog.MatchQueue(r.Host, r.Path)
	if queue == nil {
		return nil, &Response{Outcome: NoQueue, Reason: "no queue has this host and prefix"}
	}
	a := &admitted{queue: queue, jobID: jobID, catalog: catalog, condition: condition, age: age}
	if queue.Public {
		return a, nil
	}
	if s.settings.MaxCatalogAge > 0 && age > s.settings.MaxCatalogAge {
		return nil, &Response{Outcome: Unavailable, Reason: "keys cannot be checked", RetryAfter: retryAfter}
	}
	team := catalog.TeamByKey(r.Key)
	if team == nil {
		return nil, &Response{Outcome: Unauthorized, Reason: "unknown key"}
	}
	a.team = team.Name
	return a, nil
}

// MaxBodyBytes returns the largest body that is accepted, in bytes.
func (s *Service) MaxBodyBytes() int64 { return s.catalogs.Catalog().MaxBodyBytes }

// jobIDLength is the length of a job id in hexadecimal digits.
const jobIDLength = 16

func isJobID(id string) bool {
	if len(id) != jobIDLength {
		return false
	}
	_, err := hex.DecodeString(id)
	return err == nil
}

// deadline returns when the response has to be sent.
func (r Request) deadline() time.Time {
	wait := defaultDeadline
	if !r.Deadline.IsZero() {
		wait = min(time.Until(r.Deadline), maxDeadline)
	}
	return time.Now().Add(wait - responseMargin)
}

// Submit stores a job and acknowledges it. parse decodes the job from the body of the request and is called only if the
// request is admitted. The errors of package clientlimit determine the response.
func (s *Service) Submit(ctx context.Context, r Request, parse func() (*batch.Job, error)) Response {
	started := time.Now()
	a, refusal := s.admit(r)
	if refusal != nil {
		return s.logResponse("Submission refused", r, a, started, *refusal)
	}
	if !isJobID(a.jobID) {
		return s.logResponse("Submission refused", r, a, started,
			Response{Outcome: Invalid, Reason: "the id has to be 16 hexadecimal digits"})
	}
	job, err := parse()
	if err == nil {
		job.ID, job.Queue, job.Team, job.AcceptedAt = a.jobID, *a.queue, a.team, time.Now()
		err = job.ValidateNew()
	}
	var value []byte
	if err == nil {
		value, err = json.Marshal(job)
	}
	if err == nil {
		err = clientlimit.Reserve(ctx, int64(len(value))*valueCopies)
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline())
	defer cancel()
	if err != nil {
		return s.logResponse("Submission refused", r, a, started, s.refusalOf(ctx, a.jobID, err))
	}
	if !s.leaderAccepts(a.team) {
		return s.logResponse("Submission refused", r, a, started, s.refuse(ctx, a.jobID, leaderFullReason, fullRetryAfter))
	}
	if refusal := s.refuseForLoad(ctx, job); refusal != nil {
		return *refusal
	}
	return s.logResponse("Submission answered", r, a, started, s.storeJob(ctx, r, a, value))
}

// valueCopies is the number of copies of a stored job that exist while it is written: decoded, encoded, encoded as base64
// text in the request, and in the queue of notifications to the leader.
const valueCopies = 5

// refusalOf returns the response to a submission that was not stored because of an error.
func (s *Service) refusalOf(ctx context.Context, id string, err error) Response {
	switch {
	case errors.Is(err, clientlimit.ErrTooLarge):
		return Response{Outcome: TooLarge, Reason: err.Error()}
	case errors.Is(err, clientlimit.ErrOverloaded):
		return s.refuse(ctx, id, err.Error(), clientlimit.RetryAfter)
	}
	return Response{Outcome: Invalid, Reason: err.Error()}
}

// refuse returns the response to a submission that is not to be stored now. An earlier submission of the job may have been
// stored, or may be under way in this process.
func (s *Service) refuse(ctx context.Context, id, reason string, retryAfter time.Duration) Response {
	unknown := Response{Outcome: OutcomeUnknown, Reason: reason + "; an earlier submission of the job may be stored"}
	select {
	case s.refusalChecks <- struct{}{}:
		defer func() { <-s.refusalChecks }()
	default:
		return unknown
	}
	if s.isUnresolved(id) || s.storeSilent() {
		return unknown
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := s.store.Get(ctx, scheduler.JobKey(id))
	switch {
	case err == nil:
		return Response{Outcome: OK, Reason: "stored before"}
	case !errors.Is(err, kvstore.ErrNotFound) || s.isUnresolved(id):
		return unknown
	}
	return Response{Outcome: Unavailable, Reason: reason + "; the job has not run and will not run", RetryAfter: retryAfter}
}

// storeSilent reports whether the store is out of reach of this process.
func (s *Service) storeSilent() bool { return s.catalogs.Silence() > maxStoreSilence }

// storeJob writes the job on the condition that it is new and not cancelled, and that the configuration has not changed. It
// retries for maxRetryTime if no attempt had an effect, and while the outcome is unknown until ctx ends or the store is out of
// reach. The caller can then use the rest of its time to submit the job again through another entry.
func (s *Service) storeJob(ctx context.Context, r Request, a *admitted, value []byte) (response Response) {
	key, cancelKey := scheduler.JobKey(a.jobID), scheduler.CancelKey(a.jobID)
	mayBeStored := false
	s.mu.Lock()
	s.unresolved.add(a.jobID, boottime.Now())
	s.mu.Unlock()
	defer func() {
		if response.Outcome == OK || response.Outcome == Gone {
			s.mu.Lock()
			s.unresolved.remove(a.jobID)
			s.mu.Unlock()
		}
	}()
	started := time.Now()
	for {
		revision, err := s.tryWrite(ctx, kvstore.Txn{
			Expect: []kvstore.Condition{{Key: key}, {Key: cancelKey}, a.condition},
			Puts:   []kvstore.Write{{Key: key, Value: value}},
		})
		var conflict *kvstore.ConflictError
		switch {
		case err == nil:
			s.notifyLeader(kvstore.Entry{Key: key, Value: value, Revision: revision})
			return Response{Outcome: OK, Reason: "stored"}
		case errors.As(err, &conflict):
			if existing := conflict.Find(key); existing.Revision != 0 {
				return Response{Outcome: OK, Reason: "stored before"}
			}
			if conflict.Find(cancelKey).Revision != 0 {
				return Response{Outcome: Gone, Reason: "the job was cancelled before it was stored"}
			}
			// The configuration has changed, so earlier attempts can have no effect any more.
			mayBeStored = false
			if _, err := s.catalogs.Refresh(ctx); err == nil {
				updated, refusal := s.admit(r)
				if refusal != nil {
					return *refusal
				}
				a.condition, a.age = updated.condition, updated.age
				continue
			}
		case errors.Is(err, kvstore.ErrUnknownOutcome):
			mayBeStored = true
		}
		if !mayBeStored && (time.Since(started) > maxRetryTime || ctx.Err() != nil) {
			return Response{Outcome: Unavailable, Reason: "the store does not answer", RetryAfter: retryAfter}
		}
		if mayBeStored && s.leaderKnows(ctx, a.jobID) {
			return Response{Outcome: OK, Reason: "stored, the leader has it"}
		}
		if ctx.Err() != nil || mayBeStored && s.storeSilent() {
			return Response{Outcome: OutcomeUnknown, Reason: "the store has not said whether the job is stored"}
		}
		wait.For(ctx, retryDelay)
	}
}

// leaderKnows reports whether the leader has read a job from the store. The leader's machine may be able to reach the
// store when this one cannot.
func (s *Service) leaderKnows(ctx context.Context, id string) bool {
	_, known, err := s.leader.State(ctx, id, 0)
	if err != nil {
		klog.V(1).InfoS("Failed to ask the leader about a submission", "job", id, "err", err)
	}
	return known && err == nil
}

// tryWrite makes one attempt to write. It fails without a call if the store is out of reach.
func (s *Service) tryWrite(ctx context.Context, txn kvstore.Txn) (kvstore.Revision, error) {
	if s.storeSilent() {
		return 0, kvstore.ErrUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.store.Txn(ctx, txn)
}

// logResponse logs the response to a request and returns it.
func (s *Service) logResponse(message string, r Request, a *admitted, started time.Time, response Response) Response {
	id, queue, team, version, age := r.Path, "", "", s.catalogs.Catalog().Version, time.Duration(0)
	if a != nil {
		id, queue, team, version, age = a.jobID, a.queue.Name, a.team, a.catalog.Version, a.age
	}
	klog.InfoS(message, "job", id, "queue", queue, "team", team, "answer", response.Outcome, "reason", response.Reason,
		"state", response.State, "pending", response.Pending, "catalog", version, "catalogAgeMs", age.Milliseconds(),
		"tookMs", time.Since(started).Milliseconds())
	return response
}
