// Command 10 is the case "large requests that come at once end the processes of nodes".
package main

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"review/kit2"
)

const config = `{"version":3,"routes":[
{"name":"r-book","host":"stock.example","path_prefix":"/book/","kind":"non_idempotent","timeout_ms":6000,"target_latency_ms":1500,"priority":0,"service":"stock","max_attempts":2,"public":false}],
"services":[{"name":"shop","health_path":"/health","max_conns":448},{"name":"stock","health_path":"/health","max_conns":448}],
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"pulo780","api_keys":["key-1"],"priority":1,"rate_per_s":0,"burst":0}],"base_version":2}`

const (
	// bodyBytes is under half of max_body_bytes. atOnce such requests come to a machine together: 180 MB.
	bodyBytes = 30 << 20
	atOnce    = 6
	rounds    = 3
	// memoryMB is memory_mb of the settings.
	memoryMB = 284
	// small requests are sent over kept connections of each machine meanwhile.
	small = 6
)

func main() {
	kit2.Main(play)
}

// end is the end of a process by the platform.
type end struct {
	machine string
	at      time.Time
}

func play(f *kit2.Fleet) (bool, error) {
	err := f.Start(config, []kit2.Plan{
		{Name: "sidecar-praha-a-1", Zone: "praha-a", Service: "shop", Slots: 58},
		{Name: "sidecar-brno-a-1", Zone: "brno-a", Service: "shop", Slots: 58},
		{Name: "sidecar-praha-b-1", Zone: "praha-b", Service: "stock", Slots: 58},
		{Name: "sidecar-brno-b-1", Zone: "brno-b", Service: "stock", Slots: 58},
	})
	if err != nil {
		return false, err
	}
	fronts := f.Machines[:2]
	for _, m := range fronts {
		if err := f.Wait("requests are served", 20*time.Second, func() bool { return once(m, "") == 200 }); err != nil {
			return false, err
		}
	}
	time.Sleep(5 * time.Second)
	var stop atomic.Bool
	var mu sync.Mutex
	var ends []end
	var work sync.WaitGroup
	for _, m := range f.Machines {
		work.Add(1)
		go func() {
			defer work.Done()
			watch(f, m, &stop, func() {
				mu.Lock()
				defer mu.Unlock()
				ends = append(ends, end{machine: m.Name, at: time.Now()})
			})
		}()
	}
	for _, m := range fronts {
		for range small {
			work.Add(1)
			go func() {
				defer work.Done()
				c := &kit2.Client{Machine: m}
				defer c.Close()
				for !stop.Load() {
					c.Do(spec("/book/w20/", "cloth"))
					time.Sleep(20 * time.Millisecond)
				}
			}()
		}
	}
	body := strings.Repeat("x", bodyBytes)
	served := 0
	for round := range rounds {
		for _, m := range fronts {
			if err := f.Wait("the node is ready", 10*time.Second, m.Ready); err != nil {
				return false, err
			}
		}
		time.Sleep(3 * time.Second)
		f.Record.Note("round %d: requests of %d MB", round+1, bodyBytes>>20)
		if kit2.Trouble() {
			kit2.Parallel(len(fronts)*atOnce, func(i int) { once(fronts[i%len(fronts)], body) })
		} else {
			for _, m := range fronts {
				if once(m, body) == 200 {
					served++
				}
			}
		}
		time.Sleep(2 * time.Second)
	}
	stop.Store(true)
	work.Wait()
	return judge(f, ends, served)
}

func once(m *kit2.Machine, body string) int {
	c := &kit2.Client{Machine: m}
	defer c.Close()
	status, _ := c.Do(spec("/book/w5/", body))
	return status
}

func spec(path, body string) kit2.Spec {
	return kit2.Spec{Method: "POST", Host: "stock.example", Path: path, Key: "key-1", Budget: 6 * time.Second, Body: body}
}

// resident returns the memory that a process holds, in MB.
func resident(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(data) {
		if rest, ok := bytes.CutPrefix(line, []byte("VmRSS:")); ok {
			kb, _ := strconv.Atoi(string(bytes.Fields(rest)[0]))
			return kb >> 10
		}
	}
	return 0
}

// watch does what the platform does: it kills a process that exceeds memory_mb, and starts it again
// after a short delay.
func watch(f *kit2.Fleet, m *kit2.Machine, stop *atomic.Bool, ended func()) {
	most := 0
	for !stop.Load() {
		mb := resident(m.PID())
		most = max(most, mb)
		if mb > memoryMB {
			f.Record.Note("%s holds %d MB, more than memory_mb = %d: it is killed", m.Name, mb, memoryMB)
			m.Kill()
			ended()
			time.Sleep(300 * time.Millisecond)
			if err := m.StartNode(); err != nil {
				f.Record.Note("%s does not start: %v", m.Name, err)
				return
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.Record.Note("%s held %d MB at most", m.Name, most)
}

// judge applies the rule: processes end by themselves, three times in the day, on a tenth of the
// machines, two at least.
func judge(f *kit2.Fleet, ends []end, served int) (bool, error) {
	count := map[string]int{}
	for _, e := range ends {
		count[e.machine]++
	}
	thrice := 0
	for name, n := range count {
		f.Record.Note("%s ended by itself %d times", name, n)
		if n >= 3 {
			thrice++
		}
	}
	ok, cut := 0, 0
	for _, q := range f.Record.Requests() {
		switch {
		case q.SentAt.IsZero():
		case q.Status == 200:
			ok++
		case q.Status == 0 && len(q.Runs) > 0:
			cut++
		}
	}
	f.Record.Note("requests answered 200: %d, run and never answered: %d", ok, cut)
	if ok < 100 || !kit2.Trouble() && served != rounds*2 {
		return false, errors.New("too few requests were served")
	}
	return thrice >= 2, nil
}
