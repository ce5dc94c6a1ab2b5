package queuewait

import (
	"maps"
	"testing"
	"time"

	"masticcart.example/masticcart/internal/batch"
)

const s = time.Second

func accelerators(n int) batch.Resources { return batch.Resources{Accelerators: n} }

func cores(n int) batch.Resources { return batch.Resources{MilliCPU: 1000 * n} }

// fleet16 has 16 accelerators, on all of which tasks run that end in 1 s, and 4 cores.
func fleet16(waiting ...Demand) *Snapshot {
	x := &Snapshot{Capacity: batch.Resources{MilliCPU: 4000, Accelerators: 16}, Waiting: waiting, Queues: []Queue{
		{Name: "gangs", Priority: 1, Need: accelerators(2), LatestStart: 10 * s},
		{Name: "surveys", Priority: 2, Need: accelerators(1), LatestStart: 10 * s}}}
	for range 16 {
		x.Running = append(x.Running, Running{accelerators(1), s})
	}
	return x
}

// Guards against forecasts above the real wait, by which work is refused that would have been done in time, and against
// backlogs that are overlooked. All expected figures follow from the fleet by hand.
func TestForecast(t *testing.T) {
	free := fleet16()
	free.Running = free.Running[:14]
	over := fleet16()
	over.Capacity.Accelerators = 15 // it has shrunk
	for name, c := range map[string]struct {
		snapshot       *Snapshot
		gangs, surveys time.Duration
	}{
		"free capacity":      {free, 0, 0},
		"full":               {fleet16(), s, s},
		"shrunk":             {over, s, s},
		"fills it once":      {fleet16(Demand{accelerators(1), 16, 5 * s, 1, 0}), 6 * s, 6 * s},
		"fills it twice":     {fleet16(Demand{accelerators(2), 16, 5 * s, 0, 0}), 11 * s, 11 * s},
		"less urgent":        {fleet16(Demand{accelerators(1), 16, 5 * s, 2, 0}), s, 6 * s},
		"later aim":          {fleet16(Demand{accelerators(1), 16, 5 * s, 1, 11 * s}), s, 6 * s},
		"equal aim":          {fleet16(Demand{accelerators(1), 16, 5 * s, 1, 10 * s}), 6 * s, 6 * s},
		"another resource":   {fleet16(Demand{cores(4), 9, 5 * s, 0, 0}), s, s},
		"never fits":         {fleet16(Demand{accelerators(17), 1, 5 * s, 0, 0}), s, s},
		"no estimate":        {fleet16(Demand{accelerators(16), 50, 0, 0, 0}), s, s},
		"more than followed": {fleet16(Demand{accelerators(16), 1 << 40, s, 0, 0}), (maxStarts + 1) * s, (maxStarts + 1) * s},
	} {
		want := map[string]time.Duration{"gangs": c.gangs, "surveys": c.surveys}
		maps.DeleteFunc(want, func(_ string, d time.Duration) bool { return d == 0 })
		if got := Forecast(c.snapshot); !maps.Equal(got, want) {
			t.Errorf("%s: %v, want %v", name, got, want)
		}
	}
}

// Measures a large backlog on 73 workers: the leader may have 0.2 of a core.
func BenchmarkForecast(b *testing.B) {
	x := fleet16()
	x.Capacity = accelerators(73 * 8)
	x.Running = nil
	for i := range 73 * 8 {
		x.Running = append(x.Running, Running{accelerators(1), time.Duration(i) * 10 * time.Millisecond})
	}
	for i := range 200 {
		x.Waiting = append(x.Waiting, Demand{accelerators(1), 39, 6 * s, 2, time.Duration(i) * time.Millisecond})
	}
	for b.Loop() {
		Forecast(x)
	}
}
