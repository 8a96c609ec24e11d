package node

import (
	"strconv"
	"time"

	"github.com/jasminevane/jasminevane/outcome"
	"github.com/jasminevane/jasminevane/routing"
	"github.com/jasminevane/jasminevane/upstream"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// latencyBuckets are the upper bounds of the latency histogram buckets, in seconds.
var latencyBuckets = []float64{.001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5}

type metrics struct {
	registry         *prometheus.Registry
	requests         *prometheus.CounterVec
	requestLatency   *prometheus.HistogramVec
	attempts         *prometheus.CounterVec
	attemptLatency   *prometheus.HistogramVec
	refusals         *prometheus.CounterVec
	unrouted         *prometheus.CounterVec
	healthChanges    *prometheus.CounterVec
	liveMembers      prometheus.Gauge
	ejectedUpstreams prometheus.Gauge
	bundleVersion    prometheus.Gauge
	ownedShards      prometheus.Gauge
	logServiceUp     prometheus.Gauge
	versionReads     *prometheus.CounterVec
	configProblems   *prometheus.CounterVec
	eraChanges       prometheus.Counter
	stalledSeconds   prometheus.Counter
	linkBytes        prometheus.Counter
	limitDecisions   *prometheus.CounterVec
	endedStreams     prometheus.Counter
	pipelined        prometheus.Counter
}

// newMetrics returns the metrics of a node. The request and attempt metrics carry the node's data centre as a label.
func newMetrics(dataCentre string) *metrics {
	constLabels := prometheus.Labels{"data_centre": dataCentre}
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "jasmine", Name: name, Help: help})
	}
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "jasmine", Name: "requests_total", Help: "Requests from callers by outcome and code, at a node of the data centre.", ConstLabels: constLabels,
		}, []string{"service", "class", "outcome", "code"}),
		requestLatency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "jasmine", Name: "request_seconds", Help: "Time to respond to a caller, at a node of the data centre.", Buckets: latencyBuckets, ConstLabels: constLabels,
		}, []string{"service", "class", "outcome"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "jasmine", Name: "attempts_total", Help: "Attempts at upstreams by result; to is the data centre of the upstream.", ConstLabels: constLabels,
		}, []string{"service", "class", "to", "result"}),
		attemptLatency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "jasmine", Name: "attempt_seconds", Help: "Duration of attempts at upstreams; to is the data centre of the upstream.", Buckets: latencyBuckets, ConstLabels: constLabels,
		}, []string{"service", "to"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "jasmine", Name: "refusals_total", Help: "Attempts that a gate refused before they started, by reason, and requests that the node refused since all gates do (at=ingress).", ConstLabels: constLabels,
		}, []string{"service", "class", "at", "reason"}),
		healthChanges: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "jasmine", Name: "standing_changes_total", Help: "Ejections and restorations of upstreams.",
		}, []string{"service", "to"}),
		liveMembers:      gauge("members", "Live nodes in the membership view of this node."),
		ejectedUpstreams: gauge("ejected_upstreams", "Upstreams ejected at this node."),
		bundleVersion:    gauge("bundle_version", "Newest accepted version of the bundle."),
		ownedShards:      gauge("owned_shards", "Shards of idempotency keys owned by this node."),
		logServiceUp:     gauge("log_up", "1 while the platform's log service responds, else 0."),
		unrouted: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "jasmine", Name: "unrouted_total", Help: "Requests of callers that were refused before they had a class, by code.", ConstLabels: constLabels,
		}, []string{"code"}),
		versionReads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "jasmine", Name: "version_reads_total", Help: "Reads of the published versions by result: news, none or failed.",
		}, []string{"result"}),
		configProblems: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "jasmine", Name: "config_problems_total", Help: "Problems with published versions by what isn't in force as written: the version, an entry or a value.",
		}, []string{"what"}),
		eraChanges:     prometheus.NewCounter(prometheus.CounterOpts{Namespace: "jasmine", Name: "store_era_changes_total", Help: "Restorations of the platform's log service from a copy of which this node has learned."}),
		stalledSeconds: prometheus.NewCounter(prometheus.CounterOpts{Namespace: "jasmine", Name: "stalled_seconds_total", Help: "Time for which the process did not run."}),
		linkBytes:      prometheus.NewCounter(prometheus.CounterOpts{Namespace: "jasmine", Name: "link_bytes_total", Help: "Bytes of requests to other regions and of their responses."}),
		endedStreams:   prometheus.NewCounter(prometheus.CounterOpts{Namespace: "jasmine", Name: "ended_streams_total", Help: "Responses that were ended since their readers were too slow."}),
		pipelined:      prometheus.NewCounter(prometheus.CounterOpts{Namespace: "jasmine", Name: "pipelined_requests_total", Help: "Requests of callers that were started before their turn."}),
	}
	m.limitDecisions = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "jasmine", Name: "limit_decisions_total", Help: "Decisions on requests of callers with a limit.",
	}, []string{"decision"})
	m.registry.MustRegister(m.limitDecisions, m.requests, m.requestLatency, m.attempts, m.attemptLatency, m.refusals, m.unrouted, m.healthChanges, m.liveMembers, m.ejectedUpstreams, m.bundleVersion, m.ownedShards, m.logServiceUp, m.linkBytes, m.versionReads, m.configProblems, m.eraChanges, m.stalledSeconds, m.endedStreams, m.pipelined,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.logServiceUp.Set(1)
	return m
}

// recordAttempt records the duration and the result of an attempt; dataCentre is that of the upstream.
func (m *metrics) recordAttempt(service, class, dataCentre string, resp *upstream.Response, err error, duration time.Duration) {
	m.attempts.WithLabelValues(service, class, dataCentre, resultLabel(resp, err)).Inc()
	m.attemptLatency.WithLabelValues(service, dataCentre).Observe(duration.Seconds())
}

// recordRefusal counts an attempt if its gate refused it before it started.
func (m *metrics) recordRefusal(service, class string, err error) {
	var outcomeErr *outcome.Error
	if errors.As(err, &outcomeErr) && outcomeErr.Outcome == outcome.NotRun {
		m.refusals.WithLabelValues(service, class, "gate", string(outcomeErr.Code)).Inc()
	}
}

// recordIngressRefusal counts a request for which no upstream could be chosen.
func (m *metrics) recordIngressRefusal(service, class string, err error) {
	var routingErr *routing.Error
	if errors.As(err, &routingErr) {
		m.refusals.WithLabelValues(service, class, "ingress", string(routingErr.Reason())).Inc()
	}
}

// resultLabel returns the result of an attempt as a metric label: the status class such as 2xx, or the outcome and code of the error.
func resultLabel(resp *upstream.Response, err error) string {
	var outcomeErr *outcome.Error
	switch {
	case errors.As(err, &outcomeErr):
		return string(outcomeErr.Outcome) + "/" + string(outcomeErr.Code)
	case err != nil:
		return string(outcome.CodePathLost)
	}
	return strconv.Itoa(resp.Status/100) + "xx"
}
