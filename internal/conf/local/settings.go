// Package local holds the settings of one daemon, which are read from a TOML file
// when it starts.
package local

import (
	"net"
	"os"
	"time"

	"fuchsiapier/internal/base/check"
	"fuchsiapier/internal/conf/preset"
)

// Node identifies the VM of the node.
type Node struct {
	Name   string `toml:"name"`
	Domain string `toml:"failure-domain"`
	Region string `toml:"region"`
	// Slot is the index of the VM in its domain, from 0. A VM that replaces another
	// takes over its slot.
	Slot int `toml:"slot"`
}

// Listen holds the addresses (ip:port) that the daemon listens on.
type Listen struct {
	Callers string `toml:"callers"`
	Targets string `toml:"targets"`
	Peers   string `toml:"peers"`
	// Advertise is the address under which peers reach this node; empty means Peers.
	Advertise string `toml:"advertise"`
	Operators string `toml:"operators"`
}

// Platform holds the settings of the platform's log.
type Platform struct {
	// Log is the address (ip:port) of the log service.
	Log string `toml:"log"`
	// Retention is how long the log keeps records.
	Retention preset.Duration `toml:"retention"`
}

// checkpointsPerRetention is how often a checkpoint becomes due within the retention
// time, so that some can be missed before records that they replace are removed.
const checkpointsPerRetention = 4

// CheckpointEvery returns the age of the newest checkpoint after which another is
// due.
func (p Platform) CheckpointEvery() time.Duration {
	return p.Retention.D() / checkpointsPerRetention
}

// Mesh says how the node finds its peers.
type Mesh struct {
	// Seeds are addresses (ip:port) of peers that the node contacts besides those it
	// has learned of by gossip.
	Seeds []string `toml:"seeds"`
}

// Policy turns off parts of the overload control for comparison measurements. All
// parts are on by default.
type Policy struct {
	// Baseline is empty (all parts on), BaselineNone or BaselineFixed.
	Baseline string `toml:"baseline"`
}

// The baselines for comparison measurements.
const (
	// BaselineNone turns off workspace rates, concurrency limits, admission levels and
	// the shared retry allowance.
	BaselineNone = "none"
	// BaselineFixed keeps fixed concurrency limits only.
	BaselineFixed = "fixed-limits"
)

// Settings are the settings of a daemon.
type Settings struct {
	Node     Node     `toml:"node"`
	Listen   Listen   `toml:"listen"`
	Platform Platform `toml:"platform"`
	Mesh     Mesh     `toml:"mesh"`
	Policy   Policy   `toml:"policy"`
}

// IP returns the IP address that the node listens on for peers, or nil if that is
// not valid.
func (s Settings) IP() net.IP {
	host, _, _ := net.SplitHostPort(s.Listen.Peers)
	return net.ParseIP(host)
}

// Load reads and validates a settings file, as Parse does.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, err
	}
	return Parse(file, data)
}

// Parse decodes settings from TOML and validates them. source names the input in
// errors. All findings are returned together, as check.Findings.
func Parse(source string, data []byte) (Settings, error) {
	var s Settings
	c := check.DecodeTOML(source, data, &s)
	if err := c.Err(); err != nil {
		return Settings{}, err
	}
	names := []struct{ key, value string }{
		{key: "node.name", value: s.Node.Name},
		{key: "node.failure-domain", value: s.Node.Domain},
		{key: "node.region", value: s.Node.Region},
	}
	for _, n := range names {
		if !preset.ValidName(n.value) {
			c.Addf(n.key, "must be kebab-case, got %q", n.value)
		}
	}
	if s.Node.Slot < 0 {
		c.Addf("node.slot", "must not be negative, got %d", s.Node.Slot)
	}
	addresses := []struct{ key, value string }{
		{key: "listen.callers", value: s.Listen.Callers},
		{key: "listen.targets", value: s.Listen.Targets},
		{key: "listen.peers", value: s.Listen.Peers},
		{key: "listen.operators", value: s.Listen.Operators},
		{key: "platform.log", value: s.Platform.Log},
	}
	for _, a := range addresses {
		checkAddress(c, a.key, a.value)
	}
	if s.Platform.Retention.D() < minRetention {
		c.Addf("platform.retention", "must be at least %s", minRetention)
	}
	for _, seed := range s.Mesh.Seeds {
		checkAddress(c, "mesh.seeds", seed)
	}
	if s.Listen.Advertise == "" {
		s.Listen.Advertise = s.Listen.Peers
	}
	checkAddress(c, "listen.advertise", s.Listen.Advertise)
	switch s.Policy.Baseline {
	case "", BaselineNone, BaselineFixed:
	default:
		c.Addf("policy.baseline", "must be empty, %q or %q, got %q", BaselineNone, BaselineFixed, s.Policy.Baseline)
	}
	return s, c.Err()
}

// minRetention leaves enough time to append a checkpoint, and to miss one, before
// the records that it replaces are removed.
const minRetention = 10 * time.Second

// checkAddress adds a finding if address is not an IP address with a port.
func checkAddress(c *check.Collector, key, address string) {
	host, _, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		c.Addf(key, "must be an IP number with a port, got %q", address)
	}
}
