package bundle

import (
	"cmp"
	"fmt"
	"math"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/jasminevane/jasminevane/setting"
)

// Limits on the values in a bundle.
const (
	MaxPriority         = 9    // the least urgent priority
	maxNameLength       = 63   // of a class or a team, in bytes
	maxHeaderNameLength = 1024 // of a service or a caller, in bytes: each request carries them in its head
)

// Document is a bundle in the form that operators write in TOML.
type Document struct {
	Policy   PolicySpec    `toml:"policy" json:"policy"`
	Teams    []TeamSpec    `toml:"team" json:"team"`
	Services []ServiceSpec `toml:"service" json:"service"`
	Classes  []ClassSpec   `toml:"class" json:"class"`
	Routes   []RouteSpec   `toml:"route" json:"route"`
	Callers  []CallerSpec  `toml:"caller" json:"caller"`
}

// PolicySpec holds the rules that apply to all services.
type PolicySpec struct {
	Signoffs     int              `toml:"signoffs" json:"signoffs"`
	KeyRetention setting.Duration `toml:"key_retention" json:"key_retention"`
	Retries      float64          `toml:"retries" json:"retries"`           // ratio of retries to requests
	Reserve      float64          `toml:"reserve" json:"reserve,omitempty"` // fleet-wide retries of one service per window, on top of the ratio
	Keyed        bool             `toml:"keyed" json:"keyed,omitempty"`     // requests need a key also while no caller has one
	LinkBytes    setting.Size     `toml:"link_bytes" json:"link_bytes"`     // limit in bytes/s from one node to other regions; 0 for none
	Head         setting.Size     `toml:"head" json:"head,omitempty"`       // maximum size in bytes of the head of a request; 0 for that of the node's settings
	Body         setting.Size     `toml:"body" json:"body,omitempty"`       // maximum size in bytes of the body of a request; 0 for that of the node's settings
}

// TeamSpec lists the signers of a team.
type TeamSpec struct {
	Name    string   `toml:"name" json:"name"`
	Signers []string `toml:"signers" json:"signers"`
}

// ServiceSpec describes a service.
type ServiceSpec struct {
	Name  string   `toml:"name" json:"name"`
	Team  string   `toml:"team" json:"team,omitempty"`
	Hosts []string `toml:"hosts" json:"hosts,omitempty"` // may be empty if every route has a host
	Floor float64  `toml:"floor" json:"floor"`           // minimum share of upstreams that ejection leaves in service
}

// ClassSpec describes a class of requests.
type ClassSpec struct {
	Service    string           `toml:"service" json:"service"`
	Name       string           `toml:"name" json:"name"`
	Priority   int              `toml:"priority" json:"priority"`
	Share      float64          `toml:"share" json:"share"` // share of an upstream's slots that is guaranteed to the class
	Idempotent bool             `toml:"idempotent" json:"idempotent"`
	Timeout    setting.Duration `toml:"timeout" json:"timeout"`
	Objective  setting.Duration `toml:"objective" json:"objective,omitempty"` // target response time; 0 if there is none
	Spill      bool             `toml:"spill" json:"spill,omitempty"`         // requests may go to another region if their own lacks capacity
}

// RouteSpec maps the requests under a path prefix to a request class, or splits them among several services.
type RouteSpec struct {
	Service     string            `toml:"service" json:"service"`
	Host        string            `toml:"host" json:"host,omitempty"` // overrides the hosts of the service
	Prefix      string            `toml:"prefix" json:"prefix"`
	Method      string            `toml:"method" json:"method"`
	Class       string            `toml:"class" json:"class"`
	Timeout     setting.Duration  `toml:"timeout" json:"timeout,omitempty"`   // overrides the timeout of the class
	MaxAttempts int               `toml:"attempts" json:"attempts,omitempty"` // maximum upstreams per request, refusals excluded; 0: default
	Split       []SplitTargetSpec `toml:"split" json:"split,omitempty"`
	Public      bool              `toml:"public" json:"public,omitempty"` // requests need no key
	Closed      bool              `toml:"closed" json:"closed,omitempty"` // requests are refused, and don't fall to a route with a shorter prefix
}

// SplitTargetSpec is one weighted target of a traffic split.
type SplitTargetSpec struct {
	Service string  `toml:"service" json:"service"`
	Class   string  `toml:"class" json:"class"`
	Weight  float64 `toml:"weight" json:"weight"`
}

// CallerSpec describes a caller.
type CallerSpec struct {
	Name     string   `toml:"name" json:"name"`
	Keys     []string `toml:"keys" json:"keys,omitempty"`         // SHA-256 digests of its keys in hexadecimal; see KeyDigest
	Priority *int     `toml:"priority" json:"priority,omitempty"` // replaces the priority of the class
	Rate     float64  `toml:"rate" json:"rate"`                   // limit in requests per second; 0 for no limit
	Burst    float64  `toml:"burst" json:"burst"`                 // requests that the caller may send at once
}

// Parse decodes, checks and compiles a TOML bundle. The error is a *setting.Error that lists all problems.
func Parse(file string, data []byte) (*Bundle, error) {
	var d Document
	if err := setting.Decode(file, data, &d); err != nil {
		return nil, err
	}
	return compileDocument(&d)
}

// Build checks and compiles a document that was built in memory instead of read from TOML. The error is an *InvalidError.
func Build(d *Document) (*Bundle, error) {
	if problems := d.Check(); len(problems) > 0 {
		return nil, &InvalidError{firstProblem: problems[0].String(), problemCount: len(problems)}
	}
	return compileDocument(d)
}

// The keys of entries escape the names of services and hosts, which may have the characters that separate the parts of a key.

func serviceKey(name string) string { return "service/" + url.PathEscape(name) }

func classKey(service, name string) string { return "class/" + url.PathEscape(service) + "/" + name }

// key returns the key of the route's entry in the bundle.
func (r *RouteSpec) key() string {
	return "route/" + url.PathEscape(cmp.Or(r.Host, r.Service)) + " " + r.Method + " " + r.Prefix
}

// Check implements setting.Checker.
func (d *Document) Check() []setting.Problem {
	var c checker
	c.policy(d.Policy)
	c.teams(d)
	c.services(d)
	c.classes(d)
	c.routes(d)
	c.callers(d)
	return c.problems
}

// checker collects the problems of a document.
type checker struct {
	problems []setting.Problem
	seen     map[string]bool // IDs that were already declared, such as "team/" and the name of a team
}

// report adds a problem with the value at the key.
func (c *checker) report(key, format string, args ...any) {
	c.problems = append(c.problems, setting.NewProblem(key, format, args...))
}

// name reports a problem at the key if the name is not valid.
func (c *checker) name(key, name string) {
	invalidChar := strings.ContainsFunc(name, func(r rune) bool {
		return !strings.ContainsRune("abcdefghijklmnopqrstuvwxyz0123456789-_.", r)
	})
	if name == "" || len(name) > maxNameLength || invalidChar {
		c.report(key, "%q is not a name of 1 to %d lower-case letters, digits, hyphens, underscores and dots", name, maxNameLength)
	}
}

// reportAs adds a problem of the kind that the code names.
func (c *checker) reportAs(code Code, key, format string, args ...any) {
	c.problems = append(c.problems, setting.NewProblem(key, format, args...).WithCode(string(code)))
}

// unique reports a problem at the key if the ID was already declared.
func (c *checker) unique(key, id string) { c.uniqueAs(CodeInvalid, key, id) }

// uniqueAs does the same with the code of the problem.
func (c *checker) uniqueAs(code Code, key, id string) {
	if c.seen == nil {
		c.seen = make(map[string]bool)
	}
	if c.seen[id] {
		c.reportAs(code, key, "%s is given twice", id)
	}
	c.seen[id] = true
}

func (c *checker) policy(p PolicySpec) {
	if p.Signoffs < 1 {
		c.report("policy.signoffs", "is %d, want at least 1", p.Signoffs)
	}
	if p.KeyRetention.Std() < time.Minute {
		c.report("policy.key_retention", "is %v, want at least 1m", p.KeyRetention.Std())
	}
	if !within(p.Retries, 0, 1) {
		c.report("policy.retries", "is %g, want 0 to 1", p.Retries)
	}
	if !isFinite(p.Reserve) {
		c.report("policy.reserve", "is %g, want a number of retries", p.Reserve)
	}
}

func (c *checker) teams(d *Document) {
	for i, t := range d.Teams {
		key := fmt.Sprintf("team[%d].name", i)
		c.name(key, t.Name)
		c.unique(key, "team/"+t.Name)
	}
}

func (c *checker) services(d *Document) {
	for i, s := range d.Services {
		key := fmt.Sprintf("service[%d]", i)
		c.headerName(key+".name", s.Name)
		c.unique(key+".name", "service/"+s.Name)
		if s.Team != "" && !c.seen["team/"+s.Team] {
			c.report(key+".team", "team %q is not declared", s.Team)
		}
		if len(s.Hosts) == 0 && c.needsHost(d, s.Name) {
			c.report(key+".hosts", "is empty")
		}
		for _, h := range s.Hosts {
			c.uniqueAs(CodeSharedHost, key+".hosts", "host/"+h)
		}
		if !within(s.Floor, 0, 1) {
			c.report(key+".floor", "is %g, want 0 to 1", s.Floor)
		}
	}
}

// needsHost reports whether the service must list hosts, since one of its routes has none.
func (c *checker) needsHost(d *Document, service string) bool {
	return slices.ContainsFunc(d.Routes, func(r RouteSpec) bool { return r.Host == "" && r.Service == service })
}

func (c *checker) classes(d *Document) {
	shares := make(map[string]float64)
	for i, class := range d.Classes {
		key := fmt.Sprintf("class[%d]", i)
		c.name(key+".name", class.Name)
		c.unique(key+".name", "class/"+class.Service+"/"+class.Name) // no name of a class has a slash
		if !c.seen["service/"+class.Service] {
			c.report(key+".service", "service %q is not declared", class.Service)
		}
		if class.Priority < 0 || class.Priority > MaxPriority {
			c.report(key+".priority", "is %d, want 0 (most urgent) to %d", class.Priority, MaxPriority)
		}
		if class.Timeout <= 0 {
			c.report(key+".timeout", "is not set")
		}
		shares[class.Service] += class.Share
		if class.Share < 0 || !within(shares[class.Service], 0, 1) {
			c.reportAs(CodeSharesExceedOne, key+".share", "shares of service %q add up to %g, want 0 to 1", class.Service, shares[class.Service])
		}
	}
}

func (c *checker) routes(d *Document) {
	for i, r := range d.Routes {
		key := fmt.Sprintf("route[%d]", i)
		if !r.Closed && !c.seen["class/"+r.Service+"/"+r.Class] {
			c.report(key+".class", "class %q of service %q is not declared", r.Class, r.Service)
		}
		if r.Closed && r.Host == "" && !c.seen["service/"+r.Service] {
			c.report(key+".host", "is empty, and service %q is not declared", r.Service)
		}
		if !strings.HasPrefix(r.Prefix, "/") {
			c.report(key+".prefix", "%q does not start with /", r.Prefix)
		}
		c.unique(key+".prefix", r.key())
		if r.MaxAttempts < 0 {
			c.report(key+".attempts", "is %d, want at least 0", r.MaxAttempts)
		}
		c.split(key, r)
	}
}

// split checks the targets of a traffic split.
func (c *checker) split(key string, r RouteSpec) {
	totalWeight := 0.0
	for targetIndex, target := range r.Split {
		targetKey := fmt.Sprintf("%s.split[%d]", key, targetIndex)
		if !c.seen["class/"+target.Service+"/"+target.Class] {
			c.report(targetKey+".class", "class %q of service %q is not declared", target.Class, target.Service)
		}
		if !isFinite(target.Weight) || target.Weight < 0 {
			c.report(targetKey+".weight", "is %g, want at least 0", target.Weight)
		}
		totalWeight += max(0, target.Weight)
	}
	if len(r.Split) > 0 && totalWeight == 0 {
		c.report(key+".split", "has no target with a positive weight")
	}
}

func (c *checker) callers(d *Document) {
	owners := make(map[keyDigest]string) // name of the caller, by the digest of its key
	for i, caller := range d.Callers {
		key := fmt.Sprintf("caller[%d]", i)
		c.headerName(key+".name", caller.Name)
		c.unique(key+".name", "caller/"+caller.Name)
		c.callerKeys(key+".keys", caller, owners)
		if p := caller.Priority; p != nil && (*p < 0 || *p > MaxPriority) {
			c.report(key+".priority", "is %d, want 0 (most urgent) to %d", *p, MaxPriority)
		}
		if !isFinite(caller.Rate) || caller.Rate < 0 {
			c.report(key+".rate", "is %g, want at least 0 requests a second", caller.Rate)
		}
		if !isFinite(caller.Burst) {
			c.report(key+".burst", "is %g, want a number of requests", caller.Burst)
		}
	}
}

// ValidHeaderName reports whether the name of a service or a caller can be the value of a header: it has no control characters and no space at its
// ends, and is not too long.
func ValidHeaderName(name string) bool {
	control := strings.ContainsFunc(name, func(r rune) bool { return r < ' ' || r == 0x7f })
	return name != "" && len(name) <= maxHeaderNameLength && !control && strings.Trim(name, " ") == name
}

func (c *checker) headerName(key, name string) {
	if !ValidHeaderName(name) {
		c.report(key, "%.64q is not a name of 1 to %d bytes without control characters and without spaces at its ends", name, maxHeaderNameLength)
	}
}

// callerKeys reports digests that are invalid or of a key of another caller. The problems don't quote them: an operator may have written
// a key in clear.
func (c *checker) callerKeys(key string, caller CallerSpec, owners map[keyDigest]string) {
	for i, text := range caller.Keys {
		digest, err := parseKeyDigest(text)
		if err != nil {
			c.report(key, "entry %d is not the SHA-256 digest of a key in hexadecimal", i)
			continue
		}
		if owner, taken := owners[digest]; taken && owner != caller.Name {
			c.reportAs(CodeSharedKey, key, "entry %d belongs to caller %q already", i, owner)
		}
		owners[digest] = caller.Name
	}
}

// within reports whether a number is between two others; NaN is not.
func within(f, low, high float64) bool { return f >= low && f <= high }

func isFinite(f float64) bool { return !math.IsNaN(f) && !math.IsInf(f, 0) }
