package soak

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"masticcart.example/masticcart/internal/faultproxy"
	"masticcart.example/masticcart/internal/rulecheck"
	"masticcart.example/masticcart/internal/wait"
	"masticcart.example/masticcart/platform/standin"
)

// restartDelay is the time after which the platform restarts a process that has ended.
const restartDelay = 300 * time.Millisecond

// process is a program that is restarted whenever it ends.
type process struct {
	name string
	path string
	args []string
	env  []string
	log  *os.File
	// readOutput reads the events of a stand-in until its output ends; nil if the standard output goes to the log.
	// onExit is called when the process has ended, with whether it was told to; nil for the stand-ins of the store and the
	// operator.
	readOutput func(io.Reader)
	onExit     func(ending bool)

	// The next three are set for the programs under test only.
	settings    standin.ProcessSettings
	storeProxy  *faultproxy.Proxy // between the process and the store
	workerProxy *faultproxy.Proxy // between an agent and its worker; nil for an entry

	// The next two are set for workers only.
	id    string // as it announces itself
	agent *process

	mu     sync.Mutex
	cmd    *exec.Cmd
	ending bool // a signal that ends the process was sent
}

// signal sends a signal to the process if it is running. It only reaches processes that this run has started.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.ending = p.ending || s == syscall.SIGKILL || s == syscall.SIGTERM
		_ = p.cmd.Process.Signal(s) // the process may have ended already
	}
}

// supervise runs the process and restarts it until ctx ends. The child does not outlive this program, even if this
// program is killed.
func (p *process) supervise(ctx context.Context) {
	defer p.log.Close()
	for ctx.Err() == nil {
		if err := p.runOnce(ctx); err != nil {
			fmt.Fprintln(os.Stderr, "soak: failed to start", p.name+":", err)
			return
		}
		wait.For(ctx, restartDelay)
	}
}

// runOnce starts the process and waits for its end.
func (p *process) runOnce(ctx context.Context) error {
	cmd := exec.Command(p.path, p.args...)
	cmd.Env = p.env
	cmd.Stdout, cmd.Stderr = p.log, p.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	var events io.ReadCloser
	if p.readOutput != nil {
		cmd.Stdout = nil
		var err error
		if events, err = cmd.StdoutPipe(); err != nil {
			return err
		}
	}
	p.mu.Lock()
	if err := cmd.Start(); err != nil {
		p.mu.Unlock()
		return err
	}
	p.cmd, p.ending = cmd, false
	p.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { p.signal(syscall.SIGKILL) })
	defer stop()
	if events != nil {
		p.readOutput(events) // before Wait, which closes the pipe
	}
	_ = cmd.Wait() // a process that was killed returns an error
	p.mu.Lock()
	p.cmd = nil
	ending := p.ending
	p.mu.Unlock()
	if p.onExit != nil && ctx.Err() == nil {
		p.onExit(ending)
	}
	return nil
}

// terminationReporter returns a function that reports the end of a worker's process to the checker.
func (r *recorder) terminationReporter(name string) func(bool) {
	return func(bool) { r.add(time.Now(), func(c *rulecheck.Checker) { c.WorkerTerminated(name) }) }
}

// exitReporter returns a function that reports a program under test that has ended by itself.
func (r *recorder) exitReporter(name string) func(bool) {
	return func(ending bool) {
		if now := time.Now(); !ending {
			r.add(now, func(c *rulecheck.Checker) { c.AddViolation(r.sinceStart(now), "EXIT: %s has ended by itself", name) })
		}
	}
}
