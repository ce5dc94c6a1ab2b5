// Command masticcart-soak runs real entries and agents beside stand-ins, injects faults and checks the platform's rules.
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
		Usage: "play a seed of faults against real processes; exit code 1 if a rule is broken",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "`SEED` of the faults; 0 draws one and prints it"},
			&cli.DurationFlag{Name: "for", Value: 30 * time.Second, Usage: "how long faults are injected"},
			&cli.IntFlag{Name: "entries", Value: 3},
			&cli.IntFlag{Name: "workers", Value: 6, Usage: "each with an agent"},
			&cli.IntFlag{Name: "ballast", Usage: "`MB` of memory that each worker occupies"},
			&cli.FloatFlag{Name: "rate", Value: 2, Usage: "submissions a second"},
			&cli.StringFlag{Name: "daemon", Value: "bin/masticcartd", Usage: "`PATH` of masticcartd"},
			&cli.StringFlag{Name: "keep", Usage: "`DIR` for settings and logs; else a temporary one, kept if a rule is broken"},
		},
		Action:   run,
		Commands: standIns(),
	}
	err := app.Run(ctx, os.Args)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "masticcart-soak:", err)
		os.Exit(1)
	}
}

// standIns are the processes that a run starts beside the programs under test.
func standIns() []*cli.Command {
	text := func(name string) cli.Flag { return &cli.StringFlag{Name: name, Required: true} }
	return []*cli.Command{
		{Name: "worker", Hidden: true, Flags: []cli.Flag{text("id"), text("rack"), text("listen"), text("control"),
			&cli.IntFlag{Name: "ballast"}},
			Action: func(ctx context.Context, c *cli.Command) error {
				return soak.RunWorker(ctx, c.String("id"), c.String("rack"), c.String("listen"), c.String("control"),
					c.Int("ballast"))
			}},
		{Name: "store", Hidden: true, Flags: []cli.Flag{text("listen")},
			Action: func(ctx context.Context, c *cli.Command) error { return soak.RunStore(ctx, c.String("listen")) }},
		{Name: "operator", Hidden: true, Flags: []cli.Flag{text("store"), &cli.Uint64Flag{Name: "seed", Required: true}},
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
	broken, err := soak.Run(ctx, soak.Options{Seed: seed, FaultDuration: c.Duration("for"), Entries: c.Int("entries"),
		Workers: c.Int("workers"), SubmissionRate: c.Float("rate"), BallastMB: c.Int("ballast"),
		DaemonPath: daemon, StandinPath: self, OutputDir: dir})
	if err != nil {
		return err
	}
	for _, b := range broken {
		fmt.Println("BROKEN", b)
	}
	if len(broken) > 0 {
		return fmt.Errorf("seed %d: %d rules broken; logs in %s", seed, len(broken), dir)
	}
	fmt.Printf("seed %d: no rule broken\n", seed)
	if c.String("keep") == "" {
		return os.RemoveAll(dir)
	}
	return nil
}
