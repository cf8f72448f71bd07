// Command 10 is the case "a server that has left is in use again after a drill of the store".
package main

import (
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"review/kit2"
)

const config = `{"version":3,"routes":[
{"name":"r-view","host":"stock.example","path_prefix":"/view/","kind":"idempotent","timeout_ms":3000,"target_latency_ms":1500,"priority":2,"service":"stock","max_attempts":2,"public":false}],
"services":[{"name":"shop","health_path":"/health","max_conns":448},{"name":"stock","health_path":"/health","max_conns":448}],
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"pulo780","api_keys":["key-1"],"priority":1,"rate_per_s":0,"burst":0}],"base_version":2}`

const (
	// The store goes away awayAfter the departure was confirmed, for awayFor, and comes back from
	// a copy that was taken copyAge before the departure.
	copyAge   = 2 * time.Second
	awayAfter = time.Second
	awayFor   = 2500 * time.Millisecond
	// reportAge is how long after the departure a status report arrives that was sent just before.
	reportAge = 4600 * time.Millisecond
	// servesFor is how long the server goes on serving after its departure.
	servesFor = 14 * time.Second
	// drain is drain_ms, stability is stability_window_ms.
	drain     = 2500 * time.Millisecond
	stability = 4 * time.Second
)

func main() {
	kit2.Main(play)
}

func play(f *kit2.Fleet) (bool, error) {
	err := f.Start(config, []kit2.Plan{
		{Name: "sidecar-praha-a-1", Zone: "praha-a", Service: "shop", Slots: 58},
		{Name: "sidecar-praha-a-2", Zone: "praha-a", Service: "stock", Slots: 58},
		{Name: "sidecar-brno-a-1", Zone: "brno-a", Service: "stock", Slots: 58},
		{Name: "sidecar-ostrava-a-1", Zone: "ostrava-a", Service: "stock", Slots: 58},
	})
	if err != nil {
		return false, err
	}
	front, leaving := f.Machines[0], f.Machines[1]
	if err := f.Wait("requests are served", 20*time.Second, func() bool {
		c := &kit2.Client{Machine: front}
		defer c.Close()
		status, id := c.Do(spec())
		return status == 200 && f.Record.RanAt(id, leaving.Server.ID)
	}); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	var stop atomic.Bool
	done := make(chan struct{})
	go func() {
		defer close(done)
		kit2.Parallel(8, func(int) {
			c := &kit2.Client{Machine: front}
			defer c.Close()
			for !stop.Load() {
				c.Do(spec())
				time.Sleep(50 * time.Millisecond)
			}
		})
	}()
	time.Sleep(time.Second)
	copied := f.Store.Copy()
	time.Sleep(copyAge)
	leaving.Server.Silence()
	late := leaving.Server.Report()
	time.Sleep(50 * time.Millisecond)
	if status := leaving.Server.Delete(); status != 200 {
		return false, fmt.Errorf("departure not confirmed: %d", status)
	}
	leftAt := time.Now()
	f.Record.Note("the server %s has left: confirmed", leaving.Server.ID)
	// ONLY=drill and ONLY=restart leave one of the two disruptions out.
	drill, restart := kit2.Trouble() && os.Getenv("ONLY") != "restart", kit2.Trouble() && os.Getenv("ONLY") != "drill"
	go func() {
		time.Sleep(awayAfter)
		if drill {
			f.Record.Note("the store goes away")
			f.Store.Leave()
			time.Sleep(awayFor)
			f.Store.Return(copied)
			f.Record.Note("the store is back from a copy")
		}
	}()
	go func() {
		time.Sleep(time.Until(leftAt.Add(reportAge)))
		f.Record.Note("a status report of before the departure arrives: %d", leaving.Server.Send(late))
	}()
	restarted := make(chan error, 1)
	go func() {
		if restart {
			restarted <- leaving.Restart()
			return
		}
		restarted <- nil
	}()
	time.Sleep(servesFor)
	f.Record.Note("the server ends")
	stop.Store(true)
	<-done
	if err := <-restarted; err != nil {
		return false, err
	}
	// All machines are in touch again once the store has been stable for a while; the restart was
	// before it came back. Half a second is for the measurement.
	inTouch := leftAt.Add(awayAfter + awayFor + stability + 500*time.Millisecond)
	bad, ok, early := 0, 0, 0
	for _, q := range f.Record.Requests() {
		if q.Status == 200 {
			ok++
		}
		for _, r := range q.Runs {
			if r.Server != leaving.Server.ID || !r.At.After(leftAt.Add(drain)) {
				continue
			}
			if q.SentAt.Before(inTouch) {
				early++
				continue
			}
			if bad++; bad <= 10 {
				f.Record.Note("DRAIN: %s sent %.3f s after the confirmation reached %s", q.ID, q.SentAt.Sub(leftAt).Seconds(), r.Server)
			}
		}
	}
	f.Record.Note("requests answered 200: %d; runs at the server later than drain_ms after the confirmation: %d while machines are not in touch, %d afterwards", ok, early, bad)
	if ok < 200 {
		return false, errors.New("too few requests were served")
	}
	return bad > 0, nil
}

func spec() kit2.Spec {
	return kit2.Spec{Method: "GET", Host: "stock.example", Path: "/view/w5/", Key: "key-1", Budget: 4 * time.Second}
}
