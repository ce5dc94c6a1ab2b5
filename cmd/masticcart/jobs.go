package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"masticcart.example/masticcart/internal/client"
	"masticcart.example/masticcart/internal/client/api"
	"masticcart.example/masticcart/internal/model"
)

// replyGrace is how long the client waits beyond a request's deadline, so that it receives the entry's outcome of an
// expired request instead of reporting an unknown outcome.
const replyGrace = 2 * time.Second

// Names of the flags of requests and jobs.
const (
	flagID           = "id"
	flagTeam         = "team"
	flagKind         = "kind"
	flagService      = "service"
	flagPayload      = "payload"
	flagPayloadFile  = "payload-file"
	flagIdempotent   = "idempotent"
	flagFile         = "file"
	flagAccelerators = "accelerators"
	flagAdjacency    = "adjacency"
	flagSlots        = "slots"
	flagPreemptible  = "preemptible"
	flagRunTime      = "run-time"
	flagDeadline     = "deadline"
)

func submissionFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagID, Usage: "`ID` of the work; if absent, one is generated and printed on stderr"},
		&cli.StringFlag{Name: flagTeam, Usage: "`TEAM` that the work belongs to"},
		&cli.StringFlag{Name: flagKind, Usage: "`KIND` of work, which selects the scheduling rule"},
		&cli.StringFlag{Name: flagService, Usage: "`SERVICE` whose executors run the work; not for jobs on accelerators"},
		&cli.StringFlag{Name: flagPayload, Usage: "payload as `JSON`"},
		&cli.StringFlag{Name: flagPayloadFile, Usage: "`FILE` with the payload as JSON, - for stdin"},
	}
}

func (a *app) requestCommand() *cli.Command {
	return &cli.Command{
		Name: "request", UsageText: "masticcart request --team TEAM --kind KIND --service SERVICE [options]",
		Usage: "send a short request and wait for its outcome",
		Description: "Runs a short request on an executor of the service and prints its complete output. --timeout sets " +
			"the deadline of the request. The exit code gives the outcome; 3 (refused) means that the request did not run, " +
			"4 (unknown) that it may have run. Repeat a request only under the same --id. With --idempotent=false " +
			"the request is recorded before it runs, and runs at most once.\n\n" +
			"Example:\n  masticcart request --team prism --kind inspector-check --service prism-planner \\\n" +
			"    --payload '{\"part\": 7}' --timeout 2s",
		Flags: append(submissionFlags(),
			&cli.BoolFlag{Name: flagIdempotent, Value: true, Usage: "the request may run again if an attempt is lost"}),
		Action: a.request,
	}
}

func (a *app) request(ctx context.Context, cmd *cli.Command) error {
	if err := rejectArguments(cmd); err != nil {
		return err
	}
	timeout, err := globalTimeout(cmd)
	if err != nil {
		return err
	}
	payload, err := a.readPayload(cmd)
	if err != nil {
		return err
	}
	idempotent := cmd.Bool(flagIdempotent)
	body := api.RequestBody{
		ID: cmd.String(flagID), Team: cmd.String(flagTeam), Kind: cmd.String(flagKind), Service: cmd.String(flagService),
		Payload: payload, TimeoutMS: timeout.Milliseconds(), Idempotent: &idempotent,
	}
	a.ensureID(&body.ID)
	if err := body.Request().Validate(); err != nil {
		return &usageError{err}
	}
	c, ctx, closeClient, err := a.connect(ctx, cmd, timeout, replyGrace)
	if err != nil {
		return err
	}
	defer closeClient()
	o, err := c.Request(ctx, body)
	if err != nil {
		return err
	}
	if err := a.printOutcome(cmd, body.Team+"/"+body.ID, o); err != nil {
		return err
	}
	return errorForResult(o.Result)
}

// ensureID generates an id if none is set, and prints it so that the caller can repeat the work under the same id.
func (a *app) ensureID(id *string) {
	if *id == "" {
		*id = uuid.NewString()
		_, _ = fmt.Fprintln(a.stderr, "id:", *id)
	}
}

// readPayload returns the payload given by flags, or nil if there is none. It must be valid JSON.
func (a *app) readPayload(cmd *cli.Command) (json.RawMessage, error) {
	data := []byte(cmd.String(flagPayload))
	if file := cmd.String(flagPayloadFile); file != "" {
		if len(data) > 0 {
			return nil, usageErrorf("--payload and --payload-file are mutually exclusive")
		}
		var err error
		if data, err = a.readInput(file); err != nil {
			return nil, err
		}
	}
	if len(data) > 0 && !json.Valid(data) {
		return nil, usageErrorf("the payload is not valid JSON")
	}
	return data, nil
}

func (a *app) submitCommand() *cli.Command {
	return &cli.Command{
		Name:      "submit",
		UsageText: "masticcart submit --team TEAM --kind KIND (--accelerators N --adjacency A | --slots 1 --service S) [options]",
		Usage:     "submit a job",
		Description: "Records a job durably and prints it. Submitting the same job again under the same --id is safe and " +
			"has no further effect; a different job under an id that is in use is refused. --file reads the job from " +
			"JSON with the fields id, team, kind, service, shape {accelerators, adjacency, " +
			"slots}, idempotent, preemptible, run_time_ms, deadline_ms and payload; flags override its fields. Use 'wait' " +
			"for the outcome.\n\n" +
			"Examples:\n  masticcart submit --team prism --kind surface-fit --accelerators 16 --adjacency rack --idempotent " +
			"--id fit-7\n  masticcart submit --file job.json",
		Flags: append(submissionFlags(),
			&cli.StringFlag{Name: flagFile, Usage: "`FILE` with the job as JSON, - for stdin"},
			&cli.IntFlag{Name: flagAccelerators, Usage: "`NUMBER` of accelerators, allocated all at once or not at all"},
			&cli.StringFlag{Name: flagAdjacency, Usage: "what the accelerators must share: `worker, rack or datacenter`"},
			&cli.IntFlag{Name: flagSlots, Usage: "`NUMBER` of executor slots; must be 1"},
			&cli.BoolFlag{
				Name: flagIdempotent, Usage: "the job may start again if an attempt is lost; else it starts at most once",
			},
			&cli.BoolFlag{Name: flagPreemptible, Usage: "the job may be stopped to reclaim its capacity; requires --idempotent"},
			&cli.DurationFlag{Name: flagRunTime, Usage: "expected run `TIME`"},
			&cli.DurationFlag{Name: flagDeadline, Usage: "refuse the job if it has not started within this `TIME`"},
		),
		Action: a.submit,
	}
}

func (a *app) submit(ctx context.Context, cmd *cli.Command) error {
	if err := rejectArguments(cmd); err != nil {
		return err
	}
	body, err := a.jobBody(cmd)
	if err != nil {
		return err
	}
	a.ensureID(&body.ID)
	if err := body.Spec(time.Now()).Validate(); err != nil {
		return &usageError{err}
	}
	return a.withClient(ctx, cmd, func(ctx context.Context, c *client.Client) error {
		job, created, err := c.Submit(ctx, body)
		if err != nil {
			return err
		}
		if !created {
			_, _ = fmt.Fprintln(a.stderr, "the job had already been accepted")
		}
		return a.printJob(cmd, job)
	})
}

// jobBody reads the job from --file, if given, and overrides its fields with the flags that are set.
func (a *app) jobBody(cmd *cli.Command) (api.JobBody, error) {
	var b api.JobBody
	if file := cmd.String(flagFile); file != "" {
		data, err := a.readInput(file)
		if err != nil {
			return b, err
		}
		d := json.NewDecoder(bytes.NewReader(data))
		d.DisallowUnknownFields()
		if err := d.Decode(&b); err != nil {
			return b, usageErrorf("%s: %w", file, err)
		}
	}
	payload, err := a.readPayload(cmd)
	if len(payload) > 0 {
		b.Payload = payload
	}
	for name, field := range map[string]*string{
		flagID: &b.ID, flagTeam: &b.Team, flagKind: &b.Kind, flagService: &b.Service,
		flagAdjacency: (*string)(&b.Shape.Adjacency),
	} {
		if cmd.IsSet(name) {
			*field = cmd.String(name)
		}
	}
	for name, field := range map[string]*int{flagAccelerators: &b.Shape.Accelerators, flagSlots: &b.Shape.Slots} {
		if cmd.IsSet(name) {
			*field = cmd.Int(name)
		}
	}
	for name, field := range map[string]*bool{flagIdempotent: &b.Idempotent, flagPreemptible: &b.Preemptible} {
		if cmd.IsSet(name) {
			*field = cmd.Bool(name)
		}
	}
	for name, field := range map[string]*int64{flagRunTime: &b.RunTimeMS, flagDeadline: &b.DeadlineMS} {
		if cmd.IsSet(name) {
			*field = cmd.Duration(name).Milliseconds()
		}
	}
	return b, err
}

func (a *app) statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", UsageText: "masticcart status TEAM/ID", Usage: "print the record of a job",
		Description: "Prints the stored record. The exit code tells whether the record was found (0) or not (1), not how " +
			"the job ended. See 'explain' for the reason for its state.\n\nExample:\n  masticcart status prism/fit-7 -o json",
		Action: a.jobAction(func(ctx context.Context, c *client.Client, k model.JobKey) (model.Job, error) {
			return c.Job(ctx, k)
		}),
	}
}

func (a *app) cancelCommand() *cli.Command {
	return &cli.Command{
		Name: "cancel", UsageText: "masticcart cancel TEAM/ID", Usage: "request the cancellation of a job",
		Description: "Records the cancellation request and prints the job. A running job is stopped, but may finish first: " +
			"see 'wait' for the outcome.\n\nExample:\n  masticcart cancel prism/fit-7 && masticcart wait prism/fit-7",
		Action: a.jobAction(func(ctx context.Context, c *client.Client, k model.JobKey) (model.Job, error) {
			return c.Cancel(ctx, k)
		}),
	}
}

// jobAction returns an action that calls do with the job key argument and prints the job.
func (a *app) jobAction(do func(context.Context, *client.Client, model.JobKey) (model.Job, error)) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		k, err := jobKeyArgument(cmd)
		if err != nil {
			return err
		}
		return a.withClient(ctx, cmd, func(ctx context.Context, c *client.Client) error {
			job, err := do(ctx, c, k)
			if err != nil {
				return err
			}
			return a.printJob(cmd, job)
		})
	}
}

func (a *app) waitCommand() *cli.Command {
	return &cli.Command{
		Name: "wait", UsageText: "masticcart wait TEAM/ID", Usage: "wait until a job has finished",
		Description: "Prints the finished job. The exit code gives the outcome. Without --timeout it waits indefinitely, " +
			"even while no entry can be reached. With --timeout, exit code 4 means that the job has not finished yet.\n\n" +
			"Example:\n  masticcart wait prism/fit-7 --timeout 1h",
		Action: a.wait,
	}
}

func (a *app) wait(ctx context.Context, cmd *cli.Command) error {
	k, err := jobKeyArgument(cmd)
	if err != nil {
		return err
	}
	timeout := time.Duration(0)
	if cmd.IsSet(flagTimeout) {
		if timeout, err = globalTimeout(cmd); err != nil {
			return err
		}
	}
	c, waitCtx, closeClient, err := a.connect(ctx, cmd, timeout, 0)
	if err != nil {
		return err
	}
	defer closeClient()
	job, err := c.WaitFinished(waitCtx, k)
	if err != nil && waitCtx.Err() != nil && job.Spec.Key == k {
		_, _ = fmt.Fprintln(a.stderr, "masticcart: stopped waiting; the job has not finished")
		if err := a.printJob(cmd, job); err != nil {
			return err
		}
		return &exitCodeError{exitUnknown}
	}
	if err != nil {
		return err
	}
	if err := a.printJob(cmd, job); err != nil {
		return err
	}
	if job.Outcome == nil {
		return &exitCodeError{exitUnknown}
	}
	return errorForResult(job.Outcome.Result)
}
