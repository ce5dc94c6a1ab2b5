package entry

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"go.uber.org/fx"
	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/cell"
	"masticcart.example/masticcart/internal/config"
	"masticcart.example/masticcart/internal/jobs"
	"masticcart.example/masticcart/internal/kvstore"
	"masticcart.example/masticcart/internal/membership"
	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/placement"
	"masticcart.example/masticcart/internal/protocol"
	"masticcart.example/masticcart/internal/routing"
	"masticcart.example/masticcart/internal/rpc"
	"masticcart.example/masticcart/internal/settings"
	"masticcart.example/masticcart/internal/telemetry"
	"masticcart.example/masticcart/internal/transport"
)

var errLeaving = errors.New("entry: this entry is leaving")
var errNoConfig = errors.New("entry: the configuration is not known yet")

// Module wires the entry role. It needs *settings.Settings.
var Module = fx.Module("entry",
	fx.Provide(telemetry.NewMetrics, transport.LoadTLS, newStore, newTable, newOwnership, newRepository, newConfigSync,
		NewAgents, newPeers, newRouter, newCell, newJobs, newServer, readiness),
	fx.Invoke(telemetry.Serve, run),
)

// ownership tells whether this entry owns its cell.
type ownership func(now time.Time) bool

func newStore(s *settings.Settings) kvstore.Store {
	return kvstore.NewHTTP(s.Entry.Platform.Addresses, s.Entry.Platform.Timeout, nil)
}

func newTable(s *settings.Settings) *membership.Table {
	return membership.NewTable(protocol.EntryState{
		Entry: s.Name, Address: s.Entry.RPCAdvertise, Region: s.Region, Cell: s.Cell})
}

// newOwnership waits for PeerTimeout after the start: an entry that has not heard from its peers yet would
// always take itself for the owner.
func newOwnership(t *membership.Table) ownership {
	started := time.Now()
	return func(now time.Time) bool { return now.Sub(started) > protocol.PeerTimeout && t.OwnsCell(now) }
}

func newRepository(s kvstore.Store) *config.Repository { return config.NewRepository(s) }

func newConfigSync(s kvstore.Store, own ownership) *ConfigSync {
	a := config.NewApplier()
	return NewConfigSync(a, config.NewWatcher(s, a), own)
}

func newJobs(s kvstore.Store) *jobs.Store { return jobs.NewStore(s, time.Now) }

func newPeers(s *settings.Settings, t *membership.Table, store kvstore.Store, tc *transport.TLSConfigs,
	m *telemetry.Metrics) *Peers {
	return &Peers{table: t, store: store, tls: tc.RPCClient, meter: &rpc.Meter{}, scope: m.Scope, seeds: s.Entry.Peers,
		conns: make(map[string]*rpc.Conn), alive: make(map[string]bool)}
}

func newRouter(s *settings.Settings, c *ConfigSync, a *Agents, p *Peers, m *telemetry.Metrics) *routing.Router {
	r := routing.New(routing.Options{
		Entry: s.Name, Region: s.Region, Cell: s.Cell, MaxQueue: s.Entry.MaxQueue,
		RuleFor:    func(kind string) model.Rule { return c.Current().Rule(kind) },
		Dispatcher: dispatcher{agents: a, peers: p, self: s.Name},
		Scope:      m.Scope, HedgeUrgent: true,
	})
	p.lost = r.RemovePeer
	p.heard = func(g protocol.EntryState) {
		r.UpdatePeer(g)
		c.FetchIfNewer(g.ConfigVersion, func(ctx context.Context, args protocol.ConfigArgs, reply *protocol.ConfigReply) error {
			return p.CallAddress(ctx, g.Address, protocol.MethodConfig, args, reply)
		})
	}
	return r
}

func newCell(s *settings.Settings, c *ConfigSync, j *jobs.Store, a *Agents, p *Peers, own ownership, r *routing.Router, m *telemetry.Metrics) *cell.Service {
	service := cell.NewService(s.Cell, placement.New(placement.Options{}), c.Current, j, a, own, m.Scope.SubScope("cell"))
	a.SetReceivers(service, r)
	p.self = func(g *protocol.EntryState) {
		g.Loads, g.Sessions, g.Blocks, g.ConfigVersion = r.Loads(), a.Count(), service.LargestBlocks(), c.Version()
	}
	return service
}

func newServer(s *settings.Settings, c *ConfigSync, repo *config.Repository, j *jobs.Store, r *routing.Router, cs *cell.Service,
	t *membership.Table, p *Peers, a *Agents, m *telemetry.Metrics) *Server {
	server := &Server{settings: s.Entry, config: c, repository: repo, jobs: j, router: r, cell: cs, table: t, peers: p, agents: a,
		scope: m.Scope.SubScope("api"), draining: make(chan struct{})}
	p.handlers = server.handlers()
	return server
}

func readiness(s *Server) telemetry.Ready {
	return func() error {
		switch {
		case s.leaving.Load():
			return errLeaving
		case !s.config.Ready():
			return errNoConfig
		}
		return nil
	}
}

// run starts the duties of an entry in order and stops them in reverse: callers first, then the sessions.
func run(lc fx.Lifecycle, set *settings.Settings, tc *transport.TLSConfigs, s *Server, repo *config.Repository) {
	ctx, cancel := context.WithCancel(context.Background())
	web := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: set.Entry.ReadHeaderTimeout, IdleTimeout: idleTimeout}
	var own *rpc.Server
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			var err error
			if own, err = rpc.Listen(set.Entry.RPCListen, tc.RPCServer, s.handlers(), s.peers.meter); err != nil {
				return err
			}
			for _, loop := range []func(context.Context){
				s.cell.Run, s.cell.FollowIndex, s.config.WatchWhileOwner, s.config.RunFetches, s.peers.RunGossip,
			} {
				go loop(ctx)
			}
			go s.config.LoadInitial(ctx, repo)
			go s.jobs.RunSweeps(ctx, func(now time.Time) bool { return s.table.RanksFirstFor("sweep", now) })
			return listenAPI(web, set.Entry.APIListen, tc.API)
		},
		OnStop: func(context.Context) error {
			own.Close()
			cancel()
			s.router.Close()
			s.peers.Close()
			return nil
		},
	})
	registered := make(chan struct{})
	registerCtx, unregister := context.WithCancel(context.Background())
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				defer close(registered)
				s.peers.RunRegistration(registerCtx, set.Name, set.Cell, set.Entry.RPCAdvertise)
			}()
			klog.InfoS("Entry started", "entry", set.Name, "region", set.Region, "cell", set.Cell, "api", set.Entry.APIListen, "rpc", set.Entry.RPCListen)
			return nil
		},
		OnStop: func(stopCtx context.Context) error {
			err := s.leave(stopCtx, web)
			unregister()
			<-registered
			return err
		},
	})
}

// leave stops taking callers, hands the cell over and returns when every request in flight is answered.
func (s *Server) leave(ctx context.Context, web *http.Server) error {
	klog.InfoS("Leaving")
	s.MarkLeaving()
	s.table.UpdateSelf(func(g *protocol.EntryState) { g.Leaving = true })
	select {
	case <-time.After(protocol.DrainDelay):
	case <-ctx.Done():
	}
	s.EndLongPolls()
	err := web.Shutdown(ctx)
	return errors.Join(err, s.router.Drain(ctx))
}

func listenAPI(web *http.Server, address string, tlsConfig *tls.Config) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	if tlsConfig != nil {
		l = tls.NewListener(l, tlsConfig)
	}
	go func() {
		if err := web.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			klog.ErrorS(err, "API listener failed")
		}
	}()
	return nil
}
