// Package queuewait forecasts how long a job that is accepted now waits until it starts. The forecast is a function of
// a snapshot of the work and the capacity of one service.
//
// It addresses backlogs: bursts, and jobs that fill the fleet. It is meant for refusing work, so it rather
// underestimates: each resource is followed on its own, the service counts as one large worker without fragmentation,
// tasks of gangs start one by one, and urgent work that arrives later does not count.
package queuewait

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"masticcart.example/masticcart/internal/batch"
)

// Running is a task that occupies capacity.
type Running struct {
	Need      batch.Resources
	Remaining time.Duration // expected time until it ends
}

// Demand is a number of identical tasks of a step that can start once there is capacity.
type Demand struct {
	Need        batch.Resources
	Count       int
	Duration    time.Duration // expected duration of one task
	Priority    int           // of its queue
	LatestStart time.Duration // latest start that meets the objective, relative to the snapshot
}

// Queue stands for a job that is accepted now.
type Queue struct {
	Name        string
	Priority    int
	Need        batch.Resources // the least that a task of the queue needs
	LatestStart time.Duration   // the earliest of the queue's jobs that are accepted now
}

// Snapshot is the state of one service.
type Snapshot struct {
	Capacity batch.Resources // of the workers that run tasks now or soon, without what never becomes free
	Running  []Running
	Waiting  []Demand
	Queues   []Queue
}

// maxStarts bounds the number of starts that a forecast follows for each resource, and with it its processor time. What
// waits behind them does not add to the forecast.
const maxStarts = 8192

// resources are the resources that are followed on their own.
var resources = [...]func(batch.Resources) int{
	func(r batch.Resources) int { return r.MilliCPU },
	func(r batch.Resources) int { return r.MemoryMB },
	func(r batch.Resources) int { return r.Accelerators },
}

// Forecast returns, for each queue for which the wait is positive, the expected time until a job that is accepted now
// could start: its demand comes after all that precede it by priority and then by latest start.
func Forecast(s *Snapshot) map[string]time.Duration {
	waiting := slices.SortedStableFunc(slices.Values(s.Waiting), func(a, b Demand) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.LatestStart, b.LatestStart))
	})
	queues := slices.SortedStableFunc(slices.Values(s.Queues), func(a, b Queue) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.LatestStart, b.LatestStart))
	})
	waits := map[string]time.Duration{}
	for _, amount := range resources {
		f := newFleet(s, amount)
		next, starts := 0, 0
		for i := range queues {
			q := &queues[i]
			for ; next < len(waiting) && waiting[next].precedes(q); next++ {
				for n := 0; n < waiting[next].Count && starts < maxStarts; n++ {
					f.start(amount(waiting[next].Need), waiting[next].Duration)
					starts++
				}
			}
			if at := f.fitsAt(amount(q.Need)); at > 0 {
				waits[q.Name] = max(waits[q.Name], at)
			}
		}
	}
	return waits
}

// precedes reports whether the demand goes before a new job of the queue. Between equals, the job that was accepted
// first goes first.
func (d *Demand) precedes(q *Queue) bool {
	return cmp.Or(cmp.Compare(d.Priority, q.Priority), cmp.Compare(d.LatestStart, q.LatestStart)) <= 0
}

// fleet is the simulated amount of one resource in a service.
type fleet struct {
	now         time.Duration
	total, free int
	releases    releases
}

func newFleet(s *Snapshot, amount func(batch.Resources) int) *fleet {
	f := &fleet{total: amount(s.Capacity), free: amount(s.Capacity)}
	for _, r := range s.Running {
		if n := amount(r.Need); n > 0 {
			f.free -= n
			f.releases = append(f.releases, release{r.Remaining, n})
		}
	}
	heap.Init(&f.releases)
	return f
}

// start starts a task as soon as it fits. A task that never fits waits for capacity that is missing now; it is skipped.
func (f *fleet) start(need int, takes time.Duration) {
	if need <= 0 || need > f.total {
		return
	}
	f.advanceUntilFits(need)
	f.free -= need
	heap.Push(&f.releases, release{f.now + takes, need})
}

// advanceUntilFits advances the time to the first release after which the need, at most the total, fits.
func (f *fleet) advanceUntilFits(need int) {
	for need > f.free {
		r := heap.Pop(&f.releases).(release)
		f.now, f.free = max(f.now, r.at), f.free+r.need
	}
}

// fitsAt returns when the need fits, zero if it never does. It does not change the fleet.
func (f *fleet) fitsAt(need int) time.Duration {
	if need <= 0 || need > f.total {
		return 0
	}
	later := fleet{now: f.now, free: f.free, releases: slices.Clone(f.releases)}
	later.advanceUntilFits(need)
	return later.now
}

// release is an amount of the resource that becomes free.
type release struct {
	at   time.Duration
	need int
}

// releases is a heap with the earliest release first.
type releases []release

func (h releases) Len() int           { return len(h) }
func (h releases) Less(i, j int) bool { return h[i].at < h[j].at }
func (h releases) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *releases) Push(x any)        { *h = append(*h, x.(release)) }
func (h *releases) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
