package scheduler

import "masticcart.example/masticcart/internal/batch"

// serviceCapacity is the free and the total capacity of the usable workers of a service.
type serviceCapacity struct{ free, total batch.Resources }

// addWorker adds a worker and its free capacity to the plan.
func (p *planner) addWorker(w *worker) {
	capacity := p.capacities[w.info.Service]
	if capacity == nil {
		capacity = &serviceCapacity{}
		p.capacities[w.info.Service] = capacity
	}
	free := w.info.Capacity.Minus(w.reserved())
	p.free[w.node] = free
	capacity.free, capacity.total = capacity.free.Plus(free), capacity.total.Plus(w.info.Capacity)
}

// consume subtracts the capacity of n tasks from what is free on a worker. A negative n adds it.
func (p *planner) consume(node string, need batch.Resources, n int) {
	from := p.free
	if _, ok := p.withheld[node]; ok {
		from = p.withheld
	}
	free, ok := from[node]
	if !ok {
		return
	}
	taken := need.Times(n)
	from[node] = free.Minus(taken)
	capacity := p.capacities[p.core.workers[node].info.Service]
	capacity.free = capacity.free.Minus(taken)
}

// shape is what determines, besides the task duration, where a unit fits.
type shape struct {
	service, label, dataRack string
	need                     batch.Resources
	tasks                    int
	gang, oneRack, remote    bool
	guaranteed               bool
}

// shapeOf returns the shape of n tasks of a unit. ok is false if the result also depends on the placement of other
// tasks of the unit or on their failures.
func shapeOf(u unit, n int) (sh shape, ok bool) {
	s := u.step.spec
	return shape{service: u.queue.Service, label: s.RequiredLabel, dataRack: s.DataRack, need: s.Reserved(), tasks: n,
		gang: s.Gang, oneRack: s.OneRack, guaranteed: u.guaranteed}, s.MaxPerWorker == 0 && !u.lastAttempt && !u.suspect && !u.isolated
}
