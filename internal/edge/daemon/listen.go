package daemon

import (
	"context"
	"fmt"
	"net"
	"runtime/debug"
	"time"

	"github.com/valyala/fasthttp"

	"fuchsiapier/internal/edge/runner"
	"fuchsiapier/internal/edge/wire"
	"fuchsiapier/internal/ops/admin"
)

const (
	// maxRequestBody bounds the body of a request, in bytes.
	maxRequestBody = 1 << 20
	// readTimeout bounds the time to read a whole request.
	readTimeout = 10 * time.Second
	// idleTimeout is how long a connection may be idle before it is closed.
	idleTimeout = 2 * time.Minute
	// shutdownTimeout bounds the wait for open connections to close at shutdown.
	shutdownTimeout = 1 * time.Second
	// readBuffer bounds the header of a request, in bytes.
	readBuffer = 16 << 10
)

// listen opens the listeners for callers, the target and operators, and lets the
// handlers of the peer protocol proceed.
func (d *Daemon) listen() error {
	close(d.started)
	servers := []struct {
		name    string
		address string
		handler fasthttp.RequestHandler
	}{
		{name: "callers", address: d.settings.Listen.Callers, handler: d.front.Handle},
		{name: "targets", address: d.settings.Listen.Targets, handler: d.runner.Handle},
		{name: "operators", address: d.settings.Listen.Operators, handler: admin.Handler(d, d.meter.Registry())},
	}
	for _, s := range servers {
		if err := d.serve(s.name, s.address, s.handler); err != nil {
			return err
		}
	}
	return nil
}

// serve starts an HTTP server on an address; name is its key in the listen settings.
func (d *Daemon) serve(name, address string, handler fasthttp.RequestHandler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen.%s: %w", name, err)
	}
	server := &fasthttp.Server{
		Handler:               d.recoverPanics(name, d.withinBudget(handler)),
		Name:                  "fuchsiapier",
		MaxRequestBodySize:    maxRequestBody,
		StreamRequestBody:     true,
		ReadBufferSize:        readBuffer,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                discardLogger{},
	}
	d.tree.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = server.ShutdownWithContext(ctx)
	})
	d.tree.Run("listen-"+name, func(context.Context) error {
		return server.Serve(listener)
	})
	return nil
}

// recoverPanics wraps a handler so that a panic fails only the request and does not
// end the node. The request may have run, so its outcome is unknown.
func (d *Daemon) recoverPanics(name string, handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		defer func() {
			if p := recover(); p != nil {
				d.log.Error().Str("listener", name).Interface("panic", p).Bytes("stack", debug.Stack()).Msg("request handler panicked")
				runner.WriteReply(ctx, wire.UnknownOutcome(wire.ReasonInternal))
			}
		}()
		handler(ctx)
	}
}

// discardLogger drops the HTTP server's own log, which has a line for every
// malformed request.
type discardLogger struct{}

// Printf implements fasthttp.Logger and does nothing.
func (discardLogger) Printf(string, ...any) {}

// registerMetrics registers the metrics whose values are computed on each scrape.
func (d *Daemon) registerMetrics() {
	d.meter.Gauge("fuchsiapier_configuration_version", "Version of the configuration in force.", func() float64 {
		return float64(d.feed.State().Version)
	})
	d.meter.Gauge("fuchsiapier_platform_contact_age_seconds", "Time since the node knew the end of the platform's log.", func() float64 {
		return d.feed.ContactAge().Seconds()
	})
	d.meter.Gauge("fuchsiapier_claims", "Claims of non-idempotent requests recorded by this replica.", func() float64 {
		return float64(d.once.Len())
	})
	d.meter.Gauge("fuchsiapier_admission_level", "Lowest priority admitted to the target.", func() float64 {
		return float64(d.runner.Status().Level)
	})
	d.meter.Gauge("fuchsiapier_requests_running", "Requests running on the target.", func() float64 {
		return float64(d.runner.Status().Running)
	})
	d.meter.Counter("fuchsiapier_retries_total", "Extra tries of calls.", func() float64 {
		return float64(d.sender.Retries.Load())
	})
}
