package deploy

import (
	"maps"
	"sort"

	"fuchsiapier/internal/base/check"
)

// Field names a setting, or a group of settings that change together.
type Field string

// The settings of a node.
const (
	FieldNode          Field = "node"
	FieldRole          Field = "role"
	FieldDomain        Field = "domain"
	FieldRegion        Field = "region"
	FieldIP            Field = "ip"
	FieldDomains       Field = "domains"
	FieldCallers       Field = "callers-address"
	FieldGate          Field = "gate-address"
	FieldReadiness     Field = "readiness-address"
	FieldAnnouncements Field = "announce-address"
	FieldPorts         Field = "ports"
	FieldService       Field = "target-service"
	FieldStore         Field = "store-address"
	FieldGrace         Field = "grace"
	FieldRetries       Field = "retry-budget"
	FieldMemory        Field = "memory"
	FieldDescriptors   Field = "descriptors"
)

// Change is the difference between the settings that a node runs with and those of a
// file that was read later.
type Change struct {
	// Live names the settings that a running process can take over.
	Live []Field
	// Restart names the settings that take effect with the next start of the process.
	Restart []Field
}

// Compare returns the changes from running to loaded. Settings that belong to another
// node, and a file that lacks keys that the running settings have, are refused as a
// whole; the error is check.Findings with the place of each reason.
func Compare(running, loaded Settings) (Change, error) {
	c := check.NewCollector(loaded.File.Source, loaded.File.Lines)
	checkIdentity(c, running, loaded)
	checkComplete(c, running.File, loaded.File)
	if err := c.Err(); err != nil {
		return Change{}, err
	}
	var change Change
	live := func(f Field, changed bool) {
		if changed {
			change.Live = append(change.Live, f)
		}
	}
	live(FieldDomains, !maps.Equal(running.Domains, loaded.Domains))
	live(FieldGrace, running.Grace != loaded.Grace)
	live(FieldRetries, running.RetryRatio != loaded.RetryRatio || running.RetrySlack != loaded.RetrySlack || running.RetryWindow != loaded.RetryWindow)
	live(FieldMemory, running.MemoryBytes != loaded.MemoryBytes)
	restart := func(f Field, changed bool) {
		if changed {
			change.Restart = append(change.Restart, f)
		}
	}
	restart(FieldCallers, running.CallersAddress != loaded.CallersAddress)
	restart(FieldGate, running.Gate != loaded.Gate)
	restart(FieldReadiness, running.ReadinessAddress != loaded.ReadinessAddress)
	restart(FieldAnnouncements, running.AnnounceAddress != loaded.AnnounceAddress)
	restart(FieldPorts, running.MeshPort != loaded.MeshPort || running.MetricsPort != loaded.MetricsPort)
	restart(FieldService, running.TargetService != loaded.TargetService)
	restart(FieldDescriptors, running.Descriptors != loaded.Descriptors)
	restart(FieldStore, running.StoreAddress != loaded.StoreAddress)
	return change, nil
}

// checkIdentity adds a finding for each setting that says that the file belongs to another
// node.
func checkIdentity(c *check.Collector, running, loaded Settings) {
	for _, f := range []struct {
		field       Field
		here, there string
	}{
		{field: FieldNode, here: running.Node, there: loaded.Node},
		{field: FieldRole, here: running.Role, there: loaded.Role},
		{field: FieldDomain, here: running.Domain, there: loaded.Domain},
		{field: FieldRegion, here: running.Region, there: loaded.Region},
		{field: FieldIP, here: running.IP, there: loaded.IP},
	} {
		if f.here != f.there {
			c.Addf(loaded.File.Keys[f.field], "%q is not this node's %s, which is %q; the file belongs to another node", f.there, f.field, f.here)
		}
	}
}

// checkComplete adds a finding for each key of the running settings that the file lacks.
// The entries of the table of domains may come and go.
func checkComplete(c *check.Collector, running, loaded File) {
	domains := loaded.Keys[FieldDomains] + "."
	var missing []string
	for key := range running.Lines {
		_, found := loaded.Lines[key]
		entry := len(key) > len(domains) && key[:len(domains)] == domains
		if !found && !entry {
			missing = append(missing, key)
		}
	}
	sort.Strings(missing)
	for _, key := range missing {
		c.Addf(key, "missing, though the settings in force have it; the file may be cut short")
	}
}

// WithLive returns s with the settings of loaded that a running process can take over.
func (s Settings) WithLive(loaded Settings) Settings {
	s.File = loaded.File
	s.Domains = loaded.Domains
	s.Grace = loaded.Grace
	s.RetryRatio = loaded.RetryRatio
	s.RetrySlack = loaded.RetrySlack
	s.RetryWindow = loaded.RetryWindow
	s.MemoryBytes = loaded.MemoryBytes
	return s
}
