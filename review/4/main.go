// Command 4 shows what a status report that names an unknown service does.
package main

import (
	"encoding/json"
	"net/http"
	"time"

	"review/lab"
)

func main() { lab.Main(play) }

func play(f *lab.Fleet) (bool, error) {
	f.AddSite()
	f.Store.Put("keyed.op", "config", lab.Config(7, 0, 0))
	if err := f.StartAll(20 * time.Millisecond); err != nil {
		return false, err
	}
	stop := f.LoadAll(func(v *lab.VM) []func() {
		return []func(){v.Load(100*time.Millisecond, lab.RecordRequest()), v.Load(100*time.Millisecond, lab.LookupRequest())}
	})
	time.Sleep(3 * time.Second)
	vm := f.VMAt("tulcea-a", "landings")
	if f.Trouble {
		body, _ := json.Marshal(map[string]any{
			"service": "wuno96b", "address": vm.ServerAddr(), "zone": vm.Zone, "version": "v1", "slots": 64,
			"state": "ready", "cold_left_ms": 0, "seq": 1, "born": time.Now().UnixMilli(),
		})
		status := lab.Call(http.MethodPut, "http://"+vm.ControlAddr()+"/v1/instances/i-77aa01", body)
		f.Logf("a status report of another writer, of the unknown service wuno96b, reaches %s: answer %d", vm.Name, status)
	}
	time.Sleep(6 * time.Second)
	stop()
	return f.JudgeCaller(), nil
}
