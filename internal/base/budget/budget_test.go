package budget

import (
	"errors"
	"runtime"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// waitTimeout bounds the wait for a condition.
const waitTimeout = 20 * time.Second

func eventually(f func() bool) bool {
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if f() {
			return true
		}
	}
	return false
}

// grown returns a share of some units.
func grown(b *Budget, o Owner, units int64) *Share {
	s := b.Open(o)
	So(s.Grow(units), ShouldBeNil)
	return s
}

// TestReserve guards against large shares that leave nothing for small ones.
func TestReserve(t *testing.T) {
	Convey("Large shares leave the reserve to small ones, also as they grow out of small ones", t, func() {
		b := New(100, WithReserve(20, 10))
		So(b.Largest(), ShouldEqual, 80)
		large := grown(b, Callers, 10)
		So(large.Grow(70), ShouldBeNil)
		So(large.Grow(1), ShouldEqual, ErrTooLarge)
		second := grown(b, Callers, 10)
		So(second.Grow(1), ShouldEqual, ErrShort)
		small := grown(b, Callers, 10)
		So(b.Open(Callers).Grow(1), ShouldEqual, ErrShort)
		So(b.Refusals(), ShouldEqual, 3)
		small.Release()
		large.Release()
		So(second.Grow(60), ShouldBeNil)
		So(b.Used(Callers), ShouldEqual, 70)
	})
}

// TestRoomForAnswers guards against requests that hold all memory until their time is up, since there is
// none for their responses.
func TestRoomForAnswers(t *testing.T) {
	Convey("Several large requests leave half to answers, a single one may have all", t, func() {
		b := New(100, WithReserve(20, 10), WithRoomForAnswers())
		first := grown(b, Callers, 30)
		second := b.Open(Nodes)
		So(second.Grow(20), ShouldEqual, ErrShort)
		answer := grown(b, Answers, 50)
		So(b.Open(Answers).Grow(11), ShouldEqual, ErrShort)
		answer.Release()
		So(first.Grow(50), ShouldBeNil)
		first.Release()
		second = grown(b, Nodes, 80)
		second.Release()
		So(b.Used(Nodes), ShouldEqual, 0)
	})
}

// TestStalledSharesGiveWay guards against shares without progress that keep all others out.
func TestStalledSharesGiveWay(t *testing.T) {
	Convey("The share without progress for longest is taken back, large ones before small ones", t, func() {
		b := New(100, WithReserve(20, 10))
		var mu sync.Mutex
		var order []string
		hold := func(name string, units int64) *Share {
			s := grown(b, Callers, units)
			s.AllowEviction(func() {
				mu.Lock()
				order = append(order, name)
				mu.Unlock()
				s.Release()
			})
			return s
		}
		small := hold("small", 10)
		first := hold("first", 30)
		second := hold("second", 30)
		time.Sleep(stallTime)
		first.Progressed()
		newcomer := grown(b, Callers, 40)
		mu.Lock()
		So(order, ShouldResemble, []string{"second"})
		mu.Unlock()
		So(second.Evicted(), ShouldBeTrue)
		So(second.ForbidEviction(), ShouldBeFalse)
		So(second.Grow(1), ShouldEqual, ErrEvicted)
		So(first.Evicted(), ShouldBeFalse)
		So(first.ForbidEviction(), ShouldBeTrue)
		So(small.ForbidEviction(), ShouldBeTrue)
		So(b.Evictions(), ShouldEqual, 1)
		newcomer.Release()
	})
	Convey("A share that may not be taken back stays", t, func() {
		b := New(10)
		s := grown(b, Callers, 10)
		s.AllowEviction(func() { panic("taken back") })
		So(s.ForbidEviction(), ShouldBeTrue)
		time.Sleep(stallTime)
		So(b.Open(Callers).Grow(1), ShouldEqual, ErrShort)
	})
	Convey("TryGrow doesn't wait, but makes room for the next ones", t, func() {
		b := New(10, WithHeadroom(2))
		for range 10 {
			s := b.Open(Callers)
			So(s.TryGrow(1), ShouldBeNil)
			s.AllowEviction(s.Release)
		}
		So(b.Open(Callers).TryGrow(1), ShouldEqual, ErrShort)
		time.Sleep(stallTime)
		So(b.Open(Callers).TryGrow(1), ShouldEqual, ErrShort)
		So(eventually(func() bool { return b.Used(Callers) == 8 }), ShouldBeTrue)
		So(b.Open(Callers).TryGrow(1), ShouldBeNil)
		So(eventually(func() bool { return b.Used(Callers) == 8 }), ShouldBeTrue)
	})
}

// TestSharesInProgressEnd guards against shares that wait for each other: each holds a part of the budget and
// none has all it needs.
func TestSharesInProgressEnd(t *testing.T) {
	Convey("Of shares that need more than there is, those that were opened first get it, the others give up", t, func() {
		const holders, need, step = 12, 40, 8
		b := New(holders * step)
		shares := make([]*Share, holders)
		for i := range shares {
			shares[i] = grown(b, Callers, step)
		}
		results := make([]error, holders)
		var all sync.WaitGroup
		for i, s := range shares {
			all.Go(func() {
				for held := step; held < need && results[i] == nil; held += step {
					results[i] = s.Grow(step)
				}
				if results[i] != nil {
					s.Release()
				}
			})
		}
		all.Wait()
		So(results[0], ShouldBeNil)
		So(results[1], ShouldBeNil)
		for _, err := range results[2:] {
			So(err, ShouldEqual, ErrShort)
		}
		So(b.Used(Callers), ShouldEqual, 2*need)
	})
	Convey("Only so many shares wait", t, func() {
		b := New(10, WithWaiting(2))
		s := grown(b, Callers, 10)
		results := make(chan error, 8)
		for range cap(results) {
			go func() { results <- b.Open(Callers).Grow(1) }()
		}
		for range cap(results) - 2 {
			So(<-results, ShouldEqual, ErrShort)
		}
		s.Release()
		for range 2 {
			err := <-results
			So(err == nil || errors.Is(err, ErrShort), ShouldBeTrue)
		}
	})
}

// TestLostShares guards against a budget that is used up by shares that nobody holds any more.
func TestLostShares(t *testing.T) {
	Convey("A share that is no longer reachable is given back", t, func() {
		b := New(10)
		So(b.Open(Answers).Grow(10), ShouldBeNil)
		So(eventually(func() bool {
			runtime.GC()
			return b.Used(Answers) == 0
		}), ShouldBeTrue)
	})
	Convey("A share is given back once each holder has released it", t, func() {
		b := New(10)
		s := grown(b, Callers, 5)
		s.Retain()
		s.Release()
		So(s.Held(), ShouldEqual, 5)
		s.Release()
		So(b.Used(Callers), ShouldEqual, 0)
	})
}

// TestResize guards against a change of the memory limit that takes effect only after a restart.
func TestResize(t *testing.T) {
	Convey("A waiting share gets what a larger budget has; a smaller one grants nothing until it is within its size", t, func() {
		var shortages []bool
		b := New(10, WithOnShortage(func(begins bool) { shortages = append(shortages, begins) }))
		first := grown(b, Callers, 10)
		result := make(chan error, 1)
		second := b.Open(Answers)
		go func() { result <- second.Grow(10) }()
		So(eventually(func() bool {
			b.mu.Lock()
			defer b.mu.Unlock()
			return b.waiting.Len() == 1
		}), ShouldBeTrue)
		b.Resize(20, 0)
		So(<-result, ShouldBeNil)
		b.Resize(12, 0)
		first.Release()
		third := b.Open(Callers)
		So(third.Grow(2), ShouldBeNil)
		So(third.Grow(1), ShouldEqual, ErrShort)
		second.Release()
		So(shortages, ShouldResemble, []bool{true, false})
	})
}

// TestSums checks that a budget is never exceeded and that its sums are those of its shares, whatever
// happens to them.
func TestSums(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(100, WithReserve(25, 10), WithRoomForAnswers())
		type holder struct {
			*Share
			owner Owner
		}
		var open []holder
		check := func() {
			var all, large, requests int64
			for _, h := range open {
				held := h.Held()
				all += held
				if held > 10 {
					large += held
					if h.owner != Answers {
						requests += held
					}
				}
			}
			b.mu.Lock()
			defer b.mu.Unlock()
			if b.all.held != all || b.large.held != large || b.requests.held != requests {
				t.Fatalf("sums are %d, %d, %d, not %d, %d, %d", b.all.held, b.large.held, b.requests.held, all, large, requests)
			}
			if all > 100 || large > 75 {
				t.Fatalf("%d in use, %d by large shares", all, large)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				o := Owner(rapid.IntRange(0, 2).Draw(t, "owner"))
				open = append(open, holder{
					Share: b.Open(o),
					owner: o,
				})
			case 1, 2:
				if len(open) > 0 {
					_ = open[rapid.IntRange(0, len(open)-1).Draw(t, "which")].TryGrow(rapid.Int64Range(0, 40).Draw(t, "units"))
				}
			case 3:
				if len(open) > 0 {
					i := rapid.IntRange(0, len(open)-1).Draw(t, "which")
					open[i].Release()
					open = append(open[:i], open[i+1:]...)
				}
			}
			check()
		}
		for _, h := range open {
			h.Release()
		}
		open = nil
		check()
	})
}
