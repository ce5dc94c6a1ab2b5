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
	// tasksPerAgent is the number of running tasks on each agent during the events.
	tasksPerAgent = 4
	// eventWindow is the time over which an event is measured. It is longer than the recovery from any of the events.
	eventWindow = 20 * time.Second
	// freeTaskSlots is the number of further tasks that the full cell has room for. The job submitted after an event
	// takes one of them; the start of its task shows when the new owner begins to place jobs.
	freeTaskSlots = 8
	// eventRecoveryPause lets all agents renew their leases between two events. Without it, losing the owner again 3 s
	// after the previous owner had restarted stopped tasks on 76 of 2,450 agents.
	eventRecoveryPause = 2 * protocol.AgentLease
)

// logPosition is a byte offset in the log file of a process.
type logPosition struct {
	name   string // of the process
	offset int64
}

func (p *processManager) logPath(name string) string { return filepath.Join(p.dir, name+".log") }

// logEnd returns the current end of an entry's log.
func (p *processManager) logEnd(e *entryProcess) logPosition {
	pos := logPosition{name: e.name}
	if info, err := os.Stat(p.logPath(e.name)); err == nil {
		pos.offset = info.Size()
	}
	return pos
}

// logProgress is the progress of an entry after an event, as its log shows it.
type logProgress struct {
	announced     int // agents that announced themselves to the entry for the first time
	lastAnnounced time.Time
	becameOwner   time.Time // zero if the entry did not become the owner
	configApplied time.Time // first configuration received from an agent or a peer; zero if none
}

// logProgressSince reads a log from the given position on. Unlike calls to the entries, reading their logs costs them
// no CPU time that would distort the measurement.
func (p *processManager) logProgressSince(from logPosition) (logProgress, error) {
	var progress logProgress
	f, err := os.Open(p.logPath(from.name))
	if err != nil {
		return progress, err
	}
	defer f.Close()
	if _, err := f.Seek(from.offset, 0); err != nil {
		return progress, err
	}
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		line := lines.Text()
		at, ok := parseLogTime(line)
		switch {
		case !ok:
		case strings.Contains(line, `"Agent announced"`):
			progress.announced++
			progress.lastAnnounced = at
		case strings.Contains(line, `"Cell ownership changed"`) && strings.Contains(line, "owner=true"):
			progress.becameOwner = at
		case strings.Contains(line, `"Applied configuration"`) && progress.configApplied.IsZero():
			progress.configApplied = at
		}
	}
	return progress, lines.Err()
}

// parseLogTime returns the time of a klog line of severity info. klog omits the year, so the current one is assumed.
func parseLogTime(line string) (time.Time, bool) {
	const layout = "0102 15:04:05.000000"
	if len(line) < len(layout)+1 || line[0] != 'I' {
		return time.Time{}, false
	}
	t, err := time.ParseInLocation(layout, line[1:len(layout)+1], time.Local)
	return t.AddDate(time.Now().Year(), 0, 0), err == nil
}

// measureEvents measures the full cell, then queries over it, and then the mass reconnects of its agents after entries
// are killed.
func (r *runner) measureEvents(ctx context.Context, agents int) error {
	if err := r.submitUntilRunning(ctx, agents*tasksPerAgent-freeTaskSlots); err != nil {
		return err
	}
	time.Sleep(2 * stabilizationDelay)
	if err := r.measureCell(ctx, "full cell", "tasks per agent", tasksPerAgent, agents, resyncInterval); err != nil {
		return err
	}
	if err := r.measureQueries(ctx); err != nil {
		return err
	}
	if err := r.measureOwnerKill(ctx, agents); err != nil {
		return err
	}
	if err := r.measureFullRestart(ctx, "all entries restarted", agents, false); err != nil {
		return err
	}
	return r.measureFullRestart(ctx, "all entries restarted, platform down", agents, true)
}

// measureQueries times a query over the full cell, once at the owner and once at an entry that has to fetch the owner's
// view of the cell.
func (r *runner) measureQueries(ctx context.Context) error {
	order := entriesInRendezvousOrder(r.processes.entries)
	for name, e := range map[string]*entryProcess{"owner": order[0], "successor": order[1]} {
		c, err := client.New(client.Options{Entries: []string{e.apiAddress}, Token: operatorToken})
		if err != nil {
			return err
		}
		defer c.Close()
		cpuBefore, err := processCPUTime(order[0].pid)
		if err != nil {
			return err
		}
		started := time.Now()
		reply, err := c.Query(ctx, "show workers")
		elapsed := time.Since(started)
		if err != nil {
			return err
		}
		cpuAfter, err := processCPUTime(order[0].pid)
		if err != nil {
			return err
		}
		if err := r.recordEvent("query of all workers", name, []measurement{
			{"rows", float64(len(reply.Rows))}, {"took s", elapsed.Seconds()},
			{"owner cpu s", (cpuAfter - cpuBefore).Seconds()},
		}); err != nil {
			return err
		}
	}
	return nil
}

// timeToFirstStart submits a job and returns a channel that receives the seconds from the given time until its task
// starts: NaN if the submission fails, and about eventWindow if the task has not started by then.
func (r *runner) timeToFirstStart(ctx context.Context, from time.Time) <-chan float64 {
	out := make(chan float64, 1)
	startedBefore := r.fleet.startedTasks.Load()
	go func() {
		if err := r.submitJobs(ctx, 1, unitsPerTask, 0); err != nil {
			fmt.Fprintln(r.log, "submitting the first job after the event:", err)
			out <- math.NaN()
			return
		}
		for r.fleet.startedTasks.Load() == startedBefore && time.Since(from) < eventWindow {
			time.Sleep(pollInterval)
		}
		out <- time.Since(from).Seconds()
	}()
	return out
}

// measureOwnerKill kills the owner and measures the failover: the successor becomes the owner, and the agents open a
// session with the fourth entry in rendezvous order, which is now among the three that they report to.
func (r *runner) measureOwnerKill(ctx context.Context, agents int) error {
	const event = "owner killed"
	order := entriesInRendezvousOrder(r.processes.entries)
	owner, newOwner, newSuccessor := order[0], order[1], order[3]
	positions := []logPosition{r.processes.logEnd(newOwner), r.processes.logEnd(newSuccessor)}
	targets := []target{
		entryTarget("new owner", newOwner), entryTarget("successor", order[2]),
		entryTarget("new successor", newSuccessor), {role: "platform", pid: r.processes.platformPID},
	}
	// Started minus running tasks is the number of ended tasks. Its growth over the event is recorded as tasks stopped.
	runningMinusStarted, stallBefore := r.fleet.runningTasks.Load()-r.fleet.startedTasks.Load(), memoryStall()
	var killed time.Time
	var firstStart <-chan float64
	m, err := r.measureWindow(ctx, targets, eventWindow, func() error {
		killed = time.Now()
		err := r.processes.kill(owner.name)
		firstStart = r.timeToFirstStart(ctx, killed)
		return err
	})
	if err != nil {
		return err
	}
	ownerLog, err := r.processes.logProgressSince(positions[0])
	if err != nil {
		return err
	}
	successorLog, err := r.processes.logProgressSince(positions[1])
	if err != nil {
		return err
	}
	measurements := []measurement{
		{"new owner after s", ownerLog.becameOwner.Sub(killed).Seconds()},
		{"new job started after s", <-firstStart},
		{"agents announced", float64(successorLog.announced)},
		{"last agent announced after s", successorLog.lastAnnounced.Sub(killed).Seconds()},
		{"tasks stopped", float64(runningMinusStarted + r.fleet.startedTasks.Load() - r.fleet.runningTasks.Load())},
		{"platform calls", m.callRate * eventWindow.Seconds()},
		{"machine stalled for lack of memory s", (memoryStall() - stallBefore).Seconds()},
	}
	if err := r.recordEvent(event, "all", measurements); err != nil {
		return err
	}
	for i, t := range targets {
		if err := r.recordEventUsage(event, t.role, m.usages[i]); err != nil {
			return err
		}
	}
	// The killed entry restarts before the next event and takes the same place in rendezvous order.
	if err := r.processes.startEntries(ctx, []*entryProcess{owner}); err != nil {
		return err
	}
	time.Sleep(eventRecoveryPause)
	return r.waitWorkers(ctx, agents)
}

// measureFullRestart kills all entries of the cell at once, restarts them without any state in memory and measures
// their recovery. With platformDown, the platform is unavailable from before the kill until the measurement is over.
func (r *runner) measureFullRestart(ctx context.Context, event string, agents int, platformDown bool) error {
	if err := setPlatformDown(ctx, r.processes.platformAddress, platformDown); err != nil {
		return err
	}
	order := entriesInRendezvousOrder(r.processes.entries)
	var positions []logPosition
	var names []string
	for _, e := range order {
		positions, names = append(positions, r.processes.logEnd(e)), append(names, e.name)
	}
	runningMinusStarted, fleetBefore, stallBefore :=
		r.fleet.runningTasks.Load()-r.fleet.startedTasks.Load(), r.fleet.sample(), memoryStall()
	statsBefore, err := platformStats(ctx, r.processes.platformAddress)
	if err != nil {
		return err
	}
	killed := time.Now()
	if err := r.processes.kill(names...); err != nil {
		return err
	}
	if err := r.processes.startEntries(ctx, r.processes.entries); err != nil {
		return err
	}
	restartTime := time.Since(killed)
	var firstStart <-chan float64
	if !platformDown {
		firstStart = r.timeToFirstStart(ctx, killed)
	}
	time.Sleep(eventWindow - restartTime)
	fmt.Fprintf(r.log, "%s: entries restarted within %s\n", event, restartTime.Round(100*time.Millisecond))
	usages, err := r.usageSinceStart(ctx, order)
	if err != nil {
		return err
	}
	statsAfter, err := platformStats(ctx, r.processes.platformAddress)
	if err != nil {
		return err
	}
	measurements := []measurement{
		{"entries back after s", restartTime.Seconds()},
		{"tasks stopped", float64(runningMinusStarted + r.fleet.startedTasks.Load() - r.fleet.runningTasks.Load())},
		{"platform calls", float64(statsAfter.Reads + statsAfter.Writes + statsAfter.Watches -
			statsBefore.Reads - statsBefore.Writes - statsBefore.Watches)},
		{"agents sent MB", (r.fleet.sample().sentBytes - fleetBefore.sentBytes) / 1e6},
		{"machine stalled for lack of memory s", (memoryStall() - stallBefore).Seconds()},
	}
	if firstStart != nil {
		measurements = append(measurements, measurement{"new job started after s", <-firstStart})
	}
	for i := range 3 {
		progress, err := r.processes.logProgressSince(positions[i])
		if err != nil {
			return err
		}
		measurements = append(measurements,
			measurement{fmt.Sprintf("agents at entry %d", i+1), float64(progress.announced)},
			measurement{fmt.Sprintf("last agent at entry %d after s", i+1), progress.lastAnnounced.Sub(killed).Seconds()})
		if !progress.becameOwner.IsZero() {
			measurements = append(measurements, measurement{"owner after s", progress.becameOwner.Sub(killed).Seconds()})
		}
		if !progress.configApplied.IsZero() {
			measurements = append(measurements,
				measurement{fmt.Sprintf("configuration at entry %d after s", i+1),
					progress.configApplied.Sub(killed).Seconds()})
		}
	}
	if err := r.recordEvent(event, "all", measurements); err != nil {
		return err
	}
	for i, u := range usages {
		if err := r.recordEventUsage(event, fmt.Sprintf("entry %d", i+1), u); err != nil {
			return err
		}
	}
	if err := setPlatformDown(ctx, r.processes.platformAddress, false); err != nil {
		return err
	}
	time.Sleep(eventRecoveryPause)
	return r.waitWorkers(ctx, agents)
}

// usageSinceStart returns the CPU time and traffic of each entry since it started, and its resident memory now.
func (r *runner) usageSinceStart(ctx context.Context, entries []*entryProcess) ([]usage, error) {
	usages := make([]usage, len(entries))
	for i, e := range entries {
		var err error
		if usages[i].cpuTime, err = processCPUTime(e.pid); err != nil {
			return nil, err
		}
		rss, err := residentBytes(e.pid)
		if err != nil {
			return nil, err
		}
		counters, err := scrape(ctx, e.metricsAddress)
		if err != nil {
			return nil, err
		}
		usages[i].rssMB, usages[i].receivedBytes, usages[i].sentBytes =
			float64(rss)/1e6, counters.receivedBytes, counters.sentBytes
	}
	return usages, nil
}

func (r *runner) recordEventUsage(event, role string, u usage) error {
	return r.recordEvent(event, role, []measurement{
		{"cpu s", u.cpuTime.Seconds()}, {"rss MB", u.rssMB}, {"in MB", u.receivedBytes / 1e6}, {"out MB", u.sentBytes / 1e6},
	})
}

func (r *runner) recordEvent(event, role string, measurements []measurement) error {
	return r.writePoints(Point{Part: "events", Over: event, Role: role, Event: true}, measurements)
}
