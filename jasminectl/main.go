// Command jasminectl is the command-line client for operators of the fleet.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

func main() {
	cmd := &cli.Command{
		Name:  "jasminectl",
		Usage: "publish, review and roll out bundles, and inspect the fleet",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "admin", Usage: "admin address of any node", Value: "127.0.0.1:8083"},
			&cli.StringFlag{Name: "token", Usage: "bearer token", Sources: cli.EnvVars("JASMINE_TOKEN")},
		},
		Commands: []*cli.Command{keyCommand(), bundleCommand(), checkCommand(), statusCommand(), membersCommand(), upstreamsCommand(), timelineCommand(), explainCommand()},
	}
	err := cmd.Run(context.Background(), os.Args)
	var checked *checkError
	switch {
	case errors.As(err, &checked):
		os.Exit(checked.exitCode())
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
