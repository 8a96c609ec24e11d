package node

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// latencyBuckets are the bounds of the request histogram in seconds.
var latencyBuckets = []float64{.001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5}

type metrics struct {
	registry  *prometheus.Registry
	requests  *prometheus.CounterVec
	latency   *prometheus.HistogramVec
	standing  *prometheus.CounterVec
	members   prometheus.Gauge
	ejected   prometheus.Gauge
	version   prometheus.Gauge
	shards    prometheus.Gauge
	store     prometheus.Gauge
	linkBytes prometheus.Counter
}

func newMetrics() *metrics {
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "jasmine", Name: name, Help: help})
	}
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "jasmine", Name: "requests_total", Help: "Requests of callers by outcome and code.",
		}, []string{"service", "class", "outcome", "code"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "jasmine", Name: "request_seconds", Help: "Time to answer a caller.", Buckets: latencyBuckets,
		}, []string{"service", "class"}),
		standing: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "jasmine", Name: "standing_changes_total", Help: "Changes of the standing of upstreams.",
		}, []string{"service", "to"}),
		members:   gauge("members", "Live nodes known to this node."),
		ejected:   gauge("ejected_upstreams", "Upstreams out of service at this node."),
		version:   gauge("bundle_version", "Newest accepted version of the bundle."),
		shards:    gauge("owned_shards", "Shards of idempotency keys owned by this node."),
		store:     gauge("log_up", "1 while the platform's log answers."),
		linkBytes: prometheus.NewCounter(prometheus.CounterOpts{Namespace: "jasmine", Name: "link_bytes_total", Help: "Bytes of requests and answers to other regions."}),
	}
	m.registry.MustRegister(m.requests, m.latency, m.standing, m.members, m.ejected, m.version, m.shards, m.store, m.linkBytes,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.store.Set(1)
	return m
}
