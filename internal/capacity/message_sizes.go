package capacity

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/google/uuid"

	"masticcart.example/masticcart/internal/demo"
	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/protocol"
)

// gangSizes are the numbers of members of the sample gangs. A gang with 1024 accelerators has 128 members on workers
// with 8 accelerators each and 512 on workers with 2.
var gangSizes = []int{1, 128, 512}

// WriteMessageSizes writes a table of the encoded sizes of the messages that grow with the deployment. The sizes
// exclude the envelope of an RPC, which adds about 60 bytes. It encodes sample messages and starts no processes.
func WriteMessageSizes(out io.Writer) error {
	fmt.Fprintln(out, "| message | with | bytes |\n|---|---|---|")
	row := func(message, with string, v any) error {
		data, err := json.Marshal(v)
		if err == nil {
			_, err = fmt.Fprintf(out, "| %s | %s | %d |\n", message, with, len(data))
		}
		return err
	}
	id := protocol.Identity{
		Agent: "worker-dc1-0001", Incarnation: uuid.NewString(), Kind: protocol.KindWorker, Region: "north",
		Cell: measuredCell, Rack: "dc1-rack-001", Units: UnitsPerAgent,
	}
	for _, tasks := range []int{0, 1, 4} {
		a := protocol.AnnounceArgs{Identity: id, Sequence: 1000, ConfigVersion: 1000}
		for range tasks {
			a.Tasks = append(a.Tasks, sampleTask(1))
		}
		if err := row("agent.announce", fmt.Sprintf("%d tasks of one member", tasks), a); err != nil {
			return err
		}
	}
	for _, n := range gangSizes {
		t := sampleTask(n)
		if err := row("agent.announce", fmt.Sprintf("one task of a gang of %d members", n), protocol.AnnounceArgs{
			Identity: id, Tasks: []protocol.TaskStatus{t},
		}); err != nil {
			return err
		}
		if err := row("agent.hold", fmt.Sprintf("gang of %d members", n), protocol.HoldArgs{
			Incarnation: id.Incarnation, Attempt: 1, Units: t.Units, Spec: *t.Spec, Members: t.Members,
		}); err != nil {
			return err
		}
		job := model.Job{Spec: *t.Spec, Cell: measuredCell, State: model.JobClaimed, Attempt: 1, Members: t.Members,
			Nonce: uuid.NewString()}
		if err := row("job record", fmt.Sprintf("gang of %d members", n), job); err != nil {
			return err
		}
	}
	view := protocol.CellView{Cell: measuredCell, Owner: true}
	for range 2450 {
		w := protocol.UpstreamView{Identity: id, Alive: true, ConfigVersion: 1000}
		for range tasksPerAgent {
			t := sampleTask(1)
			view.Jobs = append(view.Jobs, protocol.JobView{Phase: "running", Job: model.Job{
				Spec: *t.Spec, Cell: measuredCell, State: model.JobClaimed, Attempt: 1, Members: t.Members,
				Nonce: uuid.NewString(), Submitted: time.Now().UTC(), Claimed: time.Now().UTC(),
			}})
			t.Spec, t.Members = nil, nil
			w.Tasks = append(w.Tasks, t)
		}
		view.Upstreams = append(view.Upstreams, w)
	}
	if err := row("entry.cell reply", fmt.Sprintf("2450 workers, %d jobs", len(view.Jobs)), view); err != nil {
		return err
	}
	for _, teams := range []int{4, 70, 350, 700} {
		if err := row("configuration", fmt.Sprintf("%d teams", teams), model.Config{
			Version: 1000, Teams: sampleTeams(teams),
		}); err != nil {
			return err
		}
	}
	return nil
}

// sampleTask returns the status of a running task of a gang with the given number of members.
func sampleTask(members int) protocol.TaskStatus {
	spec := model.JobSpec{
		Key: model.JobKey{Team: "team-000", ID: "job-000001"}, Kind: "training", Idempotent: true, RunTime: time.Hour,
		Shape: model.Shape{Accelerators: 2 * members, Adjacency: model.AdjacentDatacenter},
	}
	t := protocol.TaskStatus{Job: spec.Key, Attempt: 1, Units: 2, Phase: protocol.TaskRunning, Started: true, Spec: &spec}
	for i := range members {
		t.Members = append(t.Members, model.Member{
			Agent: fmt.Sprintf("worker-dc1-%04d", i), Incarnation: uuid.NewString(), Units: 2,
		})
	}
	return t
}

// sampleTeams returns n teams, each with one token and a quota.
func sampleTeams(n int) []model.Team {
	var out []model.Team
	for i := range n {
		name := fmt.Sprintf("team-%03d", i)
		out = append(out, model.Team{Name: name, TokenHashes: []string{demo.TokenHash(name)}, MaxAccelerators: 100_000})
	}
	return out
}
