package faulttest_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"masticcart.example/masticcart/internal/config"
	"masticcart.example/masticcart/internal/jobs"
	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/protocol"
)

const (
	cellName = "dc"
	service  = "svc"
	// settleTime bounds the time to quiescence. It is above the longest quarantine and the longest job.
	settleTime = 30 * time.Minute
)

// world is one simulated cell with its platform.
type world struct {
	*sim
	net     *network
	kv      *keyValue
	oracle  *oracle
	entries []*entryProc
	agents  []*agentProc
	jobs    []model.JobSpec // submitted so far
	marks   int
}

func newWorld(sc scenario) *world {
	w := &world{sim: newSim(sc.Seed)}
	w.net = newNetwork(w.sim)
	w.oracle = newOracle(w)
	w.kv = newKeyValue(w.sim, w.oracle.written)
	for i := range sc.Entries {
		w.entries = append(w.entries, &entryProc{proc: &proc{sim: w.sim, name: fmt.Sprintf("entry%d", i)}, w: w})
	}
	for i, units := range sc.Workers {
		w.addAgent(fmt.Sprintf("worker%d", i), protocol.KindWorker, units, fmt.Sprintf("rack%d", i/2))
	}
	for i, units := range sc.Executors {
		w.addAgent(fmt.Sprintf("executor%d", i), protocol.KindExecutor, units, "")
	}
	repository := config.NewRepository(w.kv.mem)
	if _, err := repository.Change(context.Background(), config.AnyBase, initialConfig); err != nil {
		w.violate("harness: %v", err)
	}
	for _, e := range w.entries {
		e.restart()
	}
	for _, a := range w.agents {
		a.restart()
	}
	w.after(monitorInterval, w.oracle.monitor)
	return w
}

func initialConfig(c *model.Config) error {
	c.Teams = []model.Team{{Name: "a"}, {Name: "b", MaxAccelerators: 12}, {Name: "c"}}
	c.Rules = []model.Rule{{Kind: "hot", Class: model.ClassUrgent, Priority: 1}, {Kind: "cold", Class: model.ClassDeferrable, Priority: 9}}
	c.Guarantees = []model.Guarantee{{Team: "a", Cell: cellName, Count: 1, Shape: model.Shape{Accelerators: 4, Adjacency: model.AdjacentWorker}}}
	c.Weights = model.Weights{CompletionTime: 0.5, Fragmentation: 0.5}
	return nil
}

func (w *world) addAgent(name string, kind protocol.UpstreamKind, units int, rack string) {
	id := protocol.Identity{Agent: name, Kind: kind, Region: cellName, Cell: cellName, Rack: rack, Units: units}
	if kind == protocol.KindExecutor {
		id.Service = service
	}
	w.agents = append(w.agents, &agentProc{proc: &proc{sim: w.sim, name: name}, w: w, identity: id,
		upstream: &upstream{sim: w.sim, oracle: w.oracle, name: name, worker: kind == protocol.KindWorker, units: units}})
}

func (w *world) seeds() []string {
	out := make([]string, len(w.entries))
	for i, e := range w.entries {
		out[i] = e.name
	}
	return out
}

func (w *world) entry(name string) *entryProc {
	return w.entries[slices.IndexFunc(w.entries, func(e *entryProc) bool { return e.name == name })]
}

func (w *world) agent(name string) *agentProc {
	return w.agents[slices.IndexFunc(w.agents, func(a *agentProc) bool { return a.name == name })]
}

// procs lists the processes, agents first.
func (w *world) procs() []*proc {
	var out []*proc
	for _, a := range w.agents {
		out = append(out, a.proc)
	}
	for _, e := range w.entries {
		out = append(out, e.proc)
	}
	return out
}

// submit sends a job to an entry.
func (w *world) submit(entry int, spec model.JobSpec) {
	e := w.entries[entry%len(w.entries)]
	w.trace("submit %s to %s: %s idempotent=%v preemptible=%v %s", spec.Key, e.name, spec.Shape, spec.Idempotent, spec.Preemptible, spec.Payload)
	e.serve(func(ctx context.Context, s *jobs.Store) {
		r, _, err := s.Submit(ctx, spec, cellName)
		if err == nil {
			w.oracle.acked[spec.Key] = true
			if r.Job.Spec.Key != spec.Key {
				w.violate("%s was answered with %s", spec.Key, r.Job.Spec.Key)
			}
		}
	})
}

func (w *world) cancel(entry int, key model.JobKey) {
	w.trace("cancel %s", key)
	w.entries[entry%len(w.entries)].serve(func(ctx context.Context, s *jobs.Store) {
		if _, err := s.Cancel(ctx, key); err == nil {
			w.oracle.cancelled[key] = true
		}
	})
}

func (w *world) withdraw(entry int, key model.JobKey) {
	w.trace("withdraw %s", key)
	w.entries[entry%len(w.entries)].serve(func(ctx context.Context, s *jobs.Store) { _, _ = s.Withdraw(ctx, key, "deadline") })
}

// change sends a change with a mark of its own, so that the oracle can find it in the document.
func (w *world) change(entry int, base int64, edit config.Edit) {
	mark := fmt.Sprintf("mark-%d", w.marks)
	w.marks++
	marked := func(c *model.Config) error {
		c.Rules = append(c.Rules, model.Rule{Kind: mark, Class: model.ClassNormal, Priority: 1})
		return edit(c)
	}
	w.entries[entry%len(w.entries)].change(base, marked, func(_ *model.Config, err error) {
		w.trace("%s: %v", mark, err)
		switch {
		case err == nil:
			w.oracle.accepted[mark] = true
			w.oracle.counts["configuration changes"]++
		case !errors.Is(err, config.ErrUnknownOutcome):
			w.oracle.counts["refused changes"]++
			w.oracle.refused[mark] = true
		}
		if head, err := w.kv.mem.Get(context.Background(), config.HeadKey); err == nil {
			w.oracle.wroteConfig(head.Value)
		}
	})
}

// disturb notes a fault, after which the guarantees have time to recover.
func (w *world) disturb(format string, args ...any) {
	w.trace("FAULT "+format, args...)
	w.oracle.lastFault = w.now
}

// heal ends all faults and starts what is down.
func (w *world) heal() {
	w.disturb("heal")
	w.kv.down, w.kv.slow, w.kv.lost = false, 0, 0
	clear(w.kv.cut)
	w.net.duplicate = 0
	ps := w.procs()
	var links []link
	for _, p := range ps {
		for _, q := range ps {
			links = append(links, link{p.name, q.name})
		}
	}
	w.net.heal(links)
	for _, a := range w.agents {
		a.upstream.failing, a.lostStarts = false, 0
		if !a.up || !a.left.IsZero() {
			a.restart()
		}
	}
	for _, e := range w.entries {
		if !e.up || e.leaving {
			e.restart()
		}
	}
}

// settle heals everything and waits until nothing is open.
func (w *world) settle() {
	w.heal()
	w.advance(time.Minute)
	w.oracle.checkCancelled()
	for range 10 {
		accepted := false
		w.entries[0].change(config.AnyBase, func(c *model.Config) error { c.Guarantees, c.Teams[1].MaxAccelerators = nil, 0; return nil },
			func(_ *model.Config, err error) { accepted = err == nil })
		w.advance(5 * time.Second)
		if accepted {
			break
		}
	}
	var open []string
	for end := w.now.Add(settleTime); w.failure == "" && w.now.Before(end); {
		if open = w.oracle.unsettled(); len(open) == 0 {
			return
		}
		w.advance(5 * time.Second)
	}
	w.violate("not settled: %s", strings.Join(open, "; "))
}
