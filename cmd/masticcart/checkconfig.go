package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"masticcart.example/masticcart/internal/configcheck"
	"masticcart.example/masticcart/internal/hosted"
	"masticcart.example/masticcart/platform"
)

const (
	flagAgainst = "against"
	flagInForce = "in-force"
)

// checkConfigCommand checks a configuration for the hosting platform.
func (a *app) checkConfigCommand() *cli.Command {
	return &cli.Command{
		Name: "check-config", UsageText: "masticcart check-config [--against FILE | --in-force] FILE",
		Usage: "check a configuration for the hosting platform before it is put in force",
		Description: "Decodes FILE as the entries do and prints errors, warnings (what never matches, and limits that " +
			"contradict each other) and, with one of the options, the differences from another version. FILE may be - for " +
			"stdin. Workers and capacity are checked only with --in-force. The exit code is 1 if there is an error. API keys " +
			"are not printed.\n\nExamples:\n  masticcart check-config next.json\n" +
			"  masticcart check-config --against current.json next.json\n" +
			"  masticcart --entry 10.1.0.19:7000 check-config --in-force next.json",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagAgainst, Usage: "print the differences from the configuration in `FILE`"},
			&cli.BoolFlag{Name: flagInForce,
				Usage: "print the differences from the version in force, as known to the leader among the entries of --entry"},
		},
		Action: a.checkConfig,
	}
}

func (a *app) checkConfig(ctx context.Context, cmd *cli.Command) error {
	name, err := singleArgument(cmd, "FILE")
	if err != nil {
		return err
	}
	inForce, err := a.configInForce(ctx, cmd)
	if err != nil {
		return err
	}
	data, err := a.readInput(name)
	if err != nil {
		return err
	}
	findings := []configcheck.Finding{} // an empty JSON array if there are none
	if catalog, err := platform.DecodeCatalog(data); err != nil {
		findings = []configcheck.Finding{{Level: configcheck.Error, Subject: name, Detail: err.Error()}}
	} else {
		findings = append(findings, configcheck.Check(catalog, inForce.Fleet)...)
		if inForce.Catalog != nil {
			findings = append(findings, configcheck.Compare(inForce.Catalog, configcheck.HashKeys(catalog))...)
		}
	}
	if err := a.printFindings(cmd, findings); err != nil {
		return err
	}
	if configcheck.HasErrors(findings) {
		return &exitCodeError{exitFailed}
	}
	return nil
}

// configInForce returns the configuration to compare with, and the known workers. Both are empty if no option asks for
// them.
func (a *app) configInForce(ctx context.Context, cmd *cli.Command) (*configcheck.InForce, error) {
	file, entries := cmd.String(flagAgainst), cmd.StringSlice(flagEntry)
	switch {
	case file != "" && cmd.Bool(flagInForce):
		return nil, usageErrorf("--%s and --%s exclude each other", flagAgainst, flagInForce)
	case file != "":
		data, err := a.readInput(file)
		if err != nil {
			return nil, err
		}
		catalog, err := platform.DecodeCatalog(data)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		return &configcheck.InForce{Catalog: configcheck.HashKeys(catalog)}, nil
	case !cmd.Bool(flagInForce):
		return &configcheck.InForce{}, nil
	case len(entries) == 0:
		return nil, usageErrorf("--%s is required", flagEntry)
	}
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration(flagTimeout))
	defer cancel()
	return hosted.InForce(ctx, entries)
}

func (a *app) printFindings(cmd *cli.Command, findings []configcheck.Finding) error {
	if len(findings) == 0 && cmd.String(flagOutput) != outputJSON {
		_, err := fmt.Fprintln(a.stdout, "no findings")
		return err
	}
	rows := make([][]string, len(findings))
	for i, f := range findings {
		rows[i] = []string{string(f.Level), f.Subject, f.Detail}
	}
	return a.printRows(cmd, findings, []string{"level", "subject", "detail"}, rows)
}
