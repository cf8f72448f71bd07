package admin

// PathFleet is where a node on the users' platform shows its picture of all nodes,
// on its metrics address.
const PathFleet = "/fuchsiapier/fleet"

// Fleet is what one node believes of all, itself first.
type Fleet struct {
	Node    string   `json:"node"`
	Members []Member `json:"members"`
}

// Member is a live node as another one sees it. What it tells of its load is some
// beats old.
type Member struct {
	Name    string `json:"name"`
	Domain  string `json:"domain"`
	Service string `json:"service"`
	Target  string `json:"target"`
	// Open says that it takes calls for its target, Suspect that its beats are overdue.
	Open    bool `json:"open"`
	Suspect bool `json:"suspect"`
	Slots   int  `json:"slots"`
	// WaitMillis is how long calls wait there, ServiceMillis how long they run.
	WaitMillis    int `json:"wait-ms"`
	ServiceMillis int `json:"service-ms"`
	// FailPercent is the part of requests that its target failed lately.
	FailPercent int `json:"fail-percent"`
	// Version is the configuration in force on it.
	Version int64 `json:"version"`
	// Store says that it reached the platform's store lately.
	Store bool `json:"store"`
	// Keeper names the node that keeps its workspaces' tokens.
	Keeper string `json:"keeper"`
}
