package main

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/jasminevane/jasminevane/bundle"
	"github.com/jasminevane/jasminevane/operator"
	"github.com/jasminevane/jasminevane/rollout"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

func bundleCommand() *cli.Command {
	key := &cli.StringFlag{Name: "key", Usage: "file with the secret key", Required: true}
	release := &cli.StringSliceFlag{Name: "release", Usage: "data centres of a staged rollout; none for all"}
	return &cli.Command{
		Name:  "bundle",
		Usage: "write, review and roll out the configuration",
		Commands: []*cli.Command{
			{Name: "check", Usage: "check a bundle", ArgsUsage: "FILE", Action: checkBundle},
			{Name: "diff", Usage: "show what a bundle changes in the newest version", ArgsUsage: "FILE", Action: diffBundle},
			{Name: "propose", Usage: "propose a bundle", ArgsUsage: "FILE", Flags: []cli.Flag{key, release}, Action: propose},
			{Name: "approve", Usage: "approve a proposal with a signature", ArgsUsage: "ID", Flags: []cli.Flag{key}, Action: approve},
			{Name: "roll", Usage: "put a signed proposal in force", ArgsUsage: "ID", Action: roll},
			{Name: "widen", Usage: "propose to release the newest version in more data centres", Flags: []cli.Flag{key, release}, Action: widen},
			{Name: "status", Usage: "show the newest version and open proposals", Action: bundleStatus},
			{Name: "history", Usage: "show the results of recent proposals", Action: history},
		},
	}
}

func client(cmd *cli.Command) *operator.Client {
	return operator.NewClient(cmd.String("admin"), cmd.String("token"))
}

func parseFile(cmd *cli.Command) (*bundle.Bundle, error) {
	file := cmd.Args().First()
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read bundle")
	}
	return bundle.Parse(file, data)
}

func checkBundle(_ context.Context, cmd *cli.Command) error {
	b, err := parseFile(cmd)
	if err != nil {
		return err
	}
	fmt.Printf("valid: %d entries, digest %s\n", b.Len(), b.Digest())
	return nil
}

func diffBundle(ctx context.Context, cmd *cli.Command) error {
	next, err := parseFile(cmd)
	if err != nil {
		return err
	}
	st, err := client(cmd).Bundle(ctx)
	if err != nil {
		return err
	}
	head, err := bundle.FromEntries(st.Entries)
	if err != nil {
		return err
	}
	printDelta(head.Diff(next))
	return nil
}

func printDelta(d bundle.Delta) {
	for _, k := range d.Delete {
		fmt.Println("-", k)
	}
	for _, e := range d.Put {
		fmt.Println("+", e.Key, string(e.Value))
	}
	if len(d.Delete)+len(d.Put) == 0 {
		fmt.Println("no difference")
	}
}

func propose(ctx context.Context, cmd *cli.Command) error {
	next, err := parseFile(cmd)
	if err != nil {
		return err
	}
	return proposeStep(ctx, cmd, func(rollout.State) (*bundle.Bundle, error) { return next, nil })
}

func widen(ctx context.Context, cmd *cli.Command) error {
	return proposeStep(ctx, cmd, func(st rollout.State) (*bundle.Bundle, error) { return bundle.FromEntries(st.Entries) })
}

func proposeStep(ctx context.Context, cmd *cli.Command, next func(rollout.State) (*bundle.Bundle, error)) error {
	k, err := readKey(cmd.String("key"))
	if err != nil {
		return err
	}
	c := client(cmd)
	st, err := c.Bundle(ctx)
	if err != nil {
		return err
	}
	b, err := next(st)
	if err != nil {
		return err
	}
	s, err := operator.NewStep(st, b, k, cmd.StringSlice("release"))
	if err != nil {
		return err
	}
	if _, err := c.Propose(ctx, s); err != nil {
		return err
	}
	fmt.Printf("%s proposes version %d, signed by %s\n", s.ID, s.Version, k.Name())
	return nil
}

func approve(ctx context.Context, cmd *cli.Command) error {
	k, err := readKey(cmd.String("key"))
	if err != nil {
		return err
	}
	c := client(cmd)
	st, err := c.Bundle(ctx)
	if err != nil {
		return err
	}
	for _, s := range st.OpenProposals {
		if s.ID != cmd.Args().First() {
			continue
		}
		printDelta(s.Delta)
		if _, err := c.Approve(ctx, operator.Approval{ID: s.ID, Signature: k.Sign(s.Message())}); err != nil {
			return err
		}
		fmt.Printf("%s approved by %s\n", s.ID, k.Name())
		return nil
	}
	return errors.Errorf("no open proposal %q", cmd.Args().First())
}

func roll(ctx context.Context, cmd *cli.Command) error {
	result, err := client(cmd).Roll(ctx, cmd.Args().First())
	if err != nil {
		return err
	}
	fmt.Printf("%s: %s version %d %s\n", result.ID, result.Result, result.Version, result.Text)
	if result.Result != rollout.Accepted {
		return errors.New("the proposal is not in force")
	}
	return nil
}

func bundleStatus(ctx context.Context, cmd *cli.Command) error {
	st, err := client(cmd).Bundle(ctx)
	if err != nil {
		return err
	}
	scope := "all data centres"
	if len(st.Head.Release) > 0 {
		scope = strings.Join(st.Head.Release, ", ")
	}
	fmt.Printf("version %d by %s, %d entries, in force in %s\n", st.Head.Version, st.Head.Author, len(st.Entries), scope)
	for _, s := range st.OpenProposals {
		fmt.Printf("open %s version %d by %s, %d signatures\n", s.ID, s.Version, s.Author, len(s.Signatures))
	}
	return nil
}

func history(ctx context.Context, cmd *cli.Command) error {
	results, err := client(cmd).ProposalResults(ctx)
	if err != nil {
		return err
	}
	for _, r := range results {
		fmt.Printf("%s version %d by %s: %s %s\n", r.ID, r.Version, r.Author, r.Result, r.Text)
	}
	return nil
}
