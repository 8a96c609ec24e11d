package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/jasminevane/jasminevane/jasminelab/experiment"
	"github.com/jasminevane/jasminevane/jasminelab/fakelog"
	"github.com/jasminevane/jasminevane/jasminelab/fakeupstream"
	"github.com/jasminevane/jasminevane/upstream"
	"github.com/urfave/cli/v3"
)

const readHeaderTimeout = 5 * time.Second

// logCommand serves a fake of the platform's log.
func logCommand() *cli.Command {
	return &cli.Command{
		Name:  "log",
		Usage: "serve a fake of the platform's log; faults are set with PUT /admin/faults",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:7000"},
			&cli.IntFlag{Name: "rate", Value: 300, Usage: "maximum number of appends per second"},
			&cli.DurationFlag{Name: "retention", Usage: "time for which records are kept; 0 for ever"},
			&cli.Uint64Flag{Name: "seed", Value: 1},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			l := fakelog.New(cmd.Int("rate"), cmd.Duration("retention"), cmd.Uint64("seed"))
			srv := &http.Server{Addr: cmd.String("listen"), Handler: l.Handler(), ReadHeaderTimeout: readHeaderTimeout}
			go func() { <-ctx.Done(); _ = srv.Close() }()
			if err := srv.ListenAndServe(); err != http.ErrServerClosed {
				return err
			}
			return nil
		},
	}
}

// upstreamCommand serves a fake upstream beside a node.
func upstreamCommand() *cli.Command {
	return &cli.Command{
		Name:  "upstream",
		Usage: "serve a fake upstream that announces itself to a node",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "id", Required: true},
			&cli.StringFlag{Name: "service", Required: true},
			&cli.StringFlag{Name: "node", Required: true, Usage: "upstream address of the node beside it"},
			&cli.IntFlag{Name: "slots", Value: 5},
			&cli.DurationFlag{Name: "mean", Value: 20 * time.Millisecond, Usage: "median service time"},
			&cli.FloatFlag{Name: "slow", Usage: "factor applied to the service time; 0 for none"},
			&cli.FloatFlag{Name: "fail", Usage: "share of requests that get status 500"},
			&cli.DurationFlag{Name: "drain-after", Usage: "time after which the upstream announces state draining; 0 for never"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			u, err := fakeupstream.Start(fakeupstream.Config{
				ID: cmd.String("id"), Service: cmd.String("service"), Slots: cmd.Int("slots"),
				MaxConns: 400, MedianServiceTime: cmd.Duration("mean"), Sigma: 0.3, ResponseSize: 1024, Seed: 1,
			}, cmd.String("node"))
			if err != nil {
				return err
			}
			defer u.Close()
			u.SetFaults(fakeupstream.Faults{SlowFactor: cmd.Float("slow"), FailShare: cmd.Float("fail")})
			fmt.Println(u.Announcement().Address)
			if d := cmd.Duration("drain-after"); d > 0 {
				select {
				case <-ctx.Done():
					return nil
				case <-time.After(d):
				}
				u.SetState(ctx, upstream.Draining)
				fmt.Println("draining")
			}
			<-ctx.Done()
			return nil
		},
	}
}

// forwardCommand runs the minimal reverse proxy that the path experiment uses as the baseline for a node.
func forwardCommand() *cli.Command {
	return &cli.Command{
		Name:   "forward",
		Hidden: true,
		Flags:  []cli.Flag{&cli.StringFlag{Name: "to", Required: true}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return experiment.Forward(ctx, cmd.String("to"), func(addr string) { fmt.Println(addr) })
		},
	}
}
