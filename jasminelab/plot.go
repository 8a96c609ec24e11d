package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 14 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// plotCommand draws the figures of the experiment control over the number of nodes.
func plotCommand() *cli.Command {
	return &cli.Command{
		Name:      "plot",
		Usage:     "draw one figure of run control over the number of nodes",
		ArgsUsage: "MEASURES.jsonl FIGURE OUT.svg",
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() != 3 {
				return errors.New("want the file of measures, the figure (bytes, cpu or memory) and the file of the plot")
			}
			points, unit, err := readControl(cmd.Args().Get(0), cmd.Args().Get(1))
			if err != nil {
				return err
			}
			p := plot.New()
			p.Title.Text = "control of an idle node: " + cmd.Args().Get(1)
			p.X.Label.Text = "nodes"
			p.Y.Label.Text = unit
			p.Y.Min = 0
			if err := plotutil.AddLinePoints(p, points); err != nil {
				return err
			}
			return p.Save(plotWidth, plotHeight, cmd.Args().Get(2))
		},
	}
}

// readControl returns the values of control.N.FIGURE over N.
func readControl(file, figure string) (plotter.XYs, string, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, "", errors.Wrap(err, "read measures")
	}
	defer f.Close()
	var points plotter.XYs
	unit := ""
	for s := bufio.NewScanner(f); s.Scan(); {
		var m struct {
			Name  string  `json:"name"`
			Value float64 `json:"value"`
			Unit  string  `json:"unit"`
		}
		if json.Unmarshal(s.Bytes(), &m) != nil {
			continue
		}
		parts := strings.Split(m.Name, ".")
		if len(parts) != 3 || parts[0] != "control" || parts[2] != figure {
			continue
		}
		n, err := strconv.Atoi(parts[1])
		if err != nil {
			continue
		}
		points = append(points, plotter.XY{X: float64(n), Y: m.Value})
		unit = m.Unit
	}
	if len(points) == 0 {
		return nil, "", fmt.Errorf("no measure control.N.%s in %s", figure, file)
	}
	return points, unit, nil
}
