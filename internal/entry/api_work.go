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
	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/protocol"
)

const (
	// maxWait bounds one long poll on a job.
	maxWait = time.Minute
	// ownerWaitTimeout bounds one call that waits at the owner of a cell, so that an owner that does not answer any more, such as a
	// suspended one, does not keep a recorded outcome from the caller.
	ownerWaitTimeout = time.Second
	// ownerCallSlack is what the call may take beside the wait.
	ownerCallSlack = 500 * time.Millisecond
	// waitPoll is the pause between looks at the record when its owner cannot be asked.
	waitPoll = 250 * time.Millisecond
	// withdrawTimeout bounds the last calls for a request whose deadline has passed.
	withdrawTimeout = 3 * time.Second
)

// postRequest answers a short request on the same connection.
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
		o, err := s.runOnce(ctx, req)
		return reply{http.StatusOK, o}, err
	}
	return reply{http.StatusOK, s.router.Submit(ctx, req)}, nil
}

// runOnce serves a request that is not idempotent: it becomes a durable job, so that it starts at most once,
// and the caller waits for its record.
func (s *Server) runOnce(ctx context.Context, req model.Request) (model.Outcome, error) {
	spec := model.JobSpec{Key: req.Key, Kind: req.Kind, Service: req.Service, Shape: model.Shape{Slots: 1},
		Payload: req.Payload, Deadline: time.Now().Add(req.Timeout)}
	record, _, err := s.jobs.Submit(ctx, spec, s.homeCell(spec))
	if err != nil {
		return model.Outcome{}, fromJobs(err)
	}
	job := record.Job
	for job.State != model.JobFinished && ctx.Err() == nil {
		job = s.awaitJob(ctx, job)
	}
	if job.State != model.JobFinished {
		job = s.withdraw(job)
	}
	if job.Outcome != nil {
		return *job.Outcome, nil
	}
	return model.Outcome{Result: model.ResultUnknown, Ran: true,
		Reason: "the deadline passed while the work may be running; its outcome will be at " + api.JobPath(req.Key)}, nil
}

// withdraw ends a job that did not start before its caller's deadline, which proves that it does not run.
func (s *Server) withdraw(job model.Job) model.Job {
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
		return reply{}, apiError(http.StatusBadRequest, api.CodeBadRequest, "deadline_ms %d has already passed", body.DeadlineMS)
	}
	spec := body.Spec(time.Now().UTC())
	if err := spec.Validate(); err != nil {
		return reply{}, apiError(http.StatusBadRequest, api.CodeBadRequest, "%v", err)
	}
	home := s.homeCell(spec)
	record, created, err := s.jobs.Submit(r.Context(), spec, home)
	if err != nil {
		return reply{}, fromJobs(err)
	}
	klog.InfoS("Accepted job", "job", spec.Key, "team", spec.Key.Team, "kind", spec.Kind, "shape", spec.Shape, "cell", record.Job.Cell, "created", created)
	status := http.StatusOK
	if created {
		status = http.StatusAccepted
	}
	return reply{status, api.JobReply{Job: record.Job}}, nil
}

// homeCell is where a new job is queued: where the team's guarantee covers it, else in the nearest cell that can
// hold it, this one first. A job that no known cell can hold is queued, and refused with the reason, here.
func (s *Server) homeCell(spec model.JobSpec) string {
	now := time.Now()
	holds := func(g protocol.EntryState) bool { return serves(g, spec.Service) }
	if spec.Shape.UsesAccelerators() {
		holds = func(g protocol.EntryState) bool { return g.Blocks.CanFit(spec.Shape) }
		if cellName, ok := s.guaranteedCell(spec, now); ok {
			return cellName
		}
	}
	own := s.table.Self(now)
	if holds(own) {
		return own.Cell
	}
	other := ""
	for _, peer := range s.table.LivePeers(now) {
		switch {
		case !holds(peer.State):
		case peer.State.Region == own.Region:
			return peer.State.Cell
		case other == "":
			other = peer.State.Cell
		}
	}
	if other != "" {
		return other
	}
	return own.Cell
}

// guaranteedCell returns a live cell in which a guarantee of the team covers the job.
func (s *Server) guaranteedCell(spec model.JobSpec, now time.Time) (string, bool) {
	for _, g := range s.config.Current().Guarantees {
		covers := g.Team == spec.Key.Team && g.Shape.Accelerators >= spec.Shape.Accelerators &&
			g.Shape.Adjacency.Level() <= spec.Shape.Adjacency.Level()
		if covers && len(s.table.RendezvousOrder(g.Cell, now)) > 0 {
			return g.Cell, true
		}
	}
	return "", false
}

func serves(g protocol.EntryState, service string) bool {
	for _, l := range g.Loads {
		if l.Service == service {
			return true
		}
	}
	return false
}

// jobKey reads the key of a job call and checks that the principal may see it.
func (s *Server) jobKey(r *http.Request, p principal) (model.JobKey, error) {
	vars := mux.Vars(r)
	key := model.JobKey{Team: vars["team"], ID: vars["id"]}
	if !p.mayActFor(key.Team) {
		// Not "forbidden", which would tell that the other team has such a job.
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
		return reply{}, fromJobs(err)
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
		return reply{}, fromJobs(err)
	}
	klog.InfoS("Cancelled job", "job", key, "state", record.Job.State, "operator", p.operator)
	return reply{http.StatusOK, api.JobReply{Job: record.Job}}, nil
}

// waitJob answers when the job has finished or the wait has passed.
func (s *Server) waitJob(r *http.Request, p principal) (reply, error) {
	key, err := s.jobKey(r, p)
	if err != nil {
		return reply{}, err
	}
	wait, err := waitOf(r)
	if err != nil {
		return reply{}, err
	}
	record, err := s.jobs.Get(r.Context(), key)
	if err != nil {
		return reply{}, fromJobs(err)
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

func waitOf(r *http.Request) (time.Duration, error) {
	text := r.URL.Query().Get(api.ParamTimeout)
	if text == "" {
		return maxWait, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 0 {
		return 0, apiError(http.StatusBadRequest, api.CodeBadRequest, "%s=%q is not a number of milliseconds", api.ParamTimeout, text)
	}
	return min(maxWait, time.Duration(min(ms, maxWait.Milliseconds()))*time.Millisecond), nil
}

// awaitJob waits at the owner of the job's cell, which costs the platform nothing. If no owner answers it
// reads the record after a pause.
func (s *Server) awaitJob(ctx context.Context, job model.Job) model.Job {
	key := job.Spec.Key
	if newer, known, err := s.ownerWait(ctx, job); err == nil && known {
		return newer
	}
	if record, err := s.jobs.Get(ctx, key); err == nil {
		job = record.Job
	}
	if job.State != model.JobFinished {
		select {
		case <-ctx.Done():
		case <-time.After(waitPoll):
		}
	}
	return job
}

var errNoOwner = errors.New("entry: no owner is known for the cell")

func (s *Server) ownerWait(ctx context.Context, job model.Job) (model.Job, bool, error) {
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
	ctx, cancel := context.WithTimeout(ctx, timeout+ownerCallSlack)
	defer cancel()
	var answer protocol.WaitReply
	err := s.peers.CallAddress(ctx, owner.Address, protocol.MethodWait, protocol.WaitArgs{Job: job.Spec.Key, Timeout: timeout}, &answer)
	return answer.Job, answer.Known, err
}
