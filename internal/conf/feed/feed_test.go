package feed

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/internal/base/timer"
	"fuchsiapier/internal/conf/plog"
	"fuchsiapier/internal/conf/preset"
	"fuchsiapier/internal/conf/state"
)

// fakeLog is a log in memory that can remove its first records, as retention does,
// and can fail all requests.
type fakeLog struct {
	first   uint64
	records []state.Record
	fails   bool
}

func (l *fakeLog) Append(_ string, body []byte) (uint64, error) {
	if l.fails {
		return 0, errors.New("outage")
	}
	offset := l.first + uint64(len(l.records))
	l.records = append(l.records, state.Record{Offset: offset, Body: body})
	return offset, nil
}

func (l *fakeLog) Read(_ string, from uint64, _ time.Duration) (plog.Page, error) {
	if l.fails {
		return plog.Page{}, errors.New("outage")
	}
	p := plog.Page{First: l.first, Next: l.first + uint64(len(l.records))}
	from = max(from, l.first)
	if from < p.Next {
		// A page holds two records at most, so that readers must read several pages.
		rest := l.records[from-l.first:]
		p.Records = rest[:min(2, len(rest))]
	}
	return p, nil
}

// drop removes the first n records.
func (l *fakeLog) drop(n int) {
	l.first += uint64(n)
	l.records = l.records[n:]
}

// publish appends a change that publishes a valid preset.
func (l *fakeLog) publish(id string, base uint64) {
	p := preset.Preset{
		Name:           id,
		OfflineLimit:   preset.Duration(time.Minute),
		ClaimRetention: preset.Duration(time.Minute),
		ClockMargin:    preset.Duration(time.Second),
		Domains:        map[string]preset.Domain{"a": {Region: "r", Share: 1, Slots: 1}},
	}
	body, _ := json.Marshal(state.Change{ID: id, Base: base, Operation: state.PublishPreset, Preset: &p})
	_, _ = l.Append("", body)
}

// TestFeed guards against a configuration that goes back to an older version or
// misses changes: when a peer is ahead of or behind the log, when an update skips
// records, when retention has removed records, and during an outage of the log.
func TestFeed(t *testing.T) {
	Convey("Given a log with five changes and a feed that has read them", t, func() {
		l := &fakeLog{}
		for i, id := range []string{"a", "b", "c", "d", "e"} {
			l.publish(id, uint64(i))
		}
		var updates []Update
		f := New(l, WithOnRecords(func(u Update) { updates = append(updates, u) }))
		So(f.poll(), ShouldBeNil)
		So(f.State().Version, ShouldEqual, 5)

		Convey("the older state of a peer is ignored and a newer one is adopted", func() {
			old := f.State()
			old.Version = 3
			f.Offer(old)
			So(f.State().Version, ShouldEqual, 5)
			newer := f.State()
			newer.Version = 9
			f.Offer(newer)
			So(f.State().Version, ShouldEqual, 9)
			Convey("and reading the log, which is behind, does not undo it", func() {
				So(f.poll(), ShouldBeNil)
				So(f.State().Version, ShouldEqual, 9)
			})
		})
		Convey("a node that applies updates reaches the same version and detects a gap", func() {
			other := New(l)
			other.Offer(f.State())
			l.publish("f", 5)
			l.publish("g", 6)
			So(f.poll(), ShouldBeNil)
			last := updates[len(updates)-1]
			So(other.ApplyUpdate(last), ShouldBeTrue)
			So(other.ApplyUpdate(last), ShouldBeTrue)
			So(other.State().Version, ShouldEqual, 7)
			So(other.ApplyUpdate(Update{From: 40, Records: []state.Record{{Offset: 40}}}), ShouldBeFalse)
			So(other.State().Version, ShouldEqual, 7)
		})
		Convey("a new feed reports records removed by retention as an error until a checkpoint covers them", func() {
			l.drop(3)
			late := New(l)
			So(late.poll(), ShouldNotBeNil)
			So(late.State().Version, ShouldEqual, 0)
			f.checkpointInterval = 0
			f.appendCheckpointIfDue()
			l.publish("f", 5)
			So(late.poll(), ShouldBeNil)
			So(late.State().Version, ShouldEqual, 6)
		})
		Convey("in an outage the feed keeps its state and is offline only after the limit", func() {
			l.fails = true
			So(f.poll(), ShouldNotBeNil)
			So(f.State().Version, ShouldEqual, 5)
			So(f.Offline(preset.Preset{OfflineLimit: preset.Duration(time.Hour)}), ShouldBeFalse)
			So(f.Offline(preset.Preset{}), ShouldBeTrue)
			Convey("unless a peer with the same version was in contact", func() {
				f.RecordContact(5, timer.Now().Add(time.Hour))
				So(f.Offline(preset.Preset{}), ShouldBeFalse)
			})
			Convey("but contact of a peer with a newer version does not count", func() {
				f.RecordContact(6, timer.Now().Add(time.Hour))
				So(f.Offline(preset.Preset{}), ShouldBeTrue)
			})
		})
	})
}

// TestLogComesBackShorter guards against an accepted change that is never in force: the log was restored
// from a copy, a change was accepted on top of that, and a reader's offset lies behind it.
func TestLogComesBackShorter(t *testing.T) {
	Convey("A change that is accepted on a restored log is in force", t, func() {
		l := &fakeLog{}
		for i, id := range []string{"a", "b", "c", "d"} {
			l.publish(id, uint64(i))
		}
		f := New(l)
		So(f.poll(), ShouldBeNil)
		So(f.poll(), ShouldBeNil)
		So(f.State().Version, ShouldEqual, 4)
		l.records = l.records[:2]
		l.publish("x", 2)
		So(f.poll(), ShouldBeNil)
		So(f.poll(), ShouldBeNil)
		_, accepted := f.State().Accepted("x")
		So(accepted, ShouldBeTrue)
	})
}
