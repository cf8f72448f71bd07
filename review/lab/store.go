package lab

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeDelay is the time that the platform's store takes for an answer.
const storeDelay = 4 * time.Millisecond

// Store is a stand-in for the platform's store: keyed topics with one partition each.
type Store struct {
	address string
	server  *http.Server

	mu     sync.Mutex
	topics map[string]*topic
	grown  chan struct{}
	// refusing makes the store reject all calls with status 503, refused those to some of its
	// addresses.
	refusing bool
	refused  map[string]bool
}

type topic struct {
	records   [][]byte
	producers map[string]*producer
}

type producer struct {
	epoch, seq int64
	offsets    map[int64]int64
}

// NewStore starts a store on an address (ip:port).
func NewStore(address string) (*Store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Store{
		address: l.Addr().String(),
		topics:  map[string]*topic{},
		grown:   make(chan struct{}),
		refused: map[string]bool{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log-append", s.guard(s.appendRecord))
	mux.HandleFunc("GET /v1/log-read", s.guard(s.read))
	mux.HandleFunc("GET /v1/log-newest", s.guard(s.newest))
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// Listen makes the store listen on another address (ip:port) as well, and returns it.
func (s *Store) Listen(address string) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	go func() { _ = s.server.Serve(l) }()
	return l.Addr().String(), nil
}

// RefuseAt makes the store reject the calls to the given addresses with status 503, and no others.
func (s *Store) RefuseAt(addresses ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused = map[string]bool{}
	for _, a := range addresses {
		s.refused[a] = true
	}
}

// Address returns the address of the store.
func (s *Store) Address() string { return s.address }

// Close stops the store.
func (s *Store) Close() { _ = s.server.Close() }

// Refuse makes the store reject all calls with status 503, or ends that.
func (s *Store) Refuse(refusing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusing = refusing
}

func (s *Store) guard(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeDelay)
		s.mu.Lock()
		local, _ := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
		refusing := s.refusing || local != nil && s.refused[local.String()]
		s.mu.Unlock()
		if refusing {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		h(w, r)
	}
}

// Put writes a record as the operator does.
func (s *Store) Put(name, key string, value []byte) {
	record := append([]byte{byte(len(key))}, key...)
	record = append(record, value...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(name, record)
}

// Newest returns the newest value of a key, nil if there is none.
func (s *Store) Newest(name, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.values(name)[key]
}

func (s *Store) add(name string, record []byte) int64 {
	t := s.topic(name)
	t.records = append(t.records, record)
	close(s.grown)
	s.grown = make(chan struct{})
	return int64(len(t.records)) - 1
}

func (s *Store) topic(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{producers: map[string]*producer{}}
		s.topics[name] = t
	}
	return t
}

func (s *Store) values(name string) map[string][]byte {
	out := map[string][]byte{}
	for _, r := range s.topic(name).records {
		end := 1 + int(r[0])
		if len(r) == end {
			delete(out, string(r[1:end]))
			continue
		}
		out[string(r[1:end])] = r[end:]
	}
	return out
}

func (s *Store) appendRecord(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) < 4 || int(binary.BigEndian.Uint32(body)) != len(body)-4 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	name := q.Get("topic")
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	t := s.topic(name)
	if q.Get("producer") == "" {
		offset := s.add(name, body[4:])
		reply(w, http.StatusOK, map[string]any{"offset": offset, "end_offset": offset + 1})
		return
	}
	epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64)
	seq, _ := strconv.ParseInt(q.Get("seq"), 10, 64)
	p, known := t.producers[q.Get("producer")]
	switch {
	case known && epoch < p.epoch:
		reply(w, http.StatusConflict, map[string]any{"why": "fenced"})
		return
	case known && epoch == p.epoch:
		if offset, repeated := p.offsets[seq]; repeated && seq > p.seq-5 {
			reply(w, http.StatusOK, map[string]any{"offset": offset, "end_offset": offset + 1})
			return
		}
		if seq != p.seq+1 {
			reply(w, http.StatusConflict, map[string]any{"why": "seq", "seq": p.seq + 1})
			return
		}
	default:
		p = &producer{epoch: epoch, offsets: map[int64]int64{}}
		t.producers[q.Get("producer")] = p
	}
	offset := s.add(name, body[4:])
	p.seq = seq
	p.offsets[seq] = offset
	reply(w, http.StatusOK, map[string]any{"offset": offset, "end_offset": offset + 1})
}

func (s *Store) newest(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("topic")
	s.mu.Lock()
	values := s.values(name)
	end := len(s.topic(name).records)
	s.mu.Unlock()
	keys := make([]string, 0, len(values))
	for k := range values {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	items := []map[string]any{}
	for _, k := range keys {
		items = append(items, map[string]any{"key": k, "value": base64.StdEncoding.EncodeToString(values[k])})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "end_offset": end})
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		records := s.topic(q.Get("topic")).records
		grown := s.grown
		s.mu.Unlock()
		if from < len(records) {
			writeRecords(w, records[from:], len(records))
			return
		}
		select {
		case <-grown:
		case <-deadline:
			writeRecords(w, nil, len(records))
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeRecords(w http.ResponseWriter, records [][]byte, end int) {
	out := binary.BigEndian.AppendUint64(nil, uint64(end))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, r := range records {
		out = binary.BigEndian.AppendUint32(out, uint32(len(r)))
		out = append(out, r...)
	}
	_, _ = w.Write(out)
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
