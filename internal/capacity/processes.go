package capacity

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"masticcart.example/masticcart/internal/demo"
	"masticcart.example/masticcart/internal/membership"
	"masticcart.example/masticcart/internal/protocol"
)

const (
	operatorToken = "capacity-operator"
	pidTimeout    = 20 * time.Second
	pollInterval  = 20 * time.Millisecond
)

var errNotStarted = errors.New("capacity: the script did not carry out a request")

// entryProcess is one entry with the places where it can be reached and observed.
type entryProcess struct {
	name, cell        string
	rpc, api, metrics string
	pid               int
	platform          *relay
}

// processes asks scripts/capacity to start and to end processes: a line with a verb on out, answered by a file with
// the process id that appears or goes.
type processes struct {
	dir      string
	out      io.Writer
	port     int
	platform string // address of the key-value stand-in
	kvPID    int
	entries  []*entryProcess
	alive    map[string]bool
}

func newProcesses(dir string, out io.Writer, basePort int) *processes {
	return &processes{dir: dir, out: out, port: basePort, alive: make(map[string]bool)}
}

func (p *processes) address() string {
	p.port++
	return fmt.Sprintf("127.0.0.1:%d", p.port)
}

func (p *processes) pidFile(name string) string { return filepath.Join(p.dir, name+".pid") }

// start asks for a process and returns its id.
func (p *processes) start(name, program string, args ...string) (int, error) {
	fmt.Fprintln(p.out, "start", name, program, strings.Join(args, " "))
	deadline := time.Now().Add(pidTimeout)
	for time.Now().Before(deadline) {
		if data, err := os.ReadFile(p.pidFile(name)); err == nil {
			p.alive[name] = true
			return strconv.Atoi(strings.TrimSpace(string(data)))
		}
		time.Sleep(pollInterval)
	}
	return 0, fmt.Errorf("%w: start %s", errNotStarted, name)
}

// kill asks to end processes at once, without a graceful stop, and waits until they are gone.
func (p *processes) kill(names ...string) error {
	fmt.Fprintln(p.out, "kill", strings.Join(names, " "))
	deadline := time.Now().Add(pidTimeout)
	for _, name := range names {
		for {
			if _, err := os.Stat(p.pidFile(name)); errors.Is(err, os.ErrNotExist) {
				delete(p.alive, name)
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%w: kill %s", errNotStarted, name)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// killAll ends every process of the part and forgets its entries.
func (p *processes) killAll() error {
	names := slices.Sorted(maps.Keys(p.alive))
	for _, e := range p.entries {
		_ = e.platform.listener.Close()
	}
	p.entries = nil
	if len(names) == 0 {
		return nil
	}
	return p.kill(names...)
}

func (p *processes) startPlatform() (err error) {
	p.platform = p.address()
	p.kvPID, err = p.start("kv", "standin-kv", "-listen", p.platform)
	return err
}

// planEntries allots the addresses of entries; the first ones of each cell come first.
func (p *processes) planEntries(cells []string, perCell int) error {
	for i := range perCell {
		for _, cell := range cells {
			e := &entryProcess{name: fmt.Sprintf("entry-%s-%d", cell, i+1), cell: cell, rpc: p.address(), api: p.address(), metrics: p.address()}
			var err error
			if e.platform, err = newRelay(p.platform); err != nil {
				return err
			}
			p.entries = append(p.entries, e)
		}
	}
	return nil
}

// startEntry writes the settings of an entry that knows the given peers and starts it.
func (p *processes) startEntry(e *entryProcess, peers []*entryProcess) (err error) {
	others := []string{}
	for _, o := range peers {
		if o != e {
			others = append(others, o.rpc)
		}
	}
	content := map[string]any{
		"role": "entry", "name": e.name, "region": "north", "cell": e.cell, "metrics": map[string]any{"listen": e.metrics},
		"entry": map[string]any{
			"api_listen": e.api, "rpc_listen": e.rpc, "peers": others,
			"platform":                      map[string]any{"addresses": []string{e.platform.address()}, "timeout": "2s"},
			"bootstrap_operator_token_hash": demo.TokenHash(operatorToken),
		},
	}
	e.pid, err = p.daemon(e.name, content)
	return err
}

func (p *processes) daemon(name string, content map[string]any) (int, error) {
	data, err := json.MarshalIndent(content, "", "  ")
	if err != nil {
		return 0, err
	}
	path := filepath.Join(p.dir, name+".jsonc")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return 0, err
	}
	return p.start(name, "masticcartd", "run", path)
}

// startEntries starts entries together and waits until they serve metrics.
func (p *processes) startEntries(ctx context.Context, list []*entryProcess) error {
	for _, e := range list {
		if err := p.startEntry(e, p.entries[:min(len(p.entries), maxSeedPeers)]); err != nil {
			return err
		}
	}
	for _, e := range list {
		if err := waitFor(ctx, pidTimeout, "metrics of "+e.name, func() bool { _, err := scrape(ctx, e.metrics); return err == nil }); err != nil {
			return err
		}
	}
	return nil
}

// maxSeedPeers bounds the peers in the settings; entries learn the others by gossip and from the platform.
const maxSeedPeers = 4

// inOrder returns the entries of the measured cell in rendezvous order: the owner, the successors, then the others.
func inOrder(list []*entryProcess) []*entryProcess {
	now := time.Now()
	table := membership.NewTable(protocol.EntryState{})
	byName := make(map[string]*entryProcess)
	for _, e := range list {
		table.RecordGossip(now, protocol.EntryState{Entry: e.name, Address: e.rpc, Cell: e.cell})
		byName[e.name] = e
	}
	var out []*entryProcess
	for _, g := range table.RendezvousOrder(cellName, now) {
		if e := byName[g.Entry]; e != nil {
			out = append(out, e)
		}
	}
	return out
}

// waitFor polls a condition.
func waitFor(ctx context.Context, limit time.Duration, what string, done func() bool) error {
	deadline := time.Now().Add(limit)
	for !done() {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("capacity: not reached within %s: %s", limit, what)
		}
		time.Sleep(pollInterval)
	}
	return nil
}
