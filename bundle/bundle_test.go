package bundle_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/jasminevane/jasminevane/bundle"
	"github.com/jasminevane/jasminevane/setting"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const validBundle = `
[policy]
signoffs = 1
key_retention = "10m"
retries = 0.1
link_bytes = "1MiB"
[[service]]
name = "reservas"
hosts = ["reservas.test", "r.test"]
floor = 0.6
[[class]]
service = "reservas"
name = "confirm"
priority = 0
share = 0.5
timeout = "2s"
[[class]]
service = "reservas"
name = "check"
priority = 3
share = 0.4
idempotent = true
timeout = "1s"
[[route]]
service = "reservas"
prefix = "/bookings"
method = "POST"
class = "confirm"
[[route]]
service = "reservas"
prefix = "/"
method = ""
class = "check"
`

func TestRoute(t *testing.T) {
	b, err := bundle.Parse("b.toml", []byte(validBundle))
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct{ host, method, path, wantClass string }{
		{"reservas.test", "POST", "/bookings", "confirm"},
		{"reservas.test:8080", "POST", "/bookings/7/x", "confirm"},
		{"r.test", "POST", "/bookingsx", "check"},
		{"reservas.test", "GET", "/bookings/7", "check"},
		{"reservas.test", "GET", "/", "check"},
		{"other.test", "GET", "/", ""},
	}
	for _, tt := range tests {
		t.Run(tt.method+tt.host+tt.path, func(t *testing.T) {
			is := is.New(t)
			match, ok := b.Route(tt.host, tt.method, bundle.Path(tt.path))
			is.Equal(ok, tt.wantClass != "")
			if ok {
				is.Equal(match.Class.Name(), tt.wantClass)
			}
		})
	}
}

func TestParseReportsEachProblem(t *testing.T) {
	tests := []struct{ name, oldText, newText, wantError string }{
		{"unknown key", "floor = 0.6", "flor = 0.6", `b.toml:10: service.flor: unknown key, nearest known name is "floor"`},
		{"bad share", "share = 0.5", "share = 0.7", "shares of service"},
		{"bad class", `class = "confirm"`, `class = "confrim"`, `class "confrim" of service "reservas" is not declared`},
		{"bad unit", `timeout = "2s"`, `timeout = "2 seconds"`, "is not a duration"},
		{"bad floor", "floor = 0.6", "floor = 1.6", "is 1.6, want 0 to 1"},
		{"no sign-off", "signoffs = 1", "signoffs = 0", "is 0, want at least 1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := bundle.Parse("b.toml", []byte(strings.Replace(validBundle, tt.oldText, tt.newText, 1)))
			var settingErr *setting.Error
			is.True(errors.As(err, &settingErr))
			is.True(strings.Contains(err.Error(), tt.wantError)) // the message describes the problem
		})
	}
}

// TestDeltaReproducesTheBundle draws two bundles and checks that the delta between them applied to the first gives the second,
// and that it cannot be applied to another base.
func TestDeltaReproducesTheBundle(t *testing.T) {
	drawBundle := func(t *rapid.T, label string) *bundle.Bundle {
		var b strings.Builder
		b.WriteString(validBundle)
		for _, n := range rapid.SliceOfDistinct(rapid.IntRange(0, 20), rapid.ID[int]).Draw(t, label) {
			fmt.Fprintf(&b, "[[caller]]\nname = \"c%d\"\nrate = %d\n", n, rapid.IntRange(1, 3).Draw(t, "rate"))
		}
		drawn, err := bundle.Parse("b.toml", []byte(b.String()))
		if err != nil {
			t.Fatal(err)
		}
		return drawn
	}
	rapid.Check(t, func(t *rapid.T) {
		base, next := drawBundle(t, "x"), drawBundle(t, "y")
		applied, err := base.Apply(base.Diff(next))
		if err != nil {
			t.Fatal(err)
		}
		if applied.Digest() != next.Digest() {
			t.Fatal("applying the delta gives a different bundle")
		}
		rebuilt, err := bundle.FromEntries(next.Entries())
		if err != nil || rebuilt.Digest() != next.Digest() {
			t.Fatalf("the entries give a different bundle: %v", err)
		}
		if base.Digest() != next.Digest() {
			if _, err := next.Apply(base.Diff(next)); err == nil {
				t.Fatal("the delta was applied to a bundle other than its base")
			}
		}
	})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validBundle))
	f.Add([]byte("[[route]]\nprefix = 7"))
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := bundle.Parse("b.toml", data)
		if err != nil {
			return
		}
		if _, err := bundle.FromEntries(b.Entries()); err != nil {
			t.Fatalf("the entries of a valid bundle do not compile: %v", err)
		}
	})
}

func largeBundle(routeCount int) *bundle.Bundle {
	var toml strings.Builder
	toml.WriteString("[policy]\nsignoffs = 1\nkey_retention = \"10m\"\nretries = 0.1\nlink_bytes = \"0B\"\n")
	for service := range 10 {
		fmt.Fprintf(&toml, "[[service]]\nname = \"s%d\"\nhosts = [\"s%d.test\"]\nfloor = 0.6\n", service, service)
		fmt.Fprintf(&toml, "[[class]]\nservice = \"s%d\"\nname = \"c\"\ntimeout = \"1s\"\n", service)
	}
	for route := range routeCount {
		fmt.Fprintf(&toml, "[[route]]\nservice = \"s%d\"\nprefix = \"/p%d/x\"\nmethod = \"GET\"\nclass = \"c\"\n", route%10, route)
	}
	parsed, err := bundle.Parse("b.toml", []byte(toml.String()))
	if err != nil {
		panic(err)
	}
	return parsed
}

func BenchmarkRoute(b *testing.B) {
	for _, n := range []int{100, 5400} {
		bundle := largeBundle(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := bundle.Route("s7.test", "GET", "/p77/x/1"); !ok {
					b.Fatal("no route")
				}
			}
		})
	}
}

// TestParseRefusesNumbersThatAreNone guards against a panic when the bundle is encoded: JSON has neither NaN nor infinity.
func TestParseRefusesNumbersThatAreNone(t *testing.T) {
	const split = "split = [{service = \"reservas\", class = \"check\", weight = 1}, {service = \"reservas\", class = \"confirm\", weight = W}]\n"
	tests := []struct{ name, text, key string }{
		{"retries", strings.Replace(validBundle, "retries = 0.1", "retries = W", 1), "policy.retries"},
		{"reserve", strings.Replace(validBundle, "retries = 0.1", "retries = 0.1\nreserve = W", 1), "policy.reserve"},
		{"floor", strings.Replace(validBundle, "floor = 0.6", "floor = W", 1), "service[0].floor"},
		{"share", strings.Replace(validBundle, "share = 0.4", "share = W", 1), "class[1].share"},
		{"weight", validBundle + split, "route[1].split[1].weight"},
	}
	for _, tt := range tests {
		for _, number := range []string{"nan", "inf"} {
			t.Run(tt.name+" "+number, func(t *testing.T) {
				is := is.New(t)
				_, err := bundle.Parse("b.toml", []byte(strings.Replace(tt.text, "W", number, 1)))
				var invalid *setting.Error
				is.True(errors.As(err, &invalid))
				is.Equal(invalid.Problems()[0].Key(), tt.key)
			})
		}
	}
}
