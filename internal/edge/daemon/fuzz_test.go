package daemon

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"fuchsiapier/internal/conf/local"
	"fuchsiapier/internal/conf/preset"
	"fuchsiapier/internal/edge/wire"
	"fuchsiapier/internal/mesh/gossip"
	"fuchsiapier/internal/quota/tokens"
)

// newDaemon starts a node without peers whose platform log is unreachable.
var newDaemon = sync.OnceValues(func() (*Daemon, error) {
	const anyPort = "127.0.0.1:0"
	d, _, err := New(local.Settings{
		Node: local.Node{
			Name:   "fuzzed",
			Domain: "a",
			Region: "r",
		},
		Listen: local.Listen{
			Callers:   anyPort,
			Targets:   anyPort,
			Peers:     anyPort,
			Advertise: anyPort,
			Operators: anyPort,
		},
		Platform: local.Platform{
			Log:       "127.0.0.1:1",
			Retention: preset.Duration(time.Hour),
		},
	}, zerolog.Nop())
	return d, err
})

// FuzzPeerMessages guards against a malformed message of a peer that crashes the
// node. It passes arbitrary bytes to every method except gossip and probe, which
// would dial the addresses in the messages; package roster fuzzes their contents.
func FuzzPeerMessages(f *testing.F) {
	for _, v := range []any{
		wire.Call{ID: "a", Method: "GET", Path: "/x", LeftMillis: 1},
		wire.Join{Key: "a", LeftMillis: 1},
		tokens.LendRequest{Budget: "workspace:one", Scope: tokens.ScopeFleet, Want: 1e300, Demand: -1},
		map[string]any{"update": map[string]any{"from": 0, "records": []any{map[string]any{"offset": 1, "body": "e30="}}}},
		map[string]any{"entries": []any{map[string]any{"fingerprint": 1, "standing": "quarantined", "left-millis": -5}}},
	} {
		body, err := json.Marshal(v)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body)
	}
	f.Add([]byte("null"))
	f.Add([]byte(`{"want":"NaN"}`))
	d, err := newDaemon()
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		for name, h := range d.methods() {
			if name != gossip.MethodGossip && name != gossip.MethodProbe {
				_, _ = h(ctx, data)
			}
		}
	})
}
