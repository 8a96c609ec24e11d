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

// plotCommand plots a metric of the control experiment against the number of nodes.
func plotCommand() *cli.Command {
	return &cli.Command{
		Name:      "plot",
		Usage:     "plot a metric of the control experiment against the number of nodes",
		ArgsUsage: "MEASUREMENTS.jsonl METRIC OUT.svg",
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() != 3 {
				return errors.New("expected three arguments: the file of measurements, the metric (bytes, cpu or memory) and the file of the plot")
			}
			points, unit, err := readControlMeasurements(cmd.Args().Get(0), cmd.Args().Get(1))
			if err != nil {
				return err
			}
			chart := plot.New()
			chart.Title.Text = "control of an idle node: " + cmd.Args().Get(1)
			chart.X.Label.Text = "nodes"
			chart.Y.Label.Text = unit
			chart.Y.Min = 0
			if err := plotutil.AddLinePoints(chart, points); err != nil {
				return err
			}
			return chart.Save(plotWidth, plotHeight, cmd.Args().Get(2))
		},
	}
}

// readControlMeasurements returns the values of the measurements control.N.METRIC by N, and their unit.
func readControlMeasurements(file, metric string) (plotter.XYs, string, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, "", errors.Wrap(err, "open measurements")
	}
	defer f.Close()
	var points plotter.XYs
	unit := ""
	for scanner := bufio.NewScanner(f); scanner.Scan(); {
		var measurement struct {
			Name  string  `json:"name"`
			Value float64 `json:"value"`
			Unit  string  `json:"unit"`
		}
		if json.Unmarshal(scanner.Bytes(), &measurement) != nil {
			continue
		}
		parts := strings.Split(measurement.Name, ".")
		if len(parts) != 3 || parts[0] != "control" || parts[2] != metric {
			continue
		}
		nodes, err := strconv.Atoi(parts[1])
		if err != nil {
			continue
		}
		points = append(points, plotter.XY{X: float64(nodes), Y: measurement.Value})
		unit = measurement.Unit
	}
	if len(points) == 0 {
		return nil, "", fmt.Errorf("no measurement control.N.%s in %s", metric, file)
	}
	return points, unit, nil
}
