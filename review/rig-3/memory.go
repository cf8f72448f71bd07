package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["memory"] = memory }

// memory lets clients that nobody controls send large bodies, whole and in small chunks, that stop just short of
// their end, while servers in trouble send answers without end.
func memory(r *rig) (string, error) {
	r.configure(1, []route{{name: "check", service: "quota", kind: "idempotent", timeout: 4 * time.Second}, {name: "endless", service: "permits", kind: "idempotent", timeout: 4 * time.Second}}, nil)
	places := []place{{"a", "quota"}, {"a", "permits"}, {"b", "quota"}, {"b", "permits"}}
	if err := r.start(places, func(m *machine) { m.memoryMB = 184 }); err != nil {
		return "", err
	}
	for _, m := range r.machines {
		m.server.endless = "/endless/"
	}
	time.Sleep(2 * time.Second)
	end := time.Now().Add(25 * time.Second)
	entry := r.machines[0]
	var wg sync.WaitGroup
	if r.trouble {
		for i := range 60 {
			wg.Go(func() { stopShort(r, entry, i%3, end) })
		}
		for range 40 {
			wg.Go(func() {
				c := newClient()
				for time.Now().Before(end) {
					entry.do(c, http.MethodGet, "/endless/x", "", 4*time.Second, "")
				}
			})
		}
	}
	ok, all := 0, 0
	client := newClient()
	worst := 0
	for time.Now().Before(end) {
		e := entry.do(client, http.MethodGet, "/check/x", "", 4*time.Second, "")
		all++
		if e.status == 200 {
			ok++
		}
		for _, m := range r.machines {
			if p := m.peakMB(); p > worst {
				worst = p
				r.note("%s: peak of resident memory %d MiB", m.name, p)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	r.note("%d of %d ordinary requests served", ok, all)
	for _, m := range r.machines {
		if m.hasExited() {
			return m.name + " has ended", nil
		}
	}
	if worst > 184 {
		return fmt.Sprintf("a process used %d MiB of 184", worst), nil
	}
	if ok == 0 {
		return "ordinary callers get no answers", nil
	}
	return "", nil
}

// stopShort sends a body that stops just short of its end.
func stopShort(r *rig, m *machine, kind int, end time.Time) {
	for time.Now().Before(end) {
		c, err := net.Dial("tcp", m.address(portOutbound))
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		_ = c.SetDeadline(time.Now().Add(6 * time.Second))
		w := bufio.NewWriterSize(c, 64<<10)
		head := fmt.Sprintf("POST /check/b HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 4000\r\n", host, headerAttempt, r.newID(), headerDeadline)
		block := strings.Repeat("x", 64<<10)
		switch kind {
		case 0:
			_, _ = fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n", head, maxBody)
			for i := 0; i < maxBody/len(block)-1; i++ {
				if _, err := w.WriteString(block); err != nil {
					break
				}
			}
		case 1:
			_, _ = fmt.Fprintf(w, "%sTransfer-Encoding: chunked\r\n\r\n", head)
			for i := 0; i < 8<<20; i++ {
				if _, err := w.WriteString("1\r\nx\r\n"); err != nil {
					break
				}
			}
		case 2:
			_, _ = fmt.Fprintf(w, "%sTransfer-Encoding: chunked\r\n\r\n", head)
			for i := 0; i < maxBody/len(block)-1; i++ {
				if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(block), block); err != nil {
					break
				}
			}
		}
		_ = w.Flush()
		_, _ = bufio.NewReader(c).ReadByte()
		_ = c.Close()
	}
}
