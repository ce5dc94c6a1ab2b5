package processtest

import (
	"context"
	"flag"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"testing"
	"time"
)

const (
	// maxDeployments limits the deployments that run at the same time; each has about 11 processes.
	maxDeployments = 6
	// The ports from firstPort to lastPort are below the range that the kernel uses for outgoing connections.
	firstPort    = 10_000
	lastPort     = 32_000
	buildTimeout = 5 * time.Minute
)

// fixture holds what the tests of the package share.
type fixture struct {
	binDir string
	slots  chan struct{} // semaphore: one element for each running deployment

	mu       sync.Mutex
	nextPort int
}

var shared = fixture{slots: make(chan struct{}, maxDeployments)}

func TestMain(m *testing.M) {
	flag.Parse()
	// The tests mostly wait for processes, so maxDeployments limits them, not the number of cores.
	if err := flag.Set("test.parallel", strconv.Itoa(4*maxDeployments)); err != nil {
		panic(err)
	}
	os.Exit(run(m))
}

// run builds the programs, runs the tests and returns the exit code.
func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "processtest-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	ctx, cancel := context.WithTimeout(context.Background(), buildTimeout)
	defer cancel()
	build := exec.CommandContext(ctx, "go", "build", "-o", dir+string(filepath.Separator),
		"./cmd/masticcartd", "./cmd/standin-kv", "./cmd/standin-executor", "./cmd/standin-worker")
	build.Dir = filepath.Join("..", "..")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	shared.binDir = dir
	shared.nextPort = firstPort + os.Getpid()%1000*20
	return m.Run()
}

// reservePorts returns the first of n consecutive ports, none of which is in use.
func (f *fixture) reservePorts(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for {
		if f.nextPort+n > lastPort {
			f.nextPort = firstPort
		}
		base := f.nextPort
		f.nextPort += n
		if portsFree(base, n) {
			return base
		}
	}
}

func portsFree(base, n int) bool {
	for port := base; port < base+n; port++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}
