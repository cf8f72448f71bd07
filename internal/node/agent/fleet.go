package agent

import (
	"encoding/json"
	"net"
	"strconv"

	"github.com/valyala/fasthttp"

	"fuchsiapier/internal/mesh/peers"
	"fuchsiapier/internal/ops/admin"
)

// writeJSON responds to an operator.
func (a *Agent) writeJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		a.log.Error().Err(err).Msg("response to operator not encoded")
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// settings returns what operators see of the node's settings file.
func (a *Agent) settings() admin.Settings {
	s := a.reloader.Status()
	out := admin.Settings{
		Node:         a.deploy.Node,
		Domain:       a.deploy.Domain,
		Digest:       s.Settings.File.Digest,
		SharedDigest: s.Settings.File.SharedDigest,
		AppliedAt:    s.AppliedAt,
		Rejected:     s.Rejected,
	}
	for _, f := range s.Restart {
		out.Restart = append(out.Restart, string(f))
	}
	return out
}

// fleetOf converts a view of the live nodes, this one first, to the form that operators
// see.
func (a *Agent) fleetOf(v *peers.View) admin.Fleet {
	metricsOffset := a.deploy.MetricsPort - a.deploy.MeshPort
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
			Metrics:       net.JoinHostPort(n.IP, strconv.Itoa(int(n.MeshPort)+metricsOffset)),
		})
	}
	return f
}
