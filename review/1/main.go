// Command 1 shows how many servers a request crashes that crashes each server which runs it,
// and that comes again at another machine every few seconds.
package main

import (
	"time"

	"review/lab"
)

const (
	// period is the time between two arrivals of the request.
	period = 6 * time.Second
	// arrivals is how often it comes at most.
	arrivals = 14
	// downTime is how long a server is away after a crash.
	downTime = 2500 * time.Millisecond
)

func main() { lab.Main(play) }

func play(f *lab.Fleet) (bool, error) {
	f.AddWholeSite(lab.Zones)
	f.Store.Put("keyed.op", "config", lab.Config(7, 0, 0))
	body := "harvest 0,0"
	if f.Trouble {
		f.CrashBody, f.CrashTime = body, downTime
	}
	if err := f.StartAll(60 * time.Millisecond); err != nil {
		return false, err
	}
	stop := f.LoadAll(func(v *lab.VM) []func() {
		q := lab.RecordRequest()
		return []func(){v.Load(200*time.Millisecond, q)}
	})
	time.Sleep(2 * time.Second)
	for i := range arrivals {
		q := lab.RecordRequest()
		q.Path = lab.PathRecord + "7"
		q.Body = []byte(body)
		vm := f.VMAt(lab.Zones[i%len(lab.Zones)], "quota")
		a := vm.Send(q)
		f.Logf("arrival %d at %s: %s answered %d %s", i+1, vm.Name, a.Attempt, a.Status, a.Body)
		time.Sleep(time.Until(a.Sent.Add(period)))
	}
	stop()
	return f.JudgePoison(body), nil
}
