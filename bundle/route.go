package bundle

import (
	"strings"
	"time"
)

// hostRoutes holds the routes of one host by path prefix.
type hostRoutes struct {
	byPrefix map[string][]*Route
}

// Route maps the requests under a path prefix to a request class, or splits them among several services.
type Route struct {
	spec        RouteSpec
	targets     []splitTarget
	totalWeight float64
}

type splitTarget struct {
	Match
	weight float64
}

// Match is the service and class that a request belongs to, and the route that matched.
type Match struct {
	Service *Service
	Class   *Class
	Route   *Route
}

// Timeout returns the maximum time that a request on the route may take.
func (m Match) Timeout() time.Duration {
	if m.Route != nil && m.Route.spec.Timeout > 0 {
		return m.Route.spec.Timeout.Std()
	}
	return m.Class.Timeout()
}

// MaxAttempts returns the maximum number of attempts for a request on the route, each at another upstream, or 0 for the default.
func (m Match) MaxAttempts() int {
	if m.Route == nil {
		return 0
	}
	return m.Route.spec.MaxAttempts
}

// Key returns the key of the route, which stays the same across versions of the bundle.
func (r *Route) Key() string { return r.spec.key() }

// IsSplit reports whether the route has several targets.
func (r *Route) IsSplit() bool { return len(r.targets) > 1 }

// Target returns the target at the given point, from 0 to 1, of the cumulative weights.
func (r *Route) Target(point float64) Match {
	remaining := point * r.totalWeight
	for _, p := range r.targets {
		if remaining -= p.weight; remaining < 0 {
			return p.Match
		}
	}
	return r.targets[len(r.targets)-1].Match
}

func (b *Bundle) compileRoutes(d *Document) {
	for _, spec := range d.Routes {
		r := b.compileRoute(spec)
		p := strings.TrimSuffix(spec.Prefix, "/")
		for _, h := range b.routeHosts(spec) {
			table := b.hosts[h]
			if table == nil {
				table = &hostRoutes{byPrefix: make(map[string][]*Route)}
				b.hosts[h] = table
			}
			table.byPrefix[p] = append(table.byPrefix[p], r)
		}
	}
}

func (b *Bundle) routeHosts(spec RouteSpec) []string {
	if spec.Host != "" {
		return []string{spec.Host}
	}
	return b.services[spec.Service].spec.Hosts
}

func (b *Bundle) compileRoute(spec RouteSpec) *Route {
	r := &Route{spec: spec}
	add := func(service, class string, weight float64) {
		s := b.services[service]
		r.targets = append(r.targets, splitTarget{Match{Service: s, Class: s.classes[class], Route: r}, weight})
		r.totalWeight += weight
	}
	for _, p := range spec.Split {
		if p.Weight > 0 {
			add(p.Service, p.Class, p.Weight)
		}
	}
	if len(r.targets) == 0 {
		add(spec.Service, spec.Class, 1)
	}
	return r
}

// Route returns the match with the longest path prefix that ends at a segment boundary, and false if no route matches.
func (b *Bundle) Route(host, method, path string) (Match, bool) {
	if i := strings.LastIndexByte(host, ':'); i > 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	table := b.hosts[host]
	if table == nil {
		return Match{}, false
	}
	noTrailingSlash := !strings.HasSuffix(path, "/")
	for p := strings.TrimSuffix(path, "/"); ; noTrailingSlash = false {
		if r := selectRoute(table.byPrefix[p], method, noTrailingSlash); r != nil {
			return r.Target(0), true
		}
		i := strings.LastIndexByte(p, '/')
		if i < 0 {
			return Match{}, false
		}
		p = p[:i]
	}
}

// selectRoute prefers a route for the method to one for any method. If noTrailingSlash is set, the path ends with the prefix
// without a slash, and routes whose prefix ends with a slash do not match.
func selectRoute(list []*Route, method string, noTrailingSlash bool) *Route {
	var fallback *Route
	for _, r := range list {
		if noTrailingSlash && len(r.spec.Prefix) > 1 && strings.HasSuffix(r.spec.Prefix, "/") {
			continue
		}
		if r.spec.Method == method {
			return r
		}
		if r.spec.Method == "" {
			fallback = r
		}
	}
	return fallback
}
