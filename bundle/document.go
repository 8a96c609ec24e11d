package bundle

import (
	"fmt"
	"strings"
	"time"

	"github.com/jasminevane/jasminevane/setting"
)

// Limits of a bundle's values.
const (
	maxPriority = 9
	maxNameLen  = 63
)

// Document is a bundle as operators write it in TOML.
type Document struct {
	Policy   PolicySpec    `toml:"policy" json:"policy"`
	Teams    []TeamSpec    `toml:"team" json:"team"`
	Services []ServiceSpec `toml:"service" json:"service"`
	Classes  []ClassSpec   `toml:"class" json:"class"`
	Routes   []RouteSpec   `toml:"route" json:"route"`
	Callers  []CallerSpec  `toml:"caller" json:"caller"`
}

// PolicySpec holds the rules that span all services.
type PolicySpec struct {
	Signoffs     int              `toml:"signoffs" json:"signoffs"`
	KeyRetention setting.Duration `toml:"key_retention" json:"key_retention"`
	Retries      float64          `toml:"retries" json:"retries"`
	Reserve      float64          `toml:"reserve" json:"reserve,omitempty"` // retries that the whole fleet may save up for each service
	LinkBytes    setting.Size     `toml:"link_bytes" json:"link_bytes"`
}

// TeamSpec names the signers of a team.
type TeamSpec struct {
	Name    string   `toml:"name" json:"name"`
	Signers []string `toml:"signers" json:"signers"`
}

// ServiceSpec describes a service.
type ServiceSpec struct {
	Name  string   `toml:"name" json:"name"`
	Team  string   `toml:"team" json:"team,omitempty"`
	Hosts []string `toml:"hosts" json:"hosts,omitempty"` // may be empty where every route names its host
	Floor float64  `toml:"floor" json:"floor"`
}

// ClassSpec describes a class of work.
type ClassSpec struct {
	Service    string           `toml:"service" json:"service"`
	Name       string           `toml:"name" json:"name"`
	Priority   int              `toml:"priority" json:"priority"`
	Share      float64          `toml:"share" json:"share"`
	Idempotent bool             `toml:"idempotent" json:"idempotent"`
	Timeout    setting.Duration `toml:"timeout" json:"timeout"`
	Objective  setting.Duration `toml:"objective" json:"objective,omitempty"` // time within which an answer has its full worth
	Spill      bool             `toml:"spill" json:"spill,omitempty"`
}

// RouteSpec sends the requests under a prefix to a class of work, or divides them among several services.
type RouteSpec struct {
	Service  string           `toml:"service" json:"service"`
	Host     string           `toml:"host" json:"host,omitempty"` // instead of the service's hosts
	Prefix   string           `toml:"prefix" json:"prefix"`
	Method   string           `toml:"method" json:"method"`
	Class    string           `toml:"class" json:"class"`
	Timeout  setting.Duration `toml:"timeout" json:"timeout,omitempty"`   // instead of the class's
	Attempts int              `toml:"attempts" json:"attempts,omitempty"` // upstreams that one request may be sent to; 0 for the default
	Split    []SplitTargetSpec       `toml:"split" json:"split,omitempty"`
}

// SplitTargetSpec is one part of a divided route.
type SplitTargetSpec struct {
	Service string  `toml:"service" json:"service"`
	Class   string  `toml:"class" json:"class"`
	Weight  float64 `toml:"weight" json:"weight"`
}

// CallerSpec limits a caller.
type CallerSpec struct {
	Name  string  `toml:"name" json:"name"`
	Rate  float64 `toml:"rate" json:"rate"`
	Burst float64 `toml:"burst" json:"burst"`
}

// Parse decodes and checks a TOML bundle; the error is a *setting.Error that lists all faults.
func Parse(file string, data []byte) (*Bundle, error) {
	var d Document
	if err := setting.Decode(file, data, &d); err != nil {
		return nil, err
	}
	return build(&d)
}

// Build checks and compiles a document that was not read from TOML; the error is an *InvalidError.
func Build(d *Document) (*Bundle, error) {
	if p := d.Check(); len(p) > 0 {
		return nil, &InvalidError{first: p[0].String(), count: len(p)}
	}
	return build(d)
}

// key returns the name of the route's entry.
func (r *RouteSpec) key() string {
	if r.Host != "" {
		return "route/" + r.Host + " " + r.Method + " " + r.Prefix
	}
	return "route/" + r.Service + " " + r.Method + " " + r.Prefix
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

type checker struct {
	problems []setting.Problem
	seen     map[string]bool
}

func (c *checker) add(key, format string, args ...any) {
	c.problems = append(c.problems, setting.NewProblem(key, format, args...))
}

func (c *checker) name(key, name string) {
	bad := strings.ContainsFunc(name, func(r rune) bool {
		return !strings.ContainsRune("abcdefghijklmnopqrstuvwxyz0123456789-_.", r)
	})
	if name == "" || len(name) > maxNameLen || bad {
		c.add(key, "%q is not a name of 1 to %d lower-case letters, digits, hyphens, underscores and dots", name, maxNameLen)
	}
}

func (c *checker) unique(key, id string) {
	if c.seen == nil {
		c.seen = make(map[string]bool)
	}
	if c.seen[id] {
		c.add(key, "%s is given twice", id)
	}
	c.seen[id] = true
}

func (c *checker) policy(p PolicySpec) {
	if p.Signoffs < 1 {
		c.add("policy.signoffs", "is %d, want at least 1", p.Signoffs)
	}
	if p.KeyRetention.Std() < time.Minute {
		c.add("policy.key_retention", "is %v, want at least 1m", p.KeyRetention.Std())
	}
	if p.Retries < 0 || p.Retries > 1 {
		c.add("policy.retries", "is %g, want 0 to 1", p.Retries)
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
		c.name(key+".name", s.Name)
		c.unique(key+".name", "service/"+s.Name)
		if s.Team != "" && !c.seen["team/"+s.Team] {
			c.add(key+".team", "team %q is not declared", s.Team)
		}
		if len(s.Hosts) == 0 && c.needsHost(d, s.Name) {
			c.add(key+".hosts", "is empty")
		}
		for _, h := range s.Hosts {
			c.unique(key+".hosts", "host/"+h)
		}
		if s.Floor < 0 || s.Floor > 1 {
			c.add(key+".floor", "is %g, want 0 to 1", s.Floor)
		}
	}
}

// needsHost reports whether the service is reached by its own hosts: no route names it, or one does without a host.
func (c *checker) needsHost(d *Document, service string) bool {
	hosted := false
	for _, r := range d.Routes {
		if r.Host == "" && r.Service == service {
			return true
		}
		hosted = hosted || r.Host != ""
	}
	return !hosted
}

func (c *checker) classes(d *Document) {
	shares := make(map[string]float64)
	for i, k := range d.Classes {
		key := fmt.Sprintf("class[%d]", i)
		c.name(key+".name", k.Name)
		c.unique(key+".name", "class/"+k.Service+"/"+k.Name)
		if !c.seen["service/"+k.Service] {
			c.add(key+".service", "service %q is not declared", k.Service)
		}
		if k.Priority < 0 || k.Priority > maxPriority {
			c.add(key+".priority", "is %d, want 0 (most urgent) to %d", k.Priority, maxPriority)
		}
		if k.Timeout <= 0 {
			c.add(key+".timeout", "is not set")
		}
		shares[k.Service] += k.Share
		if k.Share < 0 || shares[k.Service] > 1 {
			c.add(key+".share", "shares of service %q add up to %g, want 0 to 1", k.Service, shares[k.Service])
		}
	}
}

func (c *checker) routes(d *Document) {
	for i, r := range d.Routes {
		key := fmt.Sprintf("route[%d]", i)
		if !c.seen["class/"+r.Service+"/"+r.Class] {
			c.add(key+".class", "class %q of service %q is not declared", r.Class, r.Service)
		}
		if !strings.HasPrefix(r.Prefix, "/") {
			c.add(key+".prefix", "%q does not start with /", r.Prefix)
		}
		c.unique(key+".prefix", r.key())
		if r.Attempts < 0 {
			c.add(key+".attempts", "is %d, want at least 0", r.Attempts)
		}
		c.parts(key, r)
	}
}

func (c *checker) parts(key string, r RouteSpec) {
	sum := 0.0
	for j, p := range r.Split {
		part := fmt.Sprintf("%s.split[%d]", key, j)
		if !c.seen["class/"+p.Service+"/"+p.Class] {
			c.add(part+".class", "class %q of service %q is not declared", p.Class, p.Service)
		}
		if p.Weight < 0 {
			c.add(part+".weight", "is %g, want at least 0", p.Weight)
		}
		sum += max(0, p.Weight)
	}
	if len(r.Split) > 0 && sum == 0 {
		c.add(key+".split", "has no part with a weight")
	}
}

func (c *checker) callers(d *Document) {
	for i, k := range d.Callers {
		key := fmt.Sprintf("caller[%d]", i)
		c.name(key+".name", k.Name)
		c.unique(key+".name", "caller/"+k.Name)
		if k.Rate <= 0 {
			c.add(key+".rate", "is %g, want more than 0 requests a second", k.Rate)
		}
	}
}
