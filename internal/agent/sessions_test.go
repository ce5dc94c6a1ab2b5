package agent

import (
	"context"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"masticcart.example/masticcart/internal/config"
	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/protocol"
	"masticcart.example/masticcart/internal/rpc"
)

// TestNewConfigVersionIsReportedAtOnce guards against an entry that becomes owner and shows an older configuration
// version of an agent than the previous owner did: the agent tells all its entries when it applies a version, not only
// with the next heartbeat.
func TestNewConfigVersionIsReportedAtOnce(t *testing.T) {
	config2 := &model.Config{Version: 2}
	release := make(chan struct{})
	versions := make(chan int64, 100)
	owner := listenAsEntry(t, func(version int64) *model.Config {
		if version == config2.Version {
			return nil
		}
		<-release
		return config2
	})
	other := listenAsEntry(t, func(version int64) *model.Config {
		versions <- version
		return nil
	})
	a := New(protocol.Identity{Agent: "a", Incarnation: "1", Kind: protocol.KindWorker, Units: 8}, nil, nil,
		config.NewApplier(), tally.NoopScope)
	t.Cleanup(a.Close)
	sessions := NewSessions(a, nil, []string{owner, other})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		sessions.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	if v := <-versions; v != 0 {
		t.Fatalf("the first report has version %d, want 0", v)
	}
	close(release)
	select {
	case v := <-versions:
		if v != config2.Version {
			t.Errorf("the next report has version %d, want %d", v, config2.Version)
		}
	case <-time.After(protocol.HeartbeatInterval / 2):
		t.Errorf("the version was not reported within %s", protocol.HeartbeatInterval/2)
	}
}

// listenAsEntry serves the calls of an agent and returns the address. configFor returns the configuration of the reply
// to a report with a version.
func listenAsEntry(t *testing.T, configFor func(version int64) *model.Config) string {
	t.Helper()
	server, err := rpc.Listen("127.0.0.1:0", nil, rpc.Handlers{
		protocol.MethodAnnounce: rpc.Method(
			func(_ context.Context, _ *rpc.Conn, a protocol.AnnounceArgs) (protocol.HeartbeatReply, error) {
				return protocol.HeartbeatReply{Config: configFor(a.ConfigVersion)}, nil
			}),
		protocol.MethodHeartbeat: rpc.Method(
			func(_ context.Context, _ *rpc.Conn, h protocol.HeartbeatArgs) (protocol.HeartbeatReply, error) {
				return protocol.HeartbeatReply{Config: configFor(h.ConfigVersion)}, nil
			}),
	}, &rpc.Meter{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server.Address()
}
