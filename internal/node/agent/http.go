package agent

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"fuchsiapier/internal/ops/admin"
)

const (
	// announceTimeout bounds how long a target's call may take to arrive.
	announceTimeout = 2 * time.Second
	// announceIdle is longer than the period of announcements, so that their
	// connections are kept.
	announceIdle = 15 * time.Second
	// maxAnnouncement bounds an announcement, in bytes.
	maxAnnouncement = 64 << 10
	closeTime       = 200 * time.Millisecond
)

// serveHTTP serves an address with small requests that need no care.
func (a *Agent) serveHTTP(name, address string, handler fasthttp.RequestHandler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen for %s: %w", name, err)
	}
	server := &fasthttp.Server{
		Handler:               handler,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		MaxRequestBodySize:    maxAnnouncement,
		ReadTimeout:           announceTimeout,
		IdleTimeout:           announceIdle,
		CloseOnShutdown:       true,
		Logger:                &a.log,
	}
	a.tree.Own(func() {
		ctx, cancel := context.WithTimeout(context.Background(), closeTime)
		defer cancel()
		_ = server.ShutdownWithContext(ctx)
	})
	a.tree.Run(name, func(context.Context) error { return server.Serve(listener) })
	return nil
}

// handleReady says whether callers on the VM may send requests here. A node that
// is cut off sends them away: it could serve only what its own target does alone.
func (a *Agent) handleReady(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != a.dialect.PathReady {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if a.leaving.Load() || a.watcher.Current() == nil || a.peers.Isolated() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetStatusCode(fasthttp.StatusOK)
}

// handleAnnounce takes what the target on the VM says of itself.
func (a *Agent) handleAnnounce(ctx *fasthttp.RequestCtx) {
	id, ok := a.dialect.TargetID(string(ctx.Path()))
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	switch string(ctx.Method()) {
	case fasthttp.MethodPut:
		a.announce(ctx, id)
	case fasthttp.MethodDelete:
		a.log.Info().Str("target", id).Msg("target withdraws")
		a.gate.Withdraw(id)
	default:
		ctx.SetStatusCode(fasthttp.StatusMethodNotAllowed)
	}
}

func (a *Agent) announce(ctx *fasthttp.RequestCtx, id string) {
	target, err := a.dialect.Announcement(id, ctx.PostBody())
	if err != nil {
		a.log.Warn().Err(err).Str("target", id).Msg("announcement can't be used; what holds stays")
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	if !a.gate.Announce(target) {
		held := a.gate.State()
		a.log.Info().Str("target", id).Int64("born", target.Born).Int64("seq", target.Seq).
			Str("held", held.ID).Int64("held-born", held.Born).Int64("held-seq", held.Seq).Msg("announcement is old")
	}
	ctx.SetContentType("application/json")
	ctx.SetBodyString("{}")
}

func (a *Agent) handleMetrics() fasthttp.RequestHandler {
	metrics := fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(a.stats.Registry(), promhttp.HandlerOpts{}))
	return func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == admin.PathFleet {
			a.handleFleet(ctx)
			return
		}
		metrics(ctx)
	}
}
