package test

import (
	"github.com/valyala/fasthttp"

	"fuchsiapier/internal/admit/claim"
	"fuchsiapier/lab/load"
	"fuchsiapier/lab/target"
)

// newID returns a new request ID whose home is the failure domain of a VM.
func (f *fleet) newID(i int) string {
	f.t.Helper()
	id, err := claim.NewID(f.plan.VMs[i].Settings.Node.Domain)
	f.must(err)
	return id.Text
}

// send sends a request once to the node of a VM, with the key of the caller's workspace
// unless the caller has a key.
func (f *fleet) send(c load.Caller, i int, id string) load.Response {
	if c.Key == "" {
		c.Key = f.keys[c.Workspace]
	}
	return load.New(load.Script{}).Send(c, f.entry(i), id)
}

// get sends a GET request under a new ID; its route must be idempotent.
func (f *fleet) get(workspace, path string, i int) load.Response {
	return f.send(load.Caller{
		Workspace: workspace,
		Method:    fasthttp.MethodGet,
		Path:      path,
	}, i, f.newID(i))
}

// post sends a POST request under a given ID, for routes that are not idempotent.
func (f *fleet) post(workspace, path string, i int, id string) load.Response {
	return f.send(load.Caller{
		Workspace: workspace,
		Method:    fasthttp.MethodPost,
		Path:      path,
	}, i, id)
}

// runsPerRequest counts how often targets began each request on a path, by request ID.
func runsPerRequest(runs []target.Entry, path string) map[string]int {
	out := map[string]int{}
	for _, r := range runs {
		if r.Path == path {
			out[r.Request]++
		}
	}
	return out
}

// sendBody sends a request with a given body under a new ID. Requests with the same body
// have the same fingerprint, since the body does not contain the ID.
func (f *fleet) sendBody(c load.Caller, i int, body string) load.Response {
	return load.New(load.Script{}).SendBody(c, f.entry(i), f.newID(i), body)
}
