// Package stats holds the Prometheus metrics of a node on the users' platform and
// limits the rate of its log lines about single requests.
package stats

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// Stats holds the metrics of a node; it is safe for concurrent use.
type Stats struct {
	registry  *prometheus.Registry
	responses *prometheus.CounterVec
	latency   *prometheus.HistogramVec
	dropped   prometheus.Counter
	// caughtUp and failedFetches are about newer configurations that other nodes have.
	caughtUp      prometheus.Histogram
	failedFetches prometheus.Counter
	departures    *prometheus.HistogramVec
	malformed     *prometheus.CounterVec
}

// New returns metrics with a new registry.
func New() *Stats {
	s := &Stats{
		registry: prometheus.NewRegistry(),
		responses: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "fuchsiapier_entry_answers_total",
			Help: "Answers to callers by route, status and reason.",
		}, []string{"route", "status", "reason"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "fuchsiapier_entry_seconds",
			Help:    "Time from a caller's request to its answer by route.",
			Buckets: prometheus.ExponentialBuckets(0.002, 2, 13),
		}, []string{"route"}),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "fuchsiapier_log_dropped_total",
			Help: "Log lines left out because there were too many.",
		}),
		caughtUp: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "fuchsiapier_rules_caught_up_seconds",
			Help:    "Time from hearing of a newer configuration until it is in force.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
		}),
		failedFetches: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "fuchsiapier_rules_fetches_failed_total",
			Help: "Failed attempts to fetch a configuration from another node.",
		}),
		departures: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "fuchsiapier_departure_seconds",
			Help:    "Time from a target's report that it is draining or gone until its departure was durable, by what it rests on.",
			Buckets: prometheus.ExponentialBuckets(0.002, 2, 10),
		}, []string{"basis"}),
		malformed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "fuchsiapier_gate_malformed_responses_total",
			Help: "Responses that were not the target's answer, by reason.",
		}, []string{"reason"}),
	}
	s.registry.MustRegister(s.responses, s.latency, s.dropped, s.caughtUp, s.failedFetches, s.departures, s.malformed)
	return s
}

// Registry returns the registry that holds the metrics.
func (s *Stats) Registry() *prometheus.Registry {
	return s.registry
}

// RecordResponse counts a response to a caller by route, HTTP status and reason, and
// records the time from the request to the response.
func (s *Stats) RecordResponse(route string, status int, reason string, elapsed time.Duration) {
	s.responses.WithLabelValues(route, strconv.Itoa(status), reason).Inc()
	s.latency.WithLabelValues(route).Observe(elapsed.Seconds())
}

// RecordCaughtUp records the time from hearing of a newer configuration until it is in force.
func (s *Stats) RecordCaughtUp(delay time.Duration) {
	s.caughtUp.Observe(delay.Seconds())
}

// CountFailedFetch counts a failed attempt to fetch a configuration from another node.
func (s *Stats) CountFailedFetch() {
	s.failedFetches.Inc()
}

// RecordDeparture records how long a report that the target is draining or gone waited until its
// departure was durable, and what that rests on.
func (s *Stats) RecordDeparture(basis string, waited time.Duration) {
	s.departures.WithLabelValues(basis).Observe(waited.Seconds())
}

// CountMalformed counts a response that was not the target's answer.
func (s *Stats) CountMalformed(reason string) {
	s.malformed.WithLabelValues(reason).Inc()
}

// CountDropped counts n log lines that were not written.
func (s *Stats) CountDropped(n int) {
	s.dropped.Add(float64(n))
}

// maxLinesPerSecond bounds the log lines about single requests: about three times
// the requests that a node of the current deployments handles in a second.
const maxLinesPerSecond = 400

// sampler lets maxLinesPerSecond lines through in a second and counts those that
// it drops.
type sampler struct {
	zerolog.BurstSampler
	dropped prometheus.Counter
}

// Sample reports whether a line is to be written, and counts it as dropped if not.
func (s *sampler) Sample(level zerolog.Level) bool {
	if s.BurstSampler.Sample(level) {
		return true
	}
	s.dropped.Inc()
	return false
}

// Sampler returns a sampler that limits the rate of log lines about single
// requests and counts the lines that it drops.
func (s *Stats) Sampler() zerolog.Sampler {
	return &sampler{
		BurstSampler: zerolog.BurstSampler{
			Burst:  maxLinesPerSecond,
			Period: time.Second,
		},
		dropped: s.dropped,
	}
}

// Counter registers a counter with labels whose value is read at each scrape. It panics if
// the name and labels are taken.
func (s *Stats) Counter(name, help string, labels map[string]string, read func() float64) {
	s.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name:        name,
		Help:        help,
		ConstLabels: labels,
	}, read))
}

// Gauge registers a gauge whose value is read at each scrape. It panics if the
// name is taken.
func (s *Stats) Gauge(name, help string, read func() float64) {
	s.LabeledGauge(name, help, nil, read)
}

// LabeledGauge registers a gauge with labels whose value is read at each scrape. It panics if the name and
// labels are taken.
func (s *Stats) LabeledGauge(name, help string, labels map[string]string, read func() float64) {
	s.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name:        name,
		Help:        help,
		ConstLabels: labels,
	}, read))
}
