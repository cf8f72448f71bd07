package admin

import "time"

// PathFleet is the path on the metrics address of a node on the users' platform that
// serves its Fleet.
const PathFleet = "/fuchsiapier/fleet"

// PathSettings is the path on the metrics address of a node on the users' platform that
// serves its Settings.
const PathSettings = "/fuchsiapier/settings"

// Settings is what a node knows of its settings file.
type Settings struct {
	Node   string `json:"node"`
	Domain string `json:"domain"`
	// Digest identifies the file whose settings are in force. SharedDigest is the same at
	// all nodes whose files agree in what nodes have in common.
	Digest       string    `json:"digest"`
	SharedDigest string    `json:"shared-digest"`
	AppliedAt    time.Time `json:"applied-at"`
	// Restart names the settings of the file that take effect with the next start.
	Restart []string `json:"need-restart,omitempty"`
	// Rejected is why the file as it is now was refused, with its place.
	Rejected string `json:"rejected,omitempty"`
}

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
	// Metrics is the metrics address (ip:port) of the node.
	Metrics string `json:"metrics"`
}
