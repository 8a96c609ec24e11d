package bundle_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/jasminevane/jasminevane/bundle"
	"github.com/matryer/is"
)

// found returns the findings as "severity code place".
func found(list []bundle.Finding) []string {
	var out []string
	for _, f := range list {
		out = append(out, fmt.Sprintf("%v %s %s", f.Severity, f.Code, f.Place))
	}
	return out
}

func route(service, host, prefix, method, class string) string {
	return fmt.Sprintf("[[route]]\nservice = %q\nhost = %q\nprefix = %q\nmethod = %q\nclass = %q\n", service, host, prefix, method, class)
}

func second(host string) string {
	const name = "two"
	return fmt.Sprintf("[[service]]\nname = %q\nhosts = [%q]\n[[class]]\nservice = %q\nname = \"all\"\ntimeout = \"1s\"\n", name, host, name)
}

func callerTable(name, keys, limits string) string {
	return fmt.Sprintf("[[caller]]\nname = %q\nkeys = [%s]\n%s\n", name, keys, limits)
}

func quotedDigest(key string) string { return fmt.Sprintf("%q", bundle.KeyDigest(key)) }

// TestLint guards against entries that can't match and contradictions that pass unseen, and against findings where there is nothing to mend.
func TestLint(t *testing.T) {
	limited := strings.Replace(validBundle, "timeout = \"2s\"", "timeout = \"2s\"\nobjective = \"500ms\"", 1)
	tests := []struct {
		name, text string
		slots      map[string]int
		want       []string
	}{
		{"clean", validBundle, nil, nil},
		{"a method and any method", validBundle + route("reservas", "", "/bookings", "", "check"), nil, nil},
		{"a prefix with a slash", validBundle + route("reservas", "", "/bookings/", "POST", "confirm"), nil,
			[]string{"warning hidden-route route[2].prefix", "warning hidden-route route[2].prefix"}}, // at both hosts
		{"a prefix for any method with a slash", validBundle + route("reservas", "r.test", "/a", "", "check") + route("reservas", "r.test", "/a/", "", "check"), nil,
			[]string{"warning partly-hidden-route route[2].prefix"}},
		{"a deeper prefix", validBundle + route("reservas", "r.test", "/a/", "", "check") + route("reservas", "r.test", "/a/b", "", "check"), nil, nil},
		{"a host of the service and the same host of a route", validBundle + route("reservas", "r.test", "/bookings", "POST", "confirm"), nil,
			[]string{"warning hidden-route route[0].prefix"}}, // the first key of an entry wins
		{"a host with a port", validBundle + route("reservas", "r.test:80", "/", "", "check"), nil, []string{"warning unmatchable-host route[2].host"}},
		{"a host of two services", validBundle + second("r.test") + route("two", "", "/two", "", "all"), nil, []string{"error shared-host service[1].hosts"}},
		{"a host that differs in case", validBundle + second("R.test") + route("two", "", "/two", "", "all"), nil, []string{"warning shared-host service[1].hosts"}},
		{"a host of another service in a route", validBundle + second("two.test") + route("two", "r.test", "/two", "", "all"), nil,
			[]string{"warning shared-host route[2].host"}},
		{"a service without a route", validBundle + second("two.test"), nil, []string{"warning unused-service service[1]"}},
		{"a class without a route", validBundle + "[[class]]\nservice = \"reservas\"\nname = \"idle\"\ntimeout = \"1s\"\n", nil, []string{"warning unused-class class[2]"}},
		{"a split that leaves the route's class out", validBundle + second("two.test") +
			route("two", "", "/", "", "all") + "split = [{service = \"reservas\", class = \"check\", weight = 1}, {service = \"two\", class = \"all\", weight = 0}]\n", nil,
			[]string{"warning unused-service service[1]"}},
		{"a caller without a key", validBundle + callerTable("a", quotedDigest("a"), "") + callerTable("b", "", ""), nil, []string{"warning caller-without-key caller[1]"}},
		{"no caller with a key", validBundle + callerTable("a", "", "") + callerTable("b", "", ""), nil, nil},
		{"one key of two callers", validBundle + callerTable("a", quotedDigest("a"), "") + callerTable("b", quotedDigest("a"), ""), nil,
			[]string{"error shared-key caller[1].keys"}},
		{"no burst", validBundle + callerTable("a", "", "rate = 0.5"), nil, []string{"warning burst-below-one caller[0].burst"}},
		{"a burst below the rate", validBundle + callerTable("a", "", "rate = 96\nburst = 95"), nil, []string{"warning burst-below-rate caller[0].burst"}},
		{"a burst of a second", validBundle + callerTable("a", "", "rate = 96\nburst = 96"), nil, nil},
		{"an objective above the timeout", strings.Replace(limited, "500ms", "2001ms", 1), nil, []string{"warning objective-over-timeout class[0].objective"}},
		{"an objective above the timeout of a route", limited + route("reservas", "", "/b", "", "confirm") + "timeout = \"499ms\"\n", nil,
			[]string{"warning objective-over-timeout route[2].timeout"}},
		{"a timeout of a route above that of the class has effect", validBundle + route("reservas", "", "/b", "", "check") + "timeout = \"9s\"\n", nil, nil},
		{"a timeout above the retention of keys", validBundle + route("reservas", "", "/b", "", "check") + "timeout = \"10m\"\n", nil,
			[]string{"warning retention-too-short route[2].timeout"}},
		{"shares above 1", strings.Replace(validBundle, "share = 0.4", "share = 0.6", 1), nil, []string{"error shares-exceed-one class[1].share"}},
		{"an unknown class", validBundle + route("reservas", "", "/b", "", "none"), nil, []string{"error invalid route[2].class"}},
		{"limits within the room", limited + callerTable("a", "", "rate = 10\nburst = 10") + callerTable("b", "", "rate = 10\nburst = 10"), map[string]int{"reservas": 10}, nil},
		{"limits together above the room", limited + callerTable("a", "", "rate = 10\nburst = 10") + callerTable("b", "", "rate = 11\nburst = 11"), map[string]int{"reservas": 10},
			[]string{"warning limit-over-room caller"}},
		{"a limit above the room", limited + callerTable("a", "", "rate = 21\nburst = 21"), map[string]int{"reservas": 10},
			[]string{"warning limit-over-room caller[0].rate", "warning limit-over-room caller"}},
		{"slots of an unknown service", limited, map[string]int{"none": 10}, []string{"error unknown-slots service"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d, err := bundle.DecodeDocument("b.toml", []byte(tt.text))
			is.NoErr(err)
			is.Equal(found(bundle.Lint(d, tt.slots)), tt.want)
		})
	}
}

// TestLintAgreesWithParse guards against a check that finds no errors in a bundle that a node refuses, or the reverse.
func TestLintAgreesWithParse(t *testing.T) {
	tests := []struct{ name, text string }{
		{"valid", validBundle},
		{"no policy", strings.Replace(validBundle, "signoffs = 1", "signoffs = 0", 1)},
		{"a route twice", validBundle + route("reservas", "", "/", "", "check")},
		{"a priority beyond the last", strings.Replace(validBundle, "priority = 3", "priority = 10", 1)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d, err := bundle.DecodeDocument("b.toml", []byte(tt.text))
			is.NoErr(err)
			anyError := slices.ContainsFunc(bundle.Lint(d, nil), func(f bundle.Finding) bool { return f.Severity == bundle.Error })
			_, err = bundle.Parse("b.toml", []byte(tt.text))
			is.Equal(anyError, err != nil)
		})
	}
}

// TestCompare guards against a change that takes work from callers without a warning, and against warnings of changes that don't.
func TestCompare(t *testing.T) {
	two := validBundle + second("two.test") + route("two", "", "/", "", "all")
	a, b := quotedDigest("a"), quotedDigest("b")
	tests := []struct {
		name, before, after string
		want                []string
	}{
		{"the same", two, two, nil},
		{"a service added", validBundle, two, []string{"notice added class/two/all", "notice added route/two  /", "notice added service/two"}},
		{"a service removed", two, validBundle,
			[]string{"notice removed class/two/all", "notice removed route/two  /", "warning removed-route route/two  /", "notice removed service/two"}},
		{"a host removed", validBundle, strings.Replace(validBundle, `, "r.test"`, "", 1), []string{"notice changed service/reservas", "warning removed-host service/reservas"}},
		{"a timeout of a class lowered", validBundle, strings.Replace(validBundle, `"2s"`, `"1s"`, 1),
			[]string{"notice changed class/reservas/confirm", "warning lowered-timeout route/reservas POST /bookings"}},
		{"a timeout of a class raised", validBundle, strings.Replace(validBundle, `"2s"`, `"3s"`, 1), []string{"notice changed class/reservas/confirm"}},
		{"a timeout of a route below that of its class", validBundle, validBundle + "timeout = \"900ms\"\n",
			[]string{"notice changed route/reservas  /", "warning lowered-timeout route/reservas  /"}},
		{"attempts below the default", validBundle, validBundle + "attempts = 3\n", []string{"notice changed route/reservas  /", "warning lowered-attempts route/reservas  /"}},
		{"attempts above the default", validBundle, validBundle + "attempts = 5\n", []string{"notice changed route/reservas  /"}},
		{"a route moved", two + route("reservas", "x.test", "/", "", "check"), two + route("two", "x.test", "/", "", "all"),
			[]string{"notice changed route/x.test  /", "warning moved-route route/x.test  /"}},
		{"a route split", two, two + "split = [{service = \"two\", class = \"all\", weight = 1}, {service = \"reservas\", class = \"check\", weight = 1}]\n",
			[]string{"notice changed route/two  /"}},
		{"public no longer", validBundle + "public = true\n", validBundle, []string{"notice changed route/reservas  /", "warning removed-public route/reservas  /"}},
		{"a first size of bodies", validBundle, strings.Replace(validBundle, "retries", "body = \"1KiB\"\nretries", 1), []string{"notice changed policy"}},
		{"a body made smaller", strings.Replace(validBundle, "retries", "body = \"2KiB\"\nretries", 1), strings.Replace(validBundle, "retries", "body = \"1KiB\"\nretries", 1),
			[]string{"notice changed policy", "warning lowered-limit policy"}},
		{"the first key", validBundle, validBundle + callerTable("x", a, ""), []string{"warning keys-required caller", "notice added caller/x"}},
		{"a key added", validBundle + callerTable("x", a, ""), validBundle + callerTable("x", a+","+b, ""), []string{"notice changed caller/x"}},
		{"a key removed", validBundle + callerTable("x", a+","+b, ""), validBundle + callerTable("x", a, ""), []string{"notice changed caller/x", "warning removed-key caller/x"}},
		{"a key in capitals", validBundle + callerTable("x", a, ""), validBundle + callerTable("x", strings.ToUpper(a), ""), []string{"notice changed caller/x"}},
		{"a caller with a key removed", validBundle + callerTable("x", a, "") + callerTable("y", b, ""), validBundle + callerTable("x", a, ""),
			[]string{"notice removed caller/y", "warning removed-key caller/y"}},
		{"a caller renamed", validBundle + callerTable("x", a, ""), validBundle + callerTable("y", a, ""),
			[]string{"notice removed caller/x", "warning moved-key caller/x", "notice added caller/y"}},
		{"a limit lowered", validBundle + callerTable("x", "", "rate = 9\nburst = 9"), validBundle + callerTable("x", "", "rate = 8\nburst = 8"),
			[]string{"notice changed caller/x", "warning lowered-limit caller/x", "warning lowered-limit caller/x"}},
		{"a limit raised", validBundle + callerTable("x", "", "rate = 8\nburst = 8"), validBundle + callerTable("x", "", "rate = 9\nburst = 9"), []string{"notice changed caller/x"}},
		{"a first limit", validBundle + callerTable("x", "", ""), validBundle + callerTable("x", "", "rate = 9\nburst = 9"),
			[]string{"notice changed caller/x", "warning lowered-limit caller/x"}},
		{"no limit any more", validBundle + callerTable("x", "", "rate = 9\nburst = 9"), validBundle + callerTable("x", "", ""), []string{"notice changed caller/x"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			before, err := bundle.Parse("before.toml", []byte(tt.before))
			is.NoErr(err)
			after, err := bundle.Parse("after.toml", []byte(tt.after))
			is.NoErr(err)
			list := bundle.Compare(before, after)
			is.Equal(found(list), tt.want)
			data, err := json.Marshal(list)
			is.NoErr(err)
			is.True(!strings.Contains(strings.ToLower(string(data)), bundle.KeyDigest("a"))) // no digest in a finding
		})
	}
}

// TestCompareNamesFields guards against a difference that doesn't tell which fields changed.
func TestCompareNamesFields(t *testing.T) {
	is := is.New(t)
	before, err := bundle.Parse("before.toml", []byte(validBundle))
	is.NoErr(err)
	after, err := bundle.Parse("after.toml", []byte(strings.Replace(validBundle, "priority = 3\nshare = 0.4", "priority = 4\nshare = 0.3", 1)))
	is.NoErr(err)
	list := bundle.Compare(before, after)
	is.Equal(len(list), 1)
	is.Equal(list[0].Message, "changed: priority, share")
}

// TestCompareTellsThatKeysAreNotRequired guards against an operator who isn't told that a change lets requests in without keys.
func TestCompareTellsThatKeysAreNotRequired(t *testing.T) {
	is := is.New(t)
	before, err := bundle.Parse("before.toml", []byte(validBundle+callerTable("x", quotedDigest("a"), "")))
	is.NoErr(err)
	after, err := bundle.Parse("after.toml", []byte(validBundle+callerTable("x", "", "")))
	is.NoErr(err)
	is.True(slices.Contains(found(bundle.Compare(before, after)), "warning keys-not-required caller"))
	is.True(!slices.Contains(found(bundle.Compare(after, before)), "warning keys-not-required caller"))
}
