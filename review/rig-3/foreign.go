package main

import (
	"encoding/json"
	"errors"
	"time"
)

func init() { cases["foreign"] = foreign }

// foreign withdraws a server, after which another writer sends status reports about it that lack a field.
func foreign(r *rig) (string, error) {
	r.configure(1, []route{{name: "check", service: "quota", kind: "idempotent", timeout: 2 * time.Second}}, []tenant{{name: "acme"}})
	places := []place{{"a", "quota"}, {"a", "permits"}, {"b", "quota"}, {"b", "permits"}, {"c", "quota"}, {"c", "permits"}}
	if err := r.start(places); err != nil {
		return "", err
	}
	m := r.machines[0]
	time.Sleep(stabilityWindow)
	confirmed, ok := m.server.leave()
	if !ok {
		return "", errors.New("DELETE not confirmed")
	}
	r.note("%s: DELETE confirmed with 200; it goes on serving", m.server.id)
	if r.trouble {
		for range 2 {
			time.Sleep(heartbeat - 300*time.Millisecond)
			var fields map[string]any
			if err := json.Unmarshal(m.server.report(), &fields); err != nil {
				return "", err
			}
			delete(fields, "born")
			report, err := json.Marshal(fields)
			if err != nil {
				return "", err
			}
			r.note("another writer sends a status report about %s without a field: %s: answer %d", m.server.id, report, m.server.send(report))
		}
	}
	time.Sleep(time.Until(confirmed.Add(drainTime + 500*time.Millisecond)))
	return r.checkDrained(m, confirmed)
}
