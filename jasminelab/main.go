// Command jasminelab runs nodes, fakes of external systems, load and experiments on loopback.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jasminevane/jasminevane/jasminelab/link"
	"github.com/jasminevane/jasminevane/node"
	"github.com/urfave/cli/v3"
)

// flushTimeout bounds how long a node waits at exit for its last log lines to be written.
const flushTimeout = 100 * time.Millisecond

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	cmd := &cli.Command{
		Name:  "jasminelab",
		Usage: "run fakes of outside systems, load and experiments on loopback",
		Commands: []*cli.Command{
			runCommand(), demoCommand(), soakCommand(), logCommand(), upstreamCommand(), plotCommand(), nodeCommand(), forwardCommand(),
		},
	}
	if err := cmd.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		stop()
		os.Exit(1)
	}
}

// nodeCommand runs one node whose connections to other nodes pass through a simulated network.
func nodeCommand() *cli.Command {
	return &cli.Command{
		Name:   "node",
		Usage:  "run one node behind a simulated network",
		Hidden: true,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Required: true},
			&cli.StringFlag{Name: "link"},
			&cli.BoolFlag{Name: "store-link", Usage: "reach the platform's log through the link too"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			file := cmd.String("config")
			cfg, err := node.LoadSettings(file)
			if err != nil {
				return err
			}
			node.LimitMemory()
			sink := node.NewLogSink(os.Stderr)
			defer sink.Flush(flushTimeout)
			opt := node.Options{Logger: node.NewLogger(sink, cfg)}
			if addr := cmd.String("link"); addr != "" {
				opt.Dial = link.Dialer(addr, cfg.Name)
				if cmd.Bool("store-link") {
					opt.LogDial = opt.Dial
				}
			}
			n, err := node.New(cfg, opt)
			if err != nil {
				return err
			}
			if err := json.NewEncoder(os.Stdout).Encode(n.Addresses()); err != nil {
				return err
			}
			hup := make(chan os.Signal, 1)
			signal.Notify(hup, syscall.SIGHUP)
			go n.WatchSettings(ctx, file, hup)
			return n.Run(ctx)
		},
	}
}
