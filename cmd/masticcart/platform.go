package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"masticcart.example/masticcart/internal/hosted"
)

// platformCommand groups what asks a deployment on the users' platform, where callers and operators use interfaces of
// the platform.
func (a *app) platformCommand() *cli.Command {
	return &cli.Command{
		Name:        "platform",
		Usage:       "ask a deployment on the users' platform",
		Description: "Example:\n  masticcart --entry 10.1.0.19:7000 platform explain 5c0e7a21d94b36f8",
		Commands: []*cli.Command{{
			Name: "explain", Usage: "tell where a job stands and what it waits for", ArgsUsage: "JOB",
			Description: "--entry names the first internal port of entries; the one that leads answers.\n\n" +
				"Example:\n  masticcart --entry 10.1.0.19:7000 platform explain 5c0e7a21d94b36f8",
			Action: a.explainHosted,
		}, {
			Name: "query", Usage: "ask what runs, waits or is over", ArgsUsage: "'TEXT'",
			Description: "The language is that of 'masticcart query'. Queues are shown as rules, and a team's guarantee as single " +
				"accelerators.\n\n" +
				"Example:\n  masticcart --entry 10.1.0.19:7000 platform query 'show jobs where state = waiting sort by age desc'",
			Action: a.queryHosted,
		}},
	}
}

// hostedArgument returns the only argument and the entries to ask.
func hostedArgument(cmd *cli.Command, what string) (argument string, entries []string, err error) {
	if cmd.Args().Len() != 1 {
		return "", nil, usagef("want one %s", what)
	}
	if entries = cmd.StringSlice(flagEntry); len(entries) == 0 {
		return "", nil, usagef("--%s is required", flagEntry)
	}
	return cmd.Args().First(), entries, nil
}

func (a *app) queryHosted(ctx context.Context, cmd *cli.Command) error {
	text, entries, err := hostedArgument(cmd, "'TEXT'")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration(flagTimeout))
	defer cancel()
	result, err := hosted.Query(ctx, entries, text)
	if err != nil {
		return err
	}
	return a.printReply(cmd, result, result)
}

func (a *app) explainHosted(ctx context.Context, cmd *cli.Command) error {
	job, entries, err := hostedArgument(cmd, "JOB")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration(flagTimeout))
	defer cancel()
	e, err := hosted.Explain(ctx, entries, job)
	if err != nil {
		return err
	}
	ms := func(n int64) string { return (time.Duration(n) * time.Millisecond).String() }
	rows := [][]string{{"job", string(e.State), fmt.Sprintf("queue %s, priority %d, waited %s, objective %s",
		e.Queue, e.Priority, ms(e.WaitedMS), ms(e.ObjectiveMS))}}
	for _, t := range e.Tasks {
		rows = append(rows, []string{t.Task, t.Phase, strings.TrimSpace(fmt.Sprintf("%s run %d, %d%%, %d failed %s",
			t.Node, t.Run, t.Percent, t.Failures, t.Reason))})
	}
	return a.printRows(cmd, e, []string{"what", "state", "detail"}, rows)
}
