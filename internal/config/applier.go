// Package config stores and validates the operators' configuration, a versioned document in the platform's store, and
// keeps the version that is in force in this process.
package config

import (
	"slices"
	"sync"
	"sync/atomic"

	"masticcart.example/masticcart/internal/model"
)

// Applier keeps the configuration that is in force in this process. Its version never decreases. It does no I/O and is
// safe for concurrent use.
type Applier struct {
	current atomic.Pointer[model.Config]

	mu          sync.Mutex // serializes Apply and guards subscribers
	subscribers []chan struct{}
}

// NewApplier returns an applier with the empty configuration, version 0, in force.
func NewApplier() *Applier {
	a := &Applier{}
	a.current.Store(&model.Config{})
	return a
}

// Apply puts a copy of c in force if its version is higher than the current one, and reports whether it did.
func (a *Applier) Apply(c *model.Config) bool {
	if c == nil || c.Version <= a.Version() {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.Version <= a.Version() {
		return false
	}
	a.current.Store(Clone(c))
	for _, ch := range a.subscribers {
		select {
		case ch <- struct{}{}:
		default: // a signal is already pending
		}
	}
	return true
}

// Current returns the configuration in force. It is never nil and must not be modified.
func (a *Applier) Current() *model.Config { return a.current.Load() }

// Version returns the version in force.
func (a *Applier) Version() int64 { return a.current.Load().Version }

// Subscribe returns a channel that receives a signal after a new version is in force. Signals that the receiver has not
// read yet are merged into one, so the receiver should call Current after each.
func (a *Applier) Subscribe() <-chan struct{} {
	ch := make(chan struct{}, 1)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.subscribers = append(a.subscribers, ch)
	return ch
}

// Unsubscribe stops the signals to a channel that Subscribe returned. It does not close the channel.
func (a *Applier) Unsubscribe(ch <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.subscribers = slices.DeleteFunc(a.subscribers, func(s chan struct{}) bool { return s == ch })
}

// Clone returns a deep copy of c.
func Clone(c *model.Config) *model.Config {
	d := *c
	d.Teams = slices.Clone(c.Teams)
	for i := range d.Teams {
		d.Teams[i].TokenHashes = slices.Clone(d.Teams[i].TokenHashes)
	}
	d.Guarantees = slices.Clone(c.Guarantees)
	d.Rules = slices.Clone(c.Rules)
	d.OperatorTokenHashes = slices.Clone(c.OperatorTokenHashes)
	return &d
}

// WithoutTokens returns a copy of c without token hashes, for display.
func WithoutTokens(c *model.Config) *model.Config {
	d := Clone(c)
	d.OperatorTokenHashes = nil
	for i := range d.Teams {
		d.Teams[i].TokenHashes = nil
	}
	return d
}
