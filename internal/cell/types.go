// Package cell schedules the jobs of one data centre, the cell. It keeps the job queue and the state of the upstreams,
// asks the placement policy for a plan, and carries the plan out in three steps: hold, commit and start. The
// Coordinator is a state machine without I/O; the Service runs it and makes its calls to the agents and the platform.
//
// Several processes, called entries, serve a cell. All of them keep the state of the upstreams; one of them, the owner,
// schedules the jobs. The open index lists the jobs that have not finished, with one index entry for each.
package cell

import (
	"encoding/json"
	"time"

	"masticcart.example/masticcart/internal/jobs"
	"masticcart.example/masticcart/internal/kvstore"
	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/protocol"
)

// Action is a call that the coordinator requests. Whoever performs it reports the answer through the Coordinator method
// that the comment of the action's type names.
type Action interface{ isAction() }

// HoldAction asks an agent to hold units for an attempt; answered by HoldAnswered.
type HoldAction struct {
	Agent string
	Args  protocol.HoldArgs
}

// StartAction starts a held attempt at an agent; answered by StartAnswered.
type StartAction struct {
	Agent string
	Args  protocol.StartArgs
}

// StopAction fences an attempt at an agent and stops it; answered by StopAnswered.
type StopAction struct {
	Agent string
	Args  protocol.StopArgs
}

// WriteRecordAction writes a job record by compare-and-swap; answered by RecordWritten.
type WriteRecordAction struct {
	Record  jobs.Record
	Attempt protocol.TaskRef // its Claim is empty if the job has no attempt
	Purpose WritePurpose
}

// LoadRecordAction reads a job record; answered by RecordLoaded or RecordMissing.
type LoadRecordAction struct{ Job model.JobKey }

// TouchIndexAction rewrites a job's index entry, so that every entry that watches the index reads the job's record
// again; answered by TouchAnswered.
type TouchIndexAction struct{ Attempt protocol.TaskRef }

// RemoveIndexAction removes a job's index entry, because the job has finished or has no record. It needs no answer.
type RemoveIndexAction struct{ Job model.JobKey }

func (HoldAction) isAction()        {}
func (StartAction) isAction()       {}
func (StopAction) isAction()        {}
func (WriteRecordAction) isAction() {}
func (LoadRecordAction) isAction()  {}
func (TouchIndexAction) isAction()  {}
func (RemoveIndexAction) isAction() {}

// WritePurpose names the state transition that a record write makes.
type WritePurpose string

// The state transitions that the owner of a cell writes.
const (
	WriteClaim   WritePurpose = "claim"
	WriteRevoke  WritePurpose = "revoke"
	WriteRequeue WritePurpose = "requeue"
	WriteFinish  WritePurpose = "finish"
)

// phase is the scheduling state of a job in the owner's memory.
type phase string

const (
	phaseWaiting    phase = "waiting"    // in the queue
	phaseHolding    phase = "holding"    // the members are asked to hold their units
	phaseCommitting phase = "committing" // the claim is being written
	phaseStarting   phase = "starting"   // the members are being started
	phaseRunning    phase = "running"    // all members have started
	phaseStopping   phase = "stopping"   // the members are being stopped
	phaseWriting    phase = "writing"    // the record is being written, or read again after a failure
	phaseLoading    phase = "loading"    // the record is being read for the first time
)

// Timeouts, intervals and limits of the coordinator.
const (
	// holdTimeout is how long the members have to answer a hold. It leaves time for the commit before the holds
	// expire.
	holdTimeout = 3 * time.Second
	// holdRefreshInterval is how often the holds are renewed while the platform has not answered the commit.
	holdRefreshInterval = 2 * time.Second
	// startTimeout limits how long a gang may run on only some of its members because a start is not answered.
	startTimeout       = 5 * time.Second
	startRetryInterval = 500 * time.Millisecond
	// stopRetryInterval is the interval between stops sent to a member that does not answer.
	stopRetryInterval = 1 * time.Second
	// leaseExpiryBound is how long after the last acknowledged heartbeat the leases of a member's tasks have
	// certainly expired. It also counts from the revocation of the attempt, since another entry may have
	// acknowledged heartbeats until it read the revocation; watchDelayBound is the time that reading may take.
	leaseExpiryBound = protocol.AgentLease + protocol.TaskLease + watchDelayBound
	watchDelayBound  = 2 * time.Second
	// revokeDelay is how long the members have to answer a stop before the revocation is written to the record.
	revokeDelay = 2 * time.Second
	// requeueDelay keeps a job whose hold or commit failed out of the next plans.
	requeueDelay = 250 * time.Millisecond
	// platformRetryInterval is the interval between the calls for one job while the platform is unavailable.
	platformRetryInterval = 1 * time.Second
	// maxPlanInterval is the longest time between two plans; a change of state triggers a plan at the next
	// tick.
	maxPlanInterval = 1 * time.Second
	// orphanCheckDelay is how long a task may be unknown to the owner before its record is read, since the job may
	// not have arrived through the platform's watch yet. It is also the interval between further checks of the task.
	orphanCheckDelay = 5 * time.Second
	// upstreamDiscoveryTime is how long after the last new upstream no job is refused for lack of a large enough
	// block of accelerators. A refusal is final, and after a restart of this entry the agents reconnect one after
	// another: an agent redials after at most 2 s and gives up a dial after 1 s.
	upstreamDiscoveryTime = 3 * time.Second
	// maxWaitingRereads limits how many records of waiting jobs each listing reads again although their index
	// entries have not changed: the process that finished such a job may have failed to touch its entry.
	maxWaitingRereads = 50
	// orphanIndexEntryAge is how long an index entry may have no record before it is removed.
	orphanIndexEntryAge = time.Minute
	// maxDistinctFailures is the number of different upstreams, and maxFailures the number of failures on any
	// upstreams, after which a failing job is not retried.
	maxDistinctFailures = 3
	maxFailures         = 5
	// initialFailureBackoff is the back-off after the first failure, and after the first claimed attempt of which
	// nothing started because an upstream rejected it; it doubles with each further one.
	initialFailureBackoff = 500 * time.Millisecond
	// maxBackoffDoublings limits the back-off to 16 s.
	maxBackoffDoublings = 5
	// maxGangOutputBytes keeps the record of a finished job below the platform's limit of 1 MB.
	maxGangOutputBytes = 512 << 10
)

// member is one agent's share of an attempt.
type member struct {
	model.Member
	answered    bool // the agent accepted the hold or, once claimed, the start
	ended       bool // nothing of the attempt runs at this agent any more
	started     bool // the attempt ran at this agent
	uncertain   bool // it is unknown whether the attempt ran at this agent
	phase       protocol.TaskPhase
	reason      string
	output      json.RawMessage
	requestedAt time.Time // when the last hold, start or stop was sent
}

// disposition says what happens to a job once its attempt has ended.
type disposition struct {
	requeue    bool
	result     model.Result // if not requeued
	reason     string
	checkpoint bool // request a checkpoint before the stop
}

// attempt is one try to run a job on a set of members.
type attempt struct {
	number      int
	claim       string
	members     []*member
	guaranteed  bool
	createdAt   time.Time    // when this owner created the attempt or took it over
	phaseSince  time.Time    // when the job entered its phase
	revokedAt   time.Time    // when the revocation became readable for every entry that watches the index
	disposition *disposition // set once the attempt is to stop
	failedOn    string       // the upstream on which a task failed
}

func (a *attempt) member(agent string) *member {
	for _, m := range a.members {
		if m.Agent == agent {
			return m
		}
	}
	return nil
}

func (a *attempt) allMembers(pred func(*member) bool) bool {
	for _, m := range a.members {
		if !pred(m) {
			return false
		}
	}
	return true
}

// isNamedBy reports whether the record names this attempt as the latest claimed one.
func (a *attempt) isNamedBy(r model.Job) bool { return r.Attempt == a.number && r.Claim == a.claim }

// isClaimedBy reports whether the record is claimed by this attempt, so that the attempt may run.
func (a *attempt) isClaimedBy(r model.Job) bool { return r.State == model.JobClaimed && a.isNamedBy(r) }

func (a *attempt) modelMembers() []model.Member {
	out := make([]model.Member, len(a.members))
	for i, m := range a.members {
		out[i] = m.Member
	}
	return out
}

// job is the owner's state of an open job.
type job struct {
	key               model.JobKey
	record            jobs.Record
	loaded            bool             // the record has been read
	indexRevision     kvstore.Revision // of the index entry when the record was last requested
	readAt            time.Time
	unstartedAttempts int // consecutive claimed attempts of which nothing started
	phase             phase
	attempt           *attempt
	nextAttempt       int
	notBefore         time.Time
	// missingSince is when the record was first found missing.
	missingSince time.Time
	reason       string
	wouldChange  string
	// pendingWrite is a record write that the platform has not answered yet.
	pendingWrite *WriteRecordAction
}

// upstream is the last known state of an agent.
type upstream struct {
	identity       protocol.Identity
	free           int
	lastSeen       time.Time
	lastAckAsOwner time.Time // last heartbeat that was acknowledged as owner
	leaving        bool
	configVersion  int64
	tasks          map[model.JobKey]*taskView
	health         health
}

// taskView is the last reported state of a task.
type taskView struct {
	status    protocol.TaskStatus
	checkedAt time.Time // when it was first reported, or its record or its stop last requested
	orphan    bool      // its record was read and does not call for the task
}

// isSilent reports whether the agent has sent no heartbeat for longer than protocol.MemberTimeout.
func (u *upstream) isSilent(now time.Time) bool { return now.Sub(u.lastSeen) > protocol.MemberTimeout }
