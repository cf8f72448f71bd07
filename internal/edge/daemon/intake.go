package daemon

import (
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"fuchsiapier/internal/base/budget"
	"fuchsiapier/internal/edge/runner"
	"fuchsiapier/internal/edge/wire"
	"fuchsiapier/internal/pipe/body"
	"fuchsiapier/internal/pipe/httpc"
)

const (
	// heldMemory is how much memory requests may make the node hold, in bytes: 0.4 of the 256 MB that a node
	// may use.
	heldMemory = 102 << 20
	// requestMemory is the memory of a request without its body: its connection's buffers and goroutine, in
	// bytes.
	requestMemory = 40 << 10
	// smallRequest is the memory of a small request, for which a part of the memory is kept, in bytes.
	smallRequest = 64 << 10
	// bodyCopies is how often a body is held besides: whole, and by the handler.
	bodyCopies = 2
	// lingerTimeout bounds how long the rest of a rejected body is read.
	lingerTimeout = 500 * time.Millisecond
	// noMemoryRetryAfter is the retry delay in the refusals of requests for which there is no memory.
	noMemoryRetryAfter = 500 * time.Millisecond
)

// withinBudget wraps a handler so that the bodies of its requests are read within the budget of memory, which
// they use until the handler returns. One that makes no progress gives way to others and is refused.
func (d *Daemon) withinBudget(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		share := d.memory.Open(budget.Callers)
		defer share.Release()
		share.AllowEviction(func() { _ = ctx.Conn().SetReadDeadline(time.Now()) })
		content, err := readBody(ctx, share)
		if !share.ForbidEviction() {
			err = budget.ErrEvicted
		}
		if err != nil {
			rejectBody(ctx, err)
			return
		}
		ctx.Request.SetBodyRaw(content.Bytes())
		handler(ctx)
	}
}

// readBody reads the body of a request, whose memory is added to a share.
func readBody(ctx *fasthttp.RequestCtx, share *budget.Share) (body.Body, error) {
	if err := share.Grow(requestMemory); err != nil {
		return body.Body{}, errors.Join(body.ErrNoMemory, err)
	}
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return body.Of(ctx.PostBody()), nil
	}
	length := ctx.Request.Header.ContentLength()
	if length == httpc.Chunked {
		length = body.ToEnd
	}
	content, err := body.Read(stream, max(length, body.ToEnd), maxRequestBody, share)
	if err != nil {
		return body.Body{}, err
	}
	if err := share.Grow(int64(bodyCopies * content.Len())); err != nil {
		return body.Body{}, errors.Join(body.ErrNoMemory, err)
	}
	return content, nil
}

// rejectBody responds to a request whose body can't be read, and ends the connection, on which the rest of the
// body may follow: the server drops what comes of it before it responds.
func rejectBody(ctx *fasthttp.RequestCtx, err error) {
	ctx.SetConnectionClose()
	_ = ctx.Conn().SetReadDeadline(time.Now().Add(lingerTimeout))
	switch {
	case errors.Is(err, body.ErrTooLarge):
		ctx.Error("body too large", fasthttp.StatusRequestEntityTooLarge)
	case errors.Is(err, body.ErrNoMemory), errors.Is(err, budget.ErrEvicted):
		runner.WriteReply(ctx, wire.Refuse(wire.ReasonOverload, noMemoryRetryAfter))
	case errors.Is(err, io.ErrUnexpectedEOF):
		ctx.Error("body is cut short", fasthttp.StatusBadRequest)
	default:
		ctx.Error("body took too long, or is malformed", fasthttp.StatusRequestTimeout)
	}
}
