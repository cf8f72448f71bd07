// Command 2 shows what becomes of a server's leaving when the node that confirmed it is killed
// right after.
package main

import (
	"os"
	"time"

	"review/lab"
)

const (
	// pathDelay is the delay, one way, between regions: the store stands in another one.
	pathDelay = 30 * time.Millisecond
	// killDelay is the time from the confirmation to the kill.
	killDelay = 20 * time.Millisecond
	// late is how long after the confirmation a status report arrives that was sent before it.
	late = 2 * time.Second
	// serves is how long the server serves after the confirmation: drain_ms and some seconds.
	serves = 12 * time.Second
	// With OUTAGE=1 the store rejects calls for outage, from outageLead before the confirmation, and the
	// node is killed outageKill after it.
	outage     = 4500 * time.Millisecond
	outageLead = 1 * time.Second
	outageKill = 1 * time.Second
)

func main() { lab.Main(play) }

func play(f *lab.Fleet) (bool, error) {
	f.AddSite()
	if err := f.RemoteStore(pathDelay); err != nil {
		return false, err
	}
	f.Store.Put("keyed.op", "config", lab.Config(7, 0, 0))
	if err := f.StartAll(300 * time.Millisecond); err != nil {
		return false, err
	}
	stop := f.LoadAll(func(v *lab.VM) []func() {
		return []func(){v.Load(100*time.Millisecond, lab.RecordRequest())}
	})
	time.Sleep(12 * time.Second)
	vm := f.VMAt("tulcea-a", "landings")
	server := vm.Server
	report := server.Report("ready")
	delay := killDelay
	withOutage := f.Trouble && os.Getenv("OUTAGE") == "1"
	if withOutage {
		f.Logf("the store rejects calls")
		f.Store.Refuse(true)
		time.Sleep(outageLead)
		delay = outageKill
	}
	acked := server.Delete()
	disturbed := acked
	if f.Trouble {
		time.Sleep(time.Until(acked.Add(delay)))
		vm.Kill()
		if err := vm.Restart(); err != nil {
			return false, err
		}
		disturbed = time.Now()
	}
	time.Sleep(time.Until(acked.Add(late)))
	f.Logf("a status report that %s sent before it left arrives late: answer %d", server.ID, server.Send(report))
	if withOutage {
		time.Sleep(time.Until(acked.Add(outage - outageLead)))
		f.Store.Refuse(false)
		disturbed = time.Now()
		f.Logf("the store serves again")
	}
	time.Sleep(time.Until(acked.Add(serves)))
	server.Exit()
	time.Sleep(time.Second)
	stop()
	return f.JudgeDrain(server, acked, disturbed), nil
}
