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

// op is one call on testKey: a get, a put of a value that is written only once, or a delete.
type op struct {
	kind   memstore.CallKind
	expect kvstore.Revision
	value  string
}

// result is the outcome of an op. The revision is that of the entry read or written.
type result struct {
	err      error
	revision kvstore.Revision
	value    string
}

// register is the state of the only key: global counts all writes, revision is zero while the key does not exist.
type register struct {
	global, revision kvstore.Revision
	value            string
}

// model is a compare-and-swap register. A write with an unknown outcome may be linearized at any later time, at the
// end of the history if it had no effect.
var model = porcupine.Model{
	Init: func() any { return register{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(register), input.(op), output.(result)
		if in.kind == memstore.CallGet {
			return matches(out, s), s
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

func matches(out result, s register) bool {
	if s.revision == 0 {
		return errors.Is(out.err, kvstore.ErrNotFound)
	}
	return out.err == nil && out.revision == s.revision && out.value == s.value
}

// history records operations for the checker.
type history struct {
	start time.Time
	done  atomic.Int64
	mu    sync.Mutex
	ops   []porcupine.Operation
	count map[error]int
}

// record adds an operation. One that took no effect is left out: if it did have one, the checker finds a revision or
// a value that no operation wrote.
func (h *history) record(client int, in op, out result, call, end time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, err := range outcomes {
		if errors.Is(out.err, err) {
			h.count[err]++
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

// bounded returns the operations with the shortest intervals that are certain for writes with unknown outcomes, since
// the checker's time grows exponentially with the number of open operations. Nothing is lost by it:
//   - A put took effect before its value was read. Nobody can overwrite a value without having read its revision, so
//     if no call up to the last get read it, the put had no effect before that get and is left out.
//   - A delete can have an effect only until a later revision than the expected one was seen.
func (h *history) bounded() []porcupine.Operation {
	var ops []porcupine.Operation
	for _, o := range h.ops {
		if out := o.Output.(result); errors.Is(out.err, kvstore.ErrUnknownOutcome) {
			in := o.Input.(op)
			for _, p := range h.ops {
				if seen := p.Output.(result); seen.err == nil && in.decidedBy(p.Input.(op), seen) {
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

// decidedBy reports whether the write had its effect before the end of another call, or never has one.
func (o op) decidedBy(in op, seen result) bool {
	if o.kind == memstore.CallDelete {
		return seen.revision > o.expect
	}
	return in.kind == memstore.CallGet && seen.value == o.value
}

// TestLinearizable guards against a wrong translation of failures by the adapter: a write reported as without effect
// that had one, a repeated write, or an answer to another call. Clients race while answers are lost, calls are slower
// than the timeout, the service drops connections and its port is closed.
func TestLinearizable(t *testing.T) {
	service := startService(t)
	store := kvstore.NewHTTP([]string{service.address}, 40*time.Millisecond, nil)
	defer store.Close()
	h := &history{start: time.Now(), count: map[error]int{}}
	var group sync.WaitGroup
	for client := range clients {
		group.Go(func() { runClient(client, store, service, h) })
	}
	group.Wait()
	stats := service.store.Stats()
	if calls, seen := int64(clients*opsPerClient), stats.Reads+stats.Writes; seen > calls {
		t.Errorf("the service saw %d calls, the clients made %d", seen, calls)
	}
	service.phase(0)
	for last := (result{err: kvstore.ErrUnavailable}); errors.Is(last.err, kvstore.ErrUnavailable); {
		last = call(clients, store, op{kind: memstore.CallGet}, h)
	}
	for _, err := range outcomes {
		if h.count[err] == 0 {
			t.Errorf("no call ended with %v", err)
		}
	}
	ops := h.bounded()
	if got := porcupine.CheckOperationsTimeout(model, ops, time.Minute); got != porcupine.Ok {
		t.Fatalf("linearizability of %d operations: %v", len(ops), got)
	}
}

// runClient makes random calls; the count of calls of all clients moves the service from one phase to the next.
func runClient(client int, store kvstore.Store, service *service, h *history) {
	random := rand.New(rand.NewPCG(1, uint64(client)))
	var known kvstore.Revision
	for i := range opsPerClient {
		if n := h.done.Add(1); n%opsPerPhase == 0 {
			service.phase(int(n / opsPerPhase))
		}
		in := op{kind: memstore.CallPut, expect: known, value: fmt.Sprintf("%d-%d", client, i)}
		switch p := random.IntN(10); {
		case p < 4:
			in = op{kind: memstore.CallGet}
		case p == 4 && known != 0:
			in = op{kind: memstore.CallDelete, expect: known}
		}
		out := call(client, store, in, h)
		if out.err == nil || errors.Is(out.err, kvstore.ErrNotFound) {
			known = out.revision
		}
	}
}

// call carries out an operation and records it.
func call(client int, store kvstore.Store, in op, h *history) result {
	begin := time.Since(h.start)
	out := carryOut(store, in)
	h.record(client, in, out, begin, time.Since(h.start))
	return out
}

func carryOut(store kvstore.Store, in op) (out result) {
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
