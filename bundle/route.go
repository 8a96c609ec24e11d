package bundle

import (
	"strings"
	"time"
)

// routes holds the routes of one host by path prefix.
type routes struct {
	prefix map[string][]*Route
}

// Route sends the requests under a prefix to a class of work, or divides them among several services.
type Route struct {
	doc   RouteSpec
	parts []part
	total float64
}

type part struct {
	Match
	weight float64
}

// Match is the service and class that a request belongs to, with the route that led there.
type Match struct {
	Service *Service
	Class   *Class
	Route   *Route
}

// Timeout returns the longest time that a request on the route may take.
func (m Match) Timeout() time.Duration {
	if m.Route != nil && m.Route.doc.Timeout > 0 {
		return m.Route.doc.Timeout.Std()
	}
	return m.Class.Timeout()
}

// Attempts returns how many upstreams a request on the route may be sent to, or 0 for the default.
func (m Match) Attempts() int {
	if m.Route == nil {
		return 0
	}
	return m.Route.doc.Attempts
}

// Key returns the name of the route, which stays the same over versions.
func (r *Route) Key() string { return r.doc.key() }

// IsSplit reports whether the route has several parts.
func (r *Route) IsSplit() bool { return len(r.parts) > 1 }

// Target returns the part at the point, from 0 to 1, of the weights laid end to end.
func (r *Route) Target(point float64) Match {
	at := point * r.total
	for _, p := range r.parts {
		if at -= p.weight; at < 0 {
			return p.Match
		}
	}
	return r.parts[len(r.parts)-1].Match
}

func (b *Bundle) compileRoutes(d *Document) {
	for _, doc := range d.Routes {
		r := b.compileRoute(doc)
		p := strings.TrimSuffix(doc.Prefix, "/")
		for _, h := range b.routeHosts(doc) {
			t := b.hosts[h]
			if t == nil {
				t = &routes{prefix: make(map[string][]*Route)}
				b.hosts[h] = t
			}
			t.prefix[p] = append(t.prefix[p], r)
		}
	}
}

func (b *Bundle) routeHosts(doc RouteSpec) []string {
	if doc.Host != "" {
		return []string{doc.Host}
	}
	return b.services[doc.Service].doc.Hosts
}

func (b *Bundle) compileRoute(doc RouteSpec) *Route {
	r := &Route{doc: doc}
	add := func(service, class string, weight float64) {
		s := b.services[service]
		r.parts = append(r.parts, part{Match{Service: s, Class: s.classes[class], Route: r}, weight})
		r.total += weight
	}
	for _, p := range doc.Split {
		if p.Weight > 0 {
			add(p.Service, p.Class, p.Weight)
		}
	}
	if len(r.parts) == 0 {
		add(doc.Service, doc.Class, 1)
	}
	return r
}

// Route returns the match of the longest path prefix at a segment boundary, and false where no route matches.
func (b *Bundle) Route(host, method, path string) (Match, bool) {
	if i := strings.LastIndexByte(host, ':'); i > 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	t := b.hosts[host]
	if t == nil {
		return Match{}, false
	}
	bare := !strings.HasSuffix(path, "/")
	for p := strings.TrimSuffix(path, "/"); ; bare = false {
		if r := choose(t.prefix[p], method, bare); r != nil {
			return r.Target(0), true
		}
		i := strings.LastIndexByte(p, '/')
		if i < 0 {
			return Match{}, false
		}
		p = p[:i]
	}
}

// choose prefers the route that names the method to one that takes any; bare says that the path has no slash after the prefix.
func choose(list []*Route, method string, bare bool) *Route {
	var other *Route
	for _, r := range list {
		if bare && len(r.doc.Prefix) > 1 && strings.HasSuffix(r.doc.Prefix, "/") {
			continue
		}
		if r.doc.Method == method {
			return r
		}
		if r.doc.Method == "" {
			other = r
		}
	}
	return other
}
