// Package rules holds the configuration that is in force on a node: routes,
// services, workspaces and the limits on callers. A Rules value is immutable.
package rules

import (
	"crypto/sha256"
	"strings"
	"time"
)

// Part is one service of a route and its weight among the route's parts.
type Part struct {
	Service string
	Weight  float64
}

// Route says where requests of a host and path go and how they are treated.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Parts has at least one entry.
	Parts      []Part
	Idempotent bool
	// Timeout is the longest a request is kept waiting; 0 means no limit.
	Timeout time.Duration
	// Objective is the latency within which an answer has its full use.
	Objective time.Duration
	// Priority ranks routes; 0 is the highest.
	Priority int
	// Attempts bounds how many targets one request may be sent to.
	Attempts int
	// Public routes need no key.
	Public bool
}

// Service is what the configuration says of a service.
type Service struct {
	Name string
	// MaxConns is how many connections a target accepts; 0 means unknown.
	MaxConns int
	// HealthPath is where a target answers for its health.
	HealthPath string
}

// Workspace is a customer with its keys and its limit.
type Workspace struct {
	Name string
	// HasPriority says that Priority goes before that of the route.
	HasPriority bool
	Priority    int
	// Rate is in requests a second; 0 means no limit.
	Rate float64
	// Burst is in requests.
	Burst float64
}

// Limits bounds what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Digest is the hash under which a key is kept.
type Digest [sha256.Size]byte

// DigestOf hashes a key.
func DigestOf(key string) Digest {
	return sha256.Sum256([]byte(key))
}

// Keyring pairs a workspace with the digests of its keys.
type Keyring struct {
	Workspace Workspace
	Keys      []Digest
}

// Content is what a configuration says.
type Content struct {
	Version  int64
	Routes   []Route
	Services []Service
	Keyrings []Keyring
	Limits   Limits
}

// Rules indexes a Content.
type Rules struct {
	content    Content
	byHost     map[string]map[string]*Route
	services   map[string]Service
	workspaces map[Digest]*Workspace
	byName     map[string]*Workspace
	// lowest is the rank of the least urgent route.
	lowest int
}

// New indexes a configuration. The content must not be changed afterwards.
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
		r.lowest = max(r.lowest, route.Priority)
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

// Lowest returns the rank of the least urgent route.
func (r *Rules) Lowest() int {
	return r.lowest
}

// Version returns the configuration's version.
func (r *Rules) Version() int64 {
	return r.content.Version
}

// Limits returns the limits on callers.
func (r *Rules) Limits() Limits {
	return r.content.Limits
}

// Keyed reports whether the configuration has workspaces, so that routes that
// are not public need a key.
func (r *Rules) Keyed() bool {
	return len(r.content.Keyrings) > 0
}

// Service returns what is said of a service.
func (r *Rules) Service(name string) Service {
	return r.services[name]
}

// ByKey returns the workspace that holds a key.
func (r *Rules) ByKey(key string) (*Workspace, bool) {
	w, ok := r.workspaces[DigestOf(key)]
	return w, ok
}

// ByName returns a workspace.
func (r *Rules) ByName(name string) (*Workspace, bool) {
	w, ok := r.byName[name]
	return w, ok
}

// Match returns the route of a host (with or without a port) that has the
// longest prefix of the path; the path may carry a query.
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

func hostname(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		return host[:colon]
	}
	return host
}
