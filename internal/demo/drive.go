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

// ErrChecksFailed means that at least one result of the scenario was not as required.
var ErrChecksFailed = errors.New("results of the demo are not as required")

// itemResult is the result of one request or job, called an item below.
type itemResult struct {
	id         string
	outcome    model.Result
	reason     string
	duration   time.Duration
	startDelay time.Duration // from acceptance to the last claim
	attempts   int
	err        error
}

// scenarioRun is the state of one call of RunScenario.
type scenarioRun struct {
	layout   *Layout
	scenario *Scenario
	out      io.Writer
	operator *client.Client

	mu      sync.Mutex
	results map[string][]itemResult // by name of the step
	notes   []string                // lines to print below the table
}

// RunScenario sends the work of a scenario to the running deployment whose layout is in dir, prints the results and
// checks them. It returns ErrChecksFailed if a result is not as required.
func RunScenario(ctx context.Context, dir, scenarioPath string, out io.Writer) error {
	layout, err := LoadLayout(dir)
	if err != nil {
		return err
	}
	scenario, err := LoadScenario(scenarioPath)
	if err != nil {
		return err
	}
	var apiAddresses []string
	for region := range layout.APIs {
		apiAddresses = append(apiAddresses, layout.APIs[region]...)
	}
	operator, err := newClient(apiAddresses, OperatorToken)
	if err != nil {
		return err
	}
	r := &scenarioRun{layout: layout, scenario: scenario, out: out, operator: operator, results: map[string][]itemResult{}}
	if err := r.configureDeployment(ctx); err != nil {
		return err
	}
	started := time.Now()
	var steps sync.WaitGroup
	for _, s := range scenario.Steps {
		steps.Go(func() { r.runStep(ctx, s) })
	}
	steps.Wait()
	fmt.Fprintf(out, "all work finished after %s\n\n", time.Since(started).Round(time.Millisecond))
	return r.printReport()
}

func newClient(addresses []string, token string) (*client.Client, error) {
	urls := make([]string, len(addresses))
	for i, a := range addresses {
		urls[i] = "http://" + a
	}
	return client.New(client.Options{Entries: urls, Token: token})
}

// configureDeployment waits until the entries are ready and know all upstreams, applies the commands of the scenario and
// waits until every process has applied the resulting configuration.
func (r *scenarioRun) configureDeployment(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, list := range r.layout.APIs {
		for _, address := range list {
			if err := awaitReady(ctx, address); err != nil {
				return err
			}
		}
	}
	if err := r.awaitUpstreams(ctx); err != nil {
		return err
	}
	for i, text := range r.scenario.Commands {
		if _, err := r.operator.Change(ctx, api.ChangeBody{Base: int64(i), Commands: text}); err != nil {
			return fmt.Errorf("demo: command %q: %w", text, err)
		}
	}
	return r.awaitConfig(ctx, int64(len(r.scenario.Commands)))
}

func awaitReady(ctx context.Context, address string) error {
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

// awaitUpstreams waits until all executors and workers have announced themselves to the owners of their cells.
func (r *scenarioRun) awaitUpstreams(ctx context.Context) error {
	want := 0
	for region := range r.layout.APIs {
		want += len(r.layout.Executors[region]) + len(r.layout.Workers[region])
	}
	return pollUntil(ctx, "all upstreams announced", func() bool {
		workers, err := r.operator.Query(ctx, "show workers")
		if err != nil {
			return false
		}
		upstreams, err := r.operator.Query(ctx, "show upstreams")
		return err == nil && max(len(upstreams.Rows), len(workers.Rows)) >= 1 && countUpstreams(workers, upstreams) >= want
	})
}

// countUpstreams counts the distinct names in the first column, since workers may be listed as upstreams too.
func countUpstreams(replies ...api.QueryReply) int {
	names := map[string]bool{}
	for _, q := range replies {
		for _, row := range q.Rows {
			names[fmt.Sprint(row[0])] = true
		}
	}
	return len(names)
}

func (r *scenarioRun) awaitConfig(ctx context.Context, version int64) error {
	started := time.Now()
	err := pollUntil(ctx, "configuration in force at every process", func() bool {
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
		fmt.Fprintf(r.out, "configuration version %d in force at every process after %s\n", version,
			time.Since(started).Round(time.Millisecond))
	}
	return err
}

// pollUntil calls done until it returns true. condition names it in the error that is returned if ctx ends first.
func pollUntil(ctx context.Context, condition string, done func() bool) error {
	for !done() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("demo: timed out waiting for: %s", condition)
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// runStep waits for the start time of a step, starts its items one interval apart and waits for their results.
func (r *scenarioRun) runStep(ctx context.Context, s Step) {
	if !sleep(ctx, s.startAfter) {
		return
	}
	if s.Type == StepKill {
		r.killCellOwner(ctx, s)
		return
	}
	var work sync.WaitGroup
	for i := range max(1, s.Count) {
		work.Go(func() {
			id := fmt.Sprintf("%s-%03d", strings.ReplaceAll(s.Name, " ", "-"), i)
			res := r.runItem(ctx, s, id)
			r.mu.Lock()
			defer r.mu.Unlock()
			r.results[s.Name] = append(r.results[s.Name], res)
		})
		if !sleep(ctx, s.interval) {
			break
		}
	}
	work.Wait()
}

// sleep returns false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (r *scenarioRun) runItem(ctx context.Context, s Step, id string) itemResult {
	c, err := newClient(r.layout.AllAPIs(s.Region), r.scenario.Tokens[s.Team])
	if err != nil {
		return itemResult{id: id, err: err}
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	started := time.Now()
	if s.Type == StepRequest {
		o, err := c.Request(ctx, api.RequestBody{ID: id, Team: s.Team, Kind: s.Kind, Service: s.Service, Payload: s.Payload,
			TimeoutMS: s.timeout.Milliseconds(), Idempotent: &s.Idempotent})
		return itemResult{id: id, outcome: o.Result, reason: o.Reason, duration: time.Since(started), attempts: 1,
			err: err}
	}
	return r.runJob(ctx, c, s, id, started)
}

func (r *scenarioRun) runJob(ctx context.Context, c *client.Client, s Step, id string, started time.Time) itemResult {
	body := api.JobBody{ID: id, Team: s.Team, Kind: s.Kind, Service: s.Service, Shape: s.Shape, Idempotent: s.Idempotent,
		Preemptible: s.Preemptible, Payload: s.Payload}
	if _, _, err := c.Submit(ctx, body); err != nil {
		return itemResult{id: id, err: err}
	}
	if s.Resend {
		if err := r.resubmit(ctx, s, body); err != nil {
			return itemResult{id: id, err: err}
		}
	}
	job, err := c.WaitFinished(ctx, model.JobKey{Team: s.Team, ID: id})
	if err != nil {
		return itemResult{id: id, err: err}
	}
	res := itemResult{id: id, outcome: job.Outcome.Result, reason: job.Outcome.Reason, duration: time.Since(started),
		attempts: job.Attempt}
	if !job.Claimed.IsZero() {
		res.startDelay = job.Claimed.Sub(job.Submitted)
	}
	return res
}

// resubmit submits the job again through another region, like a caller that got no answer. It returns an error if the
// job is created a second time.
func (r *scenarioRun) resubmit(ctx context.Context, s Step, body api.JobBody) error {
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
			err = errors.New("the resubmitted job was accepted as a new job")
		}
		return err
	}
	return nil
}

// killCellOwner kills the entry that owns the cell of the step's region with SIGKILL.
func (r *scenarioRun) killCellOwner(ctx context.Context, s Step) {
	name, err := r.cellOwner(ctx, s.Region)
	if err == nil {
		err = r.killProcess(name)
	}
	note := fmt.Sprintf("killed %s, the owner of cell %s, %s after the start", name, s.Region, s.startAfter)
	if err != nil {
		note = fmt.Sprintf("VIOLATED: the owner of cell %s was not killed: %v", s.Region, err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notes = append(r.notes, note)
}

func (r *scenarioRun) cellOwner(ctx context.Context, region string) (string, error) {
	q, err := r.operator.Query(ctx, "show entries where cell = "+strconv.Quote(region)+" and owner = true")
	if err != nil {
		return "", err
	}
	if len(q.Rows) == 0 {
		return "", fmt.Errorf("cell %s has no known owner", region)
	}
	return fmt.Sprint(q.Rows[0][0]), nil
}

// killProcess looks up the process id in the file that the start script writes.
func (r *scenarioRun) killProcess(name string) error {
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
