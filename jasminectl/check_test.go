package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/jasminevane/jasminevane/bundle"
	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

const cleanBundle = `[policy]
signoffs = 1
key_retention = "10m"
[[service]]
name = "s"
hosts = ["s.test"]
[[class]]
service = "s"
name = "all"
timeout = "2s"
objective = "500ms"
[[route]]
service = "s"
prefix = "/"
class = "all"
`

const cleanStore = `{"version":"0000000c","routes":[
 {"name":"r","host":"a.test","path_prefix":"/","kind":"safe","timeout":"3s","slo":"1s","service":"s","attempts":2}],
 "services":[{"name":"s"}],
 "tenants":[TENANTS]}`

func storeWith(tenants string) string { return strings.Replace(cleanStore, "TENANTS", tenants, 1) }

func callerWith(name, keys string) string {
	return fmt.Sprintf("[[caller]]\nname = %q\nkeys = %s\n", name, keys)
}

// runCheck runs the command on a file, and on the one before it if there is one, and returns its output and exit code.
func runCheck(t *testing.T, text, before string, args ...string) (output string, code int, err error) {
	t.Helper()
	dir := t.TempDir()
	args = append([]string{"jasminectl", "check"}, args...)
	if before != "" {
		args = append(args, "--against", writeConfig(t, dir, "before", before))
	}
	args = append(args, writeConfig(t, dir, "new", text))
	var out bytes.Buffer
	cmd := &cli.Command{Name: "jasminectl", Writer: &out, ErrWriter: &out, Commands: []*cli.Command{checkCommand()}}
	err = cmd.Run(context.Background(), args)
	var checked *checkError
	switch {
	case errors.As(err, &checked):
		code = checked.exitCode()
	case err != nil:
		code = exitErrors
	}
	return strings.ReplaceAll(out.String(), dir+string(filepath.Separator), ""), code, err
}

func writeConfig(t *testing.T, dir, name, text string) string {
	t.Helper()
	file := filepath.Join(dir, name)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// TestCheck guards against an exit code that lets a bad configuration pass, and against a finding without its place.
func TestCheck(t *testing.T) {
	hidden := cleanBundle + "[[route]]\nservice = \"s\"\nhost = \"s.test:80\"\nprefix = \"/a\"\nclass = \"all\"\n"
	store := storeWith("")
	tests := []struct {
		name, text, before string
		args               []string
		wantCode           int
		want               string
	}{
		{"clean", cleanBundle, "", nil, 0, "new: 0 errors, 0 warnings\n"},
		{"clean and strict", cleanBundle, "", []string{"--strict"}, 0, "new: 0 errors, 0 warnings\n"},
		{"a warning", hidden, "", nil, 0, "new:18: route[1].host: warning unmatchable-host: host \"s.test:80\" never matches"},
		{"a warning and strict", hidden, "", []string{"--strict"}, 2, "new: 0 errors, 1 warnings\n"},
		{"an error", strings.Replace(cleanBundle, `class = "all"`, `class = "none"`, 1), "", []string{"--strict"}, 1, "new:15: route[0].class: error invalid: class \"none\""},
		{"an unknown key", cleanBundle + "atempts = 2\n", "", nil, 1, `new:16: route.atempts: error invalid: unknown key, nearest known name is "attempts"`},
		{"no TOML", "policy", "", nil, 1, "new:1: error invalid: toml: "},
		{"a change", strings.Replace(cleanBundle, `"2s"`, `"1s"`, 1), cleanBundle, nil, 0, "new: route/s  /: warning lowered-timeout: timeout lowered from 2s to 1s\n"},
		{"a change and strict", strings.Replace(cleanBundle, `"2s"`, `"1s"`, 1), cleanBundle, []string{"--strict"}, 2, "new: class/s/all: notice changed: changed: timeout\n"},
		{"only notices and strict", strings.Replace(cleanBundle, `"2s"`, `"3s"`, 1), cleanBundle, []string{"--strict"}, 0, "new: 0 errors, 0 warnings\n"},
		{"the former file is invalid", cleanBundle, "policy", nil, 1, "new: --against: error invalid-against: toml: "},
		{"room", cleanBundle + "[[caller]]\nname = \"c\"\nrate = 21\nburst = 21\n", "", []string{"--slots", "s=10"}, 0,
			"new:18: caller[0].rate: warning limit-over-room: limit 21 of caller \"c\" is above the room of 20 requests/s\n"},
		{"no room for nothing", cleanBundle, "", []string{"--slots", "s=0"}, 1, ""},
		{"an unknown format", cleanBundle, "", []string{"--format", "yaml"}, 1, ""},
		{"store", store, "", []string{"--format", "store", "--strict"}, 0, "new: 0 errors, 0 warnings\n"},
		{"a warning in store", storeWith(`{"name":"t","rate_per_s":2,"burst":1}`), "", []string{"--format", "store"}, 0,
			"new: tenants[0].burst: warning burst-below-rate: burst 1 of caller \"t\""},
		{"an error in store", strings.Replace(store, `"attempts":2`, `"attempts":0`, 1), "", []string{"--format", "store"}, 1,
			"new: routes[0]: error invalid: attempts is 0\n"},
		{"no JSON", store[:60], "", []string{"--format", "store"}, 1, "new:2: error invalid: is not valid JSON\n"},
		{"an adjusted value in store", strings.Replace(store, `"slo"`, `"priority":12,"slo"`, 1), "", []string{"--format", "store", "--strict"}, 2,
			"new: warning adjusted: route \"r\": priority 12, taken as 9\n"},
		{"a change in store", strings.Replace(store, `"attempts":2`, `"attempts":1`, 1), store, []string{"--format", "store"}, 0,
			"new: route/a.test  /: warning lowered-attempts: attempts lowered from 2 to 1\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			out, code, _ := runCheck(t, tt.text, tt.before, tt.args...)
			is.Equal(code, tt.wantCode)
			if !strings.Contains(out, tt.want) {
				t.Errorf("got %q, want %q in it", out, tt.want)
			}
		})
	}
}

// TestCheckPrintsJSON guards against output that a program can't read, also if there is nothing to report.
func TestCheckPrintsJSON(t *testing.T) {
	type output struct {
		File             string
		Errors, Warnings int
		Findings         []struct {
			Severity, Code, Place, Message string
			Line                           int
		}
	}
	tests := []struct {
		name, text string
		wantCode   int
		want       []string
	}{
		{"clean", cleanBundle, 0, nil},
		{"an error", strings.Replace(cleanBundle, `class = "all"`, `class = "none"`, 1), 1,
			[]string{"error invalid route[0].class 15", "warning unused-class class[0] 7"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			text, code, _ := runCheck(t, tt.text, "", "--json")
			is.Equal(code, tt.wantCode)
			var out output
			is.NoErr(json.Unmarshal([]byte(text), &out))
			is.True(out.Findings != nil) // an empty list, not null
			is.Equal(out.Errors, tt.wantCode)
			var got []string
			for _, f := range out.Findings {
				got = append(got, fmt.Sprintf("%s %s %s %d", f.Severity, f.Code, f.Place, f.Line))
			}
			is.Equal(got, tt.want)
		})
	}
}

// TestCheckPrintsNoKey guards against a key in clear, or its digest, in the output or the error of a check, whatever is wrong around it.
func TestCheckPrintsNoKey(t *testing.T) {
	const key, number = "key-in-clear-7", "7261549830017263"
	digest := bundle.KeyDigest(key)
	list := fmt.Sprintf("[%q]", digest)
	tests := []struct{ name, format, text, before string }{
		{"in place of a digest", "toml", cleanBundle + callerWith("c", `["`+key+`"]`), ""},
		{"in place of the list", "toml", cleanBundle + callerWith("c", `"`+key+`"`), ""},
		{"without quotes", "toml", cleanBundle + callerWith("c", "["+key+"]"), ""},
		{"a number", "toml", cleanBundle + callerWith("c", "["+number+"]"), ""},
		{"a name in a table", "toml", cleanBundle + callerWith("c", `{"`+key+`" = 1}`), ""},
		{"not closed", "toml", cleanBundle + callerWith("c", `["`+key), ""},
		{"of two callers", "toml", cleanBundle + callerWith("c", list) + callerWith("d", list), ""},
		{"removed", "toml", cleanBundle, cleanBundle + callerWith("c", list)},
		{"added", "toml", cleanBundle + callerWith("c", list), cleanBundle},
		{"moved", "toml", cleanBundle + callerWith("d", list), cleanBundle + callerWith("c", list)},
		{"in the former file", "toml", cleanBundle, cleanBundle + callerWith("c", `["`+key+`"]`)},
		{"valid", "store", storeWith(`{"name":"t","api_keys":["` + key + `"]}`), ""},
		{"in place of the list", "store", storeWith(`{"name":"t","api_keys":"` + key + `"}`), ""},
		{"in place of the tenant", "store", storeWith(`"` + key + `"`), ""},
		{"a number", "store", storeWith(`{"name":"t","api_keys":[` + number + `]}`), ""},
		{"a number as a rate", "store", storeWith(`{"name":"t","priority":` + number + `0000000}`), ""},
		{"without quotes", "store", storeWith(`{"name":"t","api_keys":[` + key + `]}`), ""},
		{"a name in an object", "store", storeWith(`{"name":"t","api_keys":{"` + key + `":1}}`), ""},
		{"not closed", "store", storeWith(`{"name":"t","api_keys":["` + key), ""},
		{"of two tenants", "store", storeWith(`{"name":"t","api_keys":["` + key + `"]},{"name":"u","api_keys":["` + key + `"]}`), ""},
		{"removed", "store", storeWith(""), storeWith(`{"name":"t","api_keys":["` + key + `"]}`)},
		{"added", "store", storeWith(`{"name":"t","api_keys":["` + key + `"]}`), storeWith("")},
		{"an empty one beside it", "store", storeWith(`{"name":"t","api_keys":["` + key + `",""]}`), ""},
		{"in the former file", "store", storeWith(""), storeWith(`{"name":"t","api_keys":["` + key + `"` + key + `]}`)},
	}
	for _, tt := range tests {
		for _, args := range [][]string{nil, {"--json"}} {
			t.Run(tt.format+" "+tt.name, func(t *testing.T) {
				is := is.New(t)
				out, _, err := runCheck(t, tt.text, tt.before, append([]string{"--format", tt.format}, args...)...)
				all := strings.ToLower(out + fmt.Sprintf("%v %+v", err, err))
				leaked := slices.ContainsFunc([]string{key, number, digest, digest[:12]}, func(s string) bool { return strings.Contains(all, s) })
				is.True(!leaked)
			})
		}
	}
}
