// Command 5 shows what becomes of a server's draining when the time of day has jumped back
// between two starts of the server.
package main

import (
	"time"

	"review/lab"
)

const (
	// ahead is how far the time of day of the machine is ahead for a while.
	ahead = 2000 * time.Millisecond
	// uptime is how long the server runs that starts meanwhile, downTime how long it is away.
	uptime   = 1200 * time.Millisecond
	downTime = 500 * time.Millisecond
	id       = "i-7f3a91c2"
	work     = 600 * time.Millisecond
	// serves is how long the server serves after its draining is confirmed: drain_ms and some
	// seconds.
	serves = 6 * time.Second
)

func main() { lab.Main(play) }

func play(f *lab.Fleet) (bool, error) {
	f.AddSite()
	f.Store.Put("keyed.op", "config", lab.Config(7, 0, 0))
	// The server on this machine starts last, after all nodes.
	vm := f.VMAt("tulcea-a", "landings")
	vm.Later = true
	if err := f.StartAll(work); err != nil {
		return false, err
	}
	stop := f.LoadAll(func(v *lab.VM) []func() {
		return []func(){v.Load(100*time.Millisecond, lab.RecordRequest())}
	})
	time.Sleep(2 * time.Second)
	born := time.Now()
	if f.Trouble {
		f.Logf("the time of day of %s is ahead by %d ms", vm.Name, ahead.Milliseconds())
		born = born.Add(ahead)
	}
	first, err := vm.StartServer(id, born.UnixMilli(), work)
	if err != nil {
		return false, err
	}
	time.Sleep(uptime)
	first.Exit()
	time.Sleep(downTime)
	f.Logf("the time of day of %s is right; the server starts again under its id", vm.Name)
	second, err := vm.StartServer(id, time.Now().UnixMilli(), work)
	if err != nil {
		return false, err
	}
	back := time.Now()
	time.Sleep(10 * time.Second)
	acked := second.Drain()
	time.Sleep(serves)
	second.Delete()
	second.Exit()
	time.Sleep(time.Second)
	stop()
	return f.JudgeDrain(second, acked, back), nil
}
