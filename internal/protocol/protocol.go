// Package protocol defines the messages that masticcart's entries and agents exchange as JSON-RPC 2.0 calls.
package protocol

import (
	"encoding/json"
	"time"

	"masticcart.example/masticcart/internal/model"
)

// JSON-RPC method names. Agents call MethodAnnounce and MethodHeartbeat on entries. Entries call the other agent
// methods on agents, and the entry methods on each other; MethodConfig is also served by agents.
const (
	MethodAnnounce  = "agent.announce"
	MethodHeartbeat = "agent.heartbeat"
	MethodDispatch  = "agent.dispatch"
	MethodHold      = "agent.hold"
	MethodStart     = "agent.start"
	MethodStop      = "agent.stop"
	MethodGossip    = "entry.gossip"
	MethodForward   = "entry.forward"
	MethodConfig    = "entry.config"
	MethodCellView  = "entry.cell"
	MethodWait      = "entry.wait"
)

// Intervals and time limits of the protocol. docs/design.md gives the reasons.
const (
	// HoldTTL is how long an agent keeps a hold that is neither started nor requested again.
	HoldTTL = 5 * time.Second
	// HeartbeatInterval is the pause between an agent's heartbeats on one session.
	HeartbeatInterval = 2 * time.Second
	// AgentLease is how long an agent may accept and start tasks, and run tasks on accelerators, after it sent a
	// heartbeat that the owner acknowledged.
	AgentLease = 8 * time.Second
	// MemberTimeout is how long an agent may be silent before the owner of its cell treats it as lost.
	MemberTimeout = 6 * time.Second
	// TaskLease is how long a worker runs a task whose lease its agent does not renew.
	TaskLease = 4 * time.Second
	// GangStopBound is the longest time from the loss of one member until the rest of the gang has stopped.
	GangStopBound = 15 * time.Second
	// GossipInterval is the period at which an entry sends its state to the other entries.
	GossipInterval = 1 * time.Second
	// PeerTimeout is how long an entry may be silent before the others treat it as down.
	PeerTimeout = 3 * time.Second
	// RoutableTimeout is how long an executor may be silent before the router sends it no more requests.
	RoutableTimeout = 5 * time.Second
	// CheckpointTimeout bounds the call that saves a checkpoint before a task is stopped.
	CheckpointTimeout = 3 * time.Second
	// LeaveGrace is how long a leaving agent still accepts work, so that its entries learn first that it leaves.
	LeaveGrace = 1 * time.Second
	// DrainDelay is how long a leaving entry still accepts calls after its readiness check fails, so that the
	// balancer stops sending callers first.
	DrainDelay = 1 * time.Second
	// ConfigBound is the longest time from the acceptance of a change until every running process has it in force.
	ConfigBound = 10 * time.Second
	// MaxPayloadBytes bounds the payload and the output of one short request.
	MaxPayloadBytes = 1 << 20
	// SessionsPerAgent is the number of entries that an agent reports to: the owner of its cell and two successors.
	SessionsPerAgent = 3
)

// UpstreamKind is the kind of process that an agent controls.
type UpstreamKind string

// Kinds of upstream.
const (
	KindExecutor UpstreamKind = "executor"
	KindWorker   UpstreamKind = "worker"
)

// Identity describes an agent and its upstream. Each start of the agent has a new Incarnation.
type Identity struct {
	Agent       string       `json:"agent"`
	Incarnation string       `json:"incarnation"`
	Kind        UpstreamKind `json:"kind"`
	Service     string       `json:"service,omitempty"` // executors only
	Region      string       `json:"region"`
	Cell        string       `json:"cell"`           // data centre
	Rack        string       `json:"rack,omitempty"` // workers only
	Units       int          `json:"units"`          // accelerators of a worker, slots of an executor
}

// TaskPhase is the state of a task, which is the part of a job's attempt that one agent runs.
type TaskPhase string

// Phases of a task.
const (
	TaskHeld     TaskPhase = "held"
	TaskRunning  TaskPhase = "running"
	TaskStopping TaskPhase = "stopping"
	TaskDone     TaskPhase = "done"
	TaskFailed   TaskPhase = "failed"
	TaskStopped  TaskPhase = "stopped"
	// TaskLost means that the agent does not know how the task ended; it may have run to completion.
	TaskLost TaskPhase = "lost"
	// TaskRemoved means that the agent no longer keeps the task: its hold ended, or its result has been recorded.
	TaskRemoved TaskPhase = "removed"
)

// Terminal reports whether the task has ended.
func (p TaskPhase) Terminal() bool {
	return p == TaskDone || p == TaskFailed || p == TaskStopped || p == TaskLost
}

// TaskStatus is an agent's report on one task. Members lists the whole gang, so that a new owner of the cell can
// supervise it when the platform's key-value service is unavailable.
type TaskStatus struct {
	Job     model.JobKey    `json:"job"`
	Attempt int             `json:"attempt"`
	Claim   string          `json:"claim"`
	Units   int             `json:"units"`
	Phase   TaskPhase       `json:"phase"`
	Started bool            `json:"started"` // whether this attempt ever started at this agent
	Reason  string          `json:"reason,omitempty"`
	Output  json.RawMessage `json:"output,omitempty"`
	Spec    *model.JobSpec  `json:"spec,omitempty"`    // without its payload; only in announcements
	Members []model.Member  `json:"members,omitempty"` // only in announcements
}

// Ref returns the reference of the attempt that s reports on.
func (s TaskStatus) Ref() TaskRef { return TaskRef{Job: s.Job, Attempt: s.Attempt, Claim: s.Claim} }

// AnnounceArgs opens an agent's session at an entry. It carries the agent's full state. Sequence is the number of the
// agent's latest state change.
type AnnounceArgs struct {
	Identity      Identity     `json:"identity"`
	Sequence      uint64       `json:"sequence"`
	Free          int          `json:"free"`
	Tasks         []TaskStatus `json:"tasks,omitempty"`
	ConfigVersion int64        `json:"config_version"`
	Leaving       bool         `json:"leaving,omitempty"`
}

// HeartbeatArgs reports that the agent is alive, and the tasks that changed since the last acknowledged heartbeat. A
// result is repeated until the owner lists it in Forget.
type HeartbeatArgs struct {
	Agent         string        `json:"agent"`
	Incarnation   string        `json:"incarnation"`
	Sequence      uint64        `json:"sequence"`
	Free          int           `json:"free"`
	Tasks         []TaskStatus  `json:"tasks,omitempty"`
	QueueDelay    time.Duration `json:"queue_delay,omitempty"`
	ConfigVersion int64         `json:"config_version"`
	Leaving       bool          `json:"leaving,omitempty"`
}

// TaskRef identifies one attempt of a job under one owner's claim.
type TaskRef struct {
	Job     model.JobKey `json:"job"`
	Attempt int          `json:"attempt"`
	Claim   string       `json:"claim"`
}

// HeartbeatReply acknowledges an announcement or a heartbeat. Only a reply from the owner of the cell extends the
// agent's lease.
type HeartbeatReply struct {
	Entry string `json:"entry"` // name of the replying entry
	Owner bool   `json:"owner"` // whether it owns the agent's cell
	// Entries are the addresses that the agent reports to, in rendezvous order.
	Entries []string `json:"entries,omitempty"`
	// Reannounce asks for an announcement, since the entry has no session with this incarnation of the agent.
	Reannounce bool `json:"reannounce,omitempty"`
	// Forget lists ended tasks whose results have been recorded, so that the agent need not keep them.
	Forget []TaskRef `json:"forget,omitempty"`
	// Config is set when the agent has an older version in force.
	Config *model.Config `json:"config,omitempty"`
}

// DispatchArgs sends a short request to an executor's agent.
type DispatchArgs struct {
	Request model.Request `json:"request"`
	// DispatchID identifies this attempt at the request. A reply with another id is not accepted.
	DispatchID string `json:"dispatch"`
}

// DispatchReply answers DispatchArgs. Refused proves that the request did not start.
type DispatchReply struct {
	DispatchID string        `json:"dispatch"`
	Refused    bool          `json:"refused,omitempty"`
	Outcome    model.Outcome `json:"outcome"`
	Free       int           `json:"free"`
	Leaving    bool          `json:"leaving,omitempty"`
}

// HoldArgs reserves units for one attempt of a job.
type HoldArgs struct {
	Incarnation string         `json:"incarnation"`
	Attempt     int            `json:"attempt"`
	Claim       string         `json:"claim"`
	Units       int            `json:"units"`
	Spec        model.JobSpec  `json:"spec"`
	Members     []model.Member `json:"members"`
	// Checkpoint is the state that an earlier attempt saved before it was stopped.
	Checkpoint json.RawMessage `json:"checkpoint,omitempty"`
}

// HoldReply grants or refuses a hold.
type HoldReply struct {
	OK     bool   `json:"ok"`
	Reason string `json:"reason,omitempty"`
	Free   int    `json:"free"`
	// FencedAttempt is the highest attempt of the job that the agent has fenced. The next attempt needs a higher number.
	FencedAttempt int `json:"fenced,omitempty"`
}

// StartArgs starts a held attempt. The owner sends it only after the placement is in the job's record.
type StartArgs struct {
	Incarnation string  `json:"incarnation"`
	Task        TaskRef `json:"task"`
}

// StartReply tells whether the attempt runs. A refusal proves that it did not start at this agent.
type StartReply struct {
	OK     bool   `json:"ok"`
	Reason string `json:"reason,omitempty"`
}

// StopArgs fences an attempt and all earlier ones, so that none can start any more, and stops the one that runs.
type StopArgs struct {
	Incarnation string  `json:"incarnation"`
	Task        TaskRef `json:"task"`
	Checkpoint  bool    `json:"checkpoint,omitempty"`
	Reason      string  `json:"reason,omitempty"`
}

// StopReply is sent once no part of the attempt runs at the agent.
type StopReply struct {
	// OK is false if the command names another incarnation of the agent.
	OK      bool            `json:"ok"`
	Started bool            `json:"started"` // whether the attempt ever started at this agent
	Phase   TaskPhase       `json:"phase,omitempty"`
	Output  json.RawMessage `json:"output,omitempty"`
}

// ServiceLoad summarizes the executors of one service in a data centre.
type ServiceLoad struct {
	Service    string        `json:"service"`
	Free       int           `json:"free"`
	QueueDelay time.Duration `json:"queue_delay"`
}

// LargestBlocks gives the number of accelerators, free or not, in the largest worker, the largest rack and the whole
// data centre. A job that the cell can never hold is queued in another cell.
type LargestBlocks struct {
	Worker     int `json:"worker"`
	Rack       int `json:"rack"`
	Datacenter int `json:"datacenter"`
}

// CanFit reports whether a shape on accelerators fits into the cell when nothing else runs there.
func (b LargestBlocks) CanFit(s model.Shape) bool {
	switch s.Adjacency {
	case model.AdjacentWorker:
		return s.Accelerators <= b.Worker
	case model.AdjacentRack:
		return s.Accelerators <= b.Rack
	case model.AdjacentDatacenter:
		return s.Accelerators <= b.Datacenter
	}
	return false
}

// EntryState is what an entry reports to the other entries in each gossip message.
type EntryState struct {
	Entry         string        `json:"entry"`
	Address       string        `json:"address"`
	Region        string        `json:"region"`
	Cell          string        `json:"cell"`
	Loads         []ServiceLoad `json:"loads,omitempty"`
	Sessions      int           `json:"agents"` // agents with a session at this entry
	Blocks        LargestBlocks `json:"blocks,omitzero"`
	ConfigVersion int64         `json:"config_version"`
	Leaving       bool          `json:"leaving,omitempty"`
	// Peers are the addresses of other entries that the sender knows.
	Peers []string `json:"peers,omitempty"`
}

// GossipReply is the state of the entry that received the message.
type GossipReply = EntryState

// ForwardArgs sends a short request to another entry, in the same data centre only if the sender has no usable upstream
// for it. The receiver does not forward it further.
type ForwardArgs struct {
	Request model.Request `json:"request"`
	From    string        `json:"from"`
}

// ForwardReply answers a forwarded request.
type ForwardReply struct {
	Outcome model.Outcome `json:"outcome"`
}

// ConfigArgs asks a peer for its configuration if it is newer than KnownVersion.
type ConfigArgs struct {
	KnownVersion int64 `json:"have"`
}

// ConfigReply carries the configuration, or nil when it is not newer.
type ConfigReply struct {
	Config *model.Config `json:"config,omitempty"`
}

// CellViewArgs asks for one page of an entry's view of its cell, from which queries are answered. Jobs come first,
// then upstreams, each sorted by key. The page begins after the given keys; zero values ask for the first page.
type CellViewArgs struct {
	AfterJob      model.JobKey `json:"after_job,omitzero"`
	AfterUpstream string       `json:"after_worker,omitempty"`
}

// MaxCellPageRows bounds the jobs and upstreams on one page, which keeps the message far below rpc.MaxMessageBytes.
const MaxCellPageRows = 1000

// UpstreamView is one worker or executor as the owner of its cell sees it.
type UpstreamView struct {
	Identity      Identity     `json:"identity"`
	Free          int          `json:"free"`
	Alive         bool         `json:"alive"`
	Leaving       bool         `json:"leaving,omitempty"`
	Quarantined   bool         `json:"quarantined,omitempty"`
	ConfigVersion int64        `json:"config_version"`
	Tasks         []TaskStatus `json:"tasks,omitempty"`
	// Speed is how long the worker takes in percent of a typical worker of its service. Zero means unknown.
	Speed int `json:"speed,omitempty"`
}

// JobView is one job as the owner of its cell sees it.
type JobView struct {
	Job         model.Job `json:"job"`
	Phase       string    `json:"phase"`                  // waiting, holding, running, stopping; empty once finished
	Reason      string    `json:"reason,omitempty"`       // why the job is in this phase, with the rule and its figures
	WouldChange string    `json:"would_change,omitempty"` // the event that would let the job proceed
}

// CellView is an entry's view of its cell, or one page of it. Only the owner of the cell fills in jobs, which are the
// open and the recently finished ones, and upstreams.
type CellView struct {
	Entry         string         `json:"entry"`
	Region        string         `json:"region"`
	Cell          string         `json:"cell"`
	Owner         bool           `json:"owner"`
	ConfigVersion int64          `json:"config_version"`
	Jobs          []JobView      `json:"jobs,omitempty"`
	Upstreams     []UpstreamView `json:"workers,omitempty"`
	// LostCoreSeconds is the work that was thrown away since the entry began to schedule, by cause.
	LostCoreSeconds map[string]float64 `json:"lost_core_seconds,omitempty"`
	// YieldedCoreSeconds is the part of it that each team has lost by preemption for other teams.
	YieldedCoreSeconds map[string]float64 `json:"yielded_core_seconds,omitempty"`
	// More is set when another page follows.
	More bool `json:"more,omitempty"`
}

// WaitArgs asks the owner of the job's cell to reply when the job finishes, or after Timeout.
type WaitArgs struct {
	Job     model.JobKey  `json:"job"`
	Timeout time.Duration `json:"timeout"`
}

// WaitReply carries the latest record of the job. Known is false if the receiver does not own the job.
type WaitReply struct {
	Known bool      `json:"known"`
	Job   model.Job `json:"job"`
}
