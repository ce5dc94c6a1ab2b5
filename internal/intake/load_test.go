package intake

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/boottime"
	"masticcart.example/masticcart/internal/kvstore"
	"masticcart.example/masticcart/internal/kvstore/memstore"
	"masticcart.example/masticcart/internal/scheduler"
)

const (
	loadJobID     = "0123456789abcdef"
	loadMaxAge    = 900 * time.Millisecond
	loadQueueWait = 60 * time.Second // the late limit of the test queue is 9 s
)

// loadedIntake returns an intake with recent figures by which jobs of the queue "late" start too late.
func loadedIntake(t *testing.T, store *memstore.Store) *Service {
	t.Helper()
	if _, err := store.Put(t.Context(), testConfigKey, []byte("{}"), 0, 0); err != nil &&
		!errors.Is(err, kvstore.ErrConflict) {
		t.Fatal(err)
	}
	queue := func(name string, priority int) batch.Queue {
		return batch.Queue{Name: name, Host: "host", PathPrefix: "/" + name + "/", Public: true, Service: "s",
			Priority: priority, SlackFactor: 2, TargetLatency: time.Second}
	}
	decode := func([]byte) (*batch.Catalog, error) {
		return &batch.Catalog{Version: 1, MaxBodyBytes: 1000,
			Queues: []batch.Queue{queue("late", 1), queue("urgent", 0)}}, nil
	}
	catalogs := NewCatalogWatcher(store, OperatorKeys{Configuration: testConfigKey}, decode)
	if _, err := catalogs.Refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
	s := New(store, catalogs, noLeader{}, Settings{MaxPendingAge: loadMaxAge})
	s.setLoad(0)
	return s
}

// setLoad gives the intake figures of an age.
func (s *Service) setLoad(age time.Duration) {
	wait := scheduler.QueueWait{WaitMS: loadQueueWait.Milliseconds(), DurationRatio: 1}
	s.load = scheduler.Load{Pending: map[string]int{},
		Waits: map[string]scheduler.QueueWait{"late": wait, "urgent": wait}}
	s.loadAt = boottime.Now() - age
}

func submitTo(t *testing.T, s *Service, queue string) Response {
	t.Helper()
	return s.Submit(t.Context(), Request{Host: "host", Path: "/" + queue + "/" + loadJobID,
		Deadline: time.Now().Add(600 * time.Millisecond)}, func() (*batch.Job, error) {
		return &batch.Job{Steps: []batch.Step{{Count: 1, Estimate: time.Second}}}, nil
	})
}

func isStored(t *testing.T, store kvstore.Store) bool {
	t.Helper()
	_, err := store.Get(t.Context(), scheduler.JobKey(loadJobID))
	return err == nil
}

// Guards against a refused job that runs, a refusal of urgent work, and one that rests on figures which are too old,
// missing, or of the time before a jump of the clock.
func TestOnlyRecentFiguresRefuse(t *testing.T) {
	for _, c := range []struct {
		name, queue string
		prepare     func(*Service)
		refused     bool
	}{
		{"late", "late", func(*Service) {}, true},
		{"urgent", "urgent", func(*Service) {}, false},
		{"leader lost since", "late", func(s *Service) { s.setLoad(loadMaxAge + time.Millisecond) }, false},
		{"clock moved back", "late", func(s *Service) { s.setLoad(-time.Hour) }, false},
		{"no figures", "late", func(s *Service) { s.load, s.loadAt = scheduler.Load{}, 0 }, false},
		{"no maximum age", "late", func(s *Service) { s.settings.MaxPendingAge = 0 }, false},
	} {
		store := memstore.New(time.Now)
		s := loadedIntake(t, store)
		scope := tally.NewTestScope("", nil)
		s.metrics = newMetrics(scope)
		c.prepare(s)
		r := submitTo(t, s, c.queue)
		if got := r.Outcome == Unavailable; got != c.refused || got == isStored(t, store) || got != (r.RetryAfter > 0) {
			t.Errorf("%s: %+v", c.name, r)
		}
		counters := scope.Snapshot().Counters()
		if counted := counters["admission.decisions+decision=refuse,queue=late"] != nil; counted != c.refused {
			t.Errorf("%s: counters %v", c.name, counters)
		}
	}
}

// Guards against "has not run and will not run" for a job that an earlier attempt stored, through this entry or another
// one, whose answer the caller did not get.
func TestStoredJobIsNotRefused(t *testing.T) {
	store := memstore.New(time.Now)
	first, second := loadedIntake(t, store), loadedIntake(t, store)
	first.setLoad(time.Hour)
	store.SetFaults(memstore.Faults{LoseAnswers: 1})
	if r := submitTo(t, first, "late"); r.Outcome == Unavailable {
		t.Fatalf("first attempt: %+v", r)
	}
	store.SetFaults(memstore.Faults{})
	for _, s := range []*Service{first, second} {
		s.setLoad(0)
		if r := submitTo(t, s, "late"); r.Outcome != OK {
			t.Errorf("repeat: %+v", r)
		}
	}
}

// lateWriteStore carries out writes only when release is closed, after their callers have given up.
type lateWriteStore struct {
	kvstore.Store
	release, done chan struct{}
}

func (s lateWriteStore) Txn(ctx context.Context, txn kvstore.Txn) (kvstore.Revision, error) {
	go func() {
		<-s.release
		_, _ = s.Store.Txn(context.WithoutCancel(ctx), txn)
		s.done <- struct{}{}
	}()
	<-ctx.Done()
	return 0, kvstore.ErrUnknownOutcome
}

// Guards against a refusal while a write of an earlier attempt is still on its way to the store, so that the store does
// not have the job yet when it is asked.
func TestJobWithUnansweredWriteIsNotRefused(t *testing.T) {
	store := memstore.New(time.Now)
	s := loadedIntake(t, store)
	s.setLoad(time.Hour)
	late := lateWriteStore{store, make(chan struct{}), make(chan struct{}, 8)}
	s.store = late
	if r := submitTo(t, s, "late"); r.Outcome != OutcomeUnknown {
		t.Fatalf("first attempt: %+v", r)
	}
	s.store = store
	s.setLoad(0)
	if s.refuseForLoad(t.Context(), &batch.Job{ID: loadJobID, Queue: s.catalogs.Catalog().Queues[0]}) != nil {
		t.Error("refused before the write took effect")
	}
	close(late.release)
	<-late.done
	if !isStored(t, store) {
		t.Error("the write did not take effect")
	}
}

// Guards against a refusal when the store cannot say whether the job is stored.
func TestNothingIsRefusedForLoadWithoutTheStore(t *testing.T) {
	store := memstore.New(time.Now)
	s := loadedIntake(t, store)
	store.SetFaults(memstore.Faults{Down: true})
	if s.refuseForLoad(t.Context(), &batch.Job{ID: loadJobID, Queue: s.catalogs.Catalog().Queues[0]}) != nil {
		t.Error("refused")
	}
}

// Guards against forgotten writes: a set that is full must not lead to refusals.
func TestUnresolvedJobsOverflow(t *testing.T) {
	u := unresolvedJobs{attempts: map[string]time.Duration{}, overflowAt: -unresolvedRetention}
	for i := range maxUnresolved {
		u.add(fmt.Sprint(i), 0)
	}
	if u.contains("x", 1) {
		t.Error("overflow before the set is full")
	}
	u.add("x", 2)
	if !u.contains("x", 3) || !u.contains("y", 3) {
		t.Error("a job that did not fit is taken as resolved")
	}
	u.add("z", 2*unresolvedRetention)
	if !u.contains("z", 2*unresolvedRetention) || u.contains("x", 2*unresolvedRetention) || len(u.attempts) != 1 {
		t.Errorf("%d jobs are kept", len(u.attempts))
	}
}

// scriptedLeader answers calls for the load from a channel.
type scriptedLeader struct {
	noLeader
	answers chan scheduler.Load
}

func (l scriptedLeader) Load(ctx context.Context) (scheduler.Load, error) {
	select {
	case load, ok := <-l.answers:
		if ok {
			return load, nil
		}
		return scheduler.Load{}, errNoLeader
	case <-ctx.Done():
		return scheduler.Load{}, ctx.Err()
	}
}

// Guards against a submission that waits for the leader, against entries that ask a calm leader without need, and
// against entries with few submissions that never have recent figures under load.
func TestLoadIsFollowedWhileJobsWait(t *testing.T) {
	store := memstore.New(time.Now)
	s := loadedIntake(t, store)
	s.setLoad(time.Hour)
	answers := make(chan scheduler.Load, 2)
	s.leader = scriptedLeader{answers: answers} // does not answer yet
	go s.Run(t.Context())
	if r := submitTo(t, s, "late"); r.Outcome != OK {
		t.Fatalf("%+v", r)
	}
	if s.lastArrival == 0 {
		t.Fatal("the arrival is not noted")
	}
	calm := scheduler.Load{Pending: map[string]int{}}
	loaded := scheduler.Load{Pending: map[string]int{}, Waits: map[string]scheduler.QueueWait{"late": {WaitMS: 1}}}
	for _, c := range []struct {
		name    string
		load    scheduler.Load
		arrived time.Duration // before now
		follow  bool
	}{{"calm", calm, 0, false}, {"loaded", loaded, 0, true}, {"no arrivals", loaded, loadFollowTime * 2, false}} {
		f := loadedIntake(t, memstore.New(time.Now))
		one := make(chan scheduler.Load, 1)
		f.leader, f.lastArrival = scriptedLeader{answers: one}, boottime.Now()-c.arrived
		one <- c.load
		if got := f.followOnce(t.Context()); got != c.follow {
			t.Errorf("%s: followed %v", c.name, got)
		}
		close(one)
		if f.followOnce(t.Context()) {
			t.Errorf("%s: followed without a leader", c.name)
		}
	}
}
