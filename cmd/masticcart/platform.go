package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"masticcart.example/masticcart/internal/hosted"
)

// platformCommand groups the commands for a deployment on the hosting platform. They only read: callers submit work and
// operators change the configuration through the platform's own interfaces.
func (a *app) platformCommand() *cli.Command {
	return &cli.Command{
		Name:        "platform",
		Usage:       "query a deployment on the hosting platform",
		Description: "Example:\n  masticcart --entry 10.1.0.19:7000 platform explain 5c0e7a21d94b36f8",
		Commands: []*cli.Command{{
			Name: "explain", Usage: "show the state of a job and what it waits for", ArgsUsage: "JOB",
			Description: "--entry takes the address of an entry's first internal port. Only the leader answers, so name all " +
				"entries.\n\nExample:\n  masticcart --entry 10.1.0.19:7000 platform explain 5c0e7a21d94b36f8",
			Action: a.explainPlatform,
		}, {
			Name: "query", Usage: "query the state of jobs, workers and teams", ArgsUsage: "'TEXT'",
			Description: "The query language is that of 'masticcart query'. Queues are listed as rules, and a team's " +
				"guarantee is counted in single accelerators.\n\n" +
				"Example:\n  masticcart --entry 10.1.0.19:7000 platform query 'show jobs where state = waiting sort by age desc'",
			Action: a.queryPlatform,
		}},
	}
}

// platformArgument returns the only argument and the addresses of the entries to query.
func platformArgument(cmd *cli.Command, argumentName string) (argument string, entries []string, err error) {
	if cmd.Args().Len() != 1 {
		return "", nil, usageErrorf("want one %s", argumentName)
	}
	if entries = cmd.StringSlice(flagEntry); len(entries) == 0 {
		return "", nil, usageErrorf("--%s is required", flagEntry)
	}
	return cmd.Args().First(), entries, nil
}

func (a *app) queryPlatform(ctx context.Context, cmd *cli.Command) error {
	text, entries, err := platformArgument(cmd, "'TEXT'")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration(flagTimeout))
	defer cancel()
	result, err := hosted.Query(ctx, entries, text)
	if err != nil {
		return err
	}
	return a.printValue(cmd, result, result)
}

func (a *app) explainPlatform(ctx context.Context, cmd *cli.Command) error {
	job, entries, err := platformArgument(cmd, "JOB")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration(flagTimeout))
	defer cancel()
	explanation, err := hosted.Explain(ctx, entries, job)
	if err != nil {
		return err
	}
	ms := func(n int64) string { return (time.Duration(n) * time.Millisecond).String() }
	rows := [][]string{{"job", string(explanation.State), fmt.Sprintf("queue %s, priority %d, waited %s, objective %s",
		explanation.Queue, explanation.Priority, ms(explanation.WaitedMS), ms(explanation.ObjectiveMS))}}
	if explanation.Reason != "" {
		rows = append(rows, []string{"reason", "", explanation.Reason})
	}
	for _, t := range explanation.Tasks {
		rows = append(rows, []string{t.Task, t.Phase, strings.TrimSpace(fmt.Sprintf(
			"%s run %d, %d%%, %d failed, %d crashes %s", t.Node, t.Run, t.Percent, t.Failures, t.Crashes, t.Reason))})
	}
	return a.printRows(cmd, explanation, []string{"what", "state", "detail"}, rows)
}
