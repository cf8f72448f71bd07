// Package logd is a stand-in for the platform's append-only log: streams with
// offsets, long polls, retention, and fault injection. It keeps everything in
// memory.
package logd

import (
	"encoding/json"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"fuchsiapier/internal/conf/plog"
	"fuchsiapier/internal/conf/state"
)

// maxPageRecords bounds the number of records in one response.
const maxPageRecords = 500

// Faults are the injected faults, the body of a POST to /faults, which replaces
// the faults in force. The zero value injects none.
type Faults struct {
	// Outage refuses all requests to streams with status 503.
	Outage bool `json:"outage"`
	// LoseAnswers answers an append with status 504 although it takes effect, so
	// that its outcome is unknown to the client.
	LoseAnswers bool `json:"lose-answers"`
	// DelayMillis delays every request to a stream, in milliseconds, before it is
	// handled.
	DelayMillis int `json:"delay-millis"`
}

// stream is a named log.
type stream struct {
	// first is the offset of records[0], the lowest one retained.
	first   uint64
	records []state.Record
	// times are the times of the appends of records.
	times []time.Time
	// appended is closed and replaced at each append, which wakes the long polls.
	appended chan struct{}
}

// Service is a running stand-in for the log. It is safe for concurrent use.
type Service struct {
	mu        sync.Mutex
	streams   map[string]*stream
	retention time.Duration
	faults    Faults
}

// New returns a service without streams that keeps each record for the retention.
func New(retention time.Duration) *Service {
	return &Service{
		streams:   map[string]*stream{},
		retention: retention,
	}
}

// Handle serves /streams/{name} and /faults. A POST to a stream appends its body
// as a record, and a GET reads records from the offset in the query "from" on,
// waiting up to "wait-ms" milliseconds for one (long poll). A stream exists as
// soon as it is named. Any request to /faults replaces the faults.
func (s *Service) Handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if path == "/faults" {
		s.setFaults(ctx)
		return
	}
	name, ok := strings.CutPrefix(path, "/streams/")
	if !ok || name == "" {
		ctx.Error("unknown path; use /streams/{name}", fasthttp.StatusNotFound)
		return
	}
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	time.Sleep(time.Duration(faults.DelayMillis) * time.Millisecond)
	if faults.Outage {
		ctx.Error("outage", fasthttp.StatusServiceUnavailable)
		return
	}
	if ctx.IsPost() {
		offset := s.append(name, append([]byte(nil), ctx.PostBody()...))
		if faults.LoseAnswers {
			ctx.Error("answer lost", fasthttp.StatusGatewayTimeout)
			return
		}
		writeJSON(ctx, plog.AppendResult{
			Offset: offset,
		})
		return
	}
	from, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("from")), 10, 64)
	waitMillis, _ := strconv.Atoi(string(ctx.QueryArgs().Peek("wait-ms")))
	writeJSON(ctx, s.read(name, from, time.Duration(waitMillis)*time.Millisecond))
}

func (s *Service) setFaults(ctx *fasthttp.RequestCtx) {
	var f Faults
	if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
		ctx.Error("faults: "+err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// get returns the named stream and creates it if needed. It must be called with
// s.mu held.
func (s *Service) get(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = &stream{
			appended: make(chan struct{}),
		}
		s.streams[name] = st
	}
	return st
}

// append adds a record to a stream and returns its offset.
func (s *Service) append(name string, body []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.get(name)
	offset := st.first + uint64(len(st.records))
	st.records = append(st.records, state.Record{
		Offset: offset,
		Body:   body,
	})
	st.times = append(st.times, time.Now())
	close(st.appended)
	st.appended = make(chan struct{})
	return offset
}

// read returns the records of a stream from an offset on. Where there are none it
// waits for the next append, for the given time at most.
func (s *Service) read(name string, from uint64, wait time.Duration) plog.Page {
	deadline := time.After(wait)
	for {
		s.mu.Lock()
		st := s.get(name)
		st.trim(time.Now().Add(-s.retention))
		page := st.page(from)
		appended := st.appended
		s.mu.Unlock()
		if len(page.Records) > 0 || wait <= 0 {
			return page
		}
		select {
		case <-appended:
		case <-deadline:
			return page
		}
	}
}

// trim drops the records appended before oldest.
func (st *stream) trim(oldest time.Time) {
	n := 0
	for n < len(st.records) && st.times[n].Before(oldest) {
		n++
	}
	st.records = st.records[n:]
	st.times = st.times[n:]
	st.first += uint64(n)
}

// page returns up to maxPageRecords records from an offset on, or from the lowest one
// retained if that is higher.
func (st *stream) page(from uint64) plog.Page {
	p := plog.Page{
		First: st.first,
		Next:  st.first + uint64(len(st.records)),
	}
	from = max(from, st.first)
	if from >= p.Next {
		return p
	}
	records := st.records[from-st.first:]
	p.Records = records[:min(len(records), maxPageRecords)]
	return p
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
