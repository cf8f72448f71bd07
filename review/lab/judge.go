package lab

import (
	"sort"
	"time"
)

// Servers returns all boots of servers so far.
func (f *Fleet) Servers() []*Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Server{}, f.servers...)
}

// JudgeCaller checks UNASKED: each run bears the service of the machine where its request
// began, and each was sent by a client.
func (f *Fleet) JudgeCaller() (broken bool) {
	origin := map[string]*VM{}
	for _, a := range f.Answers() {
		origin[a.Attempt] = a.VM
	}
	runs, wrong := 0, 0
	for _, s := range f.Servers() {
		for _, r := range s.Runs() {
			runs++
			vm, sent := origin[r.Attempt]
			if !sent || r.Caller != vm.Service {
				wrong++
				if wrong <= 3 {
					f.Logf("UNASKED: %s ran on %s with caller-service %q", r.Attempt, s.ID, r.Caller)
				}
			}
		}
	}
	f.Logf("%d requests have run, %d of them with a caller service that is not that of their machine", runs, wrong)
	return wrong > 0
}

// JudgeDrain checks DRAIN for a server whose leaving was confirmed at acked: no request
// reaches it later than drain_ms, by machines in touch. disturbed is the last disturbance
// of a machine.
func (f *Fleet) JudgeDrain(server *Server, acked, disturbed time.Time) (broken bool) {
	from := acked.Add(DrainTime)
	if t := disturbed.Add(StabilityWindow); t.After(from) {
		from = t
	}
	statuses := map[string]int{}
	for _, a := range f.Answers() {
		statuses[a.Attempt] = a.Status
	}
	late, lost := 0, 0
	for _, r := range server.Runs() {
		// Requests that were sent before all machines were in touch are left out.
		if !r.At.After(from) {
			continue
		}
		late++
		if r.Broken && statuses[r.Attempt] != 200 {
			lost++
		}
	}
	f.Logf("DRAIN: %d requests reached server %s later than %d ms after its leaving was confirmed, %d of them were lost as it ended",
		late, server.ID, from.Sub(acked).Milliseconds(), lost)
	return late > 0
}

// JudgePoison checks the part of BUDGET on a request that crashes servers: later than
// stability_window_ms after it has crashed the third, it reaches servers in three retries at
// most.
func (f *Fleet) JudgePoison(body string) (broken bool) {
	var crashes []time.Time
	poison := map[string]bool{}
	for _, s := range f.Servers() {
		for _, r := range s.Runs() {
			if r.Body == body {
				crashes = append(crashes, r.At)
				poison[r.Attempt] = true
			}
		}
	}
	sort.Slice(crashes, func(i, j int) bool { return crashes[i].Before(crashes[j]) })
	lost := 0
	for _, s := range f.Servers() {
		for _, r := range s.Runs() {
			if r.Broken && !poison[r.Attempt] {
				lost++
			}
		}
	}
	if len(crashes) < 3 || !f.Trouble {
		f.Logf("BUDGET: the request ran %d times, %d other runs were cut", len(crashes), lost)
		return false
	}
	late := 0
	for _, c := range crashes {
		if c.After(crashes[2].Add(StabilityWindow)) {
			late++
		}
	}
	f.Logf("BUDGET: the request crashed %d servers, %d of them later than 4 s after the third (3 are allowed); %d other runs were cut", len(crashes), late, lost)
	return late > 3
}

// JudgeMoved checks the part of CONFIG on routes that have moved: no request sent later than bound
// after the confirmation is run by the old service.
func (f *Fleet) JudgeMoved(confirmed time.Time, bound time.Duration, old string) (broken bool) {
	sent := map[string]time.Time{}
	for _, a := range f.Answers() {
		sent[a.Attempt] = a.Sent
	}
	late, latest := 0, time.Duration(0)
	for _, s := range f.Servers() {
		for _, r := range s.Runs() {
			after := sent[r.Attempt].Sub(confirmed)
			if s.vm.Service != old {
				continue
			}
			latest = max(latest, after)
			if after > bound {
				late++
			}
		}
	}
	f.Logf("CONFIG: %d requests sent later than %d ms after the confirmation were run by the old service, the last one was sent %d ms after it", late, bound.Milliseconds(), latest.Milliseconds())
	return late > 0
}
