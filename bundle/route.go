package bundle

import "strings"

// routes holds the routes of one host by method and path prefix.
type routes struct {
	service *Service
	prefix  map[string][]target
}

type target struct {
	method string
	class  *Class
}

// Match is the service and class that a request belongs to.
type Match struct {
	Service *Service
	Class   *Class
}

func (b *Bundle) compileRoutes(d *Document) {
	tables := make(map[string]*routes, len(b.services))
	for _, s := range b.services {
		t := &routes{service: s, prefix: make(map[string][]target)}
		tables[s.Name()] = t
		for _, h := range s.doc.Hosts {
			b.hosts[h] = t
		}
	}
	for _, r := range d.Routes {
		t := tables[r.Service]
		p := strings.TrimSuffix(r.Prefix, "/")
		t.prefix[p] = append(t.prefix[p], target{method: r.Method, class: t.service.classes[r.Class]})
	}
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
	for p := strings.TrimSuffix(path, "/"); ; {
		if c := choose(t.prefix[p], method); c != nil {
			return Match{Service: t.service, Class: c}, true
		}
		i := strings.LastIndexByte(p, '/')
		if i < 0 {
			return Match{}, false
		}
		p = p[:i]
	}
}

// choose prefers the target that names the method to one that takes any.
func choose(list []target, method string) *Class {
	var other *Class
	for _, t := range list {
		if t.method == method {
			return t.class
		}
		if t.method == "" {
			other = t.class
		}
	}
	return other
}
