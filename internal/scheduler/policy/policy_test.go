package policy

import (
	"math/rand/v2"
	"testing"
	"time"

	"masticcart.example/masticcart/internal/batch"
)

const second = time.Second

// demand returns a demand of priority 1 that was accepted at 0.
func demand(aim, remaining time.Duration) Demand {
	return Demand{Priority: 1, Aim: aim, LateLimit: batch.LateFactor * aim, Remaining: remaining, Work: 100, JobWork: 100}
}

// Guards against each rule of the order being lost or overruled by a lower one.
func TestOrder(t *testing.T) {
	with := func(d Demand, change func(d *Demand)) Demand { change(&d); return d }
	tight := demand(10*second, 4*second)
	for name, c := range map[string]struct {
		first, then Demand
		now         time.Duration
	}{
		"the earlier latest start":              {tight, demand(20*second, 4*second), second},
		"in time before late":                   {demand(20*second, 4*second), tight, 7 * second},
		"late by the late limit":                {demand(8*second, 4*second), demand(9*second, 4*second), 10 * second},
		"late before overdue":                   {tight, with(tight, func(d *Demand) { d.LateLimit = 12 * second }), 9 * second},
		"starved before in time":                {demand(second, second), demand(40*second, second), 10 * second},
		"a large starved gang before a stream":  {with(demand(5*second, 4*second), func(d *Demand) { d.Work = 1e4 }), with(tight, func(d *Demand) { d.AcceptedAt, d.Aim = 30*second, 40*second }), 31 * second},
		"priority":                              {with(tight, func(d *Demand) { d.Priority = 0 }), demand(5*second, 4*second), second},
		"a guarantee":                           {with(tight, func(d *Demand) { d.Guaranteed = true }), demand(5*second, 4*second), second},
		"twice starved counts as one priority":  {with(demand(second, second), func(d *Demand) { d.Priority = 2 }), demand(40*second, 4*second), 13 * second},
		"never as priority 0":                   {with(demand(40*second, 4*second), func(d *Demand) { d.Priority = 0 }), with(demand(second, second), func(d *Demand) { d.Priority = 2 }), 30 * second},
		"more work in time per core-second":     {with(tight, func(d *Demand) { d.JobWork, d.Aim = 800, d.Aim+10*time.Millisecond }), tight, second},
		"the lower share":                       {with(tight, func(d *Demand) { d.TeamShare = 0.4 }), with(tight, func(d *Demand) { d.TeamShare = 1.2 }), second},
		"a large demand whose start is earlier": {with(tight, func(d *Demand) { d.Work, d.JobWork, d.Aim = 1e5, 1e5, 9*second }), tight, second},
	} {
		t.Run(name, func(t *testing.T) {
			if !Less(&c.first, &c.then, c.now) || Less(&c.then, &c.first, c.now) {
				t.Errorf("%+v (%v) does not precede %+v (%v)", c.first, ClassOf(&c.first, c.now), c.then, ClassOf(&c.then, c.now))
			}
		})
	}
}

// Guards against an order that depends on the sequence of its input: sorting needs transitivity.
func TestOrderIsTransitive(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	draw := func() *Demand {
		aim := time.Duration(1+rng.IntN(4000)) * time.Millisecond
		return &Demand{Priority: rng.IntN(3), Guaranteed: rng.IntN(4) == 0, Aim: aim, LateLimit: 3 * aim,
			Remaining: time.Duration(rng.IntN(3000)) * time.Millisecond, Work: float64(1 + rng.IntN(9)),
			JobWork: float64(rng.IntN(40)), TeamShare: rng.Float64() * 2, WasLate: rng.IntN(2) == 0}
	}
	for range 200_000 {
		a, b, c, now := draw(), draw(), draw(), time.Duration(rng.IntN(20_000))*time.Millisecond
		if Less(a, b, now) && Less(b, a, now) || !Less(b, a, now) && !Less(c, b, now) && Less(c, a, now) {
			t.Fatalf("at %v: %+v, %+v, %+v", now, a, b, c)
		}
	}
}

// Guards against an order that flips with each plan: estimates change by some percent with each completed run, which
// moved a demand between the classes.
func TestClassDoesNotFlip(t *testing.T) {
	d := demand(10*second, 4*second)
	changes := 0
	for i := range 40 {
		d.Remaining = 4*second + time.Duration(i%2)*400*time.Millisecond
		late := ClassOf(&d, 5800*time.Millisecond) != InTime
		if late != d.WasLate {
			changes++
		}
		d.WasLate = late
	}
	if changes > 1 {
		t.Errorf("%d changes of the class, want at most 1", changes)
	}
}

// Guards against stops that do not let the requesting unit meet its aim, and against stops before a release that is
// due.
func TestAcceptableLoss(t *testing.T) {
	base := demand(5*second, 2*second)
	base.Priority = 0
	with := func(change func(d *Demand)) Demand { d := base; change(&d); return d }
	for name, c := range map[string]struct {
		d    Demand
		loss float64
		now  time.Duration
		want bool
	}{
		"meets its aim":                 {base, 125, second, true},
		"loses too much":                {base, 201, second, false},
		"last chance":                   {base, 190, 2600 * time.Millisecond, true},
		"meets only the late limit":     {base, 60, 4 * second, false},
		"little loss for a late one":    {base, 50, 4 * second, true},
		"too late for any use":          {base, 0, 14 * second, false},
		"guaranteed":                    {with(func(d *Demand) { d.Guaranteed = true }), 1e6, 14 * second, true},
		"a release is due":              {with(func(d *Demand) { d.ReleaseAt = 1400 * time.Millisecond }), 50, second, false},
		"the release uses up the slack": {with(func(d *Demand) { d.ReleaseAt = 2500 * time.Millisecond }), 50, second, true},
		"other work, little loss":       {with(func(d *Demand) { d.Priority = 1 }), 25, second, true},
		"other work that is late":       {with(func(d *Demand) { d.Priority = 1 }), 0, 4 * second, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := MayPreempt(&c.d, c.loss, c.now+300*time.Millisecond, c.now); got != c.want {
				t.Errorf("%v, want %v; acceptable %v", got, c.want, AcceptableLoss(&c.d, c.now, c.now))
			}
		})
	}
}

// Guards against the same work being stopped again and again, and against stops of work that ends by itself.
func TestLossSparesVictims(t *testing.T) {
	plain := Victim{Lost: 10, Remaining: 5 * second}
	again, almostDone, over, gang := plain, plain, plain, plain
	gang.Gang = true
	again.Preemptions, almostDone.Remaining, over.TeamShare = 1, 200*time.Millisecond, 1.5
	if Loss(&again) <= Loss(&plain) || Loss(&almostDone) <= Loss(&plain) || Loss(&over) >= Loss(&plain) ||
		Loss(&gang) <= Loss(&plain) {
		t.Errorf("plain %v, stopped before %v, almost done %v, above the share %v, gang %v", Loss(&plain), Loss(&again),
			Loss(&almostDone), Loss(&over), Loss(&gang))
	}
}
