package test

import (
	"github.com/valyala/fasthttp"

	"fuchsiapier/internal/admit/claim"
	"fuchsiapier/lab/load"
	"fuchsiapier/lab/target"
)

// newID makes a request ID whose home is the domain of a VM.
func (f *fleet) newID(i int) string {
	f.t.Helper()
	id, err := claim.NewID(f.plan.VMs[i].Settings.Node.Domain)
	f.must(err)
	return id.Text
}

// send performs one sending of a request at the entry of a VM.
func (f *fleet) send(c load.Caller, i int, id string) load.Response {
	if c.Key == "" {
		c.Key = f.keys[c.Workspace]
	}
	return load.New(load.Script{}).Send(c, f.entry(i), id)
}

// get is send for an idempotent route.
func (f *fleet) get(workspace, path string, i int) load.Response {
	return f.send(load.Caller{
		Workspace: workspace,
		Method:    fasthttp.MethodGet,
		Path:      path,
	}, i, f.newID(i))
}

// postAs is send for a route that is not idempotent.
func (f *fleet) postAs(workspace, path string, i int, id string) load.Response {
	return f.send(load.Caller{
		Workspace: workspace,
		Method:    fasthttp.MethodPost,
		Path:      path,
	}, i, id)
}

// byRequest counts how often targets began each request on a path.
func byRequest(runs []target.Entry, path string) map[string]int {
	out := map[string]int{}
	for _, r := range runs {
		if r.Path == path {
			out[r.Request]++
		}
	}
	return out
}

// sendFixed sends a request with a body that does not name its ID, under a new ID.
func (f *fleet) sendFixed(c load.Caller, i int, body string) load.Response {
	return load.New(load.Script{}).SendBody(c, f.entry(i), f.newID(i), body)
}
