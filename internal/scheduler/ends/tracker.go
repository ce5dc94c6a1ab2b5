// Package ends tracks which ended runs of a worker are applied and which are recorded, for each incarnation of the worker:
// an end is acknowledged only once it is recorded.
package ends

import (
	"cmp"
	"maps"
	"slices"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/relay"
)

// Tracker holds the numbers of the last ended runs that are applied and recorded, by incarnation. Ended runs are numbered from
// 1 in each incarnation; a number covers all lower ones.
type Tracker struct {
	numbers map[batch.Incarnation]*numbers
}

type numbers struct{ applied, recorded int64 }

// NewTracker returns a tracker of a worker of which no end is known.
func NewTracker() *Tracker { return &Tracker{map[batch.Incarnation]*numbers{}} }

// Applied returns the number of the last applied end of an incarnation, zero for none.
func (t *Tracker) Applied(i batch.Incarnation) int64 {
	if n := t.numbers[i]; n != nil {
		return n.applied
	}
	return 0
}

// Recorded returns the number of the last recorded end of an incarnation, zero for none.
func (t *Tracker) Recorded(i batch.Incarnation) int64 {
	if n := t.numbers[i]; n != nil {
		return n.recorded
	}
	return 0
}

// NoteApplied notes that the ends of an incarnation up to a number are applied.
func (t *Tracker) NoteApplied(i batch.Incarnation, through int64) {
	if t.numbers[i] == nil {
		t.numbers[i] = &numbers{}
	}
	t.numbers[i].applied = max(t.numbers[i].applied, through)
}

// Unrecorded returns the ends that are applied and not recorded, to be passed to NoteRecorded.
func (t *Tracker) Unrecorded() []relay.EndAck {
	return t.acks(func(n *numbers) int64 {
		if n.applied > n.recorded {
			return n.applied
		}
		return 0
	})
}

// NoteRecorded notes that ends are recorded. It does nothing for an incarnation that was dropped.
func (t *Tracker) NoteRecorded(a relay.EndAck) {
	if n := t.numbers[a.Incarnation]; n != nil {
		n.recorded = max(n.recorded, a.Through)
	}
}

// Acks returns the acknowledgements of the recorded ends of all incarnations but one.
func (t *Tracker) Acks(except batch.Incarnation) []relay.EndAck {
	acks := t.acks(func(n *numbers) int64 { return n.recorded })
	return slices.DeleteFunc(acks, func(a relay.EndAck) bool { return a.Incarnation == except })
}

// Keep drops the incarnations that are not among those given.
func (t *Tracker) Keep(incarnations []batch.Incarnation) {
	maps.DeleteFunc(t.numbers, func(i batch.Incarnation, _ *numbers) bool { return !slices.Contains(incarnations, i) })
}

// acks returns the numbers that are not zero, ordered by incarnation.
func (t *Tracker) acks(number func(*numbers) int64) []relay.EndAck {
	var acks []relay.EndAck
	for i, n := range t.numbers {
		if through := number(n); through > 0 {
			acks = append(acks, relay.EndAck{Incarnation: i, Through: through})
		}
	}
	slices.SortFunc(acks, func(a, b relay.EndAck) int {
		return cmp.Or(cmp.Compare(a.Incarnation.ID, b.Incarnation.ID),
			cmp.Compare(a.Incarnation.StartedMS, b.Incarnation.StartedMS))
	})
	return acks
}
