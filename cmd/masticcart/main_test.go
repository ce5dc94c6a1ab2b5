package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"masticcart.example/masticcart/internal/client/api"
	"masticcart.example/masticcart/internal/model"
)

// fakeEntry sends a fixed reply for each path and keeps the body of the last call.
type fakeEntry struct {
	replies map[string]reply
	body    string
}

type reply struct {
	status int
	body   any
}

func (e *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	data, _ := io.ReadAll(r.Body)
	e.body = string(data)
	canned, ok := e.replies[r.Method+" "+r.URL.Path]
	if !ok {
		canned = reply{http.StatusNotFound, api.ErrorReply{Error: "no such job", Code: api.CodeNotFound}}
	}
	w.WriteHeader(canned.status)
	_ = json.NewEncoder(w).Encode(canned.body)
}

func jobReply(state model.JobState, r model.Result) reply {
	j := model.Job{Spec: model.JobSpec{Key: model.JobKey{Team: "a", ID: "1"}}, State: state}
	if r != "" {
		j.Outcome = &model.Outcome{Result: r}
	}
	return reply{http.StatusOK, api.JobReply{Job: j}}
}

// editedConfig returns a file with a configuration for the platform that has no findings, in which values are replaced.
func editedConfig(t *testing.T, values ...string) string {
	t.Helper()
	data, err := os.ReadFile("../../platform/testdata/configuration.json")
	if err != nil {
		t.Fatal(err)
	}
	name := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(name, []byte(strings.NewReplacer(values...).Replace(string(data))), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

// TestExitCodes guards against exit codes by which a script takes a refusal, an unknown outcome or a stale change for
// success, and against calls whose body differs from the command line.
func TestExitCodes(t *testing.T) {
	const request = "request --id 1 --team a --kind k --service s"
	stale := api.ErrorReply{
		Error: "stale", Code: api.CodeStaleBase, Head: 9, Changes: []string{"version 9: team b created"},
	}
	file := filepath.Join(t.TempDir(), "job.json")
	if err := os.WriteFile(file, []byte(`{"id":"1","team":"a","kind":"k","shape":{"slots":1},"service":"x"}`),
		0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args           string // split at spaces; what follows a | is a single argument
		path           string
		reply          reply
		code           int
		body           string // of the call; empty to skip the check
		stdout, stderr string // expected parts of the output
	}{
		{request + " --payload {}", "POST /v1/requests",
			reply{200, model.Outcome{Result: model.ResultDone, Output: []byte(`"x"`)}}, 0,
			`{"id":"1","team":"a","kind":"k","service":"s","payload":{},"timeout_ms":30000,"idempotent":true}`,
			`output   "x"`, ""},
		{request + " --idempotent=false --timeout 1s", "POST /v1/requests",
			reply{200, model.Outcome{Result: model.ResultFailed}}, 1,
			`{"id":"1","team":"a","kind":"k","service":"s","timeout_ms":1000,"idempotent":false}`, "failed", ""},
		{request, "POST /v1/requests", reply{200, model.Outcome{Result: model.ResultRefused}}, 3, "", "refused", ""},
		{request, "POST /v1/requests", reply{200, model.Outcome{Result: model.ResultUnknown}}, 4, "", "unknown", ""},
		{request, "POST /v1/requests", reply{500, api.ErrorReply{Code: api.CodeInternal}}, 4, "", "", "internal"},
		{request, "POST /v1/requests", reply{503, api.ErrorReply{Code: api.CodeOverloaded}}, 3, "", "", "overloaded"},
		{request + " --payload {", "", reply{}, 2, "", "", "not valid JSON"},
		{"request --id 1 --team a --kind k", "", reply{}, 2, "", "", "service"},
		{"submit --file " + file + " --team b --deadline 2s", "POST /v1/jobs", reply{202, api.JobReply{}}, 0,
			`{"id":"1","team":"b","kind":"k","service":"x","shape":{"slots":1},"idempotent":false,"preemptible":false,"deadline_ms":2000}`,
			"", ""},
		{"submit --team a --kind k --accelerators 4", "", reply{}, 2, "", "", "adjacency"},
		{"status a/1 -o json", "GET /v1/jobs/a/1", jobReply(model.JobAccepted, ""), 0, "", `"state": "accepted"`, ""},
		{"status a/2", "", reply{}, 1, "", "", "no such job"},
		{"status a", "", reply{}, 2, "", "", "TEAM/ID"},
		{"wait a/1", "GET /v1/jobs/a/1/wait", jobReply(model.JobFinished, model.ResultDone), 0, "", "done", ""},
		{"wait a/1", "GET /v1/jobs/a/1/wait", jobReply(model.JobFinished, model.ResultCancelled), 5, "", "cancelled", ""},
		{"wait a/1 --timeout 300ms", "GET /v1/jobs/a/1/wait", jobReply(model.JobClaimed, ""), 4,
			"", "claimed", "not finished"},
		{"--timeout 300ms wait a/1", "GET /v1/jobs/a/1/wait", jobReply(model.JobClaimed, ""), 4,
			"", "claimed", "not finished"},
		{"cancel a/1", "POST /v1/jobs/a/1/cancel", jobReply(model.JobClaimed, ""), 0, "", "claimed", ""},
		{"query|show jobs limit 1", "POST /v1/query",
			reply{200, api.QueryReply{Columns: []string{"id"}, Rows: [][]any{{1234567}}}}, 0,
			`{"query":"show jobs limit 1"}`, "ID\n1234567\n", ""},
		{"explain a/1", "POST /v1/query", reply{200, api.QueryReply{}}, 0, `{"query":"explain job a/1"}`, "", ""},
		{"query show jobs", "", reply{}, 2, "", "", "quote"},
		{"change --base 3 --dry-run|create team b", "POST /v1/changes",
			reply{200, api.ChangeReply{Version: 4, Summary: "s"}}, 0,
			`{"base":3,"dry_run":true,"commands":"create team b"}`, "version  4", ""},
		{"change --base=-1|-", "POST /v1/changes", reply{409, stale}, 7,
			`{"base":-1,"commands":"from stdin\n"}`, "", "version 9: team b created"},
		{"change|create team b", "", reply{}, 2, "", "", "base"},
		{"config show", "GET /v1/config", reply{200, model.Config{Version: 7}}, 0, "", "version  7", ""},
		{"config status", "GET /v1/config/status",
			reply{200, api.ConfigStatusReply{Rows: []api.ConfigStatusRow{{Process: "e1"}}}}, 0, "", "e1", ""},
		{"config", "", reply{}, 2, "", "", "status or show"},
		{"token hash", "", reply{}, 0, "", "3f4d0948f4454bce65ded77023b9260b17b6607696a733e2f667315f9bfd95b9", ""},
		{"check-config " + editedConfig(t), "", reply{}, 0, "", "no findings", ""},
		{"check-config -o json " + editedConfig(t), "", reply{}, 0, "", "[]", ""},
		{"check-config " + editedConfig(t, "1.5", "0.5"), "", reply{}, 0, "", "below 1", ""},
		{"check-config " + editedConfig(t, "1.5", "-1"), "", reply{}, 1, "", "negative", ""},
		{"check-config " + editedConfig(t, "1.5", "x"), "", reply{}, 1, "", "error", ""},
		{"check-config --against " + editedConfig(t, "1.5", "3") + " " + editedConfig(t), "", reply{}, 0, "",
			"slack factor: 1.5, before: 3", ""},
		{"check-config --against none " + editedConfig(t), "", reply{}, 2, "", "", "none"},
		{"check-config --in-force --against x y", "", reply{}, 2, "", "", "exclude each other"},
		{"check-config", "", reply{}, 2, "", "", "want one argument"},
		{"frob", "", reply{}, 2, "", "", `no command "frob"`},
		{"status a/1 --frob", "", reply{}, 2, "", "", "frob"},
		{"status a/1 -o xml", "", reply{}, 2, "", "", "xml"},
		{"--entry 127.0.0.1:1 status a/1 --timeout 5s", "", reply{}, 6, "", "", "no entry could be reached"},
	} {
		entry := &fakeEntry{replies: map[string]reply{c.path: c.reply}}
		server := httptest.NewServer(entry)
		args := []string{"masticcart"}
		if !strings.HasPrefix(c.args, "--entry") {
			args = append(args, "--entry", server.URL)
		}
		flags, text, hasText := strings.Cut(c.args, "|")
		args = append(args, strings.Fields(flags)...)
		if hasText {
			args = append(args, text)
		}
		var stdout, stderr bytes.Buffer
		code := run(context.Background(), args, strings.NewReader("from stdin\n"), &stdout, &stderr)
		server.Close()
		switch {
		case code != c.code:
			t.Errorf("%s: exit code %d, want %d: %s", c.args, code, c.code, stderr.String())
		case c.body != "" && entry.body != c.body:
			t.Errorf("%s: sent %s, want %s", c.args, entry.body, c.body)
		case !strings.Contains(stdout.String(), c.stdout) || !strings.Contains(stderr.String(), c.stderr):
			t.Errorf("%s: stdout %q or stderr %q lacks an expected part", c.args, stdout.String(), stderr.String())
		}
	}
}

// TestHelp guards against commands that --help does not describe with an example.
func TestHelp(t *testing.T) {
	var stdout bytes.Buffer
	if code := run(context.Background(), []string{"masticcart", "--help"}, nil, &stdout, io.Discard); code != 0 {
		t.Fatal(code)
	}
	for _, c := range newRoot(nil, io.Discard, io.Discard).Commands {
		for _, leaf := range append(c.Commands, c) {
			if len(leaf.Commands) == 0 && (!strings.Contains(stdout.String(), leaf.UsageText) ||
				!strings.Contains(leaf.Description, "Example")) {
				t.Errorf("--help does not show the usage and an example of %s", leaf.Name)
			}
		}
	}
}
