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
	// Learn merges evidence that came with a call and returns what of it was new.
	Learn(from string, crashes []crash.Crash) (news []crash.Crash)
	// Evidence returns what is known against a request.
	Evidence(f crash.Fingerprint) []crash.Crash
}

const (
	// crashWindow is the longest time between the first and the last response that are
	// lost in one crash.
	crashWindow = 300 * time.Millisecond
	// maxLost bounds the number of recorded lost responses.
	maxLost = 256
	// lostResponseTime is how long after a response was lost a crash may show. Targets are back
	// after some seconds and then announce their new start.
	lostResponseTime = 15 * time.Second
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
	// lastCrash is the crash that was reported last, and lastLost when it lost a response last.
	lastCrash crash.ID
	lastLost  time.Time
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

// restarted records that the target has started again: responses that are lost from now on are lost
// in another crash.
func (r *runs) restarted() {
	r.lastLost = time.Time{}
}

// takeLost returns the requests whose responses were lost within crashWindow of the
// latest lost response, if that is recent, and the ID of the crash that lost them. It deletes the
// record of all lost responses, so that a crash is reported once; responses that are lost
// in the same crash later belong to the same ID.
func (r *runs) takeLost(now time.Time) (id crash.ID, out []lostResponse) {
	lost := r.lost
	r.lost = nil
	if len(lost) == 0 || now.Sub(lost[len(lost)-1].at) > lostResponseTime {
		return 0, nil
	}
	latest := lost[len(lost)-1].at
	for _, l := range lost {
		if latest.Sub(l.at) <= crashWindow {
			out = append(out, l)
		}
	}
	if latest.Sub(r.lastLost) > crashWindow {
		r.lastCrash = crash.NewID()
	}
	r.lastLost = latest
	return r.lastCrash, out
}
