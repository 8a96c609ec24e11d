package bundle

import (
	"strings"
	"time"
)

// hostRoutes holds the routes of one host.
type hostRoutes struct {
	byPrefix map[string][]*Route // keys are path prefixes without a trailing slash
}

// Route maps the requests under a path prefix to a request class, or splits them among several services.
type Route struct {
	spec        RouteSpec
	targets     []splitTarget
	totalWeight float64
}

// splitTarget is one weighted target of a route.
type splitTarget struct {
	Match
	weight float64
}

// Match is the service and class to which a request is routed, and the route that matched it.
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

// MaxAttempts returns the maximum number of upstreams to which a request on the route is sent, not counting those that refused it,
// or 0 for the default.
func (m Match) MaxAttempts() int {
	if m.Route == nil {
		return 0
	}
	return m.Route.spec.MaxAttempts
}

// Public reports whether requests on the route need no key.
func (m Match) Public() bool { return m.Route != nil && m.Route.spec.Public }

// Key returns the key of the route, which stays the same across versions of the bundle.
func (r *Route) Key() string { return r.spec.key() }

// Closed reports whether the requests on the route are refused.
func (r *Route) Closed() bool { return r.spec.Closed }

// IsSplit reports whether the route has several targets.
func (r *Route) IsSplit() bool { return len(r.targets) > 1 }

// Target returns the target at a point of the cumulative weights, given as a fraction of the total from 0 to 1.
func (r *Route) Target(point float64) Match {
	remaining := point * r.totalWeight
	for _, target := range r.targets {
		if remaining -= target.weight; remaining < 0 {
			return target.Match
		}
	}
	return r.targets[len(r.targets)-1].Match
}

// compileRoutes adds the routes of the document to the tables of their hosts.
func (b *Bundle) compileRoutes(d *Document) {
	for _, spec := range d.Routes {
		route := b.compileRoute(spec)
		prefix := strings.TrimSuffix(spec.Prefix, "/")
		for _, host := range b.routeHosts(spec) {
			routes := b.hosts[host]
			if routes == nil {
				routes = &hostRoutes{byPrefix: make(map[string][]*Route)}
				b.hosts[host] = routes
			}
			routes.byPrefix[prefix] = append(routes.byPrefix[prefix], route)
		}
	}
}

// routeHosts returns the host of the route, or the hosts of its service if the route has none.
func (b *Bundle) routeHosts(spec RouteSpec) []string {
	if spec.Host != "" {
		return []string{spec.Host}
	}
	return b.services[spec.Service].spec.Hosts
}

func (b *Bundle) compileRoute(spec RouteSpec) *Route {
	r := &Route{spec: spec}
	if spec.Closed {
		return r
	}
	addTarget := func(service, class string, weight float64) {
		s := b.services[service]
		s.classes[class].addRoute(spec.Public)
		r.targets = append(r.targets, splitTarget{Match{Service: s, Class: s.classes[class], Route: r}, weight})
		r.totalWeight += weight
	}
	for _, target := range spec.Split {
		if target.Weight > 0 {
			addTarget(target.Service, target.Class, target.Weight)
		}
	}
	if len(r.targets) == 0 {
		addTarget(spec.Service, spec.Class, 1)
	}
	return r
}

// addRoute records that a route leads to the class.
func (c *Class) addRoute(public bool) {
	if public {
		c.public = true
	} else {
		c.keyed = true
	}
}

// Route returns the match for a request: the route with the longest path prefix that ends at a segment boundary. For a split route it
// returns the first target. It returns false if no route matches, or if the one that matches is closed; the match then has that route only.
func (b *Bundle) Route(host, method string, path Path) (Match, bool) {
	if end := strings.LastIndexByte(host, ':'); end > 0 && !strings.HasSuffix(host, "]") {
		host = host[:end]
	}
	routes := b.hosts[host]
	if routes == nil {
		return Match{}, false
	}
	noTrailingSlash := !strings.HasSuffix(string(path), "/")
	for prefix := strings.TrimSuffix(string(path), "/"); ; noTrailingSlash = false {
		if route := selectRoute(routes.byPrefix[prefix], method, noTrailingSlash); route != nil {
			if route.Closed() {
				return Match{Route: route}, false
			}
			return route.Target(0), true
		}
		end := strings.LastIndexByte(prefix, '/')
		if end < 0 {
			return Match{}, false
		}
		prefix = prefix[:end]
	}
}

// selectRoute returns the route for the method, or else one for any method, or nil. If noTrailingSlash is set, the path equals the prefix
// without a trailing slash, so routes whose prefix ends with a slash do not match.
func selectRoute(routes []*Route, method string, noTrailingSlash bool) *Route {
	var anyMethod *Route
	for _, r := range routes {
		if noTrailingSlash && len(r.spec.Prefix) > 1 && strings.HasSuffix(r.spec.Prefix, "/") {
			continue
		}
		if r.spec.Method == method {
			return r
		}
		if r.spec.Method == "" {
			anyMethod = r
		}
	}
	return anyMethod
}
