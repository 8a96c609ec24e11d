package bundle

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Digest is the SHA-256 sum over the sorted entries of a bundle.
type Digest [sha256.Size]byte

// String formats the first 6 bytes in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:6]) }

// Bundle is an immutable set of entries with the tables compiled from them.
type Bundle struct {
	entries  map[string][]byte
	digest   Digest
	policy   Policy
	services map[string]*Service
	callers  map[string]*Caller
	teams    map[string][]string
	hosts    map[string]*routes
}

// Policy holds the rules that span all services.
type Policy struct{ doc PolicySpec }

// Signoffs returns how many different signers must sign a change.
func (p Policy) Signoffs() int { return max(1, p.doc.Signoffs) }

// KeyRetention returns how long an idempotency key is remembered.
func (p Policy) KeyRetention() time.Duration { return p.doc.KeyRetention.Std() }

// RetryRatio returns the retries allowed as a ratio of requests.
func (p Policy) RetryRatio() float64 { return p.doc.Retries }

// RetryReserve returns the retries that the whole fleet may save up for each service.
func (p Policy) RetryReserve() float64 { return p.doc.Reserve }

// LinkBytes returns the bytes a second that one node may send to other regions, or 0 for no bound.
func (p Policy) LinkBytes() int64 { return int64(p.doc.LinkBytes) }

// Service is a named group of upstreams.
type Service struct {
	doc     ServiceSpec
	classes map[string]*Class
}

// Name returns the name of the service.
func (s *Service) Name() string { return s.doc.Name }

// Team returns the team that owns the service, or "".
func (s *Service) Team() string { return s.doc.Team }

// Floor returns the share of upstreams that ejection must leave in service.
func (s *Service) Floor() float64 { return s.doc.Floor }

// Class returns the named class of work, or nil.
func (s *Service) Class(name string) *Class { return s.classes[name] }

// Classes returns the classes sorted by priority, then name.
func (s *Service) Classes() []*Class {
	out := slices.Collect(maps.Values(s.classes))
	slices.SortFunc(out, func(a, b *Class) int {
		if a.doc.Priority != b.doc.Priority {
			return a.doc.Priority - b.doc.Priority
		}
		return strings.Compare(a.doc.Name, b.doc.Name)
	})
	return out
}

// Class is a class of work of one service.
type Class struct{ doc ClassSpec }

// Service returns the name of the service.
func (c *Class) Service() string { return c.doc.Service }

// Name returns the name of the class.
func (c *Class) Name() string { return c.doc.Name }

// Priority returns the priority, 0 being the most urgent.
func (c *Class) Priority() int { return c.doc.Priority }

// Share returns the share of capacity that the class is guaranteed.
func (c *Class) Share() float64 { return c.doc.Share }

// Idempotent reports whether the work may run more than once.
func (c *Class) Idempotent() bool { return c.doc.Idempotent }

// Timeout returns the longest time a request of the class may take.
func (c *Class) Timeout() time.Duration { return c.doc.Timeout.Std() }

// Objective returns the time within which an answer has its full worth, or 0 where none is given.
func (c *Class) Objective() time.Duration { return c.doc.Objective.Std() }

// Spill reports whether the work may cross to another region when its own lacks capacity.
func (c *Class) Spill() bool { return c.doc.Spill }

// Caller is a caller with its limit over the whole fleet.
type Caller struct{ doc CallerSpec }

// Name returns the caller's name.
func (c *Caller) Name() string { return c.doc.Name }

// Rate returns the caller's limit in requests a second.
func (c *Caller) Rate() float64 { return c.doc.Rate }

// Burst returns how many requests the caller may send at once.
func (c *Caller) Burst() float64 { return max(1, c.doc.Burst) }

// Digest returns the digest of all entries.
func (b *Bundle) Digest() Digest { return b.digest }

// Policy returns the rules that span all services.
func (b *Bundle) Policy() Policy { return b.policy }

// Service returns the named service, or nil.
func (b *Bundle) Service(name string) *Service { return b.services[name] }

// Services returns the names of all services in order.
func (b *Bundle) Services() []string { return slices.Sorted(maps.Keys(b.services)) }

// Caller returns the named caller, or nil.
func (b *Bundle) Caller(name string) *Caller { return b.callers[name] }

// Signers returns the signers of a team.
func (b *Bundle) Signers(team string) []string { return b.teams[team] }

// Len returns the number of entries.
func (b *Bundle) Len() int { return len(b.entries) }

// Empty returns the bundle without entries, on which the first change builds.
func Empty() *Bundle {
	b, err := compile(nil)
	if err != nil {
		panic(err) // no entry can be malformed
	}
	return b
}

// Entry is one named part of a bundle in canonical JSON.
type Entry struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
}

// Entries returns all entries in order of their keys.
func (b *Bundle) Entries() []Entry {
	out := make([]Entry, 0, len(b.entries))
	for _, k := range slices.Sorted(maps.Keys(b.entries)) {
		out = append(out, Entry{Key: k, Value: b.entries[k]})
	}
	return out
}

// FromEntries compiles a bundle received as a whole.
func FromEntries(entries []Entry) (*Bundle, error) {
	m := make(map[string][]byte, len(entries))
	for _, e := range entries {
		m[e.Key] = e.Value
	}
	return compile(m)
}

func build(d *Document) (*Bundle, error) {
	m := make(map[string][]byte)
	put := func(key string, v any) {
		data, err := json.Marshal(v)
		if err != nil {
			panic(err) // plain data marshals
		}
		m[key] = data
	}
	put("policy", d.Policy)
	for _, t := range d.Teams {
		put("team/"+t.Name, t)
	}
	for _, s := range d.Services {
		put("service/"+s.Name, s)
	}
	for _, c := range d.Classes {
		put("class/"+c.Service+"/"+c.Name, c)
	}
	for _, r := range d.Routes {
		put(r.key(), r)
	}
	for _, c := range d.Callers {
		put("caller/"+c.Name, c)
	}
	return compile(m)
}

func digest(entries map[string][]byte) Digest {
	h := sha256.New()
	for _, k := range slices.Sorted(maps.Keys(entries)) {
		sum := sha256.Sum256(entries[k])
		h.Write([]byte(k))
		h.Write([]byte{0})
		h.Write(sum[:])
	}
	return Digest(h.Sum(nil))
}

func compile(entries map[string][]byte) (*Bundle, error) {
	d, err := document(entries)
	if err != nil {
		return nil, err
	}
	b := &Bundle{
		entries:  entries,
		digest:   digest(entries),
		policy:   Policy{d.Policy},
		services: make(map[string]*Service, len(d.Services)),
		callers:  make(map[string]*Caller, len(d.Callers)),
		teams:    make(map[string][]string, len(d.Teams)),
		hosts:    make(map[string]*routes, len(d.Services)),
	}
	for _, t := range d.Teams {
		b.teams[t.Name] = t.Signers
	}
	for _, s := range d.Services {
		b.services[s.Name] = &Service{doc: s, classes: make(map[string]*Class)}
	}
	for _, c := range d.Classes {
		if s := b.services[c.Service]; s != nil {
			s.classes[c.Name] = &Class{c}
		}
	}
	for _, c := range d.Callers {
		b.callers[c.Name] = &Caller{c}
	}
	b.compileRoutes(d)
	return b, nil
}

// document decodes the entries and checks that they form a whole bundle.
func document(entries map[string][]byte) (*Document, error) {
	d := &Document{}
	if len(entries) == 0 {
		return d, nil
	}
	for _, k := range slices.Sorted(maps.Keys(entries)) {
		if err := d.add(k, entries[k]); err != nil {
			return nil, errors.Wrapf(err, "bundle entry %q", k)
		}
	}
	if p := d.Check(); len(p) > 0 {
		return nil, &InvalidError{first: p[0].String(), count: len(p)}
	}
	return d, nil
}

func (d *Document) add(key string, value []byte) error {
	kind, _, _ := strings.Cut(key, "/")
	switch kind {
	case "policy":
		return json.Unmarshal(value, &d.Policy)
	case "team":
		return appendJSON(&d.Teams, value)
	case "service":
		return appendJSON(&d.Services, value)
	case "class":
		return appendJSON(&d.Classes, value)
	case "route":
		return appendJSON(&d.Routes, value)
	case "caller":
		return appendJSON(&d.Callers, value)
	}
	return errors.New("unknown kind of entry")
}

func appendJSON[T any](list *[]T, value []byte) error {
	var v T
	if err := json.Unmarshal(value, &v); err != nil {
		return err
	}
	*list = append(*list, v)
	return nil
}
