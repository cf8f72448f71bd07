package daemon

import (
	"sync"
	"time"

	"fuchsiapier/internal/base/timer"
	"fuchsiapier/internal/conf/local"
	"fuchsiapier/internal/conf/state"
	"fuchsiapier/internal/quota/share"
)

// shares tracks which shares of the budgets this node's slot may use. It is safe
// for concurrent use.
type shares struct {
	node       local.Node
	mu         sync.Mutex
	workspaces share.Tracker
	links      share.Tracker
	// appliedVersion, workspaceShare and linkShare are from the last call of current.
	appliedVersion    uint64
	workspaceShare    float64
	linkShare         float64
	configuredVersion uint64
}

// configure sets the shares of the preset in force and the smallest shares of any
// published preset, which apply while the node is cut off from the platform's log
// and for a while after its start.
func (sh *shares) configure(s state.State) {
	active, ok := s.Active()
	if !ok {
		return
	}
	workspaceShare := active.SlotShare(sh.node.Domain, sh.node.Slot)
	linkShare := active.LinkSlotShare(sh.node.Domain, sh.node.Slot)
	minWorkspaceShare, minLinkShare := workspaceShare, linkShare
	for _, other := range s.Presets {
		minWorkspaceShare = min(minWorkspaceShare, other.SlotShare(sh.node.Domain, sh.node.Slot))
		minLinkShare = min(minLinkShare, other.LinkSlotShare(sh.node.Domain, sh.node.Slot))
	}
	now := timer.Now()
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.configuredVersion = s.Version
	sh.workspaces.Configure(now, workspaceShare, minWorkspaceShare)
	sh.links.Configure(now, linkShare, minLinkShare)
}

// current returns the shares that may be used now, as fractions, and whether they
// or the configuration have changed since the last call.
func (sh *shares) current(now timer.Instant, contactAge time.Duration) (workspaceShare, linkShare float64, changed bool) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	workspaceShare = sh.workspaces.Share(now, contactAge)
	linkShare = sh.links.Share(now, contactAge)
	changed = workspaceShare != sh.workspaceShare || linkShare != sh.linkShare || sh.configuredVersion != sh.appliedVersion
	sh.workspaceShare, sh.linkShare, sh.appliedVersion = workspaceShare, linkShare, sh.configuredVersion
	return workspaceShare, linkShare, changed
}
