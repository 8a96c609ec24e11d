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

// soakCommand injects random faults into fleets and checks their guarantees.
func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run fleets with the platform's protocols under random faults and check their guarantees",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first seed; 0 to derive it from the clock"},
			&cli.IntFlag{Name: "count", Value: 1, Usage: "number of seeds to run, one after another"},
			&cli.DurationFlag{Name: "span", Value: 15 * time.Second, Usage: "duration of fault injection"},
			&cli.IntFlag{Name: "nodes", Value: 8},
			&cli.StringFlag{Name: "logs", Usage: "directory for the nodes' logs"},
			&cli.BoolFlag{Name: "verbose", Usage: "print every fault"},
		},
		Action: runSoak,
	}
}

func runSoak(ctx context.Context, cmd *cli.Command) error {
	seed := cmd.Uint64("seed")
	if seed == 0 {
		seed = uint64(time.Now().UnixNano())
	}
	violatedSeeds := 0
	for i := range uint64(cmd.Int("count")) {
		cfg := soak.Config{Seed: seed + i, FaultDuration: cmd.Duration("span"), NodeCount: cmd.Int("nodes")}
		if logDir := cmd.String("logs"); logDir != "" {
			cfg.LogDir = filepath.Join(logDir, fmt.Sprint(cfg.Seed))
			if err := os.MkdirAll(cfg.LogDir, 0o700); err != nil {
				return errors.Wrap(err, "create log directory")
			}
		}
		if cmd.Bool("verbose") {
			cfg.Out = os.Stdout
		}
		report, err := soak.Run(ctx, cfg)
		if err != nil {
			return errors.Wrapf(err, "seed %d", cfg.Seed)
		}
		printReport(report)
		if len(report.Violations) > 0 {
			violatedSeeds++
		}
	}
	if violatedSeeds > 0 {
		return errors.Errorf("guarantees were violated in %d of %d seeds", violatedSeeds, cmd.Int("count"))
	}
	return nil
}

func printReport(report soak.Report) {
	fmt.Printf("seed %d: %d faults, %d restorations, %d requests, %d with a whole answer, %.3f served after the faults, %d callers left, %d questions after versions, at most %d writes a second, longest stall %v, broken %d\n",
		report.Seed, report.Steps, report.Restorations, report.Requests, report.Served, report.ServedShare, report.CanceledRequests, report.VersionProbes, report.PeakAppends, report.MaxStall.Round(time.Millisecond), len(report.Violations))
	for _, violation := range report.Violations {
		fmt.Printf("  %.2fs %s: %s\n", violation.At.Seconds(), violation.Guarantee, violation.Text)
	}
}
