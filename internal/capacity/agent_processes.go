package capacity

import (
	"context"
	"errors"
	"fmt"
	"time"

	"masticcart.example/masticcart/internal/client"
	"masticcart.example/masticcart/internal/client/api"
	"masticcart.example/masticcart/internal/model"
)

// agentProcess is an agent that runs as a process of its own, next to the stand-in of its upstream.
type agentProcess struct {
	name, upstream string
	pid            int // of the agent
	metricsAddress string
}

// startAgentProcess starts a stand-in upstream of the given kind ("worker" or "executor") and an agent for it.
func (r *runner) startAgentProcess(kind string, i int) (*agentProcess, error) {
	p := &agentProcess{name: fmt.Sprintf("agent-%s-%02d", kind, i), upstream: fmt.Sprintf("%s-%02d", kind, i),
		metricsAddress: r.processes.nextAddress()}
	upstreamAddress := r.processes.nextAddress()
	agentSettings := map[string]any{"kind": kind, "upstream_url": "http://" + upstreamAddress, "units": UnitsPerAgent,
		"entries": r.entryRPCAddresses()}
	args := []string{"-listen", upstreamAddress}
	if kind == "executor" {
		agentSettings["service"] = executorService
		args = append(args, "-service", executorService)
	} else {
		agentSettings["rack"] = fmt.Sprintf("rack-%03d", i/agentsPerRack)
	}
	if _, err := r.processes.startProcess(p.upstream, "standin-"+kind, args...); err != nil {
		return nil, err
	}
	var err error
	p.pid, err = r.processes.startDaemon(p.name, map[string]any{
		"role": "agent", "name": p.name, "region": "north", "cell": measuredCell,
		"metrics": map[string]any{"listen": p.metricsAddress}, "agent": agentSettings,
	})
	return p, err
}

func (r *runner) startAgentProcesses(kind string, n int) ([]*agentProcess, error) {
	var out []*agentProcess
	for i := range n {
		p, err := r.startAgentProcess(kind, i)
		if err != nil {
			return nil, err
		}
		out = append(out, p)
	}
	return out, nil
}

// executorService is the service that the stand-in executors offer.
const executorService = "planner"

// measureAgentProcesses measures one window and records the mean usage of the agent processes, the usage of each entry
// and the platform's calls.
func (r *runner) measureAgentProcesses(ctx context.Context, part, over string, x float64, agents []*agentProcess,
	entries []*entryProcess) error {
	var targets []target
	for _, p := range agents {
		targets = append(targets, target{role: "agent process", pid: p.pid, metricsAddress: p.metricsAddress})
	}
	targets = append(targets, r.cellTargets(entries)...)
	m, err := r.measureSteadyWindow(ctx, targets, windowLength)
	if err != nil {
		return err
	}
	if err := r.recordUsage(part, over, x, "agent process", meanUsage(m.usages[:len(agents)])); err != nil {
		return err
	}
	for i, t := range targets[len(agents):] {
		if err := r.recordUsage(part, over, x, t.role, m.usages[len(agents)+i]); err != nil {
			return err
		}
	}
	return r.recordPlatform(part, over, x, m)
}

// runProcessesPart measures agents that run as separate processes next to stand-in workers. It varies the number of
// entries that they have sessions with, then the tasks per agent, and measures the same number of agents in this
// process for comparison.
func (r *runner) runProcessesPart(ctx context.Context) error {
	const agents = 40
	if err := r.deployCell(ctx, 0); err != nil {
		return err
	}
	agentProcs, err := r.startAgentProcesses("worker", agents)
	if err != nil {
		return err
	}
	for n := 0; n <= cellEntries; n++ {
		if n > 0 {
			if err := r.processes.startEntries(ctx, r.processes.entries[n-1:n]); err != nil {
				return err
			}
			if err := r.waitWorkers(ctx, agents); err != nil {
				return err
			}
		}
		time.Sleep(stabilizationDelay)
		// Agents keep sessions with at most three entries, so the fourth entry adds no session.
		if err := r.measureAgentProcesses(ctx, "processes", "entries of the cell", float64(n), agentProcs,
			r.processes.entries[:n]); err != nil {
			return err
		}
	}
	if err := r.varyTasksPerAgent(ctx, agentProcs); err != nil {
		return err
	}
	return r.measureInProcessAgents(ctx, agents)
}

// varyTasksPerAgent measures the agent processes with a growing number of running tasks on each.
func (r *runner) varyTasksPerAgent(ctx context.Context, agentProcs []*agentProcess) error {
	for _, tasks := range []int{0, 1, 2, 4} {
		wantRunning := tasks * len(agentProcs)
		if err := r.submitJobs(ctx, wantRunning-int(r.submitted.Load()), unitsPerTask, 0); err != nil {
			return err
		}
		if err := r.waitRows(ctx, "show jobs where state = running", wantRunning); err != nil {
			return err
		}
		time.Sleep(stabilizationDelay)
		if err := r.measureAgentProcesses(ctx, "processes", "tasks per agent", float64(tasks), agentProcs,
			r.processes.entries); err != nil {
			return err
		}
	}
	return nil
}

// measureInProcessAgents replaces the agent processes with the same number of agents in this process. Comparing the
// usage of the entries shows whether agents that share a process distort it.
func (r *runner) measureInProcessAgents(ctx context.Context, agents int) error {
	if err := r.processes.killAll(); err != nil {
		return err
	}
	if err := r.deployCell(ctx, cellEntries); err != nil {
		return err
	}
	if err := r.growFleet(ctx, agents); err != nil {
		return err
	}
	for _, tasks := range []int{0, 1, 2, 4} {
		if err := r.submitUntilRunning(ctx, tasks*agents); err != nil {
			return err
		}
		time.Sleep(stabilizationDelay)
		if err := r.measureCell(ctx, "shared process", "tasks per agent", float64(tasks), agents, windowLength); err != nil {
			return err
		}
	}
	return nil
}

// runRequestsPart varies the rate of short requests that one entry forwards to executors, each with an agent process.
func (r *runner) runRequestsPart(ctx context.Context) error {
	const executors = 4
	if err := r.deployCell(ctx, cellEntries); err != nil {
		return err
	}
	agentProcs, err := r.startAgentProcesses("executor", executors)
	if err != nil {
		return err
	}
	owner := entriesInRendezvousOrder(r.processes.entries)[0]
	c, err := client.New(client.Options{Entries: []string{owner.apiAddress}, Token: operatorToken})
	if err != nil {
		return err
	}
	if err := r.waitRows(ctx, "show upstreams", executors); err != nil {
		return err
	}
	for _, rate := range []float64{0, 25, 50, 100} {
		loadCtx, stop := context.WithCancel(ctx)
		loadErr := make(chan error, 1)
		go func() {
			loadErr <- callAtRate(loadCtx, rate, func() error { return r.sendRequest(ctx, c) })
		}()
		time.Sleep(stabilizationDelay)
		err := r.measureAgentProcesses(ctx, "requests", "requests/s", rate, agentProcs, r.processes.entries)
		stop()
		if err := firstError(err, <-loadErr); err != nil {
			return err
		}
	}
	return nil
}

var errRequestFailed = errors.New("capacity: request did not succeed")

// sendRequest sends one short request and returns errRequestFailed if its result is anything but done.
func (r *runner) sendRequest(ctx context.Context, c *client.Client) error {
	outcome, err := c.Request(ctx, api.RequestBody{
		ID: fmt.Sprintf("request-%06d", r.submitted.Add(1)), Team: "team-000", Kind: "check",
		Service: executorService, TimeoutMS: 5000, Payload: []byte(`{"work_ms":5}`),
	})
	if err == nil && outcome.Result != model.ResultDone {
		err = fmt.Errorf("%w: %s %s", errRequestFailed, outcome.Result, outcome.Reason)
	}
	return err
}
