package relay

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"masticcart.example/masticcart/internal/batch"
)

// modelWorker answers as the incarnation that runs at present, and compares only its id, as the platform's workers do.
type modelWorker struct {
	fakeDriver
	up bool
}

func (m *modelWorker) SyncRuns(_ context.Context, i batch.Incarnation, _, _, _ int64, _ time.Duration) (batch.Runs, error) {
	switch {
	case !m.up:
		return batch.Runs{}, ErrNotListening
	case i.ID != m.incarnation.ID:
		return batch.Runs{}, ErrOtherWorker
	}
	return batch.Runs{Incarnation: m.incarnation}, nil
}

// identityScenario draws restarts of a worker under the same and under other ids, with clocks that jump, and messages
// about it that arrive late or come from another program.
type identityScenario struct {
	t        *testing.T
	rng      *rand.Rand
	worker   *modelWorker
	relay    *Relay
	clockMS  int64
	sequence int64
	sent     []batch.Worker // all announcements of the worker
	ended    []batch.Incarnation
	trace    []string
}

func (s *identityScenario) tracef(format string, args ...any) {
	s.trace = append(s.trace, fmt.Sprintf(format, args...))
}

func (s *identityScenario) restart() {
	s.ended = append(s.ended, s.worker.incarnation)
	s.clockMS += s.rng.Int64N(100) - 40 // the clock may have been set back
	for slices.ContainsFunc(s.ended, func(i batch.Incarnation) bool { return i.StartedMS == s.clockMS }) {
		s.clockMS++ // two starts in the same millisecond are not told apart
	}
	s.worker.up, s.sequence = true, 0
	s.worker.incarnation = batch.Incarnation{ID: fmt.Sprint("i-", s.rng.IntN(2)), StartedMS: s.clockMS}
	s.tracef("restart %v", s.worker.incarnation)
}

// announce sends an announcement of the worker if it is up.
func (s *identityScenario) announce() {
	if !s.worker.up {
		return
	}
	s.sequence++
	w := batch.Worker{Incarnation: s.worker.incarnation, Service: "s", Sequence: s.sequence}
	s.sent = append(s.sent, w)
	s.relay.Announce(w)
	s.tracef("announce %v %d", w.Incarnation, w.Sequence)
}

func (s *identityScenario) step() {
	switch s.rng.IntN(8) {
	case 0:
		s.restart()
	case 1:
		s.worker.up = false
		s.tracef("down")
	case 2, 3:
		s.announce()
	case 4: // a late announcement
		w := s.sent[s.rng.IntN(len(s.sent))]
		s.relay.Announce(w)
		s.tracef("late announcement %v %d", w.Incarnation, w.Sequence)
	case 5: // of another program, with numbers that no later message exceeds
		w := batch.Worker{Incarnation: batch.Incarnation{ID: fmt.Sprint("i-", s.rng.IntN(3)), StartedMS: math.MaxInt64},
			Service: "other", Sequence: math.MaxInt64}
		s.relay.Announce(w)
		s.tracef("foreign announcement %v", w.Incarnation)
	case 6: // a late deregistration
		if len(s.ended) > 0 {
			i := s.ended[s.rng.IntN(len(s.ended))]
			i.StartedMS *= s.rng.Int64N(2)
			s.relay.Deregister(i)
			s.tracef("late deregistration %v", i)
		}
	case 7:
		s.sync()
	}
}

// sync polls the relay as the leader does, and checks that it describes no other worker than the one that answers.
func (s *identityScenario) sync() SyncResponse {
	response, err := s.relay.sync(context.Background(), nil, SyncRequest{Incarnation: batch.Incarnation{ID: "none"}})
	if err != nil {
		s.t.Fatal(err)
	}
	s.tracef("sync %+v", response)
	if response.Runs != nil && response.Worker != nil && response.Runs.Incarnation == response.Worker.Incarnation &&
		response.Worker.Service != "s" {
		s.t.Fatalf("another program's worker is reported\n%v", s.trace)
	}
	return response
}

// Guards against a worker that is shut out for good by an announcement of another program (review/2), a late one or one
// after a clock was set back, and against runs of a worker that are taken as ended because of a late deregistration
// (review/1).
func TestWorkerThatAnswersAndAnnouncesItselfIsReported(t *testing.T) {
	for seed := range uint64(500) {
		worker := &modelWorker{fakeDriver: fakeDriver{incarnation: batch.Incarnation{ID: "i-0", StartedMS: 1000}}, up: true}
		s := &identityScenario{t: t, rng: rand.New(rand.NewPCG(seed, 4)), worker: worker, relay: New(worker), clockMS: 1000}
		s.announce()
		for range 40 {
			s.step()
		}
		if !worker.up {
			s.restart()
		}
		s.announce()
		got := s.sync()
		if got.Worker == nil || got.Worker.Incarnation != worker.incarnation || got.Worker.Service != "s" || got.Runs == nil ||
			got.Deregistered != (batch.Incarnation{}) {
			t.Fatalf("seed %d: %+v, want the runs of %v\n%v", seed, got, worker.incarnation, s.trace)
		}
	}
}

// Guards against an agent that opens a connection for each poll after its worker has started again, and against a worker
// that is not asked any more although it announces itself (review/8).
func TestReplacedWorkerIsAskedAgainOnceItAnnouncesItself(t *testing.T) {
	d := &fakeDriver{incarnation: incarnation, err: ErrOtherWorker}
	r := New(d)
	conn := connect(t, r)
	request := SyncRequest{Term: 1, Incarnation: incarnation, AckedThrough: 4, LeaseUntilMS: 900}
	sync := func() SyncResponse {
		t.Helper()
		var response SyncResponse
		if err := conn.Call(context.Background(), MethodSync, request, &response); err != nil {
			t.Fatal(err)
		}
		return response
	}
	for range 10 { // the agent was restarted, and takes the leader's word until it asks
		if got := sync(); got.Error == "" || got.Runs != nil {
			t.Fatalf("%+v, want an error", got)
		}
	}
	if d.lists != 1 {
		t.Errorf("the worker was asked %d times, want once", d.lists)
	}
	var order OrderResponse
	if err := conn.Call(context.Background(), MethodStart, StartRequest{Term: 1, Incarnation: incarnation}, &order); err != nil ||
		order.Verdict != batch.VerdictOldIncarnation || d.starts != 0 {
		t.Errorf("order %+v, error %v, %d starts", order, err, d.starts)
	}
	d.err = nil
	r.Announce(batch.Worker{Incarnation: incarnation, Sequence: 1})
	if got := sync(); got.Runs == nil || got.Worker == nil || got.Worker.Incarnation != incarnation {
		t.Errorf("%+v, want the worker that has announced itself", got)
	}
}
