// Command jasmined runs one node of the fleet beside an upstream.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jasminevane/jasminevane/node"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// flushTimeout limits how long the process waits at exit for its last log lines to be written.
const flushTimeout = 100 * time.Millisecond

func main() {
	cmd := &cli.Command{
		Name:  "jasmined",
		Usage: "route, admit and protect the requests of a fleet",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "settings file in TOML", Required: true},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
		Action: run,
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	file := cmd.String("config")
	cfg, err := node.LoadSettings(file)
	if err != nil {
		return err
	}
	if cmd.Bool("check") {
		fmt.Println("settings are valid")
		return nil
	}
	node.LimitMemory()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	sink := node.NewLogSink(os.Stdout)
	defer sink.Flush(flushTimeout)
	n, err := node.New(cfg, node.Options{Logger: node.NewLogger(sink, cfg)})
	if err != nil {
		return errors.Wrap(err, "start")
	}
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go n.WatchSettings(ctx, file, hup)
	return n.Run(ctx)
}
