package setting_test

import (
	"testing"

	"github.com/jasminevane/jasminevane/setting"
	"github.com/matryer/is"
)

// TestLinesFind guards against an error that names the line of another element with the same key.
func TestLinesFind(t *testing.T) {
	const text = `name = "a"
[limits]
body = "1B" # name = "x"
[[route]]
prefix = "/a"
[[route]]
# prefix = "/c"
prefix = "/b"
[[route.split]]
weight = 1
[[route.split]]
weight = 2
[[caller]]
name = "c"
[[route]]
split = [{weight = 3}]
`
	tests := []struct {
		key  string
		want int
	}{
		{"name", 1},
		{"limits.body", 3},
		{"route[0].prefix", 5},
		{"route[1].prefix", 8},
		{"route[1].split[0].weight", 10},
		{"route[1].split[1].weight", 12},
		{"route[1].split", 6},
		{"route[1]", 6},
		{"route[1].class", 6},
		{"route[2].split[0].weight", 16},
		{"caller[0].name", 14},
		{"caller[0].rate", 13},
		{"caller[1].name", 0},
		{"policy.signoffs", 0},
		{"", 0},
	}
	for _, tt := range tests {
		t.Run(tt.key, func(t *testing.T) {
			is := is.New(t)
			is.Equal(setting.NewLines([]byte(text)).Find(tt.key), tt.want)
		})
	}
}
