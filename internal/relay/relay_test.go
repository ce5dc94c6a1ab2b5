package relay

import (
	"context"
	"testing"
	"time"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/rpc"
)

// driverStandIn is a worker that records what it is asked.
type driverStandIn struct {
	life   batch.Incarnation
	forget int64
	lease  int64
	starts int
}

func (d *driverStandIn) SyncRuns(_ context.Context, _ batch.Incarnation, _, forget, lease int64, _ time.Duration) (batch.Runs, error) {
	d.forget, d.lease = forget, lease
	return batch.Runs{Incarnation: d.life, ClockMS: 5}, nil
}

func (d *driverStandIn) Start(context.Context, StartRequest) (batch.Verdict, error) {
	d.starts++
	return batch.VerdictAccepted, nil
}

func (d *driverStandIn) Stop(context.Context, StopRequest) (batch.Verdict, error) {
	return batch.VerdictAccepted, nil
}

var life = batch.Incarnation{ID: "i", StartedMS: 7}

// connect serves a relay on loopback.
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

// Once an agent has heard of a leader, it obeys none before: a leader that was frozen must not start work.
func TestOldTermsAreRefused(t *testing.T) {
	d := &driverStandIn{life: life}
	r := New(d)
	r.Announce(batch.Worker{Incarnation: life, Service: "s", Sequence: 1})
	conn := connect(t, r)
	ctx := context.Background()
	if err := conn.Call(ctx, MethodSync, SyncRequest{Term: 5, Incarnation: life}, &SyncResponse{}); err != nil {
		t.Fatal(err)
	}
	var answer OrderResponse
	err := conn.Call(ctx, MethodStart, StartRequest{Term: 4, Incarnation: life}, &answer)
	if !IsStaleTerm(err) || d.starts != 0 {
		t.Errorf("error %v, %d starts", err, d.starts)
	}
	if err := conn.Call(ctx, MethodStart, StartRequest{Term: 5, Incarnation: life}, &answer); err != nil || answer.Verdict != batch.VerdictAccepted {
		t.Errorf("%v %v", answer, err)
	}
	if err := conn.Call(ctx, MethodStart, StartRequest{Term: 5, Incarnation: batch.Incarnation{ID: "i", StartedMS: 6}}, &answer); err != nil || answer.Verdict != batch.VerdictOldIncarnation {
		t.Errorf("order for another life: %v %v", answer, err)
	}
}

// A new life of the worker gets neither the lease nor the mark of recorded ends of the one before: it would forget ends
// that nobody has recorded.
func TestNewLifeGetsNothingOfTheOldOne(t *testing.T) {
	d := &driverStandIn{life: life}
	r := New(d)
	r.Announce(batch.Worker{Incarnation: life, Service: "s", Sequence: 1})
	conn := connect(t, r)
	var answer SyncResponse
	old := SyncRequest{Term: 1, Incarnation: batch.Incarnation{ID: "i", StartedMS: 3}, LeaseUntilMS: 900, AckedThrough: 40}
	if err := conn.Call(context.Background(), MethodSync, old, &answer); err != nil {
		t.Fatal(err)
	}
	if d.forget != 0 || d.lease != 0 || answer.Worker == nil || answer.Worker.Incarnation != life {
		t.Errorf("forget %d, lease %d, answer %+v", d.forget, d.lease, answer)
	}
}

// An agent that has just started serves the leader before its worker announces itself again: work under a lease would
// lapse otherwise.
func TestRestartedAgentExtendsLeasesAtOnce(t *testing.T) {
	d := &driverStandIn{life: life}
	conn := connect(t, New(d))
	var answer SyncResponse
	request := SyncRequest{Term: 1, Incarnation: life, LeaseUntilMS: 900, AckedThrough: 4}
	if err := conn.Call(context.Background(), MethodSync, request, &answer); err != nil {
		t.Fatal(err)
	}
	if d.lease != 900 || answer.Runs == nil || answer.Worker != nil {
		t.Errorf("lease %d, answer %+v", d.lease, answer)
	}
}

// A late announcement of an earlier life does not replace the present one.
func TestLateAnnouncementsAreIgnored(t *testing.T) {
	r := New(&driverStandIn{})
	r.Announce(batch.Worker{Incarnation: life, Sequence: 4})
	r.Announce(batch.Worker{Incarnation: life, Sequence: 3, Leaving: true})
	r.Announce(batch.Worker{Incarnation: batch.Incarnation{ID: "i", StartedMS: 6}, Sequence: 9})
	if w := r.worker; w.Incarnation != life || w.Leaving || w.Sequence != 4 {
		t.Errorf("%+v", w)
	}
}
