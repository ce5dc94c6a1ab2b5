// Package soak runs entries and agents, and stand-ins for the platform's workers, store and operators, as separate
// processes. It injects faults from outside these processes and checks the platform's rules by what callers and workers
// observe.
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

	"masticcart.example/masticcart/internal/faultproxy"
	"masticcart.example/masticcart/internal/kvstore/memstore"
	"masticcart.example/masticcart/internal/rulecheck"
	"masticcart.example/masticcart/internal/wait"
	"masticcart.example/masticcart/platform/standin"
)

// Options are the parameters of a run.
type Options struct {
	Seed           uint64
	FaultDuration  time.Duration // time during which faults are injected; a time for recovery follows
	Entries        int
	Workers        int
	SubmissionRate float64 // submissions per second
	BallastMB      int     // memory that each worker process occupies, in MiB
	DaemonPath     string  // path of masticcartd
	StandinPath    string  // path of the program that runs the stand-ins as subcommands
	OutputDir      string  // for settings files and logs
}

const (
	// recoveryTimeout is the time after the last fault within which all accepted jobs must reach a final state.
	recoveryTimeout = 60 * time.Second
	// portsPerProcess is the number of consecutive ports reserved for a process.
	portsPerProcess = 6
	// portSlots is the number of port ranges, of portsPerSlot ports each, from firstPort on. The seed selects the first
	// range to try, so that concurrent runs use different ports.
	portSlots    = 40
	portsPerSlot = 200
	firstPort    = 20000
	lastPort     = 32000
	// workersPerRack is the number of workers in a rack.
	workersPerRack = 3
	// maxAttempts is the limit of attempts that standin.FormatConfiguration writes.
	maxAttempts = 3
	// revocationTimeout is bounds.revokeMs of the settings file.
	revocationTimeout = 5 * time.Second
	// maxStartAfterCancel is how long after the acknowledgement of a cancellation a task may still start. It covers a
	// start request in flight and its lease.
	maxStartAfterCancel = 9 * time.Second
	// maxRunAfterCancel is how long after the acknowledgement of a cancellation a task may still run in a system that has
	// been calm for calmTime: the time to order the stop, 3 s, and stopTimeoutMs of the settings file.
	maxRunAfterCancel = 3200 * time.Millisecond
	calmTime          = 4 * time.Second
	// maxStartAfterShrink is the same for the capacity of a worker that has shrunk, which it announces with its next
	// heartbeat.
	maxStartAfterShrink = maxStartAfterCancel + heartbeatInterval
)

// run is the state of one soak run.
type run struct {
	options      Options
	rng          *rand.Rand
	recorder     *recorder
	store        *process
	storeAddress string
	workers      []*process
	daemons      []*process // entries and agents, which are the programs under test
	entries      []*process
	ctx          context.Context
	background   sync.WaitGroup // goroutines that the end of ctx stops
	callers      sync.WaitGroup // goroutines of startLoad
	jobs         []*soakJob
	clearedAt    time.Time // when the last fault was cleared
}

// Run runs load and faults drawn from the seed and returns the violations of the platform's rules. It runs in real
// time, so the same seed gives the same faults but not the same interleaving.
func Run(ctx context.Context, o Options) ([]string, error) {
	ctx, cancel := context.WithCancel(ctx)
	r := &run{options: o, rng: rand.New(rand.NewPCG(o.Seed, 2)), ctx: ctx, recorder: newRecorder(rulecheck.Limits{
		MaxAttempts: maxAttempts, MaxStartAfterCancel: maxStartAfterCancel, MaxKeyUseAfterRemoval: revocationTimeout,
		MaxStartAfterShrink: maxStartAfterShrink, MaxRunAfterCancel: maxRunAfterCancel,
		MaxStartAfterEvacuation: evacuationBound})}
	defer r.background.Wait()
	defer cancel()
	if err := r.start(); err != nil {
		return nil, err
	}
	r.background.Go(r.deliverEvents)
	r.startLoad()
	awaitCells := r.evacuateCells(time.Now().Add(r.options.FaultDuration))
	r.injectFaults()
	r.clearFaults()
	awaitCells()
	r.clearedAt = time.Now()
	r.callers.Wait()
	r.awaitFinalStates()
	r.checkCancelledRuns()
	r.checkDisturbedChannels()
	return r.recorder.violations(), ctx.Err()
}

// deliverEvents periodically delivers recorded events to the checker until the run ends.
func (r *run) deliverEvents() {
	for r.ctx.Err() == nil {
		r.recorder.deliver(false)
		r.sleep(reorderWindow / 4)
	}
}

// start starts the store, the operator, the workers and the programs under test.
func (r *run) start() error {
	port, err := freePorts(r.options.Seed, (r.options.Entries+r.options.Workers+1)*portsPerProcess)
	if err != nil {
		return err
	}
	r.storeAddress = fmt.Sprintf("127.0.0.1:%d", port)
	if r.store, err = r.newStandin("store", "store", "--listen", r.storeAddress); err != nil {
		return err
	}
	operator, err := r.newStandin("operator", "operator", "--store", r.storeAddress,
		"--seed", fmt.Sprint(r.options.Seed))
	if err != nil {
		return err
	}
	operator.readOutput = func(events io.Reader) { r.recorder.readEvents("", events) }
	for n := range r.options.Workers {
		port += portsPerProcess
		if err := r.addWorker(n, port); err != nil {
			return err
		}
	}
	for n := range r.options.Entries {
		port += portsPerProcess
		p, err := r.addDaemon(fmt.Sprint("edge-", n), "edge", cellOf(0), port)
		if err != nil {
			return err
		}
		r.entries = append(r.entries, p)
	}
	for _, p := range append([]*process{r.store, operator}, append(r.workers, r.daemons...)...) {
		r.background.Go(func() { p.supervise(r.ctx) })
	}
	return nil
}

// addWorker adds a worker and its agent.
func (r *run) addWorker(n, port int) error {
	name := fmt.Sprint("side-", n)
	agent, err := r.addDaemon(name, "side", cellOf(n), port)
	if err != nil {
		return err
	}
	id := fmt.Sprint("i-", n)
	w, err := r.newStandin("worker-"+fmt.Sprint(n), "worker", "--id", id, "--rack", fmt.Sprint("r", n/workersPerRack), "--zone", cellOf(n),
		"--listen", agent.settings.WorkerAddress(), "--control", agent.settings.ControlAddress(),
		"--ballast", fmt.Sprint(r.options.BallastMB), fmt.Sprint("--ignore-capacity=", n%2 == 0))
	if err != nil {
		return err
	}
	w.readOutput = func(events io.Reader) { r.recorder.readEvents(id, events) }
	w.onExit = r.recorder.terminationReporter(id)
	r.recorder.add(r.recorder.started, func(c *rulecheck.Checker) { c.WorkerPlaced(id, cellOf(n)) })
	w.id, w.agent = id, agent
	r.workers = append(r.workers, w)
	return nil
}

// newStandin returns a process that runs a stand-in. It is not started yet.
func (r *run) newStandin(name string, args ...string) (*process, error) {
	log, err := os.Create(filepath.Join(r.options.OutputDir, name+".log"))
	return &process{name: name, path: r.options.StandinPath, args: args, log: log}, err
}

// addDaemon adds a program under test: an entry if class is "edge", an agent if it is "side". It reaches the store, and
// an agent its worker, through proxies.
func (r *run) addDaemon(node, class, zone string, port int) (*process, error) {
	p := &process{name: node, path: r.options.DaemonPath, args: []string{"platform"},
		settings: standin.ProcessSettings{Node: node, Role: class, Port: port, Zone: zone, EvacuateMS: evacuationBoundMS}}
	var err error
	if p.storeProxy, err = r.startProxy(r.storeAddress); err != nil {
		return nil, err
	}
	p.settings.StoreAddress = p.storeProxy.Address()
	if class == "side" {
		if p.workerProxy, err = r.startProxy(p.settings.WorkerAddress()); err != nil {
			return nil, err
		}
		p.settings.App = p.workerProxy.Address()
	}
	file := filepath.Join(r.options.OutputDir, node+".toml")
	if err := os.WriteFile(file, []byte(p.settings.TOML()), 0o600); err != nil {
		return nil, err
	}
	p.env = []string{standin.SettingsVariable + "=" + file}
	if p.log, err = os.Create(filepath.Join(r.options.OutputDir, node+".log")); err != nil {
		return nil, err
	}
	p.onExit = r.recorder.exitReporter(node)
	r.daemons = append(r.daemons, p)
	return p, nil
}

// startProxy starts a proxy that is closed when the run ends.
func (r *run) startProxy(target string) (*faultproxy.Proxy, error) {
	p, err := faultproxy.New(target)
	if err != nil {
		return nil, err
	}
	context.AfterFunc(r.ctx, p.Close)
	return p, nil
}

// postToWorker asks the stand-in of a worker for a disturbance.
func (r *run) postToWorker(w *process, path string, d time.Duration) {
	url := fmt.Sprintf("http://%s%s?ms=%d", w.agent.settings.WorkerAddress(), path, d.Milliseconds())
	r.postControl(url, nil)
}

// postToStore posts a control request to the store stand-in, which sets its faults or compacts its history.
func (r *run) postToStore(path string, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		r.logf("encoding a control request to the store failed: %v", err)
		return
	}
	r.postControl("http://"+r.storeAddress+path, data)
}

// postControl posts a control request to a stand-in.
func (r *run) postControl(url string, data []byte) {
	ctx, cancel := context.WithTimeout(r.ctx, time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err == nil {
		var res *http.Response
		if res, err = http.DefaultClient.Do(q); err == nil {
			err = res.Body.Close()
		}
	}
	if err != nil && r.ctx.Err() == nil {
		// Expected while the stand-in is suspended or down.
		r.logf("control request failed: %s %s: %v", url, data, err)
	}
}

func (r *run) setStoreFaults(f memstore.Faults) { r.postToStore(pathFaults, f) }

func (r *run) sleep(d time.Duration) { wait.For(r.ctx, d) }

// freePorts returns the first of n consecutive ports that are free now. The seed selects where the search starts.
func freePorts(seed uint64, n int) (int, error) {
	for first := firstPort + int(seed%portSlots)*portsPerSlot; first+n < lastPort; first += n {
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
