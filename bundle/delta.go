package bundle

import (
	"bytes"
	"maps"
	"slices"
	"strings"
)

// Delta is the set of changes that turns one bundle into another.
type Delta struct {
	Base   Digest   `json:"base"`
	Result Digest   `json:"result"`
	Put    []Entry  `json:"put,omitempty"`
	Delete []string `json:"delete,omitempty"`
}

// Diff returns the delta that turns b into next.
func (b *Bundle) Diff(next *Bundle) Delta {
	d := Delta{Base: b.digest, Result: next.digest}
	for _, k := range slices.Sorted(maps.Keys(next.entries)) {
		if old, ok := b.entries[k]; !ok || !bytes.Equal(old, next.entries[k]) {
			d.Put = append(d.Put, Entry{Key: k, Value: next.entries[k]})
		}
	}
	for _, k := range slices.Sorted(maps.Keys(b.entries)) {
		if _, ok := next.entries[k]; !ok {
			d.Delete = append(d.Delete, k)
		}
	}
	return d
}

// Apply returns the bundle that results from applying d to b. The error is a *BaseError, *ResultError or *InvalidError.
func (b *Bundle) Apply(d Delta) (*Bundle, error) {
	if d.Base != b.digest {
		return nil, &BaseError{want: d.Base, got: b.digest}
	}
	m := maps.Clone(b.entries)
	if m == nil {
		m = make(map[string][]byte)
	}
	for _, k := range d.Delete {
		delete(m, k)
	}
	for _, e := range d.Put {
		m[e.Key] = e.Value
	}
	next, err := compile(m)
	if err != nil {
		return nil, err
	}
	if next.digest != d.Result {
		return nil, &ResultError{want: d.Result, got: next.digest}
	}
	return next, nil
}

// Services returns the names of the services that the delta changes, and whether it changes any other kind of entry.
func (d Delta) Services() (services []string, global bool) {
	seen := make(map[string]bool)
	mark := func(key string) {
		kind, rest, _ := strings.Cut(key, "/")
		switch kind {
		case "service":
			seen[rest] = true
		case "class":
			name, _, _ := strings.Cut(rest, "/")
			seen[name] = true
		case "route":
			name, _, _ := strings.Cut(rest, " ")
			seen[name] = true
		default:
			global = true
		}
	}
	for _, e := range d.Put {
		mark(e.Key)
	}
	for _, k := range d.Delete {
		mark(k)
	}
	return slices.Sorted(maps.Keys(seen)), global
}
