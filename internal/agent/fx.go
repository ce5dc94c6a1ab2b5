package agent

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"
	"go.uber.org/fx"
	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/config"
	"masticcart.example/masticcart/internal/protocol"
	"masticcart.example/masticcart/internal/settings"
	"masticcart.example/masticcart/internal/telemetry"
	"masticcart.example/masticcart/internal/transport"
)

// resetRetry is the pause between attempts to stop what an earlier incarnation left on the upstream.
const resetRetry = time.Second

var errLeaving = errors.New("agent: the upstream is leaving")

// Module wires the agent role. It needs *settings.Settings.
var Module = fx.Module("agent",
	fx.Provide(telemetry.NewMetrics, transport.LoadTLS, newIdentity, newAgent, newSessions, readiness),
	fx.Invoke(telemetry.RegisterServer, run),
)

func newIdentity(s *settings.Settings) protocol.Identity {
	return protocol.Identity{
		Agent: s.Name, Incarnation: uuid.NewString(), Kind: protocol.UpstreamKind(s.Agent.Kind), Service: s.Agent.Service,
		Region: s.Region, Cell: s.Cell, Rack: s.Agent.Rack, Units: s.Agent.Units,
	}
}

func newAgent(id protocol.Identity, s *settings.Settings, m *telemetry.Metrics) *Agent {
	if id.Kind == protocol.KindWorker {
		return New(id, NewWorkerDriver(s.Agent.UpstreamURL), nil, config.NewApplier(), m.Scope)
	}
	d := NewExecutorDriver(s.Agent.UpstreamURL)
	return New(id, d, d, config.NewApplier(), m.Scope)
}

func newSessions(a *Agent, s *settings.Settings, t *transport.TLSConfigs) *Sessions {
	return NewSessions(a, t.RPCClient, s.Agent.Entries)
}

func readiness(a *Agent) telemetry.ReadinessCheck {
	return func() error {
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.ledger.Leaving() {
			return errLeaving
		}
		return nil
	}
}

// run starts the agent: first the upstream is cleared, then the agent announces itself. On stop it leaves,
// finishes what runs and then closes its sessions.
func run(lc fx.Lifecycle, a *Agent, s *Sessions) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go a.Run()
			go func() {
				defer close(ended)
				a.reset(ctx)
				s.Run(ctx)
			}()
			return nil
		},
		OnStop: func(stopCtx context.Context) error {
			a.Drain(stopCtx)
			cancel()
			<-ended
			a.Close()
			return nil
		},
	})
}

// reset stops what an earlier incarnation left on the upstream. Nothing may be announced before, since the
// owner takes a new incarnation as proof that the old one's tasks have ended.
func (a *Agent) reset(ctx context.Context) {
	for ctx.Err() == nil {
		err := a.driver.StopOrphans(ctx)
		if err == nil {
			return
		}
		klog.InfoS("Upstream not ready", "agent", a.identity.Agent, "err", err)
		select {
		case <-ctx.Done():
		case <-time.After(resetRetry):
		}
	}
}
