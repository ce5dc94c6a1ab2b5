// Package executor is a stand-in for one executor of a service: an HTTP server that runs short requests on a fixed
// number of slots. It is used by tests and the demo only.
package executor

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/gorilla/mux"
	"k8s.io/klog/v2"
)

// Defaults and bounds of an executor.
const (
	DefaultSlots       = 8
	DefaultConnections = 64
	// MaxListedRuns is the number of runs that GET /status lists.
	MaxListedRuns = 10_000

	maxBodyBytes   = 4 << 20
	maxOutputBytes = 64 << 20
	maxWork        = 30 * 24 * time.Hour
)

// Errors of this package.
var (
	errBadRequest = merry.Sentinel("executor: malformed request", merry.WithHTTPCode(http.StatusBadRequest))
	errNoFreeSlot = merry.Sentinel("no free slot", merry.WithHTTPCode(http.StatusServiceUnavailable))
)

// RunRequest is the body of POST /run.
type RunRequest struct {
	ID      string          `json:"id"`
	Kind    string          `json:"kind"`
	Payload json.RawMessage `json:"payload"`
}

// Payload is the form of payload that the stand-in understands. A request with any other payload finishes at once.
type Payload struct {
	WorkMS            int64 `json:"work_ms"`             // run time before Faults.SlowFactor
	Fail              bool  `json:"fail"`                // whether the run fails at its end
	OutputBytes       int   `json:"output_bytes"`        // least size of the output
	AbortOnDisconnect bool  `json:"abort_on_disconnect"` // whether the run ends when the caller disconnects
}

// RunResponse is the response to POST /run.
type RunResponse struct {
	ID     string          `json:"id"`
	OK     bool            `json:"ok"`
	Output json.RawMessage `json:"output,omitempty"`
	Reason string          `json:"reason,omitempty"`
}

// Run is a request that was started.
type Run struct {
	ID    string    `json:"id"`
	Start time.Time `json:"start"`
}

// Status is the response to GET /status. Started counts all runs, Runs lists the last MaxListedRuns of them.
type Status struct {
	Service string `json:"service"`
	Slots   int    `json:"slots"`
	Busy    int    `json:"busy"` // slots in use
	Started int64  `json:"started"`
	Runs    []Run  `json:"runs"`
}

// Faults are the faults that an executor simulates.
type Faults struct {
	// FailAll makes every request fail as soon as it has started.
	FailAll bool `json:"fail_all"`
	// SlowFactor multiplies the run time of requests.
	SlowFactor float64 `json:"slow_factor"`
}

// Server is the http.Handler of an executor.
type Server struct {
	service string
	slots   int
	router  *mux.Router

	mu      sync.Mutex
	busy    int
	started int64
	runs    []Run
	faults  Faults
}

// New returns an executor of the service. With slots below 1 it has DefaultSlots.
func New(service string, slots int) *Server {
	if slots < 1 {
		slots = DefaultSlots
	}
	s := &Server{service: service, slots: slots, router: mux.NewRouter(), faults: Faults{SlowFactor: 1}}
	s.router.HandleFunc("/run", s.handleRun).Methods(http.MethodPost)
	s.router.HandleFunc("/status", s.handleStatus).Methods(http.MethodGet)
	s.router.HandleFunc("/admin/faults", s.handleFaults).Methods(http.MethodPost)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// Status returns the state of the executor.
func (s *Server) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := append([]Run{}, s.runs...)
	return Status{Service: s.service, Slots: s.slots, Busy: s.busy, Started: s.started, Runs: runs}
}

// run executes one request on a slot. It returns errNoFreeSlot if all slots are busy; the request was not started then.
func (s *Server) run(ctx context.Context, request RunRequest) (RunResponse, error) {
	response := RunResponse{ID: request.ID}
	var payload Payload
	if json.Unmarshal(request.Payload, &payload) != nil {
		payload = Payload{}
	}
	faults, err := s.acquireSlot(request.ID)
	if err != nil {
		return response, err
	}
	defer s.releaseSlot()
	klog.V(1).InfoS("Started run", "id", request.ID, "kind", request.Kind, "workMS", payload.WorkMS)
	if faults.FailAll {
		response.Reason = "the executor fails all work"
		return response, nil
	}
	if !payload.AbortOnDisconnect {
		ctx = context.WithoutCancel(ctx)
	}
	if !sleep(ctx, payload.duration(faults.SlowFactor)) {
		response.Reason = "aborted: the caller disconnected"
		return response, nil
	}
	if payload.Fail {
		response.Reason = "failed as the payload asked"
		return response, nil
	}
	response.OK = true
	response.Output = paddedOutput(request.ID, payload.OutputBytes)
	return response, nil
}

// acquireSlot occupies a slot, records the start of a run and returns the current faults. It returns errNoFreeSlot if
// all slots are busy.
func (s *Server) acquireSlot(id string) (Faults, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy >= s.slots {
		return Faults{}, errNoFreeSlot
	}
	s.busy++
	s.started++
	if len(s.runs) == MaxListedRuns {
		s.runs = s.runs[1:]
	}
	s.runs = append(s.runs, Run{ID: id, Start: time.Now()})
	return s.faults, nil
}

func (s *Server) releaseSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy--
}

// duration returns the run time, from 0 to maxWork.
func (p Payload) duration(slowFactor float64) time.Duration {
	ms := float64(max(p.WorkMS, 0)) * slowFactor
	return time.Duration(min(ms*float64(time.Millisecond), float64(maxWork)))
}

// sleep returns false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// paddedOutput returns a JSON string that starts with the request id and is padded to size bytes, at most
// maxOutputBytes, so that callers can check that an answer is theirs and complete.
func paddedOutput(id string, size int) json.RawMessage {
	text := []byte(id)
	for len(text) < min(size, maxOutputBytes) {
		text = append(text, '.')
	}
	data, err := json.Marshal(string(text))
	if err != nil {
		klog.ErrorS(err, "Failed to encode output", "id", id)
	}
	return data
}
