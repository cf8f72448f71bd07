package daemon

import "fuchsiapier/internal/mesh/roster"

// slotKey identifies a slot of a failure domain.
type slotKey struct {
	domain string
	slot   int
}

// view is an immutable index of the roster, rebuilt when the roster has changed, so
// that calls need not search it.
type view struct {
	// regions maps the peer address of each node to its region.
	regions map[string]string
	// members lists the live nodes of each failure domain, sorted by name.
	members map[string][]string
	// holders maps each slot to the node with the highest incarnation in it, except
	// for nodes that have left.
	holders map[slotKey]roster.Entry
}

func newView(entries []roster.Entry) *view {
	v := &view{
		regions: make(map[string]string, len(entries)),
		members: map[string][]string{},
		holders: make(map[slotKey]roster.Entry, len(entries)),
	}
	for _, e := range entries {
		v.regions[e.Peers] = e.Region
		if e.Health == roster.Alive {
			v.members[e.Domain] = append(v.members[e.Domain], e.Name)
		}
		key := slotKey{
			domain: e.Domain,
			slot:   e.Slot,
		}
		if e.Health != roster.Left && e.Incarnation > v.holders[key].Incarnation {
			v.holders[key] = e
		}
	}
	return v
}
