package main

import (
	"context"
	"fmt"
	"os"

	"github.com/jasminevane/jasminevane/keyring"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

const secretFileMode = 0o600

func keyCommand() *cli.Command {
	return &cli.Command{
		Name:  "key",
		Usage: "generate and show the keys that sign bundles",
		Commands: []*cli.Command{
			{
				Name:      "new",
				Usage:     "generate a key pair, write the secret key to a file and print the public key",
				ArgsUsage: "NAME FILE",
				Action: func(_ context.Context, cmd *cli.Command) error {
					if cmd.Args().Len() != 2 {
						return errors.New("want NAME and FILE")
					}
					k, err := keyring.Generate(cmd.Args().Get(0))
					if err != nil {
						return err
					}
					f, err := os.OpenFile(cmd.Args().Get(1), os.O_WRONLY|os.O_CREATE|os.O_EXCL, secretFileMode)
					if err != nil {
						return errors.Wrap(err, "write key")
					}
					defer f.Close()
					if _, err := fmt.Fprintln(f, k); err != nil {
						return errors.Wrap(err, "write key")
					}
					fmt.Println(k.Public())
					return nil
				},
			},
			{
				Name:      "show",
				Usage:     "print the public key of a secret key",
				ArgsUsage: "FILE",
				Action: func(_ context.Context, cmd *cli.Command) error {
					k, err := readKey(cmd.Args().First())
					if err != nil {
						return err
					}
					fmt.Println(k.Public())
					return nil
				},
			},
		},
	}
}

func readKey(file string) (keyring.Secret, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return keyring.Secret{}, errors.Wrap(err, "read key")
	}
	return keyring.ParseSecret(string(data))
}
