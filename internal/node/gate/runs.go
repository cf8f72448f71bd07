package gate

import (
	"time"

	"fuchsiapier/internal/admit/crash"
	"fuchsiapier/internal/admit/limit"
)

// Docket keeps the standing of requests that are suspected of crashing targets.
type Docket interface {
	// Judge returns the standing of a request and how long it lasts.
	Judge(f crash.Fingerprint) (crash.Standing, time.Duration)
	// Died records that the target crashed while the given requests ran on it.
	Died(running []crash.Fingerprint)
	// Cleared records that the target answered a request that was suspected.
	Cleared(f crash.Fingerprint)
}

const (
	// crashWindow bounds how far apart the answers lost to one crash are lost.
	crashWindow = 300 * time.Millisecond
	// maxLost bounds the recorded lost answers.
	maxLost = 256
)

// lostAnswer is a request whose answer was lost.
type lostAnswer struct {
	fingerprint crash.Fingerprint
	at          time.Time
}

// runs tracks the requests in flight at the target and those whose answers were
// lost, to find out which ran when the target crashed. A lost answer alone is no
// evidence of a crash; only a refused connection or a restart of the target is.
type runs struct {
	running map[*limit.Ticket]crash.Fingerprint
	lost    []lostAnswer
}

func newRuns() runs {
	return runs{
		running: map[*limit.Ticket]crash.Fingerprint{},
	}
}

func (r *runs) begin(t *limit.Ticket, f crash.Fingerprint) {
	r.running[t] = f
}

func (r *runs) end(now time.Time, t *limit.Ticket, answerLost bool) {
	f := r.running[t]
	delete(r.running, t)
	if !answerLost {
		return
	}
	if len(r.lost) >= maxLost {
		r.lost = r.lost[1:]
	}
	r.lost = append(r.lost, lostAnswer{
		fingerprint: f,
		at:          now,
	})
}

// takeLost returns the requests whose answers were lost within crashWindow of the
// latest lost answer. It forgets all lost answers, so that a crash is reported
// once.
func (r *runs) takeLost() []crash.Fingerprint {
	if len(r.lost) == 0 {
		return nil
	}
	latest := r.lost[len(r.lost)-1].at
	var out []crash.Fingerprint
	for _, l := range r.lost {
		if latest.Sub(l.at) <= crashWindow {
			out = append(out, l.fingerprint)
		}
	}
	r.lost = nil
	return out
}
