package capacity

import (
	"context"
	"fmt"
	"time"

	"masticcart.example/masticcart/internal/client/api"
)

// cellTargets returns the entries of the measured cell and the platform as targets. The roles of the entries follow
// from rendezvous order: the owner, the two successors, which agents report to as well, and all others.
func (r *runner) cellTargets(running []*entryProcess) []target {
	names := []string{"owner", "successor", "successor 2", "other"}
	var out []target
	for i, e := range entriesInRendezvousOrder(running) {
		out = append(out, entryTarget(names[min(i, len(names)-1)], e))
	}
	return append(out, target{role: "platform", pid: r.processes.platformPID})
}

// measureCell measures one window and records the points of the entries, the fleet and the platform.
func (r *runner) measureCell(ctx context.Context, part, over string, x float64, agents int,
	length time.Duration) error {
	targets := r.cellTargets(r.processes.entries)
	m, err := r.measureSteadyWindow(ctx, targets, length)
	if err != nil {
		return err
	}
	for i, t := range targets {
		if err := r.recordUsage(part, over, x, t.role, m.usages[i]); err != nil {
			return err
		}
	}
	fmt.Fprintf(r.log, "%s: %s = %g: owner %.2f%% of a core, %.0f B/s in, %.0f B/s out\n", part, over, x,
		m.usages[0].cpuPercent, m.usages[0].receiveRate, m.usages[0].sendRate)
	return r.recordFleet(part, over, x, m, agents)
}

// runAgentsPart varies the number of agents in one data centre and then measures the events at its full size.
func (r *runner) runAgentsPart(ctx context.Context) error {
	if err := r.deployCell(ctx, cellEntries); err != nil {
		return err
	}
	agents := 0
	for _, agents = range []int{100, 250, 500, 1000, 2450} {
		if err := r.growFleet(ctx, agents); err != nil {
			return err
		}
		time.Sleep(stabilizationDelay)
		if err := r.measureCell(ctx, "agents", "agents", float64(agents), agents, windowLength); err != nil {
			return err
		}
	}
	return r.measureEvents(ctx, agents)
}

// runTasksPart varies the number of running tasks and then that of waiting jobs. Each window covers one listing of the
// open jobs.
func (r *runner) runTasksPart(ctx context.Context) error {
	const agents = 250
	if err := r.deployCell(ctx, cellEntries); err != nil {
		return err
	}
	if err := r.growFleet(ctx, agents); err != nil {
		return err
	}
	for _, tasksPerWorker := range []int{0, 1, 2, 4} {
		if err := r.submitUntilRunning(ctx, tasksPerWorker*agents); err != nil {
			return err
		}
		time.Sleep(stabilizationDelay)
		if err := r.measureCell(ctx, "tasks", "running tasks", float64(tasksPerWorker*agents), agents,
			resyncInterval); err != nil {
			return err
		}
	}
	queued := 0
	for _, n := range []int{250, 500, 1000, 2000} {
		if err := r.submitJobs(ctx, n-queued, UnitsPerAgent, 0); err != nil {
			return err
		}
		queued = n
		time.Sleep(stabilizationDelay)
		if err := r.measureCell(ctx, "waiting", "waiting jobs", float64(n), agents, resyncInterval); err != nil {
			return err
		}
	}
	return nil
}

// runJobsPart varies the rate of submitted jobs.
func (r *runner) runJobsPart(ctx context.Context) error {
	const agents, runMS = 100, 2000
	if err := r.deployCell(ctx, cellEntries); err != nil {
		return err
	}
	if err := r.growFleet(ctx, agents); err != nil {
		return err
	}
	for _, rate := range []int{0, 2, 5, 10, 20} {
		loadCtx, stop := context.WithCancel(ctx)
		loadErr := make(chan error, 1)
		go func() {
			loadErr <- callAtRate(loadCtx, float64(rate), func() error {
				return r.submitJobs(ctx, 1, unitsPerTask, runMS)
			})
		}()
		time.Sleep(stabilizationDelay + runMS*time.Millisecond)
		err := r.measureCell(ctx, "jobs", "jobs/s", float64(rate), agents, windowLength)
		stop()
		if err := firstError(err, <-loadErr); err != nil {
			return err
		}
	}
	return nil
}

// runEntriesPart varies the number of entries without any agents, which leaves the gossip and the entries' own calls to
// the platform.
func (r *runner) runEntriesPart(ctx context.Context) error {
	if err := r.processes.startPlatform(); err != nil {
		return err
	}
	if err := pollUntil(ctx, processTimeout, "platform", func() bool {
		_, err := platformStats(ctx, r.processes.platformAddress)
		return err == nil
	}); err != nil {
		return err
	}
	var cells []string
	for i := range 12 {
		cells = append(cells, fmt.Sprintf("dc%d", i+1))
	}
	// Two entries per data centre match a deployment of eleven or twelve data centres. The two entries of a cell are
	// adjacent in the list, so that each step of the sweep consists of complete cells.
	for _, cell := range cells {
		if err := r.processes.addEntries([]string{cell}, 2); err != nil {
			return err
		}
	}
	started := 0
	for _, n := range []int{2, 4, 8, 16, 24} {
		if err := r.processes.startEntries(ctx, r.processes.entries[started:n]); err != nil {
			return err
		}
		started = n
		time.Sleep(2 * stabilizationDelay) // entries list the registrations on the platform every 5 s
		if err := r.measureEntries(ctx, n); err != nil {
			return err
		}
	}
	return nil
}

func (r *runner) measureEntries(ctx context.Context, n int) error {
	var targets []target
	for _, e := range r.processes.entries[:n] {
		targets = append(targets, entryTarget("entry", e))
	}
	m, err := r.measureSteadyWindow(ctx, targets, windowLength)
	if err != nil {
		return err
	}
	u := meanUsage(m.usages)
	if err := r.recordUsage("entries", "entries", float64(n), "entry", u); err != nil {
		return err
	}
	// Every entry sends its state to every other entry once a second and gets a reply. Each entry thus receives one
	// message and one reply per second from every other.
	messages := 2 * float64(n-1)
	if err := r.writePoints(Point{Part: "entries", Over: "entries", X: float64(n), Role: "entry"}, []measurement{
		{"messages in/s", messages}, {"bytes of a gossip message", u.receiveRate / messages},
	}); err != nil {
		return err
	}
	return r.recordPlatform("entries", "entries", float64(n), m)
}

// meanUsage returns the mean CPU share, memory and rates. The other fields of the result are zero.
func meanUsage(usages []usage) usage {
	var avg usage
	n := float64(len(usages))
	for _, u := range usages {
		avg.cpuPercent += u.cpuPercent / n
		avg.rssMB += u.rssMB / n
		avg.receiveRate += u.receiveRate / n
		avg.sendRate += u.sendRate / n
		avg.commandRate += u.commandRate / n
		avg.platformReceiveRate += u.platformReceiveRate / n
		avg.platformSendRate += u.platformSendRate / n
	}
	return avg
}

// runConfigPart varies the size of the configuration and then the rate of changes to it.
func (r *runner) runConfigPart(ctx context.Context) error {
	const agents, sizeSweepRate, rateSweepTeams = 50, 0.5, 700
	if err := r.deployCell(ctx, cellEntries); err != nil {
		return err
	}
	if err := r.growFleet(ctx, agents); err != nil {
		return err
	}
	for _, teams := range []int{4, 70, 350, 700} {
		if err := r.setTeams(ctx, teams); err != nil {
			return err
		}
		if err := r.measureUnderChanges(ctx, "teams", float64(teams), agents, sizeSweepRate); err != nil {
			return err
		}
	}
	for _, rate := range []float64{0, 0.25, 0.5, 1} {
		if err := r.measureUnderChanges(ctx, fmt.Sprintf("changes/s at %d teams", rateSweepTeams), rate, agents,
			rate); err != nil {
			return err
		}
	}
	return nil
}

// measureUnderChanges measures the cell while the configuration changes at the given rate per second.
func (r *runner) measureUnderChanges(ctx context.Context, over string, x float64, agents int, rate float64) error {
	loadCtx, stop := context.WithCancel(ctx)
	loadErr := make(chan error, 1)
	changes := 0
	go func() {
		loadErr <- callAtRate(loadCtx, rate, func() error {
			changes++
			_, err := r.client.Change(ctx, api.ChangeBody{
				Base: -1, Commands: fmt.Sprintf("set weights completion-time 0.%d fragmentation 0.2", 1+changes%8),
			})
			return err
		})
	}()
	time.Sleep(stabilizationDelay)
	err := r.measureCell(ctx, "config", over, x, agents, windowLength)
	stop()
	return firstError(err, <-loadErr)
}

// callAtRate runs call rate times per second until ctx ends or a call fails, and returns the error of the failed call.
// It starts each call on time, even while earlier ones are in flight.
func callAtRate(ctx context.Context, rate float64, call func() error) error {
	if rate == 0 {
		<-ctx.Done()
		return nil
	}
	ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer ticker.Stop()
	errs := make(chan error, 1)
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-errs:
			return err
		case <-ticker.C:
			go func() {
				if err := call(); err != nil && ctx.Err() == nil {
					select {
					case errs <- err:
					default:
					}
				}
			}()
		}
	}
}

// firstError returns the first error that is not nil.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
