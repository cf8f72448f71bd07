// Package share decides which share of the budgets a slot may use while presets
// shift shares between failure domains. It does no I/O and takes the time as an
// argument.
//
// A smaller share is in force at once. A larger share is used only after every
// node has either learned of the change or noticed that it has lost contact to the
// platform's log, and a node without contact uses its smallest share in any
// published preset. So the shares in use sum to at most 1 at any time, provided
// that those of each preset do.
package share

import (
	"time"

	"fuchsiapier/internal/base/timer"
)

const (
	// contactTimeout is the time since the last contact to the platform's log after
	// which a node uses only its smallest share.
	contactTimeout = 10 * time.Second
	// increaseDelay is the delay before a larger share is used: contactTimeout and
	// a margin for clock drift and for the time that an answer was in transit.
	increaseDelay = 2 * contactTimeout
)

// previous is a share that was in force until a change replaced it.
type previous struct {
	share float64
	until timer.Instant
}

// Tracker tracks the share of one slot in one kind of budget. It is not safe for
// concurrent use.
type Tracker struct {
	share float64
	// minShare is the smallest share of the slot in any published preset.
	minShare float64
	// previous holds the replaced shares that still limit the current one.
	previous   []previous
	configured bool
}

// Configure sets the share in the preset in force and the smallest share in any
// published preset, both in [0, 1]. A node that has just started does not know
// which share its predecessor in the slot used, so it starts with the smallest.
func (t *Tracker) Configure(now timer.Instant, share, minShare float64) {
	if !t.configured {
		t.configured = true
		t.share = minShare
	}
	if share != t.share {
		t.previous = append(t.previous, previous{
			share: t.share,
			until: now,
		})
	}
	t.share = share
	t.minShare = min(minShare, share)
}

// Share returns the share that may be used now, in [0, 1]. contactAge is the time
// since the node last knew the end of the platform's log, which it reads itself or
// learns from peers.
func (t *Tracker) Share(now timer.Instant, contactAge time.Duration) float64 {
	share := t.share
	kept := t.previous[:0]
	for _, p := range t.previous {
		if now.Sub(p.until) > increaseDelay {
			continue
		}
		kept = append(kept, p)
		share = min(share, p.share)
	}
	t.previous = kept
	if contactAge > contactTimeout {
		share = min(share, t.minShare)
	}
	return share
}
