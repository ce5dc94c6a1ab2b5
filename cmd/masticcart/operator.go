package main

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/urfave/cli/v3"

	"masticcart.example/masticcart/internal/client"
	"masticcart.example/masticcart/internal/client/api"
)

const (
	flagBase   = "base"
	flagDryRun = "dry-run"
)

// commands lists all commands in the order of the help text.
func (a *app) commands() []*cli.Command {
	return []*cli.Command{
		a.requestCommand(), a.submitCommand(), a.statusCommand(), a.waitCommand(), a.cancelCommand(),
		a.queryCommand(), a.explainCommand(), a.changeCommand(), a.configCommand(), a.tokenCommand(),
		a.platformCommand(), a.checkConfigCommand(),
	}
}

func (a *app) queryCommand() *cli.Command {
	return &cli.Command{
		Name: "query", UsageText: "masticcart query 'TEXT'", Usage: "query the state of jobs, workers, teams and rules",
		Description: "Queries:\n" +
			"  show jobs|workers|upstreams|teams|guarantees|rules|entries\n" +
			"       [where FIELD OP VALUE {and FIELD OP VALUE}] [sort by FIELD [asc|desc]] [limit N]\n" +
			"  explain job TEAM/ID\n  config status\n" +
			"The fields are the columns of the output. OP is = != < <= > >= or ~ (contains). A value needs double quotes if " +
			"it has characters other than letters, digits and . _ - + / : . Durations are written as 90s, 2h30m or never. " +
			"The state of a job is waiting, holding, running, stopping, done, failed, refused, cancelled or unknown; that of " +
			"a worker or upstream alive, leaving, quarantined or lost. A team sees only its own jobs, guarantees and " +
			"quota.\n\nExamples:\n  masticcart query 'show jobs where state = waiting and accelerators >= 64 sort by age " +
			"desc limit 10'\n  masticcart query 'show workers where state != alive'\n" +
			"  masticcart query 'show teams where unmet > 0' -o json",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			text, err := singleArgument(cmd, "'TEXT'")
			if err != nil {
				return err
			}
			return a.runQuery(ctx, cmd, text)
		},
	}
}

func (a *app) explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", UsageText: "masticcart explain TEAM/ID", Usage: "explain the state of a job",
		Description: "Prints the rule that applies to the job, the figures that determine its state, and what would change " +
			"the state.\n\nExample:\n  masticcart explain prism/fit-7",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			k, err := jobKeyArgument(cmd)
			if err != nil {
				return err
			}
			return a.runQuery(ctx, cmd, "explain job "+k.String())
		},
	}
}

func (a *app) runQuery(ctx context.Context, cmd *cli.Command, text string) error {
	return a.withClient(ctx, cmd, func(ctx context.Context, c *client.Client) error {
		r, err := c.Query(ctx, text)
		if err != nil {
			return err
		}
		if len(r.Incomplete) > 0 {
			fmt.Fprintln(a.stderr, "masticcart: incomplete result, no owner replied for cells:",
				strings.Join(r.Incomplete, ", "), "(their jobs and workers are missing)")
		}
		return a.printValue(cmd, r, r)
	})
}

func (a *app) changeCommand() *cli.Command {
	return &cli.Command{
		Name: "change", UsageText: "masticcart change --base N [--dry-run] 'COMMAND {; COMMAND}'",
		Usage: "change teams, guarantees and rules",
		Description: "Applies the commands as one change: all of them or none. If the argument is -, they are read from " +
			"stdin. --base is the version that the change is based on, as printed by 'config show'. If the configuration " +
			"has changed since, the change is refused with exit code 7 and the changes since are printed. --base=-1 applies " +
			"the change to the current version. An accepted change is in force in every region within 10 s (see 'config " +
			"status') and is never rolled back. After exit code 4 check 'config show' before repeating the change.\n" +
			"Commands:\n" +
			"  create team NAME [token-hash H]... [max-accelerators N]\n" +
			"  set team NAME [token-hash H]... [max-accelerators N]     given hashes replace all; N = 0 means no quota\n" +
			"  remove team NAME\n" +
			"  set guarantee TEAM in CELL N accelerators adjacent worker|rack|datacenter count N\n" +
			"  remove guarantee TEAM in CELL [N accelerators adjacent worker|rack|datacenter]\n" +
			"  set rule KIND class urgent|normal|deferrable priority N [max-wait DURATION]\n" +
			"           [cross-region-price DURATION|never]             replaces the whole rule\n" +
			"  remove rule KIND\n" +
			"  set weights completion-time F fragmentation F            each from 0 to 1\n" +
			"  evacuate cell CELL                                        nothing starts there; running work goes on\n" +
			"  restore cell CELL\n" +
			"  set operators token-hash H ...                            replaces all; disables the bootstrap token\n" +
			"A guarantee that does not fit into the cell's workers is refused with the reason.\n\n" +
			"Examples:\n  masticcart change --base 12 'create team prism token-hash 9f86d0...0a08 max-accelerators 256'\n" +
			"  masticcart change --base 13 --dry-run 'set guarantee prism in riga-1 16 accelerators adjacent rack count 2'\n" +
			"  masticcart change --base 13 'set rule inspector-check class urgent priority 1 cross-region-price 20ms;\n" +
			"    set rule retrace class deferrable priority 9 max-wait 8h'",
		Flags: []cli.Flag{
			&cli.Int64Flag{Name: flagBase, Required: true, Usage: "`VERSION` that the change is based on; -1: the current one"},
			&cli.BoolFlag{Name: flagDryRun, Usage: "check and print the change without applying it"},
		},
		Action: a.change,
	}
}

func (a *app) change(ctx context.Context, cmd *cli.Command) error {
	text, err := singleArgument(cmd, "'COMMANDS'")
	if err != nil {
		return err
	}
	if text == "-" {
		data, err := a.readInput(text)
		if err != nil {
			return err
		}
		text = string(data)
	}
	body := api.ChangeBody{Base: cmd.Int64(flagBase), DryRun: cmd.Bool(flagDryRun), Commands: text}
	return a.withClient(ctx, cmd, func(ctx context.Context, c *client.Client) error {
		r, err := c.Change(ctx, body)
		var replyErr *client.ReplyError
		if errors.As(err, &replyErr) {
			for _, line := range replyErr.Changes {
				_, _ = fmt.Fprintln(a.stderr, line)
			}
		}
		if err != nil {
			return err
		}
		return a.printFields(cmd, r, [][]string{{"version", fmt.Sprint(r.Version)}, {"summary", r.Summary}})
	})
}

func (a *app) configCommand() *cli.Command {
	return &cli.Command{
		Name: "config", Usage: "print the configuration or the version that each process applies",
		Action: func(_ context.Context, cmd *cli.Command) error {
			return usageErrorf("config: want status or show, got %q", cmd.Args().First())
		},
		Commands: []*cli.Command{
			{
				Name: "status", UsageText: "masticcart config status",
				Usage:       "print the configuration version that each process applies",
				Description: "Lists entries and agents with their configuration versions.\n\nExample:\n  masticcart config status",
				Action:      a.configStatus,
			},
			{
				Name: "show", UsageText: "masticcart config show", Usage: "print the configuration in force",
				Description: "Prints the version, which 'change --base' takes, and the configuration without token hashes.\n\n" +
					"Example:\n  masticcart config show -o json",
				Action: a.configShow,
			},
		},
	}
}

func (a *app) configStatus(ctx context.Context, cmd *cli.Command) error {
	if err := rejectArguments(cmd); err != nil {
		return err
	}
	return a.withClient(ctx, cmd, func(ctx context.Context, c *client.Client) error {
		r, err := c.ConfigStatus(ctx)
		if err != nil {
			return err
		}
		var rows [][]string
		for _, p := range r.Rows {
			rows = append(rows, []string{p.Process, p.Role, p.Region, p.Cell, fmt.Sprint(p.Version)})
		}
		return a.printRows(cmd, r, []string{"process", "role", "region", "cell", "version"}, rows)
	})
}

func (a *app) configShow(ctx context.Context, cmd *cli.Command) error {
	if err := rejectArguments(cmd); err != nil {
		return err
	}
	return a.withClient(ctx, cmd, func(ctx context.Context, c *client.Client) error {
		conf, err := c.Config(ctx)
		if err != nil {
			return err
		}
		return a.printFields(cmd, conf, configFields(&conf))
	})
}

func (a *app) tokenCommand() *cli.Command {
	return &cli.Command{
		Name: "token", Usage: "hash tokens",
		Action: func(_ context.Context, cmd *cli.Command) error {
			return usageErrorf("token: want hash, got %q", cmd.Args().First())
		},
		Commands: []*cli.Command{{
			Name: "hash", UsageText: "masticcart token hash < FILE", Usage: "print the hash of a token for 'create team'",
			Description: "Reads a token from the first line of stdin and prints its SHA-256 hash. No entry is contacted.\n\n" +
				"Example:\n  masticcart token hash < prism.token",
			Action: a.tokenHash,
		}},
	}
}

func (a *app) tokenHash(_ context.Context, cmd *cli.Command) error {
	if err := rejectArguments(cmd); err != nil {
		return err
	}
	line, err := bufio.NewReader(io.LimitReader(a.stdin, maxInputBytes)).ReadString('\n')
	if err != nil && !errors.Is(err, io.EOF) {
		return fmt.Errorf("read token: %w", err)
	}
	token := strings.TrimRight(line, "\r\n")
	if token == "" {
		return usageErrorf("token hash: no token on stdin")
	}
	sum := sha256.Sum256([]byte(token))
	_, err = fmt.Fprintln(a.stdout, hex.EncodeToString(sum[:]))
	return err
}
