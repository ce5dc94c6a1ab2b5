package capacity

import (
	"bufio"
	"context"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"time"

	"masticcart.example/masticcart/internal/client"
	"masticcart.example/masticcart/internal/protocol"
)

const (
	// tasksPerAgent is the number of tasks on each agent when the events happen.
	tasksPerAgent = 4
	// eventWindow is longer than any of the events takes.
	eventWindow = 20 * time.Second
	// spareTasks leaves room for the jobs that show when a new owner begins to place.
	spareTasks = 8
	// eventPause lets the agents' leases recover from an event before the next one. Without it, a second loss of the
	// owner 3 s after the first owner had come back stopped tasks on 76 of 2,450 agents.
	eventPause = 2 * protocol.AgentLease
)

// logMark is a place in the log of a process.
type logMark struct {
	name   string
	offset int64
}

func (p *processes) logFile(name string) string { return filepath.Join(p.dir, name+".log") }

func (p *processes) mark(e *entryProcess) logMark {
	m := logMark{name: e.name}
	if info, err := os.Stat(p.logFile(e.name)); err == nil {
		m.offset = info.Size()
	}
	return m
}

// seen is what an entry's log says after a mark.
type seen struct {
	agents      int // that announced themselves for the first time
	lastAgent   time.Time
	owner       time.Time // zero if the entry did not become owner
	configKnown time.Time // when it had the first configuration from an agent or a peer
}

// since reads a log from a mark on. The entries' own log lines show the progress without calls that would cost them
// processor time.
func (p *processes) since(m logMark) (seen, error) {
	var s seen
	f, err := os.Open(p.logFile(m.name))
	if err != nil {
		return s, err
	}
	defer f.Close()
	if _, err := f.Seek(m.offset, 0); err != nil {
		return s, err
	}
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		line := lines.Text()
		at, ok := logTime(line)
		switch {
		case !ok:
		case strings.Contains(line, `"Agent announced"`):
			s.agents++
			s.lastAgent = at
		case strings.Contains(line, `"Cell ownership changed"`) && strings.Contains(line, "owner=true"):
			s.owner = at
		case strings.Contains(line, `"Applied configuration"`) && s.configKnown.IsZero():
			s.configKnown = at
		}
	}
	return s, lines.Err()
}

// logTime reads the time of a line of klog, which leaves out the year.
func logTime(line string) (time.Time, bool) {
	const layout = "0102 15:04:05.000000"
	if len(line) < len(layout)+1 || line[0] != 'I' {
		return time.Time{}, false
	}
	t, err := time.ParseInLocation(layout, line[1:len(layout)+1], time.Local)
	return t.AddDate(time.Now().Year(), 0, 0), err == nil
}

// events measures what a mass reconnect costs when the cell has its full size.
func (r *runner) events(ctx context.Context, agents int) error {
	if err := r.fill(ctx, agents*tasksPerAgent-spareTasks); err != nil {
		return err
	}
	time.Sleep(2 * settleTime)
	if err := r.observe(ctx, "full cell", "tasks per agent", tasksPerAgent, agents, resyncTime); err != nil {
		return err
	}
	if err := r.queries(ctx); err != nil {
		return err
	}
	if err := r.ownerKilled(ctx, agents); err != nil {
		return err
	}
	if err := r.allRestarted(ctx, "all entries restarted", agents, false); err != nil {
		return err
	}
	return r.allRestarted(ctx, "all entries restarted, platform down", agents, true)
}

// queries times a query over the full cell at the owner and at an entry that has to fetch the owner's view.
func (r *runner) queries(ctx context.Context) error {
	order := inOrder(r.procs.entries)
	for name, e := range map[string]*entryProcess{"owner": order[0], "successor": order[1]} {
		c, err := client.New(client.Options{Entries: []string{e.api}, Token: operatorToken})
		if err != nil {
			return err
		}
		defer c.Close()
		before, err := processorTime(order[0].pid)
		if err != nil {
			return err
		}
		started := time.Now()
		reply, err := c.Query(ctx, "show workers")
		took := time.Since(started)
		if err != nil {
			return err
		}
		after, err := processorTime(order[0].pid)
		if err != nil {
			return err
		}
		if err := r.eventPoints("query of all workers", name, []value{{"rows", float64(len(reply.Rows))}, {"took s", took.Seconds()},
			{"owner cpu s", (after - before).Seconds()}}); err != nil {
			return err
		}
	}
	return nil
}

// firstStart submits a job and tells when its task started, counted from an earlier moment.
func (r *runner) firstStart(ctx context.Context, from time.Time) <-chan float64 {
	out := make(chan float64, 1)
	started := r.fleet.started.Load()
	go func() {
		if err := r.submit(ctx, 1, taskUnits, 0); err != nil {
			fmt.Fprintln(r.log, "first job after the event:", err)
			out <- math.NaN()
			return
		}
		for r.fleet.started.Load() == started && time.Since(from) < eventWindow {
			time.Sleep(pollInterval)
		}
		out <- time.Since(from).Seconds()
	}()
	return out
}

// ownerKilled ends the owner; the agents find the entry that takes the third place.
func (r *runner) ownerKilled(ctx context.Context, agents int) error {
	const event = "owner killed"
	order := inOrder(r.procs.entries)
	owner, next, joined := order[0], order[1], order[3]
	marks := []logMark{r.procs.mark(next), r.procs.mark(joined)}
	roles := []role{entryRole("new owner", next), entryRole("successor", order[2]), entryRole("new successor", joined), {name: "platform", pid: r.procs.kvPID}}
	running, stall := r.fleet.running.Load()-r.fleet.started.Load(), memoryStall()
	var killed time.Time
	var first <-chan float64
	m, err := r.window(ctx, roles, eventWindow, func() error {
		killed = time.Now()
		err := r.procs.kill(owner.name)
		first = r.firstStart(ctx, killed)
		return err
	})
	if err != nil {
		return err
	}
	owned, err := r.procs.since(marks[0])
	if err != nil {
		return err
	}
	reached, err := r.procs.since(marks[1])
	if err != nil {
		return err
	}
	values := []value{
		{"new owner after s", owned.owner.Sub(killed).Seconds()}, {"new job started after s", <-first},
		{"agents announced", float64(reached.agents)},
		{"last agent announced after s", reached.lastAgent.Sub(killed).Seconds()},
		{"tasks stopped", float64(running + r.fleet.started.Load() - r.fleet.running.Load())}, {"platform calls", m.calls * eventWindow.Seconds()},
		{"machine stalled for lack of memory s", (memoryStall() - stall).Seconds()},
	}
	if err := r.eventPoints(event, "all", values); err != nil {
		return err
	}
	for i, x := range roles {
		if err := r.eventUsage(event, x.name, m.roles[i]); err != nil {
			return err
		}
	}
	// The killed entry comes back before the next event, in the same place of the order.
	if err := r.procs.startEntries(ctx, []*entryProcess{owner}); err != nil {
		return err
	}
	time.Sleep(eventPause)
	return r.waitWorkers(ctx, agents)
}

// allRestarted ends all entries of the data centre at once and starts them again, empty as they are after that.
func (r *runner) allRestarted(ctx context.Context, event string, agents int, platformDown bool) error {
	if err := setPlatformDown(ctx, r.procs.platform, platformDown); err != nil {
		return err
	}
	order := inOrder(r.procs.entries)
	var marks []logMark
	var names []string
	for _, e := range order {
		marks, names = append(marks, r.procs.mark(e)), append(names, e.name)
	}
	running, before, stall := r.fleet.running.Load()-r.fleet.started.Load(), r.fleet.traffic(), memoryStall()
	stats, err := platformStats(ctx, r.procs.platform)
	if err != nil {
		return err
	}
	killed := time.Now()
	if err := r.procs.kill(names...); err != nil {
		return err
	}
	if err := r.procs.startEntries(ctx, r.procs.entries); err != nil {
		return err
	}
	back := time.Since(killed)
	var first <-chan float64
	if !platformDown {
		first = r.firstStart(ctx, killed)
	}
	time.Sleep(eventWindow - back)
	fmt.Fprintf(r.log, "%s: entries back after %s\n", event, back.Round(100*time.Millisecond))
	used, err := r.sinceStart(ctx, order)
	if err != nil {
		return err
	}
	after, err := platformStats(ctx, r.procs.platform)
	if err != nil {
		return err
	}
	values := []value{{"entries back after s", back.Seconds()}, {"tasks stopped", float64(running + r.fleet.started.Load() - r.fleet.running.Load())},
		{"platform calls", float64(after.Reads + after.Writes + after.Watches - stats.Reads - stats.Writes - stats.Watches)},
		{"agents sent MB", (r.fleet.traffic().sent - before.sent) / 1e6},
		{"machine stalled for lack of memory s", (memoryStall() - stall).Seconds()}}
	if first != nil {
		values = append(values, value{"new job started after s", <-first})
	}
	for i := range 3 {
		s, err := r.procs.since(marks[i])
		if err != nil {
			return err
		}
		values = append(values, value{fmt.Sprintf("agents at entry %d", i+1), float64(s.agents)},
			value{fmt.Sprintf("last agent at entry %d after s", i+1), s.lastAgent.Sub(killed).Seconds()})
		if !s.owner.IsZero() {
			values = append(values, value{"owner after s", s.owner.Sub(killed).Seconds()})
		}
		if !s.configKnown.IsZero() {
			values = append(values, value{fmt.Sprintf("configuration at entry %d after s", i+1), s.configKnown.Sub(killed).Seconds()})
		}
	}
	if err := r.eventPoints(event, "all", values); err != nil {
		return err
	}
	for i, u := range used {
		if err := r.eventUsage(event, fmt.Sprintf("entry %d", i+1), u); err != nil {
			return err
		}
	}
	if err := setPlatformDown(ctx, r.procs.platform, false); err != nil {
		return err
	}
	time.Sleep(eventPause)
	return r.waitWorkers(ctx, agents)
}

// sinceStart returns what entries used since they started.
func (r *runner) sinceStart(ctx context.Context, list []*entryProcess) ([]usage, error) {
	out := make([]usage, len(list))
	for i, e := range list {
		var err error
		if out[i].cpuTime, err = processorTime(e.pid); err != nil {
			return nil, err
		}
		rss, err := residentBytes(e.pid)
		if err != nil {
			return nil, err
		}
		t, err := scrape(ctx, e.metrics)
		if err != nil {
			return nil, err
		}
		out[i].rssMB, out[i].inBytes, out[i].outBytes = float64(rss)/1e6, t.received, t.sent
	}
	return out, nil
}

func (r *runner) eventUsage(event, name string, u usage) error {
	return r.eventPoints(event, name, []value{{"cpu s", u.cpuTime.Seconds()}, {"rss MB", u.rssMB}, {"in MB", u.inBytes / 1e6}, {"out MB", u.outBytes / 1e6}})
}

func (r *runner) eventPoints(event, name string, values []value) error {
	return r.points(Point{Part: "events", Over: event, Role: name, Event: true}, values)
}
