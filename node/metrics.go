package node

import (
	"strconv"
	"time"

	"github.com/jasminevane/jasminevane/outcome"
	"github.com/jasminevane/jasminevane/upstream"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// latencyBuckets are the bounds of the request histogram in seconds.
var latencyBuckets = []float64{.001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5}

type metrics struct {
	registry       *prometheus.Registry
	requests       *prometheus.CounterVec
	requestLatency *prometheus.HistogramVec
	attempts       *prometheus.CounterVec
	attemptLatency *prometheus.HistogramVec
	healthChanges  *prometheus.CounterVec
	members        prometheus.Gauge
	ejected        prometheus.Gauge
	version        prometheus.Gauge
	shards         prometheus.Gauge
	logUp          prometheus.Gauge
	linkBytes      prometheus.Counter
}

// newMetrics returns the metrics of a node in the data centre.
func newMetrics(dataCentre string) *metrics {
	here := prometheus.Labels{"data_centre": dataCentre}
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "jasmine", Name: name, Help: help})
	}
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "jasmine", Name: "requests_total", Help: "Requests of callers by outcome and code, at a node of the data centre.", ConstLabels: here,
		}, []string{"service", "class", "outcome", "code"}),
		requestLatency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "jasmine", Name: "request_seconds", Help: "Time to answer a caller, at a node of the data centre.", Buckets: latencyBuckets, ConstLabels: here,
		}, []string{"service", "class", "outcome"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "jasmine", Name: "attempts_total", Help: "Attempts at upstreams of the data centre to, by result.", ConstLabels: here,
		}, []string{"service", "class", "to", "result"}),
		attemptLatency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "jasmine", Name: "attempt_seconds", Help: "Time of an attempt at an upstream of the data centre to.", Buckets: latencyBuckets, ConstLabels: here,
		}, []string{"service", "to"}),
		healthChanges: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "jasmine", Name: "standing_changes_total", Help: "Changes of the standing of upstreams.",
		}, []string{"service", "to"}),
		members:   gauge("members", "Live nodes known to this node."),
		ejected:   gauge("ejected_upstreams", "Upstreams out of service at this node."),
		version:   gauge("bundle_version", "Newest accepted version of the bundle."),
		shards:    gauge("owned_shards", "Shards of idempotency keys owned by this node."),
		logUp:     gauge("log_up", "1 while the platform's log answers."),
		linkBytes: prometheus.NewCounter(prometheus.CounterOpts{Namespace: "jasmine", Name: "link_bytes_total", Help: "Bytes of requests and answers to other regions."}),
	}
	m.registry.MustRegister(m.requests, m.requestLatency, m.attempts, m.attemptLatency, m.healthChanges, m.members, m.ejected, m.version, m.shards, m.logUp, m.linkBytes,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.logUp.Set(1)
	return m
}

// recordAttempt counts an recordAttempt that took some time and ended with an answer or an error.
func (m *metrics) recordAttempt(service, class, to string, ans *upstream.Response, err error, took time.Duration) {
	m.attempts.WithLabelValues(service, class, to, resultLabel(ans, err)).Inc()
	m.attemptLatency.WithLabelValues(service, to).Observe(took.Seconds())
}

// resultLabel condenses the result of an attempt to one of few values: the class of the status, or the outcome and code of the error.
func resultLabel(ans *upstream.Response, err error) string {
	var e *outcome.Error
	switch {
	case errors.As(err, &e):
		return string(e.Outcome) + "/" + string(e.Code)
	case err != nil:
		return string(outcome.CodePathLost)
	}
	return strconv.Itoa(ans.Status/100) + "xx"
}
