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
	monitorInterval = 250 * time.Millisecond
	// calmTime is how long after a fault the guarantees must be reclaimable again: a lost upstream is noticed, its
	// members' leases lapse and the queue is planned anew.
	calmTime = 40 * time.Second
	// rejoinTime is how long after a fault the owner may see a part of the workers only.
	rejoinTime = 10 * time.Second
	// viewLag is how long the owner's view may trail behind the agents' reports.
	viewLag = 3 * time.Second
	// More claims of one job than these in the window load the platform without use.
	maxClaims   = 20
	claimWindow = 10 * time.Second
)

// oracle checks the invariants of docs/design.md on what the platform stored and what the upstreams ran.
type oracle struct {
	w         *world
	records   map[model.JobKey][]model.Job // every durable version, oldest first
	runs      map[model.JobKey][]*run
	holds     map[string]bool
	acked     map[model.JobKey]bool
	cancelled map[model.JobKey]bool // acknowledged cancellations
	accepted  map[string]bool       // marks of configuration changes that were reported as accepted
	refused   map[string]bool       // marks of changes that were reported as not applied
	versions  map[*config.Applier]int64

	partial     map[string]time.Time // gangs that run in part, since when
	lastFault   time.Time
	lonely      time.Time // when an owner was last cut off from the platform while there was another one
	promised    string    // the guarantees in force at the owner
	lastPromise time.Time // last change of them
	unclaimable time.Time // since when the guarantees do not fit
	counts      map[string]int
	claims      map[model.JobKey][]time.Time // recent ones
}

func newOracle(w *world) *oracle {
	return &oracle{w: w, records: make(map[model.JobKey][]model.Job), runs: make(map[model.JobKey][]*run), holds: make(map[string]bool),
		acked: make(map[model.JobKey]bool), cancelled: make(map[model.JobKey]bool), accepted: make(map[string]bool), refused: make(map[string]bool),
		versions: make(map[*config.Applier]int64),
		partial:  make(map[string]time.Time), counts: make(map[string]int), claims: make(map[model.JobKey][]time.Time)}
}

func holdKey(agent, incarnation string, ref protocol.TaskRef, members []model.Member) string {
	return fmt.Sprint(agent, incarnation, ref, members)
}

func (o *oracle) held(agent, incarnation string, ref protocol.TaskRef, members []model.Member) {
	o.holds[holdKey(agent, incarnation, ref, members)] = true
}

func (o *oracle) allHeld(ref protocol.TaskRef, members []model.Member) bool {
	for _, m := range members {
		if !o.holds[holdKey(m.Agent, m.Incarnation, ref, members)] {
			return false
		}
	}
	return true
}

// overcommitted judges a start that found no room. An executor refuses while requests of an earlier incarnation
// of its agent run on; any other lack of room means that a unit was given twice.
func (o *oracle) overcommitted(u *upstream, r *run) {
	for _, x := range u.runs {
		if x.state == runRunning && x.incarnation != r.incarnation && !u.worker {
			return
		}
	}
	o.w.violate("units given twice: %s has %d in use of %d and got %s with %d", u.name, u.used(), u.units, refName(r.ref), r.units)
}

// startedRun checks a start at an upstream.
func (o *oracle) startedRun(u *upstream, r *run) {
	key := r.ref.Job
	u.trace("%s runs %s gang %s", u.name, refName(r.ref), r.gang)
	o.counts["starts"]++
	if !o.allHeld(r.ref, r.members) {
		o.w.violate("%s started on %s before all members held", refName(r.ref), u.name)
	}
	claimed := false
	for _, j := range o.records[key] {
		claimed = claimed || j.State == model.JobClaimed && j.Attempt == r.ref.Attempt && j.Claim == r.ref.Claim && slices.Equal(j.Members, r.members)
		if j.State == model.JobFinished {
			o.w.violate("%s started on %s after the outcome %+v", refName(r.ref), u.name, *j.Outcome)
		}
	}
	if !claimed {
		o.w.violate("%s started on %s before its claim was recorded", refName(r.ref), u.name)
	}
	for _, x := range o.runs[key] {
		same := x.ref == r.ref && x.gang == r.gang
		switch {
		case x.state == runRunning && !same && u.worker && !o.excepted(): // idempotent work on slots may overlap
			o.w.violate("attempts overlap: %s started on %s while %s runs on %s", refName(r.ref), u.name, refName(x.ref), x.agent)
		case same && x.agent == r.agent:
			o.w.violate("%s started twice on %s", refName(r.ref), u.name)
		case !same && !r.spec.Idempotent:
			o.w.violate("not idempotent: %s started on %s after %s on %s", refName(r.ref), u.name, refName(x.ref), x.agent)
		}
	}
	o.runs[key] = append(o.runs[key], r)
}

// forgets checks that no result is dropped while the record still calls for its attempt.
func (o *oracle) forgets(agent string, refs []protocol.TaskRef) {
	for _, ref := range refs {
		versions := o.records[ref.Job]
		if len(versions) == 0 {
			continue
		}
		if last := versions[len(versions)-1]; last.State == model.JobClaimed && last.Claim == ref.Claim {
			o.w.violate("%s drops the result of %s, which is not recorded", agent, refName(ref))
		}
	}
}

// written checks a durable write.
func (o *oracle) written(key string, value []byte) {
	switch {
	case strings.HasPrefix(key, "jobs/"):
		var j model.Job
		if err := json.Unmarshal(value, &j); err != nil {
			o.w.violate("record %s: %v", key, err)
			return
		}
		o.wroteJob(j)
	case key == config.HeadKey:
		o.wroteConfig(value)
	}
}

func (o *oracle) wroteJob(j model.Job) {
	key := j.Spec.Key
	o.w.trace("record %s %s attempt %d ran=%v %+v", key, j.State, j.Attempt, j.Ran, j.Outcome)
	var last model.Job
	if versions := o.records[key]; len(versions) > 0 {
		last = versions[len(versions)-1]
	}
	o.records[key] = append(o.records[key], j)
	o.count(last, j)
	if last.State == model.JobFinished {
		o.w.violate("%s was written as %s after its outcome %+v", key, j.State, *last.Outcome)
	}
	ref := protocol.TaskRef{Job: key, Attempt: j.Attempt, Claim: j.Claim}
	if j.State == model.JobClaimed && !o.allHeld(ref, j.Members) {
		o.w.violate("%s was committed before all members held", refName(ref))
	}
	if last.State == model.JobClaimed && j.State != model.JobClaimed {
		o.checkEnded(key, j)
	}
	if j.State == model.JobAccepted && !j.Ran && len(o.runs[key]) > 0 {
		o.w.violate("%s went back as not run, but %s ran", key, refName(o.runs[key][0].ref))
	}
	if j.State == model.JobFinished {
		o.checkOutcome(last, j)
	}
}

func (o *oracle) count(last, j model.Job) {
	if last.State == model.JobAccepted && j.State == model.JobClaimed {
		key, now := j.Spec.Key, o.w.now
		recent := slices.DeleteFunc(append(o.claims[key], now), func(t time.Time) bool { return now.Sub(t) > claimWindow })
		o.claims[key] = recent
		if len(recent) > maxClaims {
			o.w.violate("%s was claimed %d times in %s", key, len(recent), claimWindow)
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

// checkEnded demands that nothing of a job runs on workers once its record leaves an attempt.
func (o *oracle) checkEnded(key model.JobKey, j model.Job) {
	for _, r := range o.runs[key] {
		if r.state == runRunning && r.spec.Shape.UsesAccelerators() && !o.excepted() {
			o.w.violate("%s became %s while %s runs on %s", key, j.State, refName(r.ref), r.agent)
		}
	}
}

func (o *oracle) checkOutcome(last, j model.Job) {
	key, out := j.Spec.Key, j.Outcome
	ran := len(o.runs[key]) > 0
	if !out.Ran && ran {
		o.w.violate("%s is %s with ran=false, but %s ran on %s", key, out.Result, refName(o.runs[key][0].ref), o.runs[key][0].agent)
	}
	if out.Result == model.ResultRefused && (out.Ran || ran) {
		o.w.violate("%s was refused although it ran", key)
	}
	if out.Result != model.ResultDone {
		return
	}
	ref := protocol.TaskRef{Job: key, Attempt: last.Attempt, Claim: last.Claim}
	var parts []json.RawMessage
	for _, m := range last.Members {
		parts = append(parts, output(ref, m.Agent))
		if !slices.ContainsFunc(o.runs[key], func(r *run) bool {
			return r.ref == ref && r.agent == m.Agent && r.incarnation == m.Incarnation && r.state == runDone
		}) {
			o.w.violate("%s is done, but member %s is not", refName(ref), m.Agent)
		}
	}
	want, err := json.Marshal(parts)
	if len(parts) == 1 {
		want = parts[0]
	}
	if err != nil || !bytes.Equal(want, out.Output) {
		o.w.violate("%s is done with output %s, want %s", refName(ref), out.Output, want)
	}
}

func marksOf(value []byte) map[string]bool {
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

// wroteConfig checks that no accepted change is lost and no refused one applied.
func (o *oracle) wroteConfig(value []byte) {
	marks := marksOf(value)
	for m := range o.accepted {
		if !marks[m] {
			o.w.violate("the accepted change %s is no longer in the configuration", m)
		}
	}
	for m := range o.refused {
		if marks[m] {
			o.w.violate("the change %s was reported as not applied, but is in the configuration", m)
		}
	}
}

// apply gives a configuration to an applier and checks that its version does not go down.
func (o *oracle) apply(p *proc, a *config.Applier, c *model.Config) {
	if c == nil {
		return
	}
	a.Apply(c)
	if a.Version() < o.versions[a] {
		o.w.violate("%s went from configuration %d to %d", p.name, o.versions[a], a.Version())
	}
	o.versions[a] = a.Version()
}

// monitor checks what must hold at any time.
func (o *oracle) monitor() {
	o.checkGangs()
	o.checkGuarantees()
	o.w.after(monitorInterval, o.monitor)
}

// checkGangs measures at the workers how long a gang runs in part.
func (o *oracle) checkGangs() {
	now := o.w.now
	partial := make(map[string]time.Time)
	for _, a := range o.w.agents {
		for _, r := range a.upstream.runs {
			if r.state != runRunning || len(r.members) < 2 {
				continue
			}
			missing := len(r.members)
			for _, x := range o.runs[r.ref.Job] {
				if x.ref == r.ref && x.gang == r.gang && (x.state == runRunning || x.state == runDone) {
					missing--
				}
			}
			if missing == 0 {
				continue
			}
			gang := refName(r.ref) + r.gang
			since, known := o.partial[gang]
			if !known {
				since = now
			}
			partial[gang] = since
			if now.Sub(since) > protocol.GangStopBound {
				o.w.violate("gang %s runs on %s for %s without %d of its members", gang, r.agent, now.Sub(since), missing)
			}
		}
	}
	o.counts["partial gang samples"] += len(partial)
	o.partial = partial
}

// excepted tells whether docs/design.md accepts that an attempt outlives its record: an owner that is cut off from the
// platform and from another owner goes on supervising. Work that is not idempotent still starts once only.
func (o *oracle) excepted() bool { return !o.lonely.IsZero() && o.w.now.Sub(o.lonely) < calmTime }

// countOwners counts the entries that take themselves for the owner.
func (o *oracle) countOwners() (owner *entryProc, owners int) {
	lonely := false
	for _, e := range o.w.entries {
		if e.up && e.coord.IsOwner() {
			owner = e
			owners++
			lonely = lonely || o.w.kv.cut[e.name]
		}
	}
	if owners > 1 && lonely {
		o.lonely = o.w.now
	}
	return owner, owners
}

// checkGuarantees applies in calm times, when the cell has one owner with the whole view.
func (o *oracle) checkGuarantees() {
	now := o.w.now
	owner, owners := o.countOwners()
	if owners > 1 {
		o.counts["samples with two owners"]++
	}
	if owner != nil {
		if promised := fmt.Sprint(owner.applier.Current().Guarantees); promised != o.promised {
			o.promised, o.lastPromise = promised, now
		}
	}
	calm := owners == 1 && now.Sub(o.lastFault) > calmTime && now.Sub(o.lastPromise) > calmTime
	if !calm {
		o.unclaimable = time.Time{}
		return
	}
	s := owner.coord.Snapshot(now)
	calm = len(s.Workers)+len(s.Executors) == len(o.w.agents)
	for _, u := range s.Workers {
		calm = calm && !u.Unschedulable
	}
	for _, r := range s.Running {
		// Work that was placed before the last change may stand in the way of new guarantees.
		calm = calm && r.Started.After(o.lastPromise.Add(viewLag)) && r.Started.After(o.lastFault.Add(rejoinTime))
	}
	if calm {
		o.counts["checks of guarantees"]++
	}
	err := placement.CheckReclaimable(s)
	switch {
	case !calm || err == nil:
		o.unclaimable = time.Time{}
	case o.unclaimable.IsZero():
		o.unclaimable = now
	case now.Sub(o.unclaimable) > viewLag:
		o.w.trace("%+v\nworkers %+v", s.Running, s.Workers)
		o.w.violate("guarantees cannot be reclaimed: %v", err)
	}
}

// checkCancelled demands that acknowledged cancellations are served a minute after all faults are healed. A
// request on an executor runs to its end.
func (o *oracle) checkCancelled() {
	for key := range o.cancelled {
		versions := o.records[key]
		if last := versions[len(versions)-1]; last.Spec.Shape.UsesAccelerators() && last.State != model.JobFinished {
			o.w.violate("%s was cancelled and is still %s", key, last.State)
		}
	}
}

// unsettled lists what is open once all faults are healed and everything had time to end.
func (o *oracle) unsettled() []string {
	var open []string
	note := func(format string, args ...any) { open = append(open, fmt.Sprintf(format, args...)) }
	for key, versions := range o.records {
		if last := versions[len(versions)-1]; last.Spec.Shape.UsesAccelerators() && last.State != model.JobFinished {
			note("%s is %s, attempt %d", key, last.State, last.Attempt)
		}
	}
	for key := range o.acked {
		if len(o.records[key]) == 0 {
			note("%s was acknowledged and has no record", key)
		}
	}
	for _, k := range o.w.kv.openKeys() {
		note("open index has %s", k)
	}
	for _, a := range o.w.agents {
		if n := a.upstream.used(); n > 0 {
			note("%s runs %d units", a.name, n)
		}
		if a.ledger.Free() != a.identity.Units {
			note("the ledger of %s has %d of %d free", a.name, a.ledger.Free(), a.identity.Units)
		}
		for _, t := range a.ledger.AllTasks() {
			note("the ledger of %s has %s %s", a.name, refName(t.Ref()), t.Phase)
		}
	}
	for _, e := range o.w.entries {
		jobs, _ := e.coord.QueryViews(o.w.now)
		for _, j := range jobs {
			note("%s has %s in phase %s: %s", e.name, j.Job.Spec.Key, j.Phase, j.Reason)
		}
	}
	slices.Sort(open)
	return open
}
