package worker

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/gorilla/mux"
	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/standin/process"
)

const maxBodyBytes = 4 << 20

// StartRequest is the body of POST /tasks.
type StartRequest struct {
	ID           string          `json:"id"`
	Accelerators int             `json:"accelerators"`
	LeaseMS      int64           `json:"lease_ms"`
	Payload      json.RawMessage `json:"payload"`
}

// Task is the state of a task in responses.
type Task struct {
	ID           string          `json:"id"`
	State        State           `json:"state"`
	Accelerators int             `json:"accelerators"`
	Started      time.Time       `json:"started"`
	ProgressMS   int64           `json:"progress_ms"`
	Output       json.RawMessage `json:"output,omitempty"` // set for tasks that are done: the id as a JSON string
	Reason       string          `json:"reason,omitempty"`
}

// Checkpoint is the response to POST /tasks/{id}/checkpoint.
type Checkpoint struct {
	ID         string `json:"id"`
	ProgressMS int64  `json:"progress_ms"`
}

// Run is one start of a task in the history. Stop is omitted while the task is running.
type Run struct {
	ID           string    `json:"id"`
	Start        time.Time `json:"start"`
	Stop         time.Time `json:"stop,omitzero"`
	Accelerators int       `json:"accelerators"`
}

// Status is the response to GET /status.
type Status struct {
	Accelerators int   `json:"accelerators"`
	Busy         int   `json:"busy"` // accelerators in use
	History      []Run `json:"history"`
}

// Usage is the response to GET /usage. It describes the worker at the time At, which is UsageLag ago.
type Usage struct {
	At           time.Time   `json:"at"`
	Accelerators int         `json:"accelerators"`
	Busy         int         `json:"busy"`
	Tasks        []TaskUsage `json:"tasks"`
}

// TaskUsage is the usage of one task. Share is the share of accelerator time, from 0 to 1.
type TaskUsage struct {
	ID           string  `json:"id"`
	Accelerators int     `json:"accelerators"`
	Share        float64 `json:"share"`
}

// Faults are the faults that a worker simulates.
type Faults struct {
	// FailAll makes every task fail as soon as it has started.
	FailAll bool `json:"fail_all"`
}

// ErrorResponse is the body of a response with a status other than 200.
type ErrorResponse struct {
	Reason string `json:"reason"`
}

func (s *Server) routes() *mux.Router {
	router := mux.NewRouter().UseEncodedPath() // task ids may contain escaped slashes
	router.HandleFunc("/tasks", handle(s.handleStart)).Methods(http.MethodPost)
	router.HandleFunc("/tasks", handle(func(*http.Request, []byte) (any, error) { return s.list(), nil })).
		Methods(http.MethodGet)
	router.HandleFunc("/tasks/{id}", handle(s.handleGet)).Methods(http.MethodGet)
	router.HandleFunc("/tasks/{id}/renew", handle(s.handleRenew)).Methods(http.MethodPost)
	router.HandleFunc("/tasks/{id}/checkpoint", handle(s.handleCheckpoint)).Methods(http.MethodPost)
	router.HandleFunc("/tasks/{id}/throttle", handle(s.handleThrottle)).Methods(http.MethodPost)
	router.HandleFunc("/tasks/{id}/stop", handle(s.handleStop)).Methods(http.MethodPost)
	router.HandleFunc("/usage", handle(s.handleUsage)).Methods(http.MethodGet)
	router.HandleFunc("/status", handle(s.handleStatus)).Methods(http.MethodGet)
	router.HandleFunc("/admin/faults", handle(s.handleFaults)).Methods(http.MethodPost)
	return router
}

// handle returns a handler that calls a function with the body and encodes its response or error. It reads the body to
// its end, since net/http detects a disconnected client only after that.
func handle(call func(*http.Request, []byte) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			process.WriteJSON(w, http.StatusBadRequest, ErrorResponse{Reason: err.Error()})
			return
		}
		response, err := call(r, body)
		if err != nil {
			process.WriteJSON(w, merry.HTTPCode(err), ErrorResponse{Reason: err.Error()})
			return
		}
		process.WriteJSON(w, http.StatusOK, response)
	}
}

func (s *Server) handleStart(_ *http.Request, body []byte) (any, error) {
	var request StartRequest
	if err := decode(body, &request); err != nil {
		return nil, err
	}
	if request.ID == "" || request.Accelerators < 1 || request.LeaseMS < 1 {
		return nil, merry.Wrap(errBadRequest, merry.AppendMessage("id, accelerators and lease_ms are required"))
	}
	return s.start(request)
}

func (s *Server) handleGet(r *http.Request, _ []byte) (any, error) { return s.get(taskID(r)) }

func (s *Server) handleStop(r *http.Request, _ []byte) (any, error) { return s.stop(taskID(r)) }

func (s *Server) handleRenew(r *http.Request, body []byte) (any, error) {
	var request struct {
		LeaseMS int64 `json:"lease_ms"`
	}
	if err := decode(body, &request); err != nil {
		return nil, err
	}
	if request.LeaseMS < 1 {
		return nil, merry.Wrap(errBadRequest, merry.AppendMessage("lease_ms is required"))
	}
	return s.renew(taskID(r), milliseconds(request.LeaseMS))
}

func (s *Server) handleThrottle(r *http.Request, body []byte) (any, error) {
	var request struct {
		Share *float64 `json:"share"`
	}
	if err := decode(body, &request); err != nil {
		return nil, err
	}
	if request.Share == nil || *request.Share < 0 || *request.Share > 1 {
		return nil, merry.Wrap(errBadRequest, merry.AppendMessage("share from 0 to 1 is required"))
	}
	return s.throttle(taskID(r), *request.Share)
}

// handleCheckpoint saves the progress at the time of the call, which takes Config.CheckpointTime. It fails if the task
// is stopped, loses its lease or is started again meanwhile.
func (s *Server) handleCheckpoint(r *http.Request, _ []byte) (any, error) {
	saved, err := s.updateRunning(taskID(r), func(*task, time.Time) {})
	if err != nil {
		return nil, err
	}
	timer := time.NewTimer(s.checkpointTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		return nil, merry.Wrap(errBadRequest, merry.WithCause(r.Context().Err()))
	}
	after, err := s.get(saved.ID)
	if err != nil {
		return nil, err
	}
	if after.State == StateStopped || after.State == StateLeaseExpired || !after.Started.Equal(saved.Started) {
		return nil, merry.Wrap(errNotRunning, merry.AppendMessage(string(after.State)))
	}
	return Checkpoint{ID: saved.ID, ProgressMS: saved.ProgressMS}, nil
}

func (s *Server) handleFaults(_ *http.Request, body []byte) (any, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	faults := Faults{FailAll: s.failAll}
	if err := decode(body, &faults); err != nil {
		return nil, err
	}
	s.failAll = faults.FailAll
	klog.InfoS("Set faults", "failAll", s.failAll)
	return faults, nil
}

func (s *Server) handleStatus(*http.Request, []byte) (any, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	status := Status{Accelerators: s.accelerators, Busy: s.busyAccelerators(), History: make([]Run, 0, len(s.history))}
	for _, t := range s.history {
		run := Run{ID: t.id, Start: t.started, Stop: t.stopped, Accelerators: t.accelerators}
		status.History = append(status.History, run)
	}
	return status, nil
}

func (s *Server) handleUsage(*http.Request, []byte) (any, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	usage := Usage{At: s.advance().Add(-UsageLag), Accelerators: s.accelerators, Tasks: []TaskUsage{}}
	for _, t := range s.history {
		if share, running := t.usageAt(usage.At); running {
			usage.Busy += t.accelerators
			usage.Tasks = append(usage.Tasks, TaskUsage{ID: t.id, Accelerators: t.accelerators, Share: share})
		}
	}
	return usage, nil
}

// taskID returns the task id of the path, unescaped if possible.
func taskID(r *http.Request) string {
	id := mux.Vars(r)["id"]
	if unescaped, err := url.PathUnescape(id); err == nil {
		return unescaped
	}
	return id
}

func decode(body []byte, request any) error {
	if err := json.Unmarshal(body, request); err != nil {
		return merry.Wrap(errBadRequest, merry.WithCause(err))
	}
	return nil
}
