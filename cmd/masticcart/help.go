package main

import (
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"
)

const helpIntroduction = `Callers run short requests and jobs. Operators query the state and change teams, guarantees
and rules.

Environment: MASTICCART_ENTRY holds entry addresses separated by commas, MASTICCART_TOKEN the token. If an entry
fails, the call is sent to the next one, with the same id and the same body.

Exit codes:
  0  done: the command succeeded; for 'request' and 'wait': the work is done
  1  failed: the work ran and failed, the job does not exist, or a local error occurred
  2  usage: the command line, the query or the configuration commands are invalid
  3  refused: the work did not run, or the call was refused and had no effect
  4  unknown: the work may have run or the change may have taken effect; for 'wait': the job has not finished
  5  cancelled: the work was cancelled
  6  unreachable: no entry could be reached, and no call was sent
  7  stale: the change is based on an old version; the changes since that version are printed on stderr
Errors and notices go to stderr, results to stdout.
`

// helpText describes all commands with their options and examples, so that 'masticcart --help' is a complete reference.
func helpText(commands []*cli.Command) string {
	var b strings.Builder
	b.WriteString(helpIntroduction)
	for _, c := range commands {
		if len(c.Commands) > 0 {
			writeCommandsHelp(&b, c.Commands)
			continue
		}
		writeCommandHelp(&b, c)
	}
	return strings.TrimRight(b.String(), "\n")
}

func writeCommandsHelp(b *strings.Builder, commands []*cli.Command) {
	for _, c := range commands {
		writeCommandHelp(b, c)
	}
}

// writeCommandHelp writes the usage, description and options of one command.
func writeCommandHelp(b *strings.Builder, c *cli.Command) {
	fmt.Fprintf(b, "\n%s\n", c.UsageText)
	fmt.Fprintf(b, "  %s.\n", strings.ToUpper(c.Usage[:1])+c.Usage[1:])
	for _, line := range strings.Split(c.Description, "\n") {
		for _, wrapped := range wrapLine(line) {
			b.WriteString(strings.TrimRight("  "+wrapped, " ") + "\n")
		}
	}
	if len(c.Flags) > 0 {
		b.WriteString("\n  Options:\n")
	}
	for _, f := range c.Flags {
		fmt.Fprintf(b, "    %s\n", strings.ReplaceAll(f.String(), "\t", "  "))
	}
}

// lineWidth is the width at which descriptions are wrapped, in bytes and without the indentation.
const lineWidth = 100

// wrapLine breaks a line of running text at lineWidth. Indented lines are examples or grammar and are kept unchanged.
func wrapLine(line string) []string {
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
