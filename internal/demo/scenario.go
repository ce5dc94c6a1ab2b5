package demo

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/tailscale/hujson"

	"masticcart.example/masticcart/internal/model"
)

// Scenario describes the work that the demo sends. It is read from JSON with comments.
type Scenario struct {
	// Commands are applied to the configuration before the steps start. Each element is one change.
	Commands []string `json:"commands"`
	// Tokens holds the token of each team. The commands set their hashes.
	Tokens map[string]string `json:"tokens"`
	Steps  []Step            `json:"steps"`
}

// StepType is the kind of action of a step.
type StepType string

// The types of steps.
const (
	StepRequest StepType = "request" // short requests whose callers wait for the answer
	StepJob     StepType = "job"     // durable jobs
	StepKill    StepType = "kill"    // kill -9 of the entry that owns a cell
)

// Step is a group of identical requests or jobs, or the kill of an entry.
type Step struct {
	Name   string   `json:"name"`
	Type   StepType `json:"type"`
	At     string   `json:"at"` // delay after the configuration is in force
	Region string   `json:"region"`
	Count  int      `json:"count"`
	Every  string   `json:"every"` // interval between two requests or jobs
	Team   string   `json:"team"`
	Kind   string   `json:"kind"`
	// Service is set for work that runs on executors.
	Service     string          `json:"service"`
	Shape       model.Shape     `json:"shape"`
	Idempotent  bool            `json:"idempotent"`
	Preemptible bool            `json:"preemptible"`
	Timeout     string          `json:"timeout"`
	Payload     json.RawMessage `json:"payload"`
	// Resend submits each job a second time through another region under the same id.
	Resend bool `json:"resend"`
	// Expect is the required result of every request or job.
	Expect model.Result `json:"expect"`
	// MaxTime bounds the time from sending to the answer.
	// MaxStart bounds the time from the acceptance of a job to its last claim.
	MaxTime  string `json:"max_time"`
	MaxStart string `json:"max_start"`
	// Preempted is the least number of jobs that must have been started more than once.
	Preempted int `json:"preempted"`

	startAfter, interval, timeout, maxDuration, maxStartDelay time.Duration
}

// LoadScenario reads a scenario file and parses its durations.
func LoadScenario(path string) (*Scenario, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	standard, err := hujson.Standardize(data)
	if err != nil {
		return nil, fmt.Errorf("scenario %s: %w", path, err)
	}
	var s Scenario
	if err := json.Unmarshal(standard, &s); err != nil {
		return nil, fmt.Errorf("scenario %s: %w", path, err)
	}
	for i := range s.Steps {
		if err := s.Steps[i].parseDurations(); err != nil {
			return nil, fmt.Errorf("scenario %s: step %q: %w", path, s.Steps[i].Name, err)
		}
	}
	return &s, nil
}

func (s *Step) parseDurations() error {
	for text, target := range map[*string]*time.Duration{
		&s.At: &s.startAfter, &s.Every: &s.interval, &s.Timeout: &s.timeout, &s.MaxTime: &s.maxDuration,
		&s.MaxStart: &s.maxStartDelay,
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
