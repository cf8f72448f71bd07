package lab

import "sync"

// AddSite adds a server of both services in each of three zones, one in each region.
func (f *Fleet) AddSite() {
	for _, zone := range []string{"constanta-a", "tulcea-a", "mangalia-a"} {
		f.AddVM("sidecar-"+zone+"-1", zone, "landings")
		f.AddVM("sidecar-"+zone+"-2", zone, "quota")
	}
}

// LoadAll sends both kinds of requests at each machine, and returns the function that stops them.
func (f *Fleet) LoadAll(each func(v *VM) []func()) (stop func()) {
	var stops []func()
	for _, v := range f.VMs {
		stops = append(stops, each(v)...)
	}
	return func() {
		var wg sync.WaitGroup
		for _, s := range stops {
			wg.Go(s)
		}
		wg.Wait()
	}
}

// AddWholeSite adds a machine of each of four services in each zone, in the order of the site.
func (f *Fleet) AddWholeSite(zones []string) {
	for _, zone := range zones {
		for i, service := range []string{"quota", "permits", "landings", "inspect"} {
			f.AddVM("sidecar-"+zone+"-"+string(rune('1'+i)), zone, service)
		}
	}
}

// VMAt returns the first machine of a service in a zone.
func (f *Fleet) VMAt(zone, service string) *VM {
	for _, v := range f.VMs {
		if v.Zone == zone && v.Service == service {
			return v
		}
	}
	return nil
}
