package agent

import (
	"encoding/json"

	"github.com/valyala/fasthttp"

	"fuchsiapier/internal/mesh/peers"
	"fuchsiapier/internal/ops/admin"
)

// handleFleet serves the node's view of all live nodes to operators, as JSON.
func (a *Agent) handleFleet(ctx *fasthttp.RequestCtx) {
	body, err := json.Marshal(fleetOf(a.peers.View()))
	if err != nil {
		a.log.Error().Err(err).Msg("encoding of the fleet view failed")
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// fleetOf converts a view of the live nodes, this one first, to the form that operators
// see.
func fleetOf(v *peers.View) admin.Fleet {
	f := admin.Fleet{
		Node: v.Self().Name,
	}
	for _, n := range v.Nodes() {
		f.Members = append(f.Members, admin.Member{
			Name:          n.Name,
			Domain:        n.Domain,
			Service:       n.Service,
			Target:        n.TargetID,
			Open:          n.Open && !n.Leaving,
			Suspect:       v.Suspect(n.Name),
			Slots:         int(n.Slots),
			WaitMillis:    int(n.WaitMillis),
			ServiceMillis: int(n.ServiceMillis),
			FailPercent:   int(n.FailPercent),
			Version:       n.Rules,
			Store:         n.Store,
			Keeper:        n.Keeper,
		})
	}
	return f
}
