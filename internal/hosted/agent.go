package hosted

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

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

const (
	// registerTimeout bounds one try to register with the store.
	registerTimeout = time.Second
	// registerPause follows a failed one.
	registerPause = 250 * time.Millisecond
)

// Agent is the module of a process beside a worker.
var Agent = fx.Module("agent",
	fx.Provide(newStore, newMetrics, newMeter, newRelay,
		func() *transport.Config { return &transport.Config{} },
		func() telemetry.Ready { return func() error { return nil } }),
	fx.Invoke(telemetry.Serve, serveAgent),
)

func newRelay(s *platform.Settings) *relay.Relay { return relay.New(platform.NewWorkerClient(s.App)) }

// agentProcess is what an agent starts and stops.
type agentProcess struct {
	settings *platform.Settings
	store    kvstore.Store
	relay    *relay.Relay
	meter    *rpc.Meter

	control *http.Server
	rpc     *rpc.Server
	cancel  context.CancelFunc
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
	if p.control, err = serve(p.settings.BindAddresses.Control, platform.Announcements(p.relay)); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	go p.register(ctx)
	return nil
}

// register puts the address of the agent into the store, where the leader finds it. The entry stays: an agent that
// starts again on its machine has the same address, and one that is gone is dialled in vain.
func (p *agentProcess) register(ctx context.Context) {
	value, err := json.Marshal(scheduler.Agent{Node: p.settings.Node, Address: p.settings.RPCAddress()})
	if err != nil {
		klog.ErrorS(err, "Registration not encoded")
		return
	}
	key := scheduler.AgentKey(p.settings.Node)
	var before kvstore.Entry
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, registerTimeout)
		_, err := p.store.Put(callCtx, key, value, before.Revision, 0)
		cancel()
		var conflict *kvstore.ConflictError
		switch {
		case err == nil:
			klog.InfoS("Registered", "key", key, "address", p.settings.RPCAddress())
			return
		case errors.As(err, &conflict):
			if before = conflict.Find(key); string(before.Value) == string(value) {
				klog.InfoS("Registered before", "key", key, "revision", before.Revision)
				return
			}
			continue
		}
		klog.InfoS("Not registered", "key", key, "err", err)
		timer := time.NewTimer(registerPause)
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// stop ends at once: the worker keeps what it runs under its lease until the agent is back.
func (p *agentProcess) stop(context.Context) error {
	p.cancel()
	p.rpc.Close()
	return p.control.Close()
}
