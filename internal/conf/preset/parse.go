package preset

import (
	"fmt"
	"math"
	"regexp"
	"slices"
	"strings"
	"time"

	"fuchsiapier/internal/base/check"
)

const (
	maxRetries        = 10
	maxDeadline       = time.Minute
	minClaimRetention = 10 * time.Second
	maxNameLength     = 64
	maxSlots          = 100_000
	// shareTolerance allows for the rounding of shares such as 1/6 in decimal notation.
	shareTolerance = 1e-9
)

var namePattern = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)

// ValidName reports whether s is a kebab-case name of at most 64 characters.
func ValidName(s string) bool {
	return len(s) <= maxNameLength && namePattern.MatchString(s)
}

// Parse decodes a preset from TOML and validates it. source names the input in
// errors. All findings are returned together, as check.Findings.
func Parse(source string, data []byte) (Preset, error) {
	var p Preset
	c := check.DecodeTOML(source, data, &p)
	if err := c.Err(); err != nil {
		return Preset{}, err
	}
	p.validate(c)
	return p, c.Err()
}

// Validate checks a preset that was not read by Parse, such as one from the
// platform's log. source names it in errors. All findings are returned together, as
// check.Findings.
func (p Preset) Validate(source string) error {
	c := check.NewCollector(source, nil)
	p.validate(c)
	return c.Err()
}

func (p Preset) validate(c *check.Collector) {
	if !ValidName(p.Name) {
		c.Addf("name", "must be kebab-case with at most %d characters, got %q", maxNameLength, p.Name)
	}
	if p.OfflineLimit <= 0 {
		c.Addf("offline-limit", "must be positive, such as \"10m\"")
	}
	if p.ClaimRetention.D() < minClaimRetention {
		c.Addf("claim-retention", "must be at least %s", minClaimRetention)
	}
	if p.ClockMargin <= 0 || p.ClockMargin > p.ClaimRetention/4 {
		c.Addf("clock-margin", "must be positive and at most a quarter of claim-retention")
	}
	p.validateDomains(c)
	p.validateRoutes(c)
	p.validateWorkspaces(c)
	p.validateLinks(c)
}

func (p Preset) validateDomains(c *check.Collector) {
	if len(p.Domains) == 0 {
		c.Addf("failure-domains", "at least one failure domain is needed")
	}
	total := 0.0
	for _, name := range p.DomainNames() {
		d := p.Domains[name]
		key := "failure-domains." + name
		if !ValidName(name) {
			c.Addf(key, "name must be kebab-case")
		}
		if !ValidName(d.Region) {
			c.Addf(key+".region", "must be kebab-case, got %q", d.Region)
		}
		if !finite(d.Share) || d.Share < 0 || d.Share > 1 {
			c.Addf(key+".share", "must be between 0 and 1, got %v", d.Share)
		}
		if d.Slots < 1 || d.Slots > maxSlots {
			c.Addf(key+".slots", "must be between 1 and %d, got %d", maxSlots, d.Slots)
		}
		total += d.Share
	}
	if total > 1+shareTolerance {
		c.Addf("failure-domains", "shares sum to %v, more than 1", total)
	}
}

func (p Preset) validateRoutes(c *check.Collector) {
	names := map[string]bool{}
	paths := map[string]bool{}
	for i, r := range p.Routes {
		key := fmt.Sprintf("routes.%d(%s)", i, r.Name)
		if !ValidName(r.Name) {
			c.Addf("routes", "%s: name must be kebab-case", key)
		}
		if names[r.Name] {
			c.Addf("routes", "%s: name stands twice", key)
		}
		if paths[r.Path] {
			c.Addf("routes", "%s: path %q stands twice", key, r.Path)
		}
		names[r.Name] = true
		paths[r.Path] = true
		if !strings.HasPrefix(r.Path, "/") {
			c.Addf("routes", "%s: path must begin with /, got %q", key, r.Path)
		}
		if !ValidName(r.Service) {
			c.Addf("routes", "%s: service must be kebab-case, got %q", key, r.Service)
		}
		if !slices.Contains(Classes, r.Class) {
			c.Addf("routes", "%s: class must be one of %s, got %q", key, strings.Join(Classes, ", "), r.Class)
		}
		if r.Deadline <= 0 || r.Deadline.D() > maxDeadline {
			c.Addf("routes", "%s: deadline must be positive and at most %s", key, maxDeadline)
		}
		if r.Retries < 0 || r.Retries > maxRetries {
			c.Addf("routes", "%s: retries must be between 0 and %d", key, maxRetries)
		}
	}
}

func (p Preset) validateWorkspaces(c *check.Collector) {
	for name, w := range p.Workspaces {
		key := "workspaces." + name
		if !ValidName(name) {
			c.Addf(key, "name must be kebab-case")
		}
		if !finite(w.Rate) || w.Rate < 0 {
			c.Addf(key+".rate", "must not be negative, got %v", w.Rate)
		}
		if !finite(w.Burst) || w.Burst < 1 {
			c.Addf(key+".burst", "must be at least 1, got %v", w.Burst)
		}
	}
}

func (p Preset) validateLinks(c *check.Collector) {
	regions := map[string]bool{}
	for _, d := range p.Domains {
		regions[d.Region] = true
	}
	seen := map[string]bool{}
	for _, l := range p.RegionLinks {
		pair := l.From + " to " + l.To
		if seen[pair] {
			c.Addf("region-links", "%s stands twice", pair)
		}
		seen[pair] = true
		if !regions[l.From] || !regions[l.To] || l.From == l.To {
			c.Addf("region-links", "%s must name two different regions of failure-domains", pair)
		}
		if !finite(l.BytesPerSecond) || l.BytesPerSecond < 0 {
			c.Addf("region-links", "%s: bytes-per-second must not be negative", pair)
		}
		if !finite(l.BurstBytes) || l.BurstBytes < 0 {
			c.Addf("region-links", "%s: burst-bytes must not be negative", pair)
		}
	}
}

// finite reports whether v is neither NaN nor infinite.
func finite(v float64) bool {
	return !math.IsNaN(v) && !math.IsInf(v, 0)
}
