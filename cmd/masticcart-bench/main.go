// masticcart-bench compares the placement policy with its baselines on seeded loads and checks the bounds.
package main

import (
	"context"
	"fmt"
	"os"
	"runtime"

	"github.com/urfave/cli/v3"

	"masticcart.example/masticcart/internal/experiment"
)

// maxCores bounds the processor cores of a run, since the machine is shared.
const maxCores = 4

func main() {
	cmd := &cli.Command{
		Name:  "masticcart-bench",
		Usage: "compare the placement policy with its baselines and check the bounds",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "short", Usage: "smaller loads, counts and virtual time only"},
			&cli.StringFlag{Name: "only", Usage: "run the loads whose name contains this, or \"rules\" for each rule switched off"},
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
	missed, err := suite.Run()
	if err != nil {
		return err
	}
	for _, m := range missed {
		fmt.Println("missed:", m)
	}
	if len(missed) > 0 {
		return fmt.Errorf("%d bounds missed", len(missed))
	}
	fmt.Println("all bounds hold")
	return nil
}
