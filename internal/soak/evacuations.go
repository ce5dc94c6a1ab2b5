package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"masticcart.example/masticcart/internal/kvstore"
	"masticcart.example/masticcart/internal/rulecheck"
	"masticcart.example/masticcart/platform"
)

const (
	// evacuationBoundMS is bounds.evacuateMs of the settings file, evacuationBound the same as a duration.
	evacuationBoundMS = 5000
	evacuationBound   = evacuationBoundMS * time.Millisecond
	// maxEvacuationPause is the longest time between two evacuations of a data centre.
	maxEvacuationPause = 10 * time.Second
	// minEvacuationTime and maxEvacuationTime limit how long a data centre is evacuated. Half of the evacuations are longer
	// than the bound, so that starts after it would be seen.
	minEvacuationTime = 2 * time.Second
	maxEvacuationTime = 9 * time.Second
)

// cellOf returns the data centre of the n-th worker: that of the workers in its rack.
func cellOf(n int) string { return fmt.Sprint("z", n/workersPerRack) }

// cells returns the data centres of the workers.
func (r *run) cells() []string {
	var cells []string
	for n := 0; n < r.options.Workers; n += workersPerRack {
		cells = append(cells, cellOf(n))
	}
	return cells
}

// evacuateCells evacuates each data centre and takes it back, again and again, as operators do, until end. Evacuations of
// different data centres may overlap. It returns a function that waits until all data centres are taken back.
func (r *run) evacuateCells(end time.Time) (wait func()) {
	stopped := make(chan struct{})
	for n, cell := range r.cells() {
		rng := rand.New(rand.NewPCG(r.options.Seed, 10+uint64(n)))
		r.background.Go(func() {
			defer func() { stopped <- struct{}{} }()
			for r.ctx.Err() == nil {
				r.sleep(min(time.Duration(rng.Float64()*float64(maxEvacuationPause)), time.Until(end)))
				if !time.Now().Before(end) {
					return
				}
				hold := minEvacuationTime + time.Duration(rng.Float64()*float64(maxEvacuationTime-minEvacuationTime))
				r.evacuate(cell, min(hold, max(0, time.Until(end))))
			}
		})
	}
	return func() {
		for range r.cells() {
			<-stopped
		}
	}
}

// evacuate evacuates a data centre for a time.
func (r *run) evacuate(cell string, hold time.Duration) {
	key := platform.EvacuationKey(cell)
	r.logf("evacuate %s for %v", cell, hold.Round(time.Millisecond))
	r.writeOperatorKey(kvstore.Txn{Puts: []kvstore.Write{{Key: key, Value: []byte("{}")}}})
	acknowledged := time.Now()
	r.recorder.add(acknowledged, func(c *rulecheck.Checker) { c.EvacuationRequested(cell, r.recorder.sinceStart(acknowledged)) })
	r.sleep(hold)
	sent := time.Now()
	r.recorder.add(sent, func(c *rulecheck.Checker) { c.EvacuationWithdrawn(cell) })
	r.writeOperatorKey(kvstore.Txn{Deletes: []string{key}})
	r.logf("took back %s", cell)
}

// writeOperatorKey writes to the store until it acknowledges that, or the run ends. The writes are idempotent.
func (r *run) writeOperatorKey(t kvstore.Txn) {
	s := platform.NewStore(r.storeAddress)
	for r.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(r.ctx, time.Second)
		_, err := s.Txn(ctx, t)
		cancel()
		if err == nil {
			return
		}
		r.sleep(changeRetryInterval)
	}
}
