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

// entry is a stand-in that records the bodies it reads and answers as told.
type entry struct {
	*httptest.Server
	mu     sync.Mutex
	bodies []string
}

// The answers of a stand-in besides a JSON reply.
const (
	answerCut  = "cut"  // the connection breaks after the call was read
	answerPage = "page" // an error page of a load balancer
)

func newEntry(t *testing.T, status int, answer string) *entry {
	e := &entry{}
	e.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		e.mu.Lock()
		defer e.mu.Unlock()
		e.bodies = append(e.bodies, r.Header.Get("Authorization")+" "+string(data))
		if answer == answerCut {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, answer)
	}))
	t.Cleanup(e.Close)
	return e
}

func errorBody(code string) string {
	data, _ := json.Marshal(api.ErrorReply{Error: "text", Code: code})
	return string(data)
}

// TestFailover guards against changes that are applied twice, requests that are re-sent with another body, and "not
// run" reported for a call that may have run.
func TestFailover(t *testing.T) {
	const (
		dead    = 0
		done    = `{"result":"done","ran":true}`
		refused = `{"result":"refused","ran":false,"reason":"full"}`
	)
	type answer struct {
		status int
		body   string
	}
	for name, c := range map[string]struct {
		change  bool
		entries []answer
		calls   int          // attempts that entries read
		result  model.Result // of a request
		unknown bool
		code    string // of an error reply
	}{
		"next after dead entry":          {entries: []answer{{dead, ""}, {200, done}}, calls: 1, result: model.ResultDone},
		"next after lost answer":         {entries: []answer{{200, answerCut}, {200, done}}, calls: 2, result: model.ResultDone},
		"refused":                        {entries: []answer{{200, refused}}, calls: 1, result: model.ResultRefused},
		"refused after dead entry":       {entries: []answer{{dead, ""}, {200, refused}}, calls: 1, result: model.ResultRefused},
		"refused after lost answer":      {entries: []answer{{200, answerCut}, {200, refused}}, calls: 2, result: model.ResultUnknown},
		"refused after error page":       {entries: []answer{{502, answerPage}, {200, refused}}, calls: 2, result: model.ResultUnknown},
		"unreachable":                    {entries: []answer{{dead, ""}, {dead, ""}}},
		"unreachable after lost answer":  {entries: []answer{{200, answerCut}, {dead, ""}}, calls: 1, unknown: true},
		"unavailable after lost answer":  {entries: []answer{{200, answerCut}, {503, errorBody(api.CodeUnavailable)}}, calls: 2, unknown: true},
		"next after unavailable":         {entries: []answer{{503, errorBody(api.CodeUnavailable)}, {200, done}}, calls: 2, result: model.ResultDone},
		"no next after forbidden":        {entries: []answer{{403, errorBody(api.CodeForbidden)}, {200, done}}, calls: 1, code: api.CodeForbidden},
		"redirect is no answer":          {entries: []answer{{307, answerPage}}, calls: 1, unknown: true},
		"change: next after dead entry":  {change: true, entries: []answer{{dead, ""}, {200, "{}"}}, calls: 1},
		"change: no next after lost":     {change: true, entries: []answer{{200, answerCut}, {200, "{}"}}, calls: 1, unknown: true},
		"change: no next after reply":    {change: true, entries: []answer{{503, errorBody(api.CodeUnavailable)}, {200, "{}"}}, calls: 1, code: api.CodeUnavailable},
		"change: garbled answer":         {change: true, entries: []answer{{200, "{"}}, calls: 1, unknown: true},
		"conflict proves it was not run": {entries: []answer{{200, answerCut}, {409, errorBody(api.CodeIDConflict)}}, calls: 2, code: api.CodeIDConflict},
	} {
		t.Run(name, func(t *testing.T) {
			var addresses, bodies []string
			var entries []*entry
			for _, a := range c.entries {
				e := newEntry(t, max(a.status, 100), a.body)
				if a.status == dead {
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
			if c.change {
				_, err = cl.Change(context.Background(), api.ChangeBody{Base: 3, Commands: "create team a"})
			} else {
				o, err = cl.Request(context.Background(), api.RequestBody{ID: "1", Team: "a", Kind: "k", TimeoutMS: 1000})
			}
			for _, e := range entries {
				e.mu.Lock()
				bodies = append(bodies, e.bodies...)
				e.mu.Unlock()
			}
			if len(bodies) != c.calls {
				t.Fatalf("entries read %d attempts, want %d", len(bodies), c.calls)
			}
			for _, b := range bodies {
				if b != bodies[0] || !strings.HasPrefix(b, "Bearer secret {") {
					t.Errorf("sent %q after %q", b, bodies[0])
				}
			}
			var reply *ReplyError
			errors.As(err, &reply)
			switch {
			case o.Result != c.result:
				t.Errorf("got %+v, want %q", o, c.result)
			case o.Result == model.ResultUnknown && !o.Ran:
				t.Errorf("an unknown outcome says that it did not run: %+v", o)
			case c.unknown != errors.Is(err, ErrUnknownOutcome):
				t.Errorf("got %v, want unknown %t", err, c.unknown)
			case c.code != "" && (reply == nil || reply.Code != c.code):
				t.Errorf("got %v, want %s", err, c.code)
			case c.calls == 0 && !errors.Is(err, ErrUnreachable):
				t.Errorf("got %v, want unreachable", err)
			case err != nil && HadNoEffect(err) == c.unknown:
				t.Errorf("not run %t for %v", HadNoEffect(err), err)
			}
		})
	}
}

// TestWaitFinished guards against a wait that gives up, or reports an end, while the job has not finished.
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
			t.Errorf("got %s", r.URL)
		}
		_ = json.NewEncoder(w).Encode(api.JobReply{Job: job})
	}))
	defer s.Close()
	c, _ := New(Options{Entries: []string{strings.TrimPrefix(s.URL, "http://")}})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	job, err := c.WaitFinished(ctx, model.JobKey{Team: "a", ID: "1"})
	if err != nil || job.State != model.JobFinished || calls != 3 {
		t.Errorf("got %s, %v after %d calls", job.State, err, calls)
	}
}
