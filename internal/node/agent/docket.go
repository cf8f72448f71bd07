package agent

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"fuchsiapier/internal/admit/crash"
	"fuchsiapier/internal/base/timer"
)

// docket shares the list of requests that crash targets between the gate and the
// other nodes.
type docket struct {
	log    zerolog.Logger
	spread func([]crash.Entry)
	mu     sync.Mutex
	list   *crash.Docket
}

// newDocket returns an empty docket; spread tells the other nodes of news.
func newDocket(log zerolog.Logger, spread func([]crash.Entry)) *docket {
	return &docket{
		log:    log,
		spread: spread,
		list:   crash.NewDocket(crash.WithNotes()),
	}
}

// Judge returns the standing of a request and how long it lasts.
func (d *docket) Judge(f crash.Fingerprint) (crash.Standing, time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list.Judge(timer.Now(), f)
}

// Died notes what ran on a target that died, and tells the others.
func (d *docket) Died(running []crash.Fingerprint) {
	d.mu.Lock()
	news := d.list.Died(timer.Now(), running)
	d.mu.Unlock()
	d.logNews("here", news)
	d.spread(news)
}

// Cleared notes a clean run.
func (d *docket) Cleared(f crash.Fingerprint) {
	d.mu.Lock()
	cleared := d.list.Cleared(timer.Now(), f)
	d.mu.Unlock()
	if cleared {
		d.log.Info().Uint64("fingerprint", uint64(f)).Msg("request is cleared of crashing targets")
	}
}

// entries returns what the other nodes are told again and again.
func (d *docket) entries() []crash.Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list.Entries(timer.Now())
}

// learn takes what another node tells.
func (d *docket) learn(entries []crash.Entry) {
	var news []crash.Entry
	d.mu.Lock()
	for _, e := range entries {
		before, _ := d.list.Judge(timer.Now(), e.Fingerprint)
		d.list.Learn(timer.Now(), e)
		if after, _ := d.list.Judge(timer.Now(), e.Fingerprint); after != before {
			news = append(news, e)
		}
	}
	d.mu.Unlock()
	d.logNews("peer", news)
}

func (d *docket) logNews(from string, news []crash.Entry) {
	for _, e := range news {
		if e.Standing == crash.Noted {
			continue
		}
		d.log.Warn().Uint64("fingerprint", uint64(e.Fingerprint)).Str("standing", string(e.Standing)).
			Int64("left-ms", e.LeftMillis).Str("from", from).Msg("request is suspected of crashing targets")
	}
}
