package relay

import (
	"context"
	"errors"
	"testing"
	"time"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/rpc"
)

// fakeDriver records the calls to a worker.
type fakeDriver struct {
	incarnation  batch.Incarnation
	ackedThrough int64
	lease        int64
	starts       int
	verdict      batch.Verdict // of starts; empty for VerdictAccepted
	lists        int           // calls of SyncRuns
	waiting      chan struct{} // closed when SyncRuns waits for a run to end; nil if nobody waits for that
	err          error         // of SyncRuns
	ended        []batch.EndedTask
}

func (d *fakeDriver) SyncRuns(ctx context.Context, _ batch.Incarnation, _, ackedThrough, lease int64,
	wait time.Duration) (batch.Runs, error) {
	d.lists++
	if d.err != nil {
		return batch.Runs{}, d.err
	}
	d.ackedThrough, d.lease = ackedThrough, lease
	if wait > 0 {
		if d.waiting != nil {
			close(d.waiting)
		}
		<-ctx.Done()
		return batch.Runs{}, ctx.Err()
	}
	return batch.Runs{Incarnation: d.incarnation, ClockMS: 5, Ended: d.ended}, nil
}

func (d *fakeDriver) TrackLists(func(batch.Incarnation) func(batch.Runs, error)) {}

func (d *fakeDriver) Start(context.Context, StartRequest) (batch.Verdict, error) {
	d.starts++
	if d.verdict != "" {
		return d.verdict, nil
	}
	return batch.VerdictAccepted, nil
}

func (d *fakeDriver) Stop(context.Context, StopRequest) (batch.Verdict, error) {
	return batch.VerdictAccepted, nil
}

var incarnation = batch.Incarnation{ID: "i", StartedMS: 7}

// connect serves a relay on loopback and returns a connection to it.
func connect(t *testing.T, r *Relay) *rpc.Conn {
	t.Helper()
	server, err := rpc.Listen("127.0.0.1:0", nil, r.Handlers(), &rpc.Meter{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	conn, err := rpc.Dial(context.Background(), server.Address(), nil, nil, &rpc.Meter{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(conn.Close)
	return conn
}

// Once an agent has seen a term, it rejects calls of earlier ones: a leader that was suspended must not start work.
func TestStaleTermsAreRejected(t *testing.T) {
	d := &fakeDriver{incarnation: incarnation}
	r := New(d)
	r.Announce(batch.Worker{Incarnation: incarnation, Service: "s", Sequence: 1})
	conn := connect(t, r)
	ctx := context.Background()
	if err := conn.Call(ctx, MethodSync, SyncRequest{Term: 5, Incarnation: incarnation}, &SyncResponse{}); err != nil {
		t.Fatal(err)
	}
	var response OrderResponse
	err := conn.Call(ctx, MethodStart, StartRequest{Term: 4, Incarnation: incarnation}, &response)
	if !IsStaleTerm(err) || d.starts != 0 {
		t.Errorf("error %v, %d starts", err, d.starts)
	}
	if err := conn.Call(ctx, MethodStart, StartRequest{Term: 5, Incarnation: incarnation}, &response); err != nil ||
		response.Verdict != batch.VerdictAccepted {
		t.Errorf("%v %v", response, err)
	}
	if err := conn.Call(ctx, MethodStart, StartRequest{Term: 5, Incarnation: batch.Incarnation{ID: "i", StartedMS: 6}},
		&response); err != nil || response.Verdict != batch.VerdictOldIncarnation {
		t.Errorf("order for another incarnation: %v %v", response, err)
	}
}

// The lease and the acknowledgement of an earlier incarnation of the worker are not passed to the new one, which would
// otherwise discard ended runs that nobody has recorded.
func TestNewIncarnationGetsNoLeaseOrAckOfTheOldOne(t *testing.T) {
	d := &fakeDriver{incarnation: incarnation}
	r := New(d)
	r.Announce(batch.Worker{Incarnation: incarnation, Service: "s", Sequence: 1})
	conn := connect(t, r)
	var response SyncResponse
	old := SyncRequest{Term: 1, Incarnation: batch.Incarnation{ID: "i", StartedMS: 3}, LeaseUntilMS: 900, AckedThrough: 40}
	if err := conn.Call(context.Background(), MethodSync, old, &response); err != nil {
		t.Fatal(err)
	}
	if d.ackedThrough != 0 || d.lease != 0 || response.Worker == nil || response.Worker.Incarnation != incarnation {
		t.Errorf("acknowledged %d, lease %d, response %+v", d.ackedThrough, d.lease, response)
	}
}

// A restarted agent serves the leader before its worker announces itself again. Otherwise the leases of running tasks
// would expire.
func TestRestartedAgentExtendsLeasesAtOnce(t *testing.T) {
	d := &fakeDriver{incarnation: incarnation}
	conn := connect(t, New(d))
	var response SyncResponse
	request := SyncRequest{Term: 1, Incarnation: incarnation, LeaseUntilMS: 900, AckedThrough: 4}
	if err := conn.Call(context.Background(), MethodSync, request, &response); err != nil {
		t.Fatal(err)
	}
	if d.lease != 900 || response.Runs == nil || response.Worker != nil {
		t.Errorf("lease %d, response %+v", d.lease, response)
	}
}

// Announcements of an earlier incarnation, or with an earlier sequence number, do not replace the current one.
func TestStaleAnnouncementsAreIgnored(t *testing.T) {
	r := New(&fakeDriver{incarnation: incarnation})
	conn := connect(t, r)
	announceAndSync := func(w batch.Worker) batch.Worker {
		t.Helper()
		r.Announce(w)
		var response SyncResponse
		if err := conn.Call(context.Background(), MethodSync, SyncRequest{Term: 1}, &response); err != nil {
			t.Fatal(err)
		}
		if response.Worker == nil {
			t.Fatal("no worker is reported")
		}
		return *response.Worker
	}
	announceAndSync(batch.Worker{Incarnation: incarnation, Sequence: 4})
	announceAndSync(batch.Worker{Incarnation: incarnation, Sequence: 3, Leaving: true})
	w := announceAndSync(batch.Worker{Incarnation: batch.Incarnation{ID: "i", StartedMS: 6}, Sequence: 9})
	if w.Incarnation != incarnation || w.Leaving || w.Sequence != 4 {
		t.Errorf("%+v", w)
	}
}

// Guards against a leader that learns of a smaller capacity only with the next report, up to 1.5 s later, and against one
// that takes a worker as crashed because it has announced a change.
func TestCapacityChangeIsReportedAtOnce(t *testing.T) {
	d := &fakeDriver{incarnation: incarnation, waiting: make(chan struct{})}
	r := New(d)
	r.Announce(batch.Worker{Incarnation: incarnation, Sequence: 1, Capacity: batch.Resources{Accelerators: 8}})
	conn := connect(t, r)
	go func() {
		<-d.waiting
		r.Announce(batch.Worker{Incarnation: incarnation, Sequence: 2, Capacity: batch.Resources{Accelerators: 2}})
	}()
	var response SyncResponse
	request := SyncRequest{Term: 1, Incarnation: incarnation, Sequence: 1, WaitMS: 60_000}
	if err := conn.Call(context.Background(), MethodSync, request, &response); err != nil {
		t.Fatal(err)
	}
	if response.Worker == nil || response.Worker.Capacity.Accelerators != 2 || response.Error != "" {
		t.Errorf("response %+v, want the new capacity and no error", response)
	}
}

// Guards against a deregistration that a partition has delayed and that is taken as one of the next incarnation under the
// same id: its runs were started a second time elsewhere (review/1). One without a start time is a claim only, which the
// next announcement refutes.
func TestLateDeregistrationDoesNotEndTheNextIncarnation(t *testing.T) {
	next := batch.Incarnation{ID: incarnation.ID, StartedMS: incarnation.StartedMS + 1}
	d := &fakeDriver{incarnation: incarnation}
	r := New(d)
	conn := connect(t, r)
	sequence := int64(0) // of the announcements
	announce := func(i batch.Incarnation) {
		sequence++
		r.Announce(batch.Worker{Incarnation: i, Sequence: sequence})
	}
	reported := func() SyncResponse {
		t.Helper()
		var response SyncResponse
		if err := conn.Call(context.Background(), MethodSync, SyncRequest{Term: 1}, &response); err != nil {
			t.Fatal(err)
		}
		return response
	}
	announce(incarnation)
	reported()
	d.incarnation = next
	announce(next)
	if got := reported(); got.Worker == nil || got.Worker.Incarnation != next {
		t.Fatalf("worker %+v, want %v", got.Worker, next)
	}
	r.Deregister(incarnation)
	if got := reported(); got.Deregistered != (batch.Incarnation{}) {
		t.Errorf("deregistration of %v reported as one of %v", incarnation, got.Deregistered)
	}
	r.Deregister(batch.Incarnation{ID: "other"})
	if got := reported(); got.Deregistered != (batch.Incarnation{}) {
		t.Errorf("deregistration of another worker reported as one of %v", got.Deregistered)
	}
	r.Deregister(batch.Incarnation{ID: next.ID}) // may be the one of the earlier incarnation
	if got := reported(); got.Deregistered != next || got.NotListening {
		t.Errorf("reported %+v, want an unconfirmed deregistration", got)
	}
	announce(next)
	if got := reported(); got.Deregistered != (batch.Incarnation{}) {
		t.Error("the deregistration is still reported although the worker has announced itself again")
	}
	r.Deregister(next)
	d.err = errors.Join(ErrNotListening, errors.New("connection refused"))
	if got := reported(); got.Deregistered != next || !got.NotListening {
		t.Errorf("reported %+v, want a deregistration and that nothing listens", got)
	}
}

// Guards against the loss of a worker's estimated speed with the leader, and against one of an earlier incarnation.
func TestAgentKeepsTheSpeedOfTheIncarnation(t *testing.T) {
	r := New(&fakeDriver{incarnation: incarnation})
	r.Announce(batch.Worker{Incarnation: incarnation, Sequence: 1})
	conn := connect(t, r)
	sync := func(term int64, s *Speed) *Speed {
		var response SyncResponse
		if err := conn.Call(context.Background(), MethodSync, SyncRequest{Term: term, Speed: s}, &response); err != nil {
			t.Fatal(err)
		}
		return response.Speed
	}
	sync(1, &Speed{Incarnation: incarnation, Factor: 1.6, Confidence: 0.8})
	if s := sync(2, nil); s == nil || s.Factor != 1.6 || s.Confidence != 0.8 {
		t.Errorf("the next leader gets %+v", s)
	}
	sync(2, &Speed{Incarnation: batch.Incarnation{ID: "i", StartedMS: 6}, Factor: 2})
	if s := sync(2, nil); s != nil {
		t.Errorf("the speed of an earlier incarnation is returned: %+v", s)
	}
}

// Guards against a leader that does not learn which workers have refused the starts of the previous one. Refusals of an
// incarnation say nothing of the next one.
func TestRefusalsAreReported(t *testing.T) {
	d := &fakeDriver{incarnation: incarnation, verdict: batch.VerdictRefused}
	r := New(d)
	r.Announce(batch.Worker{Incarnation: incarnation, Service: "s", Sequence: 1})
	conn := connect(t, r)
	refusals := func() int {
		t.Helper()
		var response SyncResponse
		if err := conn.Call(t.Context(), MethodSync, SyncRequest{Term: 1, Incarnation: d.incarnation}, &response); err != nil {
			t.Fatal(err)
		}
		if response.Refusals == nil {
			return 0
		}
		return response.Refusals.Count
	}
	start := func(v batch.Verdict) {
		t.Helper()
		d.verdict = v
		if err := conn.Call(t.Context(), MethodStart, StartRequest{Term: 1, Incarnation: d.incarnation}, &OrderResponse{}); err != nil {
			t.Fatal(err)
		}
	}
	if n := refusals(); n != 0 {
		t.Errorf("%d refusals before the first start", n)
	}
	for _, v := range []batch.Verdict{batch.VerdictRefused, batch.VerdictNoCapacity, batch.VerdictUnknown} {
		start(v)
		if n := refusals(); n != 1 {
			t.Errorf("%d refusals after a start that was answered with %s, want 1", n, v)
		}
		start(batch.VerdictAccepted)
		if n := refusals(); n != 0 {
			t.Errorf("%d refusals after an accepted start", n)
		}
	}
	start(batch.VerdictRefused)
	d.incarnation = batch.Incarnation{ID: incarnation.ID, StartedMS: incarnation.StartedMS + 1}
	r.Announce(batch.Worker{Incarnation: d.incarnation, Service: "s", Sequence: 1})
	if n := refusals(); n != 0 {
		t.Errorf("%d refusals of the next incarnation, want none", n)
	}
}
