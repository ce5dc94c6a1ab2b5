package scheduler

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/scheduler/policy"
)

const (
	loadStep   = 20 * time.Millisecond // resolution of the simulated clock
	loadReport = 400 * time.Millisecond
	// loadPlanPause is the pause after a plan for each worker of the fleet, about planPauseFactor times a plan on the
	// larger entries.
	loadPlanPause = 400 * time.Microsecond
	// loadDrain is the longest time in which all accepted jobs must be done after the last submission.
	loadDrain = 150 * time.Second
)

// loadConfig has the bounds of the deployments for which the loads stand.
var loadConfig = Config{Lease: 7500 * time.Millisecond, MaxLease: 10 * time.Second, TakeoverWait: 13 * time.Second,
	StopTimeout: 200 * time.Millisecond, GangWait: 4 * time.Second, RemoteFactor: 3, FinalStateRetention: time.Hour,
	RestoreTime: 200 * time.Millisecond}

var loadCatalog = &batch.Catalog{Version: 1, Queues: []batch.Queue{
	{Name: "urgent", Service: "s", Priority: 0, SlackFactor: 1.5, TargetLatency: 400 * time.Millisecond},
	{Name: "gangs", Service: "s", Priority: 1, SlackFactor: 3, TargetLatency: 1200 * time.Millisecond},
	{Name: "surveys", Service: "s", Priority: 2, SlackFactor: 3, TargetLatency: 3 * time.Second}},
	Teams: []batch.Team{{Name: "a"}, {Name: "b", GuaranteedAccelerators: 60}}}

// loadPattern is a stream of jobs, one of the loads that the policy addresses. Shares are of the capacity of the fleet,
// by priority.
type loadPattern struct {
	name     string
	duration time.Duration
	shares   [3]float64
	// shareA is the part of the work that team a submits.
	shareA float64
	// burst adds work as a multiple of a second of the whole fleet, by priority, within burstTime from burstAt on.
	burst     [3]float64
	burstAt   time.Duration
	burstTime time.Duration
	takeover  time.Duration // when the leader is replaced; zero for never
	// better reports whether callers of the kind that the load is about got more than with other rules; nil for no
	// difference.
	better func(got, other *loadSum) bool
}

var loadPatterns = []loadPattern{
	// A fleet with room: no rule for scarcity may cost anything here.
	{name: "calm", duration: 10 * time.Second, shares: [3]float64{0.1, 0.2, 0.15}, shareA: 0.5},
	// A burst of urgent gangs on a full fleet: callers wait for a result within seconds, and each gang needs many slots
	// at once that other work holds.
	{name: "urgent-burst", duration: 10 * time.Second, shares: [3]float64{0.15, 0.3, 0.8}, shareA: 0.5,
		burst: [3]float64{4, 0, 0}, burstAt: 5 * time.Second, burstTime: 2 * time.Second,
		better: func(got, other *loadSum) bool { return got.inTime[0] > other.inTime[0] && got.lost < other.lost }},
	// Large survey jobs that fill the fleet: more of them than the fleet can do, beside gangs with an aim of their own.
	{name: "large-surveys", duration: 10 * time.Second, shares: [3]float64{0.08, 0.6, 3}, shareA: 0.5,
		better: func(got, other *loadSum) bool {
			return got.inTime[2] > other.inTime[2] && got.inTime[1] >= other.inTime[1]
		}},
	// A team that takes more than its share: team a submits several times what the fleet can do.
	{name: "team-over-share", duration: 10 * time.Second, shares: [3]float64{0.06, 4, 0.1}, shareA: 0.85,
		better: func(got, other *loadSum) bool { return got.inTimeOfB > other.inTimeOfB }},
	// Callers that return at the same time, after an outage: twenty seconds of the fleet's work at once.
	{name: "returning-callers", duration: 8 * time.Second, shares: [3]float64{0.08, 0.35, 0.3}, shareA: 0.5,
		burst: [3]float64{1, 14, 8}, burstAt: 3 * time.Second, burstTime: 200 * time.Millisecond,
		better: func(got, other *loadSum) bool { return got.inTime[1] > other.inTime[1] }},
	// The same with a new leader in the middle, which must go on as the previous one would have.
	{name: "returning-callers-takeover", duration: 8 * time.Second, shares: [3]float64{0.08, 0.35, 0.3}, shareA: 0.5,
		burst: [3]float64{1, 14, 8}, burstAt: 3 * time.Second, burstTime: 200 * time.Millisecond, takeover: 6 * time.Second,
		better: func(got, other *loadSum) bool { return got.inTime[1] > other.inTime[1] }},
}

// loadJob is a job of a load with what its caller got.
type loadJob struct {
	batch.Job
	at, took, aim time.Duration // submission, duration of one task, aim from the submission
	done          int           // tasks
	endedAt       time.Duration
}

func (p *loadPattern) jobs(seed uint64, workers int) []*loadJob {
	rng := rand.New(rand.NewPCG(seed, 7))
	acceleratorSeconds := float64(workers * fixtureAccelerators)
	var jobs []*loadJob
	add := func(priority int, at time.Duration) float64 {
		j := newLoadJob(rng, priority)
		if j.Team = "b"; rng.Float64() < p.shareA {
			j.Team = "a"
		}
		j.at = at
		jobs = append(jobs, j)
		return float64(j.Steps[0].Count*j.Steps[0].Need.Accelerators) * j.took.Seconds()
	}
	for priority, share := range p.shares {
		for at := time.Duration(0); share > 0 && at < p.duration; {
			work := add(priority, at)
			at += time.Duration(work / (share * acceleratorSeconds) * (0.5 + rng.Float64()) * float64(time.Second))
		}
		for left := p.burst[priority] * acceleratorSeconds; left > 0; {
			left -= add(priority, p.burstAt+time.Duration(rng.Float64()*float64(p.burstTime)))
		}
	}
	slices.SortStableFunc(jobs, func(a, b *loadJob) int { return cmp.Compare(a.at, b.at) })
	for i, j := range jobs {
		j.ID = fmt.Sprintf("%016x", i+1)
	}
	return jobs
}

// newLoadJob draws a job as on the deployments: urgent gangs of five tasks, gangs of seven or eight, surveys of 39. The
// estimate is off by up to a factor of 1.7.
func newLoadJob(rng *rand.Rand, priority int) *loadJob {
	q := loadCatalog.Queues[priority]
	step := batch.Step{Count: 5, Gang: true, Need: batch.Resources{MilliCPU: 1000, MemoryMB: 100, Accelerators: 1 + rng.IntN(8)}}
	seconds := 2.1 + 0.4*rng.Float64()
	switch priority {
	case 1:
		step.Count, step.Need.Accelerators, step.Checkpoints = 7+rng.IntN(2), 1<<rng.IntN(4), rng.IntN(2) == 0
		seconds = 6.3 + 1.4*rng.Float64()
	case 2:
		step.Count, step.Gang, step.Need.Accelerators, step.Checkpoints = 39, false, 1, rng.IntN(2) == 0
		seconds = 5.6 + 1.4*rng.Float64()
	}
	j := &loadJob{took: time.Duration(seconds * float64(time.Second))}
	step.Estimate = time.Duration(float64(j.took) * math.Pow(1.7, 2*rng.Float64()-1))
	j.aim = time.Duration(float64(j.took)*q.SlackFactor) + q.TargetLatency
	j.Job = batch.Job{Queue: q, Steps: []batch.Step{step}}
	return j
}

// loadRun is a run on a worker of the model.
type loadRun struct {
	task        batch.TaskID
	run         int
	job         *loadJob
	total, left time.Duration // with the time to restore
	stopAt      time.Duration // zero if no stop is ordered
}

type loadWorker struct {
	node  string
	runs  []*loadRun
	ended []batch.EndedTask
	count int64
	fresh bool // an end has not been reported
}

// loadModel drives a core with a small model of workers, without messages that are lost or late.
type loadModel struct {
	t       testing.TB
	rng     *rand.Rand
	now     time.Duration
	base    time.Time
	core    *Core
	setUp   func(*Core)
	workers []*loadWorker
	byNode  map[string]*loadWorker
	jobs    map[string]*loadJob
	saved   map[batch.TaskID]time.Duration // work that a checkpoint holds
	records map[string][]byte
	lost    map[LossCause]float64 // of previous leaders
	stops   int64
	open    int
}

// run drives a load to its end and returns what the callers got.
func (p *loadPattern) run(t testing.TB, seed uint64, workers int, setUp func(*Core)) loadResult {
	m := &loadModel{t: t, rng: rand.New(rand.NewPCG(seed, 8)), base: time.Unix(1_800_000_000, 0), setUp: setUp,
		byNode: map[string]*loadWorker{}, jobs: map[string]*loadJob{}, saved: map[batch.TaskID]time.Duration{},
		records: map[string][]byte{}, lost: map[LossCause]float64{}}
	for i := range workers {
		w := &loadWorker{node: fmt.Sprintf("w%03d", i)}
		m.workers, m.byNode[w.node] = append(m.workers, w), w
	}
	m.lead()
	jobs := p.jobs(seed, workers)
	for next := 0; next < len(jobs) || m.open > 0; m.now += loadStep {
		if m.now > p.duration+loadDrain {
			t.Fatalf("%s: %d jobs are not done %v after the last submission", p.name, m.open, loadDrain)
		}
		for ; next < len(jobs) && jobs[next].at <= m.now; next++ {
			m.submit(jobs[next])
		}
		if p.takeover > 0 && m.now == p.takeover {
			m.keepAccount()
			m.lead()
		}
		m.step()
	}
	m.keepAccount()
	return loadResult{jobs: jobs, lost: m.lost, stops: m.stops}
}

func (m *loadModel) wall() time.Time { return m.base.Add(m.now) }

func (m *loadModel) keepAccount() {
	for cause, lost := range m.core.LostWork() {
		m.lost[cause] += lost
	}
	m.stops += m.core.stats.Preempted
}

// lead starts a leader that knows the jobs and their records.
func (m *loadModel) lead() {
	m.core = NewCore(loadConfig, m.now)
	m.setUp(m.core)
	m.core.SetCatalog(loadCatalog)
	for _, id := range slices.Sorted(maps.Keys(m.jobs)) {
		if err := m.core.AddJob(m.jobs[id].Job, m.records[id], 1, m.now, m.wall()); err != nil {
			m.t.Fatal(err)
		}
	}
	for _, w := range m.workers {
		m.report(w)
	}
}

func (m *loadModel) submit(j *loadJob) {
	j.AcceptedAt = m.wall()
	m.jobs[j.ID] = j
	m.open++
	if err := m.core.AddJob(j.Job, nil, 0, m.now, m.wall()); err != nil {
		m.t.Fatal(err)
	}
}

// step advances the runs, reports, and lets the leader plan and commit.
func (m *loadModel) step() {
	for i, w := range m.workers {
		for _, r := range w.runs {
			if r.left > 0 && r.stopAt == 0 {
				r.left -= loadStep
			}
		}
		for _, r := range slices.Clone(w.runs) {
			m.endIfDue(w, r)
		}
		if w.fresh || (m.now/loadStep)%(loadReport/loadStep) == time.Duration(i)%(loadReport/loadStep) {
			m.report(w)
		}
	}
	plannedAt := m.core.plannedAt
	m.core.Tick(m.now, m.wall())
	if m.core.plannedAt != plannedAt { // the core would use the time that the plan took on this machine
		m.core.earliestPlan = m.now + time.Duration(len(m.workers))*loadPlanPause
	}
	for _, o := range m.core.DrainOrders() {
		m.carryOut(o)
	}
	for {
		b, err := m.core.NextBatch(1000)
		if err != nil {
			m.t.Fatal(err)
		}
		if b == nil {
			return
		}
		for _, c := range b.Changes {
			m.records[c.Job] = c.Record
		}
		for _, o := range m.core.ApplyCommit(b, 1, m.now) {
			m.carryOut(o)
		}
	}
}

// endIfDue ends a run that was stopped or is done. The members of a gang end together.
func (m *loadModel) endIfDue(w *loadWorker, r *loadRun) {
	switch {
	case r.stopAt != 0 && m.now >= r.stopAt:
		if r.job.Steps[0].Checkpoints {
			m.saved[r.task] = r.job.took - min(r.left, r.job.took)
		}
		m.end(w, r, batch.OutcomeStopped)
	case r.stopAt != 0 || r.left > 0 || !slices.Contains(w.runs, r):
	case !r.job.Steps[0].Gang:
		m.end(w, r, batch.OutcomeDone)
	default:
		for _, other := range m.workers {
			for _, o := range other.runs {
				if o.job == r.job && (o.run != r.run || o.left > 0) {
					return
				}
			}
		}
		for _, other := range m.workers {
			for _, o := range slices.Clone(other.runs) {
				if o.job == r.job {
					m.end(other, o, batch.OutcomeDone)
				}
			}
		}
	}
}

func (m *loadModel) end(w *loadWorker, r *loadRun, how batch.Outcome) {
	w.runs = slices.DeleteFunc(w.runs, func(o *loadRun) bool { return o == r })
	w.count++
	e := batch.EndedTask{Number: w.count, Task: r.task, Run: r.run, Outcome: how}
	if how == batch.OutcomeStopped && m.saved[r.task] > 0 {
		e.Checkpoint = fmt.Sprintf("%08d", m.saved[r.task].Milliseconds())
	}
	w.ended, w.fresh = append(w.ended, e), true
	if how != batch.OutcomeDone {
		return
	}
	if r.job.done++; r.job.done == r.job.Steps[0].Count {
		r.job.endedAt = m.now
		m.open--
	}
}

func (m *loadModel) report(w *loadWorker) {
	incarnation := batch.Incarnation{ID: w.node, StartedMS: 1}
	_, _, ack := m.core.SyncParameters(w.node, m.now)
	w.ended = slices.DeleteFunc(w.ended, func(e batch.EndedTask) bool { return e.Number <= ack })
	runs := &batch.Runs{Incarnation: incarnation, ClockMS: m.now.Milliseconds(), Ended: slices.Clone(w.ended)}
	for _, r := range w.runs {
		runs.Running = append(runs.Running, batch.RunningTask{Task: r.task, Run: r.run,
			Percent: int(100 * (r.total - max(0, r.left)) / r.total)})
	}
	m.core.ApplyReport(Report{Node: w.node, SentAt: m.now, ReceivedAt: m.now, AckedThrough: ack,
		Worker: &batch.Worker{Incarnation: incarnation, Service: "s", Rack: w.node[:3],
			Capacity: batch.Resources{MilliCPU: 32000, MemoryMB: 64000, Accelerators: fixtureAccelerators},
			Sequence: m.now.Milliseconds() + 1}, Runs: runs}, m.wall())
	m.core.GrantLease(w.node, incarnation)
	w.fresh = false
}

func (m *loadModel) carryOut(o Order) {
	w, j := m.byNode[o.Node], m.jobs[o.Task.Job]
	i := slices.IndexFunc(w.runs, func(r *loadRun) bool { return r.task == o.Task && r.run == o.Run })
	switch {
	case o.Kind == OrderStop && i >= 0 && w.runs[i].stopAt == 0:
		w.runs[i].stopAt = m.now + time.Duration(100+m.rng.IntN(90))*time.Millisecond
	case o.Kind == OrderStart && i < 0:
		r := &loadRun{task: o.Task, run: o.Run, job: j, left: j.took}
		r.left = time.Duration(float64(j.took) * (0.9 + 0.2*m.rng.Float64()))
		if saved := m.saved[o.Task]; saved > 0 {
			r.left += loadConfig.RestoreTime - saved
		}
		r.total = max(r.left, j.took)
		w.runs = append(w.runs, r)
	}
	m.core.ApplyVerdict(o, batch.VerdictAccepted, "", m.now)
}

// loadResult is what the callers of a load got and what was lost.
type loadResult struct {
	jobs  []*loadJob
	lost  map[LossCause]float64
	stops int64
}

// served counts the jobs that were done within their aim, within three times their aim, and later, by a condition.
func (r *loadResult) served(of func(*loadJob) bool) (inTime, late, overdue int, waited time.Duration) {
	for _, j := range r.jobs {
		if !of(j) {
			continue
		}
		took := j.endedAt - j.at
		waited += took - j.took
		switch {
		case took <= j.aim:
			inTime++
		case took <= 3*j.aim:
			late++
		default:
			overdue++
		}
	}
	return inTime, late, overdue, waited
}

// value is the worth of what the callers got: one for a job in time, a third for a late one, by the weight of its
// priority.
func (r *loadResult) value() float64 {
	sum := 0.0
	for priority, weight := range [...]float64{4, 2, 1} {
		inTime, late, _, _ := r.served(func(j *loadJob) bool { return j.Queue.Priority == priority })
		sum += weight * (float64(inTime) + float64(late)/3)
	}
	return sum
}

func (r *loadResult) lostSum() float64 {
	sum := 0.0
	for _, lost := range r.lost {
		sum += lost
	}
	return sum
}

// Earlier rules of the scheduler, with which the policy is compared: within a priority the oldest job first, or the
// earliest latest start first, also of work that cannot meet its aim any more. Urgent work preempted up to twice its
// own work, whether or not that was in time for it.
var (
	firstComeFirstServed = rules{func(a, b *policy.Demand, _ time.Duration) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), -policy.CompareBool(a.Guaranteed, b.Guaranteed),
			cmp.Compare(a.AcceptedAt, b.AcceptedAt))
	}, preemptUpToTwiceTheWork}
	byLatestStart = rules{func(a, b *policy.Demand, _ time.Duration) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), -policy.CompareBool(a.Guaranteed, b.Guaranteed),
			cmp.Compare(a.Aim-a.Remaining, b.Aim-b.Remaining))
	}, preemptUpToTwiceTheWork}
)

func preemptUpToTwiceTheWork(d *policy.Demand, loss float64, _, _ time.Duration) bool {
	return d.Guaranteed || d.Priority == 0 && loss <= 2*d.Work
}

// loadSum adds up what the callers of a load got with several seeds.
type loadSum struct {
	inTime, late, overdue [3]int // by priority
	inTimeOfB             int    // jobs of the team that does not take more than its share
	waited                [3]time.Duration
	stops                 int64
	value, lost           float64
}

func (p *loadPattern) sum(t testing.TB, workers int, seeds uint64, r rules) loadSum {
	var s loadSum
	for seed := uint64(1); seed <= seeds; seed++ {
		result := p.run(t, seed, workers, func(c *Core) { c.rules = r })
		for q := range 3 {
			inTime, late, overdue, waited := result.served(func(j *loadJob) bool { return j.Queue.Priority == q })
			s.inTime[q], s.late[q], s.overdue[q] = s.inTime[q]+inTime, s.late[q]+late, s.overdue[q]+overdue
			s.waited[q] += waited
		}
		ofB, _, _, _ := result.served(func(j *loadJob) bool { return j.Team == "b" })
		s.inTimeOfB += ofB
		s.stops, s.value, s.lost = s.stops+result.stops, s.value+result.value(), s.lost+result.lostSum()
	}
	return s
}

func (s *loadSum) String() string {
	var b strings.Builder
	for q := range 3 {
		fmt.Fprintf(&b, "p%d %3d/%3d/%d %5.0f s  ", q, s.inTime[q], s.late[q], s.overdue[q], s.waited[q].Seconds())
	}
	fmt.Fprintf(&b, "b %3d  value %6.1f  stops %4d  lost %6.0f", s.inTimeOfB, s.value, s.stops, s.lost)
	return b.String()
}

// Guards against a policy that serves callers no better than the earlier rules under the load that it addresses, that
// costs something on a calm fleet, or that starves a job: each run fails if a job is not done in time, see loadDrain.
func TestLoads(t *testing.T) {
	for _, fleet := range []struct {
		workers int
		seeds   uint64
		scale   float64 // of the durations and bursts, to keep the larger fleet within two seconds
	}{{70, 4, 1}, {300, 1, 0.5}} {
		for _, p := range loadPatterns {
			t.Run(fmt.Sprintf("%s/%d", p.name, fleet.workers), func(t *testing.T) {
				t.Parallel()
				p := p.scaled(fleet.scale)
				got := p.sum(t, fleet.workers, fleet.seeds, policyRules)
				byAge := p.sum(t, fleet.workers, fleet.seeds, firstComeFirstServed)
				byStart := p.sum(t, fleet.workers, fleet.seeds, byLatestStart)
				t.Logf("%3d %-26s policy        %s", fleet.workers, p.name, &got)
				t.Logf("%3d %-26s oldest first  %s", fleet.workers, p.name, &byAge)
				t.Logf("%3d %-26s latest start  %s", fleet.workers, p.name, &byStart)
				for name, other := range map[string]loadSum{"oldest first": byAge, "latest start": byStart} {
					if fleet.workers == 70 && (got.value < other.value || p.better != nil && !p.better(&got, &other)) {
						t.Errorf("not better than %s", name)
					}
					// One seed of a short load says less of the order: it must not be worse by more than a hundredth.
					if got.value < 0.99*other.value {
						t.Errorf("worse than %s", name)
					}
				}
			})
		}
	}
}

// scaled returns the load with its times and bursts multiplied by a factor.
func (p loadPattern) scaled(factor float64) loadPattern {
	for _, d := range []*time.Duration{&p.duration, &p.burstAt, &p.burstTime, &p.takeover} {
		*d = time.Duration(float64(*d) * factor).Truncate(loadStep)
	}
	for i := range p.burst {
		p.burst[i] *= factor
	}
	return p
}

// Guards against a verdict that depends on the machine or on the order of a map.
func TestLoadsAreReproducible(t *testing.T) {
	p := loadPatterns[1].scaled(0.5)
	if a, b := p.sum(t, 20, 1, policyRules), p.sum(t, 20, 1, policyRules); a != b {
		t.Errorf("%s\n%s", &a, &b)
	}
}
