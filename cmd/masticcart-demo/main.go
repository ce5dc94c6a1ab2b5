// Command masticcart-demo writes the settings of the demo deployment and runs its scenario.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"masticcart.example/masticcart/internal/demo"
)

func main() {
	dir := &cli.StringFlag{Name: "dir", Value: ".run/demo", Usage: "directory for settings and logs"}
	app := &cli.Command{
		Name:  "masticcart-demo",
		Usage: "prepare and run the demo deployment on the loopback interface",
		Commands: []*cli.Command{
			{
				Name: "prepare", Usage: "write the settings of all processes",
				Flags: []cli.Flag{dir, &cli.IntFlag{Name: "base-port", Value: 21000, Usage: "lowest port to use"}},
				Action: func(_ context.Context, c *cli.Command) error {
					_, err := demo.PrepareDeployment(c.String("dir"), c.Int("base-port"), demo.DefaultSizes())
					return err
				},
			},
			{
				Name: "drive", Usage: "submit the work of a scenario file and check its outcomes",
				Flags: []cli.Flag{dir, &cli.StringFlag{Name: "scenario", Value: "examples/demo.jsonc", Usage: "scenario file"}},
				Action: func(ctx context.Context, c *cli.Command) error {
					return demo.RunScenario(ctx, c.String("dir"), c.String("scenario"), os.Stdout)
				},
			},
		},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "masticcart-demo:", err)
		os.Exit(1)
	}
}
