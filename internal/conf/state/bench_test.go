package state

import (
	"encoding/json"
	"fmt"
	"testing"

	"fuchsiapier/internal/conf/preset"
)

// stateOfSize returns a state with three presets of n routes and n workspaces each,
// and 2n keys.
func stateOfSize(b *testing.B, n int) State {
	b.Helper()
	s := State{}
	for _, name := range []string{"ordinary", "peak", "maintenance"} {
		p := testPreset(name)
		p.Workspaces = map[string]preset.Workspace{}
		for i := range n {
			p.Workspaces[fmt.Sprint("workspace-", i)] = preset.Workspace{
				Rate:  10,
				Burst: 10,
			}
			p.Routes = append(p.Routes, preset.Route{
				Name:     fmt.Sprint("route-", i),
				Path:     fmt.Sprint("/route/", i),
				Service:  "web",
				Class:    "normal",
				Deadline: preset.Duration(1e9),
			})
		}
		var err error
		if s, err = s.WithPreset(&p); err != nil {
			b.Fatal(err)
		}
	}
	s.Keys = map[string]Key{}
	for i := range 2 * n {
		k, _ := NewKey(fmt.Sprint("workspace-", i%n))
		s.Keys[k.ID] = k
	}
	return s
}

// BenchmarkApply measures adding one key to configurations of different sizes.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{100, 1000, 4000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := stateOfSize(b, n)
			key, _ := NewKey("workspace-1")
			body := encode(Change{
				ID:        "give",
				Base:      s.Version,
				Operation: GiveKey,
				Key:       &key,
			})
			for b.Loop() {
				if _, o := s.Apply(0, body); !o.Accepted {
					b.Fatal(o.Reason)
				}
			}
			b.ReportMetric(float64(len(body)), "record-bytes")
			encoded, err := json.Marshal(s)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(encoded)), "state-bytes")
		})
	}
}

// BenchmarkAuthenticate measures the verification of a key by its text.
func BenchmarkAuthenticate(b *testing.B) {
	s := stateOfSize(b, 4000)
	key, text := NewKey("workspace-1")
	s.Keys[key.ID] = key
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := s.Authenticate(text); !ok {
			b.Fatal("valid key was refused")
		}
	}
}
