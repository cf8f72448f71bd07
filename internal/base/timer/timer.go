// Package timer provides a clock that keeps counting while the VM is suspended,
// and a service that calls functions periodically.
package timer

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a reading of CLOCK_BOOTTIME, the time since the VM booted. Unlike
// Go's monotonic clock it also advances while the VM is suspended, so that a
// lease holder that was paused sees that its lease has expired.
type Instant time.Duration

// Sub returns the time from u to i.
func (i Instant) Sub(u Instant) time.Duration {
	return time.Duration(i - u)
}

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant {
	return i + Instant(d)
}

// Now returns the current instant. It panics where the system has no boot-time
// clock.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("boot-time clock unavailable: " + err.Error())
	}
	return Instant(ts.Nano())
}

// Service calls functions periodically. It is safe for concurrent use.
type Service struct {
	mu     sync.Mutex
	closed bool
	done   chan struct{}
	wg     sync.WaitGroup
}

// New returns a service, and the function that stops it and waits for the calls
// in progress.
func New() (*Service, func()) {
	s := &Service{
		done: make(chan struct{}),
	}
	return s, s.close
}

// Every calls f once each period with the current instant until the returned
// function is called or the service stops. The calls of one f never overlap;
// ticks that it is too slow for are dropped. The returned function doesn't wait
// for a call in progress.
func (s *Service) Every(period time.Duration, f func(now Instant)) func() {
	stop := make(chan struct{})
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return func() {}
	}
	s.wg.Go(func() {
		s.run(period, f, stop)
	})
	return sync.OnceFunc(func() {
		close(stop)
	})
}

func (s *Service) run(period time.Duration, f func(now Instant), stop chan struct{}) {
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-stop:
			return
		case <-t.C:
			f(Now())
		}
	}
}

func (s *Service) close() {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.done)
	}
	s.mu.Unlock()
	s.wg.Wait()
}
