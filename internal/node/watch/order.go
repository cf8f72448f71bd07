package watch

import "time"

// Order orders the writes of a node: the store drops a write that arrives after a later one, and
// takes one that is repeated once.
type Order struct {
	// Writer names the node.
	Writer string
	// Session increases with each process of the node, and within a process when the store
	// has lost the session's writes.
	Session int64
	// Seq numbers the writes of a session from 0.
	Seq int64
}

// minSessionStep is the first step by which a session that the store does not take is
// increased, in milliseconds: clocks differ by some seconds.
const minSessionStep = 1000

// writeOrder is the order of the next write of this process.
type writeOrder struct {
	Order
	// step is how much the session increases at least when the next one starts, in milliseconds.
	step int64
}

// newOrder returns the order of the first write of a process that starts at the given time.
func newOrder(writer string, now time.Time) writeOrder {
	return writeOrder{
		Order: Order{
			Writer:  writer,
			Session: now.UnixMilli(),
		},
		step: minSessionStep,
	}
}

// taken records that the store has taken the write.
func (o *writeOrder) taken() {
	o.Seq++
	o.step = minSessionStep
}

// startSession starts a later session. The sessions of an earlier process may be ahead of the
// clock, if that was set back: the step doubles until it has passed them.
func (o *writeOrder) startSession(now time.Time) {
	o.Session = max(o.Session+o.step, now.UnixMilli())
	o.step *= 2
	o.Seq = 0
}
