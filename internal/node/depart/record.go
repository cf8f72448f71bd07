// Package depart makes the departures of targets outlive the node that confirms them. A departure
// is confirmed once the platform's store has taken it, or once nodes of other failure domains hold
// it while the store has not. A node that starts recalls what an earlier process of it may have
// confirmed before it uses its target.
package depart

import (
	"context"
	"slices"

	"fuchsiapier/internal/mesh/peers"
	"fuchsiapier/internal/mesh/rank"
	"fuchsiapier/internal/node/starts"
)

// Record is the departures of the targets on the VM of a node.
type Record struct {
	// Owner names the node.
	Owner      string
	Departures []starts.Departure
}

// Links makes calls to other nodes.
type Links interface {
	// Hold makes a node hold a record, and returns once it does.
	Hold(ctx context.Context, at peers.Node, r Record, reach Reach) error
	// Recall returns the departures that are held for an owner.
	Recall(ctx context.Context, from peers.Node, owner string, reach Reach) ([]starts.Departure, error)
}

// Reach says which nodes a call to one node is about.
type Reach int

const (
	// OneNode means the called node alone.
	OneNode Reach = iota
	// ItsDomain means the replicas of its failure domain as well.
	ItsDomain
)

// replicaCount is the number of nodes of a failure domain that hold the departures of other domains
// for it: more than one, since a node may restart before its owner does.
const replicaCount = 3

// replicas returns the live nodes of the local domain that hold the departures of other domains for
// it, chosen by rendezvous hashing so that all nodes of the domain name the same.
func replicas(v *peers.View) []peers.Node {
	var names []string
	byName := map[string]peers.Node{}
	for _, n := range v.Nodes() {
		if n.Domain == v.Self().Domain && !n.Leaving {
			names = append(names, n.Name)
			byName[n.Name] = n
		}
	}
	slices.Sort(names)
	var out []peers.Node
	for _, name := range rank.Order(v.Self().Domain, names) {
		if len(out) < replicaCount {
			out = append(out, byName[name])
		}
	}
	return out
}

// maxHolderDomains is the number of other failure domains whose nodes must hold a departure that the
// store has not taken: the loss of one domain beside the own one then forgets nothing.
const maxHolderDomains = 2

// holderDomains returns the number of other failure domains whose nodes must hold a departure in a
// deployment with a number of domains, 0 if only the store can take it.
func holderDomains(domains int) int {
	return min(maxHolderDomains, max(domains-1, 0))
}

// recallDomains returns the number of other failure domains that must have been asked, so that one of
// them holds each confirmed departure that the store has not taken.
func recallDomains(domains int) int {
	others := max(domains-1, 0)
	if others == 0 {
		return 0
	}
	return others - holderDomains(domains) + 1
}

// candidates returns the live nodes of each other failure domain that are not leaving, in the order in
// which they are to be asked.
func candidates(v *peers.View) map[string][]peers.Node {
	names := map[string][]string{}
	byName := map[string]peers.Node{}
	for _, n := range v.Nodes() {
		if n.Domain == v.Self().Domain || n.Leaving {
			continue
		}
		names[n.Domain] = append(names[n.Domain], n.Name)
		byName[n.Name] = n
	}
	out := map[string][]peers.Node{}
	for domain, list := range names {
		slices.Sort(list)
		for _, name := range rank.Order(domain, list) {
			out[domain] = append(out[domain], byName[name])
		}
	}
	return out
}
