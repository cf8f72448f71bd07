// Command 5 shows what a request with a large body, within the limits of the configuration, does
// to the node that takes it from the client.
package main

import (
	"bytes"
	"net/http"
	"time"

	"review/lab"
)

const (
	// memoryMB is the memory of a machine, as most of the site's machines have.
	memoryMB = 184
	// largeBody is below max_body_bytes, which is 67108864; smallBody is a usual body.
	largeBody = 67_000_000
	smallBody = 6_000
	// clients is how many clients on the machine keep a connection each.
	clients = 20
)

func main() { lab.Main(play) }

func play(f *lab.Fleet) (bool, error) {
	f.MemoryMB = memoryMB
	f.AddSite()
	f.Store.Put("keyed.op", "config", lab.Config(7, 0, 0))
	if err := f.StartAll(400 * time.Millisecond); err != nil {
		return false, err
	}
	vm := f.VMAt("tulcea-a", "quota")
	stopLimit := f.LimitMemory()
	done := make(chan struct{})
	for range clients {
		kept := &http.Client{Transport: &http.Transport{}}
		go func() {
			for {
				select {
				case <-done:
					return
				default:
				}
				q := lab.RecordRequest()
				q.Kept = kept
				if a := vm.Send(q); a.Status == 0 {
					time.Sleep(500 * time.Millisecond)
				}
			}
		}()
	}
	time.Sleep(3 * time.Second)
	size := smallBody
	if f.Trouble {
		size = largeBody
	}
	q := lab.RecordRequest()
	q.Body = bytes.Repeat([]byte("x"), size)
	q.Deadline = 5 * time.Second
	a := vm.Send(q)
	f.Logf("the request with a body of %d bytes is answered %d %s", size, a.Status, a.Err)
	time.Sleep(5 * time.Second)
	close(done)
	stopLimit()
	return f.JudgeLost(vm, a.Attempt), nil
}
