package hosted

import (
	"context"
	"errors"
	"sync"
	"time"

	"masticcart.example/masticcart/internal/election"
	"masticcart.example/masticcart/internal/intake"
	"masticcart.example/masticcart/internal/kvstore"
	"masticcart.example/masticcart/internal/rpc"
	"masticcart.example/masticcart/internal/scheduler"
)

// Methods that every entry serves; only the leader answers.
const (
	methodPending = "scheduler.pending"
	methodLearn   = "scheduler.learn"
)

// leaderCallTimeout bounds a call to the leader, so that a silent connection is replaced in time for the caller.
const leaderCallTimeout = 500 * time.Millisecond

// errNoLeader means that no entry leads, or that the one asked does not.
var errNoLeader = errors.New("no leader at the moment")

type none struct{}

func leaderHandlers(s *scheduler.Service) rpc.Handlers {
	return rpc.Handlers{
		methodPending: rpc.Method(func(context.Context, *rpc.Conn, none) (map[string]int, error) {
			pending, ok := s.Pending()
			if !ok {
				return nil, errNoLeader
			}
			return pending, nil
		}),
		methodLearn: rpc.Method(func(_ context.Context, _ *rpc.Conn, e kvstore.Entry) (none, error) {
			if !s.Learn(e) {
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

var _ intake.Leader = (*leaderClient)(nil)

func newLeaderClient(e *election.Election, s *scheduler.Service, m *rpc.Meter) *leaderClient {
	return &leaderClient{election: e, scheduler: s, meter: m}
}

// Pending implements intake.Leader.
func (l *leaderClient) Pending(ctx context.Context) (map[string]int, error) {
	if pending, ok := l.scheduler.Pending(); ok {
		return pending, nil
	}
	var pending map[string]int
	return pending, l.call(ctx, methodPending, none{}, &pending)
}

// Learn implements intake.Leader.
func (l *leaderClient) Learn(ctx context.Context, e kvstore.Entry) error {
	if l.scheduler.Learn(e) {
		return nil
	}
	return l.call(ctx, methodLearn, e, &none{})
}

func (l *leaderClient) call(ctx context.Context, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, leaderCallTimeout)
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
	address := l.election.Current().Address
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
