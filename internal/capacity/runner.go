package capacity

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"masticcart.example/masticcart/internal/client"
	"masticcart.example/masticcart/internal/client/api"
	"masticcart.example/masticcart/internal/config"
	"masticcart.example/masticcart/internal/kvstore"
	"masticcart.example/masticcart/internal/model"
)

const (
	// submitConcurrency is the number of submissions in flight.
	submitConcurrency = 32
	// waitTimeout bounds the wait for workers to register and for tasks to run.
	waitTimeout = 90 * time.Second
	// unitsPerTask is the number of accelerators of a submitted task; four tasks fill an agent.
	unitsPerTask = 2
	measuredCell = "dc1"
	// cellEntries is one more than the number of entries that agents report to, so that every role occurs.
	cellEntries = 4
	// smallConfigTeams is the number of teams in the initial configuration, as many as the first users have.
	smallConfigTeams = 4
)

// ErrUnknownPart is returned by Run for a part name that does not exist.
var ErrUnknownPart = errors.New("capacity: unknown part")

// runner runs one part of the measurement.
type runner struct {
	processes *processManager
	points    *pointWriter
	fleet     *fleet // nil until growFleet is called
	client    *client.Client
	log       io.Writer
	submitted atomic.Int64 // jobs and requests submitted so far; the source of their ids
}

// part is a set of measurements on a deployment of its own.
type part func(r *runner, ctx context.Context) error

func parts() map[string]part {
	return map[string]part{
		"agents": (*runner).runAgentsPart, "tasks": (*runner).runTasksPart, "jobs": (*runner).runJobsPart,
		"entries": (*runner).runEntriesPart, "config": (*runner).runConfigPart, "processes": (*runner).runProcessesPart,
		"requests": (*runner).runRequestsPart,
	}
}

// Options are the settings of Run.
type Options struct {
	// Dir is the directory of the settings, logs, process ids and results. scripts/capacity uses the same directory.
	Dir string
	// BasePort is one less than the first port that processes listen on.
	BasePort int
	// Parts are the names of the parts to run, in this order.
	Parts []string
	// Commands receives the commands to scripts/capacity. Log receives the progress for the operator.
	Commands, Log io.Writer
}

// Run runs the parts one after the other and writes their points to results.jsonl in Dir. It returns ErrUnknownPart for
// an unknown part, and stops at the first part that fails.
func Run(ctx context.Context, o Options) error {
	f, err := os.Create(filepath.Join(o.Dir, "results.jsonl"))
	if err != nil {
		return err
	}
	defer f.Close()
	procs := newProcessManager(o.Dir, o.Commands, o.BasePort)
	for _, name := range o.Parts {
		runPart := parts()[name]
		if runPart == nil {
			return fmt.Errorf("%w: %s", ErrUnknownPart, name)
		}
		started := time.Now()
		r := &runner{processes: procs, points: newPointWriter(f), log: o.Log}
		err := runPart(r, ctx)
		if r.fleet != nil {
			r.fleet.close()
		}
		if err := errors.Join(err, procs.killAll()); err != nil {
			return fmt.Errorf("part %s: %w", name, err)
		}
		fmt.Fprintf(o.Log, "part %s took %s\n", name, time.Since(started).Round(time.Second))
	}
	return nil
}

// deployCell starts the platform, writes a small configuration and starts the first entries of the measured cell.
func (r *runner) deployCell(ctx context.Context, startedEntries int) error {
	if err := r.processes.startPlatform(); err != nil {
		return err
	}
	if err := r.processes.addEntries([]string{measuredCell}, cellEntries); err != nil {
		return err
	}
	if err := pollUntil(ctx, processTimeout, "platform", func() bool {
		_, err := platformStats(ctx, r.processes.platformAddress)
		return err == nil
	}); err != nil {
		return err
	}
	if err := r.setTeams(ctx, smallConfigTeams); err != nil {
		return err
	}
	var addresses []string
	for _, e := range r.processes.entries {
		addresses = append(addresses, e.apiAddress)
	}
	var err error
	if r.client, err = client.New(client.Options{Entries: addresses, Token: operatorToken, Rounds: 5}); err != nil {
		return err
	}
	return r.processes.startEntries(ctx, r.processes.entries[:startedEntries])
}

// setTeams writes a configuration with n teams, each with a token and a quota, to the platform.
func (r *runner) setTeams(ctx context.Context, n int) error {
	store := kvstore.NewHTTP([]string{r.processes.platformAddress}, 2*time.Second, nil)
	defer store.Close()
	_, err := config.NewRepository(store).Change(ctx, config.AnyBase, func(c *model.Config) error {
		c.Teams = sampleTeams(n)
		c.Rules = []model.Rule{{Kind: "training", Class: model.ClassNormal, Priority: 50, CrossRegionPrice: -1}}
		return nil
	})
	return err
}

func (r *runner) entryRPCAddresses() []string {
	var out []string
	for _, e := range r.processes.entries {
		out = append(out, e.rpcAddress)
	}
	return out
}

// growFleet starts simulated agents until there are n and waits until the owner lists all of them.
func (r *runner) growFleet(ctx context.Context, n int) error {
	if r.fleet == nil {
		r.fleet = newFleet(measuredCell, r.entryRPCAddresses())
	}
	r.fleet.growTo(n)
	return r.waitWorkers(ctx, n)
}

func (r *runner) runningEntries() []*entryProcess {
	var out []*entryProcess
	for _, e := range r.processes.entries {
		if r.processes.running[e.name] {
			out = append(out, e)
		}
	}
	return out
}

func (r *runner) waitWorkers(ctx context.Context, n int) error {
	return r.waitRows(ctx, "show workers", n)
}

// waitRows repeats a query until it returns at least n rows.
func (r *runner) waitRows(ctx context.Context, query string, n int) error {
	var lastErr error
	// The owner answers from its own memory; another entry would fetch the owner's whole view for each query.
	owner, err := client.New(client.Options{
		Entries: []string{entriesInRendezvousOrder(r.runningEntries())[0].apiAddress}, Token: operatorToken,
	})
	if err != nil {
		return err
	}
	defer owner.Close()
	err = pollUntil(ctx, waitTimeout, fmt.Sprintf("%d rows of %q", n, query), func() bool {
		time.Sleep(time.Second) // limits the load, since the view of a whole cell is large
		reply, err := owner.Query(ctx, query)
		lastErr = err
		return err == nil && len(reply.Rows) >= n
	})
	return errors.Join(err, lastErr)
}

// submitJobs submits n jobs of one task each and returns when all submissions are answered, with one of their errors
// if any failed. Each task has the given number of accelerators and runs for runMS milliseconds, or without end if
// runMS is zero.
func (r *runner) submitJobs(ctx context.Context, n, units, runMS int) error {
	payload, err := json.Marshal(newTaskPayload(int64(runMS)))
	if err != nil {
		return err
	}
	ids := make(chan int64)
	errs := make(chan error, submitConcurrency)
	var senders sync.WaitGroup
	for range submitConcurrency {
		senders.Go(func() {
			for id := range ids {
				_, _, err := r.client.Submit(ctx, api.JobBody{
					ID: fmt.Sprintf("job-%06d", id), Team: "team-000", Kind: "training", Idempotent: true,
					RunTimeMS: time.Hour.Milliseconds(),
					Shape:     model.Shape{Accelerators: units, Adjacency: model.AdjacentWorker}, Payload: payload,
				})
				if err != nil {
					select {
					case errs <- err:
					default:
					}
				}
			}
		})
	}
	for range n {
		ids <- r.submitted.Add(1)
	}
	close(ids)
	senders.Wait()
	select {
	case err := <-errs:
		return err
	default:
		return nil
	}
}

// submitUntilRunning submits the missing jobs and waits until at least the given number of tasks run on the fleet.
func (r *runner) submitUntilRunning(ctx context.Context, tasks int) error {
	started := time.Now()
	missing := tasks - int(r.fleet.runningTasks.Load())
	if err := r.submitJobs(ctx, missing, unitsPerTask, 0); err != nil {
		return err
	}
	err := pollUntil(ctx, waitTimeout, fmt.Sprintf("%d running tasks", tasks), func() bool {
		return int(r.fleet.runningTasks.Load()) >= tasks
	})
	fmt.Fprintf(r.log, "%d more jobs running after %s\n", missing, time.Since(started).Round(100*time.Millisecond))
	return err
}

// recordUsage writes the usage of a role in a window.
func (r *runner) recordUsage(part, over string, x float64, role string, u usage) error {
	return r.writePoints(Point{Part: part, Over: over, X: x, Role: role}, []measurement{
		{"cpu %", u.cpuPercent}, {"rss MB", u.rssMB}, {"in B/s", u.receiveRate}, {"out B/s", u.sendRate},
		{"commands/s", u.commandRate}, {"platform in B/s", u.platformReceiveRate}, {"platform out B/s", u.platformSendRate},
	})
}

// recordFleet writes the mean traffic of a simulated agent and the platform's calls.
func (r *runner) recordFleet(part, over string, x float64, m windowResult, agents int) error {
	n := float64(agents)
	if err := r.writePoints(Point{Part: part, Over: over, X: x, Role: "agent"}, []measurement{
		{"in B/s", m.fleetReceiveRate / n}, {"out B/s", m.fleetSendRate / n}, {"messages/s", m.messageRate / n},
	}); err != nil {
		return err
	}
	return r.recordPlatform(part, over, x, m)
}

func (r *runner) recordPlatform(part, over string, x float64, m windowResult) error {
	return r.writePoints(Point{Part: part, Over: over, X: x, Role: "platform"}, []measurement{
		{"calls/s", m.callRate}, {"reads/s", m.readRate}, {"writes/s", m.writeRate}, {"watches/s", m.watchRate},
	})
}

// measurement is the value of one measure, such as "cpu %".
type measurement struct {
	measure string
	value   float64
}

// writePoints writes one point per measurement, each with the other fields of p.
func (r *runner) writePoints(p Point, measurements []measurement) error {
	for _, m := range measurements {
		p.Measure, p.Y = m.measure, m.value
		if err := r.points.write(p); err != nil {
			return err
		}
	}
	return nil
}
