// Package preset defines presets: named sets of workspace rates, routes, failure
// domains and limits on cross-region traffic that are in force together. Operators
// switch between them.
package preset

import (
	"encoding/json"
	"sort"
	"strings"
	"time"
)

// Duration is a time.Duration that is encoded as text, such as "1.5s".
type Duration time.Duration

// D returns d as a time.Duration.
func (d Duration) D() time.Duration {
	return time.Duration(d)
}

// MarshalText encodes the duration in the notation of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText decodes the notation of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// Domain is a failure domain with its region, its share of the budgets and its slots.
type Domain struct {
	Region string `toml:"region" json:"region"`
	// Share is the domain's fraction of every workspace's budget; the shares of all
	// domains sum to at most 1.
	Share float64 `toml:"share" json:"share"`
	// Slots is the number of VMs in the domain. Each VM owns an equal slice of the
	// domain's share.
	Slots int `toml:"slots" json:"slots"`
}

// Route maps a path prefix to a service and says how its requests are treated.
type Route struct {
	Name string `toml:"name" json:"name"`
	// Path is the prefix of the paths that the route serves.
	Path    string `toml:"path" json:"path"`
	Service string `toml:"service" json:"service"`
	// Class is one of Classes. Under overload, background is shed first and critical
	// last.
	Class string `toml:"class" json:"class"`
	// Open says that requests need no key and are not charged to a workspace.
	Open bool `toml:"open" json:"open,omitempty"`
	// Idempotent says that a request may run more than once.
	Idempotent bool `toml:"idempotent" json:"idempotent,omitempty"`
	// Deadline is the longest time a request may take; callers may ask for less.
	Deadline Duration `toml:"deadline" json:"deadline"`
	// Retries is the maximum number of retries for a request and its nested calls
	// together.
	Retries int `toml:"retries" json:"retries,omitempty"`
}

// Workspace is the rate limit of a tenant over all VMs together, as a token bucket.
type Workspace struct {
	// Rate is the refill rate in requests per second.
	Rate float64 `toml:"rate" json:"rate"`
	// Burst is the size of the bucket in requests.
	Burst float64 `toml:"burst" json:"burst"`
}

// RegionLink limits the bytes sent from one region to another, as a token bucket.
type RegionLink struct {
	From string `toml:"from" json:"from"`
	To   string `toml:"to" json:"to"`
	// BytesPerSecond and BurstBytes limit the bytes of calls, responses and control
	// messages.
	BytesPerSecond float64 `toml:"bytes-per-second" json:"bytes-per-second"`
	BurstBytes     float64 `toml:"burst-bytes" json:"burst-bytes"`
}

// Preset is an immutable set of rules. At most one is in force at a time.
type Preset struct {
	Name string `toml:"name" json:"name"`
	// OfflineLimit is how long a node continues to accept the keys it knows while it
	// reaches neither the platform's log nor a peer that does.
	OfflineLimit Duration `toml:"offline-limit" json:"offline-limit"`
	// ClaimRetention is how long the ID of a non-idempotent request is kept to detect
	// duplicates.
	ClaimRetention Duration `toml:"claim-retention" json:"claim-retention"`
	// ClockMargin is the maximum difference between any two wall clocks.
	ClockMargin Duration `toml:"clock-margin" json:"clock-margin"`
	// Domains and Workspaces are keyed by name.
	Domains     map[string]Domain    `toml:"failure-domains" json:"failure-domains"`
	Routes      []Route              `toml:"routes" json:"routes"`
	Workspaces  map[string]Workspace `toml:"workspaces" json:"workspaces"`
	RegionLinks []RegionLink         `toml:"region-links" json:"region-links,omitempty"`
}

// Classes are the admission classes, in the order in which they are shed.
var Classes = []string{"background", "normal", "important", "critical"}

// ClassRank returns the index of a class in Classes, and 0 for an unknown class.
func ClassRank(class string) int {
	for i, c := range Classes {
		if c == class {
			return i
		}
	}
	return 0
}

// Route returns the route with the longest prefix of path, and false if no route
// matches. Prefixes match whole path segments only.
func (p Preset) Route(path string) (Route, bool) {
	best := -1
	for i := range p.Routes {
		if !hasPathPrefix(path, p.Routes[i].Path) {
			continue
		}
		if best < 0 || len(p.Routes[i].Path) > len(p.Routes[best].Path) {
			best = i
		}
	}
	if best < 0 {
		return Route{}, false
	}
	return p.Routes[best], true
}

// hasPathPrefix reports whether path equals prefix or is below it: /a is a prefix of
// /a/b but not of /ab.
func hasPathPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}

// Slice is the part of a budget that a slot owns permanently, as a token bucket with
// a rate per second and a burst.
type Slice struct {
	Rate  float64
	Burst float64
}

// SlotShare returns the fraction of every workspace's budget that a slot owns, and 0 for
// an unknown slot.
func (p Preset) SlotShare(domain string, slot int) float64 {
	d, ok := p.Domains[domain]
	if !ok || slot < 0 || slot >= d.Slots {
		return 0
	}
	return d.Share / float64(d.Slots)
}

// LinkSlotShare returns the fraction that a slot owns of the bytes that its region may
// send, and 0 for an unknown slot. All slots of a region own equal fractions.
func (p Preset) LinkSlotShare(domain string, slot int) float64 {
	d, ok := p.Domains[domain]
	if !ok || slot < 0 || slot >= d.Slots {
		return 0
	}
	slots := 0
	for _, o := range p.Domains {
		if o.Region == d.Region {
			slots += o.Slots
		}
	}
	return 1 / float64(slots)
}

// WorkspaceSlice returns the slice of a workspace's budget for a share between 0
// and 1.
func (p Preset) WorkspaceSlice(workspace string, share float64) Slice {
	w := p.Workspaces[workspace]
	return Slice{
		Rate:  w.Rate * share,
		Burst: w.Burst * share,
	}
}

// LinkSlice returns the slice of the bytes from one region to another for a share
// between 0 and 1.
func (p Preset) LinkSlice(from, to string, share float64) Slice {
	l, _ := p.Link(from, to)
	return Slice{
		Rate:  l.BytesPerSecond * share,
		Burst: l.BurstBytes * share,
	}
}

// Link returns the limit on the bytes sent from one region to another, and false if
// there is none.
func (p Preset) Link(from, to string) (RegionLink, bool) {
	for _, l := range p.RegionLinks {
		if l.From == from && l.To == to {
			return l, true
		}
	}
	return RegionLink{}, false
}

// DomainNames returns the names of the failure domains in alphabetical order.
func (p Preset) DomainNames() []string {
	names := make([]string, 0, len(p.Domains))
	for name := range p.Domains {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Layout returns a string that identifies the number of slots of each domain. Claims
// made under different layouts may be kept by different replicas, so that neither
// detects a duplicate of the other.
func (p Preset) Layout() string {
	layout := make(map[string]int, len(p.Domains))
	for name, d := range p.Domains {
		layout[name] = d.Slots
	}
	text, _ := json.Marshal(layout) // encoding a map of ints never fails
	return string(text)
}

// secondsPerMonth is the length of the longest month, so that a forecast is an upper
// bound.
const secondsPerMonth = 31 * 24 * 60 * 60

// Forecast is the maximum number of bytes that a preset allows one region to send to
// another in a month.
type Forecast struct {
	From  string  `json:"from"`
	To    string  `json:"to"`
	Bytes float64 `json:"bytes-per-month"`
}

// Forecast returns the maximum bytes of a month, one Forecast for each region link.
func (p Preset) Forecast() []Forecast {
	out := make([]Forecast, 0, len(p.RegionLinks))
	for _, l := range p.RegionLinks {
		out = append(out, Forecast{
			From:  l.From,
			To:    l.To,
			Bytes: l.BytesPerSecond*secondsPerMonth + l.BurstBytes,
		})
	}
	return out
}
