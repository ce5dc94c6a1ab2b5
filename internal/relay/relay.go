package relay

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/jsonrpc2"
	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/boottime"
	"masticcart.example/masticcart/internal/refusal"
	"masticcart.example/masticcart/internal/rpc"
)

// Driver is the client of the worker process. Its calls reach no other incarnation than the one that they are addressed to,
// for as long as a restarted worker does not answer on the connections of the one before.
type Driver interface {
	// SyncRuns extends the lease of the running tasks, acknowledges ended runs up to the number ackedThrough, and
	// returns the runs. It waits at most wait for a run to end. leaseUntilMS is on the worker's clock; zero extends
	// nothing. The error wraps ErrNotListening if the worker's address refuses connections, and ErrOtherWorker if another
	// incarnation answers.
	SyncRuns(ctx context.Context, incarnation batch.Incarnation, fence, ackedThrough, leaseUntilMS int64,
		wait time.Duration) (batch.Runs, error)
	// Start starts a run. An error comes with batch.VerdictUnknown, or with batch.VerdictRefused if the worker has
	// certainly not executed the order.
	Start(ctx context.Context, r StartRequest) (batch.Verdict, error)
	// Stop stops a run. Its verdict and error are like those of Start.
	Stop(ctx context.Context, r StopRequest) (batch.Verdict, error)
	// TrackLists sets a function that is called before each call by which the driver itself lists the runs. The function
	// that it returns is called with the result. It is called once, before all other methods.
	TrackLists(begin func(batch.Incarnation) (end func(batch.Runs, error)))
}

// Errors of Driver.SyncRuns.
var (
	// ErrNotListening means that no process listens at the worker's address.
	ErrNotListening = merry.Sentinel("relay: the worker does not listen")
	// ErrOtherWorker means that another incarnation answers.
	ErrOtherWorker = merry.Sentinel("relay: another worker answers")
)

const (
	// orderTimeout bounds the execution of one order. The worker is on the same machine and answers within a
	// millisecond.
	orderTimeout = 400 * time.Millisecond
	// syncRunsMargin is how long a call of SyncRuns may take in addition to its wait.
	syncRunsMargin = 600 * time.Millisecond
	// syncMargin is how long a sync call may take in addition to its wait. The leader allows 200 ms more.
	syncMargin = time.Second
	// confirmTimeout bounds the calls by which announced incarnations are confirmed. A sync call may confirm twice.
	confirmTimeout = 200 * time.Millisecond
	// maxUnconfirmed is the number of incarnations whose announcements wait for their confirmation.
	maxUnconfirmed = 4
)

// Relay forwards calls between the leader and one worker.
type Relay struct {
	driver Driver

	mu            sync.Mutex
	term          int64             // the newest term seen
	worker        *batch.Worker     // the last announcement of the incarnation that has answered; nil before that
	unconfirmed   []*batch.Worker   // announcements of incarnations that have not answered, the newest last
	deregistered  batch.Incarnation // has announced its end and not announced itself since; zero for none
	speed         *Speed            // the last estimate of a leader; nil for none
	refusals      refusal.History   // of starts by the incarnation refusedBy
	refusedBy     batch.Incarnation // zero for none
	workerChanged chan struct{}     // closed and replaced when the worker restarts, leaves or changes its capacity
	// replaced is an incarnation instead of which another one has answered, which has not been confirmed; zero for none.
	replaced  batch.Incarnation
	ends      retainedEnds
	openCalls map[batch.Incarnation]int // calls in progress that list runs, by the incarnation that they are addressed to
	callEnded chan struct{}             // closed and replaced when one of them ends
}

// New returns the relay of the worker behind the driver.
func New(driver Driver) *Relay {
	r := &Relay{driver: driver, workerChanged: make(chan struct{}), openCalls: map[batch.Incarnation]int{},
		callEnded: make(chan struct{})}
	driver.TrackLists(r.beginCall)
	return r
}

// Handlers returns the RPC methods that the relay serves to the leader.
func (r *Relay) Handlers() rpc.Handlers {
	return rpc.Handlers{
		MethodSync:  rpc.Method(r.sync),
		MethodStart: rpc.Method(r.start),
		MethodStop:  rpc.Method(r.stop),
	}
}

// Announce records an announcement. One of an incarnation that has not answered may be a delayed one of an earlier
// incarnation or come from another program: it replaces the known worker only once the incarnation has answered.
// Announcements that are not newer than the recorded one of the same incarnation are ignored.
func (r *Relay) Announce(w batch.Worker) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.worker
	if r.replaced == w.Incarnation {
		r.replaced = batch.Incarnation{}
	}
	if known == nil || w.Incarnation != known.Incarnation {
		r.awaitConfirmation(&w)
		return
	}
	if w.Sequence <= known.Sequence {
		klog.V(1).InfoS("Ignored stale announcement", "worker", w.Incarnation, "sequence", w.Sequence,
			"knownSequence", known.Sequence)
		return
	}
	if w.Leaving != known.Leaving || w.Capacity != known.Capacity {
		klog.InfoS("Worker's leaving state or capacity changed", "worker", w.Incarnation, "leaving", w.Leaving,
			"capacity", w.Capacity, "capacityBefore", known.Capacity, "sequence", w.Sequence)
		r.notifyWaiters()
	}
	if r.deregistered == w.Incarnation {
		klog.InfoS("Worker announced itself after its deregistration", "worker", w.Incarnation, "sequence", w.Sequence)
		r.deregistered = batch.Incarnation{}
	}
	r.worker = &w
}

// awaitConfirmation adds an announcement to the unconfirmed ones, or replaces the one of the same incarnation. The caller
// holds the mutex.
func (r *Relay) awaitConfirmation(w *batch.Worker) {
	at := slices.IndexFunc(r.unconfirmed, func(o *batch.Worker) bool { return o.Incarnation == w.Incarnation })
	if at >= 0 {
		if w.Sequence <= r.unconfirmed[at].Sequence {
			return
		}
		r.unconfirmed = slices.Delete(r.unconfirmed, at, at+1)
	}
	if len(r.unconfirmed) == maxUnconfirmed {
		r.unconfirmed = slices.Delete(r.unconfirmed, 0, 1)
	}
	r.unconfirmed = append(r.unconfirmed, w)
	r.notifyWaiters()
}

// confirmWorker asks the worker which of the unconfirmed incarnations it is, the last one first. Those that it is not are
// dropped, the others stay until it answers.
func (r *Relay) confirmWorker(ctx context.Context, fence int64) {
	r.mu.Lock()
	unconfirmed := slices.Clone(r.unconfirmed)
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	for _, w := range slices.Backward(unconfirmed) {
		runs, err := r.listRuns(ctx, runsQuery{incarnation: w.Incarnation, fence: fence}, nil)
		switch {
		case errors.Is(err, ErrOtherWorker), err == nil && runs.Incarnation != w.Incarnation:
			klog.InfoS("Dropped announcement of an incarnation that is not the worker", "worker", w.Incarnation,
				"service", w.Service, "answered", runs.Incarnation, "err", err)
			r.resolve(w.Incarnation, false)
		case err == nil:
			r.resolve(w.Incarnation, true)
		default:
			klog.V(1).InfoS("Announced incarnation does not answer", "worker", w.Incarnation, "err", err)
		}
	}
}

// resolve removes the announcement of an incarnation from the unconfirmed ones. If the incarnation is the worker, the
// announcement becomes that of the worker.
func (r *Relay) resolve(incarnation batch.Incarnation, isWorker bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := slices.IndexFunc(r.unconfirmed, func(o *batch.Worker) bool { return o.Incarnation == incarnation })
	if at < 0 {
		return
	}
	w := r.unconfirmed[at]
	r.unconfirmed = slices.Delete(r.unconfirmed, at, at+1)
	if !isWorker {
		return
	}
	before := batch.Incarnation{}
	if r.worker != nil {
		before = r.worker.Incarnation
	}
	klog.InfoS("Worker identified", "worker", w.Incarnation, "before", before, "service", w.Service, "rack", w.Rack,
		"capacity", w.Capacity, "leaving", w.Leaving)
	r.worker, r.deregistered = w, batch.Incarnation{}
}

// Deregister records that an incarnation of the worker has announced its end. Without a start time the message may be a
// delayed one of an earlier incarnation: it is taken as one of the current incarnation until that announces itself again.
func (r *Relay) Deregister(incarnation batch.Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.worker == nil || r.worker.Incarnation.ID != incarnation.ID ||
		incarnation.StartedMS != 0 && r.worker.Incarnation != incarnation {
		klog.InfoS("Ignored deregistration of another worker or incarnation", "worker", incarnation)
		return
	}
	klog.InfoS("Worker deregistered", "worker", r.worker.Incarnation)
	r.deregistered = r.worker.Incarnation
	r.notifyWaiters()
}

// notifyWaiters ends the waits of the sync calls in progress. The caller holds the mutex.
func (r *Relay) notifyWaiters() {
	close(r.workerChanged)
	r.workerChanged = make(chan struct{})
}

// checkTerm records the term of a call and returns an error if a later term has been seen.
func (r *Relay) checkTerm(term int64, conn *rpc.Conn) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if term < r.term {
		return &jsonrpc2.Error{Code: codeStaleTerm, Message: fmt.Sprintf("term %d, now %d", term, r.term)}
	}
	if term > r.term {
		klog.InfoS("Accepted a newer term", "term", term, "before", r.term, "remote", conn.RemoteAddress())
		r.term = term
	}
	return nil
}

// sync answers a SyncRequest with the worker's runs and, if it is new to the leader, the worker's last announcement.
func (r *Relay) sync(ctx context.Context, conn *rpc.Conn, req SyncRequest) (SyncResponse, error) {
	if err := r.checkTerm(req.Term, conn); err != nil {
		return SyncResponse{}, err
	}
	r.mu.Lock()
	if req.Speed != nil {
		r.speed = req.Speed
	}
	for _, ack := range append(req.AckedEnds, EndAck{req.Incarnation, req.AckedThrough}) {
		r.ends.acknowledge(ack)
	}
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.WaitMS)*time.Millisecond+syncMargin)
	defer cancel()
	runs, err := r.syncRuns(ctx, req)
	// On learning that an incarnation has ended, the leader takes its runs as lost, except those whose ends are reported.
	if (err == nil || errors.Is(err, ErrNotListening)) && !r.awaitAnswers(ctx, runs.Incarnation) {
		runs, err = batch.Runs{}, errInterrupted
	}
	return r.response(req, runs, err), nil
}

// response returns the response to a SyncRequest with the result of syncRuns.
func (r *Relay) response(req SyncRequest, runs batch.Runs, err error) SyncResponse {
	r.mu.Lock()
	defer r.mu.Unlock()
	response := SyncResponse{RetainedEnds: r.ends.unlisted(runs.Incarnation)}
	if err != nil {
		response.Error, response.NotListening = err.Error(), errors.Is(err, ErrNotListening)
	} else {
		response.Runs = &runs
		if s, refusing := r.refusals.Summary(boottime.Now()); refusing && runs.Incarnation == r.refusedBy {
			response.Refusals = &s
		}
	}
	if r.worker != nil {
		if r.worker.Incarnation != req.Incarnation || r.worker.Sequence > req.Sequence {
			response.Worker = r.worker
		}
		response.Deregistered = r.deregistered
		if r.speed != nil && r.speed.Incarnation == r.worker.Incarnation {
			response.Speed = r.speed
		}
	}
	return response
}

// errNotAnnounced means that neither the worker nor the leader has named an incarnation.
var errNotAnnounced = merry.Sentinel("relay: the worker has not announced itself")

// syncRuns asks the worker for its runs. A wait for a run to end is cut short when the worker changes; the worker is then
// asked again without a wait.
func (r *Relay) syncRuns(ctx context.Context, req SyncRequest) (batch.Runs, error) {
	r.mu.Lock()
	workerChanged := r.workerChanged
	r.mu.Unlock()
	incarnation := r.identifyWorker(ctx, req)
	if incarnation == (batch.Incarnation{}) {
		return batch.Runs{}, errNotAnnounced
	}
	if r.isReplaced(incarnation) {
		return batch.Runs{}, ErrOtherWorker
	}
	query := r.queryFor(incarnation, req)
	if incarnation != req.Incarnation {
		return r.listRuns(ctx, query, nil)
	}
	waiting := query
	if waiting.wait = time.Duration(req.WaitMS) * time.Millisecond; waiting.wait == 0 {
		workerChanged = nil
	}
	runs, err := r.listRuns(ctx, waiting, workerChanged)
	if errors.Is(err, errInterrupted) && ctx.Err() == nil {
		query = r.queryFor(r.identifyWorker(ctx, req), req)
		runs, err = r.listRuns(ctx, query, nil)
	}
	if errors.Is(err, ErrOtherWorker) {
		r.noteReplaced(query.incarnation)
	}
	if err == nil && runs.Incarnation != query.incarnation {
		klog.InfoS("Worker answered as another incarnation", "worker", runs.Incarnation, "known", query.incarnation)
	}
	return runs, err
}

// noteReplaced records that another incarnation answers instead of one. Nothing is sent to that one any more, unless it
// announces itself: each attempt would take a new connection.
func (r *Relay) noteReplaced(incarnation batch.Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.replaced != incarnation {
		klog.InfoS("Another incarnation answers instead of the worker", "worker", incarnation)
		r.replaced = incarnation
	}
}

func (r *Relay) isReplaced(incarnation batch.Incarnation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.replaced == incarnation
}

// queryFor returns the query to an incarnation, without a wait. Only the incarnation that the leader knows gets the
// acknowledgement and the lease.
func (r *Relay) queryFor(incarnation batch.Incarnation, req SyncRequest) runsQuery {
	q := runsQuery{incarnation: incarnation, fence: req.Fence}
	if incarnation == req.Incarnation {
		q.ackedThrough, q.leaseUntilMS = req.AckedThrough, req.LeaseUntilMS
	}
	return q
}

// identifyWorker returns the incarnation that the worker was last confirmed to be. A restarted agent takes the leader's
// until the worker announces itself.
func (r *Relay) identifyWorker(ctx context.Context, req SyncRequest) batch.Incarnation {
	r.confirmWorker(ctx, req.Fence)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.worker == nil {
		return req.Incarnation
	}
	return r.worker.Incarnation
}

func (r *Relay) start(ctx context.Context, conn *rpc.Conn, req StartRequest) (OrderResponse, error) {
	return r.executeOrder(ctx, conn, req.Term, req.Incarnation, func(ctx context.Context) (batch.Verdict, error) {
		verdict, err := r.driver.Start(ctx, req)
		r.noteStart(req.Incarnation, verdict)
		return verdict, err
	})
}

// noteStart records how an incarnation of the worker has answered a start, for the next leader.
func (r *Relay) noteStart(incarnation batch.Incarnation, verdict batch.Verdict) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.refusedBy != incarnation {
		r.refusals, r.refusedBy = refusal.History{}, incarnation
	}
	switch verdict {
	case batch.VerdictAccepted:
		r.refusals.Accept()
	case batch.VerdictStale, batch.VerdictOldIncarnation:
	default:
		r.refusals.Refuse(boottime.Now())
	}
}

func (r *Relay) stop(ctx context.Context, conn *rpc.Conn, req StopRequest) (OrderResponse, error) {
	return r.executeOrder(ctx, conn, req.Term, req.Incarnation, func(ctx context.Context) (batch.Verdict, error) {
		return r.driver.Stop(ctx, req)
	})
}

// executeOrder executes an order if it is of the newest term and meant for the current incarnation of the worker.
func (r *Relay) executeOrder(ctx context.Context, conn *rpc.Conn, term int64, incarnation batch.Incarnation,
	execute func(context.Context) (batch.Verdict, error)) (OrderResponse, error) {
	if err := r.checkTerm(term, conn); err != nil {
		return OrderResponse{}, err
	}
	if verdict, problem := r.checkIncarnation(incarnation); problem != "" {
		return OrderResponse{Verdict: verdict, Error: problem}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	verdict, err := execute(ctx)
	response := OrderResponse{Verdict: verdict}
	if err != nil {
		response.Error = err.Error()
	}
	return response, nil
}

// checkIncarnation returns why an order for an incarnation cannot be passed to the worker, with the verdict, or an empty
// string. An unconfirmed restart under the same id holds up orders.
func (r *Relay) checkIncarnation(incarnation batch.Incarnation) (verdict batch.Verdict, problem string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.worker != nil && r.worker.Incarnation != incarnation || r.replaced == incarnation {
		return batch.VerdictOldIncarnation, "the worker has started again"
	}
	for _, w := range r.unconfirmed {
		if w.Incarnation.ID == incarnation.ID && w.Incarnation != incarnation {
			return batch.VerdictRefused, "the worker may have started again"
		}
	}
	return "", ""
}
