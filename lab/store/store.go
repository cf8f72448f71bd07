// Package store is a stand-in for the store of the users' platform: keyed topics
// with one partition each, over HTTP/1.1, with fault injection for tests. It
// implements the published protocol and shares no code with the node, so that a
// mistake in the node's client shows. Everything is kept in memory.
package store

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"
)

// Fault is an injected fault, which applies to all requests.
type Fault int

// The faults.
const (
	// NoFault handles requests normally.
	NoFault Fault = iota
	// Unavailable refuses requests with status 503 and has no other effect.
	Unavailable
	// NoResponse has no effect and sends no response until the client gives up.
	NoResponse
	// ResponseLost executes requests and closes the connection without a response.
	ResponseLost
	// ExecutedLate sends no response, and executes appends when ExecuteLate is called.
	ExecutedLate
)

// Store is a running stand-in for the store. It is safe for concurrent use.
type Store struct {
	server *http.Server
	addr   string
	mu     sync.Mutex
	topics map[string]*topic
	fault  Fault
	calls  int
	// late are the appends that are executed late.
	late []appendCall
	// epoch counts the starts of the store; it increases when the store is restored.
	epoch int64
	// appended is closed and replaced at each append, which wakes the long polls.
	appended chan struct{}
	// opened counts the connections. Those up to the number silenced are silent.
	opened   int
	silenced int
}

// connKey is the key of a connection's number in the context of its requests.
type connKey struct{}

// topic is the log of a topic. A record is one byte with the length of its key,
// the key and the value; an empty value deletes the key.
type topic struct {
	records [][]byte
	// first is the offset of records[0].
	first int64
	// producers holds the last appends of each producer.
	producers map[string]producer
}

// producer is the state of a producer of a partition.
type producer struct {
	epoch int64
	seq   int64
	// ends holds the end offsets after its last appends, by sequence number.
	ends map[int64]int64
}

// rememberedAppends is how many of the last appends of a producer are recognized when they
// are repeated.
const rememberedAppends = 5

// appendCall is a call of log-append. Without a producer nothing orders it.
type appendCall struct {
	topic    string
	record   []byte
	producer string
	epoch    int64
	seq      int64
}

// New starts a store on a free loopback port and returns it with the function
// that stops it. Its error is that of listening.
func New() (*Store, func(), error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	s := &Store{
		addr:     l.Addr().String(),
		topics:   map[string]*topic{},
		epoch:    1,
		appended: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log-append", s.withFault(s.handleAppend))
	mux.HandleFunc("GET /v1/log-read", s.withFault(s.handleRead))
	mux.HandleFunc("GET /v1/log-newest", s.withFault(s.handleNewest))
	s.server = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: 5 * time.Second,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.opened++
			return context.WithValue(ctx, connKey{}, s.opened)
		},
	}
	go func() { _ = s.server.Serve(l) }()
	return s, func() { _ = s.server.Close() }, nil
}

// Address returns the address (ip:port) on which the store listens.
func (s *Store) Address() string {
	return s.addr
}

// SetFault sets the fault of all requests that arrive from now on; NoFault ends it.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Silence makes the open connections silent for good: no request on them is answered, nor one that
// waits for records, and they are not closed. New ones work.
func (s *Store) Silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silenced = s.opened
}

// isSilent reports whether the connection of a request is silent.
func (s *Store) isSilent(r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	number, _ := r.Context().Value(connKey{}).(int)
	return number <= s.silenced
}

// answer calls a handler and sends its response, unless the connection is silent by then.
func (s *Store) answer(h http.HandlerFunc, w http.ResponseWriter, r *http.Request) {
	response := httptest.NewRecorder()
	h(response, r)
	if s.isSilent(r) {
		<-r.Context().Done()
		return
	}
	maps.Copy(w.Header(), response.Header())
	w.WriteHeader(response.Code)
	// The client may be gone by now.
	_, _ = w.Write(response.Body.Bytes())
}

// Calls returns the number of requests that have arrived, failed ones included.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put appends a record to the named topic directly, as an operator's tool would.
// The key has at most 255 bytes; an empty value deletes it.
func (s *Store) Put(name, key string, value []byte) {
	record := append([]byte{byte(len(key))}, key...)
	s.append(name, append(record, value...))
}

// Trim drops all records of the named topic but the last one, as the end of their
// retention would.
func (s *Store) Trim(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if n := len(t.records); n > 1 {
		t.first += int64(n - 1)
		t.records = t.records[n-1:]
	}
}

// Copy is the content of a store at some time.
type Copy struct {
	topics map[string]topic
}

// Copy returns a copy of the content, for Restore.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Copy{
		topics: map[string]topic{},
	}
	for name, t := range s.topics {
		copied := *t
		copied.producers = maps.Clone(t.producers)
		c.topics[name] = copied
	}
	return c
}

// Restore replaces the content by a copy, as after the loss of a disk: what was written since
// is gone, and its offsets are given out again. Reads that wait get no response.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics = map[string]*topic{}
	for name, t := range c.topics {
		s.topics[name] = &topic{
			// The records of the copy stay as they are when others are appended here.
			records:   t.records[:len(t.records):len(t.records)],
			first:     t.first,
			producers: maps.Clone(t.producers),
		}
	}
	s.epoch++
	s.wake()
}

// Newest returns the newest value of a key in the named topic, or nil if the key
// has none.
func (s *Store) Newest(name, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest(name)[key]
}

// newest returns the newest value of each key of a topic. It must be called with
// s.mu held.
func (s *Store) newest(name string) map[string][]byte {
	out := map[string][]byte{}
	for _, r := range s.topic(name).records {
		keyEnd := 1 + int(r[0])
		key, value := string(r[1:keyEnd]), r[keyEnd:]
		if len(value) == 0 {
			delete(out, key)
			continue
		}
		out[key] = value
	}
	return out
}

// topic returns the named topic and creates it if needed. It must be called with
// s.mu held.
func (s *Store) topic(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{}
		s.topics[name] = t
	}
	return t
}

// append adds a record to a topic and returns the offset after it.
func (s *Store) append(name string, record []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appendLocked(name, record)
}

// appendLocked is append with s.mu held.
func (s *Store) appendLocked(name string, record []byte) int64 {
	t := s.topic(name)
	t.records = append(t.records, record)
	s.wake()
	return t.first + int64(len(t.records))
}

// execute executes an append and returns the offset after it. If the producer may not append
// it, why says so: "fenced" or "seq".
func (s *Store) execute(c appendCall) (end int64, why string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.producer == "" {
		return s.appendLocked(c.topic, c.record), ""
	}
	t := s.topic(c.topic)
	last, known := t.producers[c.producer]
	switch repeated, ok := last.ends[c.seq]; {
	case known && c.epoch < last.epoch:
		return 0, "fenced"
	case known && c.epoch == last.epoch && ok && c.seq > last.seq-rememberedAppends:
		return repeated, ""
	case known && c.epoch == last.epoch && c.seq != last.seq+1:
		return 0, "seq"
	}
	end = s.appendLocked(c.topic, c.record)
	ends := map[int64]int64{}
	if c.epoch == last.epoch {
		maps.Copy(ends, last.ends)
	}
	ends[c.seq] = end
	if t.producers == nil {
		t.producers = map[string]producer{}
	}
	t.producers[c.producer] = producer{
		epoch: c.epoch,
		seq:   c.seq,
		ends:  ends,
	}
	return end, ""
}

// Late returns the number of appends that wait for ExecuteLate.
func (s *Store) Late() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.late)
}

// ExecuteLate executes the appends that arrived under the fault ExecutedLate.
func (s *Store) ExecuteLate() {
	s.mu.Lock()
	late := s.late
	s.late = nil
	s.mu.Unlock()
	for _, c := range late {
		s.execute(c)
	}
}

// wake makes the long polls look again. It must be called with s.mu held.
func (s *Store) wake() {
	close(s.appended)
	s.appended = make(chan struct{})
}

// withFault wraps a handler with the fault in force when a request arrives.
func (s *Store) withFault(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls++
		fault := s.fault
		w.Header().Set("Store-Era", strconv.FormatInt(s.epoch, 10))
		s.mu.Unlock()
		if s.isSilent(r) {
			<-r.Context().Done()
			return
		}
		switch fault {
		case Unavailable:
			w.WriteHeader(http.StatusServiceUnavailable)
		case NoResponse:
			<-r.Context().Done()
		case ExecutedLate:
			if c, err := decodeAppend(r); err == nil {
				s.mu.Lock()
				s.late = append(s.late, c)
				s.mu.Unlock()
			}
			<-r.Context().Done()
		case ResponseLost:
			h(&discardWriter{header: http.Header{}}, r)
			// The server closes the connection without a response and logs nothing.
			panic(http.ErrAbortHandler)
		default:
			s.answer(h, w, r)
		}
	}
}

// discardWriter discards a response.
type discardWriter struct {
	header http.Header
}

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d *discardWriter) WriteHeader(int)             {}

// errMalformedAppend is the error of an append whose record or query can't be decoded.
var errMalformedAppend = errors.New("malformed append")

// decodeAppend decodes an append: one record in the body, after its length as 4 bytes, big
// endian, and in the query the topic and at most a producer with its epoch and sequence number.
func decodeAppend(r *http.Request) (appendCall, error) {
	query := r.URL.Query()
	c := appendCall{
		topic:    query.Get("topic"),
		producer: query.Get("producer"),
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) < 4 || int(binary.BigEndian.Uint32(body)) != len(body)-4 {
		return c, errMalformedAppend
	}
	c.record = body[4:]
	if c.producer == "" {
		return c, nil
	}
	var epochErr, seqErr error
	c.epoch, epochErr = strconv.ParseInt(query.Get("epoch"), 10, 64)
	c.seq, seqErr = strconv.ParseInt(query.Get("seq"), 10, 64)
	return c, errors.Join(epochErr, seqErr)
}

// handleAppend executes an append. It responds with status 409 to one that its producer may
// not append.
func (s *Store) handleAppend(w http.ResponseWriter, r *http.Request) {
	c, err := decodeAppend(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	end, why := s.execute(c)
	if why != "" {
		w.WriteHeader(http.StatusConflict)
		writeJSON(w, map[string]any{"why": why})
		return
	}
	writeJSON(w, map[string]any{
		"offset":     end - 1,
		"end_offset": end,
	})
}

// handleNewest returns the newest value of each key of a topic.
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
	writeJSON(w, map[string]any{
		"items":      items,
		"has_more":   false,
		"end_offset": end,
	})
}

// handleRead returns the records of a topic from an offset on. Where there are
// none it waits for the next append, for wait_ms at most (long poll). It responds
// with status 410 and the first offset kept if the offset is before that or after the end.
func (s *Store) handleRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, fromErr := strconv.ParseInt(query.Get("from"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("wait_ms"))
	if fromErr != nil || waitErr != nil {
		http.Error(w, "from and wait_ms are numbers", http.StatusBadRequest)
		return
	}
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	epoch := s.epoch
	s.mu.Unlock()
	for {
		s.mu.Lock()
		restored := s.epoch != epoch
		t := s.topic(query.Get("topic"))
		first, end, appended := t.first, t.first+int64(len(t.records)), s.appended
		var records [][]byte
		if from >= first && from < end {
			records = t.records[from-first:]
		}
		s.mu.Unlock()
		if restored {
			panic(http.ErrAbortHandler)
		}
		if from < first || from > end {
			w.WriteHeader(http.StatusGone)
			writeJSON(w, map[string]any{"first_offset": first})
			return
		}
		if len(records) > 0 {
			writeRecords(w, records, first, end)
			return
		}
		select {
		case <-appended:
		case <-deadline:
			writeRecords(w, nil, first, end)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// writeRecords writes the end offset and the first offset of a topic, 8 bytes
// each, then the records, each after its length in 4 bytes, all big endian.
func writeRecords(w http.ResponseWriter, records [][]byte, first, end int64) {
	out := binary.BigEndian.AppendUint64(nil, uint64(end))
	out = binary.BigEndian.AppendUint64(out, uint64(first))
	for _, r := range records {
		out = binary.BigEndian.AppendUint32(out, uint32(len(r)))
		out = append(out, r...)
	}
	_, _ = w.Write(out)
}

// writeJSON writes a value as the JSON body of a response.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
