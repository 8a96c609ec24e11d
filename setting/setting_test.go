package setting_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/setting"
	"github.com/matryer/is"
)

type testSettings struct {
	Name    string           `toml:"name"`
	Timeout setting.Duration `toml:"timeout"`
	Limits  struct {
		Body setting.Size `toml:"body"`
	} `toml:"limits"`
}

func TestDecode(t *testing.T) {
	tests := []struct{ name, text, want string }{
		{"good", "name = \"a\"\ntimeout = \"250ms\"\n[limits]\nbody = \"64KiB\"", ""},
		{"unknown key", "name = \"a\"\ntimout = \"1s\"", `f.toml:2: timout: unknown key, nearest known name is "timeout"`},
		{"two unknown keys", "nam = 1\ntimeot = 2", "f.toml:2: timeot"},
		{"wrong type", "name = 7", "f.toml:1:"},
		{"negative duration", "timeout = \"-1s\"", "is negative"},
		{"bad size", "[limits]\nbody = \"64 kilos\"", "is not a size"},
		{"no TOML", "name", "f.toml:1:"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var s testSettings
			err := setting.Decode("f.toml", []byte(tt.text), &s)
			if tt.want == "" {
				is.NoErr(err)
				is.Equal(s.Timeout.Std(), 250*time.Millisecond)
				is.Equal(int64(s.Limits.Body), int64(64<<10))
				return
			}
			var bad *setting.Error
			is.True(errors.As(err, &bad))
			is.True(strings.Contains(err.Error(), tt.want)) // the error describes the problem
		})
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte("name = \"a\"\n[limits]\nbody = \"1B\""))
	f.Fuzz(func(t *testing.T, data []byte) {
		var s testSettings
		err := setting.Decode("f.toml", data, &s)
		var bad *setting.Error
		if err != nil && !errors.As(err, &bad) {
			t.Fatalf("error %T is not a *setting.Error", err)
		}
	})
}
