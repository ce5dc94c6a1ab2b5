package abusetest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"masticcart.example/masticcart/internal/client"
	"masticcart.example/masticcart/internal/client/api"
	"masticcart.example/masticcart/internal/demo"
	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/query"
	"masticcart.example/masticcart/internal/settings"
)

const (
	region = "riga"
	team   = "coating"
	token  = "token-coating"
	// standaloneClients is the size of a crowd. Bodies are four times as large as on the platform.
	standaloneClients = 300
)

// standalone is a stand-alone deployment: an entry, an agent, and stand-ins of the platform's store and of a worker, each a
// process. The entry gets its limits from the environment: descriptors by ulimit, memory by GOMEMLIMIT.
type standalone struct {
	t       *testing.T
	entry   *process
	address string
	client  *client.Client
	nextID  int
}

func startStandalone(t *testing.T) *standalone {
	t.Helper()
	layout, err := demo.PrepareDeployment(t.TempDir(), reservePorts(20),
		demo.Sizes{Regions: []string{region}, Entries: 1, Workers: 1, RackSize: 8, Service: "planner"})
	if err != nil {
		t.Fatal(err)
	}
	s := &standalone{t: t, address: layout.APIs[region][0]}
	for _, p := range layout.Processes {
		if !strings.HasPrefix(p.Name, "entry-") {
			startProcess(t, p.Name, nil, p.Program, p.Args...)
			continue
		}
		s.entry = startLimitedProcess(t, p.Name, p.Program, p.Args)
	}
	operator := s.newClient(demo.OperatorToken)
	eventually(t, "the team is created", func() bool {
		_, err := operator.Change(context.Background(), api.ChangeBody{Base: 0,
			Commands: fmt.Sprintf("create team %s token-hash %s", team, demo.TokenHash(token))})
		return err == nil
	})
	s.client = s.newClient(token)
	s.completeOneJob()
	return s
}

// startLimitedProcess starts an entry with the limits of the test.
func startLimitedProcess(t *testing.T, name, program string, args []string) *process {
	t.Helper()
	script := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, entryMaxFDs)
	return startCommand(t, name, []string{fmt.Sprintf("GOMEMLIMIT=%dMiB", entryMemoryMB)},
		"/bin/sh", append([]string{"-c", script, filepath.Join(binDir, program)}, args...)...)
}

func (s *standalone) newClient(token string) *client.Client {
	s.t.Helper()
	c, err := client.New(client.Options{Entries: []string{s.address}, Token: token, Rounds: 2})
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(c.Close)
	return c
}

// completeOneJob submits a job until it is accepted and waits until it is done, for which the entry needs its connections
// to the store and to the agent.
func (s *standalone) completeOneJob() {
	s.t.Helper()
	s.nextID++
	key := model.JobKey{Team: team, ID: fmt.Sprintf("ordinary-%d", s.nextID)}
	eventually(s.t, "a job is accepted", func() bool {
		_, _, err := s.client.Submit(context.Background(), api.JobBody{ID: key.ID, Team: team, Kind: "training",
			Idempotent: true, Shape: model.Shape{Accelerators: 1, Adjacency: model.AdjacentRack}, Payload: json.RawMessage(`{"work_ms":10,"output_bytes":0}`)})
		return err == nil
	})
	eventually(s.t, "the job is done", func() bool {
		job, err := s.client.Wait(context.Background(), key, time.Second)
		return err == nil && job.Outcome != nil && job.Outcome.Result == model.ResultDone
	})
}

// checkWith is hosted.checkWith for a stand-alone entry. The kernel enforces the limit on descriptors, so the check is that the
// process has never met it.
func (s *standalone) checkWith(c crowd) {
	s.t.Helper()
	c.run(s.t, s.address, s.completeOneJob)
	s.completeOneJob()
	s.entry.checkLimits()
	log, err := os.ReadFile(s.entry.logPath)
	if err != nil {
		s.t.Fatal(err)
	}
	if bytes.Contains(log, []byte("too many open files")) {
		s.t.Error("the entry ran out of descriptors")
	}
}

// apiRequest is the head of a call with the team's token.
func apiRequest(path string) request {
	return request{method: "POST", path: path,
		header: "Host: entry\r\nAuthorization: Bearer " + token + "\r\nContent-Type: application/json\r\n"}
}

// largeJob returns the body of a job, of about the largest size, whose payload is a list of numbers.
func largeJob() []byte {
	payload := "[" + strings.Repeat("0,", (settings.DefaultMaxBodyBytes-1024)/2) + "0]"
	return fmt.Appendf(nil, `{"id":"large","team":%q,"kind":"training","shape":{"accelerators":1,"adjacency":"rack"},"payload":%s}`, team, payload)
}

// Guards against a stand-alone entry that holds all unfinished bodies in memory.
func TestStandaloneUnfinishedBodies(t *testing.T) {
	startStandalone(t).checkWith(crowd{clients: standaloneClients, send: unfinished(apiRequest(api.PathJobs), largeJob(), 8<<10)})
}

// Guards against a stand-alone entry that holds all unfinished bodies of unknown length.
func TestStandaloneUnfinishedChunkedBodies(t *testing.T) {
	startStandalone(t).checkWith(crowd{clients: standaloneClients,
		send: unfinishedChunked(apiRequest(api.PathJobs), largeJob(), 64<<10)})
}

// Guards against texts of queries that take far more memory when they are parsed. They have the largest length that is
// parsed.
func TestStandaloneExpensiveQueries(t *testing.T) {
	const condition = " and team = a"
	text := "show jobs where state = waiting" + strings.Repeat(condition, query.MaxTextBytes/len(condition)-4)
	startStandalone(t).checkWith(crowd{clients: standaloneClients,
		send: whole(apiRequest(api.PathQuery), fmt.Appendf(nil, `{"query":%q}`, text))})
}

// Guards against connections that take all descriptors of a stand-alone entry.
func TestStandaloneSilentConnections(t *testing.T) {
	startStandalone(t).checkWith(crowd{clients: crowdClients, send: silent})
}

// Guards against a stand-alone entry that holds connections for ever whose clients read no response.
func TestStandaloneUnreadResponses(t *testing.T) {
	unauthorized := request{method: "GET", path: api.PathConfig, header: "Host: entry\r\n"}
	startStandalone(t).checkWith(crowd{clients: crowdClients, send: pipelined(unauthorized, 2000), readsNothing: true})
}
