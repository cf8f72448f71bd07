package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"fuchsiapier/internal/ops/admin"
)

// fleetSettings is what the nodes of a fleet say of their settings files. Unreached names
// the nodes that did not say.
type fleetSettings struct {
	Nodes     []admin.Settings `json:"nodes"`
	Unreached []string         `json:"unreached,omitempty"`
}

// collectSettings asks each node of a fleet for its settings.
func collectSettings(f admin.Fleet) fleetSettings {
	addresses := map[string]string{}
	for _, m := range f.Members {
		addresses[m.Name] = m.Metrics
	}
	nodes, unreached := fetchAll[admin.Settings](addresses, admin.PathSettings)
	return fleetSettings{
		Nodes:     nodes,
		Unreached: unreached,
	}
}

// settingsGroup is the nodes of one failure domain whose files agree in what nodes have in
// common.
type settingsGroup struct {
	domain string
	digest string
	nodes  []string
}

// groupSettings groups nodes by failure domain and shared digest, ordered by domain and
// then by size, the largest group first.
func groupSettings(nodes []admin.Settings) []settingsGroup {
	var groups []settingsGroup
	for _, n := range nodes {
		i := slices.IndexFunc(groups, func(g settingsGroup) bool { return g.domain == n.Domain && g.digest == n.SharedDigest })
		if i < 0 {
			i = len(groups)
			groups = append(groups, settingsGroup{
				domain: n.Domain,
				digest: n.SharedDigest,
			})
		}
		groups[i].nodes = append(groups[i].nodes, n.Node)
	}
	slices.SortFunc(groups, func(a, b settingsGroup) int {
		return cmp.Or(cmp.Compare(a.domain, b.domain), cmp.Compare(len(b.nodes), len(a.nodes)), cmp.Compare(a.digest, b.digest))
	})
	return groups
}

// commonDigest returns the shared digest that most nodes have.
func commonDigest(nodes []admin.Settings) string {
	counts := map[string]int{}
	best := ""
	for _, n := range nodes {
		counts[n.SharedDigest]++
		d := n.SharedDigest
		if counts[d] > counts[best] || counts[d] == counts[best] && d < best {
			best = d
		}
	}
	return best
}

// printSettings prints the settings that the nodes run with: a line for each failure
// domain and shared digest, which names the nodes that differ from most of the fleet, and
// a line for each refused file and each change that needs a restart.
func printSettings(out io.Writer, s fleetSettings, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(out).Encode(s)
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprint(w, "DOMAIN\tSETTINGS\tNODES\tDIFFERING\n")
	common := commonDigest(s.Nodes)
	for _, g := range groupSettings(s.Nodes) {
		differing := ""
		if g.digest != common {
			differing = strings.Join(g.nodes, " ")
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", g.domain, g.digest, len(g.nodes), differing)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, n := range s.Nodes {
		if n.Rejected != "" {
			_, _ = fmt.Fprintf(out, "%s: file refused, settings of %s stay: %s\n", n.Node, n.AppliedAt.Format("15:04:05"), n.Rejected)
		}
		if len(n.Restart) > 0 {
			_, _ = fmt.Fprintf(out, "%s: needs a restart for %s\n", n.Node, strings.Join(n.Restart, ", "))
		}
	}
	for _, name := range s.Unreached {
		if _, err := fmt.Fprintf(out, "%s: did not say\n", name); err != nil {
			return err
		}
	}
	return nil
}
