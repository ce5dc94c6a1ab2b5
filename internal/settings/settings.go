// Package settings reads the settings file of a masticcart process: JSON with comments, decoded into typed
// structs and checked as a whole, so that one report names every problem with its position.
package settings

import (
	"fmt"
	"os"
	"time"
)

// Role selects what the process does.
type Role string

// The roles.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Defaults of optional fields.
const (
	DefaultMaxBodyBytes      = 1 << 20
	DefaultReadHeaderTimeout = 5 * time.Second
	DefaultMaxQueuedRequests = 1000
	DefaultPlatformTimeout   = 2 * time.Second
)

// Settings is the content of one settings file.
type Settings struct {
	Role Role `json:"role" validate:"required,oneof=entry agent"`
	// Name is unique among all processes. It is the entry id or the agent id.
	Name   string `json:"name" validate:"required,name"`
	Region string `json:"region" validate:"required,name"`
	// Cell is the data centre.
	Cell    string  `json:"cell" validate:"required,name"`
	Log     Log     `json:"log"`
	Metrics Metrics `json:"metrics"`
	Entry   *Entry  `json:"entry,omitempty" validate:"omitempty"`
	Agent   *Agent  `json:"agent,omitempty" validate:"omitempty"`
	TLS     *TLS    `json:"tls,omitempty" validate:"omitempty"`

	file  string
	where map[string]position
}

// Log sets the logging of the process.
type Log struct {
	// Verbosity is the klog level: 0 logs decisions and faults, higher levels add detail.
	Verbosity int `json:"verbosity" validate:"min=0,max=10"`
}

// Metrics sets where metrics are served.
type Metrics struct {
	// Listen is ip:port. Empty means that metrics are not served.
	Listen string `json:"listen" validate:"omitempty,ipport"`
}

// Entry is the block of the entry role.
type Entry struct {
	APIListen string `json:"api_listen" validate:"required,ipport"`
	RPCListen string `json:"rpc_listen" validate:"required,ipport"`
	// RPCAdvertise is the address that other processes dial. It defaults to RPCListen.
	RPCAdvertise string `json:"rpc_advertise" validate:"required,dialaddr"`
	// Peers are the RPC addresses of other entries, tried first after a start.
	Peers        []string `json:"peers" validate:"unique,dive,dialaddr"`
	Platform     Platform `json:"platform"`
	MaxBodyBytes int64    `json:"max_body_bytes" validate:"min=1024,max=67108864"`
	// BootstrapOperatorTokenHash is the hex SHA-256 of a token that is accepted until the configuration names operators.
	BootstrapOperatorTokenHash string        `json:"bootstrap_operator_token_hash" validate:"omitempty,sha256hex"`
	ReadHeaderTimeout          time.Duration `json:"read_header_timeout" validate:"min=100ms,max=1m"`
	// MaxQueuedRequests is the largest number of short requests that wait at this entry.
	MaxQueuedRequests int `json:"max_queue" validate:"min=1,max=1000000"`
}

// Platform says where the key-value service answers.
type Platform struct {
	Addresses []string `json:"addresses" validate:"min=1,unique,dive,dialaddr"`
	// Timeout bounds each call but a waiting watch.
	Timeout time.Duration `json:"timeout" validate:"min=10ms,max=1m"`
}

// AgentKind says what an agent stands beside.
type AgentKind string

// The kinds of upstream.
const (
	KindExecutor AgentKind = "executor"
	KindWorker   AgentKind = "worker"
)

// Agent is the block of the agent role.
type Agent struct {
	Kind        AgentKind `json:"kind" validate:"required,oneof=executor worker"`
	UpstreamURL string    `json:"upstream_url" validate:"required,upstreamurl"`
	Service     string    `json:"service,omitempty" validate:"omitempty,name"`
	Rack        string    `json:"rack,omitempty" validate:"omitempty,name"`
	// Units is the number of slots of an executor or of accelerators of a worker.
	Units int `json:"units" validate:"min=1,max=1024"`
	// Entries are RPC addresses of entries of the data centre, tried first after a start.
	Entries []string `json:"entries" validate:"min=1,unique,dive,dialaddr"`
}

// TLS protects the connections between the system's own processes. Without it they are plain TCP.
type TLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	CA          string `json:"ca"`
	// VerifyClients requires a client certificate that CA signed on every incoming connection.
	VerifyClients bool `json:"verify_clients"`
}

func (e *Entry) setDefaults() {
	e.MaxBodyBytes = DefaultMaxBodyBytes
	e.ReadHeaderTimeout = DefaultReadHeaderTimeout
	e.MaxQueuedRequests = DefaultMaxQueuedRequests
	e.Platform.Timeout = DefaultPlatformTimeout
}

// Load reads, decodes and checks a settings file. When the content is wrong the error is an *Error that lists
// every problem found.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(path, data)
}

// Parse is Load for content that is already in memory. File is used in problems only.
func Parse(file string, data []byte) (*Settings, error) {
	d := decoder{file: file, data: data, where: map[string]position{}}
	s := &Settings{file: file, where: d.where}
	if !d.parse(s) {
		return nil, &Error{Problems: d.problems}
	}
	if s.Entry != nil && s.Entry.RPCAdvertise == "" {
		s.Entry.RPCAdvertise = s.Entry.RPCListen
	}
	problems := d.problems
	for _, p := range s.Check() {
		// A field that could not be decoded has its zero value; one problem about it is enough.
		if !d.failed(p.Field) {
			problems = append(problems, p)
		}
	}
	if len(problems) > 0 {
		sortProblems(problems)
		return nil, &Error{Problems: problems}
	}
	return s, nil
}
