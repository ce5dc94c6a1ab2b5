package hosted

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/fx"
	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/kvstore/memstore"
	"masticcart.example/masticcart/internal/scheduler"
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

// deployment is a deployment on loopback with the real modules of entries and agents, and a fake store and fake
// workers.
type deployment struct {
	t            *testing.T
	store        *memstore.Store
	storeAddress string
	entries      []*process
	agents       []*process
	workers      []*standin.Worker
}

// process is an entry or an agent that can be stopped and restarted.
type process struct {
	settings *platform.Settings
	app      *fx.App
}

// firstPort is the first port of each process. Each has a loopback address of its own.
const firstPort = 7000

// addressCount counts the loopback addresses that this test program has used.
var addressCount atomic.Uint32

// newAddress returns a loopback address that no other process uses, so that no port can be taken between its choice and
// its use: the system gives 127.0.0.1 to outgoing connections.
func newAddress() string {
	return fmt.Sprintf("127.%d.%d.%d", 1+addressCount.Add(1)%254, os.Getpid()>>8&0xff, os.Getpid()&0xff)
}

func newDeployment(t *testing.T, workers int) *deployment {
	d := &deployment{t: t, store: memstore.New(time.Now)}
	server := httptest.NewServer(standin.StoreHandler(d.store))
	t.Cleanup(server.Close)
	d.storeAddress = strings.TrimPrefix(server.URL, "http://")
	if _, err := d.store.Put(context.Background(), platform.KeyConfiguration, []byte(standin.InitialConfiguration), 0,
		0); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for n := range workers {
		w := &standin.Worker{ID: fmt.Sprint("i-", n), Service: "s", Rack: "r1", GPUs: 4}
		w.Boot()
		d.workers = append(d.workers, w)
		app := httptest.NewServer(w.Handler())
		t.Cleanup(app.Close)
		p := d.newProcess(fmt.Sprint("side-", n), "side")
		p.settings.App = strings.TrimPrefix(app.URL, "http://")
		d.agents = append(d.agents, p)
		go w.SendHeartbeats(ctx, p.settings.BindAddresses.Control, 200*time.Millisecond)
	}
	for n := range 2 {
		d.entries = append(d.entries, d.newProcess(fmt.Sprint("edge-", n), "edge"))
	}
	for _, p := range append(append([]*process(nil), d.agents...), d.entries...) {
		d.start(p)
	}
	t.Cleanup(func() {
		for _, p := range append(append([]*process(nil), d.agents...), d.entries...) {
			d.stop(p)
		}
	})
	return d
}

func (d *deployment) newProcess(name, role string) *process {
	ip := newAddress()
	at := func(offset int) string { return fmt.Sprintf("%s:%d", ip, firstPort+offset) }
	p := &process{settings: &platform.Settings{Node: name, Zone: "z", Region: "r", IP: ip,
		Serves: []string{role}, InternalPorts: []int{firstPort, firstPort + 1}}}
	p.settings.BindAddresses.Front, p.settings.BindAddresses.Readiness,
		p.settings.BindAddresses.Control = at(2), at(3), at(4)
	p.settings.Platform.Address = d.storeAddress
	p.settings.Bounds = platform.Bounds{GraceS: 1, RevokeStrict: true, RevokeMS: 5000, MaxHoldMS: 6000, StopTimeoutMS: 200,
		GangWaitMS: 3000, StatusS: 60, RemoteFactor: 3, VisibleMS: 300, EvacuateMS: 5000}
	return p
}

func (d *deployment) start(p *process) {
	d.t.Helper()
	p.app = New(p.settings)
	ctx, cancel := context.WithTimeout(context.Background(), StartTimeout)
	defer cancel()
	if err := p.app.Start(ctx); err != nil {
		d.t.Fatal(err)
	}
}

func (d *deployment) stop(p *process) {
	if p.app == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := p.app.Stop(ctx); err != nil {
		d.t.Logf("stop of %s: %v", p.settings.Node, err)
	}
	p.app = nil
}

// call sends a request to an entry and returns the status and the body. Status 0 means that there was no response.
func (d *deployment) call(entry int, method string, id int, body string) (int, string) {
	return standin.NewClient(d.entries[entry].settings.BindAddresses.Front).Call(context.Background(), method, id, body)
}

// eventually fails the test if ok does not return true within the limit.
func (d *deployment) eventually(limit time.Duration, what string, ok func() bool) {
	d.t.Helper()
	for deadline := time.Now().Add(limit); !ok(); {
		if time.Now().After(deadline) {
			d.t.Fatalf("%s: not within %v", what, limit)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// submitUntilAccepted submits a job until it is acknowledged. It retries with the same id, as callers do.
func (d *deployment) submitUntilAccepted(entry, id int, body string) {
	d.t.Helper()
	d.eventually(10*time.Second, "acknowledged", func() bool {
		status, _ := d.call(entry, "POST", id, body)
		return status == 200
	})
}

// state returns the state of a job as an entry reports it, or the HTTP status if there is none.
func (d *deployment) state(entry, id int) string {
	return standin.NewClient(d.entries[entry].settings.BindAddresses.Front).State(context.Background(), id)
}

// allCompleted returns a condition for eventually: the jobs with ids from 1 up to, but not including, endID completed.
func (d *deployment) allCompleted(entry, endID int) func() bool {
	return func() bool {
		for id := 1; id < endID; id++ {
			if d.state(entry, id) != "completed" {
				return false
			}
		}
		return true
	}
}

// expectStartedOnce checks that n tasks were started, none of them twice.
func (d *deployment) expectStartedOnce(n int) {
	d.t.Helper()
	seen := map[string]int{}
	for _, w := range d.workers {
		for _, task := range w.StartedTasks() {
			if seen[task]++; seen[task] > 1 {
				d.t.Errorf("%s was started twice", task)
			}
		}
	}
	if len(seen) != n {
		d.t.Errorf("%d tasks were started, want %d", len(seen), n)
	}
}

// Jobs of two steps, one of them a gang, that are submitted through both entries complete, and each task starts once.
func TestJobsCompleteOnce(t *testing.T) {
	d := newDeployment(t, 3)
	for id := 1; id < 5; id++ {
		d.submitUntilAccepted(id%2, id, standin.TwoStepJob)
	}
	d.eventually(20*time.Second, "completed", d.allCompleted(0, 5))
	d.expectStartedOnce(4 * 5)
	e, err := Explain(context.Background(),
		[]string{d.entries[0].settings.RPCAddress(), d.entries[1].settings.RPCAddress()}, "0000000000000001")
	if err != nil || e.State != batch.Completed {
		t.Errorf("explained as %+v: %v", e, err)
	}
	if status, _ := d.call(1, "GET", 0xff, ""); status != 410 {
		t.Errorf("an unknown job: status %d, want 410", status)
	}
}

// Operators can query jobs, workers, teams and queues of a deployment on the platform, although its entries serve the
// platform's API to callers and not masticcart's.
func TestOperatorsQueryTheLeader(t *testing.T) {
	d := newDeployment(t, 2)
	d.submitUntilAccepted(0, 1, standin.FourTaskJob(3000))
	d.eventually(5*time.Second, "running", func() bool { return d.state(0, 1) == "running" })
	d.submitUntilAccepted(1, 2, standin.FourTaskJob(10))
	addresses := []string{d.entries[0].settings.RPCAddress(), d.entries[1].settings.RPCAddress()}
	for text, want := range map[string]string{
		"show jobs where state = running":     `"0000000000000001"`,
		"show workers where state = alive":    `"side-1"`,
		"show teams":                          `"t"`,
		"show rules where class = normal":     `"q"`,
		"explain job t/0000000000000001":      `"state","running"`,
		"show jobs where accelerators >= 100": `"rows":[]`,
	} {
		result, err := Query(context.Background(), addresses, text)
		if err != nil || !strings.Contains(string(result), want) {
			t.Errorf("%s: %s, %v; want %s in it", text, result, err, want)
		}
	}
	if _, err := Query(context.Background(), addresses, "show everything"); err == nil {
		t.Error("no error for an invalid query")
	}
	c, err := InForce(context.Background(), addresses)
	if err != nil || c.Catalog.Version != 1 || c.Fleet["s"] == 0 || len(c.Catalog.Teams[0].Keys[0]) != 2*sha256.Size {
		t.Errorf("configuration in force %+v, %v; want version 1, workers of s, and hashes of keys", c, err)
	}
}

// Guards against an evacuation that operators cannot follow: neither the request nor what still runs there is shown, or a
// waiting job does not tell what it waits for.
func TestOperatorsFollowAnEvacuation(t *testing.T) {
	d := newDeployment(t, 2)
	d.submitUntilAccepted(0, 1, standin.FourTaskJob(60_000))
	d.eventually(5*time.Second, "running", func() bool { return d.state(0, 1) == "running" })
	revision, err := d.store.Put(context.Background(), platform.EvacuationKey("z"), []byte(`{}`), 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	addresses := []string{d.entries[0].settings.RPCAddress(), d.entries[1].settings.RPCAddress()}
	shows := func(text, want string) func() bool {
		return func() bool {
			result, err := Query(context.Background(), addresses, text)
			return err == nil && strings.Contains(string(result), want)
		}
	}
	d.eventually(5*time.Second, "evacuated", shows("show workers where state = evacuated", `"side-1"`))
	d.submitUntilAccepted(0, 2, standin.FourTaskJob(10))
	d.eventually(5*time.Second, "explained", shows("explain job t/0000000000000002", "the evacuated data centres z"))
	d.eventually(5*time.Second, "listed", shows("show evacuations where empty = no", fmt.Sprintf(`,%d,2,4,4,false]`, revision)))
	if status, _ := d.call(0, "DELETE", 1, ""); status != 200 {
		t.Fatalf("cancellation: status %d", status)
	}
	d.eventually(5*time.Second, "empty", shows("show evacuations where empty = yes", `"z"`))
	if err := d.store.Delete(context.Background(), platform.EvacuationKey("z"), revision); err != nil {
		t.Fatal(err)
	}
	d.eventually(10*time.Second, "completed after the data centre is taken back", func() bool { return d.state(0, 2) == "completed" })
}

// Guards against figures on the load that do not reach the entries, by which nothing would ever be refused: the only
// worker has work for 330 s, and a job of 30 s may wait for 243 s. A refused job is not stored, and one that is
// stored is acknowledged again.
func TestEntriesRefuseWorkThatWouldBeLate(t *testing.T) {
	d := newDeployment(t, 1)
	for id := 1; id < 12; id++ {
		d.submitUntilAccepted(id%2, id, standin.EstimatedJob(60000, 30000))
	}
	for entry := range d.entries {
		last := 100 * (1 + entry)
		d.eventually(15*time.Second, "refused", func() bool {
			last++
			status, body := d.call(entry, "POST", last, standin.EstimatedJob(10, 30000))
			return status == 503 && strings.Contains(body, "overloaded")
		})
		if state := d.state(entry, last); state != "410" {
			t.Errorf("the refused job has the state %s", state)
		}
		if status, body := d.call(entry, "POST", 1, standin.EstimatedJob(60000, 30000)); status != 200 {
			t.Errorf("repeat of a stored job: status %d, %s", status, body)
		}
	}
}

// If an agent restarts and the leader stops while tasks are running, no job is lost and no task is started twice.
func TestRestartsLoseNothing(t *testing.T) {
	d := newDeployment(t, 2)
	d.submitUntilAccepted(0, 1, standin.FourTaskJob(2500))
	d.eventually(5*time.Second, "running", func() bool { return d.state(0, 1) == "running" })
	d.stop(d.agents[0])
	d.start(d.agents[0])
	d.stop(d.entries[0])
	d.start(d.entries[0])
	d.submitUntilAccepted(1, 2, standin.TwoStepJob)
	d.eventually(20*time.Second, "completed", d.allCompleted(1, 3))
	d.expectStartedOnce(4 + 5)
}

// If responses of the store are lost after the write took effect, no job is lost and no task is started twice.
func TestLostStoreResponses(t *testing.T) {
	d := newDeployment(t, 2)
	d.submitUntilAccepted(0, 1, standin.TwoStepJob)
	d.store.SetFaults(memstore.Faults{LoseAnswers: 0.4})
	for id := 2; id < 5; id++ {
		d.submitUntilAccepted(id%2, id, standin.TwoStepJob)
	}
	d.eventually(30*time.Second, "completed", d.allCompleted(0, 5))
	d.store.SetFaults(memstore.Faults{})
	d.expectStartedOnce(4 * 5)
}

// Running tasks survive an outage of the store that is longer than the leader's lease. Meanwhile callers get 503 for
// submissions, and a job that was rejected in this way has not run.
func TestStoreOutage(t *testing.T) {
	d := newDeployment(t, 2)
	d.submitUntilAccepted(0, 1, standin.FourTaskJob(3000))
	d.eventually(5*time.Second, "running", func() bool { return d.state(0, 1) == "running" })
	d.store.SetFaults(memstore.Faults{Down: true})
	for entry := range d.entries { // the leader knows the state without the store
		if state := d.state(entry, 1); state != "running" {
			t.Errorf("entry %d reports %q during the outage, want running", entry, state)
		}
	}
	if status, body := d.call(0, "POST", 9, standin.TwoStepJob); status != 503 {
		t.Errorf("status %d %s, want 503", status, body)
	}
	time.Sleep(2 * time.Second)
	d.store.SetFaults(memstore.Faults{})
	d.eventually(20*time.Second, "completed", d.allCompleted(0, 2))
	if state := d.state(0, 9); state != "410" {
		t.Errorf("the rejected job is %s, want 410", state)
	}
	d.expectStartedOnce(4)
}

// Guards against an announcement of another program that takes the place of a machine's worker: the worker stayed up and
// empty, and accepted jobs were never started (review/2).
func TestAnnouncementOfAnotherProgramDoesNotReplaceTheWorker(t *testing.T) {
	d := newDeployment(t, 2)
	d.submitUntilAccepted(0, 1, standin.FourTaskJob(1000))
	d.eventually(5*time.Second, "running", func() bool { return d.state(0, 1) == "running" })
	other := &standin.Worker{ID: "camera", Service: "other", Rack: "r1", GPUs: 8}
	other.Boot() // with a later start than the workers
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	for _, a := range d.agents {
		other.SendHeartbeats(ctx, a.settings.BindAddresses.Control, time.Minute)
	}
	d.submitUntilAccepted(1, 2, standin.FourTaskJob(10))
	d.eventually(20*time.Second, "completed", d.allCompleted(0, 3))
	d.expectStartedOnce(8)
}

// Guards against an odd entry of another writer that ends each leader that reads it, or that keeps it from following the
// others: deeply nested ones, numbers that are too large, ports out of range, references to steps that do not exist.
func TestOddEntriesDoNotEndTheLeader(t *testing.T) {
	d := newDeployment(t, 1)
	for key, value := range map[string]string{
		scheduler.JobKey("00000000000000b1"): strings.Repeat("[", 100_000),
		scheduler.JobKey("00000000000000b2"): `{"id":"00000000000000b2","queue":{"name":"q","service":"s"},"steps":[{"n":1,"after":[99]}]}`,
		scheduler.JobKey("00000000000000b3"): `{"id":"00000000000000b3","queue":{"name":"q","service":"s"},"steps":[{"n":-1}]}`,
		scheduler.JobKey("00000000000000b4"): `{"id":"00000000000000b4","queue":{"name":"q","service":"s"},"steps":[{"n":1e99}]}`,
		scheduler.JobKey("00000000000000b5"): `{"id":"00000000000000b5","queue":{"name":"q","service":"s"},"steps":[{"n":1,"need":{"cpu":9223372036854775807}}]}`,
		scheduler.JobKey("00000000000000b6"): `{"id":"","steps":null}`,
		scheduler.AgentKey("side-odd"):       `{"node":"side-odd","address":"127.0.0.1:99999"}`,
		scheduler.AgentKey("side-deep"):      strings.Repeat(`{"node":`, 100_000),
		scheduler.AgentKey("side-nameless"):  `{"address":"127.0.0.1:1"}`,
		scheduler.EntryKey("edge-odd"):       `{"node":"edge-odd","address":"127.0.0.1:-1"}`,
		scheduler.CancelKey("odd"):           `\x00`,
	} {
		if _, err := d.store.Put(context.Background(), key, []byte(value), 0, 0); err != nil {
			t.Fatal(err)
		}
	}
	d.submitUntilAccepted(0, 1, standin.FourTaskJob(10)) // read by the leader's watch
	d.eventually(20*time.Second, "completed", d.allCompleted(1, 2))
	for _, e := range d.entries { // read by the listing of the next leader
		d.stop(e)
	}
	for _, e := range d.entries {
		d.start(e)
	}
	d.submitUntilAccepted(1, 2, standin.FourTaskJob(10))
	d.eventually(20*time.Second, "completed", d.allCompleted(0, 3))
	d.expectStartedOnce(8)
}
