package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"masticcart.example/masticcart/internal/kvstore/memstore"
	"masticcart.example/masticcart/internal/wait"
	"masticcart.example/masticcart/platform"
	"masticcart.example/masticcart/platform/standin"
)

// Options of a run.
type Options struct {
	Seed    uint64
	For     time.Duration // of faults; the recovery follows
	Entries int
	Workers int
	Daemon  string // path of masticcartd
	Dir     string // for settings and logs
}

const (
	// recovery is the time in which everything accepted has to be over after the last fault.
	recovery = 60 * time.Second
	// maxHold is the bound of the settings file.
	maxHold = 6 * time.Second
	// announceEvery is the pace of the workers' announcements.
	announceEvery = 300 * time.Millisecond
	// restartPause is the time after which the platform starts a process that has ended.
	restartPause = 300 * time.Millisecond
	// portsEach is the number of ports of a process.
	portsEach = 6
	// portSlots and portSlot spread runs at the same time over the ports from 20000 on.
	portSlots = 40
	portSlot  = 200
)

// process is a program under test, restarted whenever it ends.
type process struct {
	settings standin.Process
	file     string
	log      *os.File
	store    *proxy
	app      *proxy

	mu  sync.Mutex
	cmd *exec.Cmd
}

// signal sends a signal to the process if it runs. Only processes that this run started are known here.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s) // it may have ended already
	}
}

// run is one soak.
type run struct {
	options Options
	rng     *rand.Rand
	mem     *memstore.Store
	checker *checker
	workers []*standin.Worker
	procs   []*process
	entries []*process
	ctx     context.Context
	group   sync.WaitGroup
	callers sync.WaitGroup
	jobs    []*soakJob
}

// Run plays a seed and returns the broken rules. Timing is real, so a seed repeats the faults, not each interleaving.
func Run(ctx context.Context, o Options) ([]string, error) {
	ctx, cancel := context.WithCancel(ctx)
	r := &run{options: o, rng: rand.New(rand.NewPCG(o.Seed, 2)), mem: memstore.New(time.Now), checker: newChecker(), ctx: ctx}
	defer r.group.Wait()
	defer cancel()
	if err := r.start(); err != nil {
		return nil, err
	}
	r.load()
	r.faults()
	r.heal()
	r.callers.Wait()
	r.settle()
	return r.checker.Broken(), ctx.Err()
}

// start brings the store, the workers and the processes up.
func (r *run) start() error {
	if _, err := r.mem.Put(r.ctx, platform.KeyConfiguration, []byte(standin.Configuration), 0, 0); err != nil {
		return err
	}
	store, err := r.serve(standin.Store(r.mem))
	if err != nil {
		return err
	}
	port, err := freePorts(r.options.Seed, (r.options.Entries+r.options.Workers)*portsEach)
	if err != nil {
		return err
	}
	for n := range r.options.Workers {
		w := &standin.Worker{ID: fmt.Sprint("i-", n), Service: "s", Rack: fmt.Sprint("r", n/3), GPUs: 4, MaxHold: maxHold,
			Observer: r.checker}
		w.Boot()
		r.workers = append(r.workers, w)
		address, err := r.serve(w.Handler())
		if err != nil {
			return err
		}
		p, err := r.process(fmt.Sprint("side-", n), "side", port+n*portsEach, store, address)
		if err != nil {
			return err
		}
		r.group.Go(func() { w.Announce(r.ctx, p.settings.Control(), announceEvery) })
	}
	for n := range r.options.Entries {
		p, err := r.process(fmt.Sprint("edge-", n), "edge", port+(r.options.Workers+n)*portsEach, store, "")
		if err != nil {
			return err
		}
		r.entries = append(r.entries, p)
	}
	for _, p := range r.procs {
		r.group.Go(func() { r.keep(p) })
	}
	return nil
}

// serve listens on loopback until the run ends.
func (r *run) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }() // ends with Close
	context.AfterFunc(r.ctx, func() { _ = server.Close() })
	return l.Addr().String(), nil
}

func (r *run) process(node, class string, port int, store, app string) (*process, error) {
	p := &process{settings: standin.Process{Node: node, Class: class, Port: port}}
	var err error
	if p.store, err = newProxy(store); err != nil {
		return nil, err
	}
	p.settings.Store = p.store.address()
	context.AfterFunc(r.ctx, p.store.close)
	if app != "" {
		if p.app, err = newProxy(app); err != nil {
			return nil, err
		}
		p.settings.App = p.app.address()
		context.AfterFunc(r.ctx, p.app.close)
	}
	p.file = filepath.Join(r.options.Dir, node+".toml")
	if err := os.WriteFile(p.file, []byte(p.settings.TOML()), 0o600); err != nil {
		return nil, err
	}
	if p.log, err = os.Create(filepath.Join(r.options.Dir, node+".log")); err != nil {
		return nil, err
	}
	r.procs = append(r.procs, p)
	return p, nil
}

// keep runs a process again and again until the run ends. It leaves none behind.
func (r *run) keep(p *process) {
	defer p.log.Close()
	for r.ctx.Err() == nil {
		cmd := exec.Command(r.options.Daemon, "platform")
		cmd.Env = []string{standin.Variable + "=" + p.file}
		cmd.Stdout, cmd.Stderr = p.log, p.log
		cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
		p.mu.Lock()
		if err := cmd.Start(); err != nil {
			p.mu.Unlock()
			fmt.Fprintln(os.Stderr, "soak: start:", err)
			return
		}
		p.cmd = cmd
		p.mu.Unlock()
		stop := context.AfterFunc(r.ctx, func() { p.signal(syscall.SIGKILL) })
		_ = cmd.Wait() // it may be killed
		stop()
		p.mu.Lock()
		p.cmd = nil
		p.mu.Unlock()
		r.sleep(restartPause)
	}
}

func (r *run) sleep(d time.Duration) { wait.For(r.ctx, d) }

// freePorts returns the first of n ports in a row that are free now. Runs of different seeds look in different places.
func freePorts(seed uint64, n int) (int, error) {
	for first := 20000 + int(seed%portSlots)*portSlot; first+n < 32000; first += n {
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
