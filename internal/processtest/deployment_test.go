package processtest

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"masticcart.example/masticcart/internal/client"
	"masticcart.example/masticcart/internal/client/api"
	"masticcart.example/masticcart/internal/demo"
)

const (
	service      = "planner"
	portsEach    = 80 // of one deployment
	startTime    = 40 * time.Second
	pollInterval = 25 * time.Millisecond
	callTime     = 20 * time.Second // above the stalls of a busy machine
)

// The teams of every deployment; a team's token is its name with a prefix.
const (
	teamA = "coating"
	teamB = "retouch"
)

func tokenOf(team string) string { return "token-" + team }

// process is one process of a deployment. Only the test's goroutine starts and ends it.
type process struct {
	spec  demo.Process
	log   string
	cmd   *exec.Cmd
	ended chan struct{} // closed when the process has been waited for
}

func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// deployment is a set of processes that belongs to one test.
type deployment struct {
	*testing.T
	layout   *demo.Layout
	procs    map[string]*process
	operator *client.Client
	a, b     *client.Client // of the two teams, through all entries
	tls      *tls.Config    // nil for plain TCP
	http     *http.Client
	past     history // of upstreams that were replaced

	mu    sync.Mutex
	works map[string]work // by team:id
}

// sizes returns the sizes of a deployment with one region and two entries.
func sizes(executors, workers int) demo.Sizes {
	return demo.Sizes{Regions: []string{"riga"}, Entries: 2, Executors: executors, Workers: workers, RackSize: 8, Service: service}
}

// deploy starts a deployment, waits until every upstream is known and creates the teams.
func deploy(t *testing.T, s demo.Sizes, options ...func(*deployment)) *deployment {
	t.Helper()
	shared.running <- struct{}{}
	t.Cleanup(func() { <-shared.running })
	dir, err := os.MkdirTemp("", "processtest-")
	if err != nil {
		t.Fatal(err)
	}
	d := &deployment{T: t, procs: map[string]*process{}, works: map[string]work{}, http: &http.Client{Timeout: callTime}}
	if d.layout, err = demo.PrepareDeployment(dir, shared.ports(portsEach), s); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { d.end(dir) })
	for _, o := range options {
		o(d)
	}
	for _, p := range d.layout.Processes {
		d.procs[p.Name] = &process{spec: p, log: filepath.Join(dir, p.Name+".log")}
		d.start(p.Name)
	}
	d.operator, d.a, d.b = d.client(demo.OperatorToken), d.client(tokenOf(teamA)), d.client(tokenOf(teamB))
	d.waitReady()
	d.change(0, fmt.Sprintf("create team %s token-hash %s; create team %s token-hash %s",
		teamA, demo.TokenHash(tokenOf(teamA)), teamB, demo.TokenHash(tokenOf(teamB))))
	d.inForce(1)
	return d
}

// end kills exactly the processes that the test started. It keeps the logs of a failed test.
func (d *deployment) end(dir string) {
	for _, p := range d.procs {
		if p.cmd != nil && p.running() {
			d.signal(p.spec.Name, syscall.SIGKILL)
			<-p.ended
		}
	}
	if d.Failed() {
		d.Logf("logs are kept in %s", dir)
		return
	}
	if err := os.RemoveAll(dir); err != nil {
		d.Log(err)
	}
}

// start starts a process, or a replacement for one that has ended.
func (d *deployment) start(name string) {
	d.Helper()
	p := d.procs[name]
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		d.Fatal(err)
	}
	defer out.Close()
	p.cmd = exec.Command(filepath.Join(shared.bin, p.spec.Program), p.spec.Args...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	// The kernel ends the process if the test binary dies before it can. A group of its own keeps a stopped process
	// from the SIGHUP that the kernel sends to a group with stopped members whose shell exits.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := p.cmd.Start(); err != nil {
		d.Fatalf("start %s: %v", name, err)
	}
	p.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait() // the exit code is read from ProcessState
		close(ended)
	}(p.cmd, p.ended)
}

func (d *deployment) signal(name string, s syscall.Signal) {
	d.Helper()
	if err := d.procs[name].cmd.Process.Signal(s); err != nil {
		d.Errorf("%s to %s: %v", s, name, err)
	}
}

// suspend stops a process and waits until none of its threads runs: on a busy machine it may still answer for some
// milliseconds after the signal.
func (d *deployment) suspend(name string) {
	d.Helper()
	d.signal(name, syscall.SIGSTOP)
	threads := fmt.Sprintf("/proc/%d/task/*/stat", d.procs[name].cmd.Process.Pid)
	d.poll(name+" is suspended", startTime, func() bool {
		files, err := filepath.Glob(threads)
		if err != nil || len(files) == 0 {
			d.Fatalf("%s: %d threads, %v", threads, len(files), err)
		}
		for _, file := range files {
			data, err := os.ReadFile(file)
			if err != nil {
				return false // the thread has just ended
			}
			_, state, _ := strings.Cut(string(data), ") ")
			if !strings.HasPrefix(state, "T") {
				return false
			}
		}
		return true
	})
}

// kill ends a process without warning.
func (d *deployment) kill(name string) {
	d.Helper()
	d.signal(name, syscall.SIGKILL)
	<-d.procs[name].ended
}

// waitExit waits until a process that was told to stop has ended as planned.
func (d *deployment) waitExit(name string) {
	d.Helper()
	p := d.procs[name]
	d.poll(name+" ended after SIGTERM", drainTime, func() bool { return !p.running() })
	if code := p.cmd.ProcessState.ExitCode(); code != 0 {
		d.Errorf("%s ended with code %d after SIGTERM", name, code)
	}
}

// client returns a client of all entries; those given are tried first.
func (d *deployment) client(token string, first ...string) *client.Client {
	d.Helper()
	return d.only(token, append(first, d.layout.AllAPIs("")...)...)
}

// only returns a client of some entries.
func (d *deployment) only(token string, addresses ...string) *client.Client {
	d.Helper()
	c, err := client.New(client.Options{Entries: addresses, Token: token, TLS: d.tls, Rounds: 2})
	if err != nil {
		d.Fatal(err)
	}
	d.Cleanup(c.Close)
	return c
}

// poll waits for a condition and fails the test if it does not hold in time.
func (d *deployment) poll(what string, timeout time.Duration, done func() bool) {
	d.Helper()
	for end := time.Now().Add(timeout); !done(); {
		if time.Now().After(end) {
			d.Fatalf("not within %s: %s", timeout, what)
		}
		time.Sleep(pollInterval)
	}
}

func (d *deployment) waitReady() {
	d.Helper()
	for _, address := range d.layout.AllAPIs("") {
		d.waitEntry(address)
	}
	want := 0
	for region := range d.layout.APIs {
		want += len(d.layout.Executors[region]) + len(d.layout.Workers[region])
	}
	d.poll("all upstreams alive", startTime, func() bool { return len(d.rows("show upstreams where state = alive")) == want })
}

func (d *deployment) waitEntry(address string) {
	d.Helper()
	scheme := "http"
	if d.tls != nil {
		scheme = "https"
	}
	d.poll("entry at "+address+" ready", startTime, func() bool {
		resp, err := d.http.Get(scheme + "://" + address + "/readyz")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// rows returns the rows of a query, none if it could not be answered.
func (d *deployment) rows(query string) [][]any {
	ctx, cancel := context.WithTimeout(d.Context(), callTime)
	defer cancel()
	q, err := d.operator.Query(ctx, query)
	if err != nil {
		return nil
	}
	return q.Rows
}

// owner returns the name of the entry that schedules a cell, and its API address.
func (d *deployment) owner(cell string) (name, address string) {
	d.Helper()
	d.poll("one owner of "+cell, startTime, func() bool {
		rows := d.rows("show entries where cell = " + cell + " and owner = true")
		if len(rows) == 1 {
			name = fmt.Sprint(rows[0][0])
		}
		return len(rows) == 1
	})
	return name, d.api(name)
}

// api returns the API address of an entry by its name, which ends with its number in the region.
func (d *deployment) api(name string) string {
	parts := strings.Split(name, "-")
	i, err := strconv.Atoi(parts[2])
	if err != nil {
		d.Fatal(err)
	}
	return d.layout.APIs[parts[1]][i-1]
}

// other returns an entry of the cell that is not its owner.
func (d *deployment) other(cell string) (name, address string) {
	d.Helper()
	owner, _ := d.owner(cell)
	for i := range d.layout.APIs[cell] {
		if name := fmt.Sprintf("entry-%s-%d", cell, i+1); name != owner {
			return name, d.api(name)
		}
	}
	d.Fatal("the cell has one entry only")
	return "", ""
}

func (d *deployment) change(base int64, commands string) {
	d.Helper()
	ctx, cancel := context.WithTimeout(d.Context(), callTime)
	defer cancel()
	if _, err := d.operator.Change(ctx, api.ChangeBody{Base: base, Commands: commands}); err != nil {
		d.Fatalf("change %q: %v", commands, err)
	}
}

// inForce waits until every daemon that runs has the version.
func (d *deployment) inForce(version int64) {
	d.Helper()
	d.poll(fmt.Sprintf("version %d at every process", version), startTime, func() bool {
		status := map[string]int64{}
		for _, r := range d.rows("config status") {
			n, _ := r[4].(float64)
			status[fmt.Sprint(r[0])] = int64(n)
		}
		for name, p := range d.procs {
			if p.spec.Program == "masticcartd" && p.running() && status[name] < version {
				return false
			}
		}
		return true
	})
}

// logged reports whether one line of a process's log has all the texts.
func (d *deployment) logged(name string, texts ...string) bool {
	data, err := os.ReadFile(d.procs[name].log)
	if err != nil {
		return false
	}
	for line := range bytes.Lines(data) {
		if !slices.ContainsFunc(texts, func(text string) bool { return !bytes.Contains(line, []byte(text)) }) {
			return true
		}
	}
	return false
}

// platformFaults changes the faults that the stand-in of the platform simulates.
func (d *deployment) platformFaults(faults string) {
	d.Helper()
	resp, err := d.http.Post("http://"+d.layout.Platform+"/admin/faults", "application/json", strings.NewReader(faults))
	if err != nil {
		d.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		d.Fatalf("faults %s: status %d", faults, resp.StatusCode)
	}
}

// getJSON reads the status of a stand-in.
func (d *deployment) getJSON(address string, out any) {
	d.Helper()
	resp, err := d.http.Get("http://" + address + "/status")
	if err != nil {
		d.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		d.Fatal(err)
	}
}
