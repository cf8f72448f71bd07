package gate

import (
	"time"

	"fuchsiapier/internal/admit/crash"
	"fuchsiapier/internal/admit/limit"
)

// Docket keeps the requests that crash targets.
type Docket interface {
	Judge(f crash.Fingerprint) (crash.Standing, time.Duration)
	Died(running []crash.Fingerprint)
	Cleared(f crash.Fingerprint)
}

const (
	// clusterTime is how far apart answers are lost that are lost to one death.
	clusterTime = 300 * time.Millisecond
	// maxLost bounds the remembered losses.
	maxLost = 256
)

// loss is a run whose answer was lost.
type loss struct {
	fingerprint crash.Fingerprint
	at          time.Time
}

// deaths finds out what ran on a target when it died. A lost answer alone says
// nothing: only a refused connection or a new start of the target does.
type deaths struct {
	running map[*limit.Ticket]crash.Fingerprint
	lost    []loss
}

func newDeaths() deaths {
	return deaths{
		running: map[*limit.Ticket]crash.Fingerprint{},
	}
}

func (d *deaths) begin(t *limit.Ticket, f crash.Fingerprint) {
	d.running[t] = f
}

func (d *deaths) end(now time.Time, t *limit.Ticket, answerLost bool) {
	f := d.running[t]
	delete(d.running, t)
	if !answerLost {
		return
	}
	if len(d.lost) >= maxLost {
		d.lost = d.lost[1:]
	}
	d.lost = append(d.lost, loss{
		fingerprint: f,
		at:          now,
	})
}

// died returns what was lost together last; a death is told once.
func (d *deaths) died() []crash.Fingerprint {
	if len(d.lost) == 0 {
		return nil
	}
	latest := d.lost[len(d.lost)-1].at
	var out []crash.Fingerprint
	for _, l := range d.lost {
		if latest.Sub(l.at) <= clusterTime {
			out = append(out, l.fingerprint)
		}
	}
	d.lost = nil
	return out
}
