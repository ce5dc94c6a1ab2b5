package relay

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/rpc"
)

// endingWorker is a worker whose process ends after it has listed its last ended run. The answer is late: it is on its way
// while the process is gone, or another one has taken its place.
type endingWorker struct {
	fakeDriver
	delay time.Duration // of the answers to calls that wait
	ended chan struct{} // closed when the last run ends

	mu        sync.Mutex
	listening bool
	current   batch.Incarnation
	held      int // calls that wait
}

func (w *endingWorker) SyncRuns(ctx context.Context, i batch.Incarnation, _, _, _ int64, wait time.Duration) (batch.Runs, error) {
	w.mu.Lock()
	listening, current := w.listening, w.current
	if wait > 0 {
		w.held++
	}
	w.mu.Unlock()
	switch {
	case !listening:
		return batch.Runs{}, ErrNotListening
	case i.ID != current.ID:
		return batch.Runs{}, ErrOtherWorker
	case wait == 0:
		return batch.Runs{Incarnation: current}, nil
	}
	select {
	case <-w.ended:
	case <-ctx.Done():
		return batch.Runs{}, ctx.Err()
	}
	select {
	case <-time.After(w.delay):
		return batch.Runs{Incarnation: current, Ended: []batch.EndedTask{lastEnd}}, nil
	case <-ctx.Done():
		return batch.Runs{}, ctx.Err()
	}
}

var lastEnd = batch.EndedTask{Number: 1, Task: batch.TaskID{Job: "00000000000000aa"}, Run: 1, Outcome: batch.OutcomeDone}

// endProcess ends the process after its last run. Another incarnation takes its place if next is not zero.
func (w *endingWorker) endProcess(next batch.Incarnation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.ended)
	w.listening, w.current = next != (batch.Incarnation{}), next
}

func (w *endingWorker) awaitHeldCall() {
	for {
		w.mu.Lock()
		held := w.held
		w.mu.Unlock()
		if held > 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// reportsEnd reports whether a response lists lastEnd.
func reportsEnd(r SyncResponse) bool {
	if r.Runs != nil && slices.Contains(r.Runs.Ended, lastEnd) {
		return true
	}
	return slices.ContainsFunc(r.RetainedEnds, func(e IncarnationEnds) bool {
		return e.Incarnation == incarnation && slices.Contains(e.Ended, lastEnd)
	})
}

// Guards against work that is done again because the answer with a worker's last end was thrown away when the worker
// left, restarted or changed, or when the leader's connection ended (review/7). The leader learns the end before it can
// learn that the worker has gone.
func TestLastEndIsReportedBeforeTheEndOfTheWorker(t *testing.T) {
	none := batch.Incarnation{}
	sameID := batch.Incarnation{ID: incarnation.ID, StartedMS: incarnation.StartedMS + 1}
	otherID := batch.Incarnation{ID: "j", StartedMS: incarnation.StartedMS + 1}
	announce := func(next batch.Incarnation) func(*Relay, *rpc.Conn) {
		return func(r *Relay, _ *rpc.Conn) { r.Announce(batch.Worker{Incarnation: next, Sequence: 1}) }
	}
	for name, c := range map[string]struct {
		next  batch.Incarnation
		event func(*Relay, *rpc.Conn)
	}{
		"leaves":                {none, func(r *Relay, _ *rpc.Conn) { r.Deregister(incarnation) }},
		"leaves and restarts":   {otherID, func(r *Relay, _ *rpc.Conn) { r.Deregister(incarnation); announce(otherID)(r, nil) }},
		"restarts":              {otherID, announce(otherID)},
		"restarts under its id": {sameID, announce(sameID)},
		"announces a change": {none, func(r *Relay, _ *rpc.Conn) {
			r.Announce(batch.Worker{Incarnation: incarnation, Sequence: 2, Leaving: true})
		}},
		"leaves and the leader changes": {none, func(r *Relay, leader *rpc.Conn) { leader.Close(); r.Deregister(incarnation) }},
	} {
		for _, delay := range []time.Duration{0, time.Millisecond, 30 * time.Millisecond, 300 * time.Millisecond} {
			t.Run(fmt.Sprint(name, " ", delay), func(t *testing.T) {
				t.Parallel()
				w := &endingWorker{delay: delay, ended: make(chan struct{}), listening: true, current: incarnation}
				r := New(w)
				r.Announce(batch.Worker{Incarnation: incarnation, Sequence: 1})
				leader := connect(t, r)
				request := SyncRequest{Term: 1, Incarnation: incarnation, Sequence: 1, WaitMS: 1500}
				first := make(chan SyncResponse, 1)
				go func() {
					var response SyncResponse
					_ = leader.Call(context.Background(), MethodSync, request, &response) // fails if the leader changes
					first <- response
				}()
				w.awaitHeldCall()
				w.endProcess(c.next)
				c.event(r, leader)
				response, seen := <-first, false
				leader = connect(t, r)
				for range 100 {
					seen = seen || reportsEnd(response)
					gone := response.NotListening ||
						response.Runs != nil && response.Runs.Incarnation != incarnation && response.Runs.Incarnation != none
					if gone {
						break
					}
					response = SyncResponse{}
					if err := leader.Call(context.Background(), MethodSync, request, &response); err != nil {
						t.Fatal(err)
					}
				}
				if !seen {
					t.Errorf("the end of the worker is reported without its last end: %+v", response)
				}
			})
		}
	}
}

// Guards against ends that are forgotten before a leader has recorded them, and against ones that are reported for ever.
func TestRetainedEndsAreReportedUntilTheyAreAcknowledged(t *testing.T) {
	d := &fakeDriver{incarnation: incarnation, ended: []batch.EndedTask{lastEnd}}
	r := New(d)
	conn := connect(t, r)
	sync := func(req SyncRequest) SyncResponse {
		t.Helper()
		var response SyncResponse
		if err := conn.Call(context.Background(), MethodSync, req, &response); err != nil {
			t.Fatal(err)
		}
		return response
	}
	r.Announce(batch.Worker{Incarnation: incarnation, Sequence: 1})
	if got := sync(SyncRequest{Term: 1, Incarnation: incarnation}); got.Runs == nil || len(got.RetainedEnds) != 0 {
		t.Errorf("%+v, want the ends in the list of the worker only", got)
	}
	d.err = ErrNotListening
	for term := range int64(3) { // the leader changes, and each one polls twice
		for range 2 {
			if got := sync(SyncRequest{Term: 2 + term, Incarnation: incarnation}); !reportsEnd(got) || !got.NotListening {
				t.Fatalf("term %d: %+v, want the end of the worker that is gone", term, got)
			}
		}
	}
	next := batch.Incarnation{ID: "j", StartedMS: 9}
	d.err, d.incarnation, d.ended = nil, next, nil
	r.Announce(batch.Worker{Incarnation: next, Sequence: 1})
	for _, known := range []batch.Incarnation{incarnation, next} {
		got := sync(SyncRequest{Term: 4, Incarnation: known, AckedEnds: []EndAck{{next, 5}}})
		if !reportsEnd(got) || got.Runs == nil || got.Runs.Incarnation != next {
			t.Errorf("%+v, want the end of the earlier incarnation beside the runs of the next", got)
		}
	}
	ack := SyncRequest{Term: 4, Incarnation: next, AckedEnds: []EndAck{{incarnation, lastEnd.Number}}}
	if got := sync(ack); len(got.RetainedEnds) != 0 {
		t.Errorf("%+v, want no ends after the acknowledgement", got)
	}
}

// Guards against memory that grows with each restart of a worker, and against ends that a late answer brings back.
func TestRetainedEndsAreBounded(t *testing.T) {
	var ends retainedEnds
	list := func(i, from, to int64) batch.Runs {
		runs := batch.Runs{Incarnation: batch.Incarnation{ID: "i", StartedMS: i}}
		for n := from; n <= to; n++ {
			runs.Ended = append(runs.Ended, batch.EndedTask{Number: n})
		}
		return runs
	}
	for i := range int64(3 * maxIncarnationsWithEnds) {
		ends.add(list(i, 1, 5))
	}
	newest := int64(3*maxIncarnationsWithEnds) - 1
	if got := ends.unlisted(batch.Incarnation{}); len(got) != maxIncarnationsWithEnds ||
		got[len(got)-1].Incarnation.StartedMS != newest {
		t.Errorf("%+v, want the ends of the last %d incarnations", got, maxIncarnationsWithEnds)
	}
	ends.acknowledge(EndAck{batch.Incarnation{ID: "i", StartedMS: newest}, 4})
	ends.add(list(newest, 1, 7)) // sent before the acknowledgement
	got := ends.unlisted(batch.Incarnation{})
	last := got[len(got)-1].Ended
	if len(last) != 3 || last[0].Number != 5 || last[2].Number != 7 {
		t.Errorf("%+v, want the ends 5 to 7", last)
	}
}
