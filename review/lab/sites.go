package lab

import "sync"

// AddSite adds a server of both services in each of three zones, one in each region.
func (f *Fleet) AddSite() {
	for _, zone := range []string{"constanta-a", "tulcea-a", "mangalia-a"} {
		f.AddVM("sidecar-"+zone+"-1", zone, "landings")
		f.AddVM("sidecar-"+zone+"-2", zone, "quota")
	}
}

// LoadAll starts loads at each machine, and returns the function that stops them.
func (f *Fleet) LoadAll(each func(v *VM) []func()) (stop func()) {
	return f.LoadAllOf(f.VMs, each)
}

// LoadAllOf is LoadAll for some machines.
func (f *Fleet) LoadAllOf(machines []*VM, each func(v *VM) []func()) (stop func()) {
	var stops []func()
	for _, v := range machines {
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

// Zones are those of the site.
var Zones = []string{"constanta-a", "tulcea-a", "mangalia-a", "constanta-b", "tulcea-b", "mangalia-b"}

// AddWholeSite adds a machine of each of four services in each zone, in the order of the site, and
// one of each of the further services.
func (f *Fleet) AddWholeSite(zones []string, further ...string) {
	for _, zone := range zones {
		for i, service := range append([]string{"quota", "permits", "landings", "inspect"}, further...) {
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
