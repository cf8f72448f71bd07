package lab

import (
	"sort"
	"strings"
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

// JudgeTwice checks TWICE and REFUSED for non-idempotent requests.
func (f *Fleet) JudgeTwice(service string) (broken bool) {
	ran := map[string]int{}
	for _, s := range f.Servers() {
		if s.vm.Service != service {
			continue
		}
		for _, r := range s.Runs() {
			ran[r.Attempt]++
		}
	}
	twice, refused := 0, 0
	for _, a := range f.Answers() {
		if ran[a.Attempt] > 1 {
			twice++
			f.Logf("TWICE: %s ran %d times", a.Attempt, ran[a.Attempt])
		}
		if (a.Status == 429 || a.Status == 503 || a.Status == 408 || a.Status == 421) && ran[a.Attempt] > 0 {
			refused++
			f.Logf("REFUSED: %s was answered %d and has run", a.Attempt, a.Status)
		}
	}
	f.Logf("%d requests ran twice, %d ran although they were refused", twice, refused)
	return twice+refused > 0
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

// JudgeLost checks LOST: a machine in touch passes requests from kept connections on to a server
// and closes these connections without an answer, more than three times. except is left out.
func (f *Fleet) JudgeLost(vm *VM, except string) (broken bool) {
	ran := map[string]bool{}
	for _, s := range f.Servers() {
		for _, r := range s.Runs() {
			ran[r.Attempt] = !r.Broken
		}
	}
	lost, answered := 0, 0
	for _, a := range f.Answers() {
		switch {
		case a.VM != vm || a.Attempt == except:
		case a.Status == 0 && ran[a.Attempt]:
			lost++
		case a.Status == 200:
			answered++
		}
	}
	f.Logf("LOST: %d requests of %s were passed on to a sound server and their connection closed without an answer (3 are allowed), %d were answered", lost, vm.Name, answered)
	return lost > 3
}

// JudgeMixed checks the part of MIXED on successes: each bears the server's proof and its whole
// body.
func (f *Fleet) JudgeMixed() (broken bool) {
	successes, wrong := 0, 0
	for _, a := range f.Answers() {
		if a.Status < 200 || a.Status > 299 {
			continue
		}
		successes++
		if a.Signature == "proof-of-"+a.Attempt && strings.HasSuffix(a.Body, " ran "+a.Attempt) {
			continue
		}
		wrong++
		if wrong <= 3 {
			f.Logf("MIXED: %s was answered %d, signature %q, body %q", a.Attempt, a.Status, a.Signature, a.Body)
		}
	}
	f.Logf("%d requests were answered with success, %d of them without the server's signature or its whole body", successes, wrong)
	return wrong > 0
}
