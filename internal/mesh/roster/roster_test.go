package roster

import (
	"encoding/json"
	"flag"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"fuchsiapier/internal/base/timer"
)

// init fixes the seed of rapid, so that every run checks the same cases. Flags on
// the command line are parsed later and override it.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "200")
}

// entry returns a live node in failure domain a.
func entry(name string, incarnation int64) Entry {
	return Entry{
		Name:        name,
		Domain:      "a",
		Region:      "r",
		Peers:       name,
		Incarnation: incarnation,
		Health:      Alive,
	}
}

// TestRoster guards against failed nodes that stay alive in the roster, nodes that
// are marked down though they refute a suspicion, and old entries (of a replaced
// VM, or of a node removed long ago) that return by way of a peer's gossip. A VM
// that does not detect its replacement would go on serving in the same slot.
func TestRoster(t *testing.T) {
	Convey("A roster with a peer", t, func() {
		r := New(entry("self", 1))
		r.Merge(0, []Entry{entry("peer", 5)})
		Convey("marks a suspected peer down if it does not refute in time", func() {
			r.Suspect(0, "peer")
			r.Tick(timer.Instant(suspicionTimeout))
			e, _ := r.Get("peer")
			So(e.Health, ShouldEqual, Suspect)
			r.Tick(timer.Instant(suspicionTimeout) + 1)
			e, _ = r.Get("peer")
			So(e.Health, ShouldEqual, Down)
			So(e.Serves(""), ShouldBeFalse)
		})
		Convey("refutes a false report about the node itself with a newer entry", func() {
			report := r.Self()
			report.Health = Down
			r.Merge(0, []Entry{report})
			So(r.Self().Health, ShouldEqual, Alive)
			So(r.Self().Sequence, ShouldEqual, report.Sequence+1)
		})
		Convey("ignores entries of a replaced VM", func() {
			r.Merge(0, []Entry{entry("peer", 9)})
			old := entry("peer", 5)
			old.Sequence = 100
			So(r.Merge(0, []Entry{old}), ShouldBeFalse)
			e, _ := r.Get("peer")
			So(e.Incarnation, ShouldEqual, 9)
		})
		Convey("detects a newer VM in its own slot", func() {
			So(r.Superseded([]Entry{entry("other", 1)}), ShouldBeFalse)
			So(r.Superseded([]Entry{entry("other", 2)}), ShouldBeTrue)
		})
		Convey("removes a node that has been down for long and does not learn it again", func() {
			gone := entry("peer", 5)
			gone.Health = Down
			r.Merge(0, []Entry{gone})
			r.Tick(timer.Instant(tombstoneTimeout) + 1)
			_, ok := r.Get("peer")
			So(ok, ShouldBeFalse)
			So(r.Merge(0, []Entry{gone}), ShouldBeFalse)
		})
	})
}

// TestRostersConverge guards against rosters that stay different. Nodes change,
// suspect each other and gossip in any order and at any time; after 3 rounds of
// exchanges between all pairs, all rosters must hold the same entries.
func TestRostersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const nodes = 4
		var rosters []*Roster
		for i := range nodes {
			rosters = append(rosters, New(entry(fmt.Sprint("n", i), 1)))
		}
		now := timer.Instant(0)
		exchange := func(i, j int) {
			reply := rosters[j].Answer(now, rosters[i].Message(now))
			if next, more := rosters[i].MergeReply(now, reply); more {
				rosters[i].MergeReply(now, rosters[j].Answer(now, next))
			}
		}
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			i, j := rapid.IntRange(0, nodes-1).Draw(t, "i"), rapid.IntRange(0, nodes-1).Draw(t, "j")
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				rosters[i].Update(now, func(e Entry) Entry {
					e.Target.Slots++
					return e
				})
			case 1:
				rosters[i].Suspect(now, fmt.Sprint("n", j))
			case 2:
				rosters[i].Tick(now)
			case 3:
				exchange(i, j)
			}
		}
		for range 3 {
			for i := range nodes {
				for j := range nodes {
					exchange(i, j)
				}
			}
		}
		want := fmt.Sprint(rosters[0].All())
		for _, r := range rosters {
			if got := fmt.Sprint(r.All()); got != want {
				t.Fatalf("rosters differ after the final exchanges:\n%s\n%s", want, got)
			}
		}
	})
}

// FuzzMessage guards against a peer's message that makes a node panic or changes the
// name or state in the node's own entry. One seed reports the node itself with the
// highest sequence number.
func FuzzMessage(f *testing.F) {
	good, _ := json.Marshal(New(entry("peer", 1)).Message(0))
	f.Add(good)
	f.Add([]byte(`{"from":{"name":"self","incarnation":1,"sequence":18446744073709551615},"digests":{"a":1}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var m Message
		if json.Unmarshal(data, &m) != nil {
			return
		}
		r := New(entry("self", 1))
		r.Answer(0, m)
		r.MergeReply(0, m)
		if r.Self().Name != "self" || r.Self().Health != Alive {
			t.Fatalf("message of a peer changed the node's own entry to %+v", r.Self())
		}
	})
}
