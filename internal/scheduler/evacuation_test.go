package scheduler

import (
	"strings"
	"testing"
	"time"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/evacuation"
	"masticcart.example/masticcart/internal/kvstore"
)

const testEvacuationBound = 5 * time.Second

// evacuationFixture returns a fixture with one worker in each of the data centres a and b, and evacuation in use.
func evacuationFixture(t *testing.T) *fixture {
	f := newFixture(t)
	f.c.config.EvacuationBound = testEvacuationBound
	f.nodes = []string{"w-a", "w-b"}
	f.cells = map[string]string{"w-a": "a", "w-b": "b"}
	f.confirm(0)
	f.reportEverywhere(0)
	return f
}

// confirm sets the requests in force as the store confirms them at a time.
func (f *fixture) confirm(at time.Duration, cells ...string) {
	var s evacuation.Set
	for i, cell := range cells {
		s = s.With(evacuation.Request{Cell: cell, Revision: kvstore.Revision(1 + i)})
	}
	f.c.SetEvacuations(evacuation.View{Requests: s, ConfirmedAt: at})
}

// startedOn returns the workers of the start orders.
func startedOn(orders []Order) map[string]int {
	n := map[string]int{}
	for _, o := range orders {
		if o.Kind == OrderStart {
			n[o.Node]++
		}
	}
	return n
}

var oneAccelerator = batch.Step{Count: 12, Need: batch.Resources{Accelerators: 1}, Estimate: 5 * time.Second}

// TestNothingStartsInEvacuatedCell guards against placements in a data centre that is evacuated, and against a data centre
// that stays empty after it was taken back.
func TestNothingStartsInEvacuatedCell(t *testing.T) {
	t.Parallel()
	f := evacuationFixture(t)
	f.confirm(0, "a")
	f.submit("00000000000000a1", 2, 0, oneAccelerator)
	if on := startedOn(f.planAndCommit(time.Second)); on["w-a"] != 0 || on["w-b"] != 8 {
		t.Errorf("starts %v, want 8 on w-b only", on)
	}
	f.confirm(2 * time.Second)
	f.reportEverywhere(2 * time.Second)
	if on := startedOn(f.planAndCommit(2 * time.Second)); on["w-a"] != 4 {
		t.Errorf("starts %v after the data centre was taken back, want the other 4 on w-a", on)
	}
}

// TestRecordedStartIsWithdrawnOnEvacuation guards against a start order that was waiting for its record when the request to
// evacuate became known.
func TestRecordedStartIsWithdrawnOnEvacuation(t *testing.T) {
	t.Parallel()
	f := evacuationFixture(t)
	f.submit("00000000000000a1", 2, 0, oneAccelerator)
	f.c.Tick(time.Second, f.wall)
	b, err := f.c.NextBatch(maxChangesPerTxn)
	if err != nil || b == nil {
		t.Fatalf("batch %v, error %v", b, err)
	}
	f.confirm(time.Second, "a")
	if on := startedOn(f.c.ApplyCommit(b, 1, time.Second)); on["w-a"] != 0 || on["w-b"] == 0 {
		t.Errorf("starts %v, want none on w-a", on)
	}
}

// TestNextLeaderStartsNothingInEvacuatedCell guards against a leader that sends the order of an assignment that the previous
// leader has recorded, in a data centre that is evacuated by then.
func TestNextLeaderStartsNothingInEvacuatedCell(t *testing.T) {
	t.Parallel()
	f := evacuationFixture(t)
	f.submit("00000000000000a1", 2, 0, oneAccelerator)
	f.planAndCommit(time.Second)
	f.takeOver(1500*time.Millisecond, nil)
	f.c.config.EvacuationBound = testEvacuationBound
	f.confirm(1500*time.Millisecond, "a")
	for at := 2 * time.Second; at < 4*time.Second; at += 100 * time.Millisecond {
		f.confirm(at, "a")
		for _, node := range f.nodes {
			f.report(node, at) // lists no run: the orders of the previous leader were lost
		}
		if on := startedOn(f.planAndCommit(at)); on["w-a"] != 0 {
			t.Fatalf("starts %v at %v, want none on w-a", on, at)
		}
	}
}

// TestNoStartsWithoutConfirmation guards against a leader that is cut off from the store and does not learn of a request: it
// must start nothing once the request that it may have missed is older than the bound.
func TestNoStartsWithoutConfirmation(t *testing.T) {
	t.Parallel()
	f := evacuationFixture(t)
	at := testEvacuationBound
	f.reportEverywhere(at)
	f.submit("00000000000000a1", 2, at, oneAccelerator)
	if on := startedOn(f.planAndCommit(at)); len(on) != 0 {
		t.Errorf("starts %v on a view that is as old as the bound, want none", on)
	}
	f.confirm(at)
	if on := startedOn(f.planAndCommit(at + planInterval)); on["w-a"]+on["w-b"] != oneAccelerator.Count {
		t.Errorf("starts %v after the confirmation, want all tasks", on)
	}
}

// TestStartOrderEndsWithPermission guards against an order that is carried out late, after a cut link or a frozen agent: its
// deadline on the worker's clock must lie within the bound of the request that the leader may have missed.
func TestStartOrderEndsWithPermission(t *testing.T) {
	t.Parallel()
	f := evacuationFixture(t)
	f.confirm(time.Second)
	f.reportEverywhere(2 * time.Second)
	incarnation := f.c.workers["w-a"].incarnation()
	lease, _ := f.c.GrantLease("w-a", incarnation)
	until, ok := f.c.GrantStart("w-a", incarnation)
	latest := (time.Second + testEvacuationBound).Milliseconds() // the clock of the fixture's workers is that of the leader
	if !ok || until >= latest || until > lease {
		t.Errorf("deadline %d ms (granted: %v), want before %d and at most the lease %d", until, ok, latest, lease)
	}
	f.confirm(2*time.Second, "a")
	if _, ok := f.c.GrantStart("w-a", incarnation); ok {
		t.Error("a start in an evacuated data centre was granted")
	}
	if _, ok := f.c.GrantLease("w-a", incarnation); !ok {
		t.Error("the lease of runs in an evacuated data centre was not extended")
	}
}

// TestMissingGuaranteesAreReported guards against a guarantee that silently no longer fits, and against one that blocks
// other work.
func TestMissingGuaranteesAreReported(t *testing.T) {
	t.Parallel()
	f := evacuationFixture(t)
	catalog := *f.c.catalog
	catalog.Teams = []batch.Team{{Name: "t", GuaranteedAccelerators: 12}}
	f.c.SetCatalog(&catalog)
	f.confirm(0, "a")
	f.submit("00000000000000a1", 2, 0, oneAccelerator)
	if on := startedOn(f.planAndCommit(time.Second)); on["w-b"] != 8 {
		t.Errorf("starts %v, want 8 on w-b", on)
	}
	s := f.c.jobs["00000000000000a1"].occurrences[0].steps[0]
	if reason := f.c.waitReason(s, time.Second); !strings.Contains(reason, "by 4 accelerators") {
		t.Errorf("reason %q, want the 4 missing accelerators", reason)
	}
	f.confirm(time.Second)
	f.planAndCommit(time.Second + planInterval)
	if n := f.c.missingGuarantees; n != 0 {
		t.Errorf("%d guaranteed accelerators are missing after the data centre was taken back", n)
	}
}

// useEvacuation lets a simulated deployment use evacuation.
func (s *sim) useEvacuation() {
	s.config.EvacuationBound = simEvacuationBound
	s.core.config.EvacuationBound = simEvacuationBound
	s.core.SetEvacuations(s.requestsAt(s.now))
	s.pollRequests(s.core)
}

// drawEvacuations draws requests to evacuate one to three data centres, which may overlap, are repeated and taken back, also
// during outages of the store and around a change of leader; and leaders that do not learn of them. Jobs arrive and agents
// freeze at the same time, so that starts are on their way when the bound has passed.
func (s *sim) drawEvacuations() {
	s.useEvacuation()
	for _, w := range s.workers[:simCells] {
		s.after(45*time.Second, func() { s.request(w.cell, false) }) // an outage may reverse the order of two changes
	}
	for n := range 8 {
		cell := s.workers[s.rng.IntN(simCells)].cell
		s.after(s.between(time.Second, 30*time.Second), func() {
			s.request(cell, true)
			s.after(s.between(0, 14*time.Second), func() { s.request(cell, false) })
			for i := range 3 {
				s.after(s.between(0, simEvacuationBound), func() { s.submit(s.randomJob(1000 + 3*n + i)) })
			}
			for _, w := range s.workers {
				if w.cell == cell {
					s.after(s.between(2*time.Second, simEvacuationBound), func() {
						s.freeze(w, s.between(200*time.Millisecond, 3*time.Second))
					})
				}
			}
			if s.rng.IntN(2) == 0 {
				s.after(s.between(0, 2*time.Second), s.replaceLeader)
			}
			if s.rng.IntN(2) == 0 {
				s.watchDownUntil = s.now + s.between(time.Second, 9*time.Second)
			}
			if s.rng.IntN(4) == 0 {
				s.storeDownUntil = s.now + s.between(0, 6*time.Second)
			}
		})
	}
}

// TestNothingStartsInEvacuatedCellsUnderFaults guards against a start that is carried out in an evacuated data centre after
// the bound, whichever faults delay the order, the request or its withdrawal.
func TestNothingStartsInEvacuatedCellsUnderFaults(t *testing.T) {
	for _, seed := range seeds() {
		checkScenario(t, seed, (*sim).drawEvacuations)
	}
}

// TestUnmetGuaranteesAreSplit guards against a team that does not see its share of the guarantees without room, and against
// a guaranteed gang that cannot be placed and keeps other work from starting.
func TestUnmetGuaranteesAreSplit(t *testing.T) {
	t.Parallel()
	f := evacuationFixture(t)
	catalog := *f.c.catalog
	catalog.Version, catalog.Teams = 2, []batch.Team{{Name: "t", GuaranteedAccelerators: 10},
		{Name: "u", GuaranteedAccelerators: 2}}
	f.c.SetCatalog(&catalog)
	at := 3 * time.Second
	f.confirm(at, "a")
	f.reportEverywhere(at)
	gang := batch.Job{ID: "00000000000000a1", Queue: simQueue(0), Team: "t", AcceptedAt: f.wall.Add(at), Steps: []batch.Step{
		{Count: 10, Gang: true, Need: batch.Resources{Accelerators: 1}, Estimate: time.Second}}}
	if err := f.c.AddJob(gang, nil, 0, at, gang.AcceptedAt); err != nil {
		t.Fatal(err)
	}
	f.submit("00000000000000a2", 2, at, batch.Step{Count: 1, Need: batch.Resources{Accelerators: 1}, Estimate: time.Second})
	f.planAndCommit(at)
	later := at + 2*time.Second
	f.confirm(later, "a")
	f.reportEverywhere(later)
	f.planAndCommit(later)
	if n := f.c.unmetGuarantees(); n["t"] != 3 || n["u"] != 1 || f.c.missingGuarantees != 4 {
		t.Errorf("unmet %v, want 4 of 12 accelerators, by the shares of the teams", n)
	}
	e, _ := f.c.Explain(gang.ID, later)
	if reason := e.Tasks[0].Reason; !strings.Contains(reason, "3 accelerators of the team's") ||
		!strings.Contains(reason, "the evacuated data centres a;") {
		t.Errorf("explained as %q", reason)
	}
	if e, _ := f.c.Explain("00000000000000a2", later); e.State != batch.Running {
		t.Errorf("other work is %s beside a gang that does not fit, want running", e.State)
	}
	f.confirm(later)
	f.planAndCommit(later + planInterval)
	if n := f.c.unmetGuarantees(); len(n) != 0 {
		t.Errorf("unmet %v after the data centre was taken back", n)
	}
}

// TestWithheldStartsAreCounted guards against a stop of all starts that no metric and no explanation shows.
func TestWithheldStartsAreCounted(t *testing.T) {
	t.Parallel()
	f := evacuationFixture(t)
	f.submit("00000000000000a1", 2, 0, oneAccelerator)
	at := testEvacuationBound
	f.reportEverywhere(at)
	f.planAndCommit(at)
	if n := f.c.withheldStarts(); n != oneAccelerator.Count || f.c.stats.PermissionsExpired != 1 {
		t.Errorf("%d starts withheld, permission expired %d times, want %d and once", n, f.c.stats.PermissionsExpired,
			oneAccelerator.Count)
	}
	if e, _ := f.c.Explain("00000000000000a1", at); !strings.Contains(e.Tasks[0].Reason, "has not confirmed") {
		t.Errorf("explained as %q", e.Tasks[0].Reason)
	}
}
