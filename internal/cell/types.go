// Package cell is the scheduler of one data centre: it keeps the queue and the view of the upstreams, asks
// the placement policy for a plan and carries it out with hold, commit and start. The Coordinator is a state
// machine without I/O; the Service connects it to the agents and the platform.
package cell

import (
	"encoding/json"
	"time"

	"masticcart.example/masticcart/internal/jobs"
	"masticcart.example/masticcart/internal/kvstore"
	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/protocol"
)

// Action is one effect that the coordinator asks for. Its answer comes back through the method named in the
// action's comment.
type Action interface{ isAction() }

// HoldAction asks an agent to hold units; answered by HoldAnswered.
type HoldAction struct {
	Agent string
	Args  protocol.HoldArgs
}

// StartAction starts a held attempt; answered by StartAnswered.
type StartAction struct {
	Agent string
	Args  protocol.StartArgs
}

// StopAction fences and stops an attempt; answered by StopAnswered.
type StopAction struct {
	Agent string
	Args  protocol.StopArgs
}

// WriteRecordAction writes a job record by compare-and-swap; answered by RecordWritten.
type WriteRecordAction struct {
	Record  jobs.Record
	Attempt protocol.TaskRef // without a claim for a job that waits
	Purpose WritePurpose
}

// LoadRecordAction reads a job record; answered by RecordLoaded or RecordMissing.
type LoadRecordAction struct{ Job model.JobKey }

// TouchIndexAction rewrites the index entry of a job, so that every entry that follows the index reads the record
// again; answered by TouchAnswered.
type TouchIndexAction struct{ Attempt protocol.TaskRef }

// RemoveIndexAction removes the open index entry of a finished job. It needs no answer.
type RemoveIndexAction struct{ Job model.JobKey }

func (HoldAction) isAction()        {}
func (StartAction) isAction()       {}
func (StopAction) isAction()        {}
func (WriteRecordAction) isAction() {}
func (LoadRecordAction) isAction()  {}
func (TouchIndexAction) isAction()  {}
func (RemoveIndexAction) isAction() {}

// WritePurpose says which transition a write makes.
type WritePurpose string

// The transitions that the owner of a cell writes.
const (
	WriteClaim   WritePurpose = "claim"
	WriteRevoke  WritePurpose = "revoke"
	WriteRequeue WritePurpose = "requeue"
	WriteFinish  WritePurpose = "finish"
)

// phase is where a job stands in the owner's memory.
type phase string

const (
	phaseWaiting    phase = "waiting"
	phaseHolding    phase = "holding"
	phaseCommitting phase = "committing"
	phaseStarting   phase = "starting"
	phaseRunning    phase = "running"
	phaseStopping   phase = "stopping"
	phaseWriting    phase = "writing"
	phaseLoading    phase = "loading"
)

// Bounds of the coordinator.
const (
	// holdTimeout leaves time for the commit before the holds expire.
	holdTimeout = 3 * time.Second
	// holdRefresh renews the holds while a slow platform takes its time with the commit.
	holdRefresh = 2 * time.Second
	// startTimeout bounds how long a gang may have started on some members only because a start is not answered.
	startTimeout = 5 * time.Second
	startResend  = 500 * time.Millisecond
	// stopResend repeats stops that were not answered.
	stopResend = 1 * time.Second
	// leaseCertainty is how long after the last acknowledged heartbeat a member's tasks have certainly ended. It
	// counts from the revocation of the attempt, since another entry may have acknowledged heartbeats until it
	// read that; watchDelay is the time that reading may take.
	leaseCertainty = protocol.AgentLease + protocol.TaskLease + watchDelay
	watchDelay     = 2 * time.Second
	// revokeDelay gives the members time to answer the stop before the record is written.
	revokeDelay = 2 * time.Second
	// retryDelay keeps a job that could not be held or committed out of the next plans.
	retryDelay = 250 * time.Millisecond
	// platformRetry spaces the calls for one job while the platform is down.
	platformRetry = 1 * time.Second
	// planInterval is the longest time between plans; changes bring the next one forward.
	planInterval = 1 * time.Second
	// orphanDelay is how long a task may be unknown to the owner before its record is read. The job may be on its
	// way through the platform's watch.
	orphanDelay = 5 * time.Second
	// settleTime is how long after the last new upstream nothing is refused for lack of a block: a refusal is
	// final, and after a restart of this entry agents find it one after the other. An agent dials again after at
	// most 2 s and gives up a dial after 1 s.
	settleTime = 3 * time.Second
	// rereadWaiting bounds the records of waiting jobs that a listing reads again although their index entry has
	// not changed: the touch of a process that finished one may have failed.
	rereadWaiting = 50
	// orphanIndexAge is how long an index entry may have no record before it is removed.
	orphanIndexAge = time.Minute
	// maxDistinctFailures ends a job that failed on as many workers, maxFailures one that failed as often on fewer.
	maxDistinctFailures = 3
	maxFailures         = 5
	// failureDelay is the pause after the first failure, and after the first claimed attempt that the upstream
	// rejected; it doubles with each further one.
	failureDelay = 500 * time.Millisecond
	// maxDoublings bounds the pause at 16 s.
	maxDoublings = 5
	// maxGangOutputBytes keeps the finished record under the platform's limit of 1 MB.
	maxGangOutputBytes = 512 << 10
)

// member is one agent's part in an attempt.
type member struct {
	model.Member
	answered  bool // the hold or the start was answered
	resolved  bool // nothing of the attempt runs here any more
	started   bool // the attempt ran here
	uncertain bool // the agent could not tell whether it ran
	phase     protocol.TaskPhase
	reason    string
	output    json.RawMessage
	askedAt   time.Time // of the last hold or stop
}

// ending says what becomes of a job once its attempt has stopped.
type ending struct {
	requeue    bool
	result     model.Result // unless requeue
	reason     string
	checkpoint bool // ask for a checkpoint before the stop
}

type attempt struct {
	number     int
	claim      string
	members    []*member
	guaranteed bool
	created    time.Time // when this owner made or adopted the attempt
	since      time.Time // start of the phase
	revoked    time.Time // when every entry that follows the index could read that the attempt is revoked
	ending     *ending   // set in phase stopping
	failedOn   string    // the upstream on which a task failed
}

func (a *attempt) member(agent string) *member {
	for _, m := range a.members {
		if m.Agent == agent {
			return m
		}
	}
	return nil
}

func (a *attempt) all(f func(*member) bool) bool {
	for _, m := range a.members {
		if !f(m) {
			return false
		}
	}
	return true
}

// names reports whether the record's claim is this attempt.
func (a *attempt) names(r model.Job) bool { return r.Attempt == a.number && r.Claim == a.claim }

// claimedBy reports whether the record says that this attempt may run.
func (a *attempt) claimedBy(r model.Job) bool { return r.State == model.JobClaimed && a.names(r) }

func (a *attempt) modelMembers() []model.Member {
	out := make([]model.Member, len(a.members))
	for i, m := range a.members {
		out[i] = m.Member
	}
	return out
}

type job struct {
	key         model.JobKey
	record      jobs.Record
	loaded      bool             // the record has been read
	index       kvstore.Revision // of the index entry when the record was last asked for
	readAt      time.Time
	unstarted   int // claimed attempts in a row of which nothing started
	phase       phase
	attempt     *attempt
	nextAttempt int
	notBefore   time.Time
	// missingSince is when the record of an open job was first found missing.
	missingSince time.Time
	reason       string
	wouldChange  string
	// pending is a write that waits for the platform.
	pending *WriteRecordAction
}

type upstream struct {
	identity  protocol.Identity
	free      int
	lastSeen  time.Time
	lastOwned time.Time // last heartbeat that was acknowledged as owner
	leaving   bool
	config    int64
	tasks     map[model.JobKey]*taskView
	health    health
}

type taskView struct {
	status protocol.TaskStatus
	seen   time.Time // when it was reported, or its record last asked for
	orphan bool      // its record was read and does not call for it
}

func (u *upstream) silent(now time.Time) bool { return now.Sub(u.lastSeen) > protocol.MemberTimeout }
