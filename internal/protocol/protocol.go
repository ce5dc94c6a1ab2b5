// Package protocol defines the messages between masticcart's own processes. They travel as JSON-RPC 2.0.
package protocol

import (
	"encoding/json"
	"time"

	"masticcart.example/masticcart/internal/model"
)

// Method names.
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

// Intervals and bounds of the protocol. docs/design.md gives the reasons.
const (
	HoldTTL           = 5 * time.Second
	HeartbeatInterval = 2 * time.Second
	AgentLease        = 8 * time.Second
	MemberTimeout     = 6 * time.Second
	TaskLease         = 4 * time.Second
	GangStopBound     = 15 * time.Second
	GossipInterval    = 1 * time.Second
	PeerTimeout       = 3 * time.Second
	RoutableTimeout   = 5 * time.Second
	CheckpointTimeout = 3 * time.Second
	LeaveGrace        = 1 * time.Second
	DrainDelay        = 1 * time.Second
	ConfigBound       = 10 * time.Second
	// MaxPayloadBytes bounds the payload and the output of one short request.
	MaxPayloadBytes = 1 << 20
	// SessionsPerAgent is the number of entries that an agent reports to: the owner and two successors.
	SessionsPerAgent = 3
)

// UpstreamKind says what an agent stands beside.
type UpstreamKind string

// The kinds of upstream.
const (
	KindExecutor UpstreamKind = "executor"
	KindWorker   UpstreamKind = "worker"
)

// Identity describes an agent and its upstream. Incarnation changes with each start of the agent.
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

// TaskPhase is the state of one job's share at an agent.
type TaskPhase string

// The phases of a task.
const (
	TaskHeld     TaskPhase = "held"
	TaskRunning  TaskPhase = "running"
	TaskStopping TaskPhase = "stopping"
	TaskDone     TaskPhase = "done"
	TaskFailed   TaskPhase = "failed"
	TaskStopped  TaskPhase = "stopped"
	// TaskLost is a task whose end the agent could not observe; it may have run to its end.
	TaskLost TaskPhase = "lost"
	// TaskRemoved reports a task that the agent no longer knows: a hold that ended, or a recorded result.
	TaskRemoved TaskPhase = "removed"
)

// Terminal reports whether the task has ended.
func (p TaskPhase) Terminal() bool {
	return p == TaskDone || p == TaskFailed || p == TaskStopped || p == TaskLost
}

// TaskStatus is what an agent knows about its share of an attempt. Members lists the whole gang, so that a
// new owner can supervise it without the platform.
type TaskStatus struct {
	Job     model.JobKey    `json:"job"`
	Attempt int             `json:"attempt"`
	Claim   string          `json:"claim"`
	Units   int             `json:"units"`
	Phase   TaskPhase       `json:"phase"`
	Started bool            `json:"started"` // whether this attempt ever started here
	Reason  string          `json:"reason,omitempty"`
	Output  json.RawMessage `json:"output,omitempty"`
	Spec    *model.JobSpec  `json:"spec,omitempty"`    // without payload; sent with announcements only
	Members []model.Member  `json:"members,omitempty"` // sent with announcements only
}

// Ref names the attempt of the status.
func (s TaskStatus) Ref() TaskRef { return TaskRef{Job: s.Job, Attempt: s.Attempt, Claim: s.Claim} }

// AnnounceArgs opens a session. It carries the agent's full state.
type AnnounceArgs struct {
	Identity      Identity     `json:"identity"`
	Sequence      uint64       `json:"sequence"`
	Free          int          `json:"free"`
	Tasks         []TaskStatus `json:"tasks,omitempty"`
	ConfigVersion int64        `json:"config_version"`
	Leaving       bool         `json:"leaving,omitempty"`
}

// HeartbeatArgs reports liveness and the tasks that changed since the last acknowledged heartbeat. Results
// are repeated until the owner lists them in Forget.
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

// TaskRef names one attempt of a job as one owner claims it.
type TaskRef struct {
	Job     model.JobKey `json:"job"`
	Attempt int          `json:"attempt"`
	Claim   string       `json:"claim"`
}

// HeartbeatReply acknowledges an announcement or a heartbeat. Only an owner's reply extends AgentLease.
type HeartbeatReply struct {
	Entry string `json:"entry"`
	Owner bool   `json:"owner"`
	// Entries are the addresses to report to, in rendezvous order.
	Entries []string `json:"entries,omitempty"`
	// Reannounce asks for the full state, since the entry does not know this agent.
	Reannounce bool `json:"reannounce,omitempty"`
	// Forget lists ended tasks whose results are recorded.
	Forget []TaskRef `json:"forget,omitempty"`
	// Config is set when the agent's version is behind.
	Config *model.Config `json:"config,omitempty"`
}

// DispatchArgs sends a short request to an executor's agent.
type DispatchArgs struct {
	Request model.Request `json:"request"`
	// DispatchID identifies this attempt; the answer is matched to it.
	DispatchID string `json:"dispatch"`
}

// DispatchReply answers a dispatch. Refused is proof that the request did not start.
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
	// Checkpoint is what an earlier attempt saved when it was preempted.
	Checkpoint json.RawMessage `json:"checkpoint,omitempty"`
}

// HoldReply grants or refuses a hold.
type HoldReply struct {
	OK     bool   `json:"ok"`
	Reason string `json:"reason,omitempty"`
	Free   int    `json:"free"`
	// FencedAttempt is the highest fenced attempt of the job at this agent. The next attempt must be above it.
	FencedAttempt int `json:"fenced,omitempty"`
}

// StartArgs starts a held attempt. It is sent only after the decision is recorded.
type StartArgs struct {
	Incarnation string  `json:"incarnation"`
	Task        TaskRef `json:"task"`
}

// StartReply tells whether the attempt runs. A refusal is proof that it did not start here.
type StartReply struct {
	OK     bool   `json:"ok"`
	Reason string `json:"reason,omitempty"`
}

// StopArgs fences an attempt and all before it, and stops it if it runs.
type StopArgs struct {
	Incarnation string  `json:"incarnation"`
	Task        TaskRef `json:"task"`
	Checkpoint  bool    `json:"checkpoint,omitempty"`
	Reason      string  `json:"reason,omitempty"`
}

// StopReply is sent once nothing of the attempt runs any more.
type StopReply struct {
	// OK is false when the incarnation is not the agent's own.
	OK      bool            `json:"ok"`
	Started bool            `json:"started"` // whether the attempt ever started here
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
	Sessions      int           `json:"agents"` // sessions of agents
	Blocks        LargestBlocks `json:"blocks,omitzero"`
	ConfigVersion int64         `json:"config_version"`
	Leaving       bool          `json:"leaving,omitempty"`
	// Peers are addresses of entries known to the sender.
	Peers []string `json:"peers,omitempty"`
}

// GossipReply is the state of the entry that received the message.
type GossipReply = EntryState

// ForwardArgs sends a short request to an entry of another data centre. It is never forwarded again.
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
}

// JobView is one open job as its owner sees it.
type JobView struct {
	Job         model.Job `json:"job"`
	Phase       string    `json:"phase"`            // waiting, holding, running, stopping
	Reason      string    `json:"reason,omitempty"` // rule and figures behind the phase
	WouldChange string    `json:"would_change,omitempty"`
}

// CellView is an entry's view of its cell. Only the owner of the cell fills in jobs and upstreams.
type CellView struct {
	Entry         string         `json:"entry"`
	Region        string         `json:"region"`
	Cell          string         `json:"cell"`
	Owner         bool           `json:"owner"`
	ConfigVersion int64          `json:"config_version"`
	Jobs          []JobView      `json:"jobs,omitempty"`
	Upstreams     []UpstreamView `json:"workers,omitempty"`
	// More is set when another page follows.
	More bool `json:"more,omitempty"`
}

// WaitArgs waits at the owner until a job finishes or Timeout passes.
type WaitArgs struct {
	Job     model.JobKey  `json:"job"`
	Timeout time.Duration `json:"timeout"`
}

// WaitReply carries the last known record; Known is false when the receiver does not own the job.
type WaitReply struct {
	Known bool      `json:"known"`
	Job   model.Job `json:"job"`
}
