package abusetest

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"masticcart.example/masticcart/internal/kvstore/memstore"
	"masticcart.example/masticcart/platform"
	"masticcart.example/masticcart/platform/standin"
)

// The limits of the entry under test and the size of a crowd. They are small, so that a small crowd shows a fault.
const (
	entryMemoryMB = 96
	entryMaxFDs   = 512
	crowdClients  = 600
	// maxBody is the largest body of a request of a caller on the platform, in bytes.
	maxBody = 256 << 10
)

// hosted is a deployment on the platform: an entry and an agent as processes, and a store and a worker in the test's own
// process.
type hosted struct {
	t        *testing.T
	settings standin.ProcessSettings // of the entry
	entry    *process
	front    string
	nextID   int
}

func startHosted(t *testing.T) *hosted {
	t.Helper()
	store := memstore.New(time.Now)
	if _, err := store.Put(context.Background(), platform.KeyConfiguration, []byte(standin.InitialConfiguration), 0,
		0); err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(standin.StoreHandler(store))
	t.Cleanup(server.Close)
	port := reservePorts(12)
	entry := standin.ProcessSettings{Node: "edge-0", Role: "edge", Zone: "z", Port: port,
		StoreAddress: strings.TrimPrefix(server.URL, "http://"), MemoryMB: entryMemoryMB, MaxFDs: entryMaxFDs}
	agent := standin.ProcessSettings{Node: "side-0", Role: "side", Zone: "z", Port: port + 6,
		StoreAddress: entry.StoreAddress}
	agent.App = agent.WorkerAddress()
	worker := &standin.Worker{ID: "i-0", Service: "s", Rack: "r1", GPUs: 8}
	worker.Boot()
	listener, err := net.Listen("tcp", agent.WorkerAddress())
	if err != nil {
		t.Fatal(err)
	}
	workerServer := &http.Server{Handler: worker.Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = workerServer.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		_ = workerServer.Close()
	})
	h := &hosted{t: t, settings: entry, front: entry.FrontAddress(), nextID: 1}
	h.entry = startHostedProcess(t, entry)
	startHostedProcess(t, agent)
	go worker.SendHeartbeats(ctx, agent.ControlAddress(), 300*time.Millisecond)
	h.completeOneJob()
	return h
}

func startHostedProcess(t *testing.T, s standin.ProcessSettings) *process {
	t.Helper()
	file := filepath.Join(t.TempDir(), s.Node+".toml")
	if err := os.WriteFile(file, []byte(s.TOML()), 0o600); err != nil {
		t.Fatal(err)
	}
	return startProcess(t, s.Node, []string{standin.SettingsVariable + "=" + file}, "masticcartd", "platform")
}

// call makes a request on a connection of its own.
func (h *hosted) call(method string, id int, body string) (int, string) {
	c := standin.NewClient(h.front)
	c.HTTP.Transport = &http.Transport{DisableKeepAlives: true}
	return c.Call(context.Background(), method, id, body)
}

// completeOneJob submits a job until it is accepted, repeating a submission that is refused as callers do, and waits until
// the job is completed, for which the entry needs its connections to the store and to the agent.
func (h *hosted) completeOneJob() {
	h.t.Helper()
	h.complete(standin.FourTaskJob(10))
}

func (h *hosted) complete(job string) {
	h.t.Helper()
	id := h.nextID
	h.nextID++
	eventually(h.t, "a job is accepted", func() bool {
		status, _ := h.call(http.MethodPost, id, job)
		return status == http.StatusOK
	})
	eventually(h.t, "the job is completed", func() bool {
		status, body := h.call(http.MethodGet, id, "")
		return status == http.StatusOK && strings.Contains(body, `"completed"`)
	})
}

// checkWith connects a crowd, and checks that a job is completed while its connections are open and that the entry stays
// within its limits.
func (h *hosted) checkWith(c crowd) {
	h.t.Helper()
	c.run(h.t, h.front, h.completeOneJob)
	h.completeOneJob()
	h.entry.checkLimits()
}

// submission is the head of a request that submits a job. All clients use one id, so that their jobs are one job.
var submission = request{method: "POST", path: "/q/00000000000000ff",
	header: "Host: h.example\r\nX-Key: " + standin.APIKey + "\r\nContent-Type: application/json\r\n"}

// paddedJob returns a valid job whose body has the given size.
func paddedJob(size int) []byte {
	job := []byte(standin.FourTaskJob(10))
	return append(job, bytes.Repeat([]byte(" "), size-len(job))...)
}

// Guards against an entry that holds all unfinished bodies in memory.
func TestUnfinishedBodies(t *testing.T) {
	startHosted(t).checkWith(crowd{clients: crowdClients, send: unfinished(submission, paddedJob(maxBody), maxBody)})
}

// Guards against an entry that holds all unfinished bodies that come in pieces.
func TestUnfinishedBodiesInPieces(t *testing.T) {
	startHosted(t).checkWith(crowd{clients: crowdClients, send: unfinished(submission, paddedJob(maxBody), 8<<10)})
}

// Guards against an entry that holds all unfinished bodies of unknown length.
func TestUnfinishedChunkedBodies(t *testing.T) {
	startHosted(t).checkWith(crowd{clients: crowdClients, send: unfinishedChunked(submission, paddedJob(maxBody), 64<<10)})
}

// Guards against an entry that holds all unfinished bodies of very small chunks.
func TestUnfinishedBodiesOfSmallChunks(t *testing.T) {
	startHosted(t).checkWith(crowd{clients: crowdClients, send: unfinishedChunked(submission, paddedJob(maxBody/2), 2)})
}

// Guards against bodies that take far more memory when they are decoded: many steps, many dependencies.
func TestExpensiveBodies(t *testing.T) {
	step := `{"count":1},`
	steps := `{"spec":"10","steps":[` + strings.Repeat(step, maxBody/len(step)-4) + `{"count":1}]}`
	dependencies := `{"spec":"10","steps":[{"count":1},{"count":1,"after":[` + strings.Repeat("0,", maxBody/2-64) + `0]}]}`
	labels := standin.LabelledJob("10", strings.Repeat("<", maxBody-128), 0, 1)
	for name, body := range map[string]string{"steps": steps, "dependencies": dependencies, "labels": labels} {
		t.Run(name, func(t *testing.T) {
			startHosted(t).checkWith(crowd{clients: crowdClients, send: whole(submission, []byte(body))})
		})
	}
}

// Guards against connections that take all descriptors, or all that the entry needs for the store and its agents.
func TestSilentConnections(t *testing.T) {
	startHosted(t).checkWith(crowd{clients: crowdClients, send: silent})
}

// Guards against an entry that holds endless headers.
func TestEndlessHeaders(t *testing.T) {
	startHosted(t).checkWith(crowd{clients: crowdClients, send: endlessHeader(submission)})
}

// Guards against connections that are held for ever by clients that read no response.
func TestUnreadResponses(t *testing.T) {
	unauthorized := request{method: "GET", path: "/q/", header: "Host: h.example\r\n"}
	startHosted(t).checkWith(crowd{clients: crowdClients, send: pipelined(unauthorized, 2000), readsNothing: true})
}

// Guards against limits that a single caller within the limits of the platform meets: the largest body, also when it
// arrives in pieces or in small chunks.
func TestLargestBodyIsServed(t *testing.T) {
	h := startHosted(t)
	body := paddedJob(maxBody)
	for i, send := range []behaviour{whole(submission, body), inPieces(submission, body), inChunks(submission, body)} {
		conn, err := net.DialTimeout("tcp", h.front, dialTimeout)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		_ = conn.SetDeadline(time.Now().Add(testTimeout))
		if err := send(conn); err != nil {
			t.Fatal(err)
		}
		if status := readStatus(t, conn); status != http.StatusOK {
			t.Errorf("way %d to send the body: status %d", i, status)
		}
	}
	h.entry.checkLimits()
}
