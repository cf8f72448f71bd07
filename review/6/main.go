// Command 6 shows what a client gets of an answer that a faulty server has spoiled.
package main

import (
	"time"

	"review/lab"
)

const (
	// garbled is the share of the answers of a faulty server that it spoils.
	garbled = 0.02
	// faultTime is how long one of the three servers is faulty.
	faultTime = 5500 * time.Millisecond
)

func main() { lab.Main(play) }

func play(f *lab.Fleet) (bool, error) {
	f.AddSite()
	f.Store.Put("keyed.op", "config", lab.Config(7, 0, 0))
	if err := f.StartAll(60 * time.Millisecond); err != nil {
		return false, err
	}
	stop := f.LoadAll(func(v *lab.VM) []func() {
		return []func(){v.Load(20*time.Millisecond, lab.RecordRequest())}
	})
	time.Sleep(3 * time.Second)
	server := f.VMAt("tulcea-a", "landings").Server
	if f.Trouble {
		f.Garble = garbled
		f.Logf("server %s spoils 2 of 100 answers", server.ID)
		server.SetFaulty(true)
	}
	time.Sleep(faultTime)
	server.SetFaulty(false)
	time.Sleep(2 * time.Second)
	stop()
	return f.JudgeMixed(), nil
}
