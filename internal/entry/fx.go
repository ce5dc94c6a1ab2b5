package entry

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"go.uber.org/fx"
	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/cell"
	"masticcart.example/masticcart/internal/clientlimit"
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

// Module provides and starts the entry role. It needs a *settings.Settings.
var Module = fx.Module("entry",
	fx.Provide(telemetry.NewMetrics, transport.LoadTLS, newStore, newTable, newOwnerCheck, newRepository, newConfigSync,
		NewAgents, newPeers, newRouter, newCell, newJobs, newServer, newLimiter, readinessCheck),
	fx.Invoke(telemetry.RegisterServer, registerLifecycle),
)

// ownerCheck reports whether this entry owns its cell.
type ownerCheck func(now time.Time) bool

func newStore(s *settings.Settings) kvstore.Store {
	return kvstore.NewHTTP(s.Entry.Platform.Addresses, s.Entry.Platform.Timeout, nil)
}

func newTable(s *settings.Settings) *membership.Table {
	return membership.NewTable(protocol.EntryState{
		Entry: s.Name, Address: s.Entry.RPCAdvertise, Region: s.Region, Cell: s.Cell})
}

// newOwnerCheck returns a check that fails for PeerTimeout after the start: an entry that has not heard from its peers
// yet would always consider itself the owner.
func newOwnerCheck(t *membership.Table) ownerCheck {
	started := time.Now()
	return func(now time.Time) bool { return now.Sub(started) > protocol.PeerTimeout && t.OwnsCell(now) }
}

func newRepository(s kvstore.Store) *config.Repository { return config.NewRepository(s) }

func newConfigSync(s kvstore.Store, isOwner ownerCheck) *ConfigSync {
	a := config.NewApplier()
	return NewConfigSync(a, config.NewWatcher(s, a), isOwner)
}

func newJobs(s kvstore.Store) *jobs.Store { return jobs.NewStore(s, time.Now) }

func newPeers(s *settings.Settings, t *membership.Table, store kvstore.Store, tc *transport.TLSConfigs,
	m *telemetry.Metrics) *Peers {
	return &Peers{table: t, store: store, tls: tc.RPCClient, meter: &rpc.Meter{}, scope: m.Scope, seeds: s.Entry.Peers,
		conns: make(map[string]*rpc.Conn), alive: make(map[string]bool)}
}

func newRouter(s *settings.Settings, c *ConfigSync, a *Agents, p *Peers, m *telemetry.Metrics) *routing.Router {
	r := routing.New(routing.Options{
		Entry: s.Name, Region: s.Region, Cell: s.Cell, MaxQueue: s.Entry.MaxQueuedRequests,
		RuleFor:    func(kind string) model.Rule { return c.Current().Rule(kind) },
		Dispatcher: dispatcher{agents: a, peers: p, self: s.Name},
		Scope:      m.Scope, HedgeUrgent: true,
	})
	p.onLost = r.RemovePeer
	p.onState = func(state protocol.EntryState) {
		r.UpdatePeer(state)
		c.FetchIfNewer(state.ConfigVersion,
			func(ctx context.Context, args protocol.ConfigArgs, reply *protocol.ConfigReply) error {
				return p.CallAddress(ctx, state.Address, protocol.MethodConfig, args, reply)
			})
	}
	return r
}

func newCell(s *settings.Settings, c *ConfigSync, j *jobs.Store, a *Agents, p *Peers, isOwner ownerCheck,
	r *routing.Router, m *telemetry.Metrics) *cell.Service {
	service := cell.NewService(s.Cell, placement.New(placement.Options{}), c.Current, j, a, isOwner,
		m.Scope.SubScope("cell"))
	a.SetReceivers(service, r)
	p.fillState = func(state *protocol.EntryState) {
		state.Loads, state.Sessions, state.Blocks, state.ConfigVersion =
			r.Loads(), a.Count(), service.LargestBlocks(), c.Version()
	}
	return service
}

func newServer(s *settings.Settings, c *ConfigSync, repo *config.Repository, j *jobs.Store, r *routing.Router,
	cs *cell.Service, t *membership.Table, p *Peers, a *Agents, m *telemetry.Metrics) *Server {
	server := &Server{settings: s.Entry, config: c, repository: repo, jobs: j, router: r, cell: cs, table: t, peers: p,
		agents: a, scope: m.Scope.SubScope("api"), draining: make(chan struct{})}
	p.handlers = server.handlers()
	return server
}

// memoryLimitFraction is the fraction of the memory above which the garbage collector runs more often.
const memoryLimitFraction = 0.8

// newLimiter returns the limits on the clients of the API. They and the garbage collector's limit come from the memory and
// the descriptors that the process may use.
func newLimiter(s *settings.Settings, m *telemetry.Metrics) *clientlimit.Limiter {
	memory := int64(s.Entry.MemoryMB) << 20
	if memory == 0 {
		memory = clientlimit.Memory()
	}
	debug.SetMemoryLimit(int64(float64(memory) * memoryLimitFraction))
	limits := clientlimit.ForProcess(memory, s.Entry.MaxDescriptors)
	limits.BodyTimeout = bodyTimeout
	return clientlimit.New(limits, m.Scope)
}

// readinessCheck returns the check that the metrics listener reports as the readiness of the process.
func readinessCheck(s *Server) telemetry.ReadinessCheck {
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

// registerLifecycle appends the hooks that start the entry and stop it in the reverse order: first the callers are
// drained, then the sessions of agents and peers are closed.
func registerLifecycle(lc fx.Lifecycle, cfg *settings.Settings, tc *transport.TLSConfigs, s *Server,
	repo *config.Repository, limiter *clientlimit.Limiter) {
	ctx, cancel := context.WithCancel(context.Background())
	apiServer := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: cfg.Entry.ReadHeaderTimeout,
		IdleTimeout: idleTimeout}
	var rpcServer *rpc.Server
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			var err error
			if rpcServer, err = rpc.Listen(cfg.Entry.RPCListen, tc.RPCServer, s.handlers(), s.peers.meter); err != nil {
				return err
			}
			for _, loop := range []func(context.Context){
				s.cell.Run, s.cell.FollowIndex, s.config.WatchWhileOwner, s.config.RunFetches, s.peers.RunGossip,
			} {
				go loop(ctx)
			}
			go s.config.LoadInitial(ctx, repo)
			go s.jobs.RunSweeps(ctx, func(now time.Time) bool { return s.table.RanksFirstFor("sweep", now) })
			return listenAPI(apiServer, limiter, cfg.Entry.APIListen, tc.API)
		},
		OnStop: func(context.Context) error {
			rpcServer.Close()
			cancel()
			s.router.Close()
			s.peers.Close()
			return nil
		},
	})
	registrationDone := make(chan struct{})
	registrationCtx, endRegistration := context.WithCancel(context.Background())
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				defer close(registrationDone)
				s.peers.RunRegistration(registrationCtx, cfg.Name, cfg.Cell, cfg.Entry.RPCAdvertise)
			}()
			klog.InfoS("Entry started", "entry", cfg.Name, "region", cfg.Region, "cell", cfg.Cell,
				"api", cfg.Entry.APIListen, "rpc", cfg.Entry.RPCListen)
			return nil
		},
		OnStop: func(stopCtx context.Context) error {
			err := s.drain(stopCtx, apiServer)
			endRegistration()
			<-registrationDone
			return err
		},
	})
}

// drain tells the balancer and the peers that this entry is leaving, so that another entry takes over the cell, stops
// accepting calls after DrainDelay, and returns when every request in flight has been answered or ctx ends.
func (s *Server) drain(ctx context.Context, apiServer *http.Server) error {
	klog.InfoS("Leaving")
	s.MarkLeaving()
	s.table.UpdateSelf(func(state *protocol.EntryState) { state.Leaving = true })
	select {
	case <-time.After(protocol.DrainDelay):
	case <-ctx.Done():
	}
	s.EndLongPolls()
	err := apiServer.Shutdown(ctx)
	return errors.Join(err, s.router.Drain(ctx))
}

// listenAPI serves the API at the address, with TLS if tlsConfig is not nil.
func listenAPI(apiServer *http.Server, limiter *clientlimit.Limiter, address string, tlsConfig *tls.Config) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	listener = limiter.Protect(apiServer, listener)
	if tlsConfig != nil {
		listener = tls.NewListener(listener, tlsConfig)
	}
	go func() {
		if err := apiServer.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			klog.ErrorS(err, "API listener failed")
		}
	}()
	return nil
}
