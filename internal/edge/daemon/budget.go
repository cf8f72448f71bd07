package daemon

import (
	"strings"

	"fuchsiapier/internal/base/timer"
	"fuchsiapier/internal/conf/preset"
	"fuchsiapier/internal/conf/state"
	"fuchsiapier/internal/edge/front"
	"fuchsiapier/internal/quota/bucket"
	"fuchsiapier/internal/quota/tokens"
)

// configure applies a newer configuration.
func (d *Daemon) configure(s state.State) {
	p, ok := s.Active()
	if !ok {
		return
	}
	d.once.Configure(p)
	d.shares.configure(s)
	d.applyShares(timer.Now())
	d.log.Info().Uint64("version", s.Version).Str("preset", s.InForce).Msg("configuration applied")
}

// applyShares reconfigures the budgets if the shares that this node's slot may use,
// or the configuration, have changed.
func (d *Daemon) applyShares(now timer.Instant) {
	p, ok := d.feed.State().Active()
	if !ok {
		return
	}
	if workspaceShare, linkShare, changed := d.shares.current(now, d.feed.ContactAge()); changed {
		d.tokens.Configure(now, d.slices(p, workspaceShare, linkShare))
	}
}

// slices returns a function that computes this node's slice of a budget from the
// shares of its slot: rate and burst, in requests for a workspace and in bytes for
// a region link. The function also reports whether the preset has the budget.
func (d *Daemon) slices(p preset.Preset, workspaceShare, linkShare float64) tokens.Slices {
	region := d.settings.Node.Region
	return func(budget string) (bucket.Slice, bool) {
		if to, ok := strings.CutPrefix(budget, linkBudgetPrefix); ok {
			_, known := p.Link(region, to)
			return bucket.Slice(p.LinkSlice(region, to, linkShare)), known
		}
		workspace := strings.TrimPrefix(budget, front.BudgetName(""))
		_, known := p.Workspaces[workspace]
		return bucket.Slice(p.WorkspaceSlice(workspace, workspaceShare)), known
	}
}

func isLinkBudget(budget string) bool {
	return strings.HasPrefix(budget, linkBudgetPrefix)
}
