package routing

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/protocol"
)

// fakeDispatcher is a Dispatcher whose agents have 4 slots each. Every twentieth dispatch starts but ends with an
// error, and forwards are never sent.
type fakeDispatcher struct {
	mu      sync.Mutex
	calls   int
	running map[string]int
	started map[string]int // by request
}

func (f *fakeDispatcher) Dispatch(
	ctx context.Context, agent string, a protocol.DispatchArgs,
) (protocol.DispatchReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if f.running[agent] >= 4 {
		return protocol.DispatchReply{DispatchID: a.DispatchID, Refused: true}, nil
	}
	f.started[a.Request.Key.ID]++
	if f.calls%20 == 0 {
		return protocol.DispatchReply{}, errors.New("connection reset")
	}
	f.running[agent]++
	f.mu.Unlock()
	running, cancel := context.WithTimeout(ctx, 30*time.Millisecond)
	<-running.Done()
	cancel()
	f.mu.Lock()
	f.running[agent]--
	o := model.Outcome{Result: model.ResultDone, Ran: true, Output: json.RawMessage(`"` + a.Request.Key.ID + `"`)}
	return protocol.DispatchReply{DispatchID: a.DispatchID, Free: 4 - f.running[agent], Outcome: o}, ctx.Err()
}

func (f *fakeDispatcher) Forward(context.Context, string, protocol.ForwardArgs) (protocol.ForwardReply, error) {
	return protocol.ForwardReply{}, fmt.Errorf("no session: %w", ErrNotSent)
}

func startRouter() (*Router, *fakeDispatcher) {
	f := &fakeDispatcher{running: map[string]int{}, started: map[string]int{}}
	r := New(Options{Entry: "entry-1", Region: "riga", Cell: "riga", MaxQueue: 500, Dispatcher: f, HedgeUrgent: true,
		RuleFor: func(kind string) model.Rule { return simRules[kind] }})
	for _, id := range []string{"a", "b", "c"} {
		u := protocol.Identity{
			Agent: id, Kind: protocol.KindExecutor, Service: simService, Region: "riga", Cell: "riga", Units: 4,
		}
		r.UpdateUpstream(u, 4, 0, false)
	}
	r.UpdatePeer(simGossip("entry-2", "liepaja", 9))
	return r, f
}

func simRequest(id, kind string) model.Request {
	return model.Request{Key: model.JobKey{Team: "t", ID: id}, Kind: kind, Service: simService, Timeout: time.Second}
}

// submitAll has n callers submit one request each and checks their outcomes. Wait returns the number of each result.
func submitAll(
	t *testing.T, n int, f *fakeDispatcher, submit func(i int, r model.Request) model.Outcome,
) (wait func() map[model.Result]int) {
	var callers sync.WaitGroup
	results := map[model.Result]int{}
	for i := range n {
		callers.Go(func() {
			id := fmt.Sprintf("r%d", i)
			o := submit(i, simRequest(id, []string{"inspector-check", "fit", "plan"}[i%3]))
			f.mu.Lock()
			defer f.mu.Unlock()
			results[o.Result]++
			ran := f.started[id] > 0
			if o.Result == model.ResultDone && string(o.Output) != `"`+id+`"` ||
				ran && (!o.Ran || o.Result == model.ResultRefused) {
				t.Errorf("%s started %d times: %+v", id, f.started[id], o)
			}
		})
	}
	return func() map[model.Result]int { callers.Wait(); return results }
}

// Guards against replies that reach the wrong caller, against a drain that loses accepted requests, against goroutines
// that outlive Close, and against attempts without a log line.
func TestRouterRepliesToEveryCallerAndDrains(t *testing.T) {
	var logged bytes.Buffer
	klog.LogToStderr(false)
	klog.SetOutput(&logged)
	synctest.Test(t, func(t *testing.T) {
		r, dispatcher := startRouter()
		wait := submitAll(t, 300, dispatcher, func(i int, req model.Request) model.Outcome {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if i%10 == 0 {
				time.AfterFunc(time.Duration(i)*time.Millisecond, cancel)
			}
			return r.Submit(ctx, req)
		})
		time.Sleep(100 * time.Millisecond)
		if err := r.Drain(t.Context()); err != nil {
			t.Errorf("drain: %v", err)
		}
		if results := wait(); results[model.ResultDone] < 250 || results[model.ResultRefused] > 0 {
			t.Errorf("outcomes %v of accepted requests", results)
		}
		if o := r.Submit(t.Context(), simRequest("late", "fit")); o.Result != model.ResultRefused || o.Ran {
			t.Errorf("after the drain: %+v", o)
		}
		r.Close()
		klog.Flush()
		m := r.state.metrics
		if n := int64(strings.Count(logged.String(), `"Routed request"`)); n != m.dispatches.total+m.forwards.total {
			t.Errorf("%d log lines for %d dispatches and %d forwards", n, m.dispatches.total, m.forwards.total)
		}
	})
}

// Guards against callers that hang or get an inaccurate outcome when the router is closed while they wait.
func TestCloseEndsEveryCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, dispatcher := startRouter()
		wait := submitAll(t, 50, dispatcher, func(_ int, req model.Request) model.Outcome {
			return r.SubmitForwarded(t.Context(), req)
		})
		synctest.Wait()
		cancelled, cancel := context.WithCancel(t.Context())
		cancel()
		if err := r.Drain(cancelled); !errors.Is(err, context.Canceled) {
			t.Errorf("drain ended with %v", err)
		}
		r.Close()
		r.Close()
		wait()
		if o := r.Submit(t.Context(), simRequest("late", "fit")); o.Result != model.ResultRefused || r.Loads() != nil {
			t.Errorf("after the close: %+v, loads %v", o, r.Loads())
		}
	})
}
