package test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"fuchsiapier/lab/crowd"
)

const (
	// crowdEach says in which seeds of the soak crowds come: those that leave crowdRest when divided by it.
	crowdEach = 3
	crowdRest = 2
	// mostClients bounds a crowd of the soak.
	mostClients = 48
	// crowdMeasurePeriod is the time between two measurements; the kernel's own peak shows what lies between.
	crowdMeasurePeriod = 200 * time.Millisecond
	// longestHold bounds how long a crowd of the soak holds its connections.
	longestHold = 1500 * time.Millisecond
)

// hasCrowds reports whether crowds come in a seed of the soak.
func hasCrowds(seed uint64) bool {
	return seed%crowdEach == crowdRest
}

// crowds lets one crowd after another come to the VMs, until done, and measures what the nodes use.
type crowds struct {
	soak   *soak
	random *rand.Rand
	// mu guards broken, the bounds that were exceeded, by what they say.
	mu     sync.Mutex
	broken map[string]bool
}

// newCrowds returns the crowds of a seed.
func newCrowds(s *soak, seed uint64) *crowds {
	return &crowds{
		soak:   s,
		random: rand.New(rand.NewPCG(seed, 5)),
		broken: map[string]bool{},
	}
}

// run lets the crowds come.
func (c *crowds) run(done <-chan struct{}) {
	kinds := crowd.Kinds()
	for {
		kind := kinds[c.random.IntN(len(kinds))]
		v := c.soak.vms[c.random.IntN(len(c.soak.vms))]
		settings, _ := crowd.OfKind(kind)
		settings.Clients = 1 + c.random.IntN(mostClients)
		settings = toFront(settings)
		settings.Address = v.address(portOutbound)
		if settings.Unread {
			settings.Path = largePath
		}
		hold := time.Duration(c.random.Int64N(int64(longestHold)))
		c.soak.note("%d clients of kind %s come to %s", settings.Clients, kind, v.name)
		_, stop := crowd.Start(settings)
		select {
		case <-done:
			stop()
			return
		case <-time.After(hold):
		}
		stop()
	}
}

// measure compares what each node uses with the limits of its VM, until done.
func (c *crowds) measure(done <-chan struct{}) {
	for {
		for _, v := range c.soak.vms {
			c.check(v)
		}
		select {
		case <-done:
			return
		case <-time.After(crowdMeasurePeriod):
		}
	}
}

func (c *crowds) check(v *vm) {
	process := int(v.process.Load())
	m := c.soak.machine
	memory := max(statusBytes(process, "VmRSS:")+unreadBytes(v.ip), statusBytes(process, "VmHWM:"))
	descriptors := openDescriptors(process)
	c.mu.Lock()
	defer c.mu.Unlock()
	if memory > int64(m.memoryMB)<<20 {
		c.broken[fmt.Sprintf("%s used more than %d MB", v.name, m.memoryMB)] = true
	}
	if descriptors > m.maxFDs {
		c.broken[fmt.Sprintf("%s had more than %d descriptors open", v.name, m.maxFDs)] = true
	}
}

// exceeded returns the bounds that were exceeded.
func (c *crowds) exceeded() (broken []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for b := range c.broken {
		broken = append(broken, b)
	}
	return broken
}
