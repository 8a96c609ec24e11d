package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/jasminevane/jasminevane/bundle"
	"github.com/jasminevane/jasminevane/keyring"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

const (
	secretFileMode    = 0o600
	maxCallerKeyBytes = 4 << 10
)

func keyCommand() *cli.Command {
	return &cli.Command{
		Name:  "key",
		Usage: "generate and show the keys that sign bundles, and hash those of callers",
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
			{
				Name:  "digest",
				Usage: "print the digest of a caller's key, which a bundle holds; the key is read from standard input",
				Action: func(_ context.Context, cmd *cli.Command) error {
					digest, err := digestKey(cmd.Root().Reader)
					if err != nil {
						return err
					}
					_, err = fmt.Fprintln(cmd.Root().Writer, digest)
					return err
				},
			},
		},
	}
}

// digestKey reads a caller's key up to the end of its line and returns its digest. The errors don't quote what was read.
func digestKey(r io.Reader) (string, error) {
	data, err := io.ReadAll(io.LimitReader(r, maxCallerKeyBytes+1))
	if err != nil {
		return "", errors.Wrap(err, "read key")
	}
	key := strings.TrimRight(string(data), "\r\n")
	switch {
	case len(data) > maxCallerKeyBytes:
		return "", errors.Errorf("key has more than %d bytes", maxCallerKeyBytes)
	case key == "":
		return "", errors.New("key is empty")
	case strings.ContainsFunc(key, func(r rune) bool { return r <= ' ' || r > '~' }):
		return "", errors.New("key has a character that is not visible ASCII, so that no request can carry it")
	}
	return bundle.KeyDigest(key), nil
}

func readKey(file string) (keyring.Secret, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return keyring.Secret{}, errors.Wrap(err, "read key")
	}
	return keyring.ParseSecret(string(data))
}
