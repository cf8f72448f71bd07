package lab

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Names of header fields on the users' platform.
const (
	HeaderAttempt   = "X-Fuchsiapier-Attempt-Id"
	HeaderDeadline  = "X-Fuchsiapier-Deadline-Ms"
	HeaderSignature = "X-Fuchsiapier-Response-Signature"
	HeaderCaller    = "X-Fuchsiapier-Caller-Service"
	HeaderTenant    = "X-Fuchsiapier-Tenant"
	HeaderTarget    = "X-Fuchsiapier-Target-Instance"
	HeaderNotRun    = "X-Fuchsiapier-Not-Executed"
)

// heartbeat is the period of status reports.
const heartbeat = 1500 * time.Millisecond

// Run is a request that a server has begun to work on.
type Run struct {
	At    time.Time
	Ended time.Time
	// Left is when the connection of the request was closed.
	Left    time.Time
	Attempt string
	Caller  string
	Tenant  string
	Body    string
	// Broken says that the server ended while it worked on the request.
	Broken bool
}

// Server is one boot of an application server, which reports to the node on its machine.
type Server struct {
	vm   *VM
	ID   string
	Born int64
	work time.Duration

	http *http.Server
	done chan struct{}

	mu     sync.Mutex
	seq    int64
	state  string
	silent bool
	gone   bool
	// acked is when the node confirmed that the server is draining or gone.
	acked time.Time
	runs  []*Run
}

// StartServer boots a server on a machine. born is the start time that it reports, in Unix
// milliseconds.
func (v *VM) StartServer(id string, born int64, work time.Duration) (*Server, error) {
	l, err := net.Listen("tcp", v.Addr(portServer))
	if err != nil {
		return nil, err
	}
	s := &Server{vm: v, ID: id, Born: born, work: work, state: "ready", done: make(chan struct{})}
	s.http = &http.Server{Handler: http.HandlerFunc(s.handle)}
	go func() { _ = s.http.Serve(l) }()
	go s.reportLoop()
	v.fleet.mu.Lock()
	v.Server = s
	v.fleet.servers = append(v.fleet.servers, s)
	v.fleet.mu.Unlock()
	v.fleet.Logf("server %s boots on %s (service %s), born %d", id, v.Name, v.Service, born)
	return s, nil
}

// Report is the body of a status report with the next number.
func (s *Server) Report(state string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	body, _ := json.Marshal(map[string]any{
		"service": s.vm.Service, "address": s.vm.Addr(portServer), "zone": s.vm.Zone, "version": "v1",
		"slots": 64, "state": state, "cold_left_ms": 0, "seq": s.seq, "born": s.Born,
	})
	return body
}

// Send sends a status report and returns the status of the answer, 0 if there is none
// within a second.
func (s *Server) Send(body []byte) int {
	return Call(http.MethodPut, "http://"+s.vm.Addr(portControl)+"/v1/instances/"+s.ID, body)
}

// Call makes a call and returns the status of the answer, 0 if there is none within a second.
func Call(method, url string, body []byte) int {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	req.Header.Set("Content-Type", "application/json")
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

func (s *Server) reportLoop() {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		s.mu.Lock()
		silent, state := s.silent, s.state
		s.mu.Unlock()
		if !silent {
			for range 3 {
				if s.Send(s.Report(state)) == http.StatusOK {
					break
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
		select {
		case <-s.done:
			return
		case <-t.C:
		}
	}
}

// Drain reports that the server is draining, until that is confirmed.
func (s *Server) Drain() time.Time {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	for {
		if s.Send(s.Report("draining")) == http.StatusOK {
			return s.confirmed("draining")
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// Delete withdraws the server and sends no status report any more.
func (s *Server) Delete() time.Time {
	s.mu.Lock()
	s.silent = true
	s.mu.Unlock()
	for {
		if Call(http.MethodDelete, "http://"+s.vm.Addr(portControl)+"/v1/instances/"+s.ID, nil) == http.StatusOK {
			return s.confirmed("gone")
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (s *Server) confirmed(state string) time.Time {
	now := time.Now()
	s.mu.Lock()
	if s.acked.IsZero() {
		s.acked = now
	}
	s.mu.Unlock()
	s.vm.fleet.Logf("%s confirms that server %s is %s", s.vm.Name, s.ID, state)
	return now
}

// Exit ends the server's process: its connections are closed, whatever it works on.
func (s *Server) Exit() {
	s.mu.Lock()
	if s.gone {
		s.mu.Unlock()
		return
	}
	s.gone = true
	s.silent = true
	for _, r := range s.runs {
		if r.Ended.IsZero() {
			r.Broken = true
		}
	}
	s.mu.Unlock()
	close(s.done)
	_ = s.http.Close()
	s.vm.fleet.Logf("server %s ends", s.ID)
}

// Runs returns the requests that the server has run.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Run, 0, len(s.runs))
	for _, r := range s.runs {
		out = append(out, *r)
	}
	return out
}

func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get(HeaderAttempt)
	if attempt != "" {
		w.Header().Set(HeaderAttempt, attempt)
	}
	if target := r.Header.Get(HeaderTarget); target != "" && target != s.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if attempt == "" {
		w.Header().Set(HeaderNotRun, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	if s.gone {
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	run := &Run{At: time.Now(), Attempt: attempt, Caller: r.Header.Get(HeaderCaller), Tenant: r.Header.Get(HeaderTenant), Body: string(body)}
	s.runs = append(s.runs, run)
	s.mu.Unlock()
	s.vm.fleet.Record("run", "%s on %s (%s) caller-service=%s tenant=%s bytes=%d %s %s sum=%x te=%v cl=%d", attempt, s.ID, s.vm.Service, run.Caller, run.Tenant, len(body), r.Method, r.RequestURI, crc32.ChecksumIEEE(body), r.TransferEncoding, r.ContentLength)
	if s.vm.fleet.CrashBody != "" && string(body) == s.vm.fleet.CrashBody {
		go s.crash()
		<-s.done
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		s.mu.Lock()
		run.Left = time.Now()
		s.mu.Unlock()
		return
	}
	s.mu.Lock()
	gone := s.gone
	if !gone {
		run.Ended = time.Now()
	}
	s.mu.Unlock()
	if gone {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(HeaderSignature, "proof-of-"+attempt)
	_, _ = fmt.Fprintf(w, "%s ran %s", s.ID, attempt)
}

// crash ends the server as it begins to run a request, and boots it again under a new id after
// some seconds.
func (s *Server) crash() {
	s.Exit()
	time.Sleep(s.vm.fleet.CrashTime)
	if _, err := s.vm.StartServer(fmt.Sprintf("%s.%d", s.ID, s.Born%100000), time.Now().UnixMilli(), s.work); err != nil {
		s.vm.fleet.Logf("server does not boot: %v", err)
	}
}
