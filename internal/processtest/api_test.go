package processtest

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"masticcart.example/masticcart/internal/client/api"
	"masticcart.example/masticcart/internal/demo"
	"masticcart.example/masticcart/internal/model"
)

const (
	// bodyBound is the time within which an entry must have read a body, with a margin for the machine.
	bodyBound = 10*time.Second + 5*time.Second
	pathTest  = "/v1/jobs/coating/mine"
	validJob  = `{"id":"%s","team":"coating","kind":"fit","service":"planner","shape":{"slots":1},"idempotent":false}`
)

// apiCall is one call and the reply that it must get.
type apiCall struct {
	name, token, method, path, body string
	status                          int
	code                            string // of an error reply
}

func job(fields string) string { return `{"id":"x","team":"coating","kind":"fit",` + fields + `}` }

func request(fields string) string {
	return `{"id":"x","team":"coating","kind":"fit","service":"planner",` + fields + `}`
}

func badCalls() []apiCall {
	const post, get = http.MethodPost, http.MethodGet
	mine := tokenOf(teamA)
	bad := func(name, path, body string) apiCall {
		return apiCall{name, mine, post, path, body, http.StatusBadRequest, api.CodeBadRequest}
	}
	return []apiCall{
		{"no token", "", post, api.PathJobs, fmt.Sprintf(validJob, "x"), 401, api.CodeUnauthorized},
		{"wrong token", "nobody", post, api.PathRequests, request(`"timeout_ms":1000`), 401, api.CodeUnauthorized},
		{"no token for a read", "", get, pathTest, "", 401, api.CodeUnauthorized},
		{"body over the limit", mine, post, api.PathJobs, job(`"shape":{"slots":1},"payload":"` + strings.Repeat("x", 2*api.MaxBodyBytes) + `"`), 413, api.CodeTooLarge},
		bad("broken JSON", api.PathJobs, `{"id":"x"`),
		bad("empty body", api.PathJobs, ""),
		bad("no object", api.PathRequests, `[1]`),
		bad("trailing data", api.PathJobs, fmt.Sprintf(validJob, "x")+`{}`),
		bad("unknown field", api.PathJobs, job(`"shape":{"slots":1},"service":"planner","priority":1`)),
		bad("wrong type", api.PathJobs, job(`"shape":{"slots":"one"},"service":"planner"`)),
		bad("not UTF-8", api.PathJobs, fmt.Sprintf(validJob, "\xff")),
		bad("deep nesting", api.PathQuery, strings.Repeat("[", 100_000)),
		{"another team", mine, post, api.PathJobs, strings.Replace(fmt.Sprintf(validJob, "x"), teamA, teamB, 1), 403, api.CodeForbidden},
		{"another team's request", mine, post, api.PathRequests, strings.Replace(request(`"timeout_ms":1000`), teamA, teamB, 1), 403, api.CodeForbidden},
		{"unknown team", demo.OperatorToken, post, api.PathJobs, strings.Replace(fmt.Sprintf(validJob, "x"), teamA, "ghosts", 1), 404, api.CodeNotFound},
		{"another team's job", tokenOf(teamB), get, pathTest, "", 404, api.CodeNotFound},
		{"wait for another team's job", tokenOf(teamB), get, pathTest + "/wait?timeout_ms=100", "", 404, api.CodeNotFound},
		{"cancel of another team's job", tokenOf(teamB), post, pathTest + "/cancel", "", 404, api.CodeNotFound},
		{"explain of another team's job", tokenOf(teamB), post, api.PathQuery, `{"query":"explain job coating/mine"}`, 404, api.CodeNotFound},
		{"same id, another body", mine, post, api.PathJobs, strings.Replace(fmt.Sprintf(validJob, "mine"), `"fit"`, `"trace"`, 1), 409, api.CodeIDConflict},
		{"operators' query", mine, post, api.PathQuery, `{"query":"show workers"}`, 403, api.CodeForbidden},
		{"operators' change", mine, post, api.PathChanges, `{"base":1,"commands":"remove team retouch"}`, 403, api.CodeForbidden},
		{"operators' read", mine, get, api.PathConfig, "", 403, api.CodeForbidden},
		bad("query that does not parse", api.PathQuery, `{"query":"show me"}`),
		bad("no shape", api.PathJobs, job(`"shape":{}`)),
		bad("both shapes", api.PathJobs, job(`"shape":{"slots":1,"accelerators":1,"adjacency":"rack"},"service":"planner"`)),
		bad("negative accelerators", api.PathJobs, job(`"shape":{"accelerators":-1,"adjacency":"rack"}`)),
		bad("huge gang", api.PathJobs, job(`"shape":{"accelerators":1000000000,"adjacency":"rack"}`)),
		bad("number out of range", api.PathJobs, job(`"shape":{"accelerators":1e30,"adjacency":"rack"}`)),
		bad("unknown adjacency", api.PathJobs, job(`"shape":{"accelerators":1,"adjacency":"planet"}`)),
		bad("two slots", api.PathJobs, job(`"shape":{"slots":2},"service":"planner"`)),
		bad("slots without a service", api.PathJobs, job(`"shape":{"slots":1}`)),
		bad("negative run time", api.PathJobs, job(`"shape":{"accelerators":1,"adjacency":"rack"},"run_time_ms":-1`)),
		bad("huge run time", api.PathJobs, job(`"shape":{"accelerators":1,"adjacency":"rack"},"run_time_ms":9223372036854775807`)),
		bad("expired deadline", api.PathJobs, job(`"shape":{"slots":1},"service":"planner","deadline_ms":-1`)),
		bad("name with a path", api.PathJobs, strings.Replace(fmt.Sprintf(validJob, "x"), `"x"`, `"../x"`, 1)),
		bad("long name", api.PathJobs, fmt.Sprintf(validJob, strings.Repeat("x", 129))),
		bad("request without time", api.PathRequests, request(`"timeout_ms":0`)),
		bad("request with an expired deadline", api.PathRequests, request(`"timeout_ms":-5`)),
		bad("request with a huge time", api.PathRequests, request(`"timeout_ms":9223372036854775807`)),
		{"bad wait", mine, get, pathTest + "/wait?timeout_ms=soon", "", 400, api.CodeBadRequest},
		{"unknown path", mine, get, "/v1/secrets", "", 404, api.CodeNotFound},
		{"wrong method", mine, http.MethodDelete, pathTest, "", 405, api.CodeBadRequest},
		{"stale base", demo.OperatorToken, post, api.PathChanges, `{"base":0,"commands":"remove team retouch"}`, 409, api.CodeStaleBase},
		{"huge base", demo.OperatorToken, post, api.PathChanges, `{"base":99,"commands":"remove team retouch"}`, 409, api.CodeStaleBase},
		{"change that does not parse", demo.OperatorToken, post, api.PathChanges, `{"base":1,"commands":"drop everything"}`, 400, api.CodeBadRequest},
		{"guarantee beyond the cell", demo.OperatorToken, post, api.PathChanges,
			`{"base":1,"commands":"set guarantee coating in riga 64 accelerators adjacent rack count 1"}`, 422, api.CodeInvalidChange},
	}
}

// TestBadInput guards against input that is answered without a type or with the wrong status, that shows another
// team's work, or that keeps an entry from serving others.
func TestBadInput(t *testing.T) {
	t.Parallel()
	s := sizes(1, 1)
	s.Entries = 1
	d := deploy(t, s)
	address := d.layout.APIs["riga"][0]
	if err := d.retrace(d.b, "before", 0, model.ResultDone); err != nil {
		t.Fatal(err)
	}
	if status, _ := d.call(address, apiCall{token: tokenOf(teamA), method: http.MethodPost, path: api.PathJobs, body: fmt.Sprintf(validJob, "mine")}); status != http.StatusAccepted {
		t.Fatalf("status %d for a valid job", status)
	}
	slow := make(chan string, 1)
	go func() { slow <- slowSender(address) }()
	for _, call := range badCalls() {
		status, reply := d.call(address, call)
		if status != call.status || reply.Code != call.code || reply.Error == "" {
			t.Errorf("%s: status %d, code %q (%s), want %d, %q", call.name, status, reply.Code, reply.Error, call.status, call.code)
		}
	}
	d.hugeBody(address)
	d.deadlines(address)
	d.request(d.a, "after", 0, model.ResultDone)
	select {
	case first := <-slow:
		if !strings.Contains(first, "408") {
			t.Errorf("a slow sender got %q, want status 408", first)
		}
	case <-time.After(bodyBound):
		t.Errorf("a slow sender was not ended within %s", bodyBound)
	}
	d.request(d.a, "last", 0, model.ResultDone)
	d.finish()
	for _, r := range d.history() {
		if strings.HasSuffix(r.key, ":x") || strings.HasSuffix(r.key, "/x") || strings.HasSuffix(r.key, ":impossible") {
			t.Errorf("%s was refused and started", r.key)
		}
	}
}

// hugeBody sends a body far above the limit in one piece, as simple clients do that read no answer before they are done.
func (d *deployment) hugeBody(address string) {
	d.Helper()
	const size = 100 << 20
	conn, err := net.Dial("tcp", address)
	if err != nil {
		d.Fatal(err)
	}
	defer func() { _ = conn.Close() }() // the server may have closed it
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n",
		api.PathJobs, tokenOf(teamA), size)
	if _, err := conn.Write(append([]byte(head), make([]byte, size)...)); err != nil {
		d.Errorf("100 MB body: %v, want it read", err)
	}
	answer, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil || !strings.Contains(answer, "413") {
		d.Errorf("100 MB body: answer %q, %v, want 413", answer, err)
	}
}

// deadlines sends jobs that can never start: each must be accepted and end refused, or be refused at once.
func (d *deployment) deadlines(address string) {
	d.Helper()
	for id, fields := range map[string]string{
		"impossible": `"shape":{"accelerators":64,"adjacency":"rack"}`, // more than the cell has
		"spread":     `"shape":{"accelerators":16,"adjacency":"worker"}`,
		"late":       `"shape":{"slots":1},"service":"nobody","deadline_ms":1`,
	} {
		body := strings.Replace(job(fields), `"x"`, `"`+id+`"`, 1)
		status, _ := d.call(address, apiCall{token: tokenOf(teamA), method: http.MethodPost, path: api.PathJobs, body: body})
		if status != http.StatusAccepted {
			d.Errorf("%s: status %d", id, status)
		}
		path := "/v1/jobs/coating/" + id + "/wait?timeout_ms=3000"
		var reply api.JobReply
		d.callInto(address, apiCall{token: tokenOf(teamA), method: http.MethodGet, path: path}, &reply)
		if o := reply.Job.Outcome; o == nil || o.Result != model.ResultRefused || o.Ran || o.Reason == "" {
			d.Errorf("%s: state %s, outcome %+v, want refused with a reason", id, reply.Job.State, o)
		}
	}
}

func (d *deployment) call(address string, c apiCall) (int, api.ErrorReply) {
	d.Helper()
	var reply api.ErrorReply
	return d.callInto(address, c, &reply), reply
}

func (d *deployment) callInto(address string, c apiCall, reply any) int {
	d.Helper()
	req, err := http.NewRequestWithContext(d.Context(), c.method, "http://"+address+c.path, bytes.NewReader([]byte(c.body)))
	if err != nil {
		d.Fatal(err)
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err := d.http.Do(req)
	if err != nil {
		d.Errorf("%s: %v", c.name, err)
		return 0
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err == nil {
		err = json.Unmarshal(data, reply)
	}
	if err != nil {
		d.Errorf("%s: reply %.200q: %v", c.name, data, err)
	}
	return resp.StatusCode
}

// slowSender sends one byte a second of a body and returns the first line of the reply.
func slowSender(address string) string {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = conn.Close() }()
	header := "POST " + api.PathJobs + " HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer " + tokenOf(teamA) + "\r\nContent-Length: 1000\r\n\r\n"
	if _, err := io.WriteString(conn, header); err != nil {
		return err.Error()
	}
	answer := make(chan string, 1)
	go func() {
		buf := make([]byte, 64)
		n, err := conn.Read(buf)
		answer <- fmt.Sprint(string(buf[:n]), err)
	}()
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case a := <-answer:
			return a
		case <-ticker.C:
			// After the entry has answered it may have closed the connection.
			_, _ = io.WriteString(conn, "{")
		}
	}
}
