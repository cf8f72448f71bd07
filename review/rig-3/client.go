package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// exchange is a request of a client and its answer.
type exchange struct {
	id     string
	at     time.Time
	took   time.Duration
	status int
	body   string
	header http.Header
	err    error
}

// newID returns the ID of a new client attempt.
func (r *rig) newID() string {
	return fmt.Sprintf("%016x", r.nextID.Add(1))
}

// newClient returns a client with kept connections.
func newClient() *http.Client {
	return &http.Client{
		Timeout: 10 * time.Second,
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 200,
			DisableCompression:  true,
			IdleConnTimeout:     10 * time.Second,
		},
	}
}

// do sends a request to the node of a machine.
func (m *machine) do(c *http.Client, method, path, key string, budget time.Duration, body string) exchange {
	e := exchange{
		id: m.rig.newID(),
		at: time.Now(),
	}
	req, err := http.NewRequest(method, "http://"+m.address(portOutbound)+path, strings.NewReader(body))
	if err != nil {
		e.err = err
		return e
	}
	req.Host = host
	req.Header.Set(headerAttempt, e.id)
	req.Header.Set(headerDeadline, fmt.Sprint(budget.Milliseconds()))
	if key != "" {
		req.Header.Set("Authorization", "Token "+key)
	}
	resp, err := c.Do(req)
	if err != nil {
		e.err = err
		e.took = time.Since(e.at)
		return e
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	e.status, e.body, e.header, e.err, e.took = resp.StatusCode, string(data), resp.Header, err, time.Since(e.at)
	return e
}

// ledger holds what clients sent, by ID.
type ledger struct {
	mu   sync.Mutex
	sent map[string]exchange
}

func newLedger() *ledger {
	return &ledger{
		sent: map[string]exchange{},
	}
}

func (l *ledger) add(e exchange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[e.id] = e
}

func (l *ledger) get(id string) (exchange, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.sent[id]
	return e, ok
}

// all returns all exchanges.
func (l *ledger) all() []exchange {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []exchange
	for _, e := range l.sent {
		out = append(out, e)
	}
	return out
}
