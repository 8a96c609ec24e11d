package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/jasminevane/jasminevane/event"
	"github.com/urfave/cli/v3"
)

func statusCommand() *cli.Command {
	return &cli.Command{Name: "status", Usage: "show the state of one node", Action: func(ctx context.Context, cmd *cli.Command) error {
		s, err := client(cmd).Status(ctx)
		if err != nil {
			return err
		}
		fmt.Printf("%s in %s (%s)\nversion %d, digest %s, in force %s\n%d members, %d shards owned, %d served, %d keys\nlog up %v, stopping %v\n",
			s.Name, s.DataCentre, s.Region, s.BundleVersion, s.Digest, s.InForce, s.Members, s.Shards, s.Serving, s.Keys, s.LogUp, s.Stopping)
		return nil
	}}
}

func membersCommand() *cli.Command {
	return &cli.Command{Name: "members", Usage: "show the nodes that one node knows", Action: func(ctx context.Context, cmd *cli.Command) error {
		members, err := client(cmd).Members(ctx)
		if err != nil {
			return err
		}
		w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, "NAME\tSTATUS\tDATA CENTRE\tREGION\tADDRESS\tUPSTREAMS")
		for _, m := range members {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\n", m.Name, m.Status, m.DataCentre, m.Region, m.Address, m.Upstreams)
		}
		return w.Flush()
	}}
}

func upstreamsCommand() *cli.Command {
	return &cli.Command{Name: "upstreams", Usage: "show the upstreams to which one node routes", Action: func(ctx context.Context, cmd *cli.Command) error {
		upstreams, err := client(cmd).Upstreams(ctx)
		if err != nil {
			return err
		}
		w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, "SERVICE\tUPSTREAM\tTIER\tREADY\tOUT FOR")
		for _, u := range upstreams {
			fmt.Fprintf(w, "%s\t%s\t%d\t%v\t%s\n", u.Service, u.ID, u.Tier, u.Ready, strings.Join(u.EjectedClasses, ","))
		}
		return w.Flush()
	}}
}

func timelineCommand() *cli.Command {
	return &cli.Command{
		Name:  "timeline",
		Usage: "show the events of all nodes in a single order",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "node"},
			&cli.StringFlag{Name: "kind"},
			&cli.StringFlag{Name: "upstream"},
			&cli.StringFlag{Name: "request"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			events, err := client(cmd).Timeline(ctx, event.Filter{
				Node:     cmd.String("node"),
				Kind:     event.Kind(cmd.String("kind")),
				Upstream: cmd.String("upstream"),
				Request:  cmd.String("request"),
			})
			if err != nil {
				return err
			}
			w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
			for _, e := range events {
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", e.Stamp.Time().UTC().Format("15:04:05.000"), e.Node, e.Kind, e.Upstream, e.Request, e.Text)
			}
			return w.Flush()
		},
	}
}
