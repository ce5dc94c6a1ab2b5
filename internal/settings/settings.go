// Package settings loads the settings file of a masticcart process. The file is JSON with comments. It is decoded into
// typed structs and validated as a whole, so that one error lists every problem with its position.
package settings

import (
	"fmt"
	"os"
	"time"
)

// Role selects whether the process runs as an entry or as an agent.
type Role string

// Roles of a process.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Default values of optional fields.
const (
	DefaultMaxBodyBytes      = 1 << 20
	DefaultReadHeaderTimeout = 5 * time.Second
	DefaultMaxQueuedRequests = 1000
	DefaultPlatformTimeout   = 2 * time.Second
)

// Settings is the decoded content of one settings file.
type Settings struct {
	Role Role `json:"role" validate:"required,oneof=entry agent"`
	// Name is the id of the entry or agent. It is unique among all processes of a deployment.
	Name   string `json:"name" validate:"required,name"`
	Region string `json:"region" validate:"required,name"`
	// Cell is the data centre that the process runs in.
	Cell    string  `json:"cell" validate:"required,name"`
	Log     Log     `json:"log"`
	Metrics Metrics `json:"metrics"`
	Entry   *Entry  `json:"entry,omitempty" validate:"omitempty"`
	Agent   *Agent  `json:"agent,omitempty" validate:"omitempty"`
	TLS     *TLS    `json:"tls,omitempty" validate:"omitempty"`

	file      string
	positions map[string]position
}

// Log configures the logging of the process.
type Log struct {
	// Verbosity is the klog level: 0 logs decisions and errors, higher levels add detail.
	Verbosity int `json:"verbosity" validate:"min=0,max=10"`
}

// Metrics configures the metrics endpoint.
type Metrics struct {
	// Listen is the ip:port of the endpoint. If it is empty, metrics are not served.
	Listen string `json:"listen" validate:"omitempty,ipport"`
}

// Entry holds the settings of the entry role.
type Entry struct {
	APIListen string `json:"api_listen" validate:"required,ipport"`
	RPCListen string `json:"rpc_listen" validate:"required,ipport"`
	// RPCAdvertise is the ip:port at which other processes dial this entry. It defaults to RPCListen.
	RPCAdvertise string `json:"rpc_advertise" validate:"required,dialaddr"`
	// Peers are the RPC addresses of the entries that this entry contacts first after a start.
	Peers        []string `json:"peers" validate:"unique,dive,dialaddr"`
	Platform     Platform `json:"platform"`
	MaxBodyBytes int64    `json:"max_body_bytes" validate:"min=1024,max=67108864"`
	// BootstrapOperatorTokenHash is the hex SHA-256 of an operator token that is accepted until the configuration
	// contains operator tokens.
	BootstrapOperatorTokenHash string        `json:"bootstrap_operator_token_hash" validate:"omitempty,sha256hex"`
	ReadHeaderTimeout          time.Duration `json:"read_header_timeout" validate:"min=100ms,max=1m"`
	// MaxQueuedRequests bounds the short requests that are queued at this entry.
	MaxQueuedRequests int `json:"max_queue" validate:"min=1,max=1000000"`
	// MemoryMB is the memory that the process may use, in MiB. Zero stands for GOMEMLIMIT if it is set, else for half of
	// the machine's memory.
	MemoryMB int `json:"memory_mb" validate:"min=0,max=16777216"`
	// MaxDescriptors is the number of descriptors that the process may open. Zero stands for the limit of the process.
	MaxDescriptors int `json:"max_descriptors" validate:"min=0,max=1073741816"`
}

// Platform configures the client of the platform's key-value service.
type Platform struct {
	Addresses []string `json:"addresses" validate:"min=1,unique,dive,dialaddr"`
	// Timeout bounds each call except a blocking watch.
	Timeout time.Duration `json:"timeout" validate:"min=10ms,max=1m"`
}

// AgentKind is the kind of the upstream that an agent manages.
type AgentKind string

// Kinds of upstreams.
const (
	KindExecutor AgentKind = "executor"
	KindWorker   AgentKind = "worker"
)

// Agent holds the settings of the agent role. Service is set for executors only, Rack for workers only.
type Agent struct {
	Kind        AgentKind `json:"kind" validate:"required,oneof=executor worker"`
	UpstreamURL string    `json:"upstream_url" validate:"required,upstreamurl"`
	Service     string    `json:"service,omitempty" validate:"omitempty,name"`
	Rack        string    `json:"rack,omitempty" validate:"omitempty,name"`
	// Units is the number of slots of an executor or of accelerators of a worker.
	Units int `json:"units" validate:"min=1,max=1024"`
	// Entries are the RPC addresses of the entries of the cell that the agent contacts first after a start.
	Entries []string `json:"entries" validate:"min=1,unique,dive,dialaddr"`
}

// TLS names the PEM files that secure the connections between masticcart processes. Without this block the connections
// are plain TCP.
type TLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	CA          string `json:"ca"`
	// VerifyClients requires a client certificate signed by CA on every incoming connection.
	VerifyClients bool `json:"verify_clients"`
}

func (e *Entry) setDefaults() {
	e.MaxBodyBytes = DefaultMaxBodyBytes
	e.ReadHeaderTimeout = DefaultReadHeaderTimeout
	e.MaxQueuedRequests = DefaultMaxQueuedRequests
	e.Platform.Timeout = DefaultPlatformTimeout
}

// Load reads, decodes and validates a settings file. If the content is invalid, the error is an *Error that lists every
// problem found.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(path, data)
}

// Parse decodes and validates the content of a settings file as Load does. The file name only appears in problems.
func Parse(file string, data []byte) (*Settings, error) {
	d := decoder{file: file, data: data, positions: map[string]position{}}
	s := &Settings{file: file, positions: d.positions}
	if !d.decodeSettings(s) {
		return nil, &Error{Problems: d.problems}
	}
	if s.Entry != nil && s.Entry.RPCAdvertise == "" {
		s.Entry.RPCAdvertise = s.Entry.RPCListen
	}
	problems := d.problems
	for _, p := range s.Check() {
		// A field that failed to decode keeps its zero value, which may fail validation as well. Only the decoding
		// problem is reported.
		if !d.hasProblem(p.Field) {
			problems = append(problems, p)
		}
	}
	if len(problems) > 0 {
		sortProblems(problems)
		return nil, &Error{Problems: problems}
	}
	return s, nil
}
