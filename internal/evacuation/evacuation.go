// Package evacuation holds the operators' requests to evacuate data centres: nothing may start there until the request is
// withdrawn. It also bounds how long a process may act on what it knows of the requests.
package evacuation

import (
	"cmp"
	"slices"
	"time"

	"masticcart.example/masticcart/internal/kvstore"
)

// Request is an operator's request to evacuate a data centre.
type Request struct {
	Cell string `json:"cell"` // data centre
	// Revision is the revision of the request in the store. A request that is withdrawn and repeated has another one.
	Revision kvstore.Revision `json:"revision"`
	// Since is when this process learned of the request.
	Since time.Time `json:"since"`
}

// Set is the set of the requests in force. It is immutable; the zero value is empty.
type Set struct {
	requests []Request // by data centre
}

// Find returns the request for a data centre.
func (s Set) Find(cell string) (Request, bool) {
	i, ok := s.search(cell)
	if !ok {
		return Request{}, false
	}
	return s.requests[i], true
}

// Contains reports whether a data centre is to be evacuated.
func (s Set) Contains(cell string) bool {
	_, ok := s.search(cell)
	return ok
}

// Requests returns all requests by data centre. The caller must not change the result.
func (s Set) Requests() []Request { return s.requests }

// With returns the set with a request added, in place of an earlier one for the same data centre.
func (s Set) With(r Request) Set {
	i, ok := s.search(r.Cell)
	requests := slices.Clone(s.requests)
	if ok {
		requests[i] = r
	} else {
		requests = slices.Insert(requests, i, r)
	}
	return Set{requests}
}

// Without returns the set without the request for a data centre.
func (s Set) Without(cell string) Set {
	i, ok := s.search(cell)
	if !ok {
		return s
	}
	return Set{slices.Delete(slices.Clone(s.requests), i, i+1)}
}

func (s Set) search(cell string) (int, bool) {
	return slices.BinarySearchFunc(s.requests, cell, func(r Request, cell string) int { return cmp.Compare(r.Cell, cell) })
}

// View is what a process knows of the requests.
type View struct {
	Requests Set
	// ConfirmedAt is a time, on the clock of package boottime, at which Requests held all requests that were acknowledged
	// until then.
	ConfirmedAt time.Duration
}

// startMargin is how long before the end of the bound the last start must be carried out. It covers a worker's clock that
// runs 2% slow, and the time of the start on the worker.
const startMargin = 500 * time.Millisecond

// StartsUntil returns until when starts that are decided on this view may be carried out, if nothing may start later than
// bound after a request was acknowledged: a request that the view lacks was acknowledged after ConfirmedAt.
func (v View) StartsUntil(bound time.Duration) time.Duration {
	return v.ConfirmedAt + bound - startMargin
}
