package scheduler

import (
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/evacuation"
	"masticcart.example/masticcart/internal/kvstore"
	"masticcart.example/masticcart/internal/refusal"
	"masticcart.example/masticcart/internal/rulecheck"
)

func TestMain(m *testing.M) {
	if os.Getenv("SIM_TRACE") == "" { // with SIM_TRACE the log is printed; use it with SIM_SEED
		klog.LogToStderr(false)
		klog.SetOutput(io.Discard)
	}
	os.Exit(m.Run())
}

// simStep is the resolution of the simulated clock.
const simStep = 10 * time.Millisecond

// simConfig is the configuration of a small deployment.
var simConfig = Config{Lease: 4 * time.Second, MaxLease: 5 * time.Second, TakeoverWait: 10 * time.Second,
	StopTimeout: 200 * time.Millisecond, GangWait: 3 * time.Second, RemoteFactor: 3, FinalStateRetention: time.Hour,
	RestoreTime: 600 * time.Millisecond}

// simEvacuationBound is the bound of the simulated days that draw evacuations.
const simEvacuationBound = 5 * time.Second

// simCancelTime is the time within which runs of a cancelled job must be told to stop.
const simCancelTime = 3 * time.Second

// simRun is a run on a simulated worker.
type simRun struct {
	task      batch.TaskID
	run       int
	remaining time.Duration // work left
	total     time.Duration
	startedAt time.Duration
	stopAt    time.Duration // when an ordered stop takes effect; zero if none is ordered
	waited    time.Duration // time without all members of the gang
	fails     bool
	hangs     bool
}

// simWorker is a simulated worker with its lease and its unacknowledged ended runs. Its clock runs 2% slow.
type simWorker struct {
	node             string
	cell             string // data centre
	incarnation      batch.Incarnation
	alive            bool
	lease            int64 // end of the lease in milliseconds on the worker's clock
	started          time.Duration
	fence            int64
	runs             map[batch.TaskID]*simRun
	ended            []batch.EndedTask
	endCount         int64
	highestEnded     map[batch.TaskID]int // the highest run number that was stopped or ended
	partitionedUntil time.Duration        // no message is delivered until then
	frozenUntil      time.Duration        // orders are carried out then, in the order in which they were sent
	knownIncarnation batch.Incarnation    // known to the agent, which learns of a new one from an announcement
	leaving          bool
	capacity         int           // accelerators
	announced        int           // the capacity that is known to the agent
	enforces         bool          // the worker rejects what exceeds its capacity
	refusesUntil     time.Duration // all starts until then
	refusals         refusal.History
}

// simAnnounceInterval is the longest time until the agent learns of a change of its worker.
const simAnnounceInterval = 400 * time.Millisecond

// simCells is the number of data centres.
const simCells = 3

// simAccelerators is the number of accelerators of a worker that has not shrunk.
const simAccelerators = 8

// extendLease extends the lease of a worker, limited to the longest lease that the worker accepts.
func (s *sim) extendLease(w *simWorker, lease int64) {
	w.lease = max(w.lease, min(lease, w.clock(s.now)+simConfig.MaxLease.Milliseconds()))
	s.checker.LeaseExtended(w.node, w.started+time.Duration(w.lease)*time.Millisecond*100/98)
}

func (w *simWorker) clock(now time.Duration) int64 {
	return (now - w.started).Milliseconds() * 98 / 100
}

// sim simulates a leader, its store, its workers and the network between them with a simulated clock and a single
// source of random numbers.
type sim struct {
	t        *testing.T
	seed     uint64
	rng      *rand.Rand
	now      time.Duration
	base     time.Time
	core     *Core // nil while there is no leader
	term     int64
	termAt   time.Duration
	workers  []*simWorker
	events   []simEvent
	store    map[string]stored
	jobs     map[string]batch.Job
	revision kvstore.Revision
	faults   bool
	// recoveredAt is when the effects of the last faults are over.
	recoveredAt    time.Duration
	storeDownUntil time.Duration // the store does not respond until then

	cancelled map[string]time.Duration
	checker   *rulecheck.Checker
	// crashDelays holds the tasks that crash each worker that starts them, with the time from the start to the crash.
	// crashRng draws them; nil for none.
	crashDelays map[batch.TaskID]time.Duration
	crashRng    *rand.Rand
	longWork    time.Duration // work of every task; zero for random short work
	handover    []byte        // of the last leader; nil if it has not resigned
	uneven      bool          // every third worker takes 2.4 times as long as the others, and tasks of a step are alike

	config Config
	// requests holds the requests to evacuate data centres that the store has acknowledged, the last element those in force.
	requests []simRequests
	// watchDownUntil is until when the leader does not learn of changes of the requests.
	watchDownUntil time.Duration
}

// simRequests are the requests in force from a time on.
type simRequests struct {
	since time.Duration
	set   evacuation.Set
}

type stored struct {
	record   []byte
	revision kvstore.Revision
}

type simEvent struct {
	at time.Duration
	do func()
}

func newSim(t *testing.T, seed uint64, workers int) *sim {
	s := &sim{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), base: time.Unix(1_800_000_000, 0),
		store: map[string]stored{}, jobs: map[string]batch.Job{}, cancelled: map[string]time.Duration{},
		now: time.Second, checker: rulecheck.New(rulecheck.Limits{MaxAttempts: simQueue(0).MaxAttempts,
			MaxStartAfterCancel:     simConfig.Lease + 3*time.Second,
			MaxRunAfterCancel:       simCancelTime + simConfig.StopTimeout,
			MaxStartAfterShrink:     4*time.Second + simAnnounceInterval,
			MaxStartAfterEvacuation: simEvacuationBound}),
		config: simConfig, requests: []simRequests{{}},
		crashDelays: map[batch.TaskID]time.Duration{}}
	for i := range workers {
		w := &simWorker{node: fmt.Sprintf("w%d", i), cell: fmt.Sprintf("z%d", i%simCells), capacity: simAccelerators,
			enforces: true}
		s.checker.WorkerPlaced(w.node, w.cell)
		s.workers = append(s.workers, w)
		s.startWorker(w)
	}
	s.electLeader()
	return s
}

func (s *sim) after(d time.Duration, do func()) {
	s.events = append(s.events, simEvent{s.now + d, do})
}

func (s *sim) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Int64N(int64(high-low)+1))
}

func (s *sim) wall() time.Time { return s.base.Add(s.now) }

// startWorker starts a new incarnation of a worker.
func (s *sim) startWorker(w *simWorker) {
	w.incarnation = batch.Incarnation{ID: "i-" + w.node, StartedMS: s.wall().UnixMilli()}
	w.alive, w.started, w.lease, w.fence, w.endCount, w.leaving = true, s.now, 0, 0, 0, false
	w.refusals = refusal.History{}
	w.runs, w.highestEnded, w.ended = map[batch.TaskID]*simRun{}, map[batch.TaskID]int{}, nil
	incarnation := w.incarnation
	s.after(s.between(0, simAnnounceInterval), func() { w.knownIncarnation, w.announced = incarnation, w.capacity })
	s.resize(w, w.capacity)
}

// resize changes the capacity of a worker. The agent learns of it with the next announcement.
func (s *sim) resize(w *simWorker, accelerators int) {
	w.capacity = accelerators
	if !w.alive {
		return
	}
	s.checker.CapacityChanged(w.node, batch.Resources{MilliCPU: 32000, MemoryMB: 64000, Accelerators: accelerators}, s.now)
	s.after(simAnnounceInterval, func() { w.announced = w.capacity })
}

// replaceLeader ends the present leader, if there is one, and starts the next some time later. Every other leader resigns.
func (s *sim) replaceLeader() {
	if s.core == nil {
		return
	}
	if s.handover = nil; s.term%2 == 0 {
		s.handover = handoverOf(s.t, s.core, s.now)
	}
	s.core = nil
	s.after(s.between(50*time.Millisecond, 3*time.Second), s.electLeader)
}

// electLeader starts a new leader with the state in the store.
func (s *sim) electLeader() {
	s.term++
	klog.InfoS("SIM leader", "at", s.now, "term", s.term)
	s.termAt = s.now
	c := NewCore(s.config, s.now)
	c.inherit(decodeHandover(s.handover))
	s.core = c
	if s.config.EvacuationBound > 0 { // the process may have been cut off before, so that its state is outdated
		c.SetEvacuations(s.requestsAt(s.now - s.between(0, 2*simEvacuationBound)))
		s.pollRequests(c)
	}
	c.SetCatalog(&batch.Catalog{Version: 1, Queues: []batch.Queue{simQueue(0), simQueue(1), simQueue(2)}})
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		j, r := s.jobs[id], s.store[id]
		if err := c.AddJob(j, r.record, r.revision, s.now, s.wall()); err != nil {
			s.t.Fatalf("seed %d: %v", s.seed, err)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.cancelled)) {
		c.Cancel(id, s.now, s.wall())
	}
	for _, w := range s.workers {
		s.pollReport(w, s.term)
	}
}

// requestsAt returns the requests as the store would have confirmed them at a time.
func (s *sim) requestsAt(at time.Duration) evacuation.View {
	v := evacuation.View{ConfirmedAt: at}
	for _, r := range s.requests {
		if r.since <= at {
			v.Requests = r.set
		}
	}
	return v
}

// pollRequests lets a leader poll the requests for as long as it leads.
func (s *sim) pollRequests(c *Core) {
	if s.core != c {
		return
	}
	sent := s.now
	s.after(s.between(0, time.Second), func() {
		if s.now < max(s.storeDownUntil, s.watchDownUntil) {
			s.after(100*time.Millisecond, func() { s.pollRequests(c) })
			return
		}
		v := evacuation.View{Requests: s.requestsAt(s.now).Requests, ConfirmedAt: sent}
		s.after(s.latency(), func() {
			if s.core == c {
				c.SetEvacuations(v)
			}
			s.pollRequests(c)
		})
	})
}

// request has operators request the evacuation of a data centre, or take it back, once the store answers.
func (s *sim) request(cell string, evacuate bool) {
	if s.now < s.storeDownUntil {
		s.after(s.storeDownUntil-s.now, func() { s.request(cell, evacuate) })
		return
	}
	set := s.requestsAt(s.now).Requests
	klog.InfoS("SIM evacuation", "at", s.now, "cell", cell, "evacuate", evacuate)
	s.revision++
	if evacuate {
		set = set.With(evacuation.Request{Cell: cell, Revision: s.revision})
		s.checker.EvacuationRequested(cell, s.now)
	} else {
		set = set.Without(cell)
		s.checker.EvacuationWithdrawn(cell)
	}
	s.requests = append(s.requests, simRequests{s.now, set})
}

func simQueue(priority int) batch.Queue {
	return batch.Queue{Name: fmt.Sprintf("q%d", priority), Service: "s", Priority: priority, MaxAttempts: 4,
		SlackFactor: 3}
}

// latency returns a random latency of one message.
func (s *sim) latency() time.Duration { return s.between(time.Millisecond, 25*time.Millisecond) }

// pollReport polls the agent of a worker for the leader of a term, and schedules the next poll.
func (s *sim) pollReport(w *simWorker, term int64) {
	c := s.core
	if s.term != term || c == nil {
		return
	}
	incarnation, _, ack := c.SyncParameters(w.node, s.now)
	fence := term*epochsPerTerm + c.Epoch(w.node)
	lease, ok := c.GrantLease(w.node, incarnation)
	if !ok {
		lease = 0
	}
	sentAt := s.now
	repeat := func(pause time.Duration) { s.after(pause, func() { s.pollReport(w, term) }) }
	s.after(s.latency(), func() {
		if !w.alive && s.now >= w.partitionedUntil { // the agent finds that its worker does not answer
			s.after(s.latency(), func() {
				if s.term == term && s.core == c && s.now >= w.partitionedUntil {
					c.ApplyReport(Report{Node: w.node, SentAt: sentAt, ReceivedAt: s.now, WorkerDown: true}, s.wall())
				}
				repeat(100 * time.Millisecond)
			})
			return
		}
		if !w.alive || s.now < w.partitionedUntil || fence < w.fence || w.knownIncarnation == (batch.Incarnation{}) {
			repeat(300 * time.Millisecond)
			return
		}
		w.fence = fence
		if incarnation == w.knownIncarnation { // the worker itself compares only its id
			s.extendLease(w, lease)
			s.ackEnds(w, ack)
		}
		report := Report{Node: w.node, SentAt: sentAt, AckedThrough: ack, Worker: &batch.Worker{
			Incarnation: w.knownIncarnation, Service: "s", Rack: w.node[:1], Cell: w.cell,
			Capacity: batch.Resources{MilliCPU: 32000, MemoryMB: 64000, Accelerators: w.announced}, Leaving: w.leaving,
			Sequence: s.now.Milliseconds()}, Runs: w.report(s.now)}
		if summary, refusing := w.refusals.Summary(s.now); refusing {
			report.Refusals = &summary
		}
		s.after(s.latency(), func() {
			if s.term == term && s.core == c && s.now >= w.partitionedUntil {
				report.ReceivedAt = s.now
				c.ApplyReport(report, s.wall())
			}
			repeat(100 * time.Millisecond)
		})
	})
}

// freeze suspends the agent of a worker for some time.
func (s *sim) freeze(w *simWorker, d time.Duration) {
	w.frozenUntil = s.now + d
	w.partitionedUntil = max(w.partitionedUntil, w.frozenUntil)
}

// ackEnds removes the ended runs up to number n from the worker's list.
func (s *sim) ackEnds(w *simWorker, n int64) {
	s.checker.EndsAcknowledged(w.node, n)
	for len(w.ended) > 0 && w.ended[0].Number <= n {
		w.ended = w.ended[1:]
	}
}

func (w *simWorker) sorted() []*simRun {
	return slices.SortedFunc(maps.Values(w.runs), func(a, b *simRun) int { return a.task.Compare(b.task) })
}

func (w *simWorker) report(now time.Duration) *batch.Runs {
	runs := &batch.Runs{Incarnation: w.incarnation, ClockMS: w.clock(now),
		Ended: append([]batch.EndedTask(nil), w.ended...)}
	for _, r := range w.sorted() {
		runs.Running = append(runs.Running, batch.RunningTask{Task: r.task, Run: r.run,
			Percent: int(100 * (r.total - r.remaining) / r.total)})
	}
	return runs
}

// sendOrder delivers an order of a term's leader. With faults, answers are lost and orders are delayed.
func (s *sim) sendOrder(o Order, term int64) {
	c := s.core
	w := s.workers[0]
	for _, x := range s.workers {
		if x.node == o.Node {
			w = x
		}
	}
	lease, ok := c.GrantLease(o.Node, o.Incarnation)
	if o.Kind == OrderStart {
		lease, ok = c.GrantStart(o.Node, o.Incarnation)
	}
	answer := func(v batch.Verdict) {
		s.after(s.latency(), func() {
			if s.core == c {
				c.ApplyVerdict(o, v, "", s.now)
			}
		})
	}
	if o.Kind == OrderStart && !ok {
		answer(batch.VerdictNotSent)
		return
	}
	fence := term*epochsPerTerm + c.Epoch(o.Node)
	if c.worker(o.Node, s.now).incarnation() != o.Incarnation {
		answer(batch.VerdictOldIncarnation)
		return
	}
	execute := func() batch.Verdict { return s.executeOrder(w, o, fence, lease, false) }
	switch {
	case s.faults && s.rng.Float64() < 0.05: // carried out late, never answered
		incarnation := w.incarnation
		s.after(s.between(2*time.Second, 12*time.Second), func() {
			if w.alive && w.incarnation == incarnation { // a worker that dies does not carry out what was delayed
				s.executeOrder(w, o, fence, lease, true)
			}
		})
		s.after(400*time.Millisecond, func() { answer(batch.VerdictUnknown) })
	case s.now < w.frozenUntil:
		incarnation := w.incarnation
		s.after(w.frozenUntil-s.now, func() {
			if w.alive && w.incarnation == incarnation {
				s.executeOrder(w, o, fence, lease, true)
			}
		})
		s.after(400*time.Millisecond, func() { answer(batch.VerdictUnknown) })
	case s.now < w.partitionedUntil || !w.alive:
		s.after(400*time.Millisecond, func() { answer(batch.VerdictUnknown) })
	default:
		s.after(s.latency(), func() {
			if !w.alive {
				answer(batch.VerdictUnknown)
				return
			}
			v := execute()
			if s.faults && s.rng.Float64() < 0.05 {
				v = batch.VerdictUnknown
			}
			answer(v)
		})
	}
}

// executeOrder carries out an order on a worker and returns its verdict. late means that the order was held up for long.
func (s *sim) executeOrder(w *simWorker, o Order, fence, lease int64, late bool) batch.Verdict {
	if o.Incarnation != w.knownIncarnation {
		return batch.VerdictOldIncarnation
	}
	if fence < w.fence {
		return batch.VerdictFenced
	}
	w.fence = fence
	if o.Kind == OrderStop {
		w.highestEnded[o.Task] = max(w.highestEnded[o.Task], o.Run)
		if r := w.runs[o.Task]; r != nil && r.run == o.Run && r.stopAt == 0 {
			r.stopAt = s.now + s.between(50*time.Millisecond, 190*time.Millisecond)
		}
		return batch.VerdictAccepted
	}
	if r := w.runs[o.Task]; r != nil && r.run == o.Run {
		return batch.VerdictAccepted
	}
	switch {
	case s.now < w.refusesUntil:
		w.refusals.Refuse(s.now)
		return batch.VerdictRefused
	case lease <= w.clock(s.now):
		return batch.VerdictLeaseExpired
	case o.Run <= w.highestEnded[o.Task]:
		return batch.VerdictStale
	}
	used := 0
	for _, r := range w.runs {
		used += s.step(r.task).Need.Accelerators
	}
	if w.enforces && used+s.step(o.Task).Need.Accelerators > w.capacity {
		return batch.VerdictNoCapacity
	}
	if late {
		s.checker.RunStartedLate(w.node, o.Task, o.Run, o.Payload, s.now)
	} else {
		s.checker.RunStarted(w.node, o.Task, o.Run, o.Payload, s.now)
	}
	s.extendLease(w, lease)
	work := s.between(500*time.Millisecond, 3*time.Second)
	if s.longWork > 0 {
		work = s.longWork
	}
	if s.uneven {
		work = s.between(1700*time.Millisecond, 2300*time.Millisecond)
		if slices.Index(s.workers, w)%3 == 0 {
			work = work * 12 / 5
		}
	}
	w.refusals.Accept()
	w.runs[o.Task] = &simRun{task: o.Task, run: o.Run, remaining: work, total: work, startedAt: s.now,
		fails: s.faults && s.rng.Float64() < 0.04, hangs: s.faults && s.rng.Float64() < 0.02}
	if delay, ok := s.crashDelays[o.Task]; ok {
		s.crashAfter(w, w.runs[o.Task], delay)
	}
	return batch.VerdictAccepted
}

func (s *sim) step(id batch.TaskID) *batch.Step {
	j := s.jobs[id.Job]
	return &j.Steps[id.Step]
}

// advanceRuns advances the runs of a worker by simStep.
func (s *sim) advanceRuns(w *simWorker) {
	if !w.alive {
		return
	}
	leaseExpired := w.lease <= w.clock(s.now)
	if leaseExpired {
		s.checker.LeaseExpired(w.node)
	}
	for _, r := range w.sorted() {
		switch {
		case leaseExpired:
			s.end(w, r, batch.OutcomeLeaseExpired)
		case r.stopAt != 0 && s.now >= r.stopAt:
			s.end(w, r, batch.OutcomeStopped)
		case s.step(r.task).Gang && !s.gangComplete(r):
			if r.waited += simStep; r.waited > simConfig.GangWait {
				if !s.faults && s.now > s.recoveredAt {
					s.checker.AddViolation(s.now, "GANG: %v run %d ended alone", r.task, r.run)
				}
				s.end(w, r, batch.OutcomeGangIncomplete)
			}
		case r.hangs:
		default:
			if r.remaining -= simStep; r.remaining <= 0 {
				if r.fails {
					s.end(w, r, batch.OutcomeFailed)
				} else {
					s.endDone(w, r)
				}
			}
		}
	}
}

// gangComplete reports whether each member of the run is either in progress or done.
func (s *sim) gangComplete(r *simRun) bool {
	for n := range s.step(r.task).Count {
		id := r.task
		id.Index = n
		found := s.checker.IsTaskCompleted(id, s.now)
		for _, w := range s.workers {
			if m := w.runs[id]; m != nil && m.run == r.run {
				found = true
			}
		}
		if !found {
			return false
		}
	}
	return true
}

// endDone ends a run as done, and the other members of its gang with it: they end together.
func (s *sim) endDone(w *simWorker, r *simRun) {
	s.end(w, r, batch.OutcomeDone)
	if !s.step(r.task).Gang {
		return
	}
	for n := range s.step(r.task).Count {
		id := r.task
		id.Index = n
		for _, other := range s.workers {
			if m := other.runs[id]; m != nil && m.run == r.run {
				s.end(other, m, batch.OutcomeDone)
			}
		}
	}
}

func (s *sim) end(w *simWorker, r *simRun, how batch.Outcome) {
	klog.InfoS("SIM end", "at", s.now, "node", w.node, "task", r.task, "run", r.run, "how", how)
	delete(w.runs, r.task)
	w.endCount++
	w.highestEnded[r.task] = max(w.highestEnded[r.task], r.run)
	w.ended = append(w.ended, batch.EndedTask{Number: w.endCount, Task: r.task, Run: r.run, Outcome: how})
	s.checker.RunEnded(w.node, w.endCount, r.task, r.run, how, s.now)
}

func (s *sim) crash(w *simWorker) {
	klog.InfoS("SIM crash", "at", s.now, "node", w.node)
	s.checker.WorkerTerminated(w.node)
	w.alive = false
	w.runs = map[batch.TaskID]*simRun{}
}

// crashAfter crashes a worker because of a run that it has just started, unless the run ends before. The worker starts
// again some seconds later.
func (s *sim) crashAfter(w *simWorker, r *simRun, delay time.Duration) {
	s.after(delay, func() {
		if !w.alive || w.runs[r.task] != r {
			return
		}
		s.checker.TaskCrashedWorker(r.task)
		s.crash(w)
		s.after(s.between(2500*time.Millisecond, 4*time.Second), func() { s.startWorker(w) })
	})
}

// leaderRound is one round of the leader's main loop.
func (s *sim) leaderRound() {
	c, term := s.core, s.term
	if c == nil {
		return
	}
	c.Tick(s.now, s.wall())
	for _, o := range c.DrainOrders() {
		s.sendOrder(o, term)
	}
	b, err := c.NextBatch(maxChangesPerTxn)
	if err != nil {
		s.t.Fatal(err)
	}
	if b == nil {
		return
	}
	s.after(max(s.latency(), s.storeDownUntil-s.now), func() {
		if s.term != term { // rejected because the leader key has changed
			return
		}
		s.revision++
		for _, ch := range b.Changes {
			if ch.Delete {
				delete(s.store, ch.Job)
			} else {
				s.store[ch.Job] = stored{ch.Record, s.revision}
			}
		}
		rev := s.revision
		s.after(s.latency(), func() {
			if s.core == c {
				for _, o := range c.ApplyCommit(b, rev, s.now) {
					s.sendOrder(o, term)
				}
			}
		})
	})
}

// advance advances the simulation by d, or up to the first violation.
func (s *sim) advance(d time.Duration) {
	for end := s.now + d; s.now < end && len(s.checker.Violations()) == 0; s.now += simStep {
		for {
			due := -1
			for i, e := range s.events {
				if e.at <= s.now && (due < 0 || e.at < s.events[due].at) {
					due = i
				}
			}
			if due < 0 {
				break
			}
			do := s.events[due].do
			s.events = append(s.events[:due], s.events[due+1:]...)
			do()
		}
		for _, w := range s.workers {
			s.advanceRuns(w)
		}
		if s.now.Milliseconds()%30 == 0 {
			s.leaderRound()
		}
	}
}

func (s *sim) submit(j batch.Job) {
	j.AcceptedAt = s.wall()
	s.jobs[j.ID] = j
	s.checker.JobSubmitted(j)
	s.drawCrash(j)
	if s.core != nil {
		if err := s.core.AddJob(j, nil, 0, s.now, s.wall()); err != nil {
			s.t.Fatal(err)
		}
	}
}

// drawCrash makes a task of every eighth job crash its workers: mostly right after its start, sometimes later.
func (s *sim) drawCrash(j batch.Job) {
	if s.crashRng == nil || s.crashRng.IntN(8) != 0 {
		return
	}
	id := batch.TaskID{Job: j.ID, Step: s.crashRng.IntN(len(j.Steps))}
	id.Index = s.crashRng.IntN(j.Steps[id.Step].Count)
	s.crashDelays[id] = 10 * time.Millisecond
	if s.crashRng.IntN(3) == 0 {
		s.crashDelays[id] = time.Duration(s.crashRng.Int64N(int64(2 * time.Second)))
	}
}

func (s *sim) cancel(id string) {
	if _, ok := s.cancelled[id]; ok {
		return
	}
	s.cancelled[id] = s.now
	s.checker.JobCancelled(id, s.now)
	if s.core != nil {
		s.core.Cancel(id, s.now, s.wall())
	}
}

// randomJob returns a random job of one to three steps.
func (s *sim) randomJob(n int) batch.Job {
	q := simQueue(s.rng.IntN(3))
	j := batch.Job{ID: fmt.Sprintf("%016x", n+1), Queue: q, Payload: fmt.Sprint("payload ", n)}
	for i := range 1 + s.rng.IntN(3) {
		step := batch.Step{Count: 1 + s.rng.IntN(4), Estimate: 2 * time.Second, Gang: s.rng.IntN(3) == 0,
			Need:        batch.Resources{MilliCPU: 1000, MemoryMB: 1000, Accelerators: 1 << s.rng.IntN(4)},
			OneRack:     s.rng.IntN(3) == 0,
			Checkpoints: s.rng.IntN(2) == 0}
		if i > 0 && s.rng.IntN(2) == 0 {
			step.After = []int{i - 1}
		}
		j.Steps = append(j.Steps, step)
	}
	return j
}
