package agent

import (
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"fuchsiapier/internal/admit/crash"
	"fuchsiapier/internal/base/timer"
)

// docket shares the list of requests that crash targets between the parts of a node.
type docket struct {
	log     zerolog.Logger
	leaving atomic.Bool
	mu      sync.Mutex
	list    *crash.Docket
}

func newDocket(log zerolog.Logger) *docket {
	return &docket{
		log:  log,
		list: crash.NewDocket(),
	}
}

func (d *docket) entries() []crash.Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list.Entries(timer.Now())
}

func (d *docket) learn(entries []crash.Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range entries {
		d.list.Learn(timer.Now(), e)
	}
}
