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

	"masticcart.example/masticcart/internal/rulecheck"
	"masticcart.example/masticcart/internal/wait"
	"masticcart.example/masticcart/platform/standin"
)

// restartPause is the time after which the platform starts a process that has ended.
const restartPause = 300 * time.Millisecond

// process is a program that is started again whenever it ends.
type process struct {
	name string
	path string
	args []string
	env  []string
	log  *os.File
	// told takes the events of a stand-in; nil for the programs under test. dies tells of the end of a worker's life.
	told func(io.Reader)
	dies func()

	// Of the programs under test:
	settings standin.ProcessSettings
	store    *proxy // between the process and the store
	app      *proxy // between an agent and its worker; nil for an entry

	agent *process // of a worker

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

// keep runs the process again and again until ctx ends. It leaves none behind, also if this process is killed.
func (p *process) keep(ctx context.Context) {
	defer p.log.Close()
	for ctx.Err() == nil {
		if err := p.once(ctx); err != nil {
			fmt.Fprintln(os.Stderr, "soak: start of", p.name+":", err)
			return
		}
		wait.For(ctx, restartPause)
	}
}

// once runs the process to its end.
func (p *process) once(ctx context.Context) error {
	cmd := exec.Command(p.path, p.args...)
	cmd.Env = p.env
	cmd.Stdout, cmd.Stderr = p.log, p.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	var events io.ReadCloser
	if p.told != nil {
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
	p.cmd = cmd
	p.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { p.signal(syscall.SIGKILL) })
	defer stop()
	if events != nil {
		p.told(events) // until the end of the process, as Wait closes the pipe
	}
	_ = cmd.Wait() // it may be killed
	p.mu.Lock()
	p.cmd = nil
	p.mu.Unlock()
	if p.dies != nil && ctx.Err() == nil {
		p.dies()
	}
	return nil
}

// lifeEnds returns what tells the checker that the life of a worker is over.
func (r *recorder) lifeEnds(name string) func() {
	return func() { r.add(time.Now(), func(c *rulecheck.Checker) { c.WorkerTerminated(name) }) }
}
