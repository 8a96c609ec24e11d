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

// flags are shared by the commands that measure.
func flags() []cli.Flag {
	return []cli.Flag{
		&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of load and faults"},
		&cli.BoolFlag{Name: "quick", Usage: "end within 40 s"},
		&cli.BoolFlag{Name: "baseline", Usage: "measure the baseline beside (not built yet)"},
		&cli.StringFlag{Name: "shape", Value: "carritos", Usage: "carritos or foldlab"},
		&cli.IntSliceFlag{Name: "nodes", Usage: "numbers of nodes"},
	}
}

func options(cmd *cli.Command) experiment.Options {
	return experiment.Options{
		Seed:     cmd.Uint64("seed"),
		Quick:    cmd.Bool("quick"),
		Shape:    cmd.String("shape"),
		Nodes:    cmd.IntSlice("nodes"),
		Out:      os.Stdout,
		Progress: os.Stderr,
	}
}

// longest bounds the time of any experiment.
const longest = 10 * time.Minute

func runCommand() *cli.Command {
	return &cli.Command{
		Name:      "run",
		Usage:     "run an experiment: " + strings.Join(experiment.Names(), ", "),
		ArgsUsage: "NAME",
		Flags:     flags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() != 1 {
				return errors.Errorf("want the name of one experiment: %s", strings.Join(experiment.Names(), ", "))
			}
			if cmd.Bool("baseline") {
				return errors.New("the baseline is not built yet")
			}
			ctx, cancel := context.WithTimeout(ctx, longest)
			defer cancel()
			return experiment.Execute(ctx, cmd.Args().First(), options(cmd))
		},
	}
}

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a small fleet under load and faults and audit its promises",
		Flags: flags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			ctx, cancel := context.WithTimeout(ctx, longest)
			defer cancel()
			return experiment.Demo(ctx, options(cmd))
		},
	}
}
