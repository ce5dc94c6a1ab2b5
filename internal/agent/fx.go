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

// orphanRetryInterval is the pause between attempts to stop the tasks of earlier incarnations on the upstream.
const orphanRetryInterval = time.Second

var errLeaving = errors.New("agent: the upstream is leaving")

// Module provides and runs the components of the agent role. It depends on *settings.Settings.
var Module = fx.Module("agent",
	fx.Provide(telemetry.NewMetrics, transport.LoadTLS, newIdentity, newAgent, newSessions, readiness),
	fx.Invoke(telemetry.RegisterServer, registerLifecycle),
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
	driver := NewExecutorDriver(s.Agent.UpstreamURL)
	return New(id, driver, driver, config.NewApplier(), m.Scope)
}

func newSessions(a *Agent, s *settings.Settings, tlsConfigs *transport.TLSConfigs) *Sessions {
	return NewSessions(a, tlsConfigs.RPCClient, s.Agent.Entries)
}

// readiness returns a check that fails once the agent is leaving.
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

// registerLifecycle registers the hooks that start and stop the agent. On start, the agent stops orphaned tasks and
// then opens its sessions. On stop, it drains, closes its sessions and waits for its goroutines.
func registerLifecycle(lc fx.Lifecycle, a *Agent, s *Sessions) {
	ctx, cancel := context.WithCancel(context.Background())
	sessionsEnded := make(chan struct{})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go a.Run()
			go func() {
				defer close(sessionsEnded)
				a.stopOrphans(ctx)
				s.Run(ctx)
			}()
			return nil
		},
		OnStop: func(stopCtx context.Context) error {
			a.Drain(stopCtx)
			cancel()
			<-sessionsEnded
			a.Close()
			return nil
		},
	})
}

// stopOrphans stops the tasks of earlier incarnations on the upstream and retries until that succeeds or ctx ends. The
// agent must not announce itself before, since the owner takes a new incarnation as proof that the tasks of the old one
// have ended.
func (a *Agent) stopOrphans(ctx context.Context) {
	for ctx.Err() == nil {
		err := a.driver.StopOrphans(ctx)
		if err == nil {
			return
		}
		klog.InfoS("Orphaned tasks not stopped; retrying", "agent", a.identity.Agent, "err", err)
		select {
		case <-ctx.Done():
		case <-time.After(orphanRetryInterval):
		}
	}
}
