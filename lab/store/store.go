// Package store is a stand-in for the users' platform store: keyed topics with
// one partition each, over HTTP/1.1, with the faults that the tests bring about.
// It speaks the published protocol and shares no code with the node.
package store

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Fault is how the store misbehaves.
type Fault int

// The faults.
const (
	// None answers as it should.
	None Fault = iota
	// Busy answers 503 and does nothing.
	Busy
	// Silent does nothing and never answers.
	Silent
	// Lost does what is asked and never answers.
	Lost
)

// Store is a running stand-in.
type Store struct {
	server *http.Server
	addr   string
	mu     sync.Mutex
	topics map[string]*topic
	fault  Fault
	calls  int
	wake   chan struct{}
}

type topic struct {
	records [][]byte
	// first is the offset of records[0].
	first int64
}

// New starts a store on a free loopback port and returns it with its clean-up.
func New() (*Store, func(), error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	s := &Store{
		addr:   l.Addr().String(),
		topics: map[string]*topic{},
		wake:   make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log-append", s.guarded(s.handleAppend))
	mux.HandleFunc("GET /v1/log-read", s.guarded(s.handleRead))
	mux.HandleFunc("GET /v1/log-newest", s.guarded(s.handleNewest))
	s.server = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: 5 * time.Second,
	}
	go func() { _ = s.server.Serve(l) }()
	return s, func() { _ = s.server.Close() }, nil
}

// Address returns where the store listens.
func (s *Store) Address() string {
	return s.addr
}

// SetFault makes the store misbehave, or not any more.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Calls returns how many calls have arrived.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes a record as the operator does.
func (s *Store) Put(name, key string, value []byte) {
	record := append([]byte{byte(len(key))}, key...)
	s.append(name, append(record, value...))
}

// Trim drops all records but the last of a topic.
func (s *Store) Trim(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if n := len(t.records); n > 1 {
		t.first += int64(n - 1)
		t.records = t.records[n-1:]
	}
}

// Newest returns the newest value of a key, nil where there is none.
func (s *Store) Newest(name, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest(name)[key]
}

// newest must be called with s.mu held.
func (s *Store) newest(name string) map[string][]byte {
	out := map[string][]byte{}
	for _, r := range s.topic(name).records {
		cut := 1 + int(r[0])
		key, value := string(r[1:cut]), r[cut:]
		if len(value) == 0 {
			delete(out, key)
			continue
		}
		out[key] = value
	}
	return out
}

// topic must be called with s.mu held.
func (s *Store) topic(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{}
		s.topics[name] = t
	}
	return t
}

func (s *Store) append(name string, record []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.records = append(t.records, record)
	close(s.wake)
	s.wake = make(chan struct{})
	return t.first + int64(len(t.records))
}

func (s *Store) guarded(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls++
		fault := s.fault
		s.mu.Unlock()
		switch fault {
		case Busy:
			w.WriteHeader(http.StatusServiceUnavailable)
		case Silent:
			<-r.Context().Done()
		case Lost:
			h(&discard{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		default:
			h(w, r)
		}
	}
}

// discard drops an answer.
type discard struct {
	header http.Header
}

func (d *discard) Header() http.Header         { return d.header }
func (d *discard) Write(b []byte) (int, error) { return len(b), nil }
func (d *discard) WriteHeader(int)             {}

func (s *Store) handleAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) < 4 || int(binary.BigEndian.Uint32(body)) != len(body)-4 {
		http.Error(w, "malformed record", http.StatusBadRequest)
		return
	}
	end := s.append(r.URL.Query().Get("topic"), body[4:])
	answer(w, map[string]any{
		"offset":     end - 1,
		"end_offset": end,
	})
}

func (s *Store) handleNewest(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("topic")
	s.mu.Lock()
	items := []map[string]any{}
	for key, value := range s.newest(name) {
		items = append(items, map[string]any{
			"key":   key,
			"value": base64.StdEncoding.EncodeToString(value),
		})
	}
	t := s.topic(name)
	end := t.first + int64(len(t.records))
	s.mu.Unlock()
	answer(w, map[string]any{
		"items":      items,
		"has_more":   false,
		"end_offset": end,
	})
}

func (s *Store) handleRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err1 := strconv.ParseInt(query.Get("from"), 10, 64)
	wait, err2 := strconv.Atoi(query.Get("wait_ms"))
	if err1 != nil || err2 != nil {
		http.Error(w, "from and wait_ms are numbers", http.StatusBadRequest)
		return
	}
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(query.Get("topic"))
		first, end, wake := t.first, t.first+int64(len(t.records)), s.wake
		var records [][]byte
		if from >= first && from < end {
			records = t.records[from-first:]
		}
		s.mu.Unlock()
		if from < first {
			w.WriteHeader(http.StatusGone)
			answer(w, map[string]any{"first_offset": first})
			return
		}
		if len(records) > 0 {
			writeRecords(w, records, first, end)
			return
		}
		select {
		case <-wake:
		case <-deadline:
			writeRecords(w, nil, first, end)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeRecords(w http.ResponseWriter, records [][]byte, first, end int64) {
	out := binary.BigEndian.AppendUint64(nil, uint64(end))
	out = binary.BigEndian.AppendUint64(out, uint64(first))
	for _, r := range records {
		out = binary.BigEndian.AppendUint32(out, uint32(len(r)))
		out = append(out, r...)
	}
	_, _ = w.Write(out)
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
