package main

import (
	"context"
	"os"
	"strings"
	"time"

	"github.com/jasminevane/jasminevane/jasminelab/experiment"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// experimentFlags returns the flags shared by the commands run and demo.
func experimentFlags() []cli.Flag {
	return []cli.Flag{
		&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the load and the faults"},
		&cli.BoolFlag{Name: "quick", Usage: "shorten the experiment so that it ends within 40 s"},
		&cli.BoolFlag{Name: "baseline", Usage: "also measure the baseline (not implemented yet)"},
		&cli.StringFlag{Name: "shape", Value: "carritos", Usage: "deployment to run: carritos or foldlab"},
		&cli.IntSliceFlag{Name: "nodes", Usage: "numbers of nodes to measure, for the experiment control"},
	}
}

func experimentOptions(cmd *cli.Command) experiment.Options {
	return experiment.Options{
		Seed:       cmd.Uint64("seed"),
		Quick:      cmd.Bool("quick"),
		Deployment: cmd.String("shape"),
		NodeCounts: cmd.IntSlice("nodes"),
		Out:        os.Stdout,
		Progress:   os.Stderr,
	}
}

// experimentTimeout bounds the duration of an experiment.
const experimentTimeout = 10 * time.Minute

func runCommand() *cli.Command {
	return &cli.Command{
		Name:      "run",
		Usage:     "run an experiment: " + strings.Join(experiment.Names(), ", "),
		ArgsUsage: "NAME",
		Flags:     experimentFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() != 1 {
				return errors.Errorf("expected the name of one experiment: %s", strings.Join(experiment.Names(), ", "))
			}
			if cmd.Bool("baseline") {
				return errors.New("the baseline is not implemented yet")
			}
			ctx, cancel := context.WithTimeout(ctx, experimentTimeout)
			defer cancel()
			return experiment.Execute(ctx, cmd.Args().First(), experimentOptions(cmd))
		},
	}
}

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a small fleet under load and faults and audit its guarantees",
		Flags: experimentFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			ctx, cancel := context.WithTimeout(ctx, experimentTimeout)
			defer cancel()
			return experiment.Demo(ctx, experimentOptions(cmd))
		},
	}
}
