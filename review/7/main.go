// Command 7 is the case "a planned restart cuts requests that the node took long after SIGTERM".
package main

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"review/kit2"
)

const config = `{"version":3,"routes":[
{"name":"r-view","host":"stock.example","path_prefix":"/view/","kind":"idempotent","timeout_ms":4000,"target_latency_ms":1500,"priority":2,"service":"stock","max_attempts":2,"public":false}],
"services":[{"name":"shop","health_path":"/health","max_conns":694},{"name":"stock","health_path":"/health","max_conns":694}],
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"pulo780","api_keys":["key-1"],"priority":1,"rate_per_s":0,"burst":0}],"base_version":2}`

const (
	// clients is the number of connections; on each, ahead requests are under way at a time.
	clients = 8
	ahead   = 4
	// restartAt is when the node gets SIGTERM; clients send for sendFor.
	restartAt = 2 * time.Second
	sendFor   = 9 * time.Second
	// late is how long after SIGTERM a request is sent that the rule's excuse for servers that
	// are still at work no longer covers, grace the platform's grace_s.
	late  = 3 * time.Second
	grace = 6 * time.Second
)

func main() {
	kit2.Main(play)
}

func play(f *kit2.Fleet) (bool, error) {
	err := f.Start(config, []kit2.Plan{
		{Name: "sidecar-praha-a-1", Zone: "praha-a", Service: "shop", Slots: 99},
		{Name: "sidecar-brno-a-1", Zone: "brno-a", Service: "stock", Slots: 99},
		{Name: "sidecar-brno-a-2", Zone: "brno-a", Service: "stock", Slots: 99},
	})
	if err != nil {
		return false, err
	}
	front := f.Machine("sidecar-praha-a-1")
	probe := &kit2.Client{Machine: front}
	if err := f.Wait("requests are served", 20*time.Second, func() bool {
		status, _ := probe.Do(spec())
		return status == 200
	}); err != nil {
		return false, err
	}
	probe.Close()
	time.Sleep(5 * time.Second)
	until := time.Now().Add(sendFor)
	var termAt, exitAt time.Time
	restarted := make(chan error, 1)
	if kit2.Trouble() {
		go func() {
			time.Sleep(restartAt)
			termAt = time.Now()
			exited := front.Exited()
			go func() {
				<-exited
				exitAt = time.Now()
			}()
			restarted <- front.Restart()
		}()
	} else {
		restarted <- nil
	}
	kit2.Parallel(clients, func(int) {
		for time.Now().Before(until) {
			pipeline(f, front, until)
			time.Sleep(50 * time.Millisecond)
		}
	})
	if err := <-restarted; err != nil {
		return false, err
	}
	time.Sleep(500 * time.Millisecond)
	return judge(f, termAt, exitAt)
}

// judge counts the requests that were cut though nothing excuses it.
func judge(f *kit2.Fleet, termAt, exitAt time.Time) (bool, error) {
	answered, lost := 0, 0
	for _, q := range f.Record.Requests() {
		switch {
		case q.Status != 0:
			answered++
		case termAt.IsZero():
			if len(q.Runs) > 0 {
				lost++
				f.Record.Note("LOST: %s sent at %.3f ran, and was not answered: %s", q.ID, f.Record.Since(q.SentAt), q.Fate)
			}
		case q.SentAt.After(termAt.Add(late)) && q.SentAt.Before(termAt.Add(grace+time.Second)) && len(q.Runs) > 0:
			lost++
			f.Record.Note("LOST: %s sent %.3f s after SIGTERM, began to run at %s after %.3f s, connection ended after %.3f s: %s", q.ID,
				q.SentAt.Sub(termAt).Seconds(), q.Runs[0].Server, q.Runs[0].At.Sub(termAt).Seconds(), q.EndedAt.Sub(termAt).Seconds(), q.Fate)
		}
	}
	if !termAt.IsZero() {
		f.Record.Note("the process ended %.3f s after SIGTERM", exitAt.Sub(termAt).Seconds())
	}
	f.Record.Note("requests: %d, answered: %d, taken later than 3 s after SIGTERM, passed on and cut: %d", len(f.Record.Requests()), answered, lost)
	if answered < 100 {
		return false, errors.New("too few requests were answered")
	}
	return lost > 0, nil
}

func spec() kit2.Spec {
	return kit2.Spec{Method: "GET", Host: "stock.example", Path: "/view/w400/", Key: "key-1", Budget: 5 * time.Second}
}

// pipeline sends requests over one connection, ahead of them at a time, until a time or until an
// answer closes the connection. Those behind such an answer count as not read.
func pipeline(f *kit2.Fleet, m *kit2.Machine, until time.Time) {
	conn, err := net.DialTimeout("tcp", m.Out(), time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	var mu sync.Mutex
	var waiting []string
	room := make(chan struct{}, ahead)
	closed := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for time.Now().Before(until) {
			select {
			case room <- struct{}{}:
			case <-closed:
				return
			}
			id := f.NextID()
			mu.Lock()
			waiting = append(waiting, id)
			mu.Unlock()
			f.Record.Sent(id, m.Name, "GET "+spec().Path)
			if _, err := io.WriteString(conn, spec().Head(id)); err != nil {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	}()
	reader := bufio.NewReader(conn)
	for {
		mu.Lock()
		none := len(waiting) == 0
		mu.Unlock()
		if none {
			select {
			case <-done:
				return
			case <-time.After(5 * time.Millisecond):
				continue
			}
		}
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		resp, err := http.ReadResponse(reader, &http.Request{Method: "GET"})
		if err == nil {
			_, err = io.ReadAll(resp.Body)
		}
		mu.Lock()
		id := waiting[0]
		waiting = waiting[1:]
		mu.Unlock()
		fate := "ok"
		if err != nil {
			f.Record.Answered(id, 0, "connection ended: "+err.Error())
			fate = "connection ended, behind " + id
		} else {
			f.Record.Answered(id, resp.StatusCode, "whole answer")
			<-room
			if !resp.Close {
				continue
			}
			fate = "not read: behind an answer that closes the connection"
		}
		close(closed)
		<-done
		for _, id := range waiting {
			status := 0
			if err == nil {
				status = -1
			}
			f.Record.Answered(id, status, fate)
		}
		return
	}
}
