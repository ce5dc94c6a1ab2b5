package hosted

import (
	"context"
	"net/http"

	"go.uber.org/fx"
	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/kvstore"
	"masticcart.example/masticcart/internal/relay"
	"masticcart.example/masticcart/internal/rpc"
	"masticcart.example/masticcart/internal/scheduler"
	"masticcart.example/masticcart/internal/telemetry"
	"masticcart.example/masticcart/internal/transport"
	"masticcart.example/masticcart/platform"
)

// AgentModule provides and runs the agent of the worker on the same machine.
var AgentModule = fx.Module("agent",
	fx.Provide(newStore, storeInterface, newMetrics, newMeter, newRelay,
		func() *transport.TLSConfigs { return &transport.TLSConfigs{} },
		func() telemetry.ReadinessCheck { return func() error { return nil } }),
	fx.Invoke(telemetry.RegisterServer, serveAgent),
)

func newRelay(s *platform.Settings) *relay.Relay { return relay.New(platform.NewWorkerClient(s.App)) }

// agentProcess holds the servers and the background work of an agent.
type agentProcess struct {
	settings *platform.Settings
	store    kvstore.Store
	relay    *relay.Relay
	meter    *rpc.Meter

	control            *http.Server
	rpc                *rpc.Server
	cancelRegistration context.CancelFunc
}

func serveAgent(lc fx.Lifecycle, s *platform.Settings, store kvstore.Store, r *relay.Relay, m *rpc.Meter) {
	p := &agentProcess{settings: s, store: store, relay: r, meter: m}
	lc.Append(fx.Hook{OnStart: p.start, OnStop: p.stop})
}

func (p *agentProcess) start(context.Context) error {
	klog.InfoS("Starting", "role", "agent", "node", p.settings.Node, "zone", p.settings.Zone, "worker", p.settings.App)
	server, err := rpc.Listen(p.settings.RPCAddress(), nil, p.relay.Handlers(), p.meter)
	if err != nil {
		return err
	}
	p.rpc = server
	if p.control, err = serve(p.settings.BindAddresses.Control, platform.HeartbeatHandler(p.relay), nil); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancelRegistration = cancel
	go register(ctx, p.store, scheduler.AgentKey(p.settings.Node), p.settings)
	return nil
}

// stop does not wait for runs: the worker keeps them under its lease until the agent has restarted.
func (p *agentProcess) stop(context.Context) error {
	p.cancelRegistration()
	p.rpc.Close()
	return p.control.Close()
}
