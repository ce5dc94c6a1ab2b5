package client

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"masticcart.example/masticcart/internal/client/api"
	"masticcart.example/masticcart/internal/model"
)

// fakeEntry records each call and sends the same reply to all of them.
type fakeEntry struct {
	*httptest.Server
	mu     sync.Mutex
	bodies []string // Authorization header and body of each call
}

// Replies of a fakeEntry that are not JSON.
const (
	replyAborted   = "cut"  // the connection is closed after the call has been read
	replyErrorPage = "page" // an error page of a load balancer
)

func newFakeEntry(t *testing.T, status int, reply string) *fakeEntry {
	e := &fakeEntry{}
	e.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		e.mu.Lock()
		defer e.mu.Unlock()
		e.bodies = append(e.bodies, r.Header.Get("Authorization")+" "+string(data))
		if reply == replyAborted {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, reply)
	}))
	t.Cleanup(e.Close)
	return e
}

func errorBody(code string) string {
	data, _ := json.Marshal(api.ErrorReply{Error: "text", Code: code})
	return string(data)
}

// TestFailover guards against changes that are applied twice, retries of a request with another body, and "not run"
// reported for a call that may have run.
func TestFailover(t *testing.T) {
	const (
		unreachable = 0
		done        = `{"result":"done","ran":true}`
		refused     = `{"result":"refused","ran":false,"reason":"full"}`
	)
	type response struct {
		status int
		body   string
	}
	for name, c := range map[string]struct {
		isChange       bool
		responses      []response
		attempts       int          // attempts that the entries received
		result         model.Result // of a request; empty for a change or an error
		unknownOutcome bool
		errorCode      string // of the expected error reply; empty for none
	}{
		"failover from an unreachable entry": {
			responses: []response{{unreachable, ""}, {200, done}}, attempts: 1, result: model.ResultDone,
		},
		"retry after a lost reply": {
			responses: []response{{200, replyAborted}, {200, done}}, attempts: 2, result: model.ResultDone,
		},
		"refused": {
			responses: []response{{200, refused}}, attempts: 1, result: model.ResultRefused,
		},
		"refused after an unreachable entry": {
			responses: []response{{unreachable, ""}, {200, refused}}, attempts: 1, result: model.ResultRefused,
		},
		"refused after a lost reply": {
			responses: []response{{200, replyAborted}, {200, refused}}, attempts: 2, result: model.ResultUnknown,
		},
		"refused after an error page": {
			responses: []response{{502, replyErrorPage}, {200, refused}}, attempts: 2, result: model.ResultUnknown,
		},
		"unreachable": {
			responses: []response{{unreachable, ""}, {unreachable, ""}},
		},
		"unreachable entry after a lost reply": {
			responses: []response{{200, replyAborted}, {unreachable, ""}}, attempts: 1, unknownOutcome: true,
		},
		"unavailable after a lost reply": {
			responses: []response{{200, replyAborted}, {503, errorBody(api.CodeUnavailable)}},
			attempts:  2, unknownOutcome: true,
		},
		"failover from an unavailable entry": {
			responses: []response{{503, errorBody(api.CodeUnavailable)}, {200, done}},
			attempts:  2, result: model.ResultDone,
		},
		"no failover after forbidden": {
			responses: []response{{403, errorBody(api.CodeForbidden)}, {200, done}},
			attempts:  1, errorCode: api.CodeForbidden,
		},
		"redirect is not followed": {
			responses: []response{{307, replyErrorPage}}, attempts: 1, unknownOutcome: true,
		},
		"change: failover from an unreachable entry": {
			isChange: true, responses: []response{{unreachable, ""}, {200, "{}"}}, attempts: 1,
		},
		"change: no retry after a lost reply": {
			isChange: true, responses: []response{{200, replyAborted}, {200, "{}"}}, attempts: 1, unknownOutcome: true,
		},
		"change: no failover after an error reply": {
			isChange: true, responses: []response{{503, errorBody(api.CodeUnavailable)}, {200, "{}"}},
			attempts: 1, errorCode: api.CodeUnavailable,
		},
		"change: invalid reply": {
			isChange: true, responses: []response{{200, "{"}}, attempts: 1, unknownOutcome: true,
		},
		"id conflict after a lost reply is not unknown": {
			responses: []response{{200, replyAborted}, {409, errorBody(api.CodeIDConflict)}},
			attempts:  2, errorCode: api.CodeIDConflict,
		},
	} {
		t.Run(name, func(t *testing.T) {
			var addresses, bodies []string
			var entries []*fakeEntry
			for _, a := range c.responses {
				e := newFakeEntry(t, max(a.status, 100), a.body)
				if a.status == unreachable {
					e.Close()
				}
				entries = append(entries, e)
				addresses = append(addresses, e.URL)
			}
			cl, err := New(Options{Entries: addresses, Token: "secret"})
			if err != nil {
				t.Fatal(err)
			}
			defer cl.Close()
			var o model.Outcome
			if c.isChange {
				_, err = cl.Change(context.Background(), api.ChangeBody{Base: 3, Commands: "create team a"})
			} else {
				o, err = cl.Request(context.Background(), api.RequestBody{ID: "1", Team: "a", Kind: "k", TimeoutMS: 1000})
			}
			for _, e := range entries {
				e.mu.Lock()
				bodies = append(bodies, e.bodies...)
				e.mu.Unlock()
			}
			if len(bodies) != c.attempts {
				t.Fatalf("entries received %d attempts, want %d", len(bodies), c.attempts)
			}
			for _, b := range bodies {
				if b != bodies[0] || !strings.HasPrefix(b, "Bearer secret {") {
					t.Errorf("attempt sent %q, first attempt sent %q", b, bodies[0])
				}
			}
			var reply *ReplyError
			errors.As(err, &reply)
			switch {
			case o.Result != c.result:
				t.Errorf("outcome %+v, want result %q", o, c.result)
			case o.Result == model.ResultUnknown && !o.Ran:
				t.Errorf("unknown outcome is marked as not run: %+v", o)
			case c.unknownOutcome != errors.Is(err, ErrUnknownOutcome):
				t.Errorf("error %v, want unknown outcome: %t", err, c.unknownOutcome)
			case c.errorCode != "" && (reply == nil || reply.Code != c.errorCode):
				t.Errorf("error %v, want code %s", err, c.errorCode)
			case c.attempts == 0 && !errors.Is(err, ErrUnreachable):
				t.Errorf("error %v, want ErrUnreachable", err)
			case err != nil && HadNoEffect(err) == c.unknownOutcome:
				t.Errorf("HadNoEffect is %t for %v", HadNoEffect(err), err)
			}
		})
	}
}

// TestWaitFinished guards against a wait that returns before the job has finished, for example on an error of a proxy.
func TestWaitFinished(t *testing.T) {
	calls := 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls++
		job := model.Job{State: model.JobAccepted}
		if calls == 2 {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		if calls == 3 {
			job.State = model.JobFinished
		}
		if r.URL.String() != "/v1/jobs/a/1/wait?timeout_ms=20000" {
			t.Errorf("unexpected URL %s", r.URL)
		}
		_ = json.NewEncoder(w).Encode(api.JobReply{Job: job})
	}))
	defer s.Close()
	c, _ := New(Options{Entries: []string{strings.TrimPrefix(s.URL, "http://")}})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	job, err := c.WaitFinished(ctx, model.JobKey{Team: "a", ID: "1"})
	if err != nil || job.State != model.JobFinished || calls != 3 {
		t.Errorf("state %s, error %v after %d calls, want a finished job after 3", job.State, err, calls)
	}
}
