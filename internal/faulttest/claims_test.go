package faulttest_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"masticcart.example/masticcart/internal/jobs"
	"masticcart.example/masticcart/internal/model"
)

// Concurrent operations on one job record.
const (
	opSubmit = "submit"
	opClaim  = "claim" // accepted -> claimed by one owner
	opRead   = "read"
	opCancel = "cancel"
)

type claimCall struct {
	op    string
	owner int
}

// claimAnswer is the result that the caller received. An operation with an unknown result may have taken effect. A
// conflict proves that the record had changed; other failures prove only that the operation had no effect.
type claimAnswer struct {
	ok, unknown, conflict bool

	state claimState
}

// claimState is the state of the porcupine model: the state of the job record and the owner of its claim.
type claimState struct {
	state model.JobState
	owner int
}

var claimModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{claimState{}} },
	Step: func(state, input, result any) []any {
		s, in, out := state.(claimState), input.(claimCall), result.(claimAnswer)
		next, applies := s, false
		switch {
		case in.op == opSubmit && s.state == "":
			next, applies = claimState{state: model.JobAccepted}, true
		case in.op == opClaim && s.state == model.JobAccepted:
			next, applies = claimState{model.JobClaimed, in.owner}, true
		case in.op == opCancel && s.state == model.JobAccepted:
			next, applies = claimState{state: model.JobFinished}, true
		}
		switch {
		case in.op == opRead && (out.unknown || out.state == s):
			return []any{s}
		case in.op == opRead:
			return nil
		case out.unknown && applies:
			return []any{s, next}
		case out.unknown:
			return []any{s}
		case in.op == opClaim && (out.ok && !applies || out.conflict && applies):
			return nil
		case in.op == opSubmit && out.ok && !applies && s.state == "":
			return nil
		case in.op == opCancel && out.ok && s.state == "":
			return nil
		case out.ok && applies:
			return []any{next}
		}
		return []any{s}
	},
	Equal:             func(a, b any) bool { return a == b },
	DescribeOperation: func(in, out any) string { return fmt.Sprintf("%+v: %+v", in, out) },
}

// claimRace runs concurrent operations of several clients on one job in virtual time and keeps their history.
type claimRace struct {
	*sim
	kv      *kvService
	history []porcupine.Operation
	claims  int
}

// record runs an operation and adds it to the history. An operation with an unknown outcome may take effect at any
// later time, so its interval extends past the end of the run.
func (r *claimRace) record(client int, in claimCall, do func() claimAnswer) {
	call := r.now
	out := do()
	end := r.now
	if out.unknown {
		end = epoch.Add(24 * time.Hour)
	}
	if in.op == opClaim && out.ok {
		r.claims++
	}
	r.history = append(r.history, porcupine.Operation{ClientId: client, Input: in, Output: out,
		Call: int64(call.Sub(epoch)), Return: int64(end.Sub(epoch))})
}

var contendedJob = model.JobSpec{
	Key:   model.JobKey{Team: "a", ID: "once"},
	Kind:  "bill",
	Shape: model.Shape{Accelerators: 1, Adjacency: model.AdjacentWorker},
}

// claimAnswerFor translates an error of the store. Only ErrUnknownOutcome leaves the outcome of a write open.
func claimAnswerFor(err error) claimAnswer {
	return claimAnswer{
		ok:       err == nil,
		unknown:  errors.Is(err, jobs.ErrUnknownOutcome),
		conflict: errors.Is(err, jobs.ErrConflict),
	}
}

func (r *claimRace) submit(s *jobs.Store) claimAnswer {
	if _, _, err := s.Submit(context.Background(), contendedJob, cellName); err != nil {
		return claimAnswer{unknown: true} // the record may exist, for example when reading it back failed
	}
	return claimAnswer{ok: true}
}

// claim reads the record and writes the claim over the revision that it read, as an owner does.
func (r *claimRace) claim(s *jobs.Store, client int) {
	record, err := s.Get(context.Background(), contendedJob.Key)
	if err != nil || record.Job.State != model.JobAccepted {
		return
	}
	next := record.Job
	next.State, next.Attempt, next.Claim = model.JobClaimed, client+1, fmt.Sprint(client)
	r.record(client, claimCall{opClaim, client}, func() claimAnswer {
		_, err := s.Write(context.Background(), next, record.Revision)
		return claimAnswerFor(err)
	})
}

func (r *claimRace) read(s *jobs.Store) claimAnswer {
	record, err := s.Get(context.Background(), contendedJob.Key)
	switch {
	case errors.Is(err, jobs.ErrNotFound):
		return claimAnswer{ok: true}
	case err != nil:
		return claimAnswer{unknown: true}
	}
	state := claimState{state: record.Job.State}
	if state.state == model.JobClaimed {
		state.owner = record.Job.Attempt - 1
	}
	return claimAnswer{ok: true, state: state}
}

func (r *claimRace) cancel(s *jobs.Store) claimAnswer {
	record, err := s.Cancel(context.Background(), contendedJob.Key)
	if err == nil && record.Job.State == model.JobClaimed {
		return claimAnswer{} // the cancellation asks the owner to stop the job; the claim stays
	}
	return claimAnswerFor(err)
}

// client runs operations one after the other; only client 0 also cancels.
func (r *claimRace) client(client int, wait func(time.Duration) bool, p *proc) {
	for range 8 {
		s := r.kv.jobStore(p, wait, recordOperationTimeout)
		switch r.random.IntN(8) {
		case 0, 1:
			r.record(client, claimCall{op: opSubmit}, func() claimAnswer { return r.submit(s) })
		case 2, 3, 4:
			r.claim(s, client)
		case 5:
			if client == 0 && r.chance(0.3) {
				r.record(client, claimCall{op: opCancel}, func() claimAnswer { return r.cancel(s) })
			}
		default:
			r.record(client, claimCall{op: opRead}, func() claimAnswer { return r.read(s) })
		}
		if !wait(r.between(0, 5*time.Millisecond)) {
			return
		}
	}
}

// run runs one race and returns a history that is not linearizable, or "".
func (r *claimRace) run(seed uint64) string {
	defer r.close()
	r.kv.answerLossProbability = float64(seed%5) * 0.1
	if seed%3 == 0 {
		r.kv.maxExtraDelay = time.Duration(r.random.IntN(4000)) * time.Millisecond // can exceed platformCallTimeout
	}
	if seed%2 == 0 {
		for range 4 {
			from := r.between(0, 100*time.Millisecond)
			r.after(from, func() { r.kv.down = true })
			r.after(from+r.between(0, 20*time.Millisecond), func() { r.kv.down = false })
		}
	}
	for client := range 4 {
		p := &proc{sim: r.sim, name: fmt.Sprint("client", client)}
		p.bringUp()
		p.spawn(func(wait func(time.Duration) bool) { r.client(client, wait, p) })
	}
	r.advance(10 * time.Minute)
	r.kv.answerLossProbability, r.kv.maxExtraDelay = 0, 0
	last := &proc{sim: r.sim, name: "last"}
	last.bringUp()
	last.spawn(func(wait func(time.Duration) bool) {
		r.record(9, claimCall{op: opRead}, func() claimAnswer {
			return r.read(r.kv.jobStore(last, wait, recordOperationTimeout))
		})
	})
	r.advance(time.Minute)
	if got := porcupine.CheckOperationsTimeout(claimModel.ToModel(), r.history, 20*time.Second); got != porcupine.Ok {
		return fmt.Sprintf("seed %d: %s: %+v", seed, got, r.history)
	}
	return ""
}

// TestClaimsAreLinearizable guards against two claims of a job that is not idempotent, and against a claim that is
// reported as failed but is recorded. Several owners race while the platform loses answers, applies writes late and has
// outages.
func TestClaimsAreLinearizable(t *testing.T) {
	claims := 0
	for seed := range uint64(1000) {
		s := newSim(seed)
		r := &claimRace{sim: s, kv: newKVService(s, func(string, []byte) {})}
		if failure := r.run(seed); failure != "" {
			t.Fatal(failure)
		}
		claims += r.claims
	}
	if claims == 0 {
		t.Fatal("no claim succeeded")
	}
	t.Logf("%d claims", claims)
}
