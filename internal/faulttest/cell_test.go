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
	// quiescenceTimeout bounds the time until all jobs have ended after the faults were cleared. It exceeds the longest
	// quarantine and the longest job.
	quiescenceTimeout = 30 * time.Minute
)

// testCell is one simulated cell: its entries, agents and upstreams, the network between them and the platform's
// key-value service.
type testCell struct {
	*sim
	net       *network
	kv        *kvService
	oracle    *oracle
	entries   []*entryProc
	agents    []*agentProc
	jobs      []model.JobSpec // submitted so far
	markCount int             // configuration changes sent so far; see changeConfig
}

func newTestCell(sc scenario) *testCell {
	tc := &testCell{sim: newSim(sc.Seed)}
	tc.net = newNetwork(tc.sim)
	tc.oracle = newOracle(tc)
	tc.kv = newKVService(tc.sim, tc.oracle.checkPut)
	for i := range sc.Entries {
		tc.entries = append(tc.entries, &entryProc{proc: &proc{sim: tc.sim, name: fmt.Sprintf("entry%d", i)}, cell: tc})
	}
	for i, units := range sc.Workers {
		tc.addAgent(fmt.Sprintf("worker%d", i), protocol.KindWorker, units, fmt.Sprintf("rack%d", i/2))
	}
	for i, units := range sc.Executors {
		tc.addAgent(fmt.Sprintf("executor%d", i), protocol.KindExecutor, units, "")
	}
	repository := config.NewRepository(tc.kv.mem)
	if _, err := repository.Change(context.Background(), config.AnyBase, initialConfig); err != nil {
		tc.violate("harness: cannot write the initial configuration: %v", err)
	}
	for _, e := range tc.entries {
		e.restart()
	}
	for _, a := range tc.agents {
		a.restart()
	}
	tc.after(checkInterval, tc.oracle.checkPeriodically)
	return tc
}

func initialConfig(c *model.Config) error {
	c.Teams = []model.Team{{Name: "a"}, {Name: "b", MaxAccelerators: 12}, {Name: "c"}}
	c.Rules = []model.Rule{
		{Kind: "hot", Class: model.ClassUrgent, Priority: 1},
		{Kind: "cold", Class: model.ClassDeferrable, Priority: 9},
	}
	c.Guarantees = []model.Guarantee{
		{Team: "a", Cell: cellName, Count: 1, Shape: model.Shape{Accelerators: 4, Adjacency: model.AdjacentWorker}},
	}
	c.Weights = model.Weights{CompletionTime: 0.5, Fragmentation: 0.5}
	return nil
}

func (tc *testCell) addAgent(name string, kind protocol.UpstreamKind, units int, rack string) {
	id := protocol.Identity{Agent: name, Kind: kind, Region: cellName, Cell: cellName, Rack: rack, Units: units}
	if kind == protocol.KindExecutor {
		id.Service = service
	}
	tc.agents = append(tc.agents, &agentProc{proc: &proc{sim: tc.sim, name: name}, cell: tc, identity: id,
		upstream: &upstream{sim: tc.sim, oracle: tc.oracle, name: name, worker: kind == protocol.KindWorker, units: units}})
}

// seedAddresses lists the addresses that the registry gives to agents and entries as first contacts: all entries.
func (tc *testCell) seedAddresses() []string {
	out := make([]string, len(tc.entries))
	for i, e := range tc.entries {
		out[i] = e.name
	}
	return out
}

func (tc *testCell) entry(name string) *entryProc {
	return tc.entries[slices.IndexFunc(tc.entries, func(e *entryProc) bool { return e.name == name })]
}

func (tc *testCell) agent(name string) *agentProc {
	return tc.agents[slices.IndexFunc(tc.agents, func(a *agentProc) bool { return a.name == name })]
}

// procs lists all processes, agents first.
func (tc *testCell) procs() []*proc {
	var out []*proc
	for _, a := range tc.agents {
		out = append(out, a.proc)
	}
	for _, e := range tc.entries {
		out = append(out, e.proc)
	}
	return out
}

// submit sends a job to an entry and notes the acknowledgement for the oracle.
func (tc *testCell) submit(entry int, spec model.JobSpec) {
	e := tc.entries[entry%len(tc.entries)]
	tc.trace("submit %s to %s: %s idempotent=%v preemptible=%v %s",
		spec.Key, e.name, spec.Shape, spec.Idempotent, spec.Preemptible, spec.Payload)
	e.serveAPI(func(ctx context.Context, s *jobs.Store) {
		r, _, err := s.Submit(ctx, spec, cellName)
		if err == nil {
			tc.oracle.acknowledged[spec.Key] = true
			if r.Job.Spec.Key != spec.Key {
				tc.violate("the submission of %s was answered with job %s", spec.Key, r.Job.Spec.Key)
			}
		}
	})
}

func (tc *testCell) cancel(entry int, key model.JobKey) {
	tc.trace("cancel %s", key)
	tc.entries[entry%len(tc.entries)].serveAPI(func(ctx context.Context, s *jobs.Store) {
		if _, err := s.Cancel(ctx, key); err == nil {
			tc.oracle.cancelled[key] = true
		}
	})
}

func (tc *testCell) withdraw(entry int, key model.JobKey) {
	tc.trace("withdraw %s", key)
	tc.entries[entry%len(tc.entries)].serveAPI(func(ctx context.Context, s *jobs.Store) {
		_, _ = s.Withdraw(ctx, key, "deadline")
	})
}

// changeConfig sends a configuration change to an entry. The change also adds a rule with a unique name (its mark), by
// which the oracle recognizes the change in the stored document.
func (tc *testCell) changeConfig(entry int, base int64, edit config.Edit) {
	mark := fmt.Sprintf("mark-%d", tc.markCount)
	tc.markCount++
	editWithMark := func(c *model.Config) error {
		c.Rules = append(c.Rules, model.Rule{Kind: mark, Class: model.ClassNormal, Priority: 1})
		return edit(c)
	}
	tc.entries[entry%len(tc.entries)].changeConfig(base, editWithMark, func(_ *model.Config, err error) {
		tc.trace("%s: %v", mark, err)
		switch {
		case err == nil:
			tc.oracle.acceptedMarks[mark] = true
			tc.oracle.counts["configuration changes"]++
		case !errors.Is(err, config.ErrUnknownOutcome):
			tc.oracle.counts["refused changes"]++
			tc.oracle.refusedMarks[mark] = true
		}
		if head, err := tc.kv.mem.Get(context.Background(), config.HeadKey); err == nil {
			tc.oracle.checkConfigDocument(head.Value)
		}
	})
}

// recordFault notes the time of a fault; the oracle checks the guarantees again recoveryTime after it.
func (tc *testCell) recordFault(format string, args ...any) {
	tc.trace("FAULT "+format, args...)
	tc.oracle.lastFault = tc.now
}

// clearFaults ends all faults and starts the processes that are down.
func (tc *testCell) clearFaults() {
	tc.recordFault("heal")
	tc.kv.down, tc.kv.maxExtraDelay, tc.kv.answerLossProbability = false, 0, 0
	clear(tc.kv.partitioned)
	tc.net.replayProbability = 0
	procs := tc.procs()
	var links []link
	for _, p := range procs {
		for _, q := range procs {
			links = append(links, link{p.name, q.name})
		}
	}
	tc.net.restoreLinks(links)
	for _, a := range tc.agents {
		a.upstream.failing, a.startAnswerLossProbability = false, 0
		if !a.up || !a.leavingSince.IsZero() {
			a.restart()
		}
	}
	for _, e := range tc.entries {
		if !e.up || e.leaving {
			e.restart()
		}
	}
}

// awaitQuiescence clears all faults and waits until no job, task or allocation remains. It first removes the guarantees
// and the limit of team b, so that every job fits.
func (tc *testCell) awaitQuiescence() {
	tc.clearFaults()
	tc.advance(time.Minute)
	tc.oracle.checkCancellations()
	for range 10 {
		accepted := false
		tc.entries[0].changeConfig(config.AnyBase, func(c *model.Config) error {
			c.Guarantees, c.Teams[1].MaxAccelerators = nil, 0
			return nil
		}, func(_ *model.Config, err error) { accepted = err == nil })
		tc.advance(5 * time.Second)
		if accepted {
			break
		}
	}
	var remaining []string
	for end := tc.now.Add(quiescenceTimeout); tc.failure == "" && tc.now.Before(end); {
		if remaining = tc.oracle.unfinishedWork(); len(remaining) == 0 {
			return
		}
		tc.advance(5 * time.Second)
	}
	tc.violate("work remains after all faults were cleared: %s", strings.Join(remaining, "; "))
}
