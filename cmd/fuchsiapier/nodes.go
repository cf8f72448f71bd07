package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"fuchsiapier/internal/mesh/roster"
	"fuchsiapier/internal/ops/admin"
)

// nodeTimeout is the timeout of a request to one node.
const nodeTimeout = 2 * time.Second

// getJSON fetches a path from a node's address (ip:port) and decodes the response
// into v.
func getJSON(address, path string, v any) error {
	code, body, err := fasthttp.GetTimeout(nil, "http://"+address+path, nodeTimeout)
	if err != nil {
		return fmt.Errorf("node %s: %w", address, err)
	}
	if code != fasthttp.StatusOK {
		return fmt.Errorf("node %s: status %d", address, code)
	}
	return json.Unmarshal(body, v)
}

// discover returns the operators' addresses, by node name, of all nodes known to the
// nodes of the --node flag. Nodes that are down or have left are skipped. The
// errors of single nodes are returned only if no node is found.
func (e *env) discover() (map[string]string, error) {
	if len(e.nodes) == 0 {
		return nil, errors.New("no node given; use --node ip:port with any node's operators' address")
	}
	found := map[string]string{}
	var failures []error
	for _, address := range e.nodes {
		var known []roster.Entry
		if err := getJSON(address, admin.PathNodes, &known); err != nil {
			failures = append(failures, err)
			continue
		}
		for _, n := range known {
			if n.Health == roster.Alive || n.Health == roster.Suspect {
				found[n.Name] = n.Operators
			}
		}
	}
	if len(found) == 0 {
		return nil, errors.Join(failures...)
	}
	return found, nil
}

// fetchAll fetches the same path from all nodes in parallel. It returns the responses
// in order of node name, and the sorted names of the nodes that failed to respond.
func fetchAll[T any](nodes map[string]string, path string) (responses []T, unreachable []string) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	byName := map[string]T{}
	for name, address := range nodes {
		wg.Go(func() {
			var v T
			err := getJSON(address, path, &v)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unreachable = append(unreachable, name)
				return
			}
			byName[name] = v
		})
	}
	wg.Wait()
	names := make([]string, 0, len(byName))
	for name := range byName {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		responses = append(responses, byName[name])
	}
	sort.Strings(unreachable)
	return responses, unreachable
}
