// Package meter holds a node's metrics, for Prometheus and for the operators'
// status. No label carries an API key.
package meter

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"fuchsiapier/internal/edge/wire"
)

// Meter records metrics. It is safe for concurrent use.
type Meter struct {
	registry *prometheus.Registry
	answers  *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	sent     *prometheus.CounterVec
	mu       sync.Mutex
	// bytes holds the bytes sent to each region, for Bytes.
	bytes map[string]float64
}

// New returns a meter with a registry of its own.
func New() *Meter {
	m := &Meter{
		registry: prometheus.NewRegistry(),
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "fuchsiapier_answers_total",
			Help: "Answers to callers by route, workspace, outcome and reason.",
		}, []string{"route", "workspace", "outcome", "reason"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "fuchsiapier_answer_seconds",
			Help:    "Time from a caller's request to its answer.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 16),
		}, []string{"route"}),
		sent: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "fuchsiapier_peer_sent_bytes_total",
			Help: "Bytes sent to other nodes by region, calls and control together.",
		}, []string{"region"}),
		bytes: map[string]float64{},
	}
	m.registry.MustRegister(m.answers, m.latency, m.sent)
	return m
}

// Registry returns the registry, for further collectors and for exposition.
func (m *Meter) Registry() *prometheus.Registry {
	return m.registry
}

// Gauge registers a gauge whose value is read at each collection.
func (m *Meter) Gauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: name,
		Help: help,
	}, read))
}

// Counter registers a counter whose value is read at each collection.
func (m *Meter) Counter(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: name,
		Help: help,
	}, read))
}

// CountAnswer counts a response to a caller by outcome and reason. The latency of
// completed requests goes into the histogram of the route.
func (m *Meter) CountAnswer(route, workspace string, r wire.Reply, took time.Duration) {
	m.answers.WithLabelValues(route, workspace, string(r.Outcome), string(r.Reason)).Inc()
	if r.Outcome == wire.Done {
		m.latency.WithLabelValues(route).Observe(took.Seconds())
	}
}

// CountSent counts n bytes sent to a node in a region.
func (m *Meter) CountSent(region string, n int) {
	m.sent.WithLabelValues(region).Add(float64(n))
	m.mu.Lock()
	defer m.mu.Unlock()
	m.bytes[region] += float64(n)
}

// Bytes returns the number of bytes sent to each region.
func (m *Meter) Bytes() map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]float64, len(m.bytes))
	for region, n := range m.bytes {
		out[region] = n
	}
	return out
}
