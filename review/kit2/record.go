package kit2

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Run is one run of a request at a server.
type Run struct {
	At     time.Time
	Server string
	What   string
	Tenant string
	End    string
	EndAt  time.Time
}

// Request is a client attempt as its client and the servers saw it.
type Request struct {
	ID     string
	Node   string
	What   string
	SentAt time.Time
	// Status is that of the answer, 0 for none; Fate says how the request ended.
	Status  int
	Fate    string
	EndedAt time.Time
	Runs    []*Run
}

// Record is all that was sent, answered and run.
type Record struct {
	mu       sync.Mutex
	began    time.Time
	file     *os.File
	out      *bufio.Writer
	requests map[string]*Request
	order    []string
}

// NewRecord starts a record in a file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{
		began:    time.Now(),
		file:     f,
		out:      bufio.NewWriter(f),
		requests: map[string]*Request{},
	}, nil
}

func (r *Record) line(format string, args ...any) {
	_, _ = fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Note writes a line about the course of the case, also to standard output.
func (r *Record) Note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
	fmt.Printf("%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *Record) request(id string) *Request {
	q := r.requests[id]
	if q == nil {
		q = &Request{ID: id}
		r.requests[id] = q
		r.order = append(r.order, id)
	}
	return q
}

// Sent records that a client sends a request to a node.
func (r *Record) Sent(id, node, what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.request(id)
	q.Node, q.What, q.SentAt = node, what, time.Now()
	r.line("sent      %s to %s: %s", id, node, what)
}

// Answered records how a request ended for its client.
func (r *Record) Answered(id string, status int, fate string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.request(id)
	q.Status, q.Fate, q.EndedAt = status, fate, time.Now()
	r.line("answered  %s: %d %s", id, status, fate)
}

// Ran records that a server begins to run a request.
func (r *Record) Ran(id, server, what, tenant string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.request(id)
	q.Runs = append(q.Runs, &Run{At: time.Now(), Server: server, What: what, Tenant: tenant})
	r.line("ran       %s at %s: %s", id, server, what)
}

// Ended records how the last run of a request at a server ended.
func (r *Record) Ended(id, server, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range r.request(id).Runs {
		if run.Server == server && run.End == "" {
			run.End, run.EndAt = how, time.Now()
		}
	}
	r.line("run ended %s at %s: %s", id, server, how)
}

// Requests returns all requests in the order in which they were first seen. It is to be called
// when nothing is under way.
func (r *Record) Requests() []*Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*Request
	for _, id := range r.order {
		out = append(out, r.requests[id])
	}
	return out
}

// RanAt reports whether a request ran at a server.
func (r *Record) RanAt(id, server string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range r.request(id).Runs {
		if run.Server == server {
			return true
		}
	}
	return false
}

// Since returns the time of an event in the record, in seconds.
func (r *Record) Since(t time.Time) float64 {
	if t.IsZero() {
		return -1
	}
	return t.Sub(r.began).Seconds()
}

// Close writes the rest of the file.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
