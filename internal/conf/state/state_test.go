package state

import (
	"encoding/json"
	"flag"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"fuchsiapier/internal/conf/preset"
)

// init fixes the seed and the number of cases, so that every run checks the same
// cases. Flags on the command line override it.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "200")
}

func testPreset(name string) preset.Preset {
	return preset.Preset{
		Name:           name,
		OfflineLimit:   preset.Duration(time.Minute),
		ClaimRetention: preset.Duration(time.Minute),
		ClockMargin:    preset.Duration(time.Second),
		Domains: map[string]preset.Domain{
			"a": {
				Region: "r",
				Share:  1,
				Slots:  1,
			},
		},
	}
}

func encode(c Change) []byte {
	body, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	return body
}

// publish encodes a change that publishes a valid preset of a name.
func publish(id string, base uint64, name string) []byte {
	p := testPreset(name)
	return encode(Change{
		ID:        id,
		Base:      base,
		Author:    id,
		Operation: PublishPreset,
		Preset:    &p,
	})
}

// TestApply guards against changes that are lost or applied twice when two authors
// build on the same version, an author sends a change again after a lost response, or
// a record is malformed. It also guards against keys that authenticate by a text that is
// not exactly theirs, or after they were withdrawn.
func TestApply(t *testing.T) {
	Convey("Given a state with one preset", t, func() {
		s, o := State{}.Apply(0, publish("first", 0, "ordinary"))
		So(o.Accepted, ShouldBeTrue)
		So(s.Version, ShouldEqual, 1)
		Convey("of two changes that build on the same version only the first in the log is accepted", func() {
			s, o = s.Apply(1, publish("one", 1, "peak"))
			So(o.Accepted, ShouldBeTrue)
			s, o = s.Apply(2, publish("two", 1, "maintenance"))
			So(o.Accepted, ShouldBeFalse)
			So(o.Winner.Author, ShouldEqual, "one")
			So(s.Version, ShouldEqual, 2)
			So(s.Presets, ShouldNotContainKey, "maintenance")
		})
		Convey("a change that is sent twice is applied once", func() {
			s, _ = s.Apply(1, publish("one", 1, "peak"))
			s, o = s.Apply(2, publish("one", 1, "peak"))
			So(o.Accepted, ShouldBeTrue)
			So(s.Version, ShouldEqual, 2)
		})
		Convey("a malformed or invalid record changes only the offset", func() {
			bad := testPreset("bad")
			bad.Domains = nil
			for i, body := range [][]byte{
				[]byte("{"),
				encode(Change{ID: "x", Base: 1, Operation: "unheard-of"}),
				encode(Change{ID: "y", Base: 1, Operation: PublishPreset, Preset: &bad}),
				encode(Change{ID: "z", Base: 1, Operation: SwitchPreset, Name: "none"}),
				encode(Change{ID: "k", Base: 1, Operation: WithdrawKey, Name: "none"}),
			} {
				s, o = s.Apply(uint64(i+1), body)
				So(o.Accepted, ShouldBeFalse)
				So(o.Reason, ShouldNotBeEmpty)
				So(s.Version, ShouldEqual, 1)
			}
		})
		Convey("a key is authenticated by its whole text only, until it is withdrawn", func() {
			key, text := NewKey("one")
			s, o = s.Apply(1, encode(Change{ID: "give", Base: 1, Operation: GiveKey, Key: &key}))
			So(o.Accepted, ShouldBeTrue)
			_, ok := s.Authenticate(text)
			So(ok, ShouldBeTrue)
			for _, wrong := range []string{"", ".", key.ID, key.ID + ".", text[:len(text)-1], text + "x"} {
				_, ok = s.Authenticate(wrong)
				So(ok, ShouldBeFalse)
			}
			s, _ = s.Apply(2, encode(Change{ID: "take", Base: 2, Operation: WithdrawKey, Name: key.ID}))
			_, ok = s.Authenticate(text)
			So(ok, ShouldBeFalse)
		})
	})
}

// drawLog draws a log that mixes valid changes with conflicting, repeated and
// malformed ones and with checkpoints.
func drawLog(t *rapid.T) [][]byte {
	var log [][]byte
	s := State{}
	for i := range rapid.IntRange(1, 30).Draw(t, "records") {
		base := s.Version
		if rapid.Bool().Draw(t, "stale") && base > 0 {
			base--
		}
		body := publish(fmt.Sprintf("c%d", i), base, fmt.Sprintf("p%d", i%4))
		switch rapid.IntRange(0, 6).Draw(t, "kind") {
		case 0:
			body = []byte("not json")
		case 1:
			if len(log) > 0 {
				body = log[rapid.IntRange(0, len(log)-1).Draw(t, "repeated")]
			}
		case 2:
			cp := s
			body = encode(Change{ID: fmt.Sprintf("cp%d", i), Operation: Checkpoint, State: &cp})
		}
		log = append(log, body)
		s, _ = s.Apply(uint64(i), body)
	}
	return log
}

// records returns the records of log from the offset first on.
func records(log [][]byte, first int) []Record {
	var out []Record
	for i := first; i < len(log); i++ {
		out = append(out, Record{
			Offset: uint64(i),
			Body:   log[i],
		})
	}
	return out
}

// TestReplayAgrees guards against nodes that disagree on the configuration. Readers
// replay the log from different offsets and in different pieces, and retention
// removes its first records.
func TestReplayAgrees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := drawLog(t)
		whole, _, err := State{}.Replay(0, records(log, 0))
		if err != nil {
			t.Fatal(err)
		}
		// A reader that starts after retention removed records either reports the
		// gap or ends with the same configuration.
		first := rapid.IntRange(0, len(log)-1).Draw(t, "first retained")
		late, _, err := State{}.Replay(uint64(first), records(log, first))
		if err == nil && (late.Version != whole.Version || fmt.Sprint(late.Presets) != fmt.Sprint(whole.Presets)) {
			t.Fatalf("version %d after replay from the first retained record, want %d", late.Version, whole.Version)
		}
		// The version of a reader that reads in pieces never decreases.
		s := State{}
		for i := range log {
			next, _, err := s.Replay(0, records(log[:i+1], 0))
			if err != nil || next.Version < s.Version {
				t.Fatalf("version changed from %d to %d: %v", s.Version, next.Version, err)
			}
			s = next
		}
	})
}

// FuzzApply checks that no record, however malformed, makes Apply or Replay panic
// or keeps Apply from advancing by one offset.
func FuzzApply(f *testing.F) {
	f.Add(publish("a", 0, "ordinary"))
	f.Add([]byte(`{"id":"x","operation":"checkpoint","state":{"version":9}}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		s, _ := State{}.Apply(0, body)
		if s.Next != 1 {
			t.Fatalf("next offset is %d, want 1", s.Next)
		}
		_, _, _ = State{}.Replay(3, []Record{{Offset: 3, Body: body}})
	})
}
