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
	// bodyReadBound is the time within which an entry must give up on a slow request body: its body timeout of 10 s and
	// a margin of 5 s for a busy machine.
	bodyReadBound = 10*time.Second + 5*time.Second
	jobPath       = "/v1/jobs/coating/mine"
	validJobBody  = `{"id":"%s","team":"coating","kind":"fit","service":"planner","shape":{"slots":1},"idempotent":false}`
)

// apiCall is one API call with the expected status and error code.
type apiCall struct {
	name, token, method, path, body string
	status                          int
	code                            string // expected error code of the reply
}

func jobBody(fields string) string { return `{"id":"x","team":"coating","kind":"fit",` + fields + `}` }

func requestBody(fields string) string {
	return `{"id":"x","team":"coating","kind":"fit","service":"planner",` + fields + `}`
}

func invalidCalls() []apiCall {
	const post, get = http.MethodPost, http.MethodGet
	mine := tokenOf(teamA)
	bad := func(name, path, body string) apiCall {
		return apiCall{name, mine, post, path, body, http.StatusBadRequest, api.CodeBadRequest}
	}
	return []apiCall{
		{"no token", "", post, api.PathJobs, fmt.Sprintf(validJobBody, "x"), 401, api.CodeUnauthorized},
		{"wrong token", "nobody", post, api.PathRequests, requestBody(`"timeout_ms":1000`), 401, api.CodeUnauthorized},
		{"no token for a read", "", get, jobPath, "", 401, api.CodeUnauthorized},
		{"body over the limit", mine, post, api.PathJobs,
			jobBody(`"shape":{"slots":1},"payload":"` + strings.Repeat("x", 2*api.MaxBodyBytes) + `"`), 413, api.CodeTooLarge},
		bad("broken JSON", api.PathJobs, `{"id":"x"`),
		bad("empty body", api.PathJobs, ""),
		bad("no object", api.PathRequests, `[1]`),
		bad("trailing data", api.PathJobs, fmt.Sprintf(validJobBody, "x")+`{}`),
		bad("unknown field", api.PathJobs, jobBody(`"shape":{"slots":1},"service":"planner","priority":1`)),
		bad("wrong type", api.PathJobs, jobBody(`"shape":{"slots":"one"},"service":"planner"`)),
		bad("not UTF-8", api.PathJobs, fmt.Sprintf(validJobBody, "\xff")),
		bad("deep nesting", api.PathQuery, strings.Repeat("[", 100_000)),
		{"another team", mine, post, api.PathJobs,
			strings.Replace(fmt.Sprintf(validJobBody, "x"), teamA, teamB, 1), 403, api.CodeForbidden},
		{"another team's request", mine, post, api.PathRequests,
			strings.Replace(requestBody(`"timeout_ms":1000`), teamA, teamB, 1), 403, api.CodeForbidden},
		{"unknown team", demo.OperatorToken, post, api.PathJobs,
			strings.Replace(fmt.Sprintf(validJobBody, "x"), teamA, "ghosts", 1), 404, api.CodeNotFound},
		{"another team's job", tokenOf(teamB), get, jobPath, "", 404, api.CodeNotFound},
		{"wait for another team's job", tokenOf(teamB), get, jobPath + "/wait?timeout_ms=100", "", 404, api.CodeNotFound},
		{"cancel of another team's job", tokenOf(teamB), post, jobPath + "/cancel", "", 404, api.CodeNotFound},
		{"explain of another team's job", tokenOf(teamB), post, api.PathQuery,
			`{"query":"explain job coating/mine"}`, 404, api.CodeNotFound},
		{"same id, another body", mine, post, api.PathJobs,
			strings.Replace(fmt.Sprintf(validJobBody, "mine"), `"fit"`, `"trace"`, 1), 409, api.CodeIDConflict},
		{"operators' query", mine, post, api.PathQuery, `{"query":"show workers"}`, 403, api.CodeForbidden},
		{"operators' change", mine, post, api.PathChanges,
			`{"base":1,"commands":"remove team retouch"}`, 403, api.CodeForbidden},
		{"operators' read", mine, get, api.PathConfig, "", 403, api.CodeForbidden},
		bad("query that does not parse", api.PathQuery, `{"query":"show me"}`),
		bad("no shape", api.PathJobs, jobBody(`"shape":{}`)),
		bad("both shapes", api.PathJobs,
			jobBody(`"shape":{"slots":1,"accelerators":1,"adjacency":"rack"},"service":"planner"`)),
		bad("negative accelerators", api.PathJobs, jobBody(`"shape":{"accelerators":-1,"adjacency":"rack"}`)),
		bad("huge gang", api.PathJobs, jobBody(`"shape":{"accelerators":1000000000,"adjacency":"rack"}`)),
		bad("number out of range", api.PathJobs, jobBody(`"shape":{"accelerators":1e30,"adjacency":"rack"}`)),
		bad("unknown adjacency", api.PathJobs, jobBody(`"shape":{"accelerators":1,"adjacency":"planet"}`)),
		bad("two slots", api.PathJobs, jobBody(`"shape":{"slots":2},"service":"planner"`)),
		bad("slots without a service", api.PathJobs, jobBody(`"shape":{"slots":1}`)),
		bad("negative run time", api.PathJobs, jobBody(`"shape":{"accelerators":1,"adjacency":"rack"},"run_time_ms":-1`)),
		bad("huge run time", api.PathJobs,
			jobBody(`"shape":{"accelerators":1,"adjacency":"rack"},"run_time_ms":9223372036854775807`)),
		bad("expired deadline", api.PathJobs, jobBody(`"shape":{"slots":1},"service":"planner","deadline_ms":-1`)),
		bad("name with a path", api.PathJobs, strings.Replace(fmt.Sprintf(validJobBody, "x"), `"x"`, `"../x"`, 1)),
		bad("long name", api.PathJobs, fmt.Sprintf(validJobBody, strings.Repeat("x", 129))),
		bad("request without time", api.PathRequests, requestBody(`"timeout_ms":0`)),
		bad("request with an expired deadline", api.PathRequests, requestBody(`"timeout_ms":-5`)),
		bad("request with a huge time", api.PathRequests, requestBody(`"timeout_ms":9223372036854775807`)),
		{"bad wait", mine, get, jobPath + "/wait?timeout_ms=soon", "", 400, api.CodeBadRequest},
		{"unknown path", mine, get, "/v1/secrets", "", 404, api.CodeNotFound},
		{"wrong method", mine, http.MethodDelete, jobPath, "", 405, api.CodeBadRequest},
		{"stale base", demo.OperatorToken, post, api.PathChanges,
			`{"base":0,"commands":"remove team retouch"}`, 409, api.CodeStaleBase},
		{"huge base", demo.OperatorToken, post, api.PathChanges,
			`{"base":99,"commands":"remove team retouch"}`, 409, api.CodeStaleBase},
		{"change that does not parse", demo.OperatorToken, post, api.PathChanges,
			`{"base":1,"commands":"drop everything"}`, 400, api.CodeBadRequest},
		{"guarantee beyond the cell", demo.OperatorToken, post, api.PathChanges,
			`{"base":1,"commands":"set guarantee coating in riga 64 accelerators adjacent rack count 1"}`,
			422, api.CodeInvalidChange},
	}
}

// TestBadInput guards against invalid input that gets a wrong status or no error code, reveals another team's work, or
// blocks an entry from serving other callers.
func TestBadInput(t *testing.T) {
	t.Parallel()
	s := deploymentSizes(1, 1)
	s.Entries = 1
	d := deploy(t, s)
	address := d.layout.APIs["riga"][0]
	if err := d.submitRetrace(d.clientB, "before", 0, model.ResultDone); err != nil {
		t.Fatal(err)
	}
	if status, _ := d.callAPI(address, apiCall{token: tokenOf(teamA), method: http.MethodPost, path: api.PathJobs,
		body: fmt.Sprintf(validJobBody, "mine")}); status != http.StatusAccepted {
		t.Fatalf("status %d for a valid job", status)
	}
	slow := make(chan string, 1)
	go func() { slow <- sendSlowBody(address) }()
	for _, call := range invalidCalls() {
		status, reply := d.callAPI(address, call)
		if status != call.status || reply.Code != call.code || reply.Error == "" {
			t.Errorf("%s: status %d, code %q (%s), want %d, %q",
				call.name, status, reply.Code, reply.Error, call.status, call.code)
		}
	}
	d.checkOversizedBody(address)
	d.checkUnplaceableJobs(address)
	d.sendRequest(d.clientA, "after", 0, model.ResultDone)
	select {
	case first := <-slow:
		if !strings.Contains(first, "408") {
			t.Errorf("response to a slow sender: %q, want status 408", first)
		}
	case <-time.After(bodyReadBound):
		t.Errorf("no response to a slow sender within %s", bodyReadBound)
	}
	d.sendRequest(d.clientA, "last", 0, model.ResultDone)
	d.waitOutcomes()
	for _, r := range d.history() {
		if strings.HasSuffix(r.key, ":x") || strings.HasSuffix(r.key, "/x") || strings.HasSuffix(r.key, ":impossible") {
			t.Errorf("%s was refused and yet started", r.key)
		}
	}
}

// checkOversizedBody sends a body far above the limit in one piece, as simple clients do that read the response only
// after they have sent the whole body. The entry must read all of it and answer with status 413.
func (d *deployment) checkOversizedBody(address string) {
	d.Helper()
	const size = 100 << 20
	conn, err := net.Dial("tcp", address)
	if err != nil {
		d.Fatal(err)
	}
	defer func() { _ = conn.Close() }() // the server may have closed it already
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n",
		api.PathJobs, tokenOf(teamA), size)
	if _, err := conn.Write(append([]byte(head), make([]byte, size)...)); err != nil {
		d.Errorf("100 MB body: %v, want it read to its end", err)
	}
	answer, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil || !strings.Contains(answer, "413") {
		d.Errorf("100 MB body: response %q, %v, want 413", answer, err)
	}
}

// checkUnplaceableJobs submits jobs that can never start. Each must be accepted and then end refused, with a reason.
func (d *deployment) checkUnplaceableJobs(address string) {
	d.Helper()
	for id, fields := range map[string]string{
		"impossible": `"shape":{"accelerators":64,"adjacency":"rack"}`, // more than the cell's capacity
		"spread":     `"shape":{"accelerators":16,"adjacency":"worker"}`,
		"late":       `"shape":{"slots":1},"service":"nobody","deadline_ms":1`,
	} {
		body := strings.Replace(jobBody(fields), `"x"`, `"`+id+`"`, 1)
		status, _ := d.callAPI(address,
			apiCall{token: tokenOf(teamA), method: http.MethodPost, path: api.PathJobs, body: body})
		if status != http.StatusAccepted {
			d.Errorf("%s: status %d", id, status)
		}
		path := "/v1/jobs/coating/" + id + "/wait?timeout_ms=3000"
		var reply api.JobReply
		d.callAPIInto(address, apiCall{token: tokenOf(teamA), method: http.MethodGet, path: path}, &reply)
		if o := reply.Job.Outcome; o == nil || o.Result != model.ResultRefused || o.Ran || o.Reason == "" {
			d.Errorf("%s: state %s, outcome %+v, want refused with a reason", id, reply.Job.State, o)
		}
	}
}

// callAPI makes a call and returns its status and error reply.
func (d *deployment) callAPI(address string, c apiCall) (int, api.ErrorReply) {
	d.Helper()
	var reply api.ErrorReply
	return d.callAPIInto(address, c, &reply), reply
}

// callAPIInto makes a call, decodes the JSON reply into reply and returns the status, 0 if the call failed.
func (d *deployment) callAPIInto(address string, c apiCall, reply any) int {
	d.Helper()
	req, err := http.NewRequestWithContext(d.Context(), c.method, "http://"+address+c.path,
		bytes.NewReader([]byte(c.body)))
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

// sendSlowBody sends a request body at one byte per second and returns the start of the response.
func sendSlowBody(address string) string {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = conn.Close() }()
	header := "POST " + api.PathJobs + " HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer " + tokenOf(teamA) +
		"\r\nContent-Length: 1000\r\n\r\n"
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
			// The entry may close the connection after its response, so a write error is expected.
			_, _ = io.WriteString(conn, "{")
		}
	}
}
