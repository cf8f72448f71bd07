package main

import (
	"errors"
	"net/http"
	"time"
)

func init() { cases["reopen"] = reopen }

const (
	// crashTime is how long the server is down after its crash.
	crashTime = 1 * time.Second
	// lateBy is how long after the DELETE the late status reports arrive.
	lateBy = 1500 * time.Millisecond
)

// reopen has a server crash and start again under its ID. Some seconds later it leaves: it sends DELETE, and two
// status reports that it sent before arrive late. Requests must not reach it later than the drain time after the
// confirmation.
func reopen(r *rig) (string, error) {
	r.configure(1, []route{{name: "check", service: "quota", kind: "idempotent", timeout: 2 * time.Second}}, []tenant{{name: "acme"}})
	places := []place{{"a", "quota"}, {"a", "permits"}, {"b", "quota"}, {"b", "permits"}, {"c", "quota"}, {"c", "permits"}}
	if err := r.start(places); err != nil {
		return "", err
	}
	m := r.machines[0]
	time.Sleep(stabilityWindow)
	if r.trouble {
		m.server.crash()
		r.note("%s: crashed; it sends nothing", m.server.id)
		time.Sleep(crashTime)
		if err := m.server.restart(); err != nil {
			return "", err
		}
		r.note("%s: started again under its ID, born %d", m.server.id, m.server.born)
	}
	time.Sleep(4 * heartbeat)
	m.server.mute()
	first := m.server.report()
	r.note("%s: sends a status report, which will arrive late: %s", m.server.id, first)
	time.Sleep(heartbeat)
	second := m.server.report()
	r.note("%s: sends a status report, which will arrive late: %s", m.server.id, second)
	time.Sleep(heartbeat / 2)
	confirmed, ok := m.server.leave()
	if !ok {
		return "", errors.New("DELETE not confirmed")
	}
	r.note("%s: DELETE confirmed with 200; it goes on serving", m.server.id)
	time.Sleep(lateBy)
	for _, late := range [][]byte{first, second} {
		status := m.server.send(late)
		r.note("%s: a late status report arrives, %.1f s after the DELETE; answer %d", m.server.id, time.Since(confirmed).Seconds(), status)
	}
	time.Sleep(time.Until(confirmed.Add(drainTime + 500*time.Millisecond)))
	return r.checkDrained(m, confirmed)
}

// checkDrained sends requests to all nodes and checks that none reaches the server of a machine.
func (r *rig) checkDrained(m *machine, confirmed time.Time) (string, error) {
	client := newClient()
	sent := newLedger()
	from := time.Now()
	const requests = 120
	for i := range requests {
		at := r.machines[i%len(r.machines)]
		e := at.do(client, http.MethodGet, "/check/x", "key-acme", 2*time.Second, "")
		sent.add(e)
		r.note("request %s sent to %s %.2f s after the confirmation: answer %d %s", e.id, at.name, e.at.Sub(confirmed).Seconds(), e.status, e.body)
		time.Sleep(10 * time.Millisecond)
	}
	statuses := map[int]int{}
	for _, e := range sent.all() {
		statuses[e.status]++
	}
	r.note("%d requests were sent from %.1f s after the confirmation on; answers by status: %v", requests, from.Sub(confirmed).Seconds(), statuses)
	reached := 0
	for _, a := range m.server.runs() {
		if _, ok := sent.get(a.attempt); ok {
			reached++
			r.note("request %s ran at %s, %.2f s after the confirmation that it left", a.attempt, m.server.id, a.at.Sub(confirmed).Seconds())
		}
	}
	r.note("%d of them ran at %s", reached, m.server.id)
	if statuses[http.StatusOK] < requests*3/4 {
		return "", errors.New("the other servers did not serve")
	}
	if reached > 0 {
		return "requests reached a server whose leaving was confirmed", nil
	}
	return "", nil
}
