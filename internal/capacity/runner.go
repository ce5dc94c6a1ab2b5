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
	submitters     = 32
	runningTimeout = 90 * time.Second
	// taskUnits is the size of the submitted tasks: four of them fill an agent.
	taskUnits = 2
	cellName  = "dc1"
	// cellEntries is one more than the entries that agents report to, so that each role is there.
	cellEntries = 4
	// fewTeams is the size of the first users' configurations.
	fewTeams = 4
)

// ErrUnknownPart means that no part has this name.
var ErrUnknownPart = errors.New("capacity: unknown part")

// runner carries out the parts of a measurement, one after the other.
type runner struct {
	procs  *processes
	rec    *recorder
	fleet  *fleet // nil in parts without simulated agents
	client *client.Client
	log    io.Writer
	jobs   atomic.Int64 // submitted so far, for their ids
}

// part is one set of measurements with its own deployment.
type part func(r *runner, ctx context.Context) error

func parts() map[string]part {
	return map[string]part{
		"agents": (*runner).agentsPart, "tasks": (*runner).tasksPart, "jobs": (*runner).jobsPart,
		"entries": (*runner).entriesPart, "config": (*runner).configPart, "processes": (*runner).processesPart,
		"requests": (*runner).requestsPart,
	}
}

// Options of a run.
type Options struct {
	// Dir takes settings, logs and process ids. The script that starts processes uses the same folder.
	Dir      string
	BasePort int
	Parts    []string
	// Commands takes the requests to the script, Log what a person reads.
	Commands, Log io.Writer
}

// Run carries out parts and writes their points to results.jsonl in the folder.
func Run(ctx context.Context, o Options) error {
	f, err := os.Create(filepath.Join(o.Dir, "results.jsonl"))
	if err != nil {
		return err
	}
	defer f.Close()
	procs := newProcesses(o.Dir, o.Commands, o.BasePort)
	for _, name := range o.Parts {
		run := parts()[name]
		if run == nil {
			return fmt.Errorf("%w: %s", ErrUnknownPart, name)
		}
		started := time.Now()
		r := &runner{procs: procs, rec: newRecorder(f), log: o.Log}
		err := run(r, ctx)
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

// deploy starts the platform and the first entries of one cell, with a configuration of few teams.
func (r *runner) deploy(ctx context.Context, started int) error {
	if err := r.procs.startPlatform(); err != nil {
		return err
	}
	if err := r.procs.planEntries([]string{cellName}, cellEntries); err != nil {
		return err
	}
	if err := waitFor(ctx, pidTimeout, "platform", func() bool { _, err := platformStats(ctx, r.procs.platform); return err == nil }); err != nil {
		return err
	}
	if err := r.setTeams(ctx, fewTeams); err != nil {
		return err
	}
	var addresses []string
	for _, e := range r.procs.entries {
		addresses = append(addresses, e.api)
	}
	var err error
	if r.client, err = client.New(client.Options{Entries: addresses, Token: operatorToken, Rounds: 5}); err != nil {
		return err
	}
	return r.procs.startEntries(ctx, r.procs.entries[:started])
}

// setTeams writes a configuration with so many teams, each with a token and a quota.
func (r *runner) setTeams(ctx context.Context, n int) error {
	store := kvstore.NewHTTP([]string{r.procs.platform}, 2*time.Second, nil)
	defer store.Close()
	_, err := config.NewRepository(store).Change(ctx, config.AnyBase, func(c *model.Config) error {
		c.Teams = sampleTeams(n)
		c.Rules = []model.Rule{{Kind: "training", Class: model.ClassNormal, Priority: 50, CrossRegionPrice: -1}}
		return nil
	})
	return err
}

func (r *runner) addresses() []string {
	var out []string
	for _, e := range r.procs.entries {
		out = append(out, e.rpc)
	}
	return out
}

// growFleet starts simulated agents and waits until the owner shows them all.
func (r *runner) growFleet(ctx context.Context, n int) error {
	if r.fleet == nil {
		r.fleet = newFleet(cellName, r.addresses())
	}
	r.fleet.grow(n)
	return r.waitWorkers(ctx, n)
}

// started returns the entries that run.
func (r *runner) started() []*entryProcess {
	var out []*entryProcess
	for _, e := range r.procs.entries {
		if r.procs.alive[e.name] {
			out = append(out, e)
		}
	}
	return out
}

func (r *runner) waitWorkers(ctx context.Context, n int) error {
	return r.waitRows(ctx, "show workers", n)
}

// waitRows repeats a query until it returns enough rows.
func (r *runner) waitRows(ctx context.Context, query string, n int) error {
	var last error
	// The owner answers from its own memory; another entry would fetch its whole view each time.
	owner, err := client.New(client.Options{Entries: []string{inOrder(r.started())[0].api}, Token: operatorToken})
	if err != nil {
		return err
	}
	defer owner.Close()
	err = waitFor(ctx, runningTimeout, fmt.Sprintf("%d rows of %q", n, query), func() bool {
		time.Sleep(time.Second) // a view of a whole cell is long
		reply, err := owner.Query(ctx, query)
		last = err
		return err == nil && len(reply.Rows) >= n
	})
	return errors.Join(err, last)
}

// submit sends jobs of one task each and returns when all are accepted.
func (r *runner) submit(ctx context.Context, n, units, runMS int) error {
	payload, err := json.Marshal(newPayload(int64(runMS)))
	if err != nil {
		return err
	}
	ids := make(chan int64)
	errs := make(chan error, submitters)
	var workers sync.WaitGroup
	for range submitters {
		workers.Go(func() {
			for id := range ids {
				_, _, err := r.client.Submit(ctx, api.JobBody{
					ID: fmt.Sprintf("job-%06d", id), Team: "team-000", Kind: "training", Idempotent: true, RunTimeMS: time.Hour.Milliseconds(),
					Shape: model.Shape{Accelerators: units, Adjacency: model.AdjacentWorker}, Payload: payload,
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
		ids <- r.jobs.Add(1)
	}
	close(ids)
	workers.Wait()
	select {
	case err := <-errs:
		return err
	default:
		return nil
	}
}

// fill submits jobs until so many tasks run on the fleet.
func (r *runner) fill(ctx context.Context, tasks int) error {
	started := time.Now()
	missing := tasks - int(r.fleet.running.Load())
	if err := r.submit(ctx, missing, taskUnits, 0); err != nil {
		return err
	}
	err := waitFor(ctx, runningTimeout, fmt.Sprintf("%d running tasks", tasks), func() bool { return int(r.fleet.running.Load()) >= tasks })
	fmt.Fprintf(r.log, "%d jobs running after %s\n", missing, time.Since(started).Round(100*time.Millisecond))
	return err
}

// record writes what a role used in a window.
func (r *runner) record(part, over string, x float64, name string, u usage) error {
	return r.points(Point{Part: part, Over: over, X: x, Role: name}, []value{
		{"cpu %", u.cpuPercent}, {"rss MB", u.rssMB}, {"in B/s", u.in}, {"out B/s", u.out},
		{"commands/s", u.actions}, {"platform in B/s", u.platformIn}, {"platform out B/s", u.platformOut},
	})
}

// recordFleet writes what one simulated agent exchanged, and the platform's calls.
func (r *runner) recordFleet(part, over string, x float64, m measured, agents int) error {
	n := float64(agents)
	if err := r.points(Point{Part: part, Over: over, X: x, Role: "agent"}, []value{
		{"in B/s", m.fleetIn / n}, {"out B/s", m.fleetOut / n}, {"messages/s", m.messages / n},
	}); err != nil {
		return err
	}
	return r.recordPlatform(part, over, x, m)
}

func (r *runner) recordPlatform(part, over string, x float64, m measured) error {
	return r.points(Point{Part: part, Over: over, X: x, Role: "platform"}, []value{
		{"calls/s", m.calls}, {"reads/s", m.reads}, {"writes/s", m.writes}, {"watches/s", m.watches},
	})
}

type value struct {
	measure string
	y       float64
}

func (r *runner) points(p Point, values []value) error {
	for _, v := range values {
		p.Measure, p.Y = v.measure, v.y
		if err := r.rec.add(p); err != nil {
			return err
		}
	}
	return nil
}
