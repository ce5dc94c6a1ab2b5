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
	service            = "planner"
	portsPerDeployment = 80
	startTimeout       = 40 * time.Second
	pollInterval       = 25 * time.Millisecond
	callTimeout        = 20 * time.Second // longer than the stalls of a busy machine
)

// The teams of every deployment; tokenOf returns a team's token.
const (
	teamA = "coating"
	teamB = "retouch"
)

func tokenOf(team string) string { return "token-" + team }

// process is one process of a deployment. Only the test's goroutine starts and stops it.
type process struct {
	spec    demo.Process
	logPath string
	cmd     *exec.Cmd
	exited  chan struct{} // closed after Wait has returned
}

func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// deployment is the set of processes of one test.
type deployment struct {
	*testing.T
	layout           *demo.Layout
	procs            map[string]*process
	operator         *client.Client
	clientA, clientB *client.Client // of teamA and teamB, through all entries
	tls              *tls.Config    // nil without TLS
	http             *http.Client
	replacedHistory  history // recorded by upstreams that have been replaced

	mu        sync.Mutex
	workByKey map[string]sentWork // by team:id of a job or team/id of a short request
}

// deploymentSizes returns the sizes of a deployment with one region and two entries.
func deploymentSizes(executors, workers int) demo.Sizes {
	return demo.Sizes{Regions: []string{"riga"}, Entries: 2, Executors: executors, Workers: workers,
		RackSize: 8, Service: service}
}

// deploy starts a deployment, waits until all upstreams are alive and creates the teams.
func deploy(t *testing.T, s demo.Sizes, options ...func(*deployment)) *deployment {
	t.Helper()
	shared.slots <- struct{}{}
	t.Cleanup(func() { <-shared.slots })
	dir, err := os.MkdirTemp("", "processtest-")
	if err != nil {
		t.Fatal(err)
	}
	d := &deployment{T: t, procs: map[string]*process{}, workByKey: map[string]sentWork{},
		http: &http.Client{Timeout: callTimeout}}
	if d.layout, err = demo.PrepareDeployment(dir, shared.reservePorts(portsPerDeployment), s); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { d.shutDown(dir) })
	for _, o := range options {
		o(d)
	}
	for _, p := range d.layout.Processes {
		d.procs[p.Name] = &process{spec: p, logPath: filepath.Join(dir, p.Name+".log")}
		d.start(p.Name)
	}
	d.operator, d.clientA, d.clientB = d.client(demo.OperatorToken), d.client(tokenOf(teamA)), d.client(tokenOf(teamB))
	d.waitReady()
	d.changeConfig(0, fmt.Sprintf("create team %s token-hash %s; create team %s token-hash %s",
		teamA, demo.TokenHash(tokenOf(teamA)), teamB, demo.TokenHash(tokenOf(teamB))))
	d.waitVersion(1)
	return d
}

// shutDown kills the processes that the test started and removes their directory; it keeps the logs of a failed test.
func (d *deployment) shutDown(dir string) {
	for _, p := range d.procs {
		if p.cmd != nil && p.running() {
			d.signal(p.spec.Name, syscall.SIGKILL)
			<-p.exited
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

// start starts a process, or restarts one that has exited.
func (d *deployment) start(name string) {
	d.Helper()
	p := d.procs[name]
	out, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		d.Fatal(err)
	}
	defer out.Close()
	p.cmd = exec.Command(filepath.Join(shared.binDir, p.spec.Program), p.spec.Args...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	// Pdeathsig kills the process if the test binary dies before it can do so. A process group of its own spares a
	// stopped process the SIGHUP that the kernel sends to an orphaned process group with stopped members when its
	// shell exits.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := p.cmd.Start(); err != nil {
		d.Fatalf("start %s: %v", name, err)
	}
	p.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait() // the exit code is read from ProcessState
		close(exited)
	}(p.cmd, p.exited)
}

func (d *deployment) signal(name string, s syscall.Signal) {
	d.Helper()
	if err := d.procs[name].cmd.Process.Signal(s); err != nil {
		d.Errorf("%s to %s: %v", s, name, err)
	}
}

// suspend sends SIGSTOP and waits until all threads are stopped: on a busy machine the process may still answer for
// some milliseconds after the signal.
func (d *deployment) suspend(name string) {
	d.Helper()
	d.signal(name, syscall.SIGSTOP)
	threads := fmt.Sprintf("/proc/%d/task/*/stat", d.procs[name].cmd.Process.Pid)
	d.poll(name+" is suspended", startTimeout, func() bool {
		files, err := filepath.Glob(threads)
		if err != nil || len(files) == 0 {
			d.Fatalf("%s: %d threads, %v", threads, len(files), err)
		}
		for _, file := range files {
			data, err := os.ReadFile(file)
			if err != nil {
				return false // the thread has just exited
			}
			_, state, _ := strings.Cut(string(data), ") ")
			if !strings.HasPrefix(state, "T") {
				return false
			}
		}
		return true
	})
}

// kill sends SIGKILL and waits until the process has exited.
func (d *deployment) kill(name string) {
	d.Helper()
	d.signal(name, syscall.SIGKILL)
	<-d.procs[name].exited
}

// waitExit waits until a process has exited after SIGTERM and checks that its exit code is 0.
func (d *deployment) waitExit(name string) {
	d.Helper()
	p := d.procs[name]
	d.poll(name+" exited after SIGTERM", drainTimeout, func() bool { return !p.running() })
	if code := p.cmd.ProcessState.ExitCode(); code != 0 {
		d.Errorf("%s exited with code %d after SIGTERM", name, code)
	}
}

// client returns a client that uses all entries and tries the given addresses first.
func (d *deployment) client(token string, first ...string) *client.Client {
	d.Helper()
	return d.clientFor(token, append(first, d.layout.AllAPIs("")...)...)
}

// clientFor returns a client that uses only the entries at the given addresses.
func (d *deployment) clientFor(token string, addresses ...string) *client.Client {
	d.Helper()
	c, err := client.New(client.Options{Entries: addresses, Token: token, TLS: d.tls, Rounds: 2})
	if err != nil {
		d.Fatal(err)
	}
	d.Cleanup(c.Close)
	return c
}

// poll waits until done returns true and fails the test if that takes longer than the timeout.
func (d *deployment) poll(what string, timeout time.Duration, done func() bool) {
	d.Helper()
	for end := time.Now().Add(timeout); !done(); {
		if time.Now().After(end) {
			d.Fatalf("not within %s: %s", timeout, what)
		}
		time.Sleep(pollInterval)
	}
}

// waitReady waits until all entries are ready and all upstreams are alive.
func (d *deployment) waitReady() {
	d.Helper()
	for _, address := range d.layout.AllAPIs("") {
		d.waitEntry(address)
	}
	want := 0
	for region := range d.layout.APIs {
		want += len(d.layout.Executors[region]) + len(d.layout.Workers[region])
	}
	d.poll("all upstreams alive", startTimeout, func() bool {
		return len(d.queryRows("show upstreams where state = alive")) == want
	})
}

// waitEntry waits until the entry at the API address is ready.
func (d *deployment) waitEntry(address string) {
	d.Helper()
	scheme := "http"
	if d.tls != nil {
		scheme = "https"
	}
	d.poll("entry at "+address+" ready", startTimeout, func() bool {
		resp, err := d.http.Get(scheme + "://" + address + "/readyz")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// queryRows returns the rows of a query, or nil if the query fails.
func (d *deployment) queryRows(query string) [][]any {
	ctx, cancel := context.WithTimeout(d.Context(), callTimeout)
	defer cancel()
	q, err := d.operator.Query(ctx, query)
	if err != nil {
		return nil
	}
	return q.Rows
}

// owner returns the name and the API address of the entry that owns a cell, that is, schedules its jobs.
func (d *deployment) owner(cell string) (name, address string) {
	d.Helper()
	d.poll("one owner of "+cell, startTimeout, func() bool {
		rows := d.queryRows("show entries where cell = " + cell + " and owner = true")
		if len(rows) == 1 {
			name = fmt.Sprint(rows[0][0])
		}
		return len(rows) == 1
	})
	return name, d.apiAddress(name)
}

// apiAddress returns the API address of an entry by its name, which has the form entry-REGION-NUMBER.
func (d *deployment) apiAddress(name string) string {
	parts := strings.Split(name, "-")
	i, err := strconv.Atoi(parts[2])
	if err != nil {
		d.Fatal(err)
	}
	return d.layout.APIs[parts[1]][i-1]
}

// nonOwner returns the name and the API address of an entry of the cell that is not its owner.
func (d *deployment) nonOwner(cell string) (name, address string) {
	d.Helper()
	owner, _ := d.owner(cell)
	for i := range d.layout.APIs[cell] {
		if name := fmt.Sprintf("entry-%s-%d", cell, i+1); name != owner {
			return name, d.apiAddress(name)
		}
	}
	d.Fatal("the cell has only one entry")
	return "", ""
}

// changeConfig applies commands to the configuration version base.
func (d *deployment) changeConfig(base int64, commands string) {
	d.Helper()
	ctx, cancel := context.WithTimeout(d.Context(), callTimeout)
	defer cancel()
	if _, err := d.operator.Change(ctx, api.ChangeBody{Base: base, Commands: commands}); err != nil {
		d.Fatalf("change %q: %v", commands, err)
	}
}

// waitVersion waits until every running daemon reports the configuration version or a later one.
func (d *deployment) waitVersion(version int64) {
	d.Helper()
	d.poll(fmt.Sprintf("version %d at every process", version), startTimeout, func() bool {
		status := map[string]int64{}
		for _, r := range d.queryRows("config status") {
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

// logContains reports whether a single line of a process's log contains all the texts.
func (d *deployment) logContains(name string, texts ...string) bool {
	data, err := os.ReadFile(d.procs[name].logPath)
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

// setPlatformFaults sets the faults that the platform's stand-in simulates, as a JSON object.
func (d *deployment) setPlatformFaults(faults string) {
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

// readStatus decodes the status of the stand-in at address into out.
func (d *deployment) readStatus(address string, out any) {
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
