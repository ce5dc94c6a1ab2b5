// Package executor is the stand-in for one executor of a service: an HTTP server that runs short requests on a fixed
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
	// MaxListedRuns is the number of runs that the status lists.
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

// Payload is what a payload can ask for. Payloads of any other form mean work that takes no time.
type Payload struct {
	WorkMS            int64 `json:"work_ms"`
	Fail              bool  `json:"fail"`
	OutputBytes       int   `json:"output_bytes"`
	AbortOnDisconnect bool  `json:"abort_on_disconnect"`
}

// RunResponse answers POST /run.
type RunResponse struct {
	ID     string          `json:"id"`
	OK     bool            `json:"ok"`
	Output json.RawMessage `json:"output,omitempty"`
	Reason string          `json:"reason,omitempty"`
}

// Run is one started request.
type Run struct {
	ID    string    `json:"id"`
	Start time.Time `json:"start"`
}

// Status answers GET /status. Started counts all runs, Runs lists the last MaxListedRuns of them.
type Status struct {
	Service string `json:"service"`
	Slots   int    `json:"slots"`
	Busy    int    `json:"busy"`
	Started int64  `json:"started"`
	Runs    []Run  `json:"runs"`
}

// Faults are the failures that an executor simulates.
type Faults struct {
	// FailAll fails every request as soon as it has started.
	FailAll bool `json:"fail_all"`
	// SlowFactor multiplies the time that work takes.
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

// New returns an executor of the service. Fewer than one slot means DefaultSlots.
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

// run carries out one request on a slot. The error is errNoFreeSlot if it was not started.
func (s *Server) run(ctx context.Context, request RunRequest) (RunResponse, error) {
	response := RunResponse{ID: request.ID}
	var work Payload
	if json.Unmarshal(request.Payload, &work) != nil {
		work = Payload{}
	}
	faults, err := s.acquire(request.ID)
	if err != nil {
		return response, err
	}
	defer s.release()
	klog.V(1).InfoS("Start run", "id", request.ID, "kind", request.Kind, "workMS", work.WorkMS)
	if faults.FailAll {
		response.Reason = "the executor fails all work"
		return response, nil
	}
	if !work.AbortOnDisconnect {
		ctx = context.WithoutCancel(ctx)
	}
	if !wait(ctx, work.duration(faults.SlowFactor)) {
		response.Reason = "aborted: the caller disconnected"
		return response, nil
	}
	if work.Fail {
		response.Reason = "failed as the payload asked"
		return response, nil
	}
	response.OK = true
	response.Output = output(request.ID, work.OutputBytes)
	return response, nil
}

// acquire takes a slot and records the start.
func (s *Server) acquire(id string) (Faults, error) {
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

func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy--
}

func (w Payload) duration(slowFactor float64) time.Duration {
	ms := float64(max(w.WorkMS, 0)) * slowFactor
	return time.Duration(min(ms*float64(time.Millisecond), float64(maxWork)))
}

// wait returns false if the context ended first.
func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// output is a JSON string that begins with the request's id, padded to size bytes, so that callers can check whose
// answer they got and that it is complete.
func output(id string, size int) json.RawMessage {
	text := []byte(id)
	for len(text) < min(size, maxOutputBytes) {
		text = append(text, '.')
	}
	data, err := json.Marshal(string(text))
	if err != nil {
		klog.ErrorS(err, "Encode output", "id", id)
	}
	return data
}
