package main

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/jasminevane/jasminevane/bundle"
	"github.com/matryer/is"
	"github.com/urfave/cli/v3"
)

// TestKeyDigestPrintsNoKey guards against a digest that no request matches, and against a key in clear in the output.
func TestKeyDigestPrintsNoKey(t *testing.T) {
	const key = "a-key-in-clear"
	tests := []struct{ name, input, want string }{
		{"without a line end", key, bundle.KeyDigest(key) + "\n"},
		{"with a line end", key + "\n", bundle.KeyDigest(key) + "\n"},
		{"with a line end of Windows", key + "\r\n", bundle.KeyDigest(key) + "\n"},
		{"empty", "\n", ""},
		{"two lines", key + "\n" + key + "\n", ""},
		{"with a space", key + " " + key, ""},
		{"too long", strings.Repeat(key, 400), ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			cmd := &cli.Command{Name: "jasminectl", Reader: strings.NewReader(tt.input), Writer: &out, ErrWriter: &out, Commands: []*cli.Command{keyCommand()}}
			err := cmd.Run(context.Background(), []string{"jasminectl", "key", "digest"})
			is.Equal(err == nil, tt.want != "")
			is.Equal(out.String(), tt.want)
			is.True(err == nil || !strings.Contains(err.Error(), key))
		})
	}
}
