package executor

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// TestSlots guards against more concurrent runs than slots, slots that are never released, starts that are not counted,
// and answers that are truncated or belong to another request.
func TestSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New("vzornik", 8)
		replies, rejected := make(chan RunResponse, 10), make(chan error, 10)
		for i := range 10 {
			go func() {
				r, err := s.run(t.Context(), request(fmt.Sprintf("r%d", i), `{"work_ms":1000,"output_bytes":100}`))
				if err != nil {
					rejected <- err
					return
				}
				replies <- r
			}()
		}
		synctest.Wait()
		if status := s.Status(); status.Busy != 8 || status.Started != 8 || len(status.Runs) != 8 || len(rejected) != 2 {
			t.Fatalf("status %+v, %d rejected, want 8 runs and 2 rejected", status, len(rejected))
		}
		for range 8 {
			r := <-replies
			var text string
			if !r.OK || json.Unmarshal(r.Output, &text) != nil || len(text) != 100 || text[:2] != r.ID {
				t.Errorf("reply %+v", r)
			}
		}
		if err := <-rejected; !errors.Is(err, errNoFreeSlot) {
			t.Errorf("error %v, want %v", err, errNoFreeSlot)
		}
		if busy := s.Status().Busy; busy != 0 {
			t.Errorf("%d slots are busy after all runs", busy)
		}
	})
}

// TestDisconnect guards against runs that end when the caller disconnects although abort_on_disconnect is not set, and
// against runs that do not end although it is.
func TestDisconnect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New("vzornik", 1)
		s.faults.SlowFactor = 2
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		begin := time.Now()
		r, err := s.run(ctx, request("a", `{"work_ms":2000}`))
		if took := time.Since(begin); err != nil || !r.OK || took != 4*time.Second {
			t.Errorf("%+v after %s, error %v", r, took, err)
		}
		r, err = s.run(ctx, request("b", `{"work_ms":2000,"abort_on_disconnect":true}`))
		if took := time.Since(begin); err != nil || r.OK || took != 4*time.Second {
			t.Errorf("%+v after %s, error %v", r, took, err)
		}
	})
}

// TestConnectionLimit guards against more open connections than allowed, and against closed connections that still
// count towards the limit.
func TestConnectionLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := LimitListener(pipeListener{}, 2)
		accepted := make(chan net.Conn, 10)
		ended := make(chan error)
		go func() {
			conn, err := l.Accept()
			for ; err == nil; conn, err = l.Accept() {
				accepted <- conn
			}
			ended <- err
		}()
		for range 3 {
			synctest.Wait()
			if len(accepted) != 2 {
				t.Fatalf("%d connections are open, want 2", len(accepted))
			}
			conn := <-accepted
			if err := errors.Join(conn.Close(), conn.Close()); err != nil { // the second call must have no effect
				t.Error(err)
			}
		}
		synctest.Wait()
		if err := l.Close(); err != nil {
			t.Error(err)
		}
		if err := <-ended; !errors.Is(err, net.ErrClosed) || len(accepted) != 2 {
			t.Errorf("accept ended with %v and %d connections", err, len(accepted))
		}
	})
}

// pipeListener returns a new connection on every call of Accept.
type pipeListener struct{ net.Listener }

func (pipeListener) Accept() (net.Conn, error) {
	conn, _ := net.Pipe()
	return conn, nil
}

func (pipeListener) Close() error { return nil }

func request(id, payload string) RunRequest {
	return RunRequest{ID: id, Kind: "k", Payload: json.RawMessage(payload)}
}
