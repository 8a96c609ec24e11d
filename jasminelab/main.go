// Command jasminelab runs the project's stand-ins, load and experiments on loopback.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jasminevane/jasminevane/jasminelab/link"
	"github.com/jasminevane/jasminevane/node"
	"github.com/urfave/cli/v3"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	cmd := &cli.Command{
		Name:  "jasminelab",
		Usage: "stand-ins, load and experiments",
		Commands: []*cli.Command{
			runCommand(), demoCommand(), logCommand(), upstreamCommand(), plotCommand(), nodeCommand(), forwardCommand(),
		},
	}
	if err := cmd.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		stop()
		os.Exit(1)
	}
}

// nodeCommand runs one node whose connections pass through a link stand-in.
func nodeCommand() *cli.Command {
	return &cli.Command{
		Name:   "node",
		Usage:  "run one node behind a link stand-in",
		Hidden: true,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Required: true},
			&cli.StringFlag{Name: "link"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			cfg, err := node.LoadSettings(cmd.String("config"))
			if err != nil {
				return err
			}
			node.LimitMemory()
			opt := node.Options{Logger: node.NewLogger(os.Stderr, cfg)}
			if addr := cmd.String("link"); addr != "" {
				opt.Dial = link.Dialer(addr, cfg.Name)
			}
			n, err := node.New(cfg, opt)
			if err != nil {
				return err
			}
			if err := json.NewEncoder(os.Stdout).Encode(n.Addresses()); err != nil {
				return err
			}
			return n.Run(ctx)
		},
	}
}
