// Package hosted wires the processes of a deployment on the users' platform: entries that accept and schedule jobs of
// all regions, and an agent beside each worker.
package hosted

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/fx"
	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/election"
	"masticcart.example/masticcart/internal/intake"
	"masticcart.example/masticcart/internal/kvstore"
	"masticcart.example/masticcart/internal/rpc"
	"masticcart.example/masticcart/internal/scheduler"
	"masticcart.example/masticcart/internal/settings"
	"masticcart.example/masticcart/internal/telemetry"
	"masticcart.example/masticcart/internal/transport"
	"masticcart.example/masticcart/platform"
)

const (
	// leaseShare is the part of the longest lease that is asked for, so that work outlives a change of the leader.
	leaseShare = 0.75
	// staleShare is the part of the time in which a revoked key has to be refused after which keys are not trusted
	// without an answer of the store.
	staleShare = 0.55
	// visibleShare is the part of the time for which a count may be old that this entry may use up.
	visibleShare = 0.3
	// drainShare is the part of the grace period for which a stopping entry still accepts connections: the balancer
	// takes two seconds to notice that it is not ready.
	drainShare = 0.4
	// shutdownShare is the part of the grace period after which open requests are given up.
	shutdownShare = 0.9
	// takeoverSlack is added to the leases that a leader before may have extended.
	takeoverSlack = time.Second

	readHeaderTimeout = 3 * time.Second
	idleTimeout       = 15 * time.Second
	maxHeaderBytes    = 16 << 10
)

// EntryModule is the module of a process that serves callers.
var EntryModule = fx.Module("entry",
	fx.Provide(newStore, newFollower, newScheduler, newElection, newLeaderClient, newIntake, newMetrics, newMeter,
		func() *transport.TLSConfigs { return &transport.TLSConfigs{} },
		func(i *intake.Service) telemetry.Ready { return i.Ready }),
	fx.Invoke(telemetry.Serve, serveEntry),
)

func newStore(s *platform.Settings) kvstore.Store { return platform.NewStore(s.Platform.Address) }

func newMeter() *rpc.Meter { return &rpc.Meter{} }

// processSettings are the settings that the product's own parts need.
func processSettings(s *platform.Settings) *settings.Settings {
	return &settings.Settings{Name: s.Node, Region: s.Region, Cell: s.Zone,
		Metrics: settings.Metrics{Listen: s.MetricsAddress()}}
}

func newMetrics(s *settings.Settings) *telemetry.Metrics { return telemetry.NewMetrics(s) }

func newFollower(store kvstore.Store) *intake.CatalogWatcher {
	return intake.NewCatalogWatcher(store, platform.KeyConfiguration, platform.DecodeCatalog)
}

func newScheduler(s *platform.Settings, store kvstore.Store, f *intake.CatalogWatcher, m *telemetry.Metrics, meter *rpc.Meter) *scheduler.Service {
	b := s.Bounds
	lease := time.Duration(float64(platform.Milliseconds(b.MaxHoldMS)) * leaseShare)
	return scheduler.NewService(store, scheduler.Config{
		MaxLease:            platform.Milliseconds(b.MaxHoldMS),
		Lease:               lease,
		TakeoverWait:        election.RenewGrace + platform.Milliseconds(b.MaxHoldMS) + takeoverSlack,
		StopTimeout:         platform.Milliseconds(b.StopTimeoutMS),
		GangWait:            platform.Milliseconds(b.GangWaitMS),
		RemoteFactor:        b.RemoteFactor,
		FinalStateRetention: platform.Seconds(b.StatusS),
		RestoreTime:         platform.Milliseconds(b.RestoreMS),
	}, f.Catalog, meter, scheduler.NewMetrics(m.Scope))
}

func newElection(s *platform.Settings, store kvstore.Store, sched *scheduler.Service, m *rpc.Meter) *election.Election {
	r := &releaser{self: s.RPCAddress(), scheduler: sched, meter: m}
	self := election.Leader{Node: s.Node, Address: s.RPCAddress()}
	return election.New(store, scheduler.LeaderKey, self, sched.Lead, r.release, handicap(s))
}

const (
	// leaderCores and leaderMbps are what a leader needs for about a hundred workers, bursts included.
	leaderCores = 0.35
	leaderMbps  = 100
	// smallHandicap is how long an entry with less leaves a vacant leadership to larger ones, for each that it lacks.
	smallHandicap = 300 * time.Millisecond
)

// handicap returns how long this entry leaves a vacant leadership to others. Limits that are not set count as enough.
func handicap(s *platform.Settings) time.Duration {
	d := time.Duration(0)
	if cores := s.Limits.CPUShare * max(s.Limits.Cores, 1); cores > 0 && cores < leaderCores {
		d += smallHandicap
	}
	if link := s.Limits.LinkMbps; link > 0 && link < leaderMbps {
		d += smallHandicap
	}
	return d
}

func newIntake(s *platform.Settings, store kvstore.Store, f *intake.CatalogWatcher, l *leaderClient) *intake.Service {
	bounds := intake.Settings{MaxPendingAge: time.Duration(float64(platform.Milliseconds(s.Bounds.VisibleMS)) * visibleShare)}
	if s.Bounds.RevokeStrict {
		bounds.MaxCatalogAge = time.Duration(float64(platform.Milliseconds(s.Bounds.RevokeMS)) * staleShare)
	}
	return intake.New(store, f, l, bounds)
}

// entryProcess is what an entry starts and stops.
type entryProcess struct {
	settings  *platform.Settings
	store     kvstore.Store
	follower  *intake.CatalogWatcher
	election  *election.Election
	intake    *intake.Service
	scheduler *scheduler.Service
	meter     *rpc.Meter

	stopping atomic.Bool
	front    *http.Server
	ready    *http.Server
	rpc      *rpc.Server
	cancel   context.CancelFunc // ends the election first, then the follower
	group    sync.WaitGroup
	follow   context.CancelFunc
}

func serveEntry(lc fx.Lifecycle, s *platform.Settings, store kvstore.Store, f *intake.CatalogWatcher, e *election.Election, i *intake.Service, sched *scheduler.Service, m *rpc.Meter) {
	p := &entryProcess{settings: s, store: store, follower: f, election: e, intake: i, scheduler: sched, meter: m}
	lc.Append(fx.Hook{OnStart: p.start, OnStop: p.stop})
}

func (p *entryProcess) start(context.Context) error {
	klog.InfoS("Starting", "role", "entry", "node", p.settings.Node, "zone", p.settings.Zone, "front", p.settings.BindAddresses.Front)
	server, err := rpc.Listen(p.settings.RPCAddress(), nil, leaderHandlers(p.scheduler, p.election), p.meter)
	if err != nil {
		return err
	}
	p.rpc = server
	if p.front, err = serve(p.settings.BindAddresses.Front, &platform.JobHandler{Intake: p.intake}); err != nil {
		return err
	}
	if p.ready, err = serve(p.settings.BindAddresses.Readiness, http.HandlerFunc(p.readiness)); err != nil {
		return err
	}
	followCtx, follow := context.WithCancel(context.Background())
	electCtx, cancel := context.WithCancel(context.Background())
	p.follow, p.cancel = follow, cancel
	p.group.Go(func() { p.follower.Run(followCtx) })
	p.group.Go(func() { p.intake.Run(followCtx) })
	p.group.Go(func() { register(followCtx, p.store, scheduler.EntryKey(p.settings.Node), p.settings) })
	p.group.Go(func() { p.election.Run(electCtx) })
	return nil
}

// readiness answers the balancer.
func (p *entryProcess) readiness(w http.ResponseWriter, _ *http.Request) {
	err := p.intake.Ready()
	if p.stopping.Load() {
		err = errors.New("stopping")
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

// stop gives the leadership up at once, serves until the balancer has noticed, and finishes open requests.
func (p *entryProcess) stop(ctx context.Context) error {
	p.stopping.Store(true)
	p.cancel()
	grace := platform.Seconds(p.settings.Bounds.GraceS)
	started := time.Now()
	timer := time.NewTimer(time.Duration(float64(grace) * drainShare))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	left := time.Duration(float64(grace)*shutdownShare) - time.Since(started)
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	err := p.front.Shutdown(ctx)
	p.follow()
	p.rpc.Close()
	return errors.Join(err, p.ready.Close())
}

// serve listens on an address and answers with a handler.
func serve(address string, handler http.Handler) (*http.Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes}
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			klog.ErrorS(err, "Listener failed", "address", address)
		}
	}()
	return server, nil
}
