// Package level implements priority-based admission control under overload.
// A request has the same priority on every hop, formed from its class and its
// position within the class. Each target has an admission level, the lowest
// priority that it admits. The level rises while requests queue too long for the
// target, and the entry refuses requests whose priority is below the level of any
// service along the route.
//
// The feedback loop over a histogram of arrivals by priority follows Zhou et al.,
// "Overload Control for Scaling WeChat Microservices" (2018).
package level

import (
	"hash/fnv"
	"math"
	"time"
)

const (
	// positionsPerClass is the number of priorities in one class.
	positionsPerClass = 128
	// classCount is the number of admission classes.
	classCount = 4
	// PriorityCount is the number of priorities; every priority is below it.
	PriorityCount = positionsPerClass * classCount
	// minOverloadWait is the smallest mean queueing time that counts as overload.
	// Where the mean service time is longer, it is the threshold instead: a wait of
	// one service time only keeps the slots busy.
	minOverloadWait = 20 * time.Millisecond
	// shedFraction is the fraction of the admitted arrivals shed after an overloaded interval.
	shedFraction = 0.10
	// readmitFraction is the fraction admitted again after an interval without overload.
	readmitFraction = 0.05
)

// Priority returns the priority of a request, at least 0, from the rank of its class
// and a position within the class. demand is the workspace's demand divided by its
// entitlement; values above 1 count as 1. The request IDs of a workspace are hashed
// uniformly over [0, demand], and a larger value gives a lower priority. The admission
// level cuts off the values above the same point for all workspaces, which is max-min
// fairness weighted by entitlement.
func Priority(rank int, requestID string, demand float64) int {
	h := fnv.New64a()
	_, _ = h.Write([]byte(requestID))
	x := h.Sum64()
	x ^= x >> 32
	x *= 0x9e3779b97f4a7c15
	uniform := float64(x>>11) / (1 << 53)
	position := 1 - uniform*min(max(demand, 0), 1)
	index := min(int(position*positionsPerClass), positionsPerClass-1)
	return min(max(rank, 0), classCount-1)*positionsPerClass + max(index, 0)
}

// Controller adapts the admission level of one target. The zero value admits all
// requests. It is not safe for concurrent use.
type Controller struct {
	level    int
	arrivals [PriorityCount]int
	admitted int
}

// Admit counts an arrival and reports whether its priority is at least the level.
func (c *Controller) Admit(priority int) bool {
	priority = min(max(priority, 0), PriorityCount-1)
	c.arrivals[priority]++
	if priority < c.level {
		return false
	}
	c.admitted++
	return true
}

// Level returns the lowest admitted priority, 0 where all are admitted.
func (c *Controller) Level() int {
	return c.level
}

// Adjust ends a measurement interval and returns the new level. wait is the mean
// queueing time in the interval, serviceTime the mean service time, and shed
// tells whether requests were refused after Admit had admitted them.
func (c *Controller) Adjust(wait, serviceTime time.Duration, shed bool) int {
	overloaded := wait > max(minOverloadWait, serviceTime) || shed
	if overloaded {
		c.raise()
	} else {
		c.lower()
	}
	c.arrivals = [PriorityCount]int{}
	c.admitted = 0
	return c.level
}

// raise increases the level until it sheds shedFraction of the interval's admitted
// arrivals. It never sheds the highest class.
func (c *Controller) raise() {
	remaining := int(math.Ceil(float64(c.admitted) * shedFraction))
	for remaining > 0 && c.level < PriorityCount-positionsPerClass {
		remaining -= c.arrivals[c.level]
		c.level++
	}
}

// lower decreases the level until it readmits readmitFraction of the interval's
// admitted arrivals. It resets the level after an interval without any.
func (c *Controller) lower() {
	remaining := int(math.Ceil(float64(c.admitted) * readmitFraction))
	if c.admitted == 0 {
		c.level = 0
		return
	}
	for remaining > 0 && c.level > 0 {
		c.level--
		remaining -= c.arrivals[c.level]
	}
}
