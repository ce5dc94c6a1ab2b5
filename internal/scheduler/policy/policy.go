// Package policy decides which waiting work is placed first when capacity is insufficient, and which work may be
// stopped for it. Its functions depend on their arguments only.
//
// Work that is delayed should be the work whose delay costs callers least. A result within the aim of its job has its
// full use, one up to the late limit some use, a later one little. The loads that the rules address: bursts of urgent
// gangs on a full fleet, large surveys that fill the fleet, a team that takes more than its share, and callers that
// return at the same time.
package policy

import (
	"cmp"
	"math"
	"time"
)

// Demand is what the policy knows of a unit (the waiting tasks of a step, or a gang) that requests capacity.
type Demand struct {
	Priority   int  // 0 comes first
	Guaranteed bool // within the guarantee of its team
	// AcceptedAt, Aim and LateLimit are times on the scheduler's clock.
	AcceptedAt, Aim, LateLimit time.Duration
	Remaining                  time.Duration // expected time from a start now to the end of the job's longest chain
	Work                       float64       // of the unit in core-seconds
	// JobWork is the work of the whole job in core-seconds, including what is done. Zero counts as Work.
	JobWork float64
	Team    string
	// TeamShare is the number of accelerators in use by the team relative to its fair share.
	TeamShare float64
	// WasLate means that the last plan judged the demand as unable to meet its aim.
	WasLate bool
	// ReleaseAt is when running work is expected to release capacity for the whole demand; zero if that is not known.
	ReleaseAt time.Duration
}

// Class is what a demand can still achieve. Lower classes are placed first.
type Class int

// The classes in the order of placement.
const (
	// Starved demands have waited for StarvationFactor times the time from acceptance to the late limit.
	Starved Class = iota
	// InTime demands meet their aim if they start now.
	InTime
	// Late demands meet only their late limit.
	Late
	// Overdue demands miss their late limit as well.
	Overdue
)

// String returns the name that is used in log lines.
func (c Class) String() string { return [...]string{"starved", "in time", "late", "overdue"}[c] }

const (
	// StarvationFactor is the longest wait for a place ahead of the own class, as a multiple of the time from acceptance
	// to the late limit: six aims. Others with something left to lose are preferred for as long as the caller still had
	// use of a late result, and once more as long. The bound is in proportion to what the caller expected, so that it
	// does not depend on the load. Starved demands are placed in the order in which they reached the bound, so that a
	// finite number precedes each of them, whatever arrives later.
	StarvationFactor = 2
	// lateMarginShare is the share of its remaining time by which a late demand has to be early again to count as in time.
	// Estimates change with each completed run; without the margin a demand would change its class with each plan.
	lateMarginShare = 0.25
	// startGrain is the difference between latest starts below which demands count as equally urgent, a fifth of the slack
	// of a gang of 7 s. Work that takes longer, on the same capacity, is late if it has to wait for the other. With 500 ms
	// the share of the teams had no effect: beside a team that uses more than its share, another one had 61 jobs in time
	// instead of 73.
	startGrain = 3 * time.Second
	// urgentStartGrain is the same for priority 0, about the slack of an urgent job of 2.3 s.
	urgentStartGrain = 1500 * time.Millisecond
	// shareGrain is the difference between the shares of teams that counts. It is larger than what one start changes.
	shareGrain = 0.25
)

// ClassOf returns what a demand can still achieve if it starts now.
func ClassOf(d *Demand, now time.Duration) Class {
	latest, lateMargin := d.Aim-d.Remaining, time.Duration(0)
	if d.WasLate {
		lateMargin = time.Duration(float64(d.Remaining) * lateMarginShare)
	}
	switch {
	case now > d.starvesAt():
		return Starved
	case now+lateMargin <= latest:
		return InTime
	case now+d.Remaining <= d.LateLimit:
		return Late
	}
	return Overdue
}

// starvesAt returns when the demand has waited for the starvation bound.
func (d *Demand) starvesAt() time.Duration {
	return d.AcceptedAt + StarvationFactor*(d.LateLimit-d.AcceptedAt)
}

// effectivePriority returns the priority of a demand. After each further starvation bound a demand counts as one
// priority more important, but never as 0, which has guarantees and may preempt: work of a low priority is not starved
// by a stream of a higher one.
func effectivePriority(d *Demand, now time.Duration) int {
	bound := d.starvesAt() - d.AcceptedAt
	if d.Priority <= 1 || bound <= 0 {
		return d.Priority
	}
	steps := max(0, (now-d.AcceptedAt)/bound-1)
	return max(1, d.Priority-int(min(steps, time.Duration(d.Priority))))
}

// Less reports whether a is to be placed before b at a time. It is a strict weak ordering.
func Less(a, b *Demand, now time.Duration) bool { return Compare(a, b, now) < 0 }

// Compare returns a negative number if a is to be placed before b, a positive one if after. The order is by priority,
// guarantee and class. Within a class it is by the latest start that meets the aim, or the late limit; between demands
// that are equally urgent by the work that a start saves, the share of the team, and the exact time. Overdue and
// starved demands are in the order of their age.
func Compare(a, b *Demand, now time.Duration) int {
	class := ClassOf(a, now)
	if c := cmp.Or(cmp.Compare(effectivePriority(a, now), effectivePriority(b, now)),
		-CompareBool(a.Guaranteed, b.Guaranteed), cmp.Compare(class, ClassOf(b, now))); c != 0 {
		return c
	}
	grain := a.grain() // equal to that of b: no other priority counts as 0
	switch class {
	case Starved:
		return cmp.Or(cmp.Compare(a.starvesAt(), b.starvesAt()), cmp.Compare(a.AcceptedAt, b.AcceptedAt))
	case Overdue:
		return cmp.Or(cmp.Compare(a.AcceptedAt/grain, b.AcceptedAt/grain),
			cmp.Compare(a.shareGrade(), b.shareGrade()), cmp.Compare(a.AcceptedAt, b.AcceptedAt))
	}
	startA, startB := a.Aim-a.Remaining, b.Aim-b.Remaining
	if class == Late {
		startA, startB = a.LateLimit-a.Remaining, b.LateLimit-b.Remaining
	}
	return cmp.Or(cmp.Compare(startA/grain, startB/grain), -cmp.Compare(a.savingGrade(), b.savingGrade()),
		cmp.Compare(a.shareGrade(), b.shareGrade()), cmp.Compare(startA, startB), cmp.Compare(a.AcceptedAt, b.AcceptedAt))
}

// grain returns the difference between latest starts below which demands of the same priority count as equally urgent.
func (d *Demand) grain() time.Duration {
	if d.Priority == 0 {
		return urgentStartGrain
	}
	return startGrain
}

// savingGrade grades the work in time that a start saves per core-second: the work of the whole job over the work still
// to be placed, in powers of two. A job that is nearly done precedes one that has just begun, whatever their sizes.
// Work shorter than the grain has grade 0, since waiting for it makes nobody late.
func (d *Demand) savingGrade() int {
	if d.Remaining < d.grain() || d.Work <= 0 || d.JobWork <= d.Work {
		return 0
	}
	return int(math.Log2(d.JobWork / d.Work))
}

// shareGrade is the share of the team in units of shareGrain.
func (d *Demand) shareGrade() int { return int(d.TeamShare / shareGrain) }

// CompareBool orders false before true.
func CompareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
