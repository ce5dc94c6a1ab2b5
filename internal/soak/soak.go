// Package soak runs entries and agents, and stand-ins of the platform's workers, store and operators, as separate
// processes, injects faults from outside them, and checks the platform's rules from what callers and workers see.
package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"masticcart.example/masticcart/internal/kvstore/memstore"
	"masticcart.example/masticcart/internal/rulecheck"
	"masticcart.example/masticcart/internal/wait"
	"masticcart.example/masticcart/platform/standin"
)

// Options of a run.
type Options struct {
	Seed           uint64
	FaultDuration  time.Duration // of faults; the recovery follows
	Entries        int
	Workers        int
	SubmissionRate float64 // of submissions, a second
	BallastMB      int     // memory that each worker occupies, in MB
	DaemonPath     string  // path of masticcartd
	StandinPath    string  // path of the program that runs the stand-ins
	OutputDir      string  // for settings and logs
}

const (
	// recovery is the time in which everything accepted has to be over after the last fault.
	recovery = 60 * time.Second
	// portsEach is the number of ports of a process.
	portsEach = 6
	// portSlots and portSlot spread runs at the same time over the ports from firstPort on.
	portSlots = 40
	portSlot  = 200
	firstPort = 20000
	lastPort  = 32000
	// workersEach is the number of workers in a rack.
	workersEach = 3
	// attemptLimit is that of standin.FormatConfiguration.
	attemptLimit = 3
	// revocation is revokeMs of the settings file.
	revocation = 5 * time.Second
	// lateStart is how long after the acknowledgement of a cancellation a task may still start: an order under way, and
	// its lease.
	lateStart = 9 * time.Second
)

// run is one soak.
type run struct {
	options Options
	rng     *rand.Rand
	record  *recorder
	store   *process
	address string // of the store
	workers []*process
	procs   []*process // the programs under test
	entries []*process
	ctx     context.Context
	group   sync.WaitGroup
	callers sync.WaitGroup
	jobs    []*soakJob
}

// Run plays a seed and returns the broken rules. Timing is real, so a seed repeats the faults, not each interleaving.
func Run(ctx context.Context, o Options) ([]string, error) {
	ctx, cancel := context.WithCancel(ctx)
	r := &run{options: o, rng: rand.New(rand.NewPCG(o.Seed, 2)), ctx: ctx, record: newRecorder(rulecheck.Limits{
		MaxAttempts: attemptLimit, MaxStartAfterCancel: lateStart, MaxKeyUseAfterRemoval: revocation})}
	defer r.group.Wait()
	defer cancel()
	if err := r.start(); err != nil {
		return nil, err
	}
	r.group.Go(r.judge)
	r.load()
	r.faults()
	r.heal()
	r.callers.Wait()
	r.settle()
	return r.record.broken(), ctx.Err()
}

// judge hands events to the checker while the run lasts.
func (r *run) judge() {
	for r.ctx.Err() == nil {
		r.record.judge(false)
		r.sleep(eventLag / 4)
	}
}

// start brings the store, the operator, the workers and the programs under test up.
func (r *run) start() error {
	port, err := freePorts(r.options.Seed, (r.options.Entries+r.options.Workers+1)*portsEach)
	if err != nil {
		return err
	}
	r.address = fmt.Sprintf("127.0.0.1:%d", port)
	if r.store, err = r.standin("store", "store", "--listen", r.address); err != nil {
		return err
	}
	operator, err := r.standin("operator", "operator", "--store", r.address, "--seed", fmt.Sprint(r.options.Seed))
	if err != nil {
		return err
	}
	operator.told = func(events io.Reader) { r.record.read("", events) }
	for n := range r.options.Workers {
		port += portsEach
		if err := r.worker(n, port); err != nil {
			return err
		}
	}
	for n := range r.options.Entries {
		port += portsEach
		p, err := r.daemon(fmt.Sprint("edge-", n), "edge", port)
		if err != nil {
			return err
		}
		r.entries = append(r.entries, p)
	}
	for _, p := range append([]*process{r.store, operator}, append(r.workers, r.procs...)...) {
		r.group.Go(func() { p.keep(r.ctx) })
	}
	return nil
}

// worker adds a worker and its agent.
func (r *run) worker(n, port int) error {
	name := fmt.Sprint("side-", n)
	agent, err := r.daemon(name, "side", port)
	if err != nil {
		return err
	}
	id := fmt.Sprint("i-", n)
	w, err := r.standin("worker-"+fmt.Sprint(n), "worker", "--id", id, "--rack", fmt.Sprint("r", n/workersEach),
		"--listen", agent.settings.WorkerAddress(), "--control", agent.settings.ControlAddress(), "--ballast", fmt.Sprint(r.options.BallastMB))
	if err != nil {
		return err
	}
	w.told = func(events io.Reader) { r.record.read(id, events) }
	w.dies = r.record.lifeEnds(id)
	w.agent = agent
	r.workers = append(r.workers, w)
	return nil
}

// standin returns a process of the soak's own program.
func (r *run) standin(name string, args ...string) (*process, error) {
	log, err := os.Create(filepath.Join(r.options.OutputDir, name+".log"))
	return &process{name: name, path: r.options.StandinPath, args: args, log: log}, err
}

// daemon returns a program under test, with proxies towards the store and its worker.
func (r *run) daemon(node, class string, port int) (*process, error) {
	p := &process{name: node, path: r.options.DaemonPath, args: []string{"platform"},
		settings: standin.ProcessSettings{Node: node, Role: class, Port: port}}
	var err error
	if p.store, err = r.proxy(r.address); err != nil {
		return nil, err
	}
	p.settings.StoreAddress = p.store.address()
	if class == "side" {
		if p.app, err = r.proxy(p.settings.WorkerAddress()); err != nil {
			return nil, err
		}
		p.settings.App = p.app.address()
	}
	file := filepath.Join(r.options.OutputDir, node+".toml")
	if err := os.WriteFile(file, []byte(p.settings.TOML()), 0o600); err != nil {
		return nil, err
	}
	p.env = []string{standin.SettingsVariable + "=" + file}
	if p.log, err = os.Create(filepath.Join(r.options.OutputDir, node+".log")); err != nil {
		return nil, err
	}
	r.procs = append(r.procs, p)
	return p, nil
}

func (r *run) proxy(target string) (*proxy, error) {
	p, err := newProxy(target)
	if err != nil {
		return nil, err
	}
	context.AfterFunc(r.ctx, p.close)
	return p, nil
}

// tellStore sets faults of the store, or lets it forget its history.
func (r *run) tellStore(path string, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		r.note("store not told: %v", err)
		return
	}
	ctx, cancel := context.WithTimeout(r.ctx, time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.address+path, bytes.NewReader(data))
	if err == nil {
		var res *http.Response
		if res, err = http.DefaultClient.Do(q); err == nil {
			err = res.Body.Close()
		}
	}
	if err != nil && r.ctx.Err() == nil {
		r.note("store not told %s %s: %v", path, data, err) // it may be suspended
	}
}

func (r *run) storeFaults(f memstore.Faults) { r.tellStore(pathFaults, f) }

func (r *run) sleep(d time.Duration) { wait.For(r.ctx, d) }

// freePorts returns the first of n ports in a row that are free now. Runs of different seeds look in different places.
func freePorts(seed uint64, n int) (int, error) {
	for first := firstPort + int(seed%portSlots)*portSlot; first+n < lastPort; first += n {
		free := true
		for port := first; free && port < first+n; port++ {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
			free = err == nil
			if free {
				_ = l.Close()
			}
		}
		if free {
			return first, nil
		}
	}
	return 0, errors.New("soak: no free ports")
}
