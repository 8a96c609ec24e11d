package bundle_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/jasminevane/jasminevane/bundle"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestAuthenticate guards against a key that identifies another caller than its own, or none.
func TestAuthenticate(t *testing.T) {
	is := is.New(t)
	b, err := bundle.Parse("b.toml", []byte(validBundle+fmt.Sprintf(`
[[caller]]
name = "two"
keys = [%q, %q]
priority = 0
rate = 2
burst = 5
[[caller]]
name = "Upper:Case"
keys = [%q]
[[caller]]
name = "keyless"
rate = 0.0
`, bundle.KeyDigest("a"), strings.ToUpper(bundle.KeyDigest("b")), bundle.KeyDigest("c"))))
	is.NoErr(err)
	is.True(b.RequiresKeys())
	tests := []struct{ key, want string }{
		{"a", "two"}, {"b", "two"}, {"c", "Upper:Case"}, {"d", ""}, {"", ""}, {bundle.KeyDigest("a"), ""},
	}
	for _, tt := range tests {
		c, ok := b.Authenticate(tt.key)
		is.Equal(ok, tt.want != "")
		if ok {
			is.Equal(c.Name(), tt.want)
		}
	}
	two, plain := b.Caller("two"), b.Caller("keyless")
	priority, ok := two.Priority()
	is.True(ok && priority == 0) // a priority of 0 is the most urgent, not a missing one
	is.True(two.Limited() && two.Rate() == 2 && two.Burst() == 5)
	_, ok = plain.Priority()
	is.True(!ok && !plain.Limited())
	withoutKeys, err := bundle.Parse("b.toml", []byte(validBundle+"[[caller]]\nname = \"keyless\"\nrate = 1\n"))
	is.NoErr(err)
	is.True(!withoutKeys.RequiresKeys() && !bundle.Empty().RequiresKeys())
}

// TestKeyProblemsDoNotQuoteThem guards against the keys in clear that an operator writes in place of digests showing up in error texts.
func TestKeyProblemsDoNotQuoteThem(t *testing.T) {
	digest := bundle.KeyDigest("a")
	tests := []struct{ name, callers, wantError, secret string }{
		{"key in clear", "[[caller]]\nname = \"x\"\nkeys = [\"in-clear\"]\n", "caller[0].keys: entry 0 is not the SHA-256 digest", "in-clear"},
		{"key in clear of the length of a digest", fmt.Sprintf("[[caller]]\nname = \"x\"\nkeys = [%q]\n", strings.Repeat("z", 64)), "entry 0 is not the SHA-256 digest", "zzz"},
		{"key of two callers", fmt.Sprintf("[[caller]]\nname = \"x\"\nkeys = [%q]\n[[caller]]\nname = \"y\"\nkeys = [%q]\n", digest, strings.ToUpper(digest)), `caller[1].keys: entry 0 belongs to caller "x" already`, digest},
		{"priority", "[[caller]]\nname = \"x\"\npriority = 10\n", "caller[0].priority: is 10", ""},
		{"rate", "[[caller]]\nname = \"x\"\nrate = -1\n", "caller[0].rate: is -1", ""},
		{"rate that is no number", "[[caller]]\nname = \"x\"\nrate = nan\n", "caller[0].rate: is NaN", ""},
		{"endless burst", "[[caller]]\nname = \"x\"\nburst = inf\n", "caller[0].burst: is +Inf", ""},
		{"space before a name", "[[caller]]\nname = \" x\"\n", "without spaces at its ends", ""},
		{"space after a name", "[[caller]]\nname = \"x \"\n", "without spaces at its ends", ""},
		{"line break in a name", "[[caller]]\nname = \"x\\r\\nKey: y\"\n", "without control characters", ""},
		{"no name", "[[caller]]\nname = \"\"\n", "is not a name", ""},
		{"long name", "[[caller]]\nname = \"" + strings.Repeat("x", 1025) + "\"\n", "is not a name", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := bundle.Parse("b.toml", []byte(validBundle+tt.callers))
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), tt.wantError))
			is.True(tt.secret == "" || !strings.Contains(err.Error(), tt.secret))
		})
	}
}

// TestEachKeyIdentifiesItsCaller draws callers with keys and changes of them, and checks that after each change exactly the keys of the new
// version identify their callers: an added key at once, a removed one no more.
func TestEachKeyIdentifiesItsCaller(t *testing.T) {
	draw := func(t *rapid.T, label string) (*bundle.Bundle, map[string]string) {
		owners := make(map[string]string)
		text := validBundle
		for caller := range rapid.IntRange(0, 5).Draw(t, label+" callers") {
			var digests []string
			for _, k := range rapid.SliceOfDistinct(rapid.IntRange(0, 3), rapid.ID[int]).Draw(t, label+" keys") {
				key := fmt.Sprintf("k%d-%d", caller, k)
				owners[key] = fmt.Sprintf("c%d", caller)
				digests = append(digests, fmt.Sprintf("%q", bundle.KeyDigest(key)))
			}
			text += fmt.Sprintf("[[caller]]\nname = \"c%d\"\nkeys = [%s]\n", caller, strings.Join(digests, ", "))
		}
		b, err := bundle.Parse("b.toml", []byte(text))
		if err != nil {
			t.Fatal(err)
		}
		return b, owners
	}
	rapid.Check(t, func(t *rapid.T) {
		base, _ := draw(t, "base")
		next, owners := draw(t, "next")
		applied, err := base.Apply(base.Diff(next))
		if err != nil {
			t.Fatal(err)
		}
		if applied.RequiresKeys() != (len(owners) > 0) {
			t.Fatal("RequiresKeys is wrong")
		}
		for caller := range 5 {
			for k := range 4 {
				key := fmt.Sprintf("k%d-%d", caller, k)
				c, ok := applied.Authenticate(key)
				if ok != (owners[key] != "") || ok && c.Name() != owners[key] {
					t.Fatalf("key %s identifies %v, want %q", key, c, owners[key])
				}
			}
		}
	})
}

const targetCallers = 38_000

// callerDocument returns a document with n callers of one key each. The last key of the first caller is the given one.
func callerDocument(n int, firstKey string) *bundle.Document {
	d := &bundle.Document{Policy: bundle.PolicySpec{Signoffs: 1, KeyRetention: 600e9}}
	d.Services = []bundle.ServiceSpec{{Name: "s", Hosts: []string{"s.test"}}}
	d.Classes = []bundle.ClassSpec{{Service: "s", Name: "c", Timeout: 1e9}}
	for i := range n {
		key := fmt.Sprintf("key-%d", i)
		if i == 0 {
			key = firstKey
		}
		d.Callers = append(d.Callers, bundle.CallerSpec{Name: fmt.Sprintf("caller-%d", i), Keys: []string{bundle.KeyDigest(key)}, Rate: 5, Burst: 5})
	}
	return d
}

func mustBuild(b *testing.B, d *bundle.Document) *bundle.Bundle {
	built, err := bundle.Build(d)
	if err != nil {
		b.Fatal(err)
	}
	return built
}

// BenchmarkAuthenticate measures the lookup of a key.
func BenchmarkAuthenticate(b *testing.B) {
	for _, n := range []int{84, targetCallers} {
		built := mustBuild(b, callerDocument(n, "key-0"))
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := built.Authenticate("key-77"); !ok {
					b.Fatal("unknown key")
				}
			}
		})
	}
}

// BenchmarkChangeOfOneKey measures the difference of a version that changes one key, and what it costs a node to apply it.
func BenchmarkChangeOfOneKey(b *testing.B) {
	for _, n := range []int{84, targetCallers} {
		base, next := mustBuild(b, callerDocument(n, "old")), mustBuild(b, callerDocument(n, "new"))
		delta := base.Diff(next)
		bytes := 0
		for _, e := range delta.Put {
			bytes += len(e.Key) + len(e.Value)
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				if _, err := base.Apply(delta); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(bytes), "B/change")
		})
	}
}

// BenchmarkMemoryOfCallers measures the memory that a bundle holds for each caller, and the size of the state that a node sends to one that
// lacks it.
func BenchmarkMemoryOfCallers(b *testing.B) {
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	state, err := json.Marshal(mustBuild(b, callerDocument(targetCallers, "key-0")).Entries())
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		before := heap()
		built := mustBuild(b, callerDocument(targetCallers, "key-0"))
		b.ReportMetric(float64(heap()-before)/targetCallers, "B/caller")
		runtime.KeepAlive(built)
	}
	b.ReportMetric(float64(len(state)), "B/state")
}
