package abusetest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// process is a program under test.
type process struct {
	t       *testing.T
	name    string
	cmd     *exec.Cmd
	exited  chan struct{} // closed after Wait has returned
	maxFDs  atomic.Int64  // the most open descriptors that were seen
	logPath string
}

// startProcess starts a program of binDir. The test ends it.
func startProcess(t *testing.T, name string, env []string, program string, args ...string) *process {
	t.Helper()
	return startCommand(t, name, env, filepath.Join(binDir, program), args...)
}

// startCommand is startProcess for a program anywhere.
func startCommand(t *testing.T, name string, env []string, path string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, exited: make(chan struct{}), logPath: filepath.Join(t.TempDir(), name+".log")}
	out, err := os.Create(p.logPath)
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	p.cmd = exec.Command(path, args...)
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := p.cmd.Start(); err != nil {
		t.Fatalf("start %s: %v", name, err)
	}
	go func() {
		_ = p.cmd.Wait() // the exit code is read from ProcessState
		close(p.exited)
	}()
	stop := make(chan struct{})
	go p.sampleDescriptors(stop)
	t.Cleanup(func() {
		close(stop)
		p.kill()
	})
	return p
}

// kill ends the process and waits until it has exited.
func (p *process) kill() {
	_ = p.cmd.Process.Kill() // it may have exited already
	<-p.exited
}

// sampleInterval is the interval at which open descriptors are counted.
const sampleInterval = 20 * time.Millisecond

func (p *process) sampleDescriptors(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(sampleInterval):
		}
		if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)); err == nil {
			p.maxFDs.Store(max(p.maxFDs.Load(), int64(len(entries))))
		}
	}
}

// peakMemory returns the peak of the resident set in bytes.
func (p *process) peakMemory() int64 {
	p.t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			if err != nil {
				p.t.Fatal(err)
			}
			return kb << 10
		}
	}
	p.t.Fatal("no VmHWM")
	return 0
}

// checkLimits fails the test unless the process, an entry, is alive and has stayed within its memory and its descriptors.
func (p *process) checkLimits() {
	p.t.Helper()
	select {
	case <-p.exited:
		tail := []byte{}
		if data, err := os.ReadFile(p.logPath); err == nil {
			tail = data[max(0, len(data)-2000):]
		}
		p.t.Fatalf("%s has ended: %v\n%s", p.name, p.cmd.ProcessState, tail)
	default:
	}
	peak := p.peakMemory()
	p.t.Logf("%s: peak memory %d MB of %d, descriptors %d of %d", p.name, peak>>20, entryMemoryMB, p.maxFDs.Load(),
		entryMaxFDs)
	if peak > entryMemoryMB<<20 {
		p.t.Errorf("%s: peak memory %d MB, the limit is %d", p.name, peak>>20, entryMemoryMB)
	}
	if p.maxFDs.Load() > entryMaxFDs {
		p.t.Errorf("%s: %d descriptors, the limit is %d", p.name, p.maxFDs.Load(), entryMaxFDs)
	}
}

// testTimeout bounds every wait of a test. It only ends a test whose process hangs.
const testTimeout = 2 * time.Minute

// eventually fails the test if ok does not return true within testTimeout.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); {
		if time.Now().After(end) {
			t.Fatalf("%s: not within %v", what, testTimeout)
		}
		time.Sleep(50 * time.Millisecond)
	}
}
