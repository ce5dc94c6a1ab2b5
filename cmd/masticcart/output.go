package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/query"
)

// printValue prints value as JSON or, if --output is table, prints table, which must encode to the JSON form of a query
// reply.
func (a *app) printValue(cmd *cli.Command, value, table any) error {
	if cmd.String(flagOutput) == outputJSON {
		e := json.NewEncoder(a.stdout)
		e.SetIndent("", "  ")
		return e.Encode(value)
	}
	data, err := json.Marshal(table)
	if err != nil {
		return err
	}
	var r query.Result
	if err := json.Unmarshal(data, &r); err != nil {
		return err
	}
	return r.WriteTable(a.stdout)
}

// printRows prints value as JSON, or the rows as a table.
func (a *app) printRows(cmd *cli.Command, value any, columns []string, rows [][]string) error {
	return a.printValue(cmd, value, query.NewTextResult(columns, rows))
}

// printFields prints pairs of a name and a value, without those whose value is empty.
func (a *app) printFields(cmd *cli.Command, value any, pairs [][]string) error {
	var rows [][]string
	for _, p := range pairs {
		if p[1] != "" {
			rows = append(rows, p)
		}
	}
	return a.printRows(cmd, value, []string{"item", "value"}, rows)
}

func (a *app) printOutcome(cmd *cli.Command, key string, o model.Outcome) error {
	return a.printFields(cmd, o, append([][]string{{"request", key}}, outcomeFields(&o)...))
}

func outcomeFields(o *model.Outcome) [][]string {
	if o == nil {
		return nil
	}
	return [][]string{
		{"result", string(o.Result)}, {"ran", fmt.Sprint(o.Ran)}, {"reason", o.Reason}, {"output", string(o.Output)},
	}
}

func (a *app) printJob(cmd *cli.Command, j model.Job) error {
	members := make([]string, len(j.Members))
	for i, m := range j.Members {
		members[i] = m.Agent
	}
	pairs := [][]string{
		{"job", j.Spec.Key.String()}, {"state", string(j.State)}, {"kind", j.Spec.Kind},
		{"shape", j.Spec.Shape.String()}, {"service", j.Spec.Service}, {"cell", j.Cell},
		{"attempt", fmt.Sprint(j.Attempt)}, {"members", strings.Join(members, ",")},
		{"guaranteed", fmt.Sprint(j.Guaranteed)}, {"cancel requested", fmt.Sprint(j.CancelRequested)},
		{"submitted", formatTime(j.Submitted)}, {"claimed", formatTime(j.Claimed)}, {"finished", formatTime(j.Finished)},
	}
	return a.printFields(cmd, j, append(pairs, outcomeFields(j.Outcome)...))
}

func formatTime(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format(time.RFC3339)
}

// configFields describes the configuration in the syntax of the commands that would produce it.
func configFields(c *model.Config) [][]string {
	pairs := [][]string{
		{"version", fmt.Sprint(c.Version)},
		{"weights", fmt.Sprintf("completion-time %g fragmentation %g", c.Weights.CompletionTime, c.Weights.Fragmentation)},
	}
	for _, t := range c.Teams {
		pairs = append(pairs, []string{"team", fmt.Sprintf("%s max-accelerators %d", t.Name, t.MaxAccelerators)})
	}
	for _, g := range c.Guarantees {
		pairs = append(pairs, []string{"guarantee", fmt.Sprintf("%s in %s %d accelerators adjacent %s count %d",
			g.Team, g.Cell, g.Shape.Accelerators, g.Shape.Adjacency, g.Count)})
	}
	for _, r := range c.Rules {
		rule := fmt.Sprintf("%s class %s priority %d", r.Kind, r.Class, r.Priority)
		if r.MaxWait > 0 {
			rule += " max-wait " + r.MaxWait.String()
		}
		price := "never"
		if r.CrossRegionPrice >= 0 {
			price = r.CrossRegionPrice.String()
		}
		pairs = append(pairs, []string{"rule", rule + " cross-region-price " + price})
	}
	return pairs
}
