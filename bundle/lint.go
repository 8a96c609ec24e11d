package bundle

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/jasminevane/jasminevane/setting"
)

// DecodeDocument decodes a TOML bundle without checking its values. The error is a *setting.Error that lists all problems.
func DecodeDocument(file string, data []byte) (*Document, error) {
	type unchecked Document // has no method Check
	var d unchecked
	if err := setting.Decode(file, data, &d); err != nil {
		return nil, err
	}
	return (*Document)(&d), nil
}

// Lint returns the errors of a document, entries in it that can never match and limits that contradict each other. Slots holds the slots of
// services over the whole fleet, where they are known.
func Lint(d *Document, slots map[string]int) []Finding {
	var f findings
	for _, p := range d.Check() {
		f = append(f, ProblemFinding(p))
	}
	if len(f) == 0 {
		f.hiddenRoutes(d)
	}
	f.hosts(d)
	f.unused(d)
	f.callers(d)
	f.times(d)
	f.room(d, slots)
	return f
}

// probeMethod is the method of a request that only routes for any method match.
const probeMethod = "\x00"

// hiddenRoutes reports the routes that no request reaches, since other routes with the same normalized prefix take them.
func (f *findings) hiddenRoutes(d *Document) {
	b, err := compileDocument(d)
	if err != nil {
		return // the document has been checked
	}
	for i, r := range d.Routes {
		place := fmt.Sprintf("route[%d].prefix", i)
		for _, host := range b.routeHosts(r) {
			if unmatchableHost(host) {
				continue
			}
			by, reached := b.hiddenBy(r, host)
			switch {
			case by != "" && reached:
				f.add(Warning, CodePartlyHiddenRoute, place, "at host %q only %q itself matches: %q takes what is below it", host, r.Prefix, by)
			case by != "":
				f.add(Warning, CodeHiddenRoute, place, "%q never matches at host %q: %q takes its requests", r.Prefix, host, by)
			}
		}
	}
}

// hiddenBy returns the key of a route that takes requests of the given one, or "", and whether any request reaches the given one. A request for the
// prefix alone, if the route matches that, and one for the prefix with a slash stand for all others.
func (b *Bundle) hiddenBy(r RouteSpec, host string) (by string, reached bool) {
	method := r.Method
	if method == "" {
		method = probeMethod
	}
	path := strings.TrimSuffix(r.Prefix, "/")
	probes := []string{path + "/"}
	if path == r.Prefix {
		probes = append(probes, path)
	}
	for _, p := range probes {
		m, ok := b.Route(host, method, Path(p))
		switch {
		case ok && m.Route.Key() == r.key():
			reached = true
		case ok:
			by = m.Route.Key()
		}
	}
	return by, reached
}

// unmatchableHost reports whether no request has the host: the port of a request is removed before its host is looked up.
func unmatchableHost(host string) bool {
	return host == "" || strings.LastIndexByte(host, ':') > 0 && !strings.HasSuffix(host, "]")
}

// hosts reports hosts that no request has, and those of a service that a route of another one names as well.
func (f *findings) hosts(d *Document) {
	owners := make(map[string]string) // service by host in lower case
	for i, s := range d.Services {
		place := fmt.Sprintf("service[%d].hosts", i)
		for _, h := range s.Hosts {
			f.host(place, h)
			name := strings.ToLower(h)
			if owner, taken := owners[name]; taken && owner != s.Name && !slices.Contains(hostsOf(d, owner), h) {
				f.add(Warning, CodeSharedHost, place, "host %q differs only in case from one of service %q", h, owner)
			}
			owners[name] = s.Name
		}
	}
	for i, r := range d.Routes {
		if r.Host == "" {
			continue
		}
		place := fmt.Sprintf("route[%d].host", i)
		f.host(place, r.Host)
		if owner, taken := owners[strings.ToLower(r.Host)]; taken && owner != r.Service {
			f.add(Warning, CodeSharedHost, place, "host %q of service %q leads to service %q as well", r.Host, owner, r.Service)
		}
	}
}

func (f *findings) host(place, host string) {
	if unmatchableHost(host) {
		f.add(Warning, CodeUnmatchableHost, place, "host %q never matches: it is empty or has a port", host)
	}
}

// hostsOf returns the hosts of the named service.
func hostsOf(d *Document, service string) []string {
	for _, s := range d.Services {
		if s.Name == service {
			return s.Hosts
		}
	}
	return nil
}

// targets returns the targets to which the route sends requests.
func (r *RouteSpec) targets() []SplitTargetSpec {
	var list []SplitTargetSpec
	for _, t := range r.Split {
		if t.Weight > 0 {
			list = append(list, t)
		}
	}
	if len(list) == 0 {
		list = append(list, SplitTargetSpec{Service: r.Service, Class: r.Class, Weight: 1})
	}
	return list
}

// unused reports services and classes to which no route leads.
func (f *findings) unused(d *Document) {
	services, classes := make(map[string]bool), make(map[string]bool)
	for _, r := range d.Routes {
		for _, t := range r.targets() {
			services[t.Service] = true
			classes[t.Service+"/"+t.Class] = true
		}
	}
	for i, s := range d.Services {
		if !services[s.Name] {
			f.add(Warning, CodeUnusedService, fmt.Sprintf("service[%d]", i), "no route leads to service %q", s.Name)
		}
	}
	for i, c := range d.Classes {
		if services[c.Service] && !classes[c.Service+"/"+c.Name] {
			f.add(Warning, CodeUnusedClass, fmt.Sprintf("class[%d]", i), "no route leads to class %q of service %q", c.Name, c.Service)
		}
	}
}

// callers reports callers that no request identifies, and bursts that don't fit the rate.
func (f *findings) callers(d *Document) {
	anyKey := slices.ContainsFunc(d.Callers, func(c CallerSpec) bool { return len(c.Keys) > 0 })
	for i, c := range d.Callers {
		place := fmt.Sprintf("caller[%d]", i)
		if anyKey && len(c.Keys) == 0 {
			f.add(Warning, CodeCallerWithoutKey, place, "caller %q has no key, while others have: no request identifies it", c.Name)
		}
		if c.Rate <= 0 {
			continue
		}
		place += ".burst"
		switch {
		case c.Burst < 1:
			f.add(Warning, CodeBurstBelowOne, place, "burst %g of caller %q is below one request; 1 is used", c.Burst, c.Name)
		case c.Burst < c.Rate:
			f.add(Warning, CodeBurstBelowRate, place, "burst %g of caller %q is below what it may send in one second, %g", c.Burst, c.Name, c.Rate)
		}
	}
}

// times reports objectives that no response can miss in time, and timeouts beyond the time for which idempotency keys are kept. A timeout of
// a route above that of its class is no finding: it replaces it.
func (f *findings) times(d *Document) {
	retention := d.Policy.KeyRetention.Std()
	objectives := make(map[string]time.Duration)
	for i, c := range d.Classes {
		objectives[c.Service+"/"+c.Name] = c.Objective.Std()
		place := fmt.Sprintf("class[%d]", i)
		if c.Timeout > 0 && c.Objective > c.Timeout {
			f.add(Warning, CodeObjectiveOverTimeout, place+".objective", "objective %v is above the timeout %v", c.Objective.Std(), c.Timeout.Std())
		}
		f.retention(place+".timeout", c.Timeout.Std(), retention)
	}
	for i, r := range d.Routes {
		place := fmt.Sprintf("route[%d].timeout", i)
		f.retention(place, r.Timeout.Std(), retention)
		for _, t := range r.targets() {
			if o := objectives[t.Service+"/"+t.Class]; r.Timeout > 0 && o > r.Timeout.Std() {
				f.add(Warning, CodeObjectiveOverTimeout, place, "timeout %v is below the objective %v of class %q", r.Timeout.Std(), o, t.Class)
			}
		}
	}
}

func (f *findings) retention(place string, timeout, retention time.Duration) {
	if timeout > 0 && timeout >= retention {
		f.add(Warning, CodeRetentionTooShort, place, "timeout %v is not below policy.key_retention %v", timeout, retention)
	}
}

// room reports limits of callers that are above what the given slots serve if each request takes the shortest objective of its service.
// Callers belong to no service, so that the rooms of all given services count together.
func (f *findings) room(d *Document, slots map[string]int) {
	room := 0.0
	for _, service := range slices.Sorted(maps.Keys(slots)) {
		objective, ok := shortestObjective(d, service)
		if !ok {
			f.add(Error, CodeUnknownSlots, "service", "slots are given for service %q, which has no class with an objective", service)
			return
		}
		room += float64(slots[service]) / objective.Seconds()
	}
	if len(slots) == 0 {
		return
	}
	sum := 0.0
	for i, c := range d.Callers {
		sum += c.Rate
		if c.Rate > room {
			f.add(Warning, CodeLimitOverRoom, fmt.Sprintf("caller[%d].rate", i), "limit %g of caller %q is above the room of %.4g requests/s", c.Rate, c.Name, room)
		}
	}
	if sum > room {
		f.add(Warning, CodeLimitOverRoom, "caller", "limits of all callers add up to %g, above the room of %.4g requests/s", sum, room)
	}
}

// shortestObjective returns the shortest objective of the classes of a service.
func shortestObjective(d *Document, service string) (shortest time.Duration, ok bool) {
	for _, c := range d.Classes {
		if o := c.Objective.Std(); c.Service == service && o > 0 && (!ok || o < shortest) {
			shortest, ok = o, true
		}
	}
	return shortest, ok
}
