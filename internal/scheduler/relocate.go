package scheduler

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/scheduler/relocation"
)

// reasonEvacuated is the reason of the stops of runs that move out of an evacuated data centre.
const reasonEvacuated = "data centre is evacuated"

// relocate stops runs in evacuated data centres for which other workers have free capacity, and claims that capacity for
// them. The decision depends on the requests and on reports only, so the next leader makes it again for runs whose stop was
// not sent; a run that was stopped is a waiting task for it.
func (p *planner) relocate() {
	var units []unit
	steps := map[*stepInstance]int{}
	snapshot := relocation.Snapshot{Free: p.free, Spare: map[string]int{}}
	for _, w := range p.core.sortedWorkers {
		if !p.core.evacuated(w) {
			continue
		}
		for _, t := range w.sortedTasks() {
			u, ok := p.relocationCandidate(t)
			if !ok || u.step.spec.Gang && slices.ContainsFunc(units, func(o unit) bool { return o.step == u.step }) {
				continue
			}
			if _, known := steps[u.step]; !known {
				steps[u.step] = len(steps)
			}
			r := p.relocationUnit(u, steps[u.step])
			if !r.ShouldMove() {
				continue
			}
			r.Hosts = p.relocationHosts(u)
			units, snapshot.Units = append(units, u), append(snapshot.Units, r)
		}
	}
	if len(units) == 0 {
		return
	}
	for service, capacity := range p.capacities {
		snapshot.Spare[service] = capacity.free.Accelerators - int(p.headroom)
	}
	for _, m := range relocation.Plan(snapshot) {
		p.startMove(units[m.Unit], &snapshot.Units[m.Unit], m.Nodes)
	}
}

// relocationCandidate returns the unit of a task in an evacuated data centre that may move. Tasks of steps that have
// waiting tasks or claims do not: those come first. Neither do runs that are not known to be in progress, tasks that crash
// workers, and runs whose worker does not answer, since it could not save the progress.
func (p *planner) relocationCandidate(t *task) (unit, bool) {
	c, s := p.core, t.step
	q := c.queue(s.job())
	u := unit{step: s, queue: q, tasks: []*task{t}, latestStart: c.deadline(s, p.now) - c.longestChain(s),
		guaranteed: q.Priority == 0 && c.withinGuarantee(s.job())}
	if s.spec.Gang {
		u.tasks = s.tasks
	}
	u.failedOn = failedOn(u.tasks)
	if c.claims[s] != nil || slices.ContainsFunc(s.tasks, func(m *task) bool { return m.phase == waiting }) {
		return unit{}, false
	}
	for _, m := range u.tasks {
		if m.phase != assigned || !m.confirmed || m.suspect() || m.isolated() || !c.workers[m.node].answers(p.now) {
			return unit{}, false
		}
	}
	return u, true
}

// answers reports whether the worker's agent reports, and the worker answers it.
func (w *worker) answers(now time.Duration) bool {
	return w.reached && w.downSince == never && now-w.reportedAt <= maxReportAge
}

// relocationUnit describes a unit for the decision to move it, without the workers on which it may run.
func (p *planner) relocationUnit(u unit, step int) relocation.Unit {
	c, s := p.core, u.step
	r := relocation.Unit{Service: u.queue.Service, Step: step, Count: len(u.tasks), Need: s.spec.Reserved(),
		Priority: u.queue.Priority, Guaranteed: u.guaranteed, Checkpoints: s.spec.Checkpoints,
		LongRunning: s.spec.LongRunning, Loss: p.loss(u.tasks[0]), MaxUnavailable: s.spec.MaxUnavailable}
	for _, t := range u.tasks {
		r.Remaining = max(r.Remaining, c.remainingTime(t, p.now))
	}
	for _, t := range s.tasks {
		if t.phase != assigned || !t.confirmed {
			r.Unavailable++
		}
	}
	return r
}

// relocationHosts returns the alternative sets of workers on which a unit may run from now on. Workers
// that are cold or refuse starts are not among them: work that runs is not moved to where it is slow or may not start.
func (p *planner) relocationHosts(u unit) [][]relocation.Host {
	s := u.step.spec
	released := map[string]int{}
	free := map[string]batch.Resources{}
	for node, f := range p.free {
		free[node] = f
	}
	for _, t := range u.tasks {
		if f, ok := free[t.node]; ok {
			free[t.node] = f.Plus(s.Reserved())
			released[t.node]++
		}
	}
	cs := slices.DeleteFunc(p.eligible(u, free, true, true), func(c candidate) bool {
		return c.refusing || p.core.workers[c.node].cold(p.now)
	})
	near := cs
	if s.DataRack != "" {
		near = slices.DeleteFunc(slices.Clone(cs), func(c candidate) bool { return c.rack != s.DataRack })
	}
	sets := [][]candidate{near}
	if s.Gang && s.OneRack {
		sets = groupByRack(near)
	}
	if p.mayRunRemote(u, len(u.tasks)) {
		sets = append(sets, cs)
	}
	hosts := make([][]relocation.Host, len(sets))
	for i, set := range sets {
		for _, c := range set {
			limit := len(u.tasks)
			if s.MaxPerWorker > 0 {
				limit = s.MaxPerWorker - u.step.countOn(c.node) + released[c.node]
			}
			hosts[i] = append(hosts[i], relocation.Host{Node: c.node, Limit: limit, Released: released[c.node]})
		}
	}
	return hosts
}

// startMove stops the runs of a unit and claims workers for it.
func (p *planner) startMove(u unit, r *relocation.Unit, nodes []string) {
	c := p.core
	klog.InfoS("Relocating", "job", u.step.job().ID, "step", u.step.index, "tasks", len(u.tasks),
		"first", u.tasks[0].id.Index, "from", u.tasks[0].nodes(), "to", nodes, "priority", r.Priority,
		"guaranteed", r.Guaranteed, "remainingMs", r.Remaining.Milliseconds(), "loss", r.Loss,
		"unavailable", r.Unavailable, "maxUnavailable", r.MaxUnavailable)
	c.stats.Relocated += int64(len(u.tasks))
	for _, t := range u.tasks {
		c.stopRun(t, LossEvacuated, reasonEvacuated, p.now)
	}
	c.addClaim(u.step, &claim{expires: p.now + claimTimeout, nodes: nodes, need: r.Need, exact: true})
}

// claimedNodes returns the workers that were claimed for n tasks of a unit when its runs were stopped, or nil if the unit
// has no such claim or the workers cannot take the tasks any more.
func (p *planner) claimedNodes(u unit, n int) []string {
	cl := p.core.claims[u.step]
	if cl == nil || !cl.exact {
		return nil
	}
	fitCount := map[string]int{}
	for _, c := range p.eligible(u, p.free, false, false) {
		fitCount[c.node] = c.fitCount
	}
	var nodes []string
	for _, node := range cl.nodes {
		if fitCount[node] > 0 && len(nodes) < n {
			fitCount[node]--
			nodes = append(nodes, node)
		}
	}
	if len(nodes) < n {
		return nil
	}
	return nodes
}
