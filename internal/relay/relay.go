package relay

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/rpc"
)

// Driver speaks to the worker.
type Driver interface {
	// SyncRuns extends the lease of what runs and returns the runs. It waits for an end for at most wait. leaseUntilMS
	// zero extends nothing.
	SyncRuns(ctx context.Context, life batch.Incarnation, fence, forget, leaseUntilMS int64, wait time.Duration) (batch.Runs, error)
	// Start starts a run. An error comes with the verdict Unknown.
	Start(ctx context.Context, r StartRequest) (batch.Verdict, error)
	// Stop stops a run.
	Stop(ctx context.Context, r StopRequest) (batch.Verdict, error)
}

const (
	// orderTimeout bounds one order. The worker is on the same machine and answers within a millisecond.
	orderTimeout = 400 * time.Millisecond
	// runsSlack is what an answer about the runs may take beyond its wait.
	runsSlack = 600 * time.Millisecond
)

// Relay is the agent of one worker.
type Relay struct {
	driver Driver

	mu     sync.Mutex
	term   int64
	worker *batch.Worker
	left   batch.Incarnation // the last life that announced its end
	news   chan struct{}
}

// New returns the agent of the worker that the driver reaches.
func New(driver Driver) *Relay {
	return &Relay{driver: driver, news: make(chan struct{})}
}

// Handlers returns the methods that the relay serves.
func (r *Relay) Handlers() rpc.Handlers {
	return rpc.Handlers{
		MethodSync:  rpc.Method(r.sync),
		MethodStart: rpc.Method(r.start),
		MethodStop:  rpc.Method(r.stop),
	}
}

// Announce takes what the worker says of itself. Announcements of an earlier life, and late ones, are ignored.
func (r *Relay) Announce(w batch.Worker) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if k := r.worker; k != nil {
		if w.Incarnation.StartedMS < k.Incarnation.StartedMS || w.Incarnation == k.Incarnation && w.Sequence <= k.Sequence {
			klog.V(1).InfoS("Ignored late announcement", "worker", w.Incarnation, "sequence", w.Sequence,
				"known", k.Incarnation, "knownSequence", k.Sequence)
			return
		}
		if w.Incarnation != k.Incarnation || w.Leaving != k.Leaving {
			klog.InfoS("Worker changed", "worker", w.Incarnation, "before", k.Incarnation, "leaving", w.Leaving,
				"sequence", w.Sequence)
			r.wake()
		}
	} else {
		klog.InfoS("Worker announced", "worker", w.Incarnation, "service", w.Service, "rack", w.Rack, "capacity", w.Capacity)
		r.wake()
	}
	r.worker = &w
}

// Deregister takes the announcement that the worker with the id ends.
func (r *Relay) Deregister(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.worker == nil || r.worker.Incarnation.ID != id {
		klog.InfoS("Ignored end of an unknown worker", "id", id)
		return
	}
	klog.InfoS("Worker left", "worker", r.worker.Incarnation)
	r.left = r.worker.Incarnation
	r.wake()
}

// wake makes waiting answers return. The mutex is held.
func (r *Relay) wake() {
	close(r.news)
	r.news = make(chan struct{})
}

// admit lets calls of the newest term through.
func (r *Relay) admit(term int64, conn *rpc.Conn) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if term < r.term {
		return &jsonrpc2.Error{Code: codeSuperseded, Message: fmt.Sprintf("term %d, now %d", term, r.term)}
	}
	if term > r.term {
		klog.InfoS("New leader", "term", term, "before", r.term, "remote", conn.RemoteAddress())
		r.term = term
	}
	return nil
}

func (r *Relay) sync(ctx context.Context, conn *rpc.Conn, req SyncRequest) (SyncResponse, error) {
	if err := r.admit(req.Term, conn); err != nil {
		return SyncResponse{}, err
	}
	r.mu.Lock()
	news := r.news
	known := r.worker
	r.mu.Unlock()
	wait := time.Duration(req.WaitMS) * time.Millisecond
	life := req.Incarnation // an agent that has just started learns the life of its worker from the leader first
	if known != nil {
		life = known.Incarnation
	}
	if life == (batch.Incarnation{}) {
		return SyncResponse{Error: "the worker has not announced itself"}, nil
	}
	if life != req.Incarnation {
		wait = 0
	}
	runs, err := r.runs(ctx, req, life, wait, news)
	response := SyncResponse{}
	if err != nil {
		response.Error = err.Error()
	} else {
		response.Runs = &runs
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.worker != nil {
		if r.worker.Incarnation != req.Incarnation || r.worker.Sequence > req.Sequence {
			response.Worker = r.worker
		}
		response.Deregistered = r.left == r.worker.Incarnation
	}
	return response, nil
}

// runs asks the worker for its runs. News of the worker itself end the wait.
func (r *Relay) runs(ctx context.Context, req SyncRequest, life batch.Incarnation, wait time.Duration, news <-chan struct{}) (
	batch.Runs, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+runsSlack)
	defer cancel()
	if life != req.Incarnation {
		return r.driver.SyncRuns(ctx, life, req.Fence, 0, 0, 0)
	}
	if wait > 0 {
		stop := make(chan struct{})
		defer close(stop)
		go func() {
			select {
			case <-news:
				cancel()
			case <-stop:
			}
		}()
	}
	runs, err := r.driver.SyncRuns(ctx, life, req.Fence, req.AckedThrough, req.LeaseUntilMS, wait)
	if err == nil && runs.Incarnation != life {
		klog.InfoS("Worker answered for another life", "worker", runs.Incarnation, "known", life)
	}
	return runs, err
}

func (r *Relay) start(ctx context.Context, conn *rpc.Conn, req StartRequest) (OrderResponse, error) {
	return r.order(ctx, conn, req.Term, req.Incarnation, func(ctx context.Context) (batch.Verdict, error) {
		return r.driver.Start(ctx, req)
	})
}

func (r *Relay) stop(ctx context.Context, conn *rpc.Conn, req StopRequest) (OrderResponse, error) {
	return r.order(ctx, conn, req.Term, req.Incarnation, func(ctx context.Context) (batch.Verdict, error) {
		return r.driver.Stop(ctx, req)
	})
}

// order carries out an order of the newest term that is meant for the present life of the worker.
func (r *Relay) order(ctx context.Context, conn *rpc.Conn, term int64, life batch.Incarnation,
	carryOut func(context.Context) (batch.Verdict, error)) (OrderResponse, error) {
	if err := r.admit(term, conn); err != nil {
		return OrderResponse{}, err
	}
	if !r.alive(life) {
		return OrderResponse{Verdict: batch.VerdictOldIncarnation}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	verdict, err := carryOut(ctx)
	response := OrderResponse{Verdict: verdict}
	if err != nil {
		response.Error = err.Error()
	}
	return response, nil
}

func (r *Relay) alive(life batch.Incarnation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.worker == nil || r.worker.Incarnation == life
}
