package httpd

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http/httputil"
	"time"

	"github.com/valyala/fasthttp"

	"fuchsiapier/internal/base/budget"
	"fuchsiapier/internal/pipe/body"
	"fuchsiapier/internal/pipe/head"
	"fuchsiapier/internal/pipe/httpc"
	"fuchsiapier/internal/pipe/msg"
)

// readBufferSize is the read buffer of a new connection, in bytes. A header that
// doesn't fit into it gets a buffer of the configured limit.
const readBufferSize = 4 << 10

// lengthUnset is fasthttp's content length of a request with neither Content-Length
// nor Transfer-Encoding.
const lengthUnset = -2

var errHeaderTooLarge = errors.New("request header exceeds the configured limit")

// arrival is a request that was read completely, with the share of memory that it uses.
type arrival struct {
	*fasthttp.Request
	body  body.Body
	share *budget.Share
}

// release gives back what the request uses.
func (a *arrival) release() {
	fasthttp.ReleaseRequest(a.Request)
	a.share.Release()
}

// readWithinBudget reads a complete request within the budget of memory. failure is the response to a request that
// isn't handled: one that can't be read, or for which there is no memory, or that comes as the server stops.
// Both results are nil where the caller disconnected.
func (c *conn) readWithinBudget() (a *arrival, failure *msg.Response) {
	share := c.server.budgets.Memory.Open(budget.Callers)
	share.AllowEviction(c.evict)
	a, failure = c.readRequest(share)
	if !share.ForbidEviction() || c.isEvicted() {
		failure = noMemory()
	}
	if failure != nil && failure.Status == fasthttp.StatusServiceUnavailable {
		c.server.refusalLog.Warn().Str("from", c.RemoteAddr().String()).Str("reason", "no-memory").Bool("evicted", c.isEvicted()).
			Int64("held-bytes", share.Held()).Msg("request refused before it was read")
	}
	if failure == nil && a != nil && c.server.isQuiescing() {
		failure = msg.Plain(fasthttp.StatusServiceUnavailable, "not run: the node is stopping").WithRetryAfter(stoppingRetryAfter)
	}
	switch {
	case failure == nil && a != nil:
		return a, nil
	case a != nil:
		a.release()
	default:
		share.Release()
	}
	return nil, failure
}

// noMemory returns the response to a request for which the node has no memory, or no connection, left.
func noMemory() *msg.Response {
	return msg.Plain(fasthttp.StatusServiceUnavailable, "not run: the node is short of memory or connections").WithRetryAfter(noMemoryRetryAfter)
}

// readRequest reads a complete request, whose memory is added to a share. failure is the response to a request
// that can't be read, such as one that is malformed, too large or too slow. Both results
// are nil where the caller disconnected.
func (c *conn) readRequest(share *budget.Share) (a *arrival, failure *msg.Response) {
	limits := c.server.currentLimits()
	if err := share.Grow(requestBytes); err != nil {
		return nil, noMemory()
	}
	c.setReadDeadline(time.Now().Add(limits.HeaderTimeout))
	req := fasthttp.AcquireRequest()
	req.Header.SetNoDefaultContentType(true)
	if err := c.readHeader(req, limits.HeaderBytes); err != nil {
		fasthttp.ReleaseRequest(req)
		return nil, headerFailure(err)
	}
	if n := len(req.Header.RawHeaders()); n > smallHeader {
		if err := share.Grow(int64(headerCopies * n)); err != nil {
			fasthttp.ReleaseRequest(req)
			return nil, noMemory()
		}
	}
	c.setReadDeadline(time.Now().Add(bodyTimeout))
	content, err := c.readBody(req, limits.BodyBytes, share)
	if err != nil {
		fasthttp.ReleaseRequest(req)
		return nil, bodyFailure(err)
	}
	return &arrival{
		Request: req,
		body:    content.WithShare(share),
		share:   share,
	}, nil
}

// confirmExpectation sends the interim response (100 Continue) that a caller may wait for before it sends the
// body. It comes behind the responses to the requests before.
func (c *conn) confirmExpectation(req *fasthttp.Request) error {
	if !req.MayContinue() {
		return nil
	}
	c.mu.Lock()
	previous := c.lastWritten
	c.mu.Unlock()
	<-previous
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	return err
}

// readHeader reads a valid header of at most limit bytes, or of the read buffer's size if
// that is larger.
func (c *conn) readHeader(req *fasthttp.Request, limit int) error {
	err := head.PeekRequest(c.r)
	if isTooLong(err) && c.r.Size() < limit {
		if err := c.Grow(int64(limit)); err != nil {
			return err
		}
		c.r = bufio.NewReaderSize(c.r, limit)
		err = head.PeekRequest(c.r)
	}
	switch {
	case isTooLong(err):
		return errHeaderTooLarge
	case err != nil:
		return err
	}
	return req.Header.Read(c.r)
}

// isTooLong reports whether an error says that a header doesn't fit into the read buffer.
func isTooLong(err error) bool {
	var malformed *head.Error
	return errors.As(err, &malformed) && malformed.Reason == head.TooLong
}

// readBody reads the body of a request. Fields behind a chunked body are checked and dropped. Nothing is
// reserved for the length that a request announces.
func (c *conn) readBody(req *fasthttp.Request, limit int, share *budget.Share) (body.Body, error) {
	length := req.Header.ContentLength()
	if length > limit {
		return body.Body{}, body.ErrTooLarge
	}
	if err := c.confirmExpectation(req); err != nil {
		return body.Body{}, err
	}
	if length != httpc.Chunked {
		return body.Read(c.r, max(length, 0), limit, share)
	}
	content, err := body.Read(httputil.NewChunkedReader(c.r), body.ToEnd, limit, share)
	if err != nil {
		return body.Body{}, err
	}
	return content, head.ReadTrailer(c.r)
}

// headerFailure returns the response to a header that can't be read, nil where the
// caller disconnected.
func headerFailure(err error) *msg.Response {
	var ne net.Error
	switch {
	case errors.Is(err, budget.ErrShort), errors.Is(err, budget.ErrEvicted), errors.Is(err, budget.ErrTooLarge):
		return noMemory()
	case errors.Is(err, errHeaderTooLarge):
		return msg.Plain(fasthttp.StatusRequestHeaderFieldsTooLarge, "header too large; send fewer or shorter fields")
	case errors.As(err, &ne) && ne.Timeout():
		return msg.Plain(fasthttp.StatusRequestTimeout, "header took too long; send it at once")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed), isConnError(err):
		return nil
	}
	return msg.Plain(fasthttp.StatusBadRequest, "malformed request: "+err.Error())
}

// bodyFailure returns the response to a body that can't be read, nil where the caller
// disconnected.
func bodyFailure(err error) *msg.Response {
	var ne net.Error
	switch {
	case errors.Is(err, body.ErrTooLarge):
		return msg.Plain(fasthttp.StatusRequestEntityTooLarge, "body too large")
	case errors.Is(err, budget.ErrTooLarge):
		return msg.Plain(fasthttp.StatusRequestEntityTooLarge, "body too large for the memory of this node")
	case errors.Is(err, body.ErrNoMemory):
		return noMemory()
	case errors.As(err, &ne) && ne.Timeout():
		return msg.Plain(fasthttp.StatusRequestTimeout, "body took too long")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), isConnError(err):
		return nil
	}
	return msg.Plain(fasthttp.StatusBadRequest, "malformed body: "+err.Error())
}

// isConnError reports whether an error comes from the connection itself, as when the
// caller resets it.
func isConnError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op)
}

// hasBody reports whether a request has a body, even an empty one: requests other than GET and HEAD always
// have.
func hasBody(req *fasthttp.Request) bool {
	return req.Header.ContentLength() != lengthUnset || !req.Header.IsGet() && !req.Header.IsHead()
}
