package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/client/api"
	"masticcart.example/masticcart/internal/evacuation"
	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/protocol"
)

const (
	// maxLongPoll bounds one long poll for the end of a job.
	maxLongPoll = time.Minute
	// ownerWaitTimeout bounds one wait at the owner of a cell. An owner that no longer answers, such as a suspended
	// one, must not keep a recorded outcome from the caller.
	ownerWaitTimeout = time.Second
	// ownerCallOverhead is how much longer than the wait itself the call may take.
	ownerCallOverhead = 500 * time.Millisecond
	// recordPollInterval is the pause between reads of the job's record while the owner of the cell does not answer.
	recordPollInterval = 250 * time.Millisecond
	// withdrawTimeout bounds the withdrawal of a request whose deadline has passed.
	withdrawTimeout = 3 * time.Second
)

// postRequest runs a short request and replies with its outcome.
func (s *Server) postRequest(r *http.Request, p principal) (reply, error) {
	var body api.RequestBody
	if err := decode(r, &body); err != nil {
		return reply{}, err
	}
	if err := authorize(p, s.config.Current(), body.Team); err != nil {
		return reply{}, err
	}
	req := body.Request()
	if err := req.Validate(); err != nil {
		return reply{}, apiError(http.StatusBadRequest, api.CodeBadRequest, "%v", err)
	}
	ctx, cancel := context.WithTimeout(r.Context(), req.Timeout)
	defer cancel()
	if !body.IsIdempotent() {
		o, err := s.runAsJob(ctx, req)
		return reply{http.StatusOK, o}, err
	}
	return reply{http.StatusOK, s.router.Submit(ctx, req)}, nil
}

// runAsJob runs a request that is not idempotent as a durable job, so that it starts at most once, and waits for the
// outcome.
func (s *Server) runAsJob(ctx context.Context, req model.Request) (model.Outcome, error) {
	spec := model.JobSpec{Key: req.Key, Kind: req.Kind, Service: req.Service, Shape: model.Shape{Slots: 1},
		Payload: req.Payload, Deadline: time.Now().Add(req.Timeout)}
	record, _, err := s.jobs.Submit(ctx, spec, s.chooseCell(spec))
	if err != nil {
		return model.Outcome{}, jobsError(err)
	}
	job := record.Job
	for job.State != model.JobFinished && ctx.Err() == nil {
		job = s.awaitJob(ctx, job)
	}
	if job.State != model.JobFinished {
		job = s.withdrawUnstarted(job)
	}
	if job.Outcome != nil {
		return *job.Outcome, nil
	}
	return model.Outcome{Result: model.ResultUnknown, Ran: true,
		Reason: "the deadline passed while the work may be running; its outcome will be at " + api.JobPath(req.Key)}, nil
}

// withdrawUnstarted finishes a job as refused if it was not claimed before its caller's deadline, so that it cannot
// start later. On an error it returns the job unchanged, whose outcome is then unknown.
func (s *Server) withdrawUnstarted(job model.Job) model.Job {
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	r, err := s.jobs.Withdraw(ctx, job.Spec.Key, "the deadline passed before the work could start")
	if err != nil {
		klog.InfoS("Job not withdrawn", "job", job.Spec.Key, "err", err)
		return job
	}
	return r.Job
}

// postJob accepts a durable job.
func (s *Server) postJob(r *http.Request, p principal) (reply, error) {
	var body api.JobBody
	if err := decode(r, &body); err != nil {
		return reply{}, err
	}
	if err := authorize(p, s.config.Current(), body.Team); err != nil {
		return reply{}, err
	}
	if body.DeadlineMS < 0 {
		return reply{}, apiError(http.StatusBadRequest, api.CodeBadRequest,
			"deadline_ms %d has already passed", body.DeadlineMS)
	}
	spec := body.Spec(time.Now().UTC())
	if err := spec.Validate(); err != nil {
		return reply{}, apiError(http.StatusBadRequest, api.CodeBadRequest, "%v", err)
	}
	cellName := s.chooseCell(spec)
	record, created, err := s.jobs.Submit(r.Context(), spec, cellName)
	if err != nil {
		return reply{}, jobsError(err)
	}
	klog.InfoS("Accepted job", "job", spec.Key, "team", spec.Key.Team, "kind", spec.Kind, "shape", spec.Shape,
		"cell", record.Job.Cell, "created", created)
	status := http.StatusOK
	if created {
		status = http.StatusAccepted
	}
	return reply{status, api.JobReply{Job: record.Job}}, nil
}

// chooseCell returns the cell in which a new job is queued. A cell in which a guarantee of the team covers the job
// comes first, then the nearest cell that can run it: this entry's own, one in the same region, any other. Evacuated
// cells are chosen only if no other cell can run the job, which then waits there. A job that no known cell can run is
// queued in this entry's cell, which refuses it with the reason.
func (s *Server) chooseCell(spec model.JobSpec) string {
	now := time.Now()
	evacuations := s.config.Current().Evacuations
	if cellName := s.cellFor(spec, now, evacuations); cellName != "" {
		return cellName
	}
	if cellName := s.cellFor(spec, now, evacuation.Set{}); cellName != "" {
		return cellName
	}
	return s.table.Self(now).Cell
}

// cellFor returns the cell for a job among those without an evacuation, or an empty string if none can run it.
func (s *Server) cellFor(spec model.JobSpec, now time.Time, evacuations evacuation.Set) string {
	canRun := func(e protocol.EntryState) bool {
		return servesService(e, spec.Service) && !evacuations.Contains(e.Cell)
	}
	if spec.Shape.UsesAccelerators() {
		canRun = func(e protocol.EntryState) bool {
			return e.Blocks.CanFit(spec.Shape) && !evacuations.Contains(e.Cell)
		}
		if cellName, ok := s.guaranteedCell(spec, now, evacuations); ok {
			return cellName
		}
	}
	own := s.table.Self(now)
	if canRun(own) {
		return own.Cell
	}
	remote := ""
	for _, peer := range s.table.LivePeers(now) {
		switch {
		case !canRun(peer.State):
		case peer.State.Region == own.Region:
			return peer.State.Cell
		case remote == "":
			remote = peer.State.Cell
		}
	}
	return remote
}

// guaranteedCell returns a cell with live entries and without an evacuation in which a guarantee of the team covers the
// job.
func (s *Server) guaranteedCell(spec model.JobSpec, now time.Time, evacuations evacuation.Set) (string, bool) {
	for _, g := range s.config.Current().Guarantees {
		covers := g.Team == spec.Key.Team && g.Shape.Accelerators >= spec.Shape.Accelerators &&
			g.Shape.Adjacency.Level() <= spec.Shape.Adjacency.Level()
		if covers && !evacuations.Contains(g.Cell) && len(s.table.RendezvousOrder(g.Cell, now)) > 0 {
			return g.Cell, true
		}
	}
	return "", false
}

// servesService reports whether executors of the service report to the entry.
func servesService(e protocol.EntryState, service string) bool {
	for _, l := range e.Loads {
		if l.Service == service {
			return true
		}
	}
	return false
}

// jobKey returns the job key in the request's path if the principal may see the job.
func (s *Server) jobKey(r *http.Request, p principal) (model.JobKey, error) {
	vars := mux.Vars(r)
	key := model.JobKey{Team: vars["team"], ID: vars["id"]}
	if !p.mayActFor(key.Team) {
		// A "forbidden" would reveal that the other team has a job of this id.
		return key, apiError(http.StatusNotFound, api.CodeNotFound, "no such job")
	}
	return key, nil
}

func (s *Server) getJob(r *http.Request, p principal) (reply, error) {
	key, err := s.jobKey(r, p)
	if err != nil {
		return reply{}, err
	}
	record, err := s.jobs.Get(r.Context(), key)
	if err != nil {
		return reply{}, jobsError(err)
	}
	return reply{http.StatusOK, api.JobReply{Job: record.Job}}, nil
}

func (s *Server) cancelJob(r *http.Request, p principal) (reply, error) {
	key, err := s.jobKey(r, p)
	if err != nil {
		return reply{}, err
	}
	record, err := s.jobs.Cancel(r.Context(), key)
	if err != nil {
		return reply{}, jobsError(err)
	}
	klog.InfoS("Cancelled job", "job", key, "state", record.Job.State, "operator", p.operator)
	return reply{http.StatusOK, api.JobReply{Job: record.Job}}, nil
}

// waitJob replies when the job has finished, after the requested wait, or when this entry drains.
func (s *Server) waitJob(r *http.Request, p principal) (reply, error) {
	key, err := s.jobKey(r, p)
	if err != nil {
		return reply{}, err
	}
	wait, err := parseWaitTimeout(r)
	if err != nil {
		return reply{}, err
	}
	record, err := s.jobs.Get(r.Context(), key)
	if err != nil {
		return reply{}, jobsError(err)
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	go func() {
		select {
		case <-s.draining:
			cancel()
		case <-ctx.Done():
		}
	}()
	job := record.Job
	for job.State != model.JobFinished && ctx.Err() == nil {
		job = s.awaitJob(ctx, job)
	}
	return reply{http.StatusOK, api.JobReply{Job: job}}, nil
}

// parseWaitTimeout returns the requested wait, at most maxLongPoll.
func parseWaitTimeout(r *http.Request) (time.Duration, error) {
	text := r.URL.Query().Get(api.ParamTimeout)
	if text == "" {
		return maxLongPoll, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 0 {
		return 0, apiError(http.StatusBadRequest, api.CodeBadRequest,
			"%s=%q is not a number of milliseconds", api.ParamTimeout, text)
	}
	return min(maxLongPoll, time.Duration(min(ms, maxLongPoll.Milliseconds()))*time.Millisecond), nil
}

// awaitJob waits at the owner of the job's cell, which needs no calls to the platform. If no owner answers, it reads
// the job's record, and pauses if the job has not finished.
func (s *Server) awaitJob(ctx context.Context, job model.Job) model.Job {
	key := job.Spec.Key
	if newer, known, err := s.waitAtOwner(ctx, job); err == nil && known {
		return newer
	}
	if record, err := s.jobs.Get(ctx, key); err == nil {
		job = record.Job
	}
	if job.State != model.JobFinished {
		select {
		case <-ctx.Done():
		case <-time.After(recordPollInterval):
		}
	}
	return job
}

// errNoOwner means that no live entry of the cell is known.
var errNoOwner = errors.New("entry: no owner is known for the cell")

// waitAtOwner waits at the owner of the cell for at most ownerWaitTimeout, or until ctx ends if this entry is the
// owner. It returns false if the owner does not know the job.
func (s *Server) waitAtOwner(ctx context.Context, job model.Job) (model.Job, bool, error) {
	now := time.Now()
	owner, ok := s.table.CellOwner(job.Cell, now)
	if !ok {
		return job, false, fmt.Errorf("%w %s", errNoOwner, job.Cell)
	}
	if owner.Entry == s.table.Self(now).Entry {
		return s.cell.Wait(ctx, job.Spec.Key)
	}
	timeout := ownerWaitTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline))
	}
	ctx, cancel := context.WithTimeout(ctx, timeout+ownerCallOverhead)
	defer cancel()
	var result protocol.WaitReply
	err := s.peers.CallAddress(ctx, owner.Address, protocol.MethodWait,
		protocol.WaitArgs{Job: job.Spec.Key, Timeout: timeout}, &result)
	return result.Job, result.Known, err
}
