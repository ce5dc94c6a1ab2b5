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
		}},
	}
}

func (a *app) explainHosted(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return usagef("want one JOB")
	}
	entries := cmd.StringSlice(flagEntry)
	if len(entries) == 0 {
		return usagef("--%s is required", flagEntry)
	}
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration(flagTimeout))
	defer cancel()
	e, err := hosted.Explain(ctx, entries, cmd.Args().First())
	if err != nil {
		return err
	}
	ms := func(n int64) string { return (time.Duration(n) * time.Millisecond).String() }
	rows := [][]string{{"job", string(e.State), fmt.Sprintf("queue %s, priority %d, waited %s, objective %s",
		e.Queue, e.Priority, ms(e.WaitedMS), ms(e.ObjectiveMS))}}
	for _, t := range e.Tasks {
		rows = append(rows, []string{t.Task, t.Phase, strings.TrimSpace(fmt.Sprintf("%s run %d, %d%%, %d failed %s",
			t.Node, t.Run, t.Percent, t.Fails, t.Reason))})
	}
	return a.printRows(cmd, e, []string{"what", "state", "detail"}, rows)
}
