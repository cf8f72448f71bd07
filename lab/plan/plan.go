// Package plan generates deployments of a workload for tests and the demo: the
// processes, their addresses, and the settings and presets of the nodes. It holds
// the workloads of the two users.
package plan

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"fuchsiapier/internal/conf/local"
	"fuchsiapier/internal/conf/preset"
)

// Service is a service of a workload as one VM runs it.
type Service struct {
	Name string
	// Slots is the number of requests that a target runs at once, Connections the
	// number of connections that it announces.
	Slots       int
	Connections int
	// ServiceTime is the mean service time of a request without its nested calls.
	ServiceTime time.Duration
	// Calls maps a path to the paths of its nested calls.
	Calls map[string][]string
}

// Workload is a service call graph with its routes and workspaces.
type Workload struct {
	Name       string
	Regions    []string
	Services   []Service
	Routes     []preset.Route
	Workspaces map[string]preset.Workspace
}

// Options are the size and the addresses of a deployment.
type Options struct {
	// Domains is the number of failure domains, which are assigned to the regions
	// in turn. It is 9 at most, since the network after those is the log's.
	Domains int
	// Scale multiplies the workload's slots, connections, rates and bursts.
	Scale float64
	// BasePort is the first of the 5 consecutive ports that a VM uses, at an IP address
	// of its own.
	BasePort int
	// Network is the first network number; failure domain i has the addresses
	// 127.0.(Network+i).x.
	Network int
	// Relayed makes the nodes use relay addresses for their peers and for the
	// platform's log. Whoever starts the deployment must start the relays.
	Relayed bool
	// Baseline is the policy baseline of the nodes.
	Baseline string
	// Retention is how long the platform's log keeps records.
	Retention time.Duration
	// BytesPerSecond is the bandwidth limit of each ordered pair of regions.
	BytesPerSecond float64
}

// VM is one node with its target.
type VM struct {
	// Settings are the node's settings.
	Settings local.Settings
	Service  Service
	// Listen is the address (ip:port) of the target.
	Listen string
	// File is the path of the node's settings file, set by Deployment.Write.
	File string
}

// Deployment is a workload with everything that is needed to start it.
type Deployment struct {
	Workload Workload
	Options  Options
	// Log is the address (ip:port) on which the platform's log listens, LogAddress
	// the one that nodes use: that of a relay if Options.Relayed is set.
	Log        string
	LogAddress string
	// VMs are the VMs of all failure domains, domain by domain.
	VMs []VM
	// Presets are the presets "ordinary", "peak" and "maintenance".
	Presets []preset.Preset
}

const (
	// logNetworkOffset is added to the first network number for the network of the
	// platform's log; the failure domains come before it.
	logNetworkOffset = 9
	// relayHostOffset is added to a host number for the address of the relay.
	relayHostOffset = 100
)

// New returns the deployment of a workload: in each failure domain one VM for
// each service.
func New(w Workload, o Options) Deployment {
	d := Deployment{
		Workload: w,
		Options:  o,
		Log:      fmt.Sprintf("127.0.%d.1:%d", o.Network+logNetworkOffset, o.BasePort),
	}
	d.LogAddress = d.Log
	if o.Relayed {
		d.LogAddress = fmt.Sprintf("127.0.%d.%d:%d", o.Network+logNetworkOffset, 1+relayHostOffset, o.BasePort)
	}
	for i := range o.Domains {
		for j, s := range w.Services {
			d.VMs = append(d.VMs, d.vm(i, j, s))
		}
	}
	d.addSeeds()
	d.addPresets()
	return d
}

// Domain returns the name of failure domain i: its region and a letter.
func (d Deployment) Domain(i int) string {
	return fmt.Sprintf("%s-%c", d.Region(i), 'a'+i/len(d.Workload.Regions))
}

// Region returns the name of the region of failure domain i.
func (d Deployment) Region(i int) string {
	return d.Workload.Regions[i%len(d.Workload.Regions)]
}

// Network returns the network of failure domain i, named as in package relay.
func (d Deployment) Network(i int) string {
	return fmt.Sprint(d.Options.Network + i)
}

// LogNetwork returns the network of the platform's log, named as in package relay.
func (d Deployment) LogNetwork() string {
	return fmt.Sprint(d.Options.Network + logNetworkOffset)
}

// vm returns the VM of service j in failure domain i.
func (d Deployment) vm(i, j int, s Service) VM {
	o := d.Options
	host := fmt.Sprintf("127.0.%d.%d", o.Network+i, j+1)
	addr := func(port int) string { return fmt.Sprintf("%s:%d", host, o.BasePort+port) }
	s.Slots = max(1, int(float64(s.Slots)*o.Scale))
	s.Connections = max(1, int(float64(s.Connections)*o.Scale))
	advertise := addr(2)
	if o.Relayed {
		advertise = fmt.Sprintf("127.0.%d.%d:%d", o.Network+i, j+1+relayHostOffset, o.BasePort+2)
	}
	return VM{
		Settings: local.Settings{
			Node: local.Node{
				Name:   fmt.Sprintf("%s-%s", d.Domain(i), s.Name),
				Domain: d.Domain(i),
				Region: d.Region(i),
				Slot:   j,
			},
			Listen: local.Listen{
				Callers:   addr(0),
				Targets:   addr(1),
				Peers:     addr(2),
				Advertise: advertise,
				Operators: addr(3),
			},
			Platform: local.Platform{
				Log:       d.LogAddress,
				Retention: preset.Duration(o.Retention),
			},
			Policy: local.Policy{
				Baseline: o.Baseline,
			},
		},
		Service: s,
		Listen:  addr(4),
	}
}

// addSeeds makes the first node of each failure domain a gossip seed of every
// node.
func (d *Deployment) addSeeds() {
	var seeds []string
	for i := 0; i < len(d.VMs); i += len(d.Workload.Services) {
		seeds = append(seeds, d.VMs[i].Settings.Listen.Advertise)
	}
	for i := range d.VMs {
		d.VMs[i].Settings.Mesh.Seeds = seeds
	}
}

const (
	offlineLimit   = 10 * time.Minute
	claimRetention = 2 * time.Minute
	clockMargin    = 250 * time.Millisecond
	// peakFactor and maintenanceFactor multiply the workspaces' rates and bursts.
	peakFactor        = 1.5
	maintenanceFactor = 0.25
)

// addPresets adds the presets, which differ in the workspaces' rates and bursts.
func (d *Deployment) addPresets() {
	for _, p := range []struct {
		name   string
		factor float64
	}{
		{name: "ordinary", factor: 1},
		{name: "peak", factor: peakFactor},
		{name: "maintenance", factor: maintenanceFactor},
	} {
		d.Presets = append(d.Presets, d.preset(p.name, p.factor))
	}
}

// preset returns a preset with the workspaces' rates and bursts multiplied by a
// factor and by Options.Scale. All failure domains have equal shares.
func (d Deployment) preset(name string, factor float64) preset.Preset {
	p := preset.Preset{
		Name:           name,
		OfflineLimit:   preset.Duration(offlineLimit),
		ClaimRetention: preset.Duration(claimRetention),
		ClockMargin:    preset.Duration(clockMargin),
		Domains:        map[string]preset.Domain{},
		Routes:         d.Workload.Routes,
		Workspaces:     map[string]preset.Workspace{},
	}
	for i := range d.Options.Domains {
		p.Domains[d.Domain(i)] = preset.Domain{
			Region: d.Region(i),
			Share:  1 / float64(d.Options.Domains),
			Slots:  len(d.Workload.Services),
		}
	}
	for name, w := range d.Workload.Workspaces {
		p.Workspaces[name] = preset.Workspace{
			Rate:  w.Rate * factor * d.Options.Scale,
			Burst: max(1, w.Burst*factor*d.Options.Scale),
		}
	}
	regions := map[string]bool{}
	for i := range d.Options.Domains {
		regions[d.Region(i)] = true
	}
	for _, from := range d.Workload.Regions {
		for _, to := range d.Workload.Regions {
			if from != to && regions[from] && regions[to] {
				p.RegionLinks = append(p.RegionLinks, preset.RegionLink{
					From:           from,
					To:             to,
					BytesPerSecond: d.Options.BytesPerSecond,
					BurstBytes:     d.Options.BytesPerSecond,
				})
			}
		}
	}
	return p
}

// Write writes the settings files, the presets and the file "processes" into a
// directory and sets the File of each VM. It returns the first error.
func (d *Deployment) Write(dir string) error {
	for i, vm := range d.VMs {
		d.VMs[i].File = filepath.Join(dir, vm.Settings.Node.Name+".toml")
		if err := writeTOML(d.VMs[i].File, vm.Settings); err != nil {
			return err
		}
	}
	for _, p := range d.Presets {
		if err := writeTOML(filepath.Join(dir, p.Name+".preset.toml"), p); err != nil {
			return err
		}
	}
	return os.WriteFile(filepath.Join(dir, "processes"), d.processList(), 0o644)
}

func writeTOML(file string, v any) error {
	var b bytes.Buffer
	if err := toml.NewEncoder(&b).Encode(v); err != nil {
		return err
	}
	return os.WriteFile(file, b.Bytes(), 0o644)
}

// processList lists the processes that a script must start, one per line: the kind
// of the process and its arguments.
func (d Deployment) processList() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "log %s\n", d.Log)
	for _, vm := range d.VMs {
		fmt.Fprintf(&b, "node %s %s\n", vm.File, vm.Settings.Listen.Callers)
		fmt.Fprintf(&b, "target %s\n", strings.Join(vm.TargetArgs(), " "))
	}
	return b.Bytes()
}

// TargetArgs returns the arguments of the command "fuchsiapier-lab target" for
// the VM.
func (vm VM) TargetArgs() []string {
	args := []string{
		"--service", vm.Service.Name,
		"--listen", vm.Listen,
		"--node", vm.Settings.Listen.Targets,
		"--slots", fmt.Sprint(vm.Service.Slots),
		"--connections", fmt.Sprint(vm.Service.Connections),
		"--service-time", vm.Service.ServiceTime.String(),
	}
	for path, calls := range vm.Service.Calls {
		args = append(args, "--call", path+"="+strings.Join(calls, ","))
	}
	return args
}
