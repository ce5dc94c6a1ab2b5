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

// besideAgent is an agent process with its upstream's stand-in.
type besideAgent struct {
	name, upstream string
	pid            int
	metrics        string
}

func (r *runner) startBeside(kind string, i int) (*besideAgent, error) {
	b := &besideAgent{name: fmt.Sprintf("agent-%s-%02d", kind, i), upstream: fmt.Sprintf("%s-%02d", kind, i), metrics: r.procs.address()}
	address := r.procs.address()
	block := map[string]any{"kind": kind, "upstream_url": "http://" + address, "units": UnitsPerAgent, "entries": r.addresses()}
	args := []string{"-listen", address}
	if kind == "executor" {
		block["service"] = serviceName
		args = append(args, "-service", serviceName)
	} else {
		block["rack"] = fmt.Sprintf("rack-%03d", i/agentsPerRack)
	}
	if _, err := r.procs.start(b.upstream, "standin-"+kind, args...); err != nil {
		return nil, err
	}
	var err error
	b.pid, err = r.procs.daemon(b.name, map[string]any{"role": "agent", "name": b.name, "region": "north", "cell": cellName,
		"metrics": map[string]any{"listen": b.metrics}, "agent": block})
	return b, err
}

func (r *runner) startAllBeside(kind string, n int) ([]*besideAgent, error) {
	var out []*besideAgent
	for i := range n {
		b, err := r.startBeside(kind, i)
		if err != nil {
			return nil, err
		}
		out = append(out, b)
	}
	return out, nil
}

const serviceName = "planner"

// observeBeside measures agent processes, averaged, and the entries of their cell.
func (r *runner) observeBeside(ctx context.Context, part, over string, x float64, agents []*besideAgent, entries []*entryProcess) error {
	var roles []role
	for _, b := range agents {
		roles = append(roles, role{name: "agent process", pid: b.pid, metrics: b.metrics})
	}
	roles = append(roles, r.cellRoles(entries)...)
	m, err := r.steadyWindow(ctx, roles, windowTime)
	if err != nil {
		return err
	}
	if err := r.record(part, over, x, "agent process", mean(m.roles[:len(agents)])); err != nil {
		return err
	}
	for i, x2 := range roles[len(agents):] {
		if err := r.record(part, over, x, x2.name, m.roles[len(agents)+i]); err != nil {
			return err
		}
	}
	return r.recordPlatform(part, over, x, m)
}

// processesPart measures agents as processes of their own beside stand-in workers: over the sessions, over the tasks,
// and against the same number of agents in this process.
func (r *runner) processesPart(ctx context.Context) error {
	const agents = 40
	if err := r.deploy(ctx, 0); err != nil {
		return err
	}
	beside, err := r.startAllBeside("worker", agents)
	if err != nil {
		return err
	}
	for n := 0; n <= cellEntries; n++ {
		if n > 0 {
			if err := r.procs.startEntries(ctx, r.procs.entries[n-1:n]); err != nil {
				return err
			}
			if err := r.waitWorkers(ctx, agents); err != nil {
				return err
			}
		}
		time.Sleep(settleTime)
		// The fourth entry gets no session: the number stays at three.
		if err := r.observeBeside(ctx, "processes", "entries of the cell", float64(n), beside, r.procs.entries[:n]); err != nil {
			return err
		}
	}
	if err := r.besideTasks(ctx, beside); err != nil {
		return err
	}
	return r.sharedProcess(ctx, agents)
}

func (r *runner) besideTasks(ctx context.Context, beside []*besideAgent) error {
	for _, tasks := range []int{0, 1, 2, 4} {
		want := tasks * len(beside)
		if err := r.submit(ctx, want-int(r.jobs.Load()), taskUnits, 0); err != nil {
			return err
		}
		if err := r.waitRows(ctx, "show jobs where state = running", want); err != nil {
			return err
		}
		time.Sleep(settleTime)
		if err := r.observeBeside(ctx, "processes", "tasks per agent", float64(tasks), beside, r.procs.entries); err != nil {
			return err
		}
	}
	return nil
}

// sharedProcess replaces the agent processes by as many agents in this process. The difference at the entries tells
// whether sharing a process changes their figures.
func (r *runner) sharedProcess(ctx context.Context, agents int) error {
	if err := r.procs.killAll(); err != nil {
		return err
	}
	if err := r.deploy(ctx, cellEntries); err != nil {
		return err
	}
	if err := r.growFleet(ctx, agents); err != nil {
		return err
	}
	for _, tasks := range []int{0, 1, 2, 4} {
		if err := r.fill(ctx, tasks*agents); err != nil {
			return err
		}
		time.Sleep(settleTime)
		if err := r.observe(ctx, "shared process", "tasks per agent", float64(tasks), agents, windowTime); err != nil {
			return err
		}
	}
	return nil
}

// requestsPart varies the short requests a second through one entry to executors with agents beside them.
func (r *runner) requestsPart(ctx context.Context) error {
	const executors = 4
	if err := r.deploy(ctx, cellEntries); err != nil {
		return err
	}
	beside, err := r.startAllBeside("executor", executors)
	if err != nil {
		return err
	}
	owner := inOrder(r.procs.entries)[0]
	caller, err := client.New(client.Options{Entries: []string{owner.api}, Token: operatorToken})
	if err != nil {
		return err
	}
	if err := r.waitRows(ctx, "show upstreams", executors); err != nil {
		return err
	}
	for _, rate := range []float64{0, 25, 50, 100} {
		feedCtx, stop := context.WithCancel(ctx)
		fed := make(chan error, 1)
		go func() { fed <- atRate(feedCtx, rate, func() error { return r.request(ctx, caller) }) }()
		time.Sleep(settleTime)
		err := r.observeBeside(ctx, "requests", "requests/s", rate, beside, r.procs.entries)
		stop()
		if err := firstError(err, <-fed); err != nil {
			return err
		}
	}
	return nil
}

var errRequest = errors.New("capacity: a request was not done")

func (r *runner) request(ctx context.Context, caller *client.Client) error {
	o, err := caller.Request(ctx, api.RequestBody{ID: fmt.Sprintf("request-%06d", r.jobs.Add(1)), Team: "team-000", Kind: "check",
		Service: serviceName, TimeoutMS: 5000, Payload: []byte(`{"work_ms":5}`)})
	if err == nil && o.Result != model.ResultDone {
		err = fmt.Errorf("%w: %s %s", errRequest, o.Result, o.Reason)
	}
	return err
}
