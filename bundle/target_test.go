package bundle_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/jasminevane/jasminevane/bundle"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestTargetIsReadInOneWay guards against a target of which a route matches on something else than what is forwarded.
func TestTargetIsReadInOneWay(t *testing.T) {
	tests := []struct {
		text string
		path bundle.Path // empty if the target is refused
	}{
		{"/", "/"},
		{"/a/b", "/a/b"},
		{"/a/b?c=/d?e", "/a/b"},
		{"//a//", "//a//"},
		{"/a%2Fb", "/a%2Fb"},
		{"/a%2fb", "/a%2fb"},
		{"/a/../b/./", "/a/../b/./"},
		{"http://h.example/a%2Fb?c", "/a%2Fb"},
		{"https://h.example:80//a", "//a"},
		{"http://h.example", "/"},
		{"http://h.example?c/d", "/"},
		{"", ""},
		{"*", ""},
		{"?a", ""},
		{"a/b", ""},
		{"h.example:80", ""},
		{"http:///a", ""},
		{"http://u@h.example/a", ""},
		{"ftp://h.example/a", ""},
		{"/a b", ""},
		{"/a\r\nb", ""},
		{"/a\x7f", ""},
	}
	for _, tt := range tests {
		t.Run(tt.text, func(t *testing.T) {
			is := is.New(t)
			target, err := bundle.ParseTarget(tt.text)
			var refused *bundle.TargetError
			is.Equal(errors.As(err, &refused), tt.path == "")
			is.Equal(target.Path(), tt.path)
			if tt.path != "" {
				is.Equal(target.String(), tt.text)
			}
		})
	}
}

// TestRouteIsThatOfTheLongestPrefix guards against a request that is handled by a route whose prefix doesn't begin its path, octet for octet. The
// oracle is the definition: of the prefixes that begin the path, the longest.
func TestRouteIsThatOfTheLongestPrefix(t *testing.T) {
	segment := rapid.SampledFrom([]string{"a", "A", "%61", "%C3%B3", "%c3%b3", "é", "a%2Fa", "a%2fa", "%2F", "..", ".", "%2e%2E", ""})
	rapid.Check(t, func(t *rapid.T) {
		prefixes := rapid.SliceOfNDistinct(rapid.Custom(func(t *rapid.T) string {
			segments := rapid.SliceOfN(segment, 0, 3).Draw(t, "segments")
			return strings.TrimSuffix("/"+strings.Join(segments, "/"), "/") + "/"
		}), 1, 5, rapid.ID[string]).Draw(t, "prefixes")
		text := `[policy]
signoffs = 1
key_retention = "10m"
retries = 0.1
link_bytes = "0B"
[[service]]
name = "s"
hosts = ["h"]
floor = 0.5
[[class]]
service = "s"
name = "c"
timeout = "3s"
`
		for _, p := range prefixes {
			text += fmt.Sprintf("[[route]]\nservice = \"s\"\nclass = \"c\"\nprefix = %q\n", p)
		}
		b, err := bundle.Parse("drawn", []byte(text))
		if err != nil {
			t.Fatal(err)
		}
		path := "/" + strings.Join(rapid.SliceOfN(segment, 1, 4).Draw(t, "path"), "/")
		query := rapid.SampledFrom([]string{"", "?", "?a=/a/"}).Draw(t, "query")
		origin := rapid.SampledFrom([]string{"", "http://h", "https://h:80"}).Draw(t, "origin")
		target, err := bundle.ParseTarget(origin + path + query)
		if err != nil {
			t.Fatal(err)
		}
		longest := ""
		for _, p := range prefixes {
			if strings.HasPrefix(path, p) && len(p) > len(longest) {
				longest = p
			}
		}
		m, ok := b.Route("h", "GET", target.Path())
		if ok != (longest != "") || ok && !strings.HasSuffix(m.Route.Key(), longest) {
			t.Fatalf("path %q: matched %v, want prefix %q", path, m.Route, longest)
		}
	})
}
