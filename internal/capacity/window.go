package capacity

import (
	"context"
	"sync"
	"time"
)

const (
	settleTime = 3 * time.Second
	windowTime = 8 * time.Second
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

// window observes the processes for a while. Processor time and memory are read around a span without scrapes, since
// a scrape costs the process time; bytes are counted between the edges of the published counters.
func (r *runner) window(ctx context.Context, roles []role, length time.Duration) (measured, error) {
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
	time.Sleep(length)
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
	last, err := edges(ctx, roles)
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
