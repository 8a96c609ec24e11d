package bundle

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/jasminevane/jasminevane/setting"
)

// Compare returns what differs between two bundles by the keys of entries, with a warning for each change that takes work from callers.
func Compare(before, after *Bundle) []Finding {
	var f findings
	delta := before.Diff(after)
	for _, key := range delta.Delete {
		f.add(Notice, CodeRemoved, key, "removed")
	}
	for _, e := range delta.Put {
		old, ok := before.entries[e.Key]
		if !ok {
			f.add(Notice, CodeAdded, e.Key, "added")
			continue
		}
		f.add(Notice, CodeChanged, e.Key, "changed: %s", strings.Join(changedFields(old, e.Value), ", "))
	}
	c := comparison{findings: &f, before: newIndex(before), after: newIndex(after)}
	c.policy()
	c.services()
	c.routes()
	c.callers(after)
	if !before.RequiresKeys() && after.RequiresKeys() {
		f.add(Warning, CodeKeysRequired, "caller", "requests need a key from now on, except on public routes")
	}
	if before.RequiresKeys() && !after.RequiresKeys() {
		f.add(Warning, CodeKeysNotRequired, "caller", "requests need no key from now on")
	}
	slices.SortStableFunc(f, func(a, b Finding) int { return strings.Compare(a.Place, b.Place) })
	return f
}

// changedFields returns the sorted names of the fields in which two entries differ.
func changedFields(before, after []byte) []string {
	var a, b map[string]json.RawMessage
	if json.Unmarshal(before, &a) != nil || json.Unmarshal(after, &b) != nil {
		return nil // unreachable: entries of a bundle are objects
	}
	names := make(map[string]bool)
	for name, value := range a {
		if other, ok := b[name]; !ok || !bytes.Equal(value, other) {
			names[name] = true
		}
	}
	for name := range b {
		if _, ok := a[name]; !ok {
			names[name] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// index holds the decoded entries of a bundle by their keys.
type index struct {
	policy   PolicySpec
	services map[string]ServiceSpec
	classes  map[string]ClassSpec
	routes   map[string]RouteSpec
	callers  map[string]CallerSpec
}

func newIndex(b *Bundle) index {
	x := index{
		services: make(map[string]ServiceSpec), classes: make(map[string]ClassSpec),
		routes: make(map[string]RouteSpec), callers: make(map[string]CallerSpec),
	}
	d, err := decodeEntries(b.entries)
	if err != nil {
		return x // unreachable: the bundle was compiled from the entries
	}
	x.policy = d.Policy
	for _, s := range d.Services {
		x.services[serviceKey(s.Name)] = s
	}
	for _, c := range d.Classes {
		x.classes[c.Service+"/"+c.Name] = c
	}
	for _, r := range d.Routes {
		x.routes[r.key()] = r
	}
	for _, c := range d.Callers {
		x.callers["caller/"+c.Name] = c
	}
	return x
}

// timeout returns the shortest time that a request on the route may take.
func (x index) timeout(r RouteSpec) time.Duration {
	if r.Timeout > 0 {
		return r.Timeout.Std()
	}
	var shortest time.Duration
	for _, t := range r.targets() {
		if limit := x.classes[t.Service+"/"+t.Class].Timeout.Std(); shortest == 0 || limit < shortest {
			shortest = limit
		}
	}
	return shortest
}

// comparison looks for changes that take work from callers.
type comparison struct {
	*findings
	before, after index
}

func (c *comparison) policy() {
	sizes := []struct {
		name          string
		before, after setting.Size
	}{
		{"head", c.before.policy.Head, c.after.policy.Head},
		{"body", c.before.policy.Body, c.after.policy.Body},
	}
	for _, s := range sizes {
		if s.after > 0 && s.before > s.after {
			c.add(Warning, CodeLoweredLimit, "policy", "limit %s lowered from %d to %d bytes", s.name, s.before, s.after)
		}
	}
}

func (c *comparison) services() {
	for key, old := range c.before.services {
		next, ok := c.after.services[key]
		if !ok {
			continue // its routes tell
		}
		for _, h := range old.Hosts {
			if !slices.Contains(next.Hosts, h) {
				c.add(Warning, CodeRemovedHost, key, "host %q removed", h)
			}
		}
	}
}

func (c *comparison) routes() {
	for key, old := range c.before.routes {
		next, ok := c.after.routes[key]
		if !ok {
			c.add(Warning, CodeRemovedRoute, key, "its requests get another route, or none")
			continue
		}
		c.route(key, old, next)
	}
}

func (c *comparison) route(key string, old, next RouteSpec) {
	for _, service := range servicesOf(old) {
		if !slices.Contains(servicesOf(next), service) {
			c.add(Warning, CodeMovedRoute, key, "no longer leads to service %q, but to %s", service, strings.Join(servicesOf(next), ", "))
		}
	}
	if old.Public && !next.Public {
		c.add(Warning, CodeRemovedPublic, key, "no longer public")
	}
	if was, is := c.before.timeout(old), c.after.timeout(next); is < was {
		c.add(Warning, CodeLoweredTimeout, key, "timeout lowered from %v to %v", was, is)
	}
	if loweredAttempts(old.MaxAttempts, next.MaxAttempts) {
		c.add(Warning, CodeLoweredAttempts, key, "attempts lowered from %s to %s", attempts(old.MaxAttempts), attempts(next.MaxAttempts))
	}
}

// servicesOf returns the sorted names of the services to which the route leads.
func servicesOf(r RouteSpec) []string {
	var names []string
	for _, t := range r.targets() {
		names = append(names, t.Service)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// defaultAttempts is the number of attempts of a route that gives none, as in package node.
const defaultAttempts = 4

func loweredAttempts(before, after int) bool {
	return effectiveAttempts(after) < effectiveAttempts(before)
}

func effectiveAttempts(n int) int {
	if n == 0 {
		return defaultAttempts
	}
	return n
}

func attempts(n int) string {
	if n == 0 {
		return "the default"
	}
	return strconv.Itoa(n)
}

func (c *comparison) callers(after *Bundle) {
	for key, old := range c.before.callers {
		next := c.after.callers[key] // without keys if it is removed
		removed, moved := missingKeys(old, next, after)
		if removed > 0 {
			c.add(Warning, CodeRemovedKey, key, "keys removed: %d", removed)
		}
		if moved > 0 {
			c.add(Warning, CodeMovedKey, key, "keys that belong to another caller now: %d", moved)
		}
		c.limit(key, old, next)
	}
}

// missingKeys counts the keys of a caller that it has no longer: those that are removed and those of another caller now.
func missingKeys(old, next CallerSpec, after *Bundle) (removed, moved int) {
	held := make(map[keyDigest]bool)
	for _, text := range next.Keys {
		if digest, err := parseKeyDigest(text); err == nil {
			held[digest] = true
		}
	}
	for _, text := range old.Keys {
		digest, err := parseKeyDigest(text)
		switch {
		case err != nil || held[digest]:
		case after.keys[digest] != nil:
			moved++
		default:
			removed++
		}
	}
	return removed, moved
}

func (c *comparison) limit(key string, old, next CallerSpec) {
	was, is := Caller{old}, Caller{next}
	if !is.Limited() {
		return
	}
	switch {
	case !was.Limited():
		c.add(Warning, CodeLoweredLimit, key, "rate limited to %g, before without limit", is.Rate())
	case is.Rate() < was.Rate():
		c.add(Warning, CodeLoweredLimit, key, "rate lowered from %g to %g", was.Rate(), is.Rate())
	}
	if was.Limited() && is.Burst() < was.Burst() {
		c.add(Warning, CodeLoweredLimit, key, "burst lowered from %g to %g", was.Burst(), is.Burst())
	}
}
