// Command 9 is the case "a node that ends drops requests that wait for a server, unanswered".
package main

import (
	"errors"
	"strings"
	"time"

	"review/kit2"
)

const config = `{"version":3,"routes":[
{"name":"r-view","host":"stock.example","path_prefix":"/view/","kind":"idempotent","timeout_ms":6000,"target_latency_ms":1500,"priority":2,"service":"stock","max_attempts":2,"public":false}],
"services":[{"name":"shop","health_path":"/health","max_conns":448},{"name":"stock","health_path":"/health","max_conns":142}],
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"pulo780","api_keys":["key-1"],"priority":1,"rate_per_s":0,"burst":0}],"base_version":2}`

const (
	// perSecond requests are sent, each over a connection of its own. A server with 7 slots
	// completes half of them: each takes 2 s.
	perSecond = 8
	warmUp    = 12 * time.Second
	// sendFor is how long requests are sent after SIGTERM.
	sendFor = 4 * time.Second
	grace   = 6 * time.Second
	// lossSlack is loss_slack_ms.
	lossSlack = 200 * time.Millisecond
)

func main() {
	kit2.Main(play)
}

func play(f *kit2.Fleet) (bool, error) {
	err := f.Start(config, []kit2.Plan{
		{Name: "sidecar-praha-a-1", Zone: "praha-a", Service: "shop", Slots: 58},
		{Name: "sidecar-praha-b-1", Zone: "praha-b", Service: "stock", Slots: 7},
	})
	if err != nil {
		return false, err
	}
	front := f.Machine("sidecar-praha-a-1")
	if err := f.Wait("requests are served", 20*time.Second, func() bool {
		c := &kit2.Client{Machine: front}
		defer c.Close()
		status, _ := c.Do(spec())
		return status == 200
	}); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		load(front, stop)
	}()
	time.Sleep(warmUp)
	var termAt time.Time
	restarted := make(chan error, 1)
	if kit2.Trouble() {
		termAt = time.Now()
		go func() { restarted <- front.Restart() }()
	} else {
		restarted <- nil
	}
	time.Sleep(sendFor)
	close(stop)
	<-done
	if err := <-restarted; err != nil {
		return false, err
	}
	return judge(f, termAt)
}

func spec() kit2.Spec {
	return kit2.Spec{Method: "GET", Host: "stock.example", Path: "/view/w2000/", Key: "key-1", Budget: 6500 * time.Millisecond}
}

// load sends requests until stop is closed, and waits for their ends.
func load(m *kit2.Machine, stop chan struct{}) {
	tick := time.NewTicker(time.Second / perSecond)
	defer tick.Stop()
	sent := 0
	ended := make(chan struct{}, 1000)
	for open := true; open; {
		select {
		case <-tick.C:
			sent++
			go func() {
				c := &kit2.Client{Machine: m}
				c.Do(spec())
				c.Close()
				ended <- struct{}{}
			}()
		case <-stop:
			open = false
		}
	}
	for range sent {
		<-ended
	}
}

// judge counts the requests that the node took, passed on to no server, and did not answer.
func judge(f *kit2.Fleet, termAt time.Time) (bool, error) {
	lost, ok, refused, cutAtWork := 0, 0, 0, 0
	for _, q := range f.Record.Requests() {
		unanswered := q.Status == 0 && !strings.HasPrefix(q.Fate, "no connection") && !strings.Contains(q.Fate, "timeout")
		switch {
		case q.SentAt.IsZero():
		case q.Status == 200:
			ok++
		case q.Status != 0:
			refused++
		case unanswered && len(q.Runs) > 0:
			// The server was at work: excused up to 3 s after SIGTERM.
			cutAtWork++
		case unanswered && q.EndedAt.Sub(q.SentAt) > lossSlack && (termAt.IsZero() || q.SentAt.Before(termAt.Add(grace+time.Second))):
			lost++
			at := q.SentAt.Sub(termAt).Seconds()
			f.Record.Note("LOST: %s sent at SIGTERM %+.3f s, reached no server, connection ended %.3f s later: %s", q.ID, at, q.EndedAt.Sub(q.SentAt).Seconds(), q.Fate)
		}
	}
	f.Record.Note("requests answered 200: %d, answered otherwise: %d, cut while a server was at work: %d, taken and never answered nor passed on: %d", ok, refused, cutAtWork, lost)
	if ok < 20 {
		return false, errors.New("too few requests were served")
	}
	return lost > 0, nil
}
