package relay

import (
	"context"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/batch"
)

// maxIncarnationsWithEnds is the number of incarnations whose ended runs are retained.
const maxIncarnationsWithEnds = 4

// unackedEnds holds the ended runs of one incarnation of the worker, by number.
type unackedEnds struct {
	incarnation  batch.Incarnation
	ackedThrough int64
	ended        []batch.EndedTask
}

// retainedEnds holds the ended runs that the worker has listed and the leader has not acknowledged, for each of its last
// incarnations, the oldest first. The worker itself lists them only for as long as its process lives.
type retainedEnds []*unackedEnds

// of returns the ends of an incarnation, or nil.
func (r retainedEnds) of(incarnation batch.Incarnation) *unackedEnds {
	at := slices.IndexFunc(r, func(e *unackedEnds) bool { return e.incarnation == incarnation })
	if at < 0 {
		return nil
	}
	return r[at]
}

// add retains the ends that an incarnation lists.
func (r *retainedEnds) add(runs batch.Runs) {
	e := r.of(runs.Incarnation)
	if e == nil {
		if len(*r) == maxIncarnationsWithEnds {
			*r = slices.Delete(*r, 0, 1)
		}
		e = &unackedEnds{incarnation: runs.Incarnation}
		*r = append(*r, e)
	}
	last := e.ackedThrough
	if n := len(e.ended); n > 0 {
		last = e.ended[n-1].Number
	}
	for _, x := range runs.Ended {
		if x.Number > last {
			e.ended, last = append(e.ended, x), x.Number
		}
	}
}

// acknowledge drops the ends of an incarnation up to a number.
func (r retainedEnds) acknowledge(ack EndAck) {
	e := r.of(ack.Incarnation)
	if e == nil || ack.Through <= e.ackedThrough {
		return
	}
	e.ackedThrough = ack.Through
	e.ended = slices.DeleteFunc(e.ended, func(x batch.EndedTask) bool { return x.Number <= ack.Through })
}

// unlisted returns the retained ends of all incarnations but the one that lists its own, zero for none.
func (r retainedEnds) unlisted(listing batch.Incarnation) []IncarnationEnds {
	var all []IncarnationEnds
	for _, e := range r {
		if e.incarnation != listing && len(e.ended) > 0 {
			all = append(all, IncarnationEnds{Incarnation: e.incarnation, Ended: slices.Clone(e.ended)})
		}
	}
	return all
}

// runsQuery holds the parameters of Driver.SyncRuns.
type runsQuery struct {
	incarnation                       batch.Incarnation
	fence, ackedThrough, leaseUntilMS int64
	wait                              time.Duration
}

// errInterrupted means that the worker has not answered for as long as the caller of listRuns waits.
var errInterrupted = merry.Sentinel("relay: the worker has not answered yet")

// listRuns calls Driver.SyncRuns and retains the ended runs that the worker lists. It returns errInterrupted as soon as
// interrupt is closed or ctx ends. The call itself goes on: its answer may be the only one that lists the last ends of a
// worker whose process ends.
func (r *Relay) listRuns(ctx context.Context, q runsQuery, interrupt <-chan struct{}) (batch.Runs, error) {
	if ctx.Err() != nil {
		return batch.Runs{}, errInterrupted
	}
	type answer struct {
		runs batch.Runs
		err  error
	}
	answered := make(chan answer, 1)
	end := r.beginCall(q.incarnation)
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), q.wait+syncRunsMargin)
	go func() {
		defer cancel()
		runs, err := r.driver.SyncRuns(callCtx, q.incarnation, q.fence, q.ackedThrough, q.leaseUntilMS, q.wait)
		end(runs, err)
		answered <- answer{runs, err}
	}()
	select {
	case a := <-answered:
		return a.runs, a.err
	case <-interrupt:
	case <-ctx.Done():
	}
	return batch.Runs{}, errInterrupted
}

// beginCall begins a call that lists the runs and is addressed to an incarnation. The function that it returns ends the
// call and retains the ended runs that the worker has listed.
func (r *Relay) beginCall(incarnation batch.Incarnation) func(batch.Runs, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.openCalls[incarnation]++
	return func(runs batch.Runs, err error) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if err == nil {
			r.ends.add(runs)
		}
		if r.openCalls[incarnation]--; r.openCalls[incarnation] == 0 {
			delete(r.openCalls, incarnation)
		}
		close(r.callEnded)
		r.callEnded = make(chan struct{})
	}
}

// awaitAnswers waits until all calls that list runs and are addressed to other incarnations than the one that lists its
// runs now, zero for none, are answered or have failed. It returns false if ctx ends before that.
func (r *Relay) awaitAnswers(ctx context.Context, listing batch.Incarnation) bool {
	for {
		r.mu.Lock()
		open, ended := len(r.openCalls), r.callEnded
		if r.openCalls[listing] > 0 {
			open--
		}
		r.mu.Unlock()
		if open == 0 {
			return true
		}
		select {
		case <-ended:
		case <-ctx.Done():
			klog.InfoS("Earlier calls to the worker are not answered yet", "incarnations", open, "listing", listing)
			return false
		}
	}
}
