// Package kit2 holds the stand-ins that the cases 6 to 10 share: the platform's store,
// servers, clients, and the start and stop of nodes. They follow the users' pages; no code
// of the project is used.
package kit2

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

// Store is the platform's store: keyed topics with one partition each (PROTOCOL.md, "The
// platform's metadata store").
type Store struct {
	Address string
	mu      sync.Mutex
	topics  map[string]*topic
	news    chan struct{}
	era     int
	away    bool
}

type topic struct {
	records   [][]byte
	producers map[string]*producer
}

type producer struct {
	epoch, seq int64
	answers    map[int64]int64
}

// NewStore starts a store on an address.
func NewStore(address string) (*Store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Store{
		Address: address,
		topics:  map[string]*topic{},
		news:    make(chan struct{}),
		era:     1,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log-append", s.serveAppend)
	mux.HandleFunc("GET /v1/log-read", s.serveRead)
	mux.HandleFunc("GET /v1/log-newest", s.serveNewest)
	go func() { _ = http.Serve(l, s.present(mux)) }()
	return s, nil
}

// present passes calls on while the store is not away, and closes their connections else.
func (s *Store) present(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		away, era := s.away, s.era
		s.mu.Unlock()
		if away {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Store-Era", strconv.Itoa(era))
		next.ServeHTTP(w, r)
	})
}

// Copy is the content of a store at some time.
type Copy map[string][][]byte

// Copy returns a copy of the content.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Copy{}
	for name, t := range s.topics {
		c[name] = append([][]byte{}, t.records...)
	}
	return c
}

// Leave makes the store go away: it answers nothing, calls that wait included.
func (s *Store) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	close(s.news)
	s.news = make(chan struct{})
}

// Return makes the store come back with the content of a copy, in the next era. Producers start
// anew, since the copy is of before their last appends.
func (s *Store) Return(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics = map[string]*topic{}
	for name, records := range c {
		s.topics[name] = &topic{records: records, producers: map[string]*producer{}}
	}
	s.away = false
	s.era++
}

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{producers: map[string]*producer{}}
		s.topics[name] = t
	}
	return t
}

// Put writes a keyed record as the operator does.
func (s *Store) Put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(s.topic(name), append(append([]byte{byte(len(key))}, key...), value...))
}

func (s *Store) add(t *topic, record []byte) int64 {
	t.records = append(t.records, record)
	close(s.news)
	s.news = make(chan struct{})
	return int64(len(t.records))
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records [][]byte
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 {
			break
		}
		records = append(records, body[4:4+n])
		body = body[4+n:]
	}
	q := r.URL.Query()
	epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64)
	seq, _ := strconv.ParseInt(q.Get("seq"), 10, 64)
	time.Sleep(2 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(q.Get("topic"))
	first := int64(len(t.records))
	if name := q.Get("producer"); name != "" {
		p := t.producers[name]
		switch {
		case p != nil && epoch < p.epoch:
			reply(w, http.StatusConflict, map[string]any{"why": "fenced"})
			return
		case p != nil && epoch == p.epoch && seq <= p.seq && seq > p.seq-5:
			reply(w, http.StatusOK, map[string]any{"offset": p.answers[seq], "end_offset": p.answers[seq] + 1})
			return
		case p != nil && epoch == p.epoch && seq != p.seq+1:
			reply(w, http.StatusConflict, map[string]any{"why": "seq", "seq": p.seq + 1})
			return
		case p == nil || epoch > p.epoch:
			p = &producer{epoch: epoch, answers: map[int64]int64{}}
			t.producers[name] = p
		}
		p.seq = seq
		p.answers[seq] = first
	}
	for _, record := range records {
		s.add(t, record)
	}
	reply(w, http.StatusOK, map[string]any{"offset": first, "end_offset": int64(len(t.records))})
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		records, news, away := s.topic(q.Get("topic")).records, s.news, s.away
		s.mu.Unlock()
		if away {
			panic(http.ErrAbortHandler)
		}
		if from > int64(len(records)) {
			reply(w, http.StatusGone, map[string]any{"first_offset": 0})
			return
		}
		expired := false
		if from == int64(len(records)) {
			select {
			case <-news:
				continue
			case <-end:
				expired = true
			case <-r.Context().Done():
				return
			}
		}
		out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
		out = binary.BigEndian.AppendUint64(out, 0)
		if !expired {
			for _, record := range records[from:] {
				out = binary.BigEndian.AppendUint32(out, uint32(len(record)))
				out = append(out, record...)
			}
		}
		_, _ = w.Write(out)
		return
	}
}

func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	records := s.topic(r.URL.Query().Get("topic")).records
	s.mu.Unlock()
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	newest := map[string]item{}
	for i, record := range records {
		end := 1 + int(record[0])
		key, value := string(record[1:end]), record[end:]
		if len(value) == 0 {
			delete(newest, key)
			continue
		}
		newest[key] = item{Key: key, Value: base64.StdEncoding.EncodeToString(value), Offset: i}
	}
	items := []item{}
	for _, it := range newest {
		items = append(items, it)
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "end_offset": len(records)})
}
