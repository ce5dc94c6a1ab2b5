package demo

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"masticcart.example/masticcart/internal/client"
	"masticcart.example/masticcart/internal/client/api"
	"masticcart.example/masticcart/internal/model"
)

const (
	readyTimeout  = 30 * time.Second
	finishTimeout = 45 * time.Second
	pollInterval  = 100 * time.Millisecond
)

// ErrChecksFailed means that something differed from what must hold.
var ErrChecksFailed = errors.New("the demo differs from what must hold")

// result is the outcome of one piece of work.
type result struct {
	id       string
	outcome  model.Result
	reason   string
	took     time.Duration
	started  time.Duration // from acceptance to the last claim
	attempts int
	err      error
}

// run is the state of one drive.
type run struct {
	layout   *Layout
	scenario *Scenario
	out      io.Writer
	operator *client.Client

	mu      sync.Mutex
	results map[string][]result // by step
	notes   []string
}

// RunScenario sends a scenario through a running deployment, prints the outcomes and checks them.
func RunScenario(ctx context.Context, dir, scenarioPath string, out io.Writer) error {
	layout, err := LoadLayout(dir)
	if err != nil {
		return err
	}
	scenario, err := LoadScenario(scenarioPath)
	if err != nil {
		return err
	}
	var all []string
	for region := range layout.APIs {
		all = append(all, layout.APIs[region]...)
	}
	operator, err := newClient(all, OperatorToken)
	if err != nil {
		return err
	}
	r := &run{layout: layout, scenario: scenario, out: out, operator: operator, results: map[string][]result{}}
	if err := r.prepare(ctx); err != nil {
		return err
	}
	started := time.Now()
	var steps sync.WaitGroup
	for _, s := range scenario.Steps {
		steps.Go(func() { r.step(ctx, s) })
	}
	steps.Wait()
	fmt.Fprintf(out, "all work ended after %s\n\n", time.Since(started).Round(time.Millisecond))
	return r.report()
}

func newClient(addresses []string, token string) (*client.Client, error) {
	urls := make([]string, len(addresses))
	for i, a := range addresses {
		urls[i] = "http://" + a
	}
	return client.New(client.Options{Entries: urls, Token: token})
}

// prepare waits until everything is up and applies the configuration.
func (r *run) prepare(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, list := range r.layout.APIs {
		for _, address := range list {
			if err := waitReady(ctx, address); err != nil {
				return err
			}
		}
	}
	if err := r.waitUpstreams(ctx); err != nil {
		return err
	}
	for i, text := range r.scenario.Commands {
		if _, err := r.operator.Change(ctx, api.ChangeBody{Base: int64(i), Commands: text}); err != nil {
			return fmt.Errorf("demo: command %q: %w", text, err)
		}
	}
	return r.waitConfig(ctx, int64(len(r.scenario.Commands)))
}

func waitReady(ctx context.Context, address string) error {
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("demo: entry at %s did not become ready", address)
		case <-time.After(pollInterval):
		}
	}
}

// waitUpstreams waits until the owners of all cells see all upstreams.
func (r *run) waitUpstreams(ctx context.Context) error {
	want := 0
	for region := range r.layout.APIs {
		want += len(r.layout.Executors[region]) + len(r.layout.Workers[region])
	}
	return poll(ctx, "all upstreams announced", func() bool {
		workers, err := r.operator.Query(ctx, "show workers")
		if err != nil {
			return false
		}
		upstreams, err := r.operator.Query(ctx, "show upstreams")
		return err == nil && max(len(upstreams.Rows), len(workers.Rows)) >= 1 && countRows(workers, upstreams) >= want
	})
}

// countRows counts distinct upstreams by the first column, since workers are upstreams too.
func countRows(replies ...api.QueryReply) int {
	names := map[string]bool{}
	for _, q := range replies {
		for _, row := range q.Rows {
			names[fmt.Sprint(row[0])] = true
		}
	}
	return len(names)
}

func (r *run) waitConfig(ctx context.Context, version int64) error {
	started := time.Now()
	err := poll(ctx, "configuration in force everywhere", func() bool {
		status, err := r.operator.ConfigStatus(ctx)
		if err != nil || len(status.Rows) == 0 {
			return false
		}
		for _, row := range status.Rows {
			if row.Version < version {
				return false
			}
		}
		return true
	})
	if err == nil {
		fmt.Fprintf(r.out, "configuration version %d in force at every process after %s\n", version, time.Since(started).Round(time.Millisecond))
	}
	return err
}

func poll(ctx context.Context, what string, done func() bool) error {
	for !done() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("demo: timeout waiting for: %s", what)
		case <-time.After(pollInterval):
		}
	}
	return nil
}

func (r *run) step(ctx context.Context, s Step) {
	if !pause(ctx, s.at) {
		return
	}
	if s.Type == StepKill {
		r.kill(ctx, s)
		return
	}
	var work sync.WaitGroup
	for i := range max(1, s.Count) {
		work.Go(func() {
			id := fmt.Sprintf("%s-%03d", strings.ReplaceAll(s.Name, " ", "-"), i)
			res := r.send(ctx, s, id)
			r.mu.Lock()
			defer r.mu.Unlock()
			r.results[s.Name] = append(r.results[s.Name], res)
		})
		if !pause(ctx, s.every) {
			break
		}
	}
	work.Wait()
}

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (r *run) send(ctx context.Context, s Step, id string) result {
	c, err := newClient(r.layout.AllAPIs(s.Region), r.scenario.Tokens[s.Team])
	if err != nil {
		return result{id: id, err: err}
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	started := time.Now()
	if s.Type == StepRequest {
		o, err := c.Request(ctx, api.RequestBody{ID: id, Team: s.Team, Kind: s.Kind, Service: s.Service, Payload: s.Payload,
			TimeoutMS: s.timeout.Milliseconds(), Idempotent: &s.Idempotent})
		return result{id: id, outcome: o.Result, reason: o.Reason, took: time.Since(started), attempts: 1, err: err}
	}
	return r.sendJob(ctx, c, s, id, started)
}

func (r *run) sendJob(ctx context.Context, c *client.Client, s Step, id string, started time.Time) result {
	body := api.JobBody{ID: id, Team: s.Team, Kind: s.Kind, Service: s.Service, Shape: s.Shape, Idempotent: s.Idempotent,
		Preemptible: s.Preemptible, Payload: s.Payload}
	if _, _, err := c.Submit(ctx, body); err != nil {
		return result{id: id, err: err}
	}
	if s.Resend {
		if err := r.resend(ctx, s, body); err != nil {
			return result{id: id, err: err}
		}
	}
	job, err := c.WaitFinished(ctx, model.JobKey{Team: s.Team, ID: id})
	if err != nil {
		return result{id: id, err: err}
	}
	res := result{id: id, outcome: job.Outcome.Result, reason: job.Outcome.Reason, took: time.Since(started), attempts: job.Attempt}
	if !job.Claimed.IsZero() {
		res.started = job.Claimed.Sub(job.Submitted)
	}
	return res
}

// resend submits the job again through another region, as a caller does that lost its answer.
func (r *run) resend(ctx context.Context, s Step, body api.JobBody) error {
	for region, addresses := range r.layout.APIs {
		if region == s.Region {
			continue
		}
		c, err := newClient(addresses, r.scenario.Tokens[s.Team])
		if err != nil {
			return err
		}
		defer c.Close()
		_, created, err := c.Submit(ctx, body)
		if err == nil && created {
			err = errors.New("the re-sent job was accepted a second time")
		}
		return err
	}
	return nil
}

// kill ends the entry that owns the cell, without warning.
func (r *run) kill(ctx context.Context, s Step) {
	name, err := r.owner(ctx, s.Region)
	if err == nil {
		err = r.killProcess(name)
	}
	note := fmt.Sprintf("killed %s, the owner of cell %s, %s after the start", name, s.Region, s.at)
	if err != nil {
		note = fmt.Sprintf("VIOLATED: the owner of cell %s was not killed: %v", s.Region, err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notes = append(r.notes, note)
}

func (r *run) owner(ctx context.Context, region string) (string, error) {
	q, err := r.operator.Query(ctx, "show entries where cell = "+strconv.Quote(region)+" and owner = true")
	if err != nil {
		return "", err
	}
	if len(q.Rows) == 0 {
		return "", fmt.Errorf("no owner of cell %s is known", region)
	}
	return fmt.Sprint(q.Rows[0][0]), nil
}

func (r *run) killProcess(name string) error {
	f, err := os.Open(filepath.Join(r.layout.Dir, "pids.txt"))
	if err != nil {
		return err
	}
	defer f.Close()
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		process, text, _ := strings.Cut(lines.Text(), " ")
		if process != name {
			continue
		}
		pid, err := strconv.Atoi(text)
		if err != nil {
			return err
		}
		return syscall.Kill(pid, syscall.SIGKILL)
	}
	return fmt.Errorf("process %s is not in pids.txt", name)
}
