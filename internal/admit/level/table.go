package level

import (
	"sync"
	"time"

	"fuchsiapier/internal/base/timer"
)

const (
	// levelTTL is how long a reported level is in force. It then expires, so that
	// requests probe the service again.
	levelTTL = 1 * time.Second
	// routeTTL is how long a service counts as part of a route after its last report.
	routeTTL = 30 * time.Second
)

// Levels maps services to admission levels. Responses carry it back to the caller.
type Levels map[string]int

// Merge returns the levels of both maps, with the higher one for each service. It
// may return l itself.
func (l Levels) Merge(o Levels) Levels {
	if len(o) == 0 {
		return l
	}
	out := make(Levels, len(l)+len(o))
	for service, v := range l {
		out[service] = v
	}
	for service, v := range o {
		out[service] = max(out[service], v)
	}
	return out
}

// reportedLevel is a level and the time of its report.
type reportedLevel struct {
	level int
	at    timer.Instant
}

// Table holds the latest levels reported to a node: of targets, and of the services
// downstream of each route. It is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	targets  map[string]reportedLevel
	services map[string]reportedLevel
	routes   map[string]map[string]timer.Instant
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		targets:  map[string]reportedLevel{},
		services: map[string]reportedLevel{},
		routes:   map[string]map[string]timer.Instant{},
	}
}

// Report records the levels carried by a response: the level of the target that
// answered, which may be empty, and the levels of the services downstream.
func (t *Table) Report(now timer.Instant, route, target string, targetLevel int, below Levels) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if target != "" {
		t.targets[target] = reportedLevel{
			level: targetLevel,
			at:    now,
		}
	}
	lastSeen := t.routes[route]
	if lastSeen == nil {
		lastSeen = map[string]timer.Instant{}
		t.routes[route] = lastSeen
	}
	for service, v := range below {
		lastSeen[service] = now
		t.services[service] = reportedLevel{
			level: v,
			at:    now,
		}
	}
}

// Target returns the latest level of a target, 0 if none is known or it has expired.
func (t *Table) Target(now timer.Instant, target string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.targets[target].current(now)
}

// RouteLevel returns the highest level in force among the services downstream of a route.
func (t *Table) RouteLevel(now timer.Instant, route string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	highest := 0
	for service, at := range t.routes[route] {
		if now.Sub(at) > routeTTL {
			delete(t.routes[route], service)
			continue
		}
		highest = max(highest, t.services[service].current(now))
	}
	return highest
}

// Services returns the levels in force above 0, for display to operators.
func (t *Table) Services(now timer.Instant) Levels {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := Levels{}
	for service, r := range t.services {
		if v := r.current(now); v > 0 {
			out[service] = v
		}
	}
	return out
}

// current returns the level, or 0 once it has expired.
func (r reportedLevel) current(now timer.Instant) int {
	if now.Sub(r.at) > levelTTL {
		return 0
	}
	return r.level
}
