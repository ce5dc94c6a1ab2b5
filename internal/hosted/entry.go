// Package hosted assembles the processes of a deployment on the platform: entries, which accept and schedule the jobs
// of all regions, and agents, one on the machine of each worker.
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

	"masticcart.example/masticcart/internal/clientlimit"
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
	// leaseFraction is the requested lease as a fraction of the longest one. A lease of this length lets runs survive a
	// change of the leader.
	leaseFraction = 0.75
	// catalogAgeFraction is the age of the configuration above which no keys are accepted until the store responds, as
	// a fraction of the time within which a revoked key has to be rejected.
	catalogAgeFraction = 0.55
	// pendingAgeFraction is how old the numbers of pending jobs may be in this entry, as a fraction of the age that the
	// platform allows.
	pendingAgeFraction = 0.3
	// drainFraction is how long a stopping entry still accepts connections, as a fraction of the grace period. The load
	// balancer takes two seconds to notice that the entry is not ready.
	drainFraction = 0.4
	// shutdownFraction is when the requests in flight are aborted, as a fraction of the grace period.
	shutdownFraction = 0.9
	// jobMemoryFraction is the share of the memory that accepted jobs may take in a leader.
	jobMemoryFraction = 0.25
	// takeoverMargin is added to the longest time that leases extended by the previous leader may last.
	takeoverMargin = time.Second

	readHeaderTimeout = 3 * time.Second
	idleTimeout       = 15 * time.Second
	maxHeaderBytes    = 16 << 10
)

// EntryModule provides and runs an entry: a process that serves callers and campaigns to be the leader.
var EntryModule = fx.Module("entry",
	fx.Provide(newStore, storeInterface, newCatalogWatcher, newScheduler, newElection, newLeaderClient, newIntake, newLimiter,
		newMetrics, newMeter,
		func() *transport.TLSConfigs { return &transport.TLSConfigs{} },
		func(i *intake.Service) telemetry.ReadinessCheck { return i.Ready }),
	fx.Invoke(telemetry.RegisterServer, serveEntry),
)

func newStore(s *platform.Settings) *platform.Store { return platform.NewStore(s.Platform.Address) }

func storeInterface(s *platform.Store) kvstore.Store { return s }

func newMeter() *rpc.Meter { return &rpc.Meter{} }

// commonSettings returns the settings that masticcart's packages need independently of the platform.
func commonSettings(s *platform.Settings) *settings.Settings {
	return &settings.Settings{Name: s.Node, Region: s.Region, Cell: s.Zone,
		Metrics: settings.Metrics{Listen: s.MetricsAddress()}}
}

func newMetrics(s *settings.Settings) *telemetry.Metrics { return telemetry.NewMetrics(s) }

func newCatalogWatcher(s *platform.Settings, store kvstore.Store) *intake.CatalogWatcher {
	return intake.NewCatalogWatcher(store, s.OperatorKeys(), platform.DecodeCatalog)
}

func newScheduler(s *platform.Settings, store kvstore.Store, watcher *intake.CatalogWatcher, m *telemetry.Metrics,
	meter *rpc.Meter) *scheduler.Service {
	b := s.Bounds
	lease := time.Duration(float64(platform.Milliseconds(b.MaxHoldMS)) * leaseFraction)
	return scheduler.NewService(store, scheduler.Config{
		MaxLease:            platform.Milliseconds(b.MaxHoldMS),
		Lease:               lease,
		TakeoverWait:        election.RenewGrace + platform.Milliseconds(b.MaxHoldMS) + takeoverMargin,
		StopTimeout:         platform.Milliseconds(b.StopTimeoutMS),
		GangWait:            platform.Milliseconds(b.GangWaitMS),
		RemoteFactor:        b.RemoteFactor,
		FinalStateRetention: platform.Seconds(b.StatusS),
		RestoreTime:         platform.Milliseconds(b.RestoreMS),
		EvacuationBound:     platform.Milliseconds(b.EvacuateMS),
		ColdOverage:         b.ColdOverage,
		ColdSlack:           b.ColdSlack,
		JobMemory:           int64(float64(memoryLimit(s)) * jobMemoryFraction),
	}, watcher, meter, scheduler.NewMetrics(m.Scope))
}

func newElection(s *platform.Settings, store kvstore.Store, sched *scheduler.Service, m *rpc.Meter) *election.Election {
	r := &termReleaser{selfAddress: s.RPCAddress(), scheduler: sched, meter: m}
	self := election.Leader{Node: s.Node, Address: s.RPCAddress()}
	e := election.New(store, scheduler.LeaderKey, self, sched.Lead, r.release, candidacyDelay(s))
	e.SetHandover(sched.Handover)
	return e
}

const (
	// minLeaderCores and minLeaderMbps are what a leader needs for about a hundred workers, including bursts.
	minLeaderCores = 0.35
	minLeaderMbps  = 100
	// candidacyDelayPerShortage is how long an entry waits before it campaigns for a vacant leadership, for each of the
	// two minimums that its machine does not reach, so that larger machines lead.
	candidacyDelayPerShortage = 300 * time.Millisecond
)

// candidacyDelay returns how long this entry waits before it campaigns for a vacant leadership. A limit that is not set
// counts as sufficient.
func candidacyDelay(s *platform.Settings) time.Duration {
	d := time.Duration(0)
	if cores := s.Limits.CPUShare * max(s.Limits.Cores, 1); cores > 0 && cores < minLeaderCores {
		d += candidacyDelayPerShortage
	}
	if link := s.Limits.LinkMbps; link > 0 && link < minLeaderMbps {
		d += candidacyDelayPerShortage
	}
	return d
}

// newLimiter returns the limits on callers, which come from those of the process.
func newLimiter(s *platform.Settings, m *telemetry.Metrics) *clientlimit.Limiter {
	return clientlimit.New(clientlimit.ForProcess(memoryLimit(s), s.Limits.MaxFDs), m.Scope)
}

// memoryLimit returns the memory that the process may use, in bytes.
func memoryLimit(s *platform.Settings) int64 {
	if mb := s.Limits.MemoryMB; mb > 0 {
		return int64(mb) << 20
	}
	return clientlimit.Memory()
}

// newIntake returns the service for callers. It has connections to the store of its own, so that the calls of the leader
// and the watches do not wait for those on behalf of callers.
func newIntake(s *platform.Settings, store *platform.Store, watcher *intake.CatalogWatcher, leader *leaderClient,
	m *telemetry.Metrics) *intake.Service {
	intakeSettings := intake.Settings{Scope: m.Scope,
		MaxPendingAge: time.Duration(float64(platform.Milliseconds(s.Bounds.VisibleMS)) * pendingAgeFraction)}
	if s.Bounds.RevokeStrict {
		intakeSettings.MaxCatalogAge = time.Duration(float64(platform.Milliseconds(s.Bounds.RevokeMS)) * catalogAgeFraction)
	}
	return intake.New(store.Separate(), watcher, leader, intakeSettings)
}

// entryProcess holds the servers and the background work of an entry.
type entryProcess struct {
	settings  *platform.Settings
	store     kvstore.Store
	watcher   *intake.CatalogWatcher
	election  *election.Election
	intake    *intake.Service
	scheduler *scheduler.Service
	meter     *rpc.Meter
	limiter   *clientlimit.Limiter

	stopping     atomic.Bool
	front        *http.Server
	ready        *http.Server
	rpc          *rpc.Server
	stopElection context.CancelFunc
	group        sync.WaitGroup
	// stopBackground ends the watch of the configuration, the intake's background work and the registration. It is
	// called after the last request, because requests need the configuration.
	stopBackground context.CancelFunc
}

func serveEntry(lc fx.Lifecycle, s *platform.Settings, store kvstore.Store, watcher *intake.CatalogWatcher,
	e *election.Election, jobIntake *intake.Service, sched *scheduler.Service, m *rpc.Meter, l *clientlimit.Limiter) {
	p := &entryProcess{settings: s, store: store, watcher: watcher, election: e, intake: jobIntake, scheduler: sched,
		meter: m, limiter: l}
	lc.Append(fx.Hook{OnStart: p.start, OnStop: p.stop})
}

func (p *entryProcess) start(context.Context) error {
	klog.InfoS("Starting", "role", "entry", "node", p.settings.Node, "zone", p.settings.Zone,
		"front", p.settings.BindAddresses.Front)
	server, err := rpc.Listen(p.settings.RPCAddress(), nil, leaderHandlers(p.scheduler, p.election), p.meter)
	if err != nil {
		return err
	}
	p.rpc = server
	if p.front, err = serve(p.settings.BindAddresses.Front, &platform.JobHandler{Intake: p.intake}, p.limiter); err != nil {
		return err
	}
	if p.ready, err = serve(p.settings.BindAddresses.Readiness, http.HandlerFunc(p.readiness), nil); err != nil {
		return err
	}
	backgroundCtx, cancelBackground := context.WithCancel(context.Background())
	electionCtx, cancelElection := context.WithCancel(context.Background())
	p.stopBackground, p.stopElection = cancelBackground, cancelElection
	p.group.Go(func() { p.watcher.Run(backgroundCtx) })
	p.group.Go(func() { p.intake.Run(backgroundCtx) })
	p.group.Go(func() { register(backgroundCtx, p.store, scheduler.EntryKey(p.settings.Node), p.settings) })
	p.group.Go(func() { p.election.Run(electionCtx) })
	return nil
}

// readiness responds to the health checks of the load balancer.
func (p *entryProcess) readiness(w http.ResponseWriter, _ *http.Request) {
	err := p.intake.Ready()
	if p.stopping.Load() {
		err = errors.New("stopping")
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

// stop gives up the leadership at once, keeps serving until the load balancer has noticed that the entry is not ready,
// and completes the requests in flight.
func (p *entryProcess) stop(ctx context.Context) error {
	p.stopping.Store(true)
	p.stopElection()
	grace := platform.Seconds(p.settings.Bounds.GraceS)
	started := time.Now()
	timer := time.NewTimer(time.Duration(float64(grace) * drainFraction))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	remaining := time.Duration(float64(grace)*shutdownFraction) - time.Since(started)
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	err := p.front.Shutdown(ctx)
	p.stopBackground()
	p.rpc.Close()
	return errors.Join(err, p.ready.Close())
}

// serve listens on an address and serves a handler in the background. The limiter, if it is not nil, bounds the clients.
func serve(address string, handler http.Handler, limiter *clientlimit.Limiter) (*http.Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes}
	if limiter != nil {
		l = limiter.Protect(server, l)
	}
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			klog.ErrorS(err, "Listener failed", "address", address)
		}
	}()
	return server, nil
}
