package capacity

import (
	"context"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	settleTime = 3 * time.Second
	windowTime = 8 * time.Second
	// resyncTime is how often an owner lists its open jobs again: three watches of 10 s and a pause of 1 s. Windows
	// over open jobs have this length, so that each holds one listing.
	resyncTime = 31 * time.Second
)

// role names what a process is in a measurement.
type role struct {
	name    string
	pid     int
	metrics string // empty: no counters are read
	relay   *relay // nil: no traffic with the platform
}

func entryRole(name string, e *entryProcess) role {
	return role{name: name, pid: e.pid, metrics: e.metrics, relay: e.platform}
}

// usage is what a process used in a window.
type usage struct {
	cpuPercent, rssMB           float64
	in, out, actions            float64 // bytes and commands to agents, each a second
	platformIn, platformOut     float64 // bytes a second
	cpuTime                     time.Duration
	inBytes, outBytes, duration float64
}

// measured is the result of one window.
type measured struct {
	roles []usage
	// calls, reads, writes and watches are the platform's calls a second.
	calls, reads, writes, watches float64
	fleetIn, fleetOut, messages   float64 // a second, of all agents together
}

const (
	// maxStallShare is the share of a window that the machine may stand still for lack of memory. Page reclaim is
	// charged to whichever process runs, and showed up as more than a core in processes that did nothing.
	maxStallShare = 0.01
	windowTries   = 3
)

// steadyWindow is window without an event. It is repeated while the machine lacks memory.
func (r *runner) steadyWindow(ctx context.Context, roles []role, length time.Duration) (measured, error) {
	for try := 1; ; try++ {
		before := memoryStall()
		m, err := r.window(ctx, roles, length, nil)
		stalled := memoryStall() - before
		if err != nil || try == windowTries || stalled < time.Duration(maxStallShare*float64(length)) {
			return m, err
		}
		fmt.Fprintf(r.log, "window repeated: the machine stood still for %s for lack of memory\n", stalled)
	}
}

// window observes the processes for a while, at the start of which during runs. Processor time and memory are read around a span without scrapes, since
// a scrape costs the process time; bytes are counted between the edges of the published counters.
func (r *runner) window(ctx context.Context, roles []role, length time.Duration, during func() error) (measured, error) {
	m := measured{roles: make([]usage, len(roles))}
	before, err := edges(ctx, roles)
	if err != nil {
		return m, err
	}
	cpu, relays := make([]time.Duration, len(roles)), make([][2]int64, len(roles))
	for i, x := range roles {
		if cpu[i], err = processorTime(x.pid); err != nil {
			return m, err
		}
		if x.relay != nil {
			relays[i] = [2]int64{x.relay.toEntry.Load(), x.relay.toPlatform.Load()}
		}
	}
	stats, err := platformStats(ctx, r.procs.platform)
	if err != nil {
		return m, err
	}
	fleet := r.fleetTraffic()
	started := time.Now()
	if during != nil {
		if err := during(); err != nil {
			return m, err
		}
	}
	time.Sleep(length - time.Since(started))
	span := time.Since(started).Seconds()
	for i, x := range roles {
		used, err := processorTime(x.pid)
		if err != nil {
			return m, err
		}
		rss, err := residentBytes(x.pid)
		if err != nil {
			return m, err
		}
		u := &m.roles[i]
		u.cpuTime = used - cpu[i]
		u.cpuPercent, u.rssMB = 100*u.cpuTime.Seconds()/span, float64(rss)/1e6
		if x.relay != nil {
			u.platformIn = float64(x.relay.toEntry.Load()-relays[i][0]) / span
			u.platformOut = float64(x.relay.toPlatform.Load()-relays[i][1]) / span
		}
	}
	end, err := platformStats(ctx, r.procs.platform)
	if err != nil {
		return m, err
	}
	m.reads, m.writes, m.watches = float64(end.Reads-stats.Reads)/span, float64(end.Writes-stats.Writes)/span, float64(end.Watches-stats.Watches)/span
	m.calls = m.reads + m.writes + m.watches
	after := r.fleetTraffic()
	m.fleetIn, m.fleetOut, m.messages = (after.received-fleet.received)/span, (after.sent-fleet.sent)/span, (after.messages-fleet.messages)/span
	last, err := evenEdges(ctx, roles, before)
	if err != nil {
		return m, err
	}
	for i := range roles {
		if roles[i].metrics == "" {
			continue
		}
		u := &m.roles[i]
		u.duration = last[i].at.Sub(before[i].at).Seconds()
		u.inBytes, u.outBytes = last[i].received-before[i].received, last[i].sent-before[i].sent
		u.in, u.out, u.actions = u.inBytes/u.duration, u.outBytes/u.duration, (last[i].actions-before[i].actions)/u.duration
	}
	return m, nil
}

func (r *runner) fleetTraffic() fleetTraffic {
	if r.fleet == nil {
		return fleetTraffic{at: time.Now()}
	}
	return r.fleet.traffic()
}

// evenEdges waits for edges an even number of seconds after the first ones, since each agent reports every other
// second.
func evenEdges(ctx context.Context, roles []role, first []traffic) ([]traffic, error) {
	last, err := edges(ctx, roles)
	if err != nil {
		return nil, err
	}
	odd := slices.Clone(roles)
	for i := range odd {
		if int(math.Round(last[i].at.Sub(first[i].at).Seconds()))%2 == 0 {
			odd[i].metrics = ""
		}
	}
	later, err := edges(ctx, odd)
	for i, x := range odd {
		if x.metrics != "" && err == nil {
			last[i] = later[i]
		}
	}
	return last, err
}

// edges waits for the counters' edges of all processes at the same time.
func edges(ctx context.Context, roles []role) ([]traffic, error) {
	out, errs := make([]traffic, len(roles)), make([]error, len(roles))
	var calls sync.WaitGroup
	for i, x := range roles {
		if x.metrics != "" {
			calls.Go(func() { out[i], errs[i] = edge(ctx, x.metrics) })
		}
	}
	calls.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return out, nil
}
