package test

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// usage is what a node's process has used at most.
type usage struct {
	// memory is resident memory and bytes received and not read yet, together, descriptors the number of
	// open descriptors.
	memory      int64
	descriptors int
	// resident and unread are the parts of memory when it was highest.
	resident int64
	unread   int64
}

// usageMeter samples the usage of a node's process.
type usageMeter struct {
	vm      *vm
	process int
	mu      sync.Mutex
	peak    usage
	done    chan struct{}
	stopped sync.WaitGroup
}

// usagePeriod is the time between two samples.
const usagePeriod = 20 * time.Millisecond

// measureUsage starts to sample the usage of the VM's node, until the test ends.
func (v *vm) measureUsage() *usageMeter {
	m := &usageMeter{
		vm:      v,
		process: v.node.Process.Pid,
		done:    make(chan struct{}),
	}
	m.stopped.Go(func() {
		for {
			m.sample()
			select {
			case <-m.done:
				return
			case <-time.After(usagePeriod):
			}
		}
	})
	v.cluster.t.Cleanup(func() {
		close(m.done)
		m.stopped.Wait()
	})
	return m
}

// Peak returns the highest usage so far. The kernel's own peak of resident memory counts as well, since
// samples miss short ones.
func (m *usageMeter) Peak() usage {
	m.sample()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peak
}

func (m *usageMeter) sample() {
	now := usage{
		resident:    statusBytes(m.process, "VmRSS:"),
		unread:      unreadBytes(m.vm.ip),
		descriptors: openDescriptors(m.process),
	}
	now.memory = now.resident + now.unread
	highest := statusBytes(m.process, "VmHWM:")
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.memory > m.peak.memory {
		m.peak.memory, m.peak.resident, m.peak.unread = now.memory, now.resident, now.unread
	}
	m.peak.memory = max(m.peak.memory, highest)
	m.peak.descriptors = max(m.peak.descriptors, now.descriptors)
}

// statusBytes returns a size that the kernel tells of a process, in bytes.
func statusBytes(process int, field string) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if text, ok := strings.CutPrefix(line, field); ok {
			n, _ := strconv.ParseInt(strings.Fields(text)[0], 10, 64)
			return n << 10
		}
	}
	return 0
}

func openDescriptors(process int) int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", process))
	return len(entries)
}

// portRead is the first port of those at which the VM's server, and not its node, reads.
const portRead = portServer

// unreadBytes returns the bytes that wait in the receive buffers of the sockets at an IP address, except
// those of the server there.
func unreadBytes(ip string) int64 {
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	a := net.ParseIP(ip).To4()
	prefix := []byte(strings.ToUpper(hex.EncodeToString([]byte{a[3], a[2], a[1], a[0]})) + ":")
	total := int64(0)
	for line := range bytes.Lines(data) {
		f := bytes.Fields(line)
		if len(f) < 5 || !bytes.HasPrefix(f[1], prefix) {
			continue
		}
		port, _ := strconv.ParseInt(string(f[1][len(prefix):]), 16, 32)
		_, queued, _ := strings.Cut(string(f[4]), ":")
		n, _ := strconv.ParseInt(queued, 16, 64)
		if string(f[3]) != "0A" && port != portRead {
			total += n
		}
	}
	return total
}
