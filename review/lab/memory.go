package lab

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// residentMB returns the resident memory of a process, in MB.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb >> 10
		}
	}
	return 0
}

// LimitMemory kills each node whose resident memory exceeds its limit and starts it again, as
// the platform does, until the returned function is called.
func (f *Fleet) LimitMemory() (stop func()) {
	done := make(chan struct{})
	for _, v := range f.VMs {
		go func() {
			peak := 0
			for {
				select {
				case <-done:
					f.Logf("most memory of %s: %d MB", v.Name, peak)
					return
				case <-time.After(2 * time.Millisecond):
				}
				used := residentMB(v.Pid())
				peak = max(peak, used)
				if used > f.MemoryMB {
					f.Logf("%s uses %d MB, more than its %d MB", v.Name, used, f.MemoryMB)
					v.Kill()
					if err := v.Restart(); err != nil {
						f.Logf("%v", err)
						return
					}
				}
			}
		}()
	}
	return func() {
		close(done)
		time.Sleep(100 * time.Millisecond)
	}
}
