package bundle

import (
	"bytes"
	"maps"
	"net/url"
	"slices"
	"strings"
)

// Delta is the set of changes that turns one bundle into another.
type Delta struct {
	Base   Digest   `json:"base"`             // digest of the bundle that the delta applies to
	Result Digest   `json:"result"`           // digest of the resulting bundle
	Put    []Entry  `json:"put,omitempty"`    // entries to add or replace
	Delete []string `json:"delete,omitempty"` // keys of the entries to delete
}

// Diff returns the delta that turns b into next.
func (b *Bundle) Diff(next *Bundle) Delta {
	d := Delta{Base: b.digest, Result: next.digest}
	for _, key := range slices.Sorted(maps.Keys(next.entries)) {
		if oldValue, ok := b.entries[key]; !ok || !bytes.Equal(oldValue, next.entries[key]) {
			d.Put = append(d.Put, Entry{Key: key, Value: next.entries[key]})
		}
	}
	for _, key := range slices.Sorted(maps.Keys(b.entries)) {
		if _, ok := next.entries[key]; !ok {
			d.Delete = append(d.Delete, key)
		}
	}
	return d
}

// Apply returns the bundle that results from applying d to b. The error is a *BaseError, *ResultError or *InvalidError.
func (b *Bundle) Apply(d Delta) (*Bundle, error) {
	if d.Base != b.digest {
		return nil, &BaseError{deltaBase: d.Base, bundleDigest: b.digest}
	}
	entries := maps.Clone(b.entries)
	if entries == nil {
		entries = make(map[string][]byte)
	}
	for _, k := range d.Delete {
		delete(entries, k)
	}
	for _, e := range d.Put {
		entries[e.Key] = e.Value
	}
	next, err := compile(entries)
	if err != nil {
		return nil, err
	}
	if next.digest != d.Result {
		return nil, &ResultError{statedResult: d.Result, actualResult: next.digest}
	}
	return next, nil
}

// Services returns the sorted names of the services whose entries the delta changes (for a route with a host of its own, the host),
// and whether it also changes entries that belong to no service.
func (d Delta) Services() (services []string, global bool) {
	names := make(map[string]bool)
	add := func(escaped string) {
		name, err := url.PathUnescape(escaped)
		if err != nil {
			name = escaped // not the key of an entry that a document has
		}
		names[name] = true
	}
	addKey := func(key string) {
		entryType, rest, _ := strings.Cut(key, "/")
		switch entryType {
		case "service":
			add(rest)
		case "class":
			name, _, _ := strings.Cut(rest, "/")
			add(name)
		case "route":
			name, _, _ := strings.Cut(rest, " ")
			add(name)
		default:
			global = true
		}
	}
	for _, e := range d.Put {
		addKey(e.Key)
	}
	for _, k := range d.Delete {
		addKey(k)
	}
	return slices.Sorted(maps.Keys(names)), global
}
