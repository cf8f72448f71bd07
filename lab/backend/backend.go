// Package backend stands in for a server on the users' platform: it announces
// itself to the node on its VM, runs requests and makes calls of its own through
// that node. It keeps what it has seen, for the proofs.
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

// beatPeriod is how often the server announces itself.
const beatPeriod = 200 * time.Millisecond

// Names are the header names that the server reads and writes.
type Names struct {
	Attempt string
	Proof   string
}

// Config describes a server.
type Config struct {
	ID      string
	Service string
	// Control is where announcements go, Outbound where calls go.
	Control  string
	Outbound string
	Slots    int
	// Call is the URL path that each request calls, with its host; empty for none.
	CallHost string
	CallPath string
	// Work is how long a request takes.
	Work  time.Duration
	Names Names
}

// Run is what the server saw of a request.
type Run struct {
	Attempt string
	Header  http.Header
	Path    string
	Body    string
}

// Backend is a running server.
type Backend struct {
	config Config
	server *http.Server
	addr   string
	born   int64
	client *http.Client
	mu     sync.Mutex
	runs   []Run
	state  string
	seq    int
	done   chan struct{}
}

// New starts a server on an address (ip:port, 0 for a free port) and returns it
// with its clean-up.
func New(address string, c Config) (*Backend, func(), error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, err
	}
	b := &Backend{
		config: c,
		addr:   l.Addr().String(),
		born:   time.Now().UnixMilli(),
		client: &http.Client{
			Timeout: 5 * time.Second,
		},
		state: "ready",
		done:  make(chan struct{}),
	}
	b.server = &http.Server{
		Handler:           http.HandlerFunc(b.handle),
		ReadHeaderTimeout: 5 * time.Second,
	}
	go func() { _ = b.server.Serve(l) }()
	go b.announce()
	return b, sync.OnceFunc(b.close), nil
}

// Address returns where the server listens.
func (b *Backend) Address() string {
	return b.addr
}

// Runs returns what the server has run.
func (b *Backend) Runs() []Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Run{}, b.runs...)
}

// Drain makes the server announce that it is leaving.
func (b *Backend) Drain() {
	b.mu.Lock()
	b.state = "draining"
	b.mu.Unlock()
	b.beat()
}

func (b *Backend) close() {
	close(b.done)
	_ = b.server.Close()
}

func (b *Backend) announce() {
	t := time.NewTicker(beatPeriod)
	defer t.Stop()
	for {
		b.beat()
		select {
		case <-b.done:
			return
		case <-t.C:
		}
	}
}

func (b *Backend) beat() {
	b.mu.Lock()
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
		"born":         b.born,
	})
	b.mu.Unlock()
	if err != nil {
		return
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+b.config.Control+"/v1/instances/"+b.config.ID, bytes.NewReader(body))
	if err != nil {
		return
	}
	if resp, err := b.client.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}

func (b *Backend) handle(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	attempt := r.Header.Get(b.config.Names.Attempt)
	b.mu.Lock()
	b.runs = append(b.runs, Run{
		Attempt: attempt,
		Header:  r.Header.Clone(),
		Path:    r.URL.Path,
		Body:    string(body),
	})
	b.mu.Unlock()
	time.Sleep(b.config.Work)
	w.Header().Set(b.config.Names.Attempt, attempt)
	w.Header().Set(b.config.Names.Proof, "proof-of-"+attempt)
	if err := b.call(attempt); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = fmt.Fprintf(w, "%s ran %s %s", b.config.ID, r.URL.Path, strings.TrimSpace(string(body)))
}

// call makes the server's own call through the node on its VM.
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
		return fmt.Errorf("call answered %d", resp.StatusCode)
	}
	return nil
}
