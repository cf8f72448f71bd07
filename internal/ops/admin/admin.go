// Package admin serves the read-only HTTP interface for operators: a node's status,
// the nodes that it knows, its event timeline and its metrics.
package admin

import (
	"encoding/json"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"fuchsiapier/internal/admit/crash"
	"fuchsiapier/internal/admit/level"
	"fuchsiapier/internal/base/event"
	"fuchsiapier/internal/edge/runner"
	"fuchsiapier/internal/mesh/roster"
	"fuchsiapier/internal/quota/tokens"
)

// Paths on the operators' address.
const (
	// PathStatus serves a Status.
	PathStatus = "/status"
	// PathNodes serves the roster entries of all nodes that this one knows.
	PathNodes = "/nodes"
	// PathTimeline serves the node's recent events.
	PathTimeline = "/timeline"
	// PathMetrics serves the metrics in the Prometheus text format.
	PathMetrics = "/metrics"
)

// Status is the state that a node reports of itself, as JSON.
type Status struct {
	Node roster.Entry `json:"node"`
	// Version is the version of the configuration in force, Preset the name of its
	// preset.
	Version uint64 `json:"version"`
	Preset  string `json:"preset"`
	// ContactMillis is the time in milliseconds since the node last knew the end of
	// the platform's log.
	ContactMillis int64 `json:"contact-millis"`
	// PlatformFailure is why the platform's log can't be read, "" if it can.
	PlatformFailure string `json:"platform-failure,omitempty"`
	// Target is the state of the target on the node's VM.
	Target runner.Status `json:"target"`
	// Targets is how many targets the node can choose from.
	Targets int             `json:"targets-known"`
	Budgets []tokens.Status `json:"budgets"`
	// Levels holds the admission levels that the node knows.
	Levels level.Levels `json:"levels"`
	// Quarantine lists the fingerprints of requests that are suspected of crashing
	// targets or quarantined for it.
	Quarantine []crash.Entry `json:"quarantine"`
	// Claims is how many claims of non-idempotent requests this replica has recorded.
	Claims int `json:"claims"`
	// RegionBytes is the number of bytes sent to the nodes of each region.
	RegionBytes map[string]float64 `json:"region-bytes"`
	// Retries counts the retries that the node has charged to retry allowances.
	Retries uint64 `json:"retries"`
}

// Source provides the state of the node.
type Source interface {
	// Status returns the node's current state.
	Status() Status
	// Nodes returns the entries of all nodes that this one knows.
	Nodes() []roster.Entry
	// Events returns the node's recent events.
	Events() []event.Event
}

// Handler returns the handler of the operators' address; registry holds the metrics.
func Handler(s Source, registry *prometheus.Registry) fasthttp.RequestHandler {
	metrics := fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	return func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case PathStatus:
			writeJSON(ctx, s.Status())
		case PathNodes:
			writeJSON(ctx, s.Nodes())
		case PathTimeline:
			writeJSON(ctx, s.Events())
		case PathMetrics:
			metrics(ctx)
		default:
			ctx.Error("unknown path; use "+PathStatus+", "+PathNodes+", "+PathTimeline+" or "+PathMetrics, fasthttp.StatusNotFound)
		}
	}
}

// writeJSON writes v as the response, or status 500 if it can't be encoded.
func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
