// Package rules holds the configuration that is in force on a node: routes,
// services, workspaces and the limits on callers, indexed for lookups on each
// request. A Rules value is immutable and safe for concurrent use.
package rules

import (
	"crypto/sha256"
	"slices"
	"strings"
	"time"
)

// Destination is one of the services among which a route splits its requests, with
// its weight relative to the others.
type Destination struct {
	Service string
	Weight  float64
}

// Route says which service requests of a host and path prefix are sent to and how
// they are treated.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Destinations has at least one entry.
	Destinations []Destination
	// Idempotent says that a request may run more than once.
	Idempotent bool
	// Timeout is the longest time a request may take; 0 means no limit.
	Timeout time.Duration
	// Objective is the latency objective: a later response is worth less to the
	// caller. 0 means that the node's default applies.
	Objective time.Duration
	// Priority orders routes by importance; 0 is the highest.
	Priority int
	// Attempts is the maximum number of targets that one request is sent to, the first
	// included.
	Attempts int
	// Public says that requests need no key.
	Public bool
}

// Service holds the settings of a service.
type Service struct {
	Name string
	// MaxConns is the maximum number of connections that a target accepts; 0 means
	// unknown.
	MaxConns int
	// HealthPath is the path of a target's health check.
	HealthPath string
}

// Workspace is a customer (tenant) with its priority and rate limit.
type Workspace struct {
	Name string
	// HasPriority says that Priority overrides that of the route.
	HasPriority bool
	Priority    int
	// Rate is in requests per second; 0 means no limit.
	Rate float64
	// Burst is in requests.
	Burst float64
}

// Limits are the limits on callers' requests and connections. A zero field means
// that the listener's default applies.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Digest is the SHA-256 hash of a key; the key itself is not kept.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest {
	return sha256.Sum256([]byte(key))
}

// Keyring holds a workspace and the digests of its keys.
type Keyring struct {
	Workspace Workspace
	Keys      []Digest
}

// Content is a configuration as it was decoded.
type Content struct {
	Version  int64
	Routes   []Route
	Services []Service
	Keyrings []Keyring
	Limits   Limits
}

// Rules is an indexed configuration.
type Rules struct {
	content Content
	// byHost maps lower-case hosts to path prefixes to routes.
	byHost     map[string]map[string]*Route
	services   map[string]Service
	workspaces map[Digest]*Workspace
	byName     map[string]*Workspace
	// lowestPriority is the priority of the least important route: the greatest number.
	lowestPriority int
}

// New indexes a configuration. The caller must not change c afterwards.
func New(c Content) *Rules {
	r := &Rules{
		content:    c,
		byHost:     map[string]map[string]*Route{},
		services:   map[string]Service{},
		workspaces: map[Digest]*Workspace{},
		byName:     map[string]*Workspace{},
	}
	for i := range c.Routes {
		route := &c.Routes[i]
		host := strings.ToLower(route.Host)
		if r.byHost[host] == nil {
			r.byHost[host] = map[string]*Route{}
		}
		r.byHost[host][route.Prefix] = route
		r.lowestPriority = max(r.lowestPriority, route.Priority)
	}
	for _, s := range c.Services {
		r.services[s.Name] = s
	}
	for i := range c.Keyrings {
		k := &c.Keyrings[i]
		r.byName[k.Workspace.Name] = &k.Workspace
		for _, d := range k.Keys {
			r.workspaces[d] = &k.Workspace
		}
	}
	return r
}

// LowestPriority returns the priority of the least important route, which is the
// greatest number.
func (r *Rules) LowestPriority() int {
	return r.lowestPriority
}

// Version returns the configuration's version.
func (r *Rules) Version() int64 {
	return r.content.Version
}

// Limits returns the limits on callers.
func (r *Rules) Limits() Limits {
	return r.content.Limits
}

// HasWorkspaces reports whether the configuration has workspaces. Without any, no route
// needs a key.
func (r *Rules) HasWorkspaces() bool {
	return len(r.content.Keyrings) > 0
}

// Names reports whether the configuration names a service, with settings or as the destination of a
// route.
func (r *Rules) Names(service string) bool {
	_, ok := r.services[service]
	return ok || slices.ContainsFunc(r.content.Routes, func(route Route) bool {
		return slices.ContainsFunc(route.Destinations, func(d Destination) bool { return d.Service == service })
	})
}

// Service returns the settings of a service, or the zero Service if it is unknown.
func (r *Rules) Service(name string) Service {
	return r.services[name]
}

// ByKey returns the workspace that a key belongs to, and false for an unknown key.
func (r *Rules) ByKey(key string) (*Workspace, bool) {
	w, ok := r.workspaces[DigestOf(key)]
	return w, ok
}

// ByName returns the workspace of a name, and false if there is none.
func (r *Rules) ByName(name string) (*Workspace, bool) {
	w, ok := r.byName[name]
	return w, ok
}

// Match returns the route of a host (with or without a port) that has the longest
// prefix of the path, and false if there is none. The path may include a query, which
// is ignored. Only prefixes that end in a slash match.
func (r *Rules) Match(host, path string) (*Route, bool) {
	prefixes := r.byHost[strings.ToLower(hostname(host))]
	if prefixes == nil {
		return nil, false
	}
	path, _, _ = strings.Cut(path, "?")
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route, ok := prefixes[path[:end+1]]; ok {
			return route, true
		}
	}
	return nil, false
}

// hostname strips the port from a host; the host may be an IPv6 address in brackets.
func hostname(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		return host[:colon]
	}
	return host
}
