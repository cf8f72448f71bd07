package model

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"fuchsiapier/internal/node/depart"
)

// situation is where a target leaves.
type situation struct {
	// served says that the store answered the calls of the node, and at once.
	served bool
	// reader says that the node read the store for its failure domain.
	reader bool
}

// situations are all situations, in the order of reports.
var situations = []situation{{true, true}, {true, false}, {false, true}, {false, false}}

// situationOf returns the present situation of a node.
func (f *fleet) situationOf(n *node) situation {
	f.store.mu.Lock()
	slow := f.store.slow
	f.store.mu.Unlock()
	return situation{
		served: f.store.state(n.name) == serves && slow == 0,
		reader: slices.Contains(f.readers(), n),
	}
}

// departureCost is what departures took in one situation. Bytes are those of the departures in a message,
// without its framing.
type departureCost struct {
	// waits holds the times from the first message about a departure to its confirmation.
	waits []time.Duration
	// writes counts the records of departures that the store took, calls those that made other nodes hold them.
	writes, writeBytes int
	calls, callBytes   int
}

// String returns the cost of each confirmation.
func (c departureCost) String() string {
	n := len(c.waits)
	if n == 0 {
		return "no confirmations"
	}
	slices.Sort(c.waits)
	wait := func(share int) time.Duration { return c.waits[min(n*share/100, n-1)].Round(time.Millisecond) }
	each := func(total int) float64 { return float64(total) / float64(n) }
	return fmt.Sprintf("%d confirmations, median %v, 99 in 100 %v, most %v; each %.2f writes of %.0f bytes, %.2f calls of %.0f bytes",
		n, wait(50), wait(99), wait(100), each(c.writes), each(c.writeBytes), each(c.calls), each(c.callBytes))
}

// departureCosts counts what departures take, by situation. The zero value is ready for use.
type departureCosts struct {
	mu   sync.Mutex
	each [4]departureCost
}

// in changes the cost in a situation.
func (c *departureCosts) in(s situation, change func(*departureCost)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.each[slices.Index(situations, s)])
}

// add adds the costs of a simulation that has ended.
func (c *departureCosts) add(ended *departureCosts) {
	for i, s := range situations {
		more := ended.each[i]
		c.in(s, func(d *departureCost) {
			d.waits = append(d.waits, more.waits...)
			d.writes += more.writes
			d.writeBytes += more.writeBytes
			d.calls += more.calls
			d.callBytes += more.callBytes
		})
	}
}

// report logs the costs.
func (c *departureCosts) report(t *testing.T) {
	t.Helper()
	for i, s := range situations {
		t.Logf("store serves %t, reader %t: %v", s.served, s.reader, c.each[i])
	}
}

// leavingConfirmed counts a confirmation.
func (f *fleet) leavingConfirmed(s situation, wait time.Duration) {
	f.departureCosts.in(s, func(c *departureCost) { c.waits = append(c.waits, wait) })
}

// departureWritten counts a record that a node writes to the store, if it is one of departures.
func (f *fleet) departureWritten(n *node, key string, value []byte) {
	if !strings.HasPrefix(key, withdrawnKey) {
		return
	}
	f.departureCosts.in(f.situationOf(n), func(c *departureCost) {
		c.writes++
		c.writeBytes += len(value)
	})
}

// departureSent counts a call that makes a node hold a record, for the owner of the record.
func (f *fleet) departureSent(r depart.Record) {
	value, err := cbor.Marshal(r.Departures)
	if err != nil {
		panic(err)
	}
	f.departureCosts.in(f.situationOf(f.byName[r.Owner]), func(c *departureCost) {
		c.calls++
		c.callBytes += len(value)
	})
}
