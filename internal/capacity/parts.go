package capacity

import (
	"context"
	"fmt"
	"time"

	"masticcart.example/masticcart/internal/client/api"
)

// cellRoles returns the roles of a cell's entries: the owner, the second and third in order, which agents report to as
// well, and the rest.
func (r *runner) cellRoles(running []*entryProcess) []role {
	names := []string{"owner", "successor", "successor 2", "other"}
	var out []role
	for i, e := range inOrder(running) {
		out = append(out, entryRole(names[min(i, len(names)-1)], e))
	}
	return append(out, role{name: "platform", pid: r.procs.kvPID})
}

// observe measures the entries and the fleet and records the points.
func (r *runner) observe(ctx context.Context, part, over string, x float64, agents int, length time.Duration) error {
	roles := r.cellRoles(r.procs.entries)
	m, err := r.steadyWindow(ctx, roles, length)
	if err != nil {
		return err
	}
	for i, x2 := range roles {
		if err := r.record(part, over, x, x2.name, m.roles[i]); err != nil {
			return err
		}
	}
	fmt.Fprintf(r.log, "%s: %s = %g: owner %.2f%% of a core, %.0f B/s in, %.0f B/s out\n", part, over, x, m.roles[0].cpuPercent, m.roles[0].in, m.roles[0].out)
	return r.recordFleet(part, over, x, m, agents)
}

// agentsPart varies the agents of one data centre and then measures the events at its full size.
func (r *runner) agentsPart(ctx context.Context) error {
	if err := r.deploy(ctx, cellEntries); err != nil {
		return err
	}
	agents := 0
	for _, agents = range []int{100, 250, 500, 1000, 2450} {
		if err := r.growFleet(ctx, agents); err != nil {
			return err
		}
		time.Sleep(settleTime)
		if err := r.observe(ctx, "agents", "agents", float64(agents), agents, windowTime); err != nil {
			return err
		}
	}
	return r.events(ctx, agents)
}

// tasksPart varies the running tasks and then the jobs that wait. Each window holds one listing of the open jobs.
func (r *runner) tasksPart(ctx context.Context) error {
	const agents = 250
	if err := r.deploy(ctx, cellEntries); err != nil {
		return err
	}
	if err := r.growFleet(ctx, agents); err != nil {
		return err
	}
	for _, perAgent := range []int{0, 1, 2, 4} {
		if err := r.fill(ctx, perAgent*agents); err != nil {
			return err
		}
		time.Sleep(settleTime)
		if err := r.observe(ctx, "tasks", "running tasks", float64(perAgent*agents), agents, resyncTime); err != nil {
			return err
		}
	}
	waiting := 0
	for _, n := range []int{250, 500, 1000, 2000} {
		if err := r.submit(ctx, n-waiting, UnitsPerAgent, 0); err != nil {
			return err
		}
		waiting = n
		time.Sleep(settleTime)
		if err := r.observe(ctx, "waiting", "waiting jobs", float64(n), agents, resyncTime); err != nil {
			return err
		}
	}
	return nil
}

// jobsPart varies the jobs a second.
func (r *runner) jobsPart(ctx context.Context) error {
	const agents, runMS = 100, 2000
	if err := r.deploy(ctx, cellEntries); err != nil {
		return err
	}
	if err := r.growFleet(ctx, agents); err != nil {
		return err
	}
	for _, rate := range []int{0, 2, 5, 10, 20} {
		feedCtx, stop := context.WithCancel(ctx)
		fed := make(chan error, 1)
		go func() {
			fed <- atRate(feedCtx, float64(rate), func() error { return r.submit(ctx, 1, taskUnits, runMS) })
		}()
		time.Sleep(settleTime + runMS*time.Millisecond)
		err := r.observe(ctx, "jobs", "jobs/s", float64(rate), agents, windowTime)
		stop()
		if err := firstError(err, <-fed); err != nil {
			return err
		}
	}
	return nil
}

// entriesPart varies the entries, without agents: gossip and the calls that each entry makes.
func (r *runner) entriesPart(ctx context.Context) error {
	if err := r.procs.startPlatform(); err != nil {
		return err
	}
	if err := waitFor(ctx, pidTimeout, "platform", func() bool { _, err := platformStats(ctx, r.procs.platform); return err == nil }); err != nil {
		return err
	}
	var cells []string
	for i := range 12 {
		cells = append(cells, fmt.Sprintf("dc%d", i+1))
	}
	// Two entries to a data centre, as in a deployment of eleven or twelve; the second of each cell comes right
	// after the first, so that every level has whole cells.
	for _, cell := range cells {
		if err := r.procs.planEntries([]string{cell}, 2); err != nil {
			return err
		}
	}
	started := 0
	for _, n := range []int{2, 4, 8, 16, 24} {
		if err := r.procs.startEntries(ctx, r.procs.entries[started:n]); err != nil {
			return err
		}
		started = n
		time.Sleep(2 * settleTime) // registrations are listed every 5 s
		if err := r.observeEntries(ctx, n); err != nil {
			return err
		}
	}
	return nil
}

func (r *runner) observeEntries(ctx context.Context, n int) error {
	var roles []role
	for _, e := range r.procs.entries[:n] {
		roles = append(roles, entryRole("entry", e))
	}
	m, err := r.steadyWindow(ctx, roles, windowTime)
	if err != nil {
		return err
	}
	u := mean(m.roles)
	if err := r.record("entries", "entries", float64(n), "entry", u); err != nil {
		return err
	}
	// Each round exchanges a message and a reply with every other entry, in both directions.
	messages := 2 * float64(n-1)
	if err := r.points(Point{Part: "entries", Over: "entries", X: float64(n), Role: "entry"}, []value{
		{"messages in/s", messages}, {"bytes of a gossip message", u.in / messages},
	}); err != nil {
		return err
	}
	return r.recordPlatform("entries", "entries", float64(n), m)
}

// mean returns the average of the usages.
func mean(list []usage) usage {
	var out usage
	n := float64(len(list))
	for _, u := range list {
		out.cpuPercent += u.cpuPercent / n
		out.rssMB += u.rssMB / n
		out.in += u.in / n
		out.out += u.out / n
		out.actions += u.actions / n
		out.platformIn += u.platformIn / n
		out.platformOut += u.platformOut / n
	}
	return out
}

// configPart varies the size of the configuration and then the changes a second.
func (r *runner) configPart(ctx context.Context) error {
	const agents, rateAtSizes, teamsAtRates = 50, 0.5, 700
	if err := r.deploy(ctx, cellEntries); err != nil {
		return err
	}
	if err := r.growFleet(ctx, agents); err != nil {
		return err
	}
	for _, teams := range []int{4, 70, 350, 700} {
		if err := r.setTeams(ctx, teams); err != nil {
			return err
		}
		if err := r.observeChanges(ctx, "teams", float64(teams), agents, rateAtSizes); err != nil {
			return err
		}
	}
	for _, rate := range []float64{0, 0.25, 0.5, 1} {
		if err := r.observeChanges(ctx, fmt.Sprintf("changes/s at %d teams", teamsAtRates), rate, agents, rate); err != nil {
			return err
		}
	}
	return nil
}

func (r *runner) observeChanges(ctx context.Context, over string, x float64, agents int, rate float64) error {
	feedCtx, stop := context.WithCancel(ctx)
	fed := make(chan error, 1)
	n := 0
	go func() {
		fed <- atRate(feedCtx, rate, func() error {
			n++
			_, err := r.client.Change(ctx, api.ChangeBody{Base: -1, Commands: fmt.Sprintf("set weights completion-time 0.%d fragmentation 0.2", 1+n%8)})
			return err
		})
	}()
	time.Sleep(settleTime)
	err := r.observe(ctx, "config", over, x, agents, windowTime)
	stop()
	return firstError(err, <-fed)
}

// atRate calls f so many times a second until ctx ends or a call fails. Slow calls overlap.
func atRate(ctx context.Context, rate float64, f func() error) error {
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
				if err := f(); err != nil && ctx.Err() == nil {
					select {
					case errs <- err:
					default:
					}
				}
			}()
		}
	}
}

func firstError(list ...error) error {
	for _, err := range list {
		if err != nil {
			return err
		}
	}
	return nil
}
