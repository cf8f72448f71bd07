package test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"fuchsiapier/lab/plan"
)

const (
	// clockTicks is the number of clock ticks a second (USER_HZ), the unit of CPU time in /proc.
	clockTicks = 100
	pageSize   = 4096
)

// processUsage returns a process's CPU time and its resident memory in bytes, from /proc.
func processUsage(t *testing.T, pid int) (cpu time.Duration, resident int) {
	t.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	field := func(i int) int {
		n, err := strconv.Atoi(fields[i])
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	return time.Duration(field(11)+field(12)) * time.Second / clockTicks, field(21) * pageSize
}

// controlBytes returns the bytes that a VM's node has sent to other nodes. Without
// requests, all of them are control traffic.
func (f *fleet) controlBytes(i int) float64 {
	s, err := f.status(i)
	f.must(err)
	sum := 0.0
	for _, n := range s.RegionBytes {
		sum += n
	}
	return sum
}

// TestIdleCost measures the CPU time, network bytes and memory of a node without requests,
// which is the cost of the control traffic, for fleets of several sizes. It reports the
// figures and sets no bound.
func TestIdleCost(t *testing.T) {
	skipUnlessMeasuring(t)
	const duration = 10 * time.Second
	for _, domains := range []int{1, 3, 6} {
		f := newFleet(t, plan.Litoral(), withDomains(domains))
		time.Sleep(5 * time.Second)
		bytes := f.controlBytes(0)
		pid := f.procs[f.nodeName(0)].cmd.Process.Pid
		before, _ := processUsage(t, pid)
		time.Sleep(duration)
		after, resident := processUsage(t, pid)
		sent := f.controlBytes(0) - bytes
		t.Logf("%2d nodes: %.2f%% of a core, %.0f bytes/s sent, %d MiB resident", len(f.plan.VMs),
			100*(after-before).Seconds()/duration.Seconds(), sent/duration.Seconds(), resident>>20)
		f.killAll()
	}
}
