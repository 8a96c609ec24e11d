package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/jasminevane/jasminevane/jasminelab/soak"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// soakCommand plays drawn faults on a fleet and checks its promises.
func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run fleets on the platform's contract under drawn faults and check their promises",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first seed; 0 for one drawn from the clock"},
			&cli.IntFlag{Name: "count", Value: 1, Usage: "number of seeds"},
			&cli.DurationFlag{Name: "span", Value: 15 * time.Second, Usage: "time for which faults begin and end"},
			&cli.IntFlag{Name: "nodes", Value: 8},
			&cli.StringFlag{Name: "logs", Usage: "directory for the nodes' logs"},
			&cli.BoolFlag{Name: "verbose", Usage: "print every fault"},
		},
		Action: soakSeeds,
	}
}

func soakSeeds(ctx context.Context, cmd *cli.Command) error {
	seed := cmd.Uint64("seed")
	if seed == 0 {
		seed = uint64(time.Now().UnixNano())
	}
	broken := 0
	for i := range uint64(cmd.Int("count")) {
		cfg := soak.Config{Seed: seed + i, Span: cmd.Duration("span"), Nodes: cmd.Int("nodes")}
		if dir := cmd.String("logs"); dir != "" {
			cfg.LogDir = filepath.Join(dir, fmt.Sprint(cfg.Seed))
			if err := os.MkdirAll(cfg.LogDir, 0o700); err != nil {
				return errors.Wrap(err, "logs")
			}
		}
		if cmd.Bool("verbose") {
			cfg.Out = os.Stdout
		}
		rep, err := soak.Run(ctx, cfg)
		if err != nil {
			return errors.Wrapf(err, "seed %d", cfg.Seed)
		}
		printReport(rep)
		if len(rep.Breaches) > 0 {
			broken++
		}
	}
	if broken > 0 {
		return errors.Errorf("promises were broken in %d of %d seeds", broken, cmd.Int("count"))
	}
	return nil
}

func printReport(rep soak.Report) {
	fmt.Printf("seed %d: %d faults, %d requests, %d with a whole answer, %.3f served after the faults, %d callers left, %d questions after versions, longest stall %v, broken %d\n",
		rep.Seed, rep.Steps, rep.Requests, rep.Served, rep.ServedShare, rep.Left, rep.VersionProbes, rep.MaxStall.Round(time.Millisecond), len(rep.Breaches))
	for _, b := range rep.Breaches {
		fmt.Printf("  %.2fs %s: %s\n", b.At.Seconds(), b.Promise, b.Text)
	}
}
