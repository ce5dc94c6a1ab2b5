// Package demo lays out a small deployment on loopback and drives a mix of work through it. The processes
// themselves are started by a script or by a test.
package demo

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// Sizes of the deployment in each region.
type Sizes struct {
	Regions   []string
	Entries   int // in each region, as for the next two
	Executors int
	Workers   int
	RackSize  int // workers in a rack
	Service   string
}

// DefaultSizes is three regions as the first users have them, with fewer upstreams.
func DefaultSizes() Sizes {
	return Sizes{Regions: []string{"riga", "daugavpils", "liepaja"}, Entries: 2, Executors: 2, Workers: 3, RackSize: 3, Service: "prism-planner"}
}

// Process is one process of the deployment. Program is the name of the binary.
type Process struct {
	Name    string   `json:"name"`
	Program string   `json:"program"`
	Args    []string `json:"args"`
	Region  string   `json:"region"`
}

// Layout is where everything listens.
type Layout struct {
	Dir       string              `json:"dir"`
	Platform  string              `json:"platform"`
	APIs      map[string][]string `json:"apis"`      // by region
	Executors map[string][]string `json:"executors"` // addresses of the stand-ins by region
	Workers   map[string][]string `json:"workers"`
	Processes []Process           `json:"processes"`
	Metrics   map[string]string   `json:"metrics"` // by process name
}

// OperatorToken is the operator's token of the demo. Its hash is in the settings of every entry.
const OperatorToken = "demo-operator"

type builder struct {
	layout Layout
	sizes  Sizes
	port   int
	err    error
}

// PrepareDeployment writes the settings files of a deployment that listens on ports from base upwards.
func PrepareDeployment(dir string, base int, s Sizes) (*Layout, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("demo: %w", err)
	}
	b := &builder{sizes: s, port: base, layout: Layout{Dir: dir, APIs: map[string][]string{},
		Executors: map[string][]string{}, Workers: map[string][]string{}, Metrics: map[string]string{}}}
	b.layout.Platform = b.address()
	b.add(Process{Name: "kv", Program: "standin-kv", Args: []string{"-listen", b.layout.Platform}})
	rpcs := map[string][]string{}
	var all []string
	for _, region := range s.Regions {
		for range s.Entries {
			rpcs[region] = append(rpcs[region], b.address())
		}
		all = append(all, rpcs[region]...)
	}
	for _, region := range s.Regions {
		for i, address := range rpcs[region] {
			b.entry(region, i, address, all)
		}
		for i := range s.Executors {
			b.executor(region, i, rpcs[region])
		}
		for i := range s.Workers {
			b.worker(region, i, rpcs[region])
		}
	}
	if b.err != nil {
		return nil, b.err
	}
	return &b.layout, b.save()
}

func (b *builder) address() string {
	b.port++
	return fmt.Sprintf("127.0.0.1:%d", b.port)
}

func (b *builder) add(p Process) { b.layout.Processes = append(b.layout.Processes, p) }

func (b *builder) daemon(name, region string, content map[string]any) {
	content["name"], content["region"], content["cell"] = name, region, region
	metrics := b.address()
	b.layout.Metrics[name] = metrics
	content["metrics"] = map[string]any{"listen": metrics}
	path := filepath.Join(b.layout.Dir, name+".jsonc")
	data, err := json.MarshalIndent(content, "", "  ")
	if err == nil {
		err = os.WriteFile(path, append([]byte("// Written for the demo.\n"), data...), 0o600)
	}
	if err != nil && b.err == nil {
		b.err = fmt.Errorf("demo: settings of %s: %w", name, err)
	}
	b.add(Process{Name: name, Program: "masticcartd", Args: []string{"run", path}, Region: region})
}

func (b *builder) entry(region string, i int, rpcAddress string, peers []string) {
	api := b.address()
	b.layout.APIs[region] = append(b.layout.APIs[region], api)
	others := []string{}
	for _, p := range peers {
		if p != rpcAddress {
			others = append(others, p)
		}
	}
	b.daemon(fmt.Sprintf("entry-%s-%d", region, i+1), region, map[string]any{
		"role": "entry",
		"entry": map[string]any{
			"api_listen": api, "rpc_listen": rpcAddress, "peers": others,
			"platform":                      map[string]any{"addresses": []string{b.layout.Platform}, "timeout": "1s"},
			"bootstrap_operator_token_hash": TokenHash(OperatorToken),
		},
	})
}

func (b *builder) executor(region string, i int, entries []string) {
	address := b.address()
	name := fmt.Sprintf("executor-%s-%d", region, i+1)
	b.layout.Executors[region] = append(b.layout.Executors[region], address)
	b.add(Process{Name: name, Program: "standin-executor", Args: []string{"-listen", address, "-service", b.sizes.Service}, Region: region})
	b.daemon("agent-"+name, region, map[string]any{
		"role": "agent",
		"agent": map[string]any{"kind": "executor", "upstream_url": "http://" + address, "service": b.sizes.Service,
			"units": 8, "entries": entries},
	})
}

func (b *builder) worker(region string, i int, entries []string) {
	address := b.address()
	name := fmt.Sprintf("worker-%s-%d", region, i+1)
	b.layout.Workers[region] = append(b.layout.Workers[region], address)
	b.add(Process{Name: name, Program: "standin-worker", Args: []string{"-listen", address}, Region: region})
	b.daemon("agent-"+name, region, map[string]any{
		"role": "agent",
		"agent": map[string]any{"kind": "worker", "upstream_url": "http://" + address,
			"rack": fmt.Sprintf("%s-rack-%d", region, i/b.sizes.RackSize+1), "units": 8, "entries": entries},
	})
}

const layoutFile = "layout.json"

// save writes the layout, and the processes once more as lines for the script that starts them.
func (b *builder) save() error {
	data, err := json.MarshalIndent(b.layout, "", "  ")
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	var lines strings.Builder
	for _, p := range b.layout.Processes {
		fmt.Fprintf(&lines, "%s %s %s\n", p.Name, p.Program, strings.Join(p.Args, " "))
	}
	if err := os.WriteFile(filepath.Join(b.layout.Dir, "processes.txt"), []byte(lines.String()), 0o600); err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	return os.WriteFile(filepath.Join(b.layout.Dir, layoutFile), data, 0o600)
}

// LoadLayout reads the layout that PrepareDeployment wrote.
func LoadLayout(dir string) (*Layout, error) {
	data, err := os.ReadFile(filepath.Join(dir, layoutFile))
	if err != nil {
		return nil, fmt.Errorf("demo: %w", err)
	}
	var l Layout
	if err := json.Unmarshal(data, &l); err != nil {
		return nil, fmt.Errorf("demo: %w", err)
	}
	return &l, nil
}

// AllAPIs returns the API addresses of all regions, those of the given region first.
func (l *Layout) AllAPIs(first string) []string {
	out := append([]string(nil), l.APIs[first]...)
	for region, list := range l.APIs {
		if region != first {
			out = append(out, list...)
		}
	}
	return out
}
