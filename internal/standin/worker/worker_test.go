package worker

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// TestTasks guards against tasks that outlive their lease or lose it although it is renewed, against accelerators that
// are assigned twice or never released, and against wrong times in the history and the usage. The clock is virtual.
func TestTasks(t *testing.T) {
	now := time.Unix(1000, 0).UTC()
	start := now
	s := New(Config{CheckpointTime: time.Millisecond, Now: func() time.Time { return now }})
	at := func(d time.Duration) { now = start.Add(d) }
	call := func(status int, method, path, body, want string) {
		t.Helper()
		w := httptest.NewRecorder()
		s.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
		if w.Code != status || !strings.Contains(w.Body.String(), want) {
			t.Fatalf("%s %s: %d %s, want %d with %s", method, path, w.Code, w.Body, status, want)
		}
	}
	post := func(status int, path, body, want string) { t.Helper(); call(status, http.MethodPost, path, body, want) }
	get := func(path, want string) { t.Helper(); call(http.StatusOK, http.MethodGet, path, "null", want) }

	post(200, "/tasks", `{"id":"a/1","accelerators":6,"lease_ms":4000,"payload":{"work_ms":9000,"resume_ms":1000}}`, `"running"`)
	post(409, "/tasks", `{"id":"a/1","accelerators":1,"lease_ms":4000}`, "running")
	post(507, "/tasks", `{"id":"b","accelerators":3,"lease_ms":4000}`, "2 free")
	post(200, "/tasks", `{"id":"b","accelerators":2,"lease_ms":4000,"payload":{"work_ms":60000}}`, `"running"`)
	post(400, "/tasks", `{"id":"c","accelerators":1}`, "lease_ms")
	at(3 * time.Second)
	post(200, "/tasks/a%2F1/renew", `{"lease_ms":4000}`, `"progress_ms":4000`)
	post(200, "/tasks/a%2F1/throttle", `{"share":0.5}`, `"running"`)
	at(4 * time.Second) // the lease of b expires, a/1 continues at half speed
	get("/tasks/b", `"lease_expired"`)
	post(409, "/tasks/b/renew", `{"lease_ms":4000}`, "lease_expired")
	post(409, "/tasks/b/checkpoint", "null", "lease_expired")
	post(200, "/tasks/a%2F1/checkpoint", "null", `"progress_ms":4500`)
	post(200, "/tasks", `{"id":"b","accelerators":2,"lease_ms":90000,"payload":{"work_ms":500,"fail":true}}`, `"running"`)
	at(5 * time.Second)
	get("/tasks/b", `"failed"`)
	get("/usage", `"at":"1970-01-01T00:16:43Z","accelerators":8,"busy":8,"tasks":[{"id":"a/1","accelerators":6,"share":0.5}`)
	post(200, "/tasks/a%2F1/throttle", `{"share":1}`, `"progress_ms":5000`)
	post(200, "/tasks/a%2F1/renew", `{"lease_ms":4000}`, "")
	at(9 * time.Second) // the work is done exactly when the lease expires, which counts as done
	get("/tasks/a%2F1", `"done"`)
	get("/tasks", `"output":"a/1"`)
	post(200, "/admin/faults", `{"fail_all":true}`, "true")
	post(200, "/tasks", `{"id":"c","accelerators":8,"lease_ms":4000,"payload":{"work_ms":9000}}`, `"failed"`)
	post(200, "/admin/faults", `{"fail_all":false}`, "false")
	post(200, "/tasks", `{"id":"d","accelerators":8,"lease_ms":4000,"payload":{"work_ms":9000}}`, `"running"`)
	at(10 * time.Second)
	post(200, "/tasks/d/stop", "null", `"stopped"`)
	post(200, "/tasks/d/stop", "null", `"progress_ms":1000`)
	post(404, "/tasks/e/stop", "null", "not found")

	checkHistory(t, s, start, "[a/1:0s-9s b:0s-4s b:4s-4.5s c:9s-9s d:9s-10s]")
	for i := range 2 * MaxEndedTasks {
		post(200, "/tasks", fmt.Sprintf(`{"id":"n%d","accelerators":1,"lease_ms":1}`, i), `"done"`)
	}
	if n := len(s.list()); n != MaxEndedTasks {
		t.Errorf("%d ended tasks are kept, want %d", n, MaxEndedTasks)
	}
}

func checkHistory(t *testing.T, s *Server, start time.Time, want string) {
	t.Helper()
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/status", nil))
	var status Status
	if err := json.Unmarshal(w.Body.Bytes(), &status); err != nil {
		t.Fatal(err)
	}
	var runs []string
	for _, r := range status.History {
		runs = append(runs, fmt.Sprintf("%s:%s-%s", r.ID, r.Start.Sub(start), r.Stop.Sub(start)))
	}
	if got := fmt.Sprint(runs); got != want || status.Busy != 0 {
		t.Errorf("history %s with %d busy, want %s", got, status.Busy, want)
	}
}
