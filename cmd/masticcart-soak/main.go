// Command masticcart-soak runs real entries and agents against simulated workers and a simulated store, injects faults
// and checks the platform's rules.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"masticcart.example/masticcart/internal/soak"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	app := &cli.Command{
		Name:  "masticcart-soak",
		Usage: "inject seeded faults into real processes; exit code 1 if a rule is broken",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "`SEED` of the faults; 0 chooses one at random and prints it"},
			&cli.DurationFlag{Name: "for", Value: 30 * time.Second, Usage: "duration of the fault injection"},
			&cli.IntFlag{Name: "entries", Value: 3},
			&cli.IntFlag{Name: "workers", Value: 6, Usage: "number of workers, each with an agent"},
			&cli.IntFlag{Name: "ballast", Usage: "`MB` of memory that each worker allocates"},
			&cli.FloatFlag{Name: "rate", Value: 2, Usage: "submissions per second"},
			&cli.StringFlag{Name: "daemon", Value: "bin/masticcartd", Usage: "`PATH` of the masticcartd program"},
			&cli.StringFlag{Name: "keep", Usage: "`DIR` for settings and logs; default: temporary, kept if a rule is broken"},
		},
		Action:   run,
		Commands: simulatorCommands(),
	}
	err := app.Run(ctx, os.Args)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "masticcart-soak:", err)
		os.Exit(1)
	}
}

// simulatorCommands returns the hidden commands that a run starts as processes to simulate workers, the store and an
// operator.
func simulatorCommands() []*cli.Command {
	requiredString := func(name string) cli.Flag { return &cli.StringFlag{Name: name, Required: true} }
	return []*cli.Command{
		{Name: "worker", Hidden: true, Flags: []cli.Flag{requiredString("id"), requiredString("rack"), requiredString("zone"),
			requiredString("listen"), requiredString("control"), &cli.IntFlag{Name: "ballast"},
			&cli.BoolFlag{Name: "ignore-capacity"}},
			Action: func(ctx context.Context, c *cli.Command) error {
				return soak.RunWorker(ctx, c.String("id"), c.String("rack"), c.String("zone"), c.String("listen"), c.String("control"),
					c.Int("ballast"), c.Bool("ignore-capacity"))
			}},
		{Name: "store", Hidden: true, Flags: []cli.Flag{requiredString("listen")},
			Action: func(ctx context.Context, c *cli.Command) error { return soak.RunStore(ctx, c.String("listen")) }},
		{Name: "operator", Hidden: true, Flags: []cli.Flag{requiredString("store"),
			&cli.Uint64Flag{Name: "seed", Required: true}},
			Action: func(ctx context.Context, c *cli.Command) error {
				return soak.RunOperator(ctx, c.String("store"), c.Uint64("seed"))
			}},
	}
}

func run(ctx context.Context, c *cli.Command) error {
	seed := c.Uint64("seed")
	if seed == 0 {
		seed = uint64(time.Now().UnixNano()) % 1_000_000
	}
	daemon, err := filepath.Abs(c.String("daemon"))
	if err != nil {
		return err
	}
	dir := c.String("keep")
	if dir == "" {
		if dir, err = os.MkdirTemp("", "masticcart-soak-"); err != nil {
			return err
		}
	} else if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	fmt.Printf("seed %d, logs in %s\n", seed, dir)
	violations, err := soak.Run(ctx, soak.Options{Seed: seed, FaultDuration: c.Duration("for"), Entries: c.Int("entries"),
		Workers: c.Int("workers"), SubmissionRate: c.Float("rate"), BallastMB: c.Int("ballast"),
		DaemonPath: daemon, StandinPath: self, OutputDir: dir})
	if err != nil {
		return err
	}
	for _, v := range violations {
		fmt.Println("BROKEN", v)
	}
	if len(violations) > 0 {
		return fmt.Errorf("seed %d: %d rules broken; logs in %s", seed, len(violations), dir)
	}
	fmt.Printf("seed %d: no rule broken\n", seed)
	if c.String("keep") == "" {
		return os.RemoveAll(dir)
	}
	return nil
}
