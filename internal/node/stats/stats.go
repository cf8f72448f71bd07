// Package stats counts what a node on the users' platform does, for Prometheus.
package stats

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// Stats is safe for concurrent use.
type Stats struct {
	registry *prometheus.Registry
	answers  *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	dropped  prometheus.Counter
}

// New returns counters with their own registry.
func New() *Stats {
	s := &Stats{
		registry: prometheus.NewRegistry(),
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
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
	}
	s.registry.MustRegister(s.answers, s.latency, s.dropped)
	return s
}

// Registry returns the registry for exposition.
func (s *Stats) Registry() *prometheus.Registry {
	return s.registry
}

// Answered counts an answer to a caller.
func (s *Stats) Answered(route string, status int, reason string, took time.Duration) {
	s.answers.WithLabelValues(route, strconv.Itoa(status), reason).Inc()
	s.latency.WithLabelValues(route).Observe(took.Seconds())
}

// Dropped counts log lines that were left out.
func (s *Stats) Dropped(n int) {
	s.dropped.Add(float64(n))
}

// maxLines is how many lines about single requests are written a second: some
// three times what a node of the present deployments handles.
const maxLines = 400

// sampler lets maxLines lines a second through and counts the others.
type sampler struct {
	zerolog.BurstSampler
	dropped prometheus.Counter
}

// Sample reports whether a line is written.
func (s *sampler) Sample(level zerolog.Level) bool {
	if s.BurstSampler.Sample(level) {
		return true
	}
	s.dropped.Inc()
	return false
}

// Sampler bounds the lines about single requests and counts those left out.
func (s *Stats) Sampler() zerolog.Sampler {
	return &sampler{
		BurstSampler: zerolog.BurstSampler{
			Burst:  maxLines,
			Period: time.Second,
		},
		dropped: s.dropped,
	}
}

// Gauge registers a value that is read when asked for.
func (s *Stats) Gauge(name, help string, read func() float64) {
	s.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: name,
		Help: help,
	}, read))
}
