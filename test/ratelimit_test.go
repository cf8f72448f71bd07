package test

import (
	"net/http"
	"sort"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/lab/backend"
)

const (
	// namedLimit is the rate limit that the server of these tests names.
	namedLimit = 2.0
	// limitWindow is the span of time in which a server's requests are counted.
	limitWindow = 4 * time.Second
	// limitSettling is the time after the first response with the limit from which on
	// requests count.
	limitSettling = 500 * time.Millisecond
	// allowedInWindow is the number of requests that a server may get in a window: one and
	// a half times its limit and 5.
	allowedInWindow = int(1.5*namedLimit*4) + 5
)

// loadThrough sends requests through the nodes of VMs, some at once at each, until the returned
// function is called.
func loadThrough(vms []*vm, callersPerVM int) (stop func()) {
	done := make(chan struct{})
	var callers sync.WaitGroup
	for _, v := range vms {
		for range callersPerVM {
			callers.Go(func() {
				for {
					select {
					case <-done:
						return
					default:
					}
					if v.requestStatus(http.MethodGet, "/safe/", "key-1") != http.StatusOK {
						time.Sleep(20 * time.Millisecond)
					}
				}
			})
		}
	}
	return func() {
		close(done)
		callers.Wait()
	}
}

// waitForFleet waits until each node knows all others, so that requests can go to any server.
func (c *cluster) waitForFleet() {
	c.t.Helper()
	for _, v := range c.vms {
		c.waitFor("the nodes know each other", func() bool { return v.showsFleet(len(c.vms), 1) })
	}
}

// mostInWindow returns the most requests that a server got in any window that begins at or
// after the given time.
func mostInWindow(runs []backend.Run, from time.Time) int {
	var arrivals []time.Time
	for _, r := range runs {
		if !r.At.Before(from) {
			arrivals = append(arrivals, r.At)
		}
	}
	sort.Slice(arrivals, func(i, j int) bool { return arrivals[i].Before(arrivals[j]) })
	most := 0
	for first, last := 0, 0; last < len(arrivals); last++ {
		for arrivals[last].Sub(arrivals[first]) > limitWindow {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// loadLimitedServer puts the server of one VM, which runs the called service, under more load
// than the limit that it names, and returns the time from which on its requests count.
func loadLimitedServer(c *cluster, v *vm) (from time.Time, stop func()) {
	c.waitForFleet()
	v.server.NameRateLimit("2.0")
	stop = loadThrough(c.vms, 8)
	named := time.Now()
	c.waitFor("the server gets requests", func() bool { return len(v.server.Runs()) > 0 && time.Since(named) > 2*limitSettling })
	return time.Now(), stop
}

// TestServeTargetRateLimit guards against a server that gets far more requests than the limit
// that it names in its responses, because its node bounds only how many run at once.
func TestServeTargetRateLimit(t *testing.T) {
	Convey("A server that names a rate limit gets no more than it allows, whichever node the requests come through", t, func() {
		c := newCluster(t)
		v := c.vms[1]
		from, stop := loadLimitedServer(c, v)
		time.Sleep(limitWindow + time.Second)
		stop()
		So(mostInWindow(v.server.Runs(), from), ShouldBeBetweenOrEqual, 1, allowedInWindow)
	})
}

// TestServeTargetRateLimitAfterRestart guards against a server that gets more requests than the
// limit that it has named when the node beside it restarts and has not seen a response yet.
func TestServeTargetRateLimitAfterRestart(t *testing.T) {
	Convey("The limit of a server outlasts restarts of the node beside it", t, func() {
		c := newCluster(t)
		v := c.vms[1]
		for _, back := range []*vm{v, c.vms[3]} {
			back.server.SetServiceTime(limitSettling)
		}
		from, stop := loadLimitedServer(c, v)
		for range 2 {
			v.kill()
			v.startNode()
			c.waitFor("the node is back", v.ready)
			time.Sleep(limitWindow / 2)
		}
		stop()
		So(mostInWindow(v.server.Runs(), from), ShouldBeBetweenOrEqual, 1, allowedInWindow)
	})
}
