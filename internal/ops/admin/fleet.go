package admin

// PathFleet is the path on the metrics address of a node on the users' platform that
// serves its Fleet.
const PathFleet = "/fuchsiapier/fleet"

// Fleet is one node's snapshot of the membership. Nodes that a network partition
// separates have different snapshots.
type Fleet struct {
	// Node names the node that took the snapshot.
	Node string `json:"node"`
	// Members lists the live nodes, the one that took the snapshot first.
	Members []Member `json:"members"`
}

// Member is a live node as another one knows it. Its load comes from heartbeats and
// may be several heartbeats old.
type Member struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	// Service is the service of the node's target, Target the target's ID.
	Service string `json:"service"`
	Target  string `json:"target"`
	// Open reports whether the node admits calls to its target, Suspect whether its
	// heartbeats are overdue.
	Open    bool `json:"open"`
	Suspect bool `json:"suspect"`
	// Slots is how many requests the target runs at once.
	Slots int `json:"slots"`
	// WaitMillis is the queueing time of calls at the node and ServiceMillis the mean
	// service time of its target, both in milliseconds.
	WaitMillis    int `json:"wait-ms"`
	ServiceMillis int `json:"service-ms"`
	// FailPercent is the share of recent requests that the target failed.
	FailPercent int `json:"fail-percent"`
	// Version is the version of the configuration in force on the node.
	Version int64 `json:"version"`
	// Store reports whether the node reached the platform's store recently.
	Store bool `json:"store"`
	// Keeper names the keeper of the node's failure domain, which holds its tokens.
	Keeper string `json:"keeper"`
}
