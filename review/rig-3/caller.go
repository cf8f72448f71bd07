package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["caller"] = caller }

const (
	// reuseAfter is the time after which the address of a server that has ended may go to another service.
	reuseAfter = 2 * time.Second
	// reportsLateBy is by how much status reports arrive late.
	reportsLateBy = 3900 * time.Millisecond
)

// caller has a server crash and its address go to a server of another service. The last two status reports of the
// first server arrive late, after the second one has registered. Requests that begin on the machine must carry the
// name of the service that runs there.
func caller(r *rig) (string, error) {
	r.configure(1, []route{
		{name: "check", service: "quota", kind: "idempotent", timeout: 2 * time.Second},
		{name: "issue", service: "permits", kind: "non_idempotent", timeout: 2 * time.Second},
	}, []tenant{{name: "acme"}})
	places := []place{{"a", "quota"}, {"a", "permits"}, {"b", "quota"}, {"b", "permits"}, {"c", "quota"}, {"c", "permits"}}
	if err := r.start(places); err != nil {
		return "", err
	}
	m := r.machines[0]
	first, second := m.server, newServer(m, "i-reused", "permits")
	time.Sleep(stabilityWindow)
	first.mute()
	time.Sleep(heartbeat)
	sentAt := time.Now()
	late := [][]byte{first.report()}
	time.Sleep(heartbeat)
	late = append(late, first.report())
	time.Sleep(100 * time.Millisecond)
	r.note("%s: has sent two status reports, %v apart, which will arrive late: %s %s", first.id, heartbeat, late[0], late[1])
	runs := first
	if r.trouble {
		first.crash()
		r.note("%s: crashed; it sends nothing", first.id)
		time.Sleep(reuseAfter)
		m.server, runs = second, second
		second.born = time.Now().UnixMilli()
		if err := second.serve(); err != nil {
			return "", err
		}
		for range 2 {
			status := second.send(second.report())
			r.note("%s: registers at the same address for service %s: answer %d", second.id, second.service, status)
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(time.Until(sentAt.Add(reportsLateBy)))
	for _, l := range late {
		status := first.send(l)
		r.note("%s: a late status report arrives, %.1f s after the first of them was sent; answer %d", first.id, time.Since(sentAt).Seconds(), status)
	}
	client := newClient()
	sent := newLedger()
	for range 40 {
		e := m.do(client, http.MethodGet, "/check/x", "key-acme", 2*time.Second, "")
		sent.add(e)
		r.note("request %s sent to %s, where service %s runs: answer %d %s", e.id, m.name, runs.service, e.status, e.body)
		time.Sleep(20 * time.Millisecond)
	}
	wrong := 0
	for _, x := range r.machines {
		for _, a := range x.server.runs() {
			if _, ok := sent.get(a.attempt); !ok {
				continue
			}
			r.note("request %s ran at %s with caller %s", a.attempt, x.server.id, a.caller)
			if a.caller != runs.service {
				wrong++
			}
		}
	}
	if wrong > 0 {
		return fmt.Sprintf("%d requests ran with the name of a service that does not run on the machine where they began", wrong), nil
	}
	return "", nil
}
