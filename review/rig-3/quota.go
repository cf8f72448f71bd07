package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"fuchsiapier/internal/mesh/rank"
)

func init() { cases["quota"] = quota }

// Bounds of the quota, as the users' sheets name them.
const (
	quotaWindow    = 5 * time.Second
	quotaTolerance = 0.1
	quotaSlack     = 20
)

// quota has a tenant ask for several times its limit while the node that holds the tenant's tokens is stopped
// and started again, as planned work: with SIGTERM.
func quota(r *rig) (string, error) {
	t := tenant{name: "acme", rate: 50, burst: 500}
	r.configure(1, []route{{name: "check", service: "quota", kind: "idempotent", timeout: 2 * time.Second}}, []tenant{t})
	places := []place{{"a", "quota"}, {"a", "permits"}, {"b", "quota"}, {"b", "permits"}, {"c", "quota"}, {"c", "permits"}}
	if err := r.start(places); err != nil {
		return "", err
	}
	var names []string
	for _, m := range r.machines {
		names = append(names, m.name)
	}
	owner := r.machines[slices.Index(names, rank.Best(t.name, names))]
	r.note("tenant %s: %v a second, burst %v; its tokens are held by %s", t.name, t.rate, t.burst, owner.name)
	first := newClient()
	for _, m := range r.machines {
		m.do(first, http.MethodGet, "/check/x", "key-acme", 2*time.Second, "")
	}
	time.Sleep(8 * time.Second)
	sent := newLedger()
	var wg sync.WaitGroup
	began := time.Now()
	for _, m := range r.machines {
		if m == owner {
			continue
		}
		for range 5 {
			wg.Go(func() {
				c := newClient()
				for time.Since(began) < 9*time.Second {
					sent.add(m.do(c, http.MethodGet, "/check/x", "key-acme", 2*time.Second, ""))
					time.Sleep(65 * time.Millisecond)
				}
			})
		}
	}
	r.note("the tenant asks for far more than its limit")
	if r.trouble {
		owner.signal(syscall.SIGTERM)
		if err := r.await(graceTime, "end of "+owner.name, owner.hasExited); err != nil {
			return "", err
		}
		r.note("%s: node has ended", owner.name)
		time.Sleep(restartDelay)
		if err := owner.startNode(); err != nil {
			return "", err
		}
	}
	wg.Wait()
	type sentRun struct{ sent, ran time.Time }
	var runs []sentRun
	for _, m := range r.machines {
		for _, a := range m.server.runs() {
			if e, ok := sent.get(a.attempt); ok && a.tenant == t.name {
				runs = append(runs, sentRun{sent: e.at, ran: a.at})
			}
		}
	}
	ranAt := map[string]arrival{}
	for _, m := range r.machines {
		for _, a := range m.server.runs() {
			ranAt[a.attempt] = a
		}
	}
	statuses := map[int]int{}
	for _, e := range sent.all() {
		statuses[e.status]++
		ran := "not run"
		if a, ok := ranAt[e.id]; ok {
			ran = fmt.Sprintf("ran at %.3f", a.at.Sub(began).Seconds())
		}
		r.note("request %s sent at %.3f: answer %d, %s", e.id, e.at.Sub(began).Seconds(), e.status, ran)
	}
	r.note("answers by status: %v; %d requests ran", statuses, len(runs))
	perSecond := make([]int, 12)
	for _, x := range runs {
		perSecond[int(x.ran.Sub(began).Seconds())]++
	}
	r.note("runs in each second from the begin of the load: %v", perSecond)
	limit := (t.rate*quotaWindow.Seconds()+t.burst)*(1+quotaTolerance) + quotaSlack
	most, at := 0, time.Time{}
	for _, w := range runs {
		n := 0
		for _, x := range runs {
			if !x.sent.Before(w.sent) && !x.ran.After(w.sent.Add(quotaWindow)) {
				n++
			}
		}
		if n > most {
			most, at = n, w.sent
		}
	}
	r.note("most requests in %v: %d, from %.2f s after the begin of the load; allowed %.0f", quotaWindow, most, at.Sub(began).Seconds(), limit)
	if float64(most) > limit {
		return fmt.Sprintf("%d requests of the tenant ran in %v, allowed %.0f", most, quotaWindow, limit), nil
	}
	return "", nil
}
