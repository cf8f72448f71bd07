package gate

import (
	"time"

	"fuchsiapier/internal/admit/crash"
	"fuchsiapier/internal/admit/limit"
)

// CrashTracker keeps the standing of requests that are suspected of crashing targets.
type CrashTracker interface {
	// Lookup returns the standing of a request and how long it lasts.
	Lookup(f crash.Fingerprint) (crash.Standing, time.Duration)
	// RecordCrash records that the target crashed while the given requests ran on it, and returns
	// the evidence. Several calls with the same ID are about one crash.
	RecordCrash(id crash.ID, running []crash.Fingerprint) crash.Crash
	// RecordSuccess records that the target responded to a suspected request.
	RecordSuccess(f crash.Fingerprint)
}

const (
	// crashWindow is the longest time between the first and the last response that are
	// lost in one crash.
	crashWindow = 300 * time.Millisecond
	// maxLost bounds the number of recorded lost responses.
	maxLost = 256
)

// run is a request that was sent to the target.
type run struct {
	attempt     string
	fingerprint crash.Fingerprint
}

// lostResponse is a request whose response was lost.
type lostResponse struct {
	run
	at time.Time
}

// runs tracks the requests in flight at the target and those whose responses were
// lost, to find out which ran when the target crashed. A lost response by itself is
// no evidence of a crash; only a refused connection or a restart of the target is.
type runs struct {
	running map[*limit.Ticket]run
	lost    []lostResponse
}

func newRuns() runs {
	return runs{
		running: map[*limit.Ticket]run{},
	}
}

func (r *runs) begin(t *limit.Ticket, started run) {
	r.running[t] = started
}

func (r *runs) end(now time.Time, t *limit.Ticket, responseLost bool) {
	ended := r.running[t]
	delete(r.running, t)
	if !responseLost {
		return
	}
	if len(r.lost) >= maxLost {
		r.lost = r.lost[1:]
	}
	r.lost = append(r.lost, lostResponse{
		run: ended,
		at:  now,
	})
}

// takeLost returns the requests whose responses were lost within crashWindow of the
// latest lost response. It deletes the record of all lost responses, so that a crash
// is reported once.
func (r *runs) takeLost() []lostResponse {
	if len(r.lost) == 0 {
		return nil
	}
	latest := r.lost[len(r.lost)-1].at
	var out []lostResponse
	for _, l := range r.lost {
		if latest.Sub(l.at) <= crashWindow {
			out = append(out, l)
		}
	}
	r.lost = nil
	return out
}
