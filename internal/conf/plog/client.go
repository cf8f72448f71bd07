// Package plog is an HTTP client of the platform's append-only log service.
package plog

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"fuchsiapier/internal/conf/state"
	"fuchsiapier/internal/pipe/head"
)

// Page is the response to a read: consecutive records in the order of their offsets.
// A page may hold only part of the records that were asked for, so Next may be beyond
// the last of them.
type Page struct {
	// First is the lowest offset that the log still retains.
	First uint64 `json:"first"`
	// Next is the offset after the last record of the whole stream.
	Next    uint64         `json:"next"`
	Records []state.Record `json:"records"`
}

// AppendResult is the response to an append, with the offset of the new record.
type AppendResult struct {
	Offset uint64 `json:"offset"`
}

// ErrOutcomeUnknown is returned when an append failed or its response was lost, so
// that the append may or may not have taken effect.
var ErrOutcomeUnknown = errors.New("append outcome unknown; read the log to learn it")

const (
	dialTimeout   = 1 * time.Second
	appendTimeout = 3 * time.Second
	// readMargin is added to the time that the service waits for a new record.
	readMargin       = 2 * time.Second
	maxResponseBytes = 64 << 20
	// maxHeadBytes bounds the head of a response.
	maxHeadBytes = 4 << 10
)

// Client is a client of one log service. It is safe for concurrent use.
type Client struct {
	address string
	http    *fasthttp.Client
}

// New returns a client of the service at an address (ip:port). The client connects
// from the local IP address localIP, or from any local address if that is nil.
func New(address string, localIP net.IP) *Client {
	return &Client{
		address: address,
		http: &fasthttp.Client{
			Name:                      "fuchsiapier",
			MaxResponseBodySize:       maxResponseBytes,
			MaxIdemponentCallAttempts: 1,
			Dial: func(addr string) (net.Conn, error) {
				d := net.Dialer{
					Timeout:   dialTimeout,
					LocalAddr: &net.TCPAddr{IP: localIP},
				}
				c, err := d.Dial("tcp", addr)
				if err != nil {
					return nil, err
				}
				return head.NewConn(c, maxHeadBytes), nil
			},
		},
	}
}

// Append appends a record to a stream and returns the record's offset. It never
// retries. All its errors wrap ErrOutcomeUnknown, since the record may have been
// appended.
func (c *Client) Append(stream string, body []byte) (uint64, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + c.address + "/streams/" + stream)
	req.SetBody(body)
	if err := c.http.DoTimeout(req, resp, appendTimeout); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	var a AppendResult
	if err := decode(resp, &a); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return a.Offset, nil
}

// Read returns records of a stream from an offset on. If there are none, the service
// waits up to wait for one to be appended (long polling).
func (c *Client) Read(stream string, from uint64, wait time.Duration) (Page, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(fmt.Sprintf("http://%s/streams/%s?from=%d&wait-ms=%d", c.address, stream, from, wait.Milliseconds()))
	if err := c.http.DoTimeout(req, resp, wait+readMargin); err != nil {
		return Page{}, fmt.Errorf("read the platform's log: %w", err)
	}
	var p Page
	if err := decode(resp, &p); err != nil {
		return Page{}, fmt.Errorf("read the platform's log: %w", err)
	}
	return p, nil
}

// decode decodes the JSON body of a successful response.
func decode(resp *fasthttp.Response, v any) error {
	if resp.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("log service returned status %d", resp.StatusCode())
	}
	return json.Unmarshal(resp.Body(), v)
}
