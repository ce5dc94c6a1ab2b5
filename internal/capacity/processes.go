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
	// processTimeout bounds the wait for a process to start, to end or to answer its first call.
	processTimeout = 20 * time.Second
	pollInterval   = 20 * time.Millisecond
)

var errScriptTimeout = errors.New("capacity: scripts/capacity did not complete a command in time")

// entryProcess is an entry that runs as a process, with its listen addresses and the proxy for its platform calls.
type entryProcess struct {
	name, cell                             string
	rpcAddress, apiAddress, metricsAddress string
	pid                                    int
	platformProxy                          *countingProxy
}

// processManager starts and kills processes through scripts/capacity. It writes one command per line; the script
// confirms a start by creating a file with the process id, and a kill by removing that file.
type processManager struct {
	dir             string // of the settings, log files and process id files
	commands        io.Writer
	lastPort        int    // port of the address allocated last
	platformAddress string // address of the key-value stand-in
	platformPID     int
	entries         []*entryProcess
	running         map[string]bool // names of started processes that have not been killed
}

func newProcessManager(dir string, commands io.Writer, basePort int) *processManager {
	return &processManager{dir: dir, commands: commands, lastPort: basePort, running: make(map[string]bool)}
}

// nextAddress returns a loopback address with a port that has not been used in this run.
func (p *processManager) nextAddress() string {
	p.lastPort++
	return fmt.Sprintf("127.0.0.1:%d", p.lastPort)
}

func (p *processManager) pidFile(name string) string { return filepath.Join(p.dir, name+".pid") }

// startProcess starts a process and returns its id, or errScriptTimeout.
func (p *processManager) startProcess(name, program string, args ...string) (int, error) {
	fmt.Fprintln(p.commands, "start", name, program, strings.Join(args, " "))
	deadline := time.Now().Add(processTimeout)
	for time.Now().Before(deadline) {
		if data, err := os.ReadFile(p.pidFile(name)); err == nil {
			p.running[name] = true
			return strconv.Atoi(strings.TrimSpace(string(data)))
		}
		time.Sleep(pollInterval)
	}
	return 0, fmt.Errorf("%w: start %s", errScriptTimeout, name)
}

// kill ends processes with SIGKILL and waits until they have ended. It returns errScriptTimeout
// if that takes longer than processTimeout.
func (p *processManager) kill(names ...string) error {
	fmt.Fprintln(p.commands, "kill", strings.Join(names, " "))
	deadline := time.Now().Add(processTimeout)
	for _, name := range names {
		for {
			if _, err := os.Stat(p.pidFile(name)); errors.Is(err, os.ErrNotExist) {
				delete(p.running, name)
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%w: kill %s", errScriptTimeout, name)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// killAll kills every process of the part, closes the platform proxies of its entries and clears the list of entries.
func (p *processManager) killAll() error {
	names := slices.Sorted(maps.Keys(p.running))
	for _, e := range p.entries {
		_ = e.platformProxy.listener.Close()
	}
	p.entries = nil
	if len(names) == 0 {
		return nil
	}
	return p.kill(names...)
}

func (p *processManager) startPlatform() (err error) {
	p.platformAddress = p.nextAddress()
	p.platformPID, err = p.startProcess("kv", "standin-kv", "-listen", p.platformAddress)
	return err
}

// addEntries appends perCell entries for each cell, without starting them, and allocates their addresses and platform
// proxies. The first entry of every cell precedes the second of any.
func (p *processManager) addEntries(cells []string, perCell int) error {
	for i := range perCell {
		for _, cell := range cells {
			e := &entryProcess{name: fmt.Sprintf("entry-%s-%d", cell, i+1), cell: cell,
				rpcAddress: p.nextAddress(), apiAddress: p.nextAddress(), metricsAddress: p.nextAddress()}
			var err error
			if e.platformProxy, err = newCountingProxy(p.platformAddress); err != nil {
				return err
			}
			p.entries = append(p.entries, e)
		}
	}
	return nil
}

// startEntry starts an entry whose settings list the given peers, except the entry itself, as seeds.
func (p *processManager) startEntry(e *entryProcess, peers []*entryProcess) (err error) {
	peerAddresses := []string{}
	for _, peer := range peers {
		if peer != e {
			peerAddresses = append(peerAddresses, peer.rpcAddress)
		}
	}
	settings := map[string]any{
		"role": "entry", "name": e.name, "region": "north", "cell": e.cell,
		"metrics": map[string]any{"listen": e.metricsAddress},
		"entry": map[string]any{
			"api_listen": e.apiAddress, "rpc_listen": e.rpcAddress, "peers": peerAddresses,
			"platform":                      map[string]any{"addresses": []string{e.platformProxy.address()}, "timeout": "2s"},
			"bootstrap_operator_token_hash": demo.TokenHash(operatorToken),
		},
	}
	e.pid, err = p.startDaemon(e.name, settings)
	return err
}

// startDaemon writes the settings file of a masticcartd process and starts it.
func (p *processManager) startDaemon(name string, settings map[string]any) (int, error) {
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return 0, err
	}
	path := filepath.Join(p.dir, name+".jsonc")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return 0, err
	}
	return p.startProcess(name, "masticcartd", "run", path)
}

// startEntries starts entries at the same time and waits until all serve their metrics.
func (p *processManager) startEntries(ctx context.Context, entries []*entryProcess) error {
	for _, e := range entries {
		if err := p.startEntry(e, p.entries[:min(len(p.entries), maxSeedPeers)]); err != nil {
			return err
		}
	}
	for _, e := range entries {
		if err := pollUntil(ctx, processTimeout, "metrics of "+e.name, func() bool {
			_, err := scrape(ctx, e.metricsAddress)
			return err == nil
		}); err != nil {
			return err
		}
	}
	return nil
}

// maxSeedPeers is the largest number of seed peers in an entry's settings. Entries discover the others through gossip
// and the registrations on the platform.
const maxSeedPeers = 4

// entriesInRendezvousOrder returns the entries of the measured cell in rendezvous order: the owner, the successors,
// then the others.
func entriesInRendezvousOrder(entries []*entryProcess) []*entryProcess {
	now := time.Now()
	members := membership.NewTable(protocol.EntryState{})
	byName := make(map[string]*entryProcess)
	for _, e := range entries {
		members.RecordGossip(now, protocol.EntryState{Entry: e.name, Address: e.rpcAddress, Cell: e.cell})
		byName[e.name] = e
	}
	var ordered []*entryProcess
	for _, member := range members.RendezvousOrder(measuredCell, now) {
		if e := byName[member.Entry]; e != nil {
			ordered = append(ordered, e)
		}
	}
	return ordered
}

// pollUntil polls a condition until it holds. It returns an error if ctx ends or the timeout expires first.
func pollUntil(ctx context.Context, timeout time.Duration, description string, condition func() bool) error {
	deadline := time.Now().Add(timeout)
	for !condition() {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("capacity: condition not met within %s: %s", timeout, description)
		}
		time.Sleep(pollInterval)
	}
	return nil
}
