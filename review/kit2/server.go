package kit2

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Server is an application server beside a node. A request's work time is the number after
// "/w" in its path, in milliseconds. A request whose connection closes is dropped.
type Server struct {
	ID      string
	service string
	address string
	control string
	slots   int
	beat    time.Duration
	born    int64
	record  *Record
	http    *http.Server
	free    chan struct{}
	done    chan struct{}
	mu      sync.Mutex
	seq     int64
	queued  int
	silent  bool
}

// NewServer starts a server with a number of slots and a queue as long.
func NewServer(id, service, address, control string, slots int, beat time.Duration, record *Record) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{
		ID:      id,
		service: service,
		address: address,
		control: control,
		slots:   slots,
		beat:    beat,
		born:    time.Now().UnixMilli(),
		record:  record,
		free:    make(chan struct{}, slots),
		done:    make(chan struct{}),
	}
	s.http = &http.Server{Handler: http.HandlerFunc(s.handle)}
	go func() { _ = s.http.Serve(l) }()
	go s.report()
	return s, nil
}

// Stop ends the server.
func (s *Server) Stop() {
	close(s.done)
	_ = s.http.Close()
}

// report sends a status report each beat, and sooner after a failure, until the server is silent.
func (s *Server) report() {
	for {
		wait := s.beat
		s.mu.Lock()
		silent := s.silent
		s.mu.Unlock()
		if !silent && s.Send(s.Report()) == 0 {
			wait = 300 * time.Millisecond
		}
		select {
		case <-s.done:
			return
		case <-time.After(wait):
		}
	}
}

// Silence ends the status reports.
func (s *Server) Silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = true
}

// Report returns the next status report, which says that the server is ready.
func (s *Server) Report() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	body, _ := json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "zone": "z", "version": "v1", "slots": s.slots,
		"state": "ready", "cold_left_ms": 0, "seq": s.seq, "born": s.born,
	})
	return body
}

// Send delivers a status report and returns the status of the answer, 0 for none in a second.
func (s *Server) Send(report []byte) int {
	return s.call(http.MethodPut, report)
}

// Delete says that the server leaves, and returns the status of the answer, 0 for none in a second.
func (s *Server) Delete() int {
	return s.call(http.MethodDelete, nil)
}

func (s *Server) call(method string, body []byte) int {
	req, _ := http.NewRequest(method, "http://"+s.control+"/v1/instances/"+s.ID, bytes.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}

// Work returns the work time that a path names.
func Work(path string) time.Duration {
	_, rest, _ := strings.Cut(path, "/w")
	digits, _, _ := strings.Cut(rest, "/")
	ms, _ := strconv.Atoi(digits)
	return time.Duration(ms) * time.Millisecond
}

func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Fuchsiapier-Attempt-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("X-Fuchsiapier-Attempt-Id", id)
	if meant := r.Header.Get("X-Fuchsiapier-Target-Instance"); meant != "" && meant != s.ID {
		w.Header().Set("X-Fuchsiapier-Instance-Id", s.ID)
		w.Header().Set("X-Fuchsiapier-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !s.enter(r) {
		w.Header().Set("X-Fuchsiapier-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.free }()
	s.record.Ran(id, s.ID, r.Method+" "+r.URL.RequestURI(), r.Header.Get("X-Fuchsiapier-Tenant"))
	select {
	case <-time.After(Work(r.URL.Path)):
	case <-r.Context().Done():
		s.record.Ended(id, s.ID, "cut")
		return
	}
	s.record.Ended(id, s.ID, "ok")
	w.Header().Set("X-Fuchsiapier-Response-Signature", "sig-"+s.ID+"-"+id)
	_, _ = fmt.Fprintf(w, "%s ran %s, %d bytes", s.ID, id, len(body))
}

// enter waits for a slot. It returns false if the queue is full or the connection closes.
func (s *Server) enter(r *http.Request) bool {
	s.mu.Lock()
	full := s.queued >= s.slots
	if !full {
		s.queued++
	}
	s.mu.Unlock()
	if full {
		return false
	}
	defer func() {
		s.mu.Lock()
		s.queued--
		s.mu.Unlock()
	}()
	select {
	case s.free <- struct{}{}:
		return true
	case <-r.Context().Done():
		return false
	}
}
