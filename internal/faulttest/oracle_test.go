package faulttest_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"masticcart.example/masticcart/internal/config"
	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/placement"
	"masticcart.example/masticcart/internal/protocol"
)

const (
	checkInterval = 250 * time.Millisecond
	// recoveryTime is the time after a fault by which the guarantees must be reclaimable again. It covers the detection
	// of a lost upstream, the expiry of its members' leases and a new plan for the queue.
	recoveryTime = 40 * time.Second
	// partialViewTime is the time after a fault during which the owner may know only a part of the workers.
	partialViewTime = 10 * time.Second
	// maxViewLag is the time by which the owner's view may be behind the agents' reports.
	maxViewLag = 3 * time.Second
	// maxClaimsPerWindow bounds the claims of one job within claimWindow. More of them load the platform without progress.
	maxClaimsPerWindow = 20
	claimWindow        = 10 * time.Second
)

// oracle checks the invariants of docs/design.md against the records that the platform stored and the tasks that the
// upstreams ran.
type oracle struct {
	cell            *testCell
	records         map[model.JobKey][]model.Job // versions that were passed to checkPut, oldest first
	runs            map[model.JobKey][]*taskRun
	holds           map[string]bool       // accepted holds, by holdKey
	acknowledged    map[model.JobKey]bool // acknowledged submissions
	cancelled       map[model.JobKey]bool // acknowledged cancellations
	acceptedMarks   map[string]bool       // marks of configuration changes that were reported as accepted
	refusedMarks    map[string]bool       // marks of changes that were reported as not applied
	appliedVersions map[*config.Applier]int64

	partialSince        map[string]time.Time // by gang that runs without some of its members
	lastFault           time.Time
	lastIsolatedOwner   time.Time // last time that one of several owners was partitioned from the platform
	guarantees          string    // the guarantees in force at the owner
	lastGuaranteeChange time.Time
	unreclaimableSince  time.Time                    // zero while the guarantees can be reclaimed
	counts              map[string]int               // events and checks, by kind
	recentClaims        map[model.JobKey][]time.Time // claims within claimWindow
}

func newOracle(tc *testCell) *oracle {
	return &oracle{
		cell:            tc,
		records:         make(map[model.JobKey][]model.Job),
		runs:            make(map[model.JobKey][]*taskRun),
		holds:           make(map[string]bool),
		acknowledged:    make(map[model.JobKey]bool),
		cancelled:       make(map[model.JobKey]bool),
		acceptedMarks:   make(map[string]bool),
		refusedMarks:    make(map[string]bool),
		appliedVersions: make(map[*config.Applier]int64),
		partialSince:    make(map[string]time.Time),
		counts:          make(map[string]int),
		recentClaims:    make(map[model.JobKey][]time.Time),
	}
}

func holdKey(agent, incarnation string, ref protocol.TaskRef, members []model.Member) string {
	return fmt.Sprint(agent, incarnation, ref, members)
}

// recordHold notes that an agent accepted a hold.
func (o *oracle) recordHold(agent, incarnation string, ref protocol.TaskRef, members []model.Member) {
	o.holds[holdKey(agent, incarnation, ref, members)] = true
}

// allHeld reports whether every member's agent accepted a hold for this attempt of the same gang.
func (o *oracle) allHeld(ref protocol.TaskRef, members []model.Member) bool {
	for _, m := range members {
		if !o.holds[holdKey(m.Agent, m.Incarnation, ref, members)] {
			return false
		}
	}
	return true
}

// checkRefusedStart checks a start that an upstream refused for lack of free units. This is permitted only on an
// executor where requests of an earlier incarnation of the agent still run. Otherwise a unit was allocated twice.
func (o *oracle) checkRefusedStart(u *upstream, r *taskRun) {
	for _, other := range u.runs {
		if other.state == runRunning && other.incarnation != r.incarnation && !u.worker {
			return
		}
	}
	o.cell.violate("units allocated twice: %s has %d in use of %d and received a start of %s with %d",
		u.name, u.unitsInUse(), u.units, refName(r.ref), r.units)
}

// checkStart checks a start that an upstream accepted: all members hold their units, the claim is recorded, there is no
// outcome yet, and the task neither overlaps another attempt nor repeats work that is not idempotent.
func (o *oracle) checkStart(u *upstream, r *taskRun) {
	key := r.ref.Job
	u.trace("%s runs %s gang %s", u.name, refName(r.ref), r.gangMembers)
	o.counts["starts"]++
	if !o.allHeld(r.ref, r.members) {
		o.cell.violate("%s started on %s before all members held their units", refName(r.ref), u.name)
	}
	claimed := false
	for _, j := range o.records[key] {
		claimed = claimed || j.State == model.JobClaimed && j.Attempt == r.ref.Attempt && j.Claim == r.ref.Claim &&
			slices.Equal(j.Members, r.members)
		if j.State == model.JobFinished {
			o.cell.violate("%s started on %s after the outcome %+v", refName(r.ref), u.name, *j.Outcome)
		}
	}
	if !claimed {
		o.cell.violate("%s started on %s before its claim was recorded", refName(r.ref), u.name)
	}
	for _, other := range o.runs[key] {
		sameAttempt := other.ref == r.ref && other.gangMembers == r.gangMembers
		switch {
		// Idempotent requests on executors may overlap, so only workers are checked.
		case other.state == runRunning && !sameAttempt && u.worker && !o.overlapAllowed():
			o.cell.violate("attempts overlap: %s started on %s while %s runs on %s",
				refName(r.ref), u.name, refName(other.ref), other.agent)
		case sameAttempt && other.agent == r.agent:
			o.cell.violate("%s started twice on %s", refName(r.ref), u.name)
		case !sameAttempt && !r.spec.Idempotent:
			o.cell.violate("not idempotent: %s started on %s after %s on %s",
				refName(r.ref), u.name, refName(other.ref), other.agent)
		}
	}
	o.runs[key] = append(o.runs[key], r)
}

// checkRemovedResults checks that no agent removes the result of an attempt that the record still claims.
func (o *oracle) checkRemovedResults(agent string, refs []protocol.TaskRef) {
	for _, ref := range refs {
		versions := o.records[ref.Job]
		if len(versions) == 0 {
			continue
		}
		if last := versions[len(versions)-1]; last.State == model.JobClaimed && last.Claim == ref.Claim {
			o.cell.violate("%s removes the result of %s before it is recorded", agent, refName(ref))
		}
	}
}

// checkPut checks the value of a durable write. Submissions do not reach it: they are written by Txn.
func (o *oracle) checkPut(key string, value []byte) {
	switch {
	case strings.HasPrefix(key, "jobs/"):
		var j model.Job
		if err := json.Unmarshal(value, &j); err != nil {
			o.cell.violate("record %s: %v", key, err)
			return
		}
		o.checkJobRecord(j)
	case key == config.HeadKey:
		o.checkConfigDocument(value)
	}
}

func (o *oracle) checkJobRecord(j model.Job) {
	key := j.Spec.Key
	o.cell.trace("record %s %s attempt %d ran=%v %+v", key, j.State, j.Attempt, j.Ran, j.Outcome)
	var last model.Job
	if versions := o.records[key]; len(versions) > 0 {
		last = versions[len(versions)-1]
	}
	o.records[key] = append(o.records[key], j)
	o.countTransition(last, j)
	if last.State == model.JobFinished {
		o.cell.violate("the record of %s was written as %s after its outcome %+v", key, j.State, *last.Outcome)
	}
	ref := protocol.TaskRef{Job: key, Attempt: j.Attempt, Claim: j.Claim}
	if j.State == model.JobClaimed && !o.allHeld(ref, j.Members) {
		o.cell.violate("%s was committed before all members held their units", refName(ref))
	}
	if last.State == model.JobClaimed && j.State != model.JobClaimed {
		o.checkTasksEnded(key, j)
	}
	if j.State == model.JobAccepted && !j.Ran && len(o.runs[key]) > 0 {
		o.cell.violate("%s was requeued as not run, but %s ran", key, refName(o.runs[key][0].ref))
	}
	if j.State == model.JobFinished {
		o.checkOutcome(last, j)
	}
}

// countTransition counts the event that a write of a record stands for, and checks the rate of claims.
func (o *oracle) countTransition(last, j model.Job) {
	if last.State == model.JobAccepted && j.State == model.JobClaimed {
		key, now := j.Spec.Key, o.cell.now
		recent := slices.DeleteFunc(append(o.recentClaims[key], now),
			func(t time.Time) bool { return now.Sub(t) > claimWindow })
		o.recentClaims[key] = recent
		if len(recent) > maxClaimsPerWindow {
			o.cell.violate("%s was claimed %d times in %s", key, len(recent), claimWindow)
		}
	}
	switch {
	case j.State == model.JobFinished:
		o.counts["outcome "+string(j.Outcome.Result)]++
	case j.Revoked && !last.Revoked:
		o.counts["revocations"]++
	case last.State == model.JobClaimed && j.State == model.JobAccepted:
		o.counts["requeues"]++
	}
}

// checkTasksEnded checks that no task of a job runs on a worker when its record stops claiming the attempt.
func (o *oracle) checkTasksEnded(key model.JobKey, j model.Job) {
	for _, r := range o.runs[key] {
		if r.state == runRunning && r.spec.Shape.UsesAccelerators() && !o.overlapAllowed() {
			o.cell.violate("%s became %s while %s runs on %s", key, j.State, refName(r.ref), r.agent)
		}
	}
}

// checkOutcome checks that the outcome agrees with what ran. A done outcome needs the outputs of all members.
func (o *oracle) checkOutcome(last, j model.Job) {
	key, out := j.Spec.Key, j.Outcome
	ran := len(o.runs[key]) > 0
	if !out.Ran && ran {
		o.cell.violate("%s is %s with ran=false, but %s ran on %s",
			key, out.Result, refName(o.runs[key][0].ref), o.runs[key][0].agent)
	}
	if out.Result == model.ResultRefused && (out.Ran || ran) {
		o.cell.violate("%s was refused although it ran", key)
	}
	if out.Result != model.ResultDone {
		return
	}
	ref := protocol.TaskRef{Job: key, Attempt: last.Attempt, Claim: last.Claim}
	var parts []json.RawMessage
	for _, m := range last.Members {
		parts = append(parts, output(ref, m.Agent))
		if !slices.ContainsFunc(o.runs[key], func(r *taskRun) bool {
			return r.ref == ref && r.agent == m.Agent && r.incarnation == m.Incarnation && r.state == runDone
		}) {
			o.cell.violate("%s is done, but member %s is not", refName(ref), m.Agent)
		}
	}
	want, err := json.Marshal(parts)
	if len(parts) == 1 {
		want = parts[0]
	}
	if err != nil || !bytes.Equal(want, out.Output) {
		o.cell.violate("%s is done with output %s, want %s", refName(ref), out.Output, want)
	}
}

// configMarks returns the rule kinds of a stored configuration, which include the marks of its changes.
func configMarks(value []byte) map[string]bool {
	var doc struct {
		Config model.Config `json:"config"`
	}
	marks := make(map[string]bool)
	if json.Unmarshal(value, &doc) == nil {
		for _, r := range doc.Config.Rules {
			marks[r.Kind] = true
		}
	}
	return marks
}

// checkConfigDocument checks that the stored configuration contains every accepted change and no refused one.
func (o *oracle) checkConfigDocument(value []byte) {
	marks := configMarks(value)
	for m := range o.acceptedMarks {
		if !marks[m] {
			o.cell.violate("the accepted change %s is no longer in the configuration", m)
		}
	}
	for m := range o.refusedMarks {
		if marks[m] {
			o.cell.violate("the change %s was reported as not applied, but is in the configuration", m)
		}
	}
}

// applyConfig passes a configuration to an applier and checks that the applied version does not decrease.
func (o *oracle) applyConfig(p *proc, a *config.Applier, c *model.Config) {
	if c == nil {
		return
	}
	a.Apply(c)
	if a.Version() < o.appliedVersions[a] {
		o.cell.violate("%s went from configuration %d to %d", p.name, o.appliedVersions[a], a.Version())
	}
	o.appliedVersions[a] = a.Version()
}

// checkPeriodically runs the checks that depend on time every checkInterval.
func (o *oracle) checkPeriodically() {
	o.checkGangs()
	o.checkGuarantees()
	o.cell.after(checkInterval, o.checkPeriodically)
}

// checkGangs checks that no gang runs without some of its members for longer than GangStopBound, measured at the
// upstreams.
func (o *oracle) checkGangs() {
	now := o.cell.now
	partial := make(map[string]time.Time)
	for _, a := range o.cell.agents {
		for _, r := range a.upstream.runs {
			if r.state != runRunning || len(r.members) < 2 {
				continue
			}
			missing := len(r.members)
			for _, other := range o.runs[r.ref.Job] {
				if other.ref == r.ref && other.gangMembers == r.gangMembers &&
					(other.state == runRunning || other.state == runDone) {
					missing--
				}
			}
			if missing == 0 {
				continue
			}
			gang := refName(r.ref) + r.gangMembers
			since, known := o.partialSince[gang]
			if !known {
				since = now
			}
			partial[gang] = since
			if now.Sub(since) > protocol.GangStopBound {
				o.cell.violate("gang %s has run on %s for %s without %d of its members",
					gang, r.agent, now.Sub(since), missing)
			}
		}
	}
	o.counts["partial gang samples"] += len(partial)
	o.partialSince = partial
}

// overlapAllowed reports whether docs/design.md permits an attempt to run on after its record has changed: an owner
// that is partitioned from the platform and from another owner keeps supervising its jobs. Work that is not idempotent
// must still start at most once.
func (o *oracle) overlapAllowed() bool {
	return !o.lastIsolatedOwner.IsZero() && o.cell.now.Sub(o.lastIsolatedOwner) < recoveryTime
}

// countOwners counts the entries that act as owner, and notes the time if one of several is partitioned from the
// platform. The returned owner is the last of them.
func (o *oracle) countOwners() (owner *entryProc, owners int) {
	isolated := false
	for _, e := range o.cell.entries {
		if e.up && e.coordinator.IsOwner() {
			owner = e
			owners++
			isolated = isolated || o.cell.kv.partitioned[e.name]
		}
	}
	if owners > 1 && isolated {
		o.lastIsolatedOwner = o.cell.now
	}
	return owner, owners
}

// checkGuarantees checks that the guarantees can be reclaimed. It does so only when neither a fault nor a change of the
// guarantees is recent and the cell has a single owner that knows all agents.
func (o *oracle) checkGuarantees() {
	now := o.cell.now
	owner, owners := o.countOwners()
	if owners > 1 {
		o.counts["samples with two owners"]++
	}
	if owner != nil {
		if guarantees := fmt.Sprint(owner.applier.Current().Guarantees); guarantees != o.guarantees {
			o.guarantees, o.lastGuaranteeChange = guarantees, now
		}
	}
	applicable := owners == 1 && now.Sub(o.lastFault) > recoveryTime && now.Sub(o.lastGuaranteeChange) > recoveryTime
	if !applicable {
		o.unreclaimableSince = time.Time{}
		return
	}
	s := owner.coordinator.Snapshot(now)
	applicable = len(s.Workers)+len(s.Executors) == len(o.cell.agents)
	for _, u := range s.Workers {
		applicable = applicable && !u.Unschedulable
	}
	for _, r := range s.Running {
		// Work that was placed before the last change may block new guarantees.
		applicable = applicable && r.Started.After(o.lastGuaranteeChange.Add(maxViewLag)) &&
			r.Started.After(o.lastFault.Add(partialViewTime))
	}
	if applicable {
		o.counts["guarantee checks"]++
	}
	err := placement.CheckReclaimable(s)
	switch {
	case !applicable || err == nil:
		o.unreclaimableSince = time.Time{}
	case o.unreclaimableSince.IsZero():
		o.unreclaimableSince = now
	case now.Sub(o.unreclaimableSince) > maxViewLag:
		o.cell.trace("%+v\nworkers %+v", s.Running, s.Workers)
		o.cell.violate("guarantees cannot be reclaimed: %v", err)
	}
}

// checkCancellations checks that every job with an acknowledged cancellation has finished. It runs a minute after all
// faults were cleared. Requests on executors are exempt, since they cannot be stopped.
func (o *oracle) checkCancellations() {
	for key := range o.cancelled {
		versions := o.records[key]
		if last := versions[len(versions)-1]; last.Spec.Shape.UsesAccelerators() && last.State != model.JobFinished {
			o.cell.violate("%s was cancelled and is still %s", key, last.State)
		}
	}
}

// unfinishedWork lists the jobs, index entries, tasks and allocations that remain. The list must become empty once all
// faults are cleared and all jobs had time to end.
func (o *oracle) unfinishedWork() []string {
	var remaining []string
	note := func(format string, args ...any) { remaining = append(remaining, fmt.Sprintf(format, args...)) }
	for key, versions := range o.records {
		if last := versions[len(versions)-1]; last.Spec.Shape.UsesAccelerators() && last.State != model.JobFinished {
			note("%s is %s, attempt %d", key, last.State, last.Attempt)
		}
	}
	for key := range o.acknowledged {
		if len(o.records[key]) == 0 {
			note("%s was acknowledged and has no record", key)
		}
	}
	for _, k := range o.cell.kv.openIndexKeys() {
		note("the open index has %s", k)
	}
	for _, a := range o.cell.agents {
		if n := a.upstream.unitsInUse(); n > 0 {
			note("%s runs %d units", a.name, n)
		}
		if a.ledger.Free() != a.identity.Units {
			note("the ledger of %s has %d of %d units free", a.name, a.ledger.Free(), a.identity.Units)
		}
		for _, t := range a.ledger.AllTasks() {
			note("the ledger of %s has %s %s", a.name, refName(t.Ref()), t.Phase)
		}
	}
	for _, e := range o.cell.entries {
		jobs, _ := e.coordinator.QueryViews(o.cell.now)
		for _, j := range jobs {
			note("%s has %s in phase %s: %s", e.name, j.Job.Spec.Key, j.Phase, j.Reason)
		}
	}
	slices.Sort(remaining)
	return remaining
}
