package claim

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"fuchsiapier/internal/base/timer"
)

// init fixes the seed and the number of checks, so that every run tests the same
// cases. Flags on the command line override both.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "1000")
}

// epoch is the wall time at which the replicas of the tests start.
var epoch = time.Unix(1_800_000_000, 0)

func testRules() Rules {
	return Rules{
		Layout:      "a",
		Retention:   2 * time.Minute,
		ClockMargin: time.Second,
	}
}

// domainModel simulates the replicas of one ID and attempts of several holders to claim
// it, with lost messages and replicas that are replaced.
type domainModel struct {
	now      time.Duration
	replicas [Replicas]*Replica
	// winners counts the attempts that reached a quorum and ran.
	winners int
}

func (d *domainModel) wall() time.Time { return epoch.Add(d.now) }

// replace replaces a replica by one without records that starts now.
func (d *domainModel) replace(i int) {
	r := NewReplica(d.wall())
	r.Configure(d.wall(), testRules())
	d.replicas[i] = r
}

// attempt claims the ID at the reachable replicas and runs if a quorum grants it.
// Otherwise it releases the claim. Replicas may be replaced between its messages.
func (d *domainModel) attempt(t *rapid.T, n int, created time.Time) {
	q := Request{
		Key:         "w|id",
		Created:     created,
		Holder:      fmt.Sprintf("node-%d", n%3),
		Incarnation: int64(n),
		Attempt:     uint64(n),
		Layout:      "a",
	}
	granted := 0
	for i := range d.replicas {
		d.injectFaults(t)
		if rapid.Bool().Draw(t, "reached") && d.replicas[i].Claim(timer.Instant(d.now), d.wall(), q).Verdict == Granted {
			granted++
		}
	}
	if granted >= Quorum(Replicas) {
		d.winners++
		return
	}
	for i := range d.replicas {
		if rapid.Bool().Draw(t, "release arrives") {
			d.replicas[i].Release(q)
		}
	}
}

// injectFaults advances the time and sometimes replaces a replica.
func (d *domainModel) injectFaults(t *rapid.T) {
	d.now += time.Duration(rapid.IntRange(0, 800).Draw(t, "ms")) * time.Millisecond
	if rapid.IntRange(0, 3).Draw(t, "replaced") == 0 {
		d.replace(rapid.IntRange(0, Replicas-1).Draw(t, "replica"))
	}
}

// TestAtMostOneClaimWins guards against two runs of a non-idempotent request, which would
// happen if two attempts reached a quorum although replicas were replaced in between.
func TestAtMostOneClaimWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &domainModel{}
		for i := range d.replicas {
			d.replace(i)
		}
		d.now = 10 * time.Second
		// The caller's clock may differ by the clock margin.
		skew := time.Duration(rapid.IntRange(-1000, 1000).Draw(t, "skew")) * time.Millisecond
		created := d.wall().Add(skew)
		for n := range rapid.IntRange(2, 8).Draw(t, "attempts") {
			d.attempt(t, n, created)
		}
		if d.winners > 1 {
			t.Fatalf("%d attempts ran, want at most 1", d.winners)
		}
	})
}

// TestReplica guards against a claim that is granted twice: to another holder, for another
// request, or for an ID whose claim the replica may have missed or already removed.
func TestReplica(t *testing.T) {
	Convey("Given a replica that started a minute ago and has granted a claim", t, func() {
		r := NewReplica(epoch)
		r.Configure(epoch, testRules())
		wall := epoch.Add(time.Minute)
		now := timer.Instant(time.Minute)
		q := Request{
			Key:         "w|id",
			Created:     wall,
			Holder:      "one",
			Attempt:     1,
			Fingerprint: 7,
			Layout:      "a",
		}
		So(r.Claim(now, wall, q).Verdict, ShouldEqual, Granted)
		Convey("another holder is told who holds the claim", func() {
			other := q
			other.Holder = "two"
			a := r.Claim(now, wall, other)
			So(a.Verdict, ShouldEqual, Taken)
			So(a.Holder, ShouldEqual, "one")
		})
		Convey("the same ID for another request is refused", func() {
			other := q
			other.Fingerprint = 8
			So(r.Claim(now, wall, other).Verdict, ShouldEqual, Reused)
		})
		Convey("a late release of an earlier attempt does not remove the claim", func() {
			again := q
			again.Attempt = 2
			So(r.Claim(now, wall, again).Verdict, ShouldEqual, Granted)
			r.Release(q)
			other := q
			other.Holder = "two"
			So(r.Claim(now, wall, other).Verdict, ShouldEqual, Taken)
		})
		Convey("an ID created before a replacement replica started is not granted", func() {
			fresh := NewReplica(wall.Add(time.Second))
			fresh.Configure(wall, testRules())
			So(fresh.Claim(now, wall.Add(2*time.Second), q).Verdict, ShouldEqual, Unverifiable)
		})
		Convey("an ID from the future, or older than the retention, is not granted", func() {
			future := q
			future.Key = "w|future"
			future.Created = wall.Add(2 * time.Second)
			So(r.Claim(now, wall, future).Verdict, ShouldEqual, Unverifiable)
			old := q
			old.Key = "w|old"
			So(r.Claim(now, wall.Add(2*time.Minute), old).Verdict, ShouldEqual, Unverifiable)
		})
		Convey("after a change of the layout, IDs created before all nodes use it are not granted", func() {
			changed := testRules()
			changed.Layout = "b"
			r.Configure(wall, changed)
			next := q
			next.Key = "w|next"
			next.Layout = "b"
			next.Created = wall.Add(10 * time.Second)
			So(r.Claim(now, wall.Add(10*time.Second), next).Verdict, ShouldEqual, Unverifiable)
			next.Created = wall.Add(30 * time.Second)
			So(r.Claim(now, wall.Add(30*time.Second), next).Verdict, ShouldEqual, Granted)
		})
		Convey("claims are removed only once their IDs are too old to be claimed", func() {
			So(r.Len(), ShouldEqual, 1)
			later := q
			later.Key = "w|later"
			later.Created = wall.Add(3 * time.Minute)
			r.Claim(now.Add(3*time.Minute), wall.Add(3*time.Minute), later)
			So(r.Len(), ShouldEqual, 1)
		})
	})
}

// FuzzParseID guards against panics in ParseID, and against an accepted ID whose text
// changes.
func FuzzParseID(f *testing.F) {
	f.Add("constanta-a.01890a5d-ac96-774b-bcce-b302099a8057")
	f.Add(".")
	f.Add(strings.Repeat("x", 200))
	f.Fuzz(func(t *testing.T, text string) {
		id, err := ParseID(text)
		if err == nil && id.Text != text {
			t.Fatalf("ParseID(%q).Text = %q", text, id.Text)
		}
	})
}
