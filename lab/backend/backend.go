// Package backend is a stand-in for a server on the users' platform: it announces
// itself to the node on its VM, runs requests and makes nested calls through that
// node. It records the requests it receives, so that tests can check them.
package backend

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// announcePeriod is the time between two announcements.
const announcePeriod = 200 * time.Millisecond

// Names are the header names that the server reads and writes.
type Names struct {
	// Attempt names the header with the ID of an attempt, in requests and
	// responses.
	Attempt string
	// Signature names the response header with the server's signature.
	Signature string
	// RateLimit names the response header with the requests per second that the server
	// accepts, Leaving the one that says that the server is about to stop.
	RateLimit string
	Leaving   string
	// ExpectTarget names the request header with the ID of the server that is meant. Another server
	// responds with 421; without the name each one takes all requests.
	ExpectTarget string
}

// Config describes a server.
type Config struct {
	// ID is the instance ID under which the server announces itself.
	ID string
	// Service is the name of the service that the server runs.
	Service string
	// Control is the address (ip:port) at which the node on the VM accepts
	// announcements, Outbound the one at which it accepts nested calls.
	Control  string
	Outbound string
	// Slots is the number of concurrent requests that the server announces; it
	// enforces no such limit.
	Slots int
	// CallHost is the Host header and CallPath the URL path of the nested call
	// that each request makes. An empty CallPath means no nested call.
	CallHost string
	CallPath string
	// ServiceTime is the service time of a request without its nested call.
	ServiceTime time.Duration
	// ClockAhead is how far the time of day at which the server starts is ahead.
	ClockAhead time.Duration
	// Names are the header names in use.
	Names Names
	// LargePath is the URL path of requests that get a response of LargeBytes.
	LargePath  string
	LargeBytes int
	// CrashBody is the body of requests that crash the server as soon as one begins to run;
	// none does if it is empty.
	CrashBody string
}

// Run is a request that the server received.
type Run struct {
	// Attempt is the ID of the attempt, from the header Names.Attempt.
	Attempt string
	Header  http.Header
	Path    string
	Body    string
	// At is when the request arrived, AnsweredAt when its response was sent, zero before.
	At         time.Time
	AnsweredAt time.Time
	// RateLimit and Leaving are what the response says of the server.
	RateLimit string
	Leaving   bool
}

// behavior is what a running server may be told to change.
type behavior struct {
	serviceTime time.Duration
	// rateLimit is the value of the rate limit header, "" for none.
	rateLimit string
	// leaving says that responses have the header of a server that is about to stop.
	leaving bool
	// spoilEach says that each so many responses have a malformed head, 0 for none.
	spoilEach int
}

// Backend is a running server. It is safe for concurrent use.
type Backend struct {
	config    Config
	server    *http.Server
	addr      string
	startedAt int64
	client    *http.Client
	mu        sync.Mutex
	runs      []Run
	behavior  behavior
	state     string
	seq       int
	// silent says that the server sends no announcements any more.
	silent bool
	done   chan struct{}
	// stop stops the server, once.
	stop func()
	// crashed is closed when a request has crashed the server.
	crashed chan struct{}
}

// New starts a server on an address (ip:port, port 0 for a free one) and returns
// it with the function that stops it. Its error is that of listening.
func New(address string, c Config) (*Backend, func(), error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, err
	}
	b := &Backend{
		config:    c,
		addr:      l.Addr().String(),
		startedAt: time.Now().Add(c.ClockAhead).UnixMilli(),
		client: &http.Client{
			Timeout: 5 * time.Second,
		},
		behavior: behavior{
			serviceTime: c.ServiceTime,
		},
		state:   "ready",
		done:    make(chan struct{}),
		crashed: make(chan struct{}),
	}
	b.stop = sync.OnceFunc(b.close)
	b.server = &http.Server{
		Handler:           http.HandlerFunc(b.handle),
		ReadHeaderTimeout: 5 * time.Second,
	}
	go func() { _ = b.server.Serve(l) }()
	go b.announceLoop()
	return b, b.stop, nil
}

// Address returns the address (ip:port) on which the server listens.
func (b *Backend) Address() string {
	return b.addr
}

// Runs returns a copy of the requests received so far, in order of arrival.
func (b *Backend) Runs() []Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Run{}, b.runs...)
}

// Crashed returns a channel that is closed when a request has crashed the server.
func (b *Backend) Crashed() <-chan struct{} {
	return b.crashed
}

// Drain announces the state "draining" at once and from then on. The server still
// takes requests.
func (b *Backend) Drain() {
	b.mu.Lock()
	b.state = "draining"
	b.mu.Unlock()
	b.announce()
}

// SetServiceTime changes the service time of requests that arrive from now on.
func (b *Backend) SetServiceTime(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.behavior.serviceTime = d
}

// NameRateLimit makes responses carry a rate limit, in requests per second; "" ends that. The
// server enforces no limit.
func (b *Backend) NameRateLimit(value string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.behavior.rateLimit = value
}

// NameLeaving makes responses say that the server is about to stop. Its announcements stay as
// they are.
func (b *Backend) NameLeaving() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.behavior.leaving = true
}

// SpoilHeads makes one in each so many responses malformed, as those of a server in trouble; 0 ends that.
func (b *Backend) SpoilHeads(each int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.behavior.spoilEach = each
}

// spoiledHeads are malformed heads of responses. Their verbs are filled with the names and values of the
// attempt and signature headers.
var spoiledHeads = []string{
	"HTTP/1.1 000 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nX Spoiled: a\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nX-\x01Spoiled: a\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length : 1\r\nConnection: close\r\n\r\nok",
	"HTTP/1.1 200 OK\r\n%s: %s\r\n%s\x00: %s\r\nContent-Length: 2\r\n\r\nok",
}

// spoil responds with one of the malformed heads.
func (b *Backend) spoil(w http.ResponseWriter, run int, attempt string) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(c, spoiledHeads[run%len(spoiledHeads)], b.config.Names.Attempt, attempt, b.config.Names.Signature, "proof-of-"+attempt)
	_ = c.Close()
}

func (b *Backend) close() {
	close(b.done)
	_ = b.server.Close()
}

func (b *Backend) announceLoop() {
	t := time.NewTicker(announcePeriod)
	defer t.Stop()
	for {
		b.announce()
		select {
		case <-b.done:
			return
		case <-t.C:
		}
	}
}

// announce sends one announcement and ignores its failure, since the next one
// follows soon.
func (b *Backend) announce() {
	b.mu.Lock()
	silent := b.silent
	b.mu.Unlock()
	if !silent {
		b.Send(b.Report())
	}
}

// StopReports ends the announcements, as a server does that withdraws itself.
func (b *Backend) StopReports() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.silent = true
}

// Report returns the body of the next announcement.
func (b *Backend) Report() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seq++
	body, err := json.Marshal(map[string]any{
		"service":      b.config.Service,
		"address":      b.addr,
		"zone":         "any",
		"version":      "v1",
		"slots":        b.config.Slots,
		"state":        b.state,
		"cold_left_ms": 0,
		"seq":          b.seq,
		"born":         b.startedAt,
	})
	if err != nil {
		panic("backend: encode report: " + err.Error())
	}
	return body
}

// Send sends an announcement, which may be an old one that arrives late, and ignores its failure.
func (b *Backend) Send(body []byte) {
	req, err := http.NewRequest(http.MethodPut, "http://"+b.config.Control+"/v1/instances/"+b.config.ID, bytes.NewReader(body))
	if err != nil {
		return
	}
	if resp, err := b.client.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}

// handle records a request, sleeps for the service time, makes the nested call
// and responds with the attempt ID and a stand-in for the signature.
func (b *Backend) handle(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	attempt := r.Header.Get(b.config.Names.Attempt)
	if meant := r.Header.Get(b.config.Names.ExpectTarget); b.config.Names.ExpectTarget != "" && meant != "" && meant != b.config.ID {
		w.Header().Set(b.config.Names.Attempt, attempt)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.mu.Lock()
	now := b.behavior
	run := len(b.runs)
	b.runs = append(b.runs, Run{
		Attempt:   attempt,
		Header:    r.Header.Clone(),
		Path:      r.URL.Path,
		Body:      string(body),
		At:        time.Now(),
		RateLimit: now.rateLimit,
		Leaving:   now.leaving,
	})
	b.mu.Unlock()
	defer b.answered(run)
	if b.config.CrashBody != "" && string(body) == b.config.CrashBody {
		b.crash()
		return
	}
	time.Sleep(now.serviceTime)
	if now.rateLimit != "" {
		w.Header().Set(b.config.Names.RateLimit, now.rateLimit)
	}
	if now.leaving {
		w.Header().Set(b.config.Names.Leaving, "1")
	}
	w.Header().Set(b.config.Names.Attempt, attempt)
	w.Header().Set(b.config.Names.Signature, "proof-of-"+attempt)
	if err := b.call(attempt); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if now.spoilEach > 0 && run%now.spoilEach == 0 {
		b.spoil(w, run/now.spoilEach, attempt)
		return
	}
	if b.config.LargeBytes > 0 && r.URL.Path == b.config.LargePath {
		_, _ = w.Write(make([]byte, b.config.LargeBytes))
		return
	}
	_, _ = fmt.Fprintf(w, "%s ran %s %s", b.config.ID, r.URL.Path, strings.TrimSpace(string(body)))
}

// crash stops the server, which closes all its connections.
func (b *Backend) crash() {
	b.stop()
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-b.crashed:
	default:
		close(b.crashed)
	}
}

// answered records that the response of a run was sent.
func (b *Backend) answered(run int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[run].AnsweredAt = time.Now()
}

// call makes the nested call through the node on the VM. It derives the ID of
// the nested attempt from that of the caller's.
func (b *Backend) call(attempt string) error {
	if b.config.CallPath == "" {
		return nil
	}
	req, err := http.NewRequest(http.MethodGet, "http://"+b.config.Outbound+b.config.CallPath, nil)
	if err != nil {
		return err
	}
	req.Host = b.config.CallHost
	req.Header.Set(b.config.Names.Attempt, attempt+".1")
	resp, err := b.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("nested call returned status %d", resp.StatusCode)
	}
	return nil
}
