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

// answerGrace is what the client waits beyond a request's own deadline, so that it receives the entry's answer about
// the deadline instead of reporting an unknown outcome itself.
const answerGrace = 2 * time.Second

// Names of the flags that describe work.
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

func workFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagID, Usage: "`ID` of the work; a new one is made and printed on stderr if it is absent"},
		&cli.StringFlag{Name: flagTeam, Usage: "`TEAM` that the work belongs to"},
		&cli.StringFlag{Name: flagKind, Usage: "`KIND` of work, which selects the rule"},
		&cli.StringFlag{Name: flagService, Usage: "`SERVICE` of the executors; not for accelerators"},
		&cli.StringFlag{Name: flagPayload, Usage: "payload as `JSON`"},
		&cli.StringFlag{Name: flagPayloadFile, Usage: "`FILE` with the payload as JSON, - for stdin"},
	}
}

func (a *app) requestCommand() *cli.Command {
	return &cli.Command{
		Name: "request", UsageText: "masticcart request --team TEAM --kind KIND --service SERVICE [options]",
		Usage: "send a short request and wait for its outcome",
		Description: "Runs a short request on an executor of the service and prints the complete output. --timeout is the " +
			"deadline of the request. The exit code is the outcome; 3 (refused) means that the request did not run and 4 " +
			"(unknown) that it may have run. Repeat a request only under the same --id. With --idempotent=false the " +
			"request is recorded first and runs at most once.\n\n" +
			"Example:\n  masticcart request --team prism --kind inspector-check --service prism-planner \\\n" +
			"    --payload '{\"part\": 7}' --timeout 2s",
		Flags: append(workFlags(),
			&cli.BoolFlag{Name: flagIdempotent, Value: true, Usage: "the request may run again after a loss"}),
		Action: a.request,
	}
}

func (a *app) request(ctx context.Context, cmd *cli.Command) error {
	if err := noArguments(cmd); err != nil {
		return err
	}
	timeout, err := timeoutOf(cmd)
	if err != nil {
		return err
	}
	payload, err := a.payload(cmd)
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
	c, ctx, done, err := a.connect(ctx, cmd, timeout, answerGrace)
	if err != nil {
		return err
	}
	defer done()
	o, err := c.Request(ctx, body)
	if err != nil {
		return err
	}
	if err := a.printOutcome(cmd, body.Team+"/"+body.ID, o); err != nil {
		return err
	}
	return outcomeError(o.Result)
}

// ensureID makes an id and tells it, so that the same work can be asked for again.
func (a *app) ensureID(id *string) {
	if *id == "" {
		*id = uuid.NewString()
		_, _ = fmt.Fprintln(a.stderr, "id:", *id)
	}
}

func (a *app) payload(cmd *cli.Command) (json.RawMessage, error) {
	data := []byte(cmd.String(flagPayload))
	if file := cmd.String(flagPayloadFile); file != "" {
		if len(data) > 0 {
			return nil, usagef("--payload and --payload-file exclude each other")
		}
		var err error
		if data, err = a.readInput(file); err != nil {
			return nil, err
		}
	}
	if len(data) > 0 && !json.Valid(data) {
		return nil, usagef("the payload is not valid JSON")
	}
	return data, nil
}

func (a *app) submitCommand() *cli.Command {
	return &cli.Command{
		Name: "submit", UsageText: "masticcart submit --team TEAM --kind KIND (--accelerators N --adjacency A | --slots 1 --service S) [options]",
		Usage: "submit a job",
		Description: "Records a job and prints it. Once the command has succeeded the job is not lost. Submitting the same " +
			"job again under the same --id is safe and has no further effect; another job under a used id is refused. " +
			"--file reads the job from JSON with the fields id, team, kind, service, shape {accelerators, adjacency, " +
			"slots}, idempotent, preemptible, run_time_ms, deadline_ms and payload; flags override its fields. Use 'wait' " +
			"for the outcome.\n\n" +
			"Examples:\n  masticcart submit --team prism --kind surface-fit --accelerators 16 --adjacency rack --idempotent --id fit-7\n" +
			"  masticcart submit --file job.json",
		Flags: append(workFlags(),
			&cli.StringFlag{Name: flagFile, Usage: "`FILE` with the job as JSON, - for stdin"},
			&cli.IntFlag{Name: flagAccelerators, Usage: "`NUMBER` of accelerators, all of which the job gets or none"},
			&cli.StringFlag{Name: flagAdjacency, Usage: "what the accelerators must share: `worker, rack or datacenter`"},
			&cli.IntFlag{Name: flagSlots, Usage: "`NUMBER` of executor slots: 1"},
			&cli.BoolFlag{Name: flagIdempotent, Usage: "the job may be started again after a loss; other jobs start at most once"},
			&cli.BoolFlag{Name: flagPreemptible, Usage: "the job can be stopped when its capacity is claimed back; needs --idempotent"},
			&cli.DurationFlag{Name: flagRunTime, Usage: "expected run `TIME`"},
			&cli.DurationFlag{Name: flagDeadline, Usage: "refuse the job if it has not started within this `TIME`"},
		),
		Action: a.submit,
	}
}

func (a *app) submit(ctx context.Context, cmd *cli.Command) error {
	if err := noArguments(cmd); err != nil {
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
			_, _ = fmt.Fprintln(a.stderr, "the job was accepted before")
		}
		return a.printJob(cmd, job)
	})
}

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
			return b, usagef("%s: %w", file, err)
		}
	}
	payload, err := a.payload(cmd)
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
		Description: "Prints the durable record. The exit code tells whether the record was found (0) or not (1), not how " +
			"the job ended. See 'explain' for the reason of a state.\n\nExample:\n  masticcart status prism/fit-7 -o json",
		Action: a.jobAction(func(ctx context.Context, c *client.Client, k model.JobKey) (model.Job, error) {
			return c.Job(ctx, k)
		}),
	}
}

func (a *app) cancelCommand() *cli.Command {
	return &cli.Command{
		Name: "cancel", UsageText: "masticcart cancel TEAM/ID", Usage: "ask for a job to be cancelled",
		Description: "Records the cancellation request and prints the job. A job that runs is stopped; 'wait' tells how it ended, which " +
			"may still be done.\n\nExample:\n  masticcart cancel prism/fit-7 && masticcart wait prism/fit-7",
		Action: a.jobAction(func(ctx context.Context, c *client.Client, k model.JobKey) (model.Job, error) {
			return c.Cancel(ctx, k)
		}),
	}
}

func (a *app) jobAction(do func(context.Context, *client.Client, model.JobKey) (model.Job, error)) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		k, err := keyArgument(cmd)
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
		Description: "Prints the finished job. The exit code is the outcome. Without --timeout it waits as long as it " +
			"takes, also while no entry can be reached; with one, exit code 4 means that the job has not finished yet.\n\n" +
			"Example:\n  masticcart wait prism/fit-7 --timeout 1h",
		Action: a.wait,
	}
}

func (a *app) wait(ctx context.Context, cmd *cli.Command) error {
	k, err := keyArgument(cmd)
	if err != nil {
		return err
	}
	timeout := time.Duration(0)
	if cmd.IsSet(flagTimeout) {
		if timeout, err = timeoutOf(cmd); err != nil {
			return err
		}
	}
	c, waitCtx, done, err := a.connect(ctx, cmd, timeout, 0)
	if err != nil {
		return err
	}
	defer done()
	job, err := c.WaitFinished(waitCtx, k)
	if err != nil && waitCtx.Err() != nil && job.Spec.Key == k {
		_, _ = fmt.Fprintln(a.stderr, "masticcart: the wait has ended, but the job has not finished")
		if err := a.printJob(cmd, job); err != nil {
			return err
		}
		return &resultError{exitUnknown}
	}
	if err != nil {
		return err
	}
	if err := a.printJob(cmd, job); err != nil {
		return err
	}
	if job.Outcome == nil {
		return &resultError{exitUnknown}
	}
	return outcomeError(job.Outcome.Result)
}
