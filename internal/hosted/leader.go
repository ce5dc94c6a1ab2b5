package hosted

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/election"
	"masticcart.example/masticcart/internal/intake"
	"masticcart.example/masticcart/internal/kvstore"
	"masticcart.example/masticcart/internal/query"
	"masticcart.example/masticcart/internal/rpc"
	"masticcart.example/masticcart/internal/scheduler"
)

// Methods that every entry serves; only the leader answers.
const (
	methodPending = "scheduler.pending"
	methodLearn   = "scheduler.learn"
	methodExplain = "scheduler.explain"
	methodQuery   = "scheduler.query"
	methodState   = "scheduler.state"
)

// methodRelease asks an entry to remove the key of the caller's term.
const methodRelease = "election.release"

// releaseTimeout bounds the call: an entry that does not reach the store either is of no help.
const releaseTimeout = 400 * time.Millisecond

type stateRequest struct {
	Job    string `json:"job"`
	WaitMS int64  `json:"wait"`
}

type stateResponse struct {
	State batch.State `json:"state"`
	Known bool        `json:"known"`
}

type releaseRequest struct {
	Term int64 `json:"term"`
}

// releaser asks the other entries, one after the other, to remove the key of a term of this process.
type releaser struct {
	self      string // address
	scheduler *scheduler.Service
	meter     *rpc.Meter
}

func (r *releaser) release(ctx context.Context, term int64) bool {
	for node, address := range r.scheduler.EntryAddresses() {
		if address == r.self || ctx.Err() != nil {
			continue
		}
		err := r.ask(ctx, address, term)
		klog.InfoS("Asked to take over", "node", node, "term", term, "err", err)
		if err == nil {
			return true
		}
	}
	return false
}

func (r *releaser) ask(ctx context.Context, address string, term int64) error {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	conn, err := rpc.Dial(ctx, address, nil, nil, r.meter)
	if err != nil {
		return err
	}
	defer conn.Close()
	return conn.Call(ctx, methodRelease, releaseRequest{Term: term}, &none{})
}

// leaderCallTimeout bounds a call to the leader, so that a silent connection is replaced in time for the caller.
const leaderCallTimeout = 500 * time.Millisecond

// errNoLeader means that no entry leads, or that the one asked does not.
var errNoLeader = errors.New("no leader at the moment")

type none struct{}

func leaderHandlers(s *scheduler.Service, e *election.Election) rpc.Handlers {
	return rpc.Handlers{
		methodRelease: rpc.Method(func(ctx context.Context, _ *rpc.Conn, r releaseRequest) (none, error) {
			return none{}, e.ReleaseTerm(ctx, r.Term)
		}),
		methodPending: rpc.Method(func(context.Context, *rpc.Conn, none) (map[string]int, error) {
			pending, ok := s.PendingByQueue()
			if !ok {
				return nil, errNoLeader
			}
			return pending, nil
		}),
		methodExplain: rpc.Method(func(_ context.Context, _ *rpc.Conn, r explainRequest) (*scheduler.Explanation, error) {
			e, known, leads := s.Explain(r.Job)
			switch {
			case !leads:
				return nil, errNoLeader
			case !known:
				return nil, fmt.Errorf("job %q is not known", r.Job)
			}
			return e, nil
		}),
		methodQuery: rpc.Method(func(_ context.Context, _ *rpc.Conn, r queryRequest) (*query.Result, error) {
			return evaluate(s, r.Text)
		}),
		methodState: rpc.Method(func(ctx context.Context, _ *rpc.Conn, r stateRequest) (stateResponse, error) {
			state, known := s.WaitState(ctx, r.Job, time.Duration(r.WaitMS)*time.Millisecond)
			return stateResponse{State: state, Known: known}, nil
		}),
		methodLearn: rpc.Method(func(_ context.Context, _ *rpc.Conn, e kvstore.Entry) (none, error) {
			if !s.ApplyIntakeEntry(e) {
				return none{}, errNoLeader
			}
			return none{}, nil
		}),
	}
}

// leaderClient reaches the scheduler, wherever it runs.
type leaderClient struct {
	election  *election.Election
	scheduler *scheduler.Service
	meter     *rpc.Meter

	mu      sync.Mutex
	conn    *rpc.Conn
	address string
}

var _ intake.LeaderClient = (*leaderClient)(nil)

func newLeaderClient(e *election.Election, s *scheduler.Service, m *rpc.Meter) *leaderClient {
	return &leaderClient{election: e, scheduler: s, meter: m}
}

// Pending implements intake.LeaderClient.
func (l *leaderClient) Pending(ctx context.Context) (map[string]int, error) {
	if pending, ok := l.scheduler.PendingByQueue(); ok {
		return pending, nil
	}
	var pending map[string]int
	return pending, l.call(ctx, leaderCallTimeout, methodPending, none{}, &pending)
}

// NotifyStored implements intake.LeaderClient.
func (l *leaderClient) NotifyStored(ctx context.Context, e kvstore.Entry) error {
	if l.scheduler.ApplyIntakeEntry(e) {
		return nil
	}
	return l.call(ctx, leaderCallTimeout, methodLearn, e, &none{})
}

// State implements intake.LeaderClient.
func (l *leaderClient) State(ctx context.Context, job string, wait time.Duration) (batch.State, bool, error) {
	if state, known := l.scheduler.WaitState(ctx, job, wait); known {
		return state, true, nil
	}
	var response stateResponse
	err := l.call(ctx, wait+leaderCallTimeout, methodState, stateRequest{Job: job, WaitMS: wait.Milliseconds()}, &response)
	return response.State, response.Known, err
}

func (l *leaderClient) call(ctx context.Context, timeout time.Duration, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := l.connect(ctx)
	if err != nil {
		return err
	}
	if err := conn.Call(ctx, method, args, reply); err != nil {
		l.drop(conn)
		return err
	}
	return nil
}

// connect returns the connection to the present leader.
func (l *leaderClient) connect(ctx context.Context) (*rpc.Conn, error) {
	address := l.election.Leader().Address
	if address == "" {
		return nil, errNoLeader
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil && l.address == address {
		return l.conn, nil
	}
	if l.conn != nil {
		l.conn.Close()
		l.conn = nil
	}
	conn, err := rpc.Dial(ctx, address, nil, nil, l.meter)
	if err != nil {
		return nil, err
	}
	l.conn, l.address = conn, address
	return conn, nil
}

func (l *leaderClient) drop(conn *rpc.Conn) {
	conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == conn {
		l.conn = nil
	}
}
