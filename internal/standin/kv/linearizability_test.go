package kv_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"masticcart.example/masticcart/internal/kvstore"
	"masticcart.example/masticcart/internal/kvstore/memstore"
)

const (
	clients      = 6
	opsPerClient = 150
	opsPerPhase  = 45
	testKey      = "k"
)

var outcomes = []error{nil, kvstore.ErrConflict, kvstore.ErrUnavailable, kvstore.ErrUnknownOutcome}

// op is one call on testKey: a get, a put of a value that no other put writes, or a delete. expect is the revision that
// a put or delete requires.
type op struct {
	kind   memstore.CallKind
	expect kvstore.Revision
	value  string
}

// result is the outcome of an op. revision is that of the entry that was read or written.
type result struct {
	err      error
	revision kvstore.Revision
	value    string
}

// register is the state of testKey. global counts all writes; revision is zero while the key does not exist.
type register struct {
	global, revision kvstore.Revision
	value            string
}

// model is a compare-and-swap register. A write with an unknown outcome may be linearized at any later time; one
// without effect is linearized at the end of the history.
var model = porcupine.Model{
	Init: func() any { return register{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(register), input.(op), output.(result)
		if in.kind == memstore.CallGet {
			return matchesState(out, s), s
		}
		next, err := s.write(in)
		if errors.Is(out.err, kvstore.ErrUnknownOutcome) {
			return true, next
		}
		if err != nil || out.err != nil {
			return errors.Is(out.err, err), next
		}
		return in.kind == memstore.CallDelete || out.revision == next.revision, next
	},
}

func (s register) write(in op) (register, error) {
	switch {
	case in.kind == memstore.CallDelete && s.revision == 0:
		return s, kvstore.ErrNotFound
	case in.expect != s.revision:
		return s, kvstore.ErrConflict
	case in.kind == memstore.CallDelete:
		return register{global: s.global + 1}, nil
	}
	return register{global: s.global + 1, revision: s.global + 1, value: in.value}, nil
}

// matchesState reports whether out is the correct result of a get in state s.
func matchesState(out result, s register) bool {
	if s.revision == 0 {
		return errors.Is(out.err, kvstore.ErrNotFound)
	}
	return out.err == nil && out.revision == s.revision && out.value == s.value
}

// history records the operations of all clients for the linearizability checker.
type history struct {
	start       time.Time
	calls       atomic.Int64
	mu          sync.Mutex
	ops         []porcupine.Operation
	errorCounts map[error]int
}

// record adds an operation. One that is reported as without effect is omitted: if it had an effect, the checker finds a
// revision or a value that no operation wrote.
func (h *history) record(client int, in op, out result, call, end time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, err := range outcomes {
		if errors.Is(out.err, err) {
			h.errorCounts[err]++
		}
	}
	if errors.Is(out.err, kvstore.ErrUnavailable) {
		return
	}
	if errors.Is(out.err, kvstore.ErrUnknownOutcome) {
		end = math.MaxInt64
	}
	h.ops = append(h.ops, porcupine.Operation{
		ClientId: client, Input: in, Output: out, Call: int64(call), Return: int64(end)})
}

// boundedOperations returns the operations and shortens the intervals of writes with an unknown outcome as far as the
// other results allow, since the checker's run time grows exponentially with the number of open operations. This hides
// no violation:
//   - A put took effect before its value was read. No client can overwrite a value without having read its revision, so
//     if no call up to the last get read the value, the put had no effect before that get and is omitted.
//   - A delete can take effect only until a revision later than the expected one has been returned.
func (h *history) boundedOperations() []porcupine.Operation {
	var ops []porcupine.Operation
	for _, o := range h.ops {
		if out := o.Output.(result); errors.Is(out.err, kvstore.ErrUnknownOutcome) {
			in := o.Input.(op)
			for _, p := range h.ops {
				if seen := p.Output.(result); seen.err == nil && in.isResolvedBy(p.Input.(op), seen) {
					o.Return = min(o.Return, max(p.Return, o.Call+1))
				}
			}
			if in.kind == memstore.CallPut && o.Return == math.MaxInt64 {
				continue
			}
		}
		ops = append(ops, o)
	}
	return ops
}

// isResolvedBy reports whether the result of another call shows that the write took effect before the end of that call
// or never takes effect.
func (o op) isResolvedBy(in op, seen result) bool {
	if o.kind == memstore.CallDelete {
		return seen.revision > o.expect
	}
	return in.kind == memstore.CallGet && seen.value == o.value
}

// TestLinearizable guards against failures that the HTTP client of the store maps to the wrong error: a write with an
// effect that is reported as without one, a repeated write, or the answer to another call. Concurrent clients use one
// key while answers are lost, calls take longer than the timeout, the service closes connections and its port is
// closed.
func TestLinearizable(t *testing.T) {
	service := startService(t)
	store := kvstore.NewHTTP([]string{service.address}, 40*time.Millisecond, nil)
	defer store.Close()
	h := &history{start: time.Now(), errorCounts: map[error]int{}}
	var group sync.WaitGroup
	for client := range clients {
		group.Go(func() { runClient(client, store, service, h) })
	}
	group.Wait()
	stats := service.store.Stats()
	if calls, seen := int64(clients*opsPerClient), stats.Reads+stats.Writes; seen > calls {
		t.Errorf("the service saw %d calls, the clients made %d", seen, calls)
	}
	service.setPhase(0)
	for last := (result{err: kvstore.ErrUnavailable}); errors.Is(last.err, kvstore.ErrUnavailable); {
		last = callAndRecord(clients, store, op{kind: memstore.CallGet}, h)
	}
	for _, err := range outcomes {
		if h.errorCounts[err] == 0 {
			t.Errorf("no call ended with %v", err)
		}
	}
	ops := h.boundedOperations()
	if got := porcupine.CheckOperationsTimeout(model, ops, time.Minute); got != porcupine.Ok {
		t.Fatalf("linearizability of %d operations: %v", len(ops), got)
	}
}

// runClient makes random calls. After every opsPerPhase calls of all clients together the service enters the next
// phase.
func runClient(client int, store kvstore.Store, service *service, h *history) {
	random := rand.New(rand.NewPCG(1, uint64(client)))
	var known kvstore.Revision
	for i := range opsPerClient {
		if n := h.calls.Add(1); n%opsPerPhase == 0 {
			service.setPhase(int(n / opsPerPhase))
		}
		in := op{kind: memstore.CallPut, expect: known, value: fmt.Sprintf("%d-%d", client, i)}
		switch p := random.IntN(10); {
		case p < 4:
			in = op{kind: memstore.CallGet}
		case p == 4 && known != 0:
			in = op{kind: memstore.CallDelete, expect: known}
		}
		out := callAndRecord(client, store, in, h)
		if out.err == nil || errors.Is(out.err, kvstore.ErrNotFound) {
			known = out.revision
		}
	}
}

// callAndRecord executes an operation and records it in the history.
func callAndRecord(client int, store kvstore.Store, in op, h *history) result {
	begin := time.Since(h.start)
	out := execute(store, in)
	h.record(client, in, out, begin, time.Since(h.start))
	return out
}

func execute(store kvstore.Store, in op) (out result) {
	ctx := context.Background()
	switch in.kind {
	case memstore.CallGet:
		var e kvstore.Entry
		e, out.err = store.Get(ctx, testKey)
		out.revision, out.value = e.Revision, string(e.Value)
	case memstore.CallDelete:
		out.err = store.Delete(ctx, testKey, in.expect)
	default:
		out.revision, out.err = store.Put(ctx, testKey, []byte(in.value), in.expect, 0)
	}
	return out
}
