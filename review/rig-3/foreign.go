package main

import (
	"encoding/json"
	"errors"
	"time"
)

func init() { cases["foreign"] = foreign }

// foreignAfter is how long after the confirmation the report of the other writer arrives.
const foreignAfter = 1 * time.Second

// foreign withdraws a server, after which another writer sends a status report about it that lacks fields.
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
		time.Sleep(foreignAfter)
		report, err := json.Marshal(map[string]any{
			"service": m.server.service,
			"address": m.address(portApp),
			"state":   "ready",
			"seq":     1,
			"born":    time.Now().UnixMilli(),
		})
		if err != nil {
			return "", err
		}
		r.note("another writer sends a status report about %s, with fields missing: %s: answer %d", m.server.id, report, m.server.send(report))
	}
	time.Sleep(time.Until(confirmed.Add(drainTime + 500*time.Millisecond)))
	return r.checkDrained(m, confirmed)
}
