package test

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"fuchsiapier/lab/backend"
)

// arrival is a request at a server, with the VM where it began.
type arrival struct {
	backend.Run
	origin *vm
}

// check returns the promises that were broken, by what callers and servers saw.
func (s *soak) check() []string {
	byServer := map[*backend.Backend][]backend.Run{}
	ranOn := map[string][]*vm{}
	for _, v := range s.vms {
		for _, server := range v.started {
			byServer[server] = server.Runs()
			for _, r := range byServer[server] {
				ranOn[r.Attempt] = append(ranOn[r.Attempt], v)
			}
		}
	}
	broken := s.checkAttempts(ranOn)
	callers := map[string]*vm{}
	for _, o := range s.sent {
		callers[o.id] = o.vm
	}
	broken = append(broken, s.checkCrashing(callers)...)
	broken = append(broken, s.checkDeparture()...)
	for server, runs := range byServer {
		var arrivals []arrival
		for _, r := range runs {
			if origin := originOf(r.Attempt, callers, ranOn); origin != nil {
				arrivals = append(arrivals, arrival{
					Run:    r,
					origin: origin,
				})
			}
		}
		broken = append(broken, s.checkLeaving(arrivals)...)
		for _, n := range s.namings {
			if n.server == server {
				broken = append(broken, s.checkLimit(n, arrivals)...)
			}
		}
	}
	return broken
}

// originOf returns the VM where an attempt began: that of the caller or, for a nested call,
// that of the server which made it, nil if two ran it.
func originOf(attempt string, callers map[string]*vm, ranOn map[string][]*vm) *vm {
	parent, nested := strings.CutSuffix(attempt, ".1")
	if !nested {
		return callers[attempt]
	}
	if on := ranOn[parent]; len(on) == 1 {
		return on[0]
	}
	return nil
}

// checkAttempts checks what callers got against what ran.
func (s *soak) checkAttempts(ranOn map[string][]*vm) (broken []string) {
	for _, o := range s.sent {
		ran := len(ranOn[o.id])
		switch {
		case o.wrong != "":
			broken = append(broken, fmt.Sprintf("%s got a response that is not its own: %s", o.id, o.wrong))
		case o.once && ran > 1:
			broken = append(broken, fmt.Sprintf("%s is not idempotent and ran %d times", o.id, ran))
		case o.once && ran > 0 && (o.status == http.StatusServiceUnavailable || o.status == http.StatusTooManyRequests):
			broken = append(broken, fmt.Sprintf("%s was answered %d and ran", o.id, o.status))
		case o.status == 0 && ran > 0 && !s.unplanned(o.vm, o.at):
			broken = append(broken, fmt.Sprintf("%s ran and got no response, sent at %s", o.id, o.at.Format("05.000")))
		case o.key == "key-2" && o.status == http.StatusOK && !s.withdrawnAt.IsZero() && o.at.After(s.withdrawnAt.Add(keyGrace)):
			broken = append(broken, fmt.Sprintf("%s was served %v after its key was withdrawn", o.id, o.at.Sub(s.withdrawnAt)))
		case o.key == "key-1" && o.status == http.StatusUnauthorized:
			broken = append(broken, fmt.Sprintf("%s was refused with a valid key", o.id))
		}
	}
	return broken
}

// unplanned reports whether the node of a VM was killed or paused shortly before or after a
// time.
func (s *soak) unplanned(v *vm, at time.Time) bool {
	for _, f := range s.spans[v] {
		if !f.planned && at.After(f.from.Add(-lastingDisturbance)) && at.Before(f.to.Add(lastingDisturbance)) {
			return true
		}
	}
	return false
}

// disturbed reports whether the node of a VM was stopped, killed or paused between two times.
func (s *soak) disturbed(v *vm, from, to time.Time) bool {
	for _, f := range s.spans[v] {
		if f.from.Before(to) && f.to.After(from) {
			return true
		}
	}
	return false
}

// checkLeaving checks that no request reached a server from a VM that had passed on a response
// which says that the server leaves.
func (s *soak) checkLeaving(arrivals []arrival) (broken []string) {
	for _, a := range arrivals {
		for _, told := range arrivals {
			if !told.Leaving || told.origin != a.origin || told.AnsweredAt.IsZero() || !a.At.After(told.AnsweredAt.Add(drainTime)) {
				continue
			}
			if !s.disturbed(a.origin, told.At, a.At) {
				broken = append(broken, fmt.Sprintf("%s of %s reached a leaving server %v after a response that said so", a.Attempt, a.origin.name, a.At.Sub(told.AnsweredAt)))
				break
			}
		}
	}
	return broken
}

// checkLimit checks that a server got no more than the rate limit that it named, from VMs that
// had passed on a response with it.
func (s *soak) checkLimit(n *naming, arrivals []arrival) (broken []string) {
	limit, _ := strconv.ParseFloat(n.value, 64)
	allowed := int(1.5*limit*limitWindow.Seconds()) + 5
	var counted []backend.Run
	for _, a := range arrivals {
		if a.At.Before(n.from.Add(limitSettling)) || !n.to.IsZero() && a.At.After(n.to) {
			continue
		}
		for _, told := range arrivals {
			if told.origin == a.origin && told.RateLimit == n.value && !told.At.Before(n.from) && !told.AnsweredAt.IsZero() &&
				told.AnsweredAt.Before(a.At.Add(-limitSettling)) && !s.disturbed(a.origin, told.At, a.At) {
				counted = append(counted, a.Run)
				break
			}
		}
	}
	if most := mostInWindow(counted, n.from); most > allowed {
		broken = append(broken, fmt.Sprintf("a server that named the limit %s at %s got %d requests in %v, %d allowed: %s", n.value, n.from.Format("05.000"), most, limitWindow, allowed, arrivalsOf(counted)))
	}
	return broken
}

// arrivalsOf lists the requests of a server by their times, so that a broken limit can be traced.
func arrivalsOf(runs []backend.Run) string {
	var list []string
	for _, r := range runs {
		list = append(list, r.Attempt+" at "+r.At.Format("05.000"))
	}
	return strings.Join(list, ", ")
}

const (
	// maxLateSends is how often a request that has crashed three servers may reach one later than
	// lateAfter, by nodes without a fault since then.
	maxLateSends = 3
	lateAfter    = 4 * time.Second
)

// checkCrashing checks how often the request that crashes servers was sent on.
func (s *soak) checkCrashing(callers map[string]*vm) (broken []string) {
	type run struct {
		backend.Run
		on *vm
	}
	var runs []run
	for _, v := range s.vms {
		for _, server := range v.started {
			for _, r := range server.Runs() {
				if r.Body == crashBody {
					runs = append(runs, run{
						Run: r,
						on:  v,
					})
				}
			}
		}
	}
	slices.SortFunc(runs, func(a, b run) int { return a.At.Compare(b.At) })
	if len(runs) <= 3 {
		return nil
	}
	late := 0
	for _, r := range runs[3:] {
		from := r.At.Add(-lateAfter)
		if from.After(runs[2].At) && !s.disturbed(callers[r.Attempt], from, r.At) && !s.disturbed(r.on, from, r.At) {
			late++
		}
	}
	s.note("%d servers crashed under one request, %d of them late", len(runs), late)
	if late > maxLateSends {
		broken = append(broken, fmt.Sprintf("a request that had crashed three servers reached %d more later than %v, %d allowed; %d in all", late, lateAfter, maxLateSends, len(runs)))
	}
	return broken
}
