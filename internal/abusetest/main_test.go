package abusetest

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const buildTimeout = 5 * time.Minute

// binDir holds the programs that TestMain has built.
var binDir string

func TestMain(m *testing.M) { os.Exit(run(m)) }

// run builds the programs, runs the tests and returns the exit code.
func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "abusetest-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	ctx, cancel := context.WithTimeout(context.Background(), buildTimeout)
	defer cancel()
	module, err := exec.CommandContext(ctx, "go", "env", "GOMOD").Output()
	if err != nil {
		fmt.Fprintln(os.Stderr, "go env:", err)
		return 1
	}
	build := exec.CommandContext(ctx, "go", "build", "-o", dir+string(filepath.Separator), "./cmd/masticcartd",
		"./cmd/standin-kv", "./cmd/standin-worker")
	build.Dir = filepath.Dir(strings.TrimSpace(string(module)))
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	binDir = dir
	return m.Run()
}

// The ports of the processes are below the range that the kernel uses for outgoing connections.
const (
	firstPort = 10_000
	lastPort  = 32_000
)

// nextPort is the port at which reservePorts starts to search. The tests of the package run one at a time.
var nextPort = firstPort + os.Getpid()%1000*20

// reservePorts returns the first of n consecutive ports, none of which is in use.
func reservePorts(n int) int {
	for {
		if nextPort+n > lastPort {
			nextPort = firstPort
		}
		base := nextPort
		nextPort += n
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
