// Command 6 is the case "a planned restart of a node makes a request run twice".
package main

import (
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"review/kit2"
)

const config = `{"version":3,"routes":[
{"name":"r-book","host":"stock.example","path_prefix":"/book/","kind":"non_idempotent","timeout_ms":6000,"target_latency_ms":1500,"priority":0,"service":"stock","max_attempts":2,"public":false}],
"services":[{"name":"shop","health_path":"/health","max_conns":694},{"name":"stock","health_path":"/health","max_conns":694}],
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"pulo780","api_keys":["key-1"],"priority":1,"rate_per_s":0,"burst":0}],"base_version":2}`

const (
	// roundsUntil is when the last restart of the node begins at the latest; a round takes some 9 s.
	roundsUntil = 100 * time.Second
	// clients send one request after the other.
	clients = 24
	// longs is how many requests of a round take 5 s, all others no time.
	longs    = 250
	longPath = "/book/w5000/"
)

func main() {
	kit2.Main(play)
}

func play(f *kit2.Fleet) (bool, error) {
	err := f.Start(config, []kit2.Plan{
		{Name: "sidecar-praha-a-1", Zone: "praha-a", Service: "shop", Slots: 169},
		{Name: "sidecar-praha-a-2", Zone: "praha-a", Service: "stock", Slots: 169},
		{Name: "sidecar-brno-a-1", Zone: "brno-a", Service: "stock", Slots: 169},
	})
	if err != nil {
		return false, err
	}
	front, restarted := f.Machine("sidecar-praha-a-1"), f.Machine("sidecar-praha-a-2")
	probe := &kit2.Client{Machine: front}
	works := func() bool {
		status, _ := probe.Do(spec("/book/w2/probe"))
		return status == 200
	}
	if err := f.Wait("requests are served", 20*time.Second, works); err != nil {
		return false, err
	}
	broken := 0
	for began := time.Now(); time.Since(began) < roundsUntil; {
		if err := round(f, front, restarted); err != nil {
			return false, err
		}
		if broken = twice(f); broken > 0 {
			break
		}
	}
	answered := 0
	for _, q := range f.Record.Requests() {
		if q.Status == 200 {
			answered++
		}
	}
	f.Record.Note("requests: %d, answered 200: %d, ran more than once: %d", len(f.Record.Requests()), answered, broken)
	if answered < 1000 {
		return false, errors.New("too few requests were served")
	}
	return broken > 0, nil
}

// round sends requests through a restart of a node.
func round(f *kit2.Fleet, front, restarted *kit2.Machine) error {
	if err := f.Wait("the server beside the node runs requests", 10*time.Second, func() bool { return runs(f, restarted) }); err != nil {
		return err
	}
	var stop atomic.Bool
	done := make(chan struct{})
	go func() {
		defer close(done)
		kit2.Parallel(clients+longs, func(i int) {
			c := &kit2.Client{Machine: front}
			defer c.Close()
			if i >= clients {
				// This client waits for its turn with a long request.
				time.Sleep(300*time.Millisecond + time.Duration(rand.Int64N(int64(1800*time.Millisecond))))
				c.Do(spec(longPath))
				return
			}
			for !stop.Load() {
				c.Do(spec("/book/w0/"))
			}
		})
	}()
	time.Sleep(500 * time.Millisecond)
	if kit2.Trouble() {
		go func() {
			time.Sleep(2300 * time.Millisecond)
			stop.Store(true)
		}()
		if err := restarted.Restart(); err != nil {
			return err
		}
	} else {
		time.Sleep(2300 * time.Millisecond)
		stop.Store(true)
	}
	<-done
	return f.Wait("the node is ready again", 10*time.Second, restarted.Ready)
}

// runs sends requests through a node and reports whether its own server ran one of them.
func runs(f *kit2.Fleet, m *kit2.Machine) bool {
	c := &kit2.Client{Machine: m}
	defer c.Close()
	_, id := c.Do(spec("/book/w2/probe"))
	return f.Record.RanAt(id, m.Server.ID)
}

// twice returns how many requests ran more than once, and notes them.
func twice(f *kit2.Fleet) (n int) {
	for _, q := range f.Record.Requests() {
		if len(q.Runs) < 2 {
			continue
		}
		n++
		f.Record.Note("TWICE: %s (%s) sent to %s at %.3f, answered %d %s at %.3f", q.ID, q.What, q.Node, f.Record.Since(q.SentAt), q.Status, q.Fate, f.Record.Since(q.EndedAt))
		for _, r := range q.Runs {
			f.Record.Note("    ran at %s from %.3f to %.3f: %s", r.Server, f.Record.Since(r.At), f.Record.Since(r.EndAt), r.End)
		}
	}
	return n
}

func spec(path string) kit2.Spec {
	return kit2.Spec{Method: "POST", Host: "stock.example", Path: path, Key: "key-1", Budget: 6 * time.Second, Body: "cloth"}
}
