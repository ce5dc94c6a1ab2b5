package main

import (
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"
)

const introduction = `Callers run short requests and jobs; operators ask what happens and change teams, guarantees and rules.

Environment: MASTICCART_ENTRY holds entry addresses separated by commas, MASTICCART_TOKEN the token. If an entry
fails, the next one is tried, with the same id and the same content.

Exit codes:
  0  done: the command succeeded; for 'request' and 'wait': the work is done
  1  failed: the work ran and failed, there is no such job, or a local error
  2  usage: the command line, the query or the commands cannot be understood
  3  refused: the work did not run, or the call was refused and had no effect
  4  unknown: the work or the change may have taken effect; for 'wait': the job has not finished
  5  cancelled: the work was cancelled
  6  unreachable: no entry could be reached, nothing was sent
  7  stale: the change is based on an old version; what changed since is on stderr
Errors and notes go to stderr, results to stdout.
`

// manual describes all commands with their options and examples, so that --help alone suffices.
func manual(commands []*cli.Command) string {
	var b strings.Builder
	b.WriteString(introduction)
	for _, c := range commands {
		if len(c.Commands) > 0 {
			describeAll(&b, c.Commands)
			continue
		}
		describe(&b, c)
	}
	return strings.TrimRight(b.String(), "\n")
}

func describeAll(b *strings.Builder, commands []*cli.Command) {
	for _, c := range commands {
		describe(b, c)
	}
}

func describe(b *strings.Builder, c *cli.Command) {
	fmt.Fprintf(b, "\n%s\n", c.UsageText)
	fmt.Fprintf(b, "  %s.\n", strings.ToUpper(c.Usage[:1])+c.Usage[1:])
	for _, line := range strings.Split(c.Description, "\n") {
		for _, part := range wrap(line) {
			b.WriteString(strings.TrimRight("  "+part, " ") + "\n")
		}
	}
	if len(c.Flags) > 0 {
		b.WriteString("\n  Options:\n")
	}
	for _, f := range c.Flags {
		fmt.Fprintf(b, "    %s\n", strings.ReplaceAll(f.String(), "\t", "  "))
	}
}

// lineWidth is the width at which the text of a description is wrapped.
const lineWidth = 100

// wrap breaks running text into lines. Indented lines are examples or grammar and stay as they are.
func wrap(line string) []string {
	if strings.HasPrefix(line, " ") || len(line) <= lineWidth {
		return []string{line}
	}
	var lines []string
	current := ""
	for _, word := range strings.Fields(line) {
		if current != "" && len(current)+1+len(word) > lineWidth {
			lines, current = append(lines, current), ""
		}
		if current != "" {
			current += " "
		}
		current += word
	}
	return append(lines, current)
}
