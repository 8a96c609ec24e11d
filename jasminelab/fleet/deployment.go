package fleet

import (
	"fmt"
	"strings"
	"time"

	"github.com/jasminevane/jasminevane/jasminelab/link"
)

// Service describes a service and its upstream servers.
type Service struct {
	Name              string
	Host              string
	ServerCount       int           // number of upstream servers
	Floor             float64       // minimum share of the upstreams that must not be ejected
	MedianServiceTime time.Duration // median of the log-normally distributed service times
	Sigma             float64       // standard deviation of the logarithm of the service time
	Classes           []Class
}

// Class is a request class of a service, selected by method and path prefix.
type Class struct {
	Name            string
	Method          string
	Prefix          string
	Priority        int     // 0 is the most urgent
	GuaranteedShare float64 // share of the service's capacity that is guaranteed to the class
	Idempotent      bool
	Timeout         time.Duration // request timeout
	Spill           bool          // requests may go to another region when their own lacks capacity
	RequestShare    float64       // share of the service's requests that belong to the class
}

// DataCentre is a data centre.
type DataCentre struct{ Name, Region string }

// Deployment describes the data centres, services and network of a fleet.
type Deployment struct {
	Name            string
	DataCentres     []DataCentre
	Services        []Service
	Slots           int // maximum number of requests that a server runs at once
	MaxConns        int // maximum number of connections to a server
	Link            link.Config
	ExtraBundleTOML string // TOML appended to the bundle
	ResponseSize    int    // size of a response body in bytes
}

const regionBandwidth = 30_000_000 / 8 // bytes per second between two regions

// Carritos returns the deployment named carritos: a booking and a tracking service in two regions. The number of servers is
// divided by scale, but is at least 4 per service.
func Carritos(scale int) Deployment {
	return Deployment{
		Name:        "carritos",
		DataCentres: []DataCentre{{"pampa-a", "pampa"}, {"pampa-b", "pampa"}, {"cuyo-a", "cuyo"}, {"cuyo-b", "cuyo"}},
		Slots:       5, MaxConns: 400, ResponseSize: 1024,
		Link: link.Config{DataCentreDelay: 1500 * time.Microsecond, RegionDelay: 8 * time.Millisecond, RegionBandwidth: regionBandwidth},
		Services: []Service{
			{
				Name: "reservas", Host: "reservas.test", ServerCount: max(4, 14/scale), Floor: 0.6, MedianServiceTime: 40 * time.Millisecond, Sigma: 0.3,
				Classes: []Class{
					{"confirm", "POST", "/confirm", 0, 0.3, false, 2 * time.Second, true, 0.3},
					{"check", "GET", "/check", 2, 0.3, true, time.Second, true, 0.5},
					{"report", "GET", "/report", 6, 0.1, true, 2 * time.Second, false, 0.2},
				},
			},
			{
				Name: "flota", Host: "flota.test", ServerCount: max(4, 11/scale), Floor: 0.6, MedianServiceTime: 30 * time.Millisecond, Sigma: 0.3,
				Classes: []Class{
					{"locate", "GET", "/locate", 2, 0.4, true, time.Second, true, 0.7},
					{"sweep", "GET", "/sweep", 8, 0.1, true, 2 * time.Second, false, 0.3},
				},
			},
		},
	}
}

// Foldlab returns the deployment named foldlab: an ordering and a diagram service in two regions. The number of servers is
// divided by scale, but is at least 4 per service.
func Foldlab(scale int) Deployment {
	return Deployment{
		Name:        "foldlab",
		DataCentres: []DataCentre{{"vejle-a", "vestdanmark"}, {"herning-b", "vestdanmark"}, {"holbaek-a", "oestdanmark"}, {"naestved-b", "oestdanmark"}},
		Slots:       3, MaxConns: 330, ResponseSize: 1024,
		Link: link.Config{DataCentreDelay: time.Millisecond, RegionDelay: 8 * time.Millisecond, RegionBandwidth: regionBandwidth},
		Services: []Service{
			{
				Name: "commissions", Host: "commissions.test", ServerCount: max(4, 11/scale), Floor: 0.6, MedianServiceTime: 40 * time.Millisecond, Sigma: 0.3,
				Classes: []Class{
					{"order", "POST", "/order", 0, 0.4, false, 2 * time.Second, true, 0.5},
					{"status", "GET", "/status", 3, 0.2, true, time.Second, true, 0.5},
				},
			},
			{
				Name: "diagrams", Host: "diagrams.test", ServerCount: max(4, 8/scale), Floor: 0.75, MedianServiceTime: 30 * time.Millisecond, Sigma: 0.3,
				Classes: []Class{
					{"lookup", "GET", "/lookup", 1, 0.5, true, time.Second, true, 0.8},
					{"crawl", "GET", "/crawl", 8, 0.1, true, 2 * time.Second, false, 0.2},
				},
			},
		},
	}
}

// Bundle returns the deployment's bundle in TOML.
func (s Deployment) Bundle() string {
	var b strings.Builder
	b.WriteString("[policy]\nsignoffs = 2\nkey_retention = \"10m\"\nretries = 0.1\nlink_bytes = \"0B\"\n")
	for _, v := range s.Services {
		fmt.Fprintf(&b, "\n[[service]]\nname = %q\nhosts = [%q]\nfloor = %g\n", v.Name, v.Host, v.Floor)
		for _, c := range v.Classes {
			fmt.Fprintf(&b, "\n[[class]]\nservice = %q\nname = %q\npriority = %d\nshare = %g\nidempotent = %v\ntimeout = %q\nspill = %v\n",
				v.Name, c.Name, c.Priority, c.GuaranteedShare, c.Idempotent, c.Timeout, c.Spill)
			fmt.Fprintf(&b, "\n[[route]]\nservice = %q\nprefix = %q\nmethod = %q\nclass = %q\n", v.Name, c.Prefix, c.Method, c.Name)
		}
	}
	b.WriteString(s.ExtraBundleTOML)
	return b.String()
}

// Capacity returns the number of requests per second that all servers of the service can run together.
func (s Deployment) Capacity(v Service) float64 {
	return float64(v.ServerCount*s.Slots) / v.MedianServiceTime.Seconds()
}

// Servers returns the number of servers of all services.
func (s Deployment) Servers() int {
	n := 0
	for _, v := range s.Services {
		n += v.ServerCount
	}
	return n
}
