package hosted

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"go.uber.org/fx"
	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/kvstore/memstore"
	"masticcart.example/masticcart/platform"
	"masticcart.example/masticcart/platform/standin"
)

func TestMain(m *testing.M) {
	if os.Getenv("PATH_TRACE") == "" {
		klog.LogToStderr(false)
		klog.SetOutput(io.Discard)
	}
	os.Exit(m.Run())
}

// site is a deployment on loopback: the real modules of entries and agents, a store and workers as stand-ins.
type site struct {
	t       *testing.T
	mem     *memstore.Store
	store   string
	entries []*process
	agents  []*process
	workers []*standin.Worker
}

// process is an entry or an agent that can be stopped and started again.
type process struct {
	settings *platform.Settings
	app      *fx.App
}

// freePorts returns the first of n ports in a row that are free at the moment.
func freePorts(t *testing.T, n int) int {
	t.Helper()
	for range 50 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		first := l.Addr().(*net.TCPAddr).Port
		ok := l.Close() == nil
		for p := first; ok && p < first+n; p++ {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", p))
			ok = err == nil && l.Close() == nil
		}
		if ok {
			return first
		}
	}
	t.Fatal("no free ports")
	return 0
}

func newSite(t *testing.T, workers int) *site {
	s := &site{t: t, mem: memstore.New(time.Now)}
	server := httptest.NewServer(standin.StoreHandler(s.mem))
	t.Cleanup(server.Close)
	s.store = strings.TrimPrefix(server.URL, "http://")
	if _, err := s.mem.Put(context.Background(), platform.KeyConfiguration, []byte(standin.InitialConfiguration), 0, 0); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for n := range workers {
		w := &standin.Worker{ID: fmt.Sprint("i-", n), Service: "s", Rack: "r1", GPUs: 4}
		w.Boot()
		s.workers = append(s.workers, w)
		app := httptest.NewServer(w.Handler())
		t.Cleanup(app.Close)
		p := s.process(fmt.Sprint("side-", n), "side")
		p.settings.App = strings.TrimPrefix(app.URL, "http://")
		s.agents = append(s.agents, p)
		go w.SendHeartbeats(ctx, p.settings.BindAddresses.Control, 200*time.Millisecond)
	}
	for n := range 2 {
		s.entries = append(s.entries, s.process(fmt.Sprint("edge-", n), "edge"))
	}
	for _, p := range append(append([]*process(nil), s.agents...), s.entries...) {
		s.start(p)
	}
	t.Cleanup(func() {
		for _, p := range append(append([]*process(nil), s.agents...), s.entries...) {
			s.stop(p)
		}
	})
	return s
}

func (s *site) process(name, class string) *process {
	port := freePorts(s.t, 5)
	at := func(offset int) string { return fmt.Sprintf("127.0.0.1:%d", port+offset) }
	p := &process{settings: &platform.Settings{Node: name, Zone: "z", Region: "r", IP: "127.0.0.1", Serves: []string{class},
		InternalPorts: []int{port, port + 1}}}
	p.settings.BindAddresses.Front, p.settings.BindAddresses.Readiness, p.settings.BindAddresses.Control = at(2), at(3), at(4)
	p.settings.Platform.Address = s.store
	p.settings.Bounds = platform.Bounds{GraceS: 1, RevokeStrict: true, RevokeMS: 5000, MaxHoldMS: 6000, StopTimeoutMS: 200,
		GangWaitMS: 3000, StatusS: 60, RemoteFactor: 3, VisibleMS: 300}
	return p
}

func (s *site) start(p *process) {
	s.t.Helper()
	p.app = New(p.settings)
	ctx, cancel := context.WithTimeout(context.Background(), StartTimeout)
	defer cancel()
	if err := p.app.Start(ctx); err != nil {
		s.t.Fatal(err)
	}
}

func (s *site) stop(p *process) {
	if p.app == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := p.app.Stop(ctx); err != nil {
		s.t.Logf("stop of %s: %v", p.settings.Node, err)
	}
	p.app = nil
}

// call sends a request to an entry and returns status and body. Status 0 means no answer.
func (s *site) call(entry int, method string, id int, body string) (int, string) {
	return standin.NewClient(s.entries[entry].settings.BindAddresses.Front).Call(context.Background(), method, id, body)
}

// eventually repeats until ok or the limit.
func (s *site) eventually(limit time.Duration, what string, ok func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(limit); !ok(); {
		if time.Now().After(deadline) {
			s.t.Fatalf("%s: not within %v", what, limit)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// accept hands a job in, again and again under its id as callers do, until it is acknowledged.
func (s *site) accept(entry, id int, body string) {
	s.t.Helper()
	s.eventually(10*time.Second, "acknowledged", func() bool {
		status, _ := s.call(entry, "POST", id, body)
		return status == 200
	})
}

func (s *site) state(entry, id int) string {
	return standin.NewClient(s.entries[entry].settings.BindAddresses.Front).State(context.Background(), id)
}

func (s *site) completed(entry, to int) func() bool {
	return func() bool {
		for id := 1; id < to; id++ {
			if s.state(entry, id) != "completed" {
				return false
			}
		}
		return true
	}
}

// once checks that no task was started twice, and that n were.
func (s *site) once(n int) {
	s.t.Helper()
	seen := map[string]int{}
	for _, w := range s.workers {
		for _, task := range w.StartedTasks() {
			if seen[task]++; seen[task] > 1 {
				s.t.Errorf("%s was started twice", task)
			}
		}
	}
	if len(seen) != n {
		s.t.Errorf("%d tasks were started, want %d", len(seen), n)
	}
}

// The whole path: jobs of two steps, one a gang, handed in through both entries, are done once.
func TestJobsAreServed(t *testing.T) {
	s := newSite(t, 3)
	for id := 1; id < 5; id++ {
		s.accept(id%2, id, standin.TwoStepJob)
	}
	s.eventually(20*time.Second, "completed", s.completed(0, 5))
	s.once(4 * 5)
	e, err := Explain(context.Background(), []string{s.entries[0].settings.RPCAddress(), s.entries[1].settings.RPCAddress()},
		"0000000000000001")
	if err != nil || e.State != batch.Completed {
		t.Errorf("explained as %+v: %v", e, err)
	}
	if status, _ := s.call(1, "GET", 0xff, ""); status != 410 {
		t.Errorf("an unknown job: status %d, want 410", status)
	}
}

// Operators list jobs, workers, teams and queues of a deployment whose callers do not speak the product's interface.
func TestOperatorsQueryTheLeader(t *testing.T) {
	s := newSite(t, 2)
	s.accept(0, 1, standin.FourTaskJob(3000))
	s.eventually(5*time.Second, "running", func() bool { return s.state(0, 1) == "running" })
	s.accept(1, 2, standin.FourTaskJob(10))
	addresses := []string{s.entries[0].settings.RPCAddress(), s.entries[1].settings.RPCAddress()}
	for text, want := range map[string]string{
		"show jobs where state = running":     `"0000000000000001"`,
		"show workers where state = alive":    `"side-1"`,
		"show teams":                          `"t"`,
		"show rules where class = normal":     `"q"`,
		"explain job t/0000000000000001":      `"state","running"`,
		"show jobs where accelerators >= 100": `"rows":[]`,
	} {
		answer, err := Query(context.Background(), addresses, text)
		if err != nil || !strings.Contains(string(answer), want) {
			t.Errorf("%s: %s, %v; want %s in it", text, answer, err, want)
		}
	}
	if _, err := Query(context.Background(), addresses, "show everything"); err == nil {
		t.Error("a wrong query is answered")
	}
}

// An agent that restarts and a leader that stops, with work running, lose nothing and start nothing twice.
func TestRestartsLoseNothing(t *testing.T) {
	s := newSite(t, 2)
	s.accept(0, 1, standin.FourTaskJob(2500))
	s.eventually(5*time.Second, "running", func() bool { return s.state(0, 1) == "running" })
	s.stop(s.agents[0])
	s.start(s.agents[0])
	s.stop(s.entries[0])
	s.start(s.entries[0])
	s.accept(1, 2, standin.TwoStepJob)
	s.eventually(20*time.Second, "completed", s.completed(1, 3))
	s.once(4 + 5)
}

// Answers of the store that are lost after the write took effect neither lose a job nor start it twice.
func TestLostAnswersOfTheStore(t *testing.T) {
	s := newSite(t, 2)
	s.accept(0, 1, standin.TwoStepJob)
	s.mem.SetFaults(memstore.Faults{LoseAnswers: 0.4})
	for id := 2; id < 5; id++ {
		s.accept(id%2, id, standin.TwoStepJob)
	}
	s.eventually(30*time.Second, "completed", s.completed(0, 5))
	s.mem.SetFaults(memstore.Faults{})
	s.once(4 * 5)
}

// Running work outlives an outage of the store that is longer than the leader's lease; callers hear 503 meanwhile, and
// what they were told had not run has not.
func TestOutageOfTheStore(t *testing.T) {
	s := newSite(t, 2)
	s.accept(0, 1, standin.FourTaskJob(3000))
	s.eventually(5*time.Second, "running", func() bool { return s.state(0, 1) == "running" })
	s.mem.SetFaults(memstore.Faults{Down: true})
	for entry := range s.entries { // the leader knows without the store
		if state := s.state(entry, 1); state != "running" {
			t.Errorf("entry %d tells %q in the outage, want running", entry, state)
		}
	}
	if status, body := s.call(0, "POST", 9, standin.TwoStepJob); status != 503 {
		t.Errorf("status %d %s, want 503", status, body)
	}
	time.Sleep(2 * time.Second)
	s.mem.SetFaults(memstore.Faults{})
	s.eventually(20*time.Second, "completed", s.completed(0, 2))
	if state := s.state(0, 9); state != "410" {
		t.Errorf("the refused job is %s, want 410", state)
	}
	s.once(4)
}
