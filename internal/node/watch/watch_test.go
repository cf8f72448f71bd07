package watch

import (
	"encoding/json"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/internal/conf/rules"
)

const patience = 10 * time.Second

// log is a store in memory that can fail.
type log struct {
	mu      sync.Mutex
	records map[string][]Record
	first   int64
	fail    error
	wake    chan struct{}
	reads   int
}

func newLog() *log {
	return &log{
		records: map[string][]Record{},
		wake:    make(chan struct{}),
	}
}

func (l *log) Newest(topic string) ([]Record, int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.records[topic], l.first + int64(len(l.records[topic])), l.fail
}

func (l *log) Read(topic string, from int64, wait time.Duration) ([]Record, int64, error) {
	deadline := time.After(min(wait, 50*time.Millisecond))
	for {
		l.mu.Lock()
		l.reads++
		records, first, wake, err := l.records[topic], l.first, l.wake, l.fail
		l.mu.Unlock()
		switch end := first + int64(len(records)); {
		case err != nil:
			return nil, from, err
		case from < first:
			return nil, from, ErrTrimmed
		case from < end:
			return records[from-first:], end, nil
		}
		select {
		case <-wake:
		case <-deadline:
			return nil, from, nil
		}
	}
}

func (l *log) Put(topic, key string, value []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fail != nil {
		return l.fail
	}
	l.records[topic] = append(l.records[topic], Record{
		Key:   key,
		Value: value,
	})
	close(l.wake)
	l.wake = make(chan struct{})
	return nil
}

func (l *log) set(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

// domain is the nodes of a failure domain as the watcher sees them.
type domain struct {
	mu      sync.Mutex
	readers []string
	reached []bool
	learned int
}

func (d *domain) Readers() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.readers
}

func (d *domain) SetStore(reached bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reached = append(d.reached, reached)
}

func (d *domain) Learn(records []Record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.learned += len(records)
}

var topics = Topics{
	Operator:  "op",
	ConfigKey: "config",
	Nodes:     "nodes",
}

func parse(data []byte) (rules.Content, error, error) {
	var c struct {
		Version int64
	}
	err := json.Unmarshal(data, &c)
	return rules.Content{
		Version: c.Version,
	}, nil, err
}

func config(version string) []byte {
	return []byte(`{"Version":` + version + `}`)
}

func start(t *testing.T, l *log, d *domain) *Watcher {
	t.Helper()
	w, stop := New("n1", []byte("record"), l, d, topics, parse)
	t.Cleanup(stop)
	return w
}

func inForce(w *Watcher, version int64) bool {
	return eventually(func() bool { return w.Current() != nil && w.Current().Version() == version })
}

func eventually(f func() bool) bool {
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if f() {
			return true
		}
	}
	return false
}

func TestReaderFollowsTheStore(t *testing.T) {
	Convey("The node makes itself known, reads the newest configuration and follows changes", t, func() {
		l, d := newLog(), &domain{readers: []string{"n1"}}
		_ = l.Put("op", "config", config("3"))
		w := start(t, l, d)
		So(inForce(w, 3), ShouldBeTrue)
		So(l.records["nodes"][0].Key, ShouldEqual, "n1")
		_ = l.Put("op", "config", config("5"))
		So(inForce(w, 5), ShouldBeTrue)
	})
	Convey("A configuration that can't be read, an older one and another key change nothing", t, func() {
		l, d := newLog(), &domain{readers: []string{"n1"}}
		_ = l.Put("op", "config", config("3"))
		w := start(t, l, d)
		So(inForce(w, 3), ShouldBeTrue)
		_ = l.Put("op", "config", []byte("{cut"))
		_ = l.Put("op", "config", config("2"))
		_ = l.Put("op", "other", config("9"))
		So(w.Offer(config("1"), FromPeer, "n2"), ShouldBeFalse)
		_ = l.Put("op", "config", config("4"))
		So(inForce(w, 4), ShouldBeTrue)
	})
}

func TestStoreThatForgets(t *testing.T) {
	Convey("After its history is dropped the newest records are read again", t, func() {
		l, d := newLog(), &domain{readers: []string{"n1"}}
		_ = l.Put("op", "config", config("3"))
		w := start(t, l, d)
		So(inForce(w, 3), ShouldBeTrue)
		l.set(func() {
			l.first += 10
			l.records["op"] = []Record{{Key: "config", Value: config("7")}}
		})
		So(inForce(w, 7), ShouldBeTrue)
	})
}

func TestStoreThatTurnsTheNodeAway(t *testing.T) {
	Convey("The node says that it lost the store, takes what peers have, and goes on when it is back", t, func() {
		l, d := newLog(), &domain{readers: []string{"n1"}}
		_ = l.Put("op", "config", config("3"))
		w := start(t, l, d)
		So(inForce(w, 3), ShouldBeTrue)
		l.set(func() { l.fail = ErrRefused })
		So(eventually(func() bool {
			d.mu.Lock()
			defer d.mu.Unlock()
			return len(d.reached) == 2 && !d.reached[1]
		}), ShouldBeTrue)
		So(w.Offer(config("5"), FromPeer, "n2"), ShouldBeTrue)
		l.set(func() { l.fail = nil })
		_ = l.Put("op", "config", config("6"))
		So(inForce(w, 6), ShouldBeTrue)
	})
}

func TestOneReaderInADomain(t *testing.T) {
	Convey("A node whose turn it isn't does not poll, and starts when the reader is gone", t, func() {
		l, d := newLog(), &domain{readers: []string{"n0", "n1"}}
		_ = l.Put("op", "config", config("3"))
		w := start(t, l, d)
		So(inForce(w, 3), ShouldBeTrue)
		l.mu.Lock()
		reads := l.reads
		l.mu.Unlock()
		So(reads, ShouldEqual, 0)
		_ = l.Put("op", "config", config("4"))
		d.mu.Lock()
		d.readers = []string{"n1"}
		d.mu.Unlock()
		So(inForce(w, 4), ShouldBeTrue)
	})
}
