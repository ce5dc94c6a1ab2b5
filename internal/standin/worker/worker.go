// Package worker is a stand-in for one worker: an HTTP server that runs tasks on accelerators under leases. It is used
// by tests and the demo only.
//
// Tasks do no real work. Their state is a function of the clock, and each call first advances all tasks to the current
// time, so the server needs no timers and can run on a virtual clock.
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
	// UsageLag is the age of the state that GET /usage reports.
	UsageLag = 2 * time.Second
	// MaxHistory is the number of starts that GET /status lists.
	MaxHistory = 10_000
	// MaxEndedTasks is the number of ended tasks that are kept for the /tasks routes.
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

// Config is the configuration of a worker. A field with the zero value has its default.
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
	tasks   map[string]*task // by id: running tasks and the tasks in ended
	ended   []*task          // at most MaxEndedTasks, oldest first
	history []*task          // starts, oldest first
	failAll bool
}

// New returns a worker that runs no tasks.
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

// start starts a task under a lease, unless a task with this id is running or too few accelerators are free.
func (s *Server) start(request StartRequest) (Task, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.advance()
	if t := s.tasks[request.ID]; t != nil && t.state == StateRunning {
		return Task{}, errRunning
	}
	if free := s.accelerators - s.busyAccelerators(); request.Accelerators > free {
		return Task{}, merry.Wrap(errAccelerators, merry.AppendMessagef("%d free, %d needed", free, request.Accelerators))
	}
	t := newTask(request, now)
	s.removeEnded(s.tasks[request.ID])
	s.tasks[request.ID] = t
	s.addHistory(t)
	if s.failAll {
		t.end(StateFailed, now, "the worker fails all tasks")
	}
	s.advance()
	klog.V(1).InfoS("Started task", "id", t.id, "accelerators", t.accelerators, "work", t.workTime, "state", t.state)
	return t.response(now), nil
}

// renew sets the lease of a running task to end after the given time from now.
func (s *Server) renew(id string, lease time.Duration) (Task, error) {
	return s.updateRunning(id, func(t *task, now time.Time) { t.leaseEnd = now.Add(lease) })
}

// throttle sets the share of accelerator time, from 0 to 1, that a running task gets.
func (s *Server) throttle(id string, share float64) (Task, error) {
	return s.updateRunning(id, func(t *task, now time.Time) { t.setShare(share, now) })
}

// stop ends a running task. It is idempotent: a task that has ended stays as it is.
func (s *Server) stop(id string) (Task, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.advance()
	t := s.tasks[id]
	if t == nil {
		return Task{}, errNotFound
	}
	if t.state == StateRunning {
		t.end(StateStopped, now, "stopped on request")
		s.advance()
	}
	return t.response(now), nil
}

// get returns the state of a task that is running or among the ended tasks kept.
func (s *Server) get(id string) (Task, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.advance()
	t := s.tasks[id]
	if t == nil {
		return Task{}, errNotFound
	}
	return t.response(now), nil
}

// list returns the running tasks and the ended tasks kept, ordered by start time.
func (s *Server) list() []Task {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.advance()
	views := make([]Task, 0, len(s.tasks))
	for _, t := range s.tasks {
		views = append(views, t.response(now))
	}
	slices.SortFunc(views, func(a, b Task) int {
		return cmp.Or(a.Started.Compare(b.Started), strings.Compare(a.ID, b.ID))
	})
	return views
}

// updateRunning applies f to a task, or returns an error if it is not running.
func (s *Server) updateRunning(id string, f func(*task, time.Time)) (Task, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.advance()
	t := s.tasks[id]
	if t == nil {
		return Task{}, errNotFound
	}
	if t.state != StateRunning {
		return Task{}, merry.Wrap(errNotRunning, merry.AppendMessage(string(t.state)))
	}
	f(t, now)
	return t.response(now), nil
}

// advance ends the tasks whose work is done or whose lease has expired, removes the oldest of more than MaxEndedTasks
// ended tasks, and returns the current time. The caller holds s.mu.
func (s *Server) advance() time.Time {
	now := s.now()
	for _, t := range s.tasks {
		t.advanceTo(now)
		if t.state != StateRunning && !t.inEnded {
			t.inEnded = true
			s.ended = append(s.ended, t)
		}
	}
	for len(s.ended) > MaxEndedTasks {
		s.removeEnded(s.ended[0])
	}
	return now
}

// removeEnded removes an ended task from the task list. It stays in the history. A nil task is ignored.
func (s *Server) removeEnded(t *task) {
	if t == nil {
		return
	}
	delete(s.tasks, t.id)
	s.ended = slices.DeleteFunc(s.ended, func(e *task) bool { return e == t })
}

// addHistory appends a start to the history. If the history is full, the oldest task that has ended is removed.
func (s *Server) addHistory(t *task) {
	if len(s.history) >= MaxHistory {
		if i := slices.IndexFunc(s.history, func(h *task) bool { return h.state != StateRunning }); i >= 0 {
			s.history = slices.Delete(s.history, i, i+1)
		}
	}
	s.history = append(s.history, t)
}

// busyAccelerators returns the number of accelerators in use by running tasks.
func (s *Server) busyAccelerators() int {
	busy := 0
	for _, t := range s.tasks {
		if t.state == StateRunning {
			busy += t.accelerators
		}
	}
	return busy
}
