// Command masticcart-bench compares the placement policy with its baselines on seeded loads and checks that the results
// stay within their bounds.
package main

import (
	"context"
	"fmt"
	"os"
	"runtime"

	"github.com/urfave/cli/v3"

	"masticcart.example/masticcart/internal/experiment"
)

// maxCores limits the CPU cores that a run uses, since the machine is shared.
const maxCores = 4

func main() {
	cmd := &cli.Command{
		Name:  "masticcart-bench",
		Usage: "compare the placement policy with its baselines and check the bounds of the results",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "short", Usage: "use smaller loads, and skip measurements of wall time"},
			&cli.StringFlag{
				Name:  "only",
				Usage: "run only loads whose name contains this text; \"rules\": disable each rule of the policy in turn",
			},
			&cli.IntFlag{Name: "seeds", Value: 3, Usage: "number of seeds"},
		},
		Action: run,
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(_ context.Context, cmd *cli.Command) error {
	runtime.GOMAXPROCS(min(maxCores, runtime.NumCPU()))
	suite := experiment.Suite{Short: cmd.Bool("short"), Filter: cmd.String("only"), Out: os.Stdout}
	for i := range cmd.Int("seeds") {
		suite.Seeds = append(suite.Seeds, uint64(i)+1)
	}
	missedBounds, err := suite.Run()
	if err != nil {
		return err
	}
	for _, m := range missedBounds {
		fmt.Println("missed:", m)
	}
	if len(missedBounds) > 0 {
		return fmt.Errorf("%d bounds missed", len(missedBounds))
	}
	fmt.Println("all bounds hold")
	return nil
}
