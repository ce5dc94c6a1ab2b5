package scheduler

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/boottime"
	"masticcart.example/masticcart/internal/election"
	"masticcart.example/masticcart/internal/faultproxy"
	"masticcart.example/masticcart/internal/kvstore"
	"masticcart.example/masticcart/internal/relay"
	"masticcart.example/masticcart/internal/rpc"
)

// Guards against orders to an agent that fail one after the other because its connection went silent, until the poll of its
// reports times out. An agent that is only slow keeps its connection.
func TestSilentConnectionToAnAgentCostsOneOrder(t *testing.T) {
	for _, silent := range []bool{true, false} {
		var slow atomic.Bool
		server, err := rpc.Listen("127.0.0.1:0", nil, rpc.Handlers{
			relay.MethodStop: rpc.Method(func(context.Context, *rpc.Conn, relay.StopRequest) (relay.OrderResponse, error) {
				if slow.Load() {
					time.Sleep(2 * orderTimeout)
				}
				return relay.OrderResponse{Verdict: batch.VerdictAccepted}, nil
			}),
			relay.MethodSync: rpc.Method(func(context.Context, *rpc.Conn, relay.SyncRequest) (relay.SyncResponse, error) {
				time.Sleep(maxReportWait / 4)
				return relay.SyncResponse{}, nil
			}),
		}, &rpc.Meter{})
		if err != nil {
			t.Fatal(err)
		}
		defer server.Close()
		proxy, err := faultproxy.New(server.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer proxy.Close()
		f := newFixture(t, "a")
		term := &leaderTerm{term: election.NewTerm(kvstore.Condition{Revision: 1}, nil, boottime.Now()), core: f.c,
			service: &Service{meter: &rpc.Meter{}}, wake: make(chan struct{}, 1)}
		s := &session{term: term, node: "a", address: proxy.Address()}
		ctx, cancel := context.WithCancel(t.Context())
		connected := make(chan struct{})
		go func() {
			defer close(connected)
			s.keepConnected(ctx)
		}()
		stop := func() batch.Verdict {
			v, _ := s.sendOrder(ctx, Order{Kind: OrderStop, Node: "a", Incarnation: f.c.workers["a"].incarnation()})
			return v
		}
		for begin := time.Now(); stop() != batch.VerdictAccepted; time.Sleep(10 * time.Millisecond) {
			if time.Since(begin) > 5*time.Second {
				t.Fatal("no connection to the agent")
			}
		}
		if silent {
			proxy.SilenceConnections()
		} else {
			slow.Store(true)
		}
		if v := stop(); v != batch.VerdictUnknown {
			t.Errorf("silent %v: verdict %q of an order without an answer", silent, v)
		}
		time.Sleep(startRetryDelay)
		if silent {
			if v := stop(); v != batch.VerdictAccepted {
				t.Errorf("verdict %q of the next order, want it to take a new connection", v)
			}
		} else if n := proxy.Accepted(); n != 1 {
			t.Errorf("%d connections to a slow agent, want 1", n)
		}
		cancel()
		<-connected
	}
}
