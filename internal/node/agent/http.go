package agent

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"fuchsiapier/internal/node/gate"
	"fuchsiapier/internal/ops/admin"
	"fuchsiapier/internal/pipe/accept"
)

const (
	// readTimeout bounds how long a request may take to arrive.
	readTimeout = 2 * time.Second
	// idleTimeout is longer than the period of announcements, so that the connections
	// of targets are kept alive.
	idleTimeout = 15 * time.Second
	// maxBodyBytes bounds the body of a request, such as an announcement.
	maxBodyBytes = 64 << 10
	// receiveBuffer is the size of the receive buffer of a connection, in bytes.
	receiveBuffer = 16 << 10
	// closeTimeout bounds the graceful shutdown of a server.
	closeTimeout = 200 * time.Millisecond
)

// serveHTTP listens on a TCP address and serves small requests on it until the agent
// stops. name is used in errors and for the supervised task.
func (a *Agent) serveHTTP(name, address string, handler fasthttp.RequestHandler) error {
	config := net.ListenConfig{
		Control: accept.ReceiveBuffer(receiveBuffer),
	}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return fmt.Errorf("listen for %s: %w", name, err)
	}
	listener = accept.Limit(listener, a.budgets.ofSmallRequests())
	server := &fasthttp.Server{
		Handler:               handler,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		MaxRequestBodySize:    maxBodyBytes,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		CloseOnShutdown:       true,
		Logger:                &a.log,
	}
	a.tree.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		_ = server.ShutdownWithContext(ctx)
	})
	a.tree.Run(name, func(context.Context) error { return server.Serve(listener) })
	return nil
}

// handleReady reports to the callers on the VM whether they may send requests to this
// node. A node that is isolated from all others reports that it is not ready, since it
// could serve only requests that its target completes without calls to other nodes.
func (a *Agent) handleReady(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != a.adapter.PathReady {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if a.leaving.Load() || a.watcher.Current() == nil || a.peers.Isolated() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetStatusCode(fasthttp.StatusOK)
}

// handleAnnounce handles announcements (PUT) and withdrawals (DELETE) of the target on
// the VM.
func (a *Agent) handleAnnounce(ctx *fasthttp.RequestCtx) {
	id, ok := a.adapter.TargetID(string(ctx.Path()))
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	switch string(ctx.Method()) {
	case fasthttp.MethodPut:
		a.announce(ctx, id)
	case fasthttp.MethodDelete:
		a.gate.Withdraw(id)
		a.respondToDeparture(ctx, id)
	default:
		ctx.SetStatusCode(fasthttp.StatusMethodNotAllowed)
	}
}

// announce passes a valid announcement on to the gate. One that is outdated gets the same
// response, but has no effect.
func (a *Agent) announce(ctx *fasthttp.RequestCtx, id string) {
	target, err := a.adapter.Announcement(id, ctx.PostBody())
	if err != nil {
		a.log.Warn().Err(err).Str("target", id).Msg("announcement rejected; the previous one stays in effect")
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	if reason := a.foreign(target); reason != "" {
		a.log.Warn().Str("target", id).Str("service", target.Service).Str("address", target.Address).Str("reason", reason).
			Msg("announcement rejected; the previous one stays in effect")
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		ctx.SetBodyString(reason)
		return
	}
	a.gate.Announce(target)
	switch {
	case !target.Ready && !a.gate.Departed(target):
		// The report may be a late one; the next one shows that.
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	case !target.Ready:
		a.respondToDeparture(ctx, id)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBodyString("{}")
}

// respondToDeparture confirms that a target is draining or gone, which binds, or asks it to report
// that again.
func (a *Agent) respondToDeparture(ctx *fasthttp.RequestCtx, id string) {
	if !a.confirm(id) {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBodyString("{}")
}

// foreign returns why an announcement can't come from the target on this VM, or "". A target may be
// replaced by one of another service at the same address, which the configuration then names.
func (a *Agent) foreign(t gate.Target) string {
	if address := a.deploy.TargetAddress; address != "" && t.Address != address {
		return "address is not that of the target on this VM"
	}
	if t.Service == a.live.Load().TargetService {
		return ""
	}
	if r := a.watcher.Current(); r == nil || !r.Names(t.Service) {
		return "service is neither in the settings nor in the configuration"
	}
	return ""
}

// handleMetrics returns the handler of the metrics address: Prometheus metrics, the node's
// view of the fleet at admin.PathFleet and its settings at admin.PathSettings.
func (a *Agent) handleMetrics() fasthttp.RequestHandler {
	metrics := fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(a.stats.Registry(), promhttp.HandlerOpts{}))
	return func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case admin.PathFleet:
			a.writeJSON(ctx, a.fleetOf(a.peers.View()))
		case admin.PathSettings:
			a.writeJSON(ctx, a.settings())
		default:
			metrics(ctx)
		}
	}
}
