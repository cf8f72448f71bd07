package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// arrival is a request that reached a server.
type arrival struct {
	attempt string
	tenant  string
	caller  string
	path    string
	at      time.Time
	run     bool
}

// server is a server that reports itself to the node on its machine.
type server struct {
	machine *machine
	id      string
	service string
	born    int64

	mu       sync.Mutex
	http     *http.Server
	seq      int
	state    string
	silent   bool
	work     time.Duration
	arrivals []arrival
	done     chan struct{}
}

func newServer(m *machine, id, service string) *server {
	return &server{
		machine: m,
		id:      id,
		service: service,
		born:    time.Now().UnixMilli(),
		state:   "ready",
		work:    2 * time.Millisecond,
		done:    make(chan struct{}),
	}
}

// listen starts the server and its status reports.
func (s *server) listen() error {
	if err := s.serve(); err != nil {
		return err
	}
	go func() {
		for {
			s.mu.Lock()
			silent := s.silent
			s.mu.Unlock()
			wait := heartbeat
			if !silent && s.send(s.report()) != http.StatusOK {
				wait = 300 * time.Millisecond
			}
			select {
			case <-s.done:
				return
			case <-time.After(wait):
			}
		}
	}()
	return nil
}

func (s *server) stop() {
	select {
	case <-s.done:
		return
	default:
	}
	close(s.done)
	_ = s.http.Close()
}

// crash ends the server and its status reports.
func (s *server) crash() {
	s.mute()
	_ = s.http.Close()
}

// restart starts the server again under its ID: its start time is another one, and its counts start anew.
func (s *server) restart() error {
	s.mu.Lock()
	s.born, s.seq, s.silent = time.Now().UnixMilli(), 0, false
	s.mu.Unlock()
	return s.serve()
}

// mute ends the status reports.
func (s *server) mute() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = true
}

// serve takes requests.
func (s *server) serve() error {
	l, err := net.Listen("tcp", s.machine.address(portApp))
	if err != nil {
		return err
	}
	s.http = &http.Server{
		Handler: http.HandlerFunc(s.handle),
	}
	h := s.http
	go func() { _ = h.Serve(l) }()
	return nil
}

// handle runs a request.
func (s *server) handle(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	a := arrival{
		attempt: r.Header.Get(headerAttempt),
		tenant:  r.Header.Get(headerTenant),
		caller:  r.Header.Get(headerCaller),
		path:    r.URL.Path,
		at:      time.Now(),
		run:     true,
	}
	w.Header().Set(headerAttempt, a.attempt)
	w.Header().Set(headerInstance, s.id)
	if t := r.Header.Get(headerTarget); t != "" && t != s.id {
		a.run = false
	}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, a)
	work := s.work
	s.mu.Unlock()
	if !a.run {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	time.Sleep(work)
	w.Header().Set(headerSignature, "proof-of-"+a.attempt)
	_, _ = fmt.Fprintf(w, "%s ran %s with %d bytes", s.id, r.URL.Path, len(body))
}

// runs returns the requests that the server has run.
func (s *server) runs() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []arrival
	for _, a := range s.arrivals {
		if a.run {
			out = append(out, a)
		}
	}
	return out
}

// report returns the next status report.
func (s *server) report() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	data, _ := json.Marshal(map[string]any{
		"service":      s.service,
		"address":      s.machine.address(portApp),
		"zone":         s.machine.zone,
		"version":      "v1",
		"slots":        64,
		"state":        s.state,
		"cold_left_ms": 0,
		"seq":          s.seq,
		"born":         s.born,
	})
	return data
}

// send sends a status report and returns the status of the response, 0 if none arrives within a second.
func (s *server) send(report []byte) int {
	return s.call(http.MethodPut, report)
}

// call calls the control address of the node.
func (s *server) call(method string, body []byte) int {
	client := http.Client{
		Timeout: time.Second,
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
	}
	req, err := http.NewRequest(method, "http://"+s.machine.address(portControl)+"/v1/instances/"+s.id, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode
}

// leave withdraws the server as one does that never reports draining: it sends no further status report, and
// repeats the call until it is confirmed, for some seconds. It goes on serving.
func (s *server) leave() (confirmedAt time.Time, ok bool) {
	s.mute()
	for deadline := time.Now().Add(4 * time.Second); time.Now().Before(deadline); time.Sleep(300 * time.Millisecond) {
		if s.call(http.MethodDelete, nil) == http.StatusOK {
			return time.Now(), true
		}
	}
	return time.Time{}, false
}
