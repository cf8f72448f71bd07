package lab

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Answer is one client attempt and what came of it.
type Answer struct {
	Attempt  string
	VM       *VM
	Sent     time.Time
	Answered time.Time
	// Status is 0 where the connection ended without a complete answer.
	Status    int
	Signature string
	Body      string
	Err       string
}

// Request describes a client attempt.
type Request struct {
	Method   string
	Host     string
	Path     string
	Key      string
	Body     []byte
	Deadline time.Duration
}

// Send sends a request to the node of the client's machine and waits for the answer.
func (v *VM) Send(q Request) *Answer {
	f := v.fleet
	f.mu.Lock()
	f.next++
	a := &Answer{Attempt: fmt.Sprintf("a%06d", f.next), VM: v, Sent: time.Now()}
	f.answers = append(f.answers, a)
	f.mu.Unlock()
	f.Record("sent", "%s %s %s at %s bytes=%d", a.Attempt, q.Method, q.Path, v.Name, len(q.Body))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	ctx, cancel := context.WithTimeout(context.Background(), q.Deadline)
	defer cancel()
	status, signature, body, err := exchange(ctx, client, v, q, a.Attempt)
	f.mu.Lock()
	a.Answered = time.Now()
	a.Status, a.Signature, a.Body = status, signature, body
	if err != nil {
		a.Err = err.Error()
	}
	f.mu.Unlock()
	f.Record("answered", "%s status=%d signed=%v after %d ms %s", a.Attempt, status, signature != "", time.Since(a.Sent).Milliseconds(), a.Err)
	return a
}

func exchange(ctx context.Context, client *http.Client, v *VM, q Request, attempt string) (int, string, string, error) {
	var body io.Reader
	if q.Body != nil {
		body = bytes.NewReader(q.Body)
	}
	req, err := http.NewRequestWithContext(ctx, q.Method, "http://"+v.Addr(portOutbound)+q.Path, body)
	if err != nil {
		return 0, "", "", err
	}
	req.Host = q.Host
	req.Header.Set(HeaderAttempt, attempt)
	req.Header.Set(HeaderDeadline, fmt.Sprint(q.Deadline.Milliseconds()))
	if q.Key != "" {
		req.Header.Set("Authorization", "Token "+q.Key)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "", "", err
	}
	return resp.StatusCode, resp.Header.Get(HeaderSignature), string(data), nil
}

// Answers returns all attempts so far.
func (f *Fleet) Answers() []Answer {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]Answer, 0, len(f.answers))
	for _, a := range f.answers {
		out = append(out, *a)
	}
	return out
}

// Load sends requests at a machine, one each period, until stopped. Clients get no new work
// while the machine's node is not ready.
func (v *VM) Load(period time.Duration, q Request) (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		t := time.NewTicker(period)
		defer t.Stop()
		for {
			select {
			case <-done:
				return
			case <-t.C:
				if v.Out() {
					continue
				}
				wg.Add(1)
				go func() {
					defer wg.Done()
					v.Send(q)
				}()
			}
		}
	}()
	return func() {
		close(done)
		wg.Wait()
	}
}
