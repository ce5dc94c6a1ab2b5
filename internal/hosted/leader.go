package hosted

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/boottime"
	"masticcart.example/masticcart/internal/configcheck"
	"masticcart.example/masticcart/internal/election"
	"masticcart.example/masticcart/internal/intake"
	"masticcart.example/masticcart/internal/kvstore"
	"masticcart.example/masticcart/internal/query"
	"masticcart.example/masticcart/internal/rpc"
	"masticcart.example/masticcart/internal/scheduler"
)

// RPC methods that every entry serves. All but the leader respond with an error or without a known state.
const (
	methodPending      = "scheduler.pending"
	methodNotifyStored = "scheduler.learn"
	methodExplain      = "scheduler.explain"
	methodQuery        = "scheduler.query"
	methodState        = "scheduler.state"
	methodInForce      = "scheduler.config"
)

// methodRelease asks an entry to remove the leader key of the caller's term from the store, because the caller cannot
// reach the store.
const methodRelease = "election.release"

// releaseTimeout bounds a call of methodRelease. It is short so that the next entry is asked soon if this one cannot
// reach the store either.
const releaseTimeout = 400 * time.Millisecond

type stateRequest struct {
	Job    string `json:"job"`
	WaitMS int64  `json:"wait"`
}

type stateResponse struct {
	State batch.State `json:"state"`
	Known bool        `json:"known"`
}

// pendingRequest asks for the numbers of pending jobs. While entries are restarted one after the other, some of them may
// be of a release that does not know the field.
type pendingRequest struct {
	// Load asks for a scheduler.Load instead of its field Pending only.
	Load bool `json:"load,omitempty"`
}

// responseOf returns the response that the caller understands.
func (r pendingRequest) responseOf(load scheduler.Load) any {
	if !r.Load {
		return load.Pending
	}
	return load
}

// pendingResponse is a scheduler.Load. A leader of a release before pendingRequest.Load sends the field Pending only.
type pendingResponse struct{ scheduler.Load }

// UnmarshalJSON implements json.Unmarshaler.
func (r *pendingResponse) UnmarshalJSON(data []byte) error {
	var load scheduler.Load
	if err := json.Unmarshal(data, &load); err == nil && load.Pending != nil {
		r.Load = load
		return nil
	}
	r.Load = scheduler.Load{}
	return json.Unmarshal(data, &r.Pending)
}

// storedResponse answers methodNotifyStored. A leader of a release before its field sends an empty object.
type storedResponse struct {
	// Full means that the leader has no memory for further jobs of at least one team. scheduler.Load has the teams.
	Full bool `json:"full,omitempty"`
}

type releaseRequest struct {
	Term int64 `json:"term"`
}

// termReleaser asks the other entries to remove the leader key of this process.
type termReleaser struct {
	selfAddress string
	scheduler   *scheduler.Service
	meter       *rpc.Meter
}

// release asks one entry after the other and reports whether one has removed the key of the term.
func (r *termReleaser) release(ctx context.Context, term int64) bool {
	for node, address := range r.scheduler.EntryAddresses() {
		if address == r.selfAddress || ctx.Err() != nil {
			continue
		}
		err := r.requestRelease(ctx, address, term)
		klog.InfoS("Requested release of the leader key", "node", node, "term", term, "err", err)
		if err == nil {
			return true
		}
	}
	return false
}

func (r *termReleaser) requestRelease(ctx context.Context, address string, term int64) error {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	conn, err := rpc.Dial(ctx, address, nil, nil, r.meter)
	if err != nil {
		return err
	}
	defer conn.Close()
	return conn.Call(ctx, methodRelease, releaseRequest{Term: term}, &empty{})
}

// leaderCallTimeout bounds a call to the leader, so that a connection without responses is replaced before the caller's
// deadline.
const leaderCallTimeout = 500 * time.Millisecond

// errNoLeader means that there is no leader, or that the called entry is not the leader.
var errNoLeader = errors.New("no leader at the moment")

type empty struct{}

// leaderHandlers returns the handlers of the RPC methods of an entry.
func leaderHandlers(s *scheduler.Service, e *election.Election) rpc.Handlers {
	return rpc.Handlers{
		methodRelease: rpc.Method(func(ctx context.Context, _ *rpc.Conn, r releaseRequest) (empty, error) {
			return empty{}, e.ReleaseTerm(ctx, r.Term)
		}),
		methodPending: rpc.Method(func(_ context.Context, _ *rpc.Conn, r pendingRequest) (any, error) {
			load, ok := s.Load(boottime.Now())
			if !ok {
				return nil, errNoLeader
			}
			return r.responseOf(load), nil
		}),
		methodExplain: rpc.Method(func(_ context.Context, _ *rpc.Conn, r explainRequest) (*scheduler.Explanation, error) {
			e, known, isLeader := s.Explain(r.Job)
			switch {
			case !isLeader:
				return nil, errNoLeader
			case !known:
				return nil, fmt.Errorf("job %q is not known", r.Job)
			}
			return e, nil
		}),
		methodQuery: rpc.Method(func(_ context.Context, _ *rpc.Conn, r queryRequest) (*query.Result, error) {
			return evaluateQuery(s, r.Text)
		}),
		methodInForce: rpc.Method(func(context.Context, *rpc.Conn, empty) (*configcheck.InForce, error) {
			return inForce(s)
		}),
		methodState: rpc.Method(func(ctx context.Context, _ *rpc.Conn, r stateRequest) (stateResponse, error) {
			state, known := s.WaitState(ctx, r.Job, time.Duration(r.WaitMS)*time.Millisecond)
			return stateResponse{State: state, Known: known}, nil
		}),
		methodNotifyStored: rpc.Method(func(_ context.Context, _ *rpc.Conn, e kvstore.Entry) (storedResponse, error) {
			full, isLeader := s.ApplyIntakeEntry(e)
			if !isLeader {
				return storedResponse{}, errNoLeader
			}
			return storedResponse{Full: full}, nil
		}),
	}
}

// leaderClient calls the scheduler of the leader, locally if this entry leads.
type leaderClient struct {
	election  *election.Election
	scheduler *scheduler.Service
	meter     *rpc.Meter

	mu      sync.Mutex
	conn    *rpc.Conn // nil if there is none
	address string    // of conn
}

var _ intake.LeaderClient = (*leaderClient)(nil)

func newLeaderClient(e *election.Election, s *scheduler.Service, m *rpc.Meter) *leaderClient {
	return &leaderClient{election: e, scheduler: s, meter: m}
}

// Load implements intake.LeaderClient.
func (l *leaderClient) Load(ctx context.Context) (scheduler.Load, error) {
	if load, ok := l.scheduler.Load(boottime.Now()); ok {
		return load, nil
	}
	var response pendingResponse
	err := l.call(ctx, leaderCallTimeout, methodPending, pendingRequest{Load: true}, &response)
	return response.Load, err
}

// NotifyStored implements intake.LeaderClient.
func (l *leaderClient) NotifyStored(ctx context.Context, e kvstore.Entry) (bool, error) {
	if full, isLeader := l.scheduler.ApplyIntakeEntry(e); isLeader {
		return full, nil
	}
	var response storedResponse
	err := l.call(ctx, leaderCallTimeout, methodNotifyStored, e, &response)
	return response.Full, err
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

// call calls the leader and discards the connection after an error, so that the next call dials again.
func (l *leaderClient) call(ctx context.Context, timeout time.Duration, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := l.connection(ctx)
	if err != nil {
		return err
	}
	if err := conn.Call(ctx, method, args, reply); err != nil {
		l.discard(conn)
		return err
	}
	return nil
}

// connection returns the connection to the current leader, and dials if there is none or the leader has changed.
func (l *leaderClient) connection(ctx context.Context) (*rpc.Conn, error) {
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

func (l *leaderClient) discard(conn *rpc.Conn) {
	conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == conn {
		l.conn = nil
	}
}
