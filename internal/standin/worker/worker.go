// Package worker is the stand-in for one worker: an HTTP server that runs tasks on accelerators under leases. It is
// used by tests and the demo only.
//
// Tasks do no real work. Their state follows from the clock, and each call first brings it up to date, so that the
// server needs no timers and runs with a virtual clock.
package worker

import (
	"cmp"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/gorilla/mux"
	"k8s.io/klog/v2"
)

// Defaults and bounds of a worker.
const (
	DefaultAccelerators   = 8
	DefaultCheckpointTime = 200 * time.Millisecond
	// UsageLag is the age of what GET /usage reports.
	UsageLag = 2 * time.Second
	// MaxHistory is the number of tasks that the status lists.
	MaxHistory = 10_000
	// MaxEndedTasks is the number of ended tasks that GET /tasks still knows.
	MaxEndedTasks = 256
)

// Errors of this package.
var (
	errBadRequest   = merry.Sentinel("worker: malformed request", merry.WithHTTPCode(http.StatusBadRequest))
	errNotFound     = merry.Sentinel("worker: task not found", merry.WithHTTPCode(http.StatusNotFound))
	errRunning      = merry.Sentinel("worker: the task is running", merry.WithHTTPCode(http.StatusConflict))
	errNotRunning   = merry.Sentinel("worker: the task is not running", merry.WithHTTPCode(http.StatusConflict))
	errAccelerators = merry.Sentinel("worker: too few free accelerators",
		merry.WithHTTPCode(http.StatusInsufficientStorage))
)

// Config sets up a worker. The zero value of a field means its default.
type Config struct {
	Accelerators   int
	CheckpointTime time.Duration
	Now            func() time.Time
}

// Server is the http.Handler of a worker.
type Server struct {
	accelerators   int
	checkpointTime time.Duration
	now            func() time.Time
	router         *mux.Router

	mu      sync.Mutex
	tasks   map[string]*task // running tasks and the last that ended
	ended   []*task          // ended tasks in tasks, oldest first
	history []*task          // all tasks by start
	failAll bool
}

// New returns a worker without tasks.
func New(c Config) *Server {
	s := &Server{accelerators: c.Accelerators, checkpointTime: c.CheckpointTime, now: c.Now, tasks: map[string]*task{}}
	if s.accelerators < 1 {
		s.accelerators = DefaultAccelerators
	}
	if s.checkpointTime == 0 {
		s.checkpointTime = DefaultCheckpointTime
	}
	if s.now == nil {
		s.now = time.Now
	}
	s.router = s.routes()
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// start begins a task under a lease.
func (s *Server) start(request StartRequest) (Task, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.settle()
	if t := s.tasks[request.ID]; t != nil && t.state == StateRunning {
		return Task{}, errRunning
	}
	if free := s.accelerators - s.busy(); request.Accelerators > free {
		return Task{}, merry.Wrap(errAccelerators, merry.AppendMessagef("%d free, %d needed", free, request.Accelerators))
	}
	t := newTask(request, now)
	s.forget(s.tasks[request.ID])
	s.tasks[request.ID] = t
	s.addHistory(t)
	if s.failAll {
		t.end(StateFailed, now, "the worker fails all tasks")
	}
	s.settle()
	klog.V(1).InfoS("Start task", "id", t.id, "accelerators", t.accelerators, "work", t.work, "state", t.state)
	return t.view(now), nil
}

// renew extends the lease of a running task from now.
func (s *Server) renew(id string, lease time.Duration) (Task, error) {
	return s.change(id, func(t *task, now time.Time) { t.leaseEnd = now.Add(lease) })
}

// throttle sets the share of its accelerators' time that a running task gets.
func (s *Server) throttle(id string, share float64) (Task, error) {
	return s.change(id, func(t *task, now time.Time) { t.setShare(share, now) })
}

// stop ends a running task; stopping an ended one changes nothing.
func (s *Server) stop(id string) (Task, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.settle()
	t := s.tasks[id]
	if t == nil {
		return Task{}, errNotFound
	}
	if t.state == StateRunning {
		t.end(StateStopped, now, "stopped on request")
		s.settle()
	}
	return t.view(now), nil
}

// get returns one task.
func (s *Server) get(id string) (Task, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.settle()
	t := s.tasks[id]
	if t == nil {
		return Task{}, errNotFound
	}
	return t.view(now), nil
}

// list returns the running tasks and those that ended last, by start.
func (s *Server) list() []Task {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.settle()
	views := make([]Task, 0, len(s.tasks))
	for _, t := range s.tasks {
		views = append(views, t.view(now))
	}
	slices.SortFunc(views, func(a, b Task) int {
		return cmp.Or(a.Started.Compare(b.Started), strings.Compare(a.ID, b.ID))
	})
	return views
}

// change applies f to a running task.
func (s *Server) change(id string, f func(*task, time.Time)) (Task, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.settle()
	t := s.tasks[id]
	if t == nil {
		return Task{}, errNotFound
	}
	if t.state != StateRunning {
		return Task{}, merry.Wrap(errNotRunning, merry.AppendMessage(string(t.state)))
	}
	f(t, now)
	return t.view(now), nil
}

// settle ends the tasks whose work is done or whose lease lapsed by now.
func (s *Server) settle() time.Time {
	now := s.now()
	for _, t := range s.tasks {
		t.settle(now)
		if t.state != StateRunning && !t.listed {
			t.listed = true
			s.ended = append(s.ended, t)
		}
	}
	for len(s.ended) > MaxEndedTasks {
		s.forget(s.ended[0])
	}
	return now
}

// forget drops an ended task from the list of tasks. It stays in the history.
func (s *Server) forget(t *task) {
	if t == nil {
		return
	}
	delete(s.tasks, t.id)
	s.ended = slices.DeleteFunc(s.ended, func(e *task) bool { return e == t })
}

// addHistory drops the oldest ended task when the history is full.
func (s *Server) addHistory(t *task) {
	if len(s.history) >= MaxHistory {
		if i := slices.IndexFunc(s.history, func(h *task) bool { return h.state != StateRunning }); i >= 0 {
			s.history = slices.Delete(s.history, i, i+1)
		}
	}
	s.history = append(s.history, t)
}

func (s *Server) busy() int {
	busy := 0
	for _, t := range s.tasks {
		if t.state == StateRunning {
			busy += t.accelerators
		}
	}
	return busy
}
