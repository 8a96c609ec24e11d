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

// Digest is a SHA-256 hash over the sorted entries of a bundle.
type Digest [sha256.Size]byte

// String returns the first 6 bytes in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:6]) }

// Bundle is an immutable set of configuration entries with the lookup tables compiled from them.
type Bundle struct {
	entries  map[string][]byte
	digest   Digest
	policy   Policy
	services map[string]*Service
	callers  map[string]*Caller
	limited  int                    // number of callers that have a rate limit
	keys     map[keyDigest]*Caller  // callers by the digests of their keys
	teams    map[string][]string    // signers by team
	hosts    map[string]*hostRoutes // by host name
}

// Policy holds the rules that apply to all services.
type Policy struct{ spec PolicySpec }

// RequiredSignoffs returns the number of different signers that must approve a change.
func (p Policy) RequiredSignoffs() int { return max(1, p.spec.Signoffs) }

// KeyRetention returns the time for which idempotency keys are kept.
func (p Policy) KeyRetention() time.Duration { return p.spec.KeyRetention.Std() }

// RetryRatio returns the retry budget as a ratio of retries to requests.
func (p Policy) RetryRatio() float64 { return p.spec.Retries }

// RetryReserve returns how many retries of each service the whole fleet allows in each window of the retry budget in addition to the
// ratio of requests.
func (p Policy) RetryReserve() float64 { return p.spec.Reserve }

// MaxHeadBytes returns the maximum size in bytes of the head of a request, or 0 for that of the node's settings.
func (p Policy) MaxHeadBytes() int64 { return int64(p.spec.Head) }

// MaxBodyBytes returns the maximum size in bytes of the body of a request, or 0 for that of the node's settings.
func (p Policy) MaxBodyBytes() int64 { return int64(p.spec.Body) }

// MaxLinkBytesPerSecond returns the maximum number of bytes per second that one node sends to other regions, or 0 for no limit.
func (p Policy) MaxLinkBytesPerSecond() int64 { return int64(p.spec.LinkBytes) }

// Service is a named group of upstreams.
type Service struct {
	spec    ServiceSpec
	classes map[string]*Class
}

// Name returns the name of the service.
func (s *Service) Name() string { return s.spec.Name }

// Team returns the team that owns the service, or "" if there is none.
func (s *Service) Team() string { return s.spec.Team }

// Floor returns the minimum share of the service's upstreams that ejection must leave in service, 0 to 1.
func (s *Service) Floor() float64 { return s.spec.Floor }

// Class returns the named request class, or nil.
func (s *Service) Class(name string) *Class { return s.classes[name] }

// Classes returns the classes sorted by priority, then name.
func (s *Service) Classes() []*Class {
	classes := slices.Collect(maps.Values(s.classes))
	slices.SortFunc(classes, func(a, b *Class) int {
		if a.spec.Priority != b.spec.Priority {
			return a.spec.Priority - b.spec.Priority
		}
		return strings.Compare(a.spec.Name, b.spec.Name)
	})
	return classes
}

// Class is a class of requests of one service.
type Class struct {
	spec   ClassSpec
	public bool // a public route leads to the class
	keyed  bool // a route that needs a key leads to the class
}

// Service returns the name of the service that the class belongs to.
func (c *Class) Service() string { return c.spec.Service }

// Name returns the name of the class.
func (c *Class) Name() string { return c.spec.Name }

// Priority returns the priority of the class; 0 is the most urgent.
func (c *Class) Priority() int { return c.spec.Priority }

// Share returns the share of an upstream's slots that is guaranteed to the class, 0 to 1.
func (c *Class) Share() float64 { return c.spec.Share }

// Idempotent reports whether requests of the class may be executed more than once.
func (c *Class) Idempotent() bool { return c.spec.Idempotent }

// Timeout returns the maximum time that a request of the class may take.
func (c *Class) Timeout() time.Duration { return c.spec.Timeout.Std() }

// Objective returns the target response time of the class, or 0 if there is none.
func (c *Class) Objective() time.Duration { return c.spec.Objective.Std() }

// Public reports whether all routes that lead to the class are public.
func (c *Class) Public() bool { return c.public && !c.keyed }

// Spill reports whether requests of the class may be sent to another region when their own region lacks capacity.
func (c *Class) Spill() bool { return c.spec.Spill }

// Digest returns the digest of all entries.
func (b *Bundle) Digest() Digest { return b.digest }

// Policy returns the rules that apply to all services.
func (b *Bundle) Policy() Policy { return b.policy }

// Service returns the named service, or nil.
func (b *Bundle) Service(name string) *Service { return b.services[name] }

// Services returns the names of all services in sorted order.
func (b *Bundle) Services() []string { return slices.Sorted(maps.Keys(b.services)) }

// Caller returns the named caller, or nil.
func (b *Bundle) Caller(name string) *Caller { return b.callers[name] }

// Signers returns the names of the signers of a team.
func (b *Bundle) Signers(team string) []string { return b.teams[team] }

// Len returns the number of entries.
func (b *Bundle) Len() int { return len(b.entries) }

// Empty returns the bundle without entries, which is the base of the first change.
func Empty() *Bundle {
	b, err := compile(nil)
	if err != nil {
		panic(err) // unreachable: without entries nothing can be invalid
	}
	return b
}

// Entry is one named element of a bundle in canonical JSON.
type Entry struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
}

// Entries returns all entries sorted by key.
func (b *Bundle) Entries() []Entry {
	entries := make([]Entry, 0, len(b.entries))
	for _, key := range slices.Sorted(maps.Keys(b.entries)) {
		entries = append(entries, Entry{Key: key, Value: b.entries[key]})
	}
	return entries
}

// FromEntries compiles a bundle from the complete list of its entries.
func FromEntries(entries []Entry) (*Bundle, error) {
	values := make(map[string][]byte, len(entries))
	for _, e := range entries {
		values[e.Key] = e.Value
	}
	return compile(values)
}

// compileDocument encodes the elements of the document as entries and compiles them.
func compileDocument(d *Document) (*Bundle, error) {
	entries := make(map[string][]byte)
	putEntry := func(key string, v any) {
		data, err := json.Marshal(v)
		if err != nil {
			panic(err) // unreachable unless a number is NaN or infinite
		}
		entries[key] = data
	}
	putEntry("policy", d.Policy)
	for _, t := range d.Teams {
		putEntry("team/"+t.Name, t)
	}
	for _, s := range d.Services {
		putEntry(serviceKey(s.Name), s)
	}
	for _, c := range d.Classes {
		putEntry(classKey(c.Service, c.Name), c)
	}
	for _, r := range d.Routes {
		putEntry(r.key(), r)
	}
	for _, c := range d.Callers {
		putEntry("caller/"+c.Name, c)
	}
	return compile(entries)
}

// digest returns the digest of the entries.
func digest(entries map[string][]byte) Digest {
	hash := sha256.New()
	for _, key := range slices.Sorted(maps.Keys(entries)) {
		sum := sha256.Sum256(entries[key])
		hash.Write([]byte(key))
		hash.Write([]byte{0})
		hash.Write(sum[:])
	}
	return Digest(hash.Sum(nil))
}

// compile decodes and checks the entries and builds the lookup tables.
func compile(entries map[string][]byte) (*Bundle, error) {
	d, err := decodeEntries(entries)
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
		hosts:    make(map[string]*hostRoutes, len(d.Services)),
	}
	for _, t := range d.Teams {
		b.teams[t.Name] = t.Signers
	}
	for _, s := range d.Services {
		b.services[s.Name] = &Service{spec: s, classes: make(map[string]*Class)}
	}
	for _, c := range d.Classes {
		if s := b.services[c.Service]; s != nil {
			s.classes[c.Name] = &Class{spec: c}
		}
	}
	b.compileCallers(d.Callers)
	b.compileRoutes(d)
	return b, nil
}

// decodeEntries decodes the entries and checks that they form a valid bundle.
func decodeEntries(entries map[string][]byte) (*Document, error) {
	d := &Document{}
	if len(entries) == 0 {
		return d, nil
	}
	for _, key := range slices.Sorted(maps.Keys(entries)) {
		if err := d.add(key, entries[key]); err != nil {
			return nil, errors.Wrapf(err, "bundle entry %q", key)
		}
	}
	if problems := d.Check(); len(problems) > 0 {
		return nil, &InvalidError{firstProblem: problems[0].String(), problemCount: len(problems)}
	}
	return d, nil
}

// add decodes one entry into the document.
func (d *Document) add(key string, value []byte) error {
	entryType, _, _ := strings.Cut(key, "/")
	switch entryType {
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
	var element T
	if err := json.Unmarshal(value, &element); err != nil {
		return err
	}
	*list = append(*list, element)
	return nil
}
