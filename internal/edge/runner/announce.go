package runner

import (
	"encoding/json"
	"net"

	"github.com/valyala/fasthttp"

	"fuchsiapier/internal/admit/crash"
	"fuchsiapier/internal/base/check"
	"fuchsiapier/internal/base/event"
	"fuchsiapier/internal/base/timer"
	"fuchsiapier/internal/conf/preset"
	"fuchsiapier/internal/edge/pool"
	"fuchsiapier/internal/edge/wire"
	"fuchsiapier/internal/mesh/roster"
)

// Announcement is the message that a target posts to its node once a second.
type Announcement struct {
	Service string `json:"service"`
	// Address is where the target accepts requests (ip:port).
	Address string `json:"address"`
	// Instance identifies one start of the target; a restart has another.
	Instance string `json:"instance"`
	// State is "ready" or "draining".
	State string `json:"state"`
	// Slots is how many requests the target can run concurrently.
	Slots int `json:"slots"`
	// Connections bounds the idle connections that the node keeps to the target;
	// Slots is the bound if it is larger.
	Connections int `json:"connections"`
}

func (r *Runner) handleAnnounce(ctx *fasthttp.RequestCtx) {
	var a Announcement
	if err := json.Unmarshal(ctx.PostBody(), &a); err != nil {
		ctx.Error("announcement: "+err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if err := a.validate(); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	r.ApplyAnnouncement(a)
}

func (a Announcement) validate() error {
	c := check.NewCollector("announcement", nil)
	if !preset.ValidName(a.Service) {
		c.Addf("service", "must be kebab-case, got %q", a.Service)
	}
	host, _, err := net.SplitHostPort(a.Address)
	if err != nil || net.ParseIP(host) == nil {
		c.Addf("address", "must be an IP number with a port, got %q", a.Address)
	}
	if a.State != string(roster.Ready) && a.State != string(roster.Draining) {
		c.Addf("state", "must be \"ready\" or \"draining\", got %q", a.State)
	}
	if a.Slots < 1 || a.Slots > maxAnnouncedSlots {
		c.Addf("slots", "must be between 1 and %d, got %d", maxAnnouncedSlots, a.Slots)
	}
	if a.Instance == "" {
		c.Addf("instance", "must not be empty")
	}
	return c.Err()
}

// ApplyAnnouncement applies an announcement of the target. Another instance or
// address replaces the target and starts cold. If the replaced target was up and not
// draining, it has crashed, and the requests that were running on it are recorded
// with the crash tracker.
func (r *Runner) ApplyAnnouncement(a Announcement) {
	now := timer.Now()
	r.mu.Lock()
	old := r.target
	newInstance := old == nil || old.announced.Instance != a.Instance || old.announced.Address != a.Address
	var running []crash.Fingerprint
	if newInstance {
		if old != nil && !old.down && old.announced.State == string(roster.Ready) {
			running = r.handles.fingerprints()
		}
		r.target = r.newTarget(a)
	}
	t := r.target
	changed := newInstance || t.announced != a || t.down
	t.announced = a
	t.announcedAt = now
	t.down = false
	r.mu.Unlock()
	if newInstance && old != nil {
		old.closePool()
	}
	if len(running) > 0 {
		r.poison.RecordCrash(crash.NewID(), running)
	}
	if !changed {
		return
	}
	t.gate.resize(a.Slots, newInstance)
	r.announce(roster.Target{
		Service: a.Service,
		State:   roster.TargetState(a.State),
		Slots:   a.Slots,
	})
	r.events.Add(event.Event{
		Kind:   "target-" + a.State,
		Detail: a.Service,
	})
}

func (r *Runner) newTarget(a Announcement) *target {
	p, closePool := pool.New(a.Address, max(a.Connections, a.Slots), wire.HeaderRequestID)
	return &target{
		service:   a.Service,
		pool:      p,
		closePool: closePool,
		gate:      newGate(a.Slots, r.useLevels, r.options...),
	}
}
