package main

import (
	"sync"
	"time"

	"fuchsiapier/lab/store"
)

func init() { cases["amnesia"] = amnesia }

// amnesia withdraws a server while the store is down, kills all processes at once, and delivers a status report
// late that the server sent before. Requests must not reach the server any more.
func amnesia(r *rig) (string, error) {
	r.configure(1, []route{{name: "check", service: "quota", kind: "idempotent", timeout: 2 * time.Second}}, []tenant{{name: "acme"}})
	places := []place{{"a", "quota"}, {"a", "permits"}, {"b", "quota"}, {"b", "permits"}, {"c", "quota"}, {"c", "permits"}}
	if err := r.start(places); err != nil {
		return "", err
	}
	left := r.machines[0]
	time.Sleep(stabilityWindow)
	// The report is sent now, and is on its way for some seconds.
	late := left.server.report()
	r.note("%s: status report %s is sent; it will arrive late", left.server.id, late)
	if r.trouble {
		r.store.SetFault(store.Unavailable)
		r.note("store: down")
	}
	time.Sleep(500 * time.Millisecond)
	confirmed, ok := left.server.leave()
	if !ok {
		r.note("%s: DELETE not confirmed", left.server.id)
		return "", nil
	}
	r.note("%s: DELETE confirmed with 200; it goes on serving", left.server.id)
	if r.trouble {
		var wg sync.WaitGroup
		for _, m := range r.machines {
			wg.Go(m.kill)
		}
		wg.Wait()
		time.Sleep(restartDelay)
		for _, m := range r.machines {
			if err := m.startNode(); err != nil {
				return "", err
			}
		}
		r.store.SetFault(store.NoFault)
		r.note("store: up again")
	}
	for _, m := range r.machines {
		if err := r.await(10*time.Second, "readiness of "+m.name, m.ready); err != nil {
			return "", err
		}
	}
	calm := time.Now()
	r.note("all nodes are ready")
	time.Sleep(time.Until(confirmed.Add(3500 * time.Millisecond)))
	status := left.server.send(late)
	r.note("%s: the late status report arrives, %.1f s after the DELETE; answer %d", left.server.id, time.Since(confirmed).Seconds(), status)
	time.Sleep(time.Until(calm.Add(stabilityWindow + time.Second)))
	return r.checkDrained(left, confirmed)
}
