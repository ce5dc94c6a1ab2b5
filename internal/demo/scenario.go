package demo

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/tailscale/hujson"

	"masticcart.example/masticcart/internal/model"
)

// Scenario is the work that the demo sends, read from JSON with comments.
type Scenario struct {
	// Commands change the configuration before the work starts, one change each.
	Commands []string `json:"commands"`
	// Tokens are the teams' tokens; their hashes are part of the commands.
	Tokens map[string]string `json:"tokens"`
	Steps  []Step            `json:"steps"`
}

// StepType says what a step does.
type StepType string

// The types of steps.
const (
	StepRequest StepType = "request" // short requests with a waiting caller
	StepJob     StepType = "job"     // durable jobs
	StepKill    StepType = "kill"    // kill -9 of the entry that owns a cell
)

// Step is one group of equal work.
type Step struct {
	Name   string   `json:"name"`
	Type   StepType `json:"type"`
	At     string   `json:"at"`
	Region string   `json:"region"`
	Count  int      `json:"count"`
	Every  string   `json:"every"`
	Team   string   `json:"team"`
	Kind   string   `json:"kind"`
	// Service is set for work on executors.
	Service     string          `json:"service"`
	Shape       model.Shape     `json:"shape"`
	Idempotent  bool            `json:"idempotent"`
	Preemptible bool            `json:"preemptible"`
	Timeout     string          `json:"timeout"`
	Payload     json.RawMessage `json:"payload"`
	// Resend submits each job a second time through another region under the same id.
	Resend bool `json:"resend"`
	// Expect is the result that every piece of work must have.
	Expect model.Result `json:"expect"`
	// MaxTime bounds the time from sending to the answer, MaxStart the time from acceptance to the last claim.
	MaxTime  string `json:"max_time"`
	MaxStart string `json:"max_start"`
	// Preempted requires that at least this many of the jobs were started more than once.
	Preempted int `json:"preempted"`

	at, every, timeout, maxTime, maxStart time.Duration
}

// LoadScenario reads and checks a scenario file.
func LoadScenario(path string) (*Scenario, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	std, err := hujson.Standardize(data)
	if err != nil {
		return nil, fmt.Errorf("scenario %s: %w", path, err)
	}
	var s Scenario
	if err := json.Unmarshal(std, &s); err != nil {
		return nil, fmt.Errorf("scenario %s: %w", path, err)
	}
	for i := range s.Steps {
		if err := s.Steps[i].parse(); err != nil {
			return nil, fmt.Errorf("scenario %s: step %q: %w", path, s.Steps[i].Name, err)
		}
	}
	return &s, nil
}

func (s *Step) parse() error {
	for text, target := range map[*string]*time.Duration{
		&s.At: &s.at, &s.Every: &s.every, &s.Timeout: &s.timeout, &s.MaxTime: &s.maxTime, &s.MaxStart: &s.maxStart,
	} {
		if *text == "" {
			continue
		}
		d, err := time.ParseDuration(*text)
		if err != nil {
			return err
		}
		*target = d
	}
	return nil
}
