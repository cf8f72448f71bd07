package daemon

import (
	"fuchsiapier/internal/admit/crash"
	"fuchsiapier/internal/admit/poison"
	"fuchsiapier/internal/base/event"
	"fuchsiapier/internal/conf/feed"
	"fuchsiapier/internal/edge/wire"
	"fuchsiapier/internal/mesh/roster"
)

// broadcastCrash sends the evidence of a crash to the other nodes.
func (d *Daemon) broadcastCrash(c crash.Crash) {
	d.broadcast(wire.MethodCrash, crashMessage{
		Crashes: []crash.Crash{c},
	})
}

// recordCrash adds an event for each request whose standing new evidence has changed.
func (d *Daemon) recordCrash(n poison.News) {
	for _, e := range n.Changed {
		d.recordStanding("request-"+string(e.Standing), e.Fingerprint)
	}
}

// recordStanding adds an event about a request.
func (d *Daemon) recordStanding(kind string, f crash.Fingerprint) {
	d.events.Add(event.Event{
		Kind:   kind,
		Detail: f.String(),
	})
}

// crashMessage carries evidence of crashes between nodes.
type crashMessage struct {
	Crashes []crash.Crash `json:"crashes"`
	// Forwarded is set on the second hop; receivers forward the message no further.
	Forwarded bool `json:"forwarded,omitempty"`
}

// broadcast sends a message to all other live nodes of the local domain and to
// relaysPerDomain live nodes of each other domain, which forward it within their
// domains. Nodes that it does not reach learn the quarantined requests by gossip.
func (d *Daemon) broadcast(method string, m crashMessage) {
	perDomain := map[string]int{}
	self := d.settings.Node
	for _, e := range d.roster.Filter(func(e roster.Entry) bool { return e.Health == roster.Alive }) {
		sameDomain := e.Domain == self.Domain
		if e.Name == self.Name || (!sameDomain && perDomain[e.Domain] >= relaysPerDomain) {
			continue
		}
		perDomain[e.Domain]++
		go func() { _ = d.links.Notify(e.Peers, method, m) }()
	}
}

// relaysPerDomain is how many nodes of another domain receive a broadcast and
// forward it.
const relaysPerDomain = 2

// broadcastRecords sends the records that this node has read from the platform's
// log to the other live nodes of the local domain.
func (d *Daemon) broadcastRecords(u feed.Update) {
	self := d.settings.Node
	for _, e := range d.roster.Filter(func(e roster.Entry) bool {
		return e.Domain == self.Domain && e.Name != self.Name && e.Health == roster.Alive
	}) {
		go func() {
			_ = d.links.Notify(e.Peers, methodRecords, recordsMessage{
				From:   self.Name,
				Update: u,
			})
		}()
	}
}

// methodRecords is the method of the peer protocol that carries a recordsMessage.
const methodRecords = "records"

// recordsMessage carries configuration records from a log reader to the other nodes
// of its domain.
type recordsMessage struct {
	From   string      `json:"from"`
	Update feed.Update `json:"update"`
}

// receiveCrash merges the evidence of a crashMessage and forwards it once to the
// nodes of the local domain.
func (d *Daemon) receiveCrash(m crashMessage) {
	d.poison.Learn("peer", m.Crashes)
	if m.Forwarded {
		return
	}
	m.Forwarded = true
	p := peers{
		d: d,
	}
	for _, name := range p.Members() {
		if address, err := p.address(name); err == nil {
			go func() { _ = d.links.Notify(address, wire.MethodCrash, m) }()
		}
	}
}

// receiveRecords applies records from a log reader. If they can't be applied, for
// instance because this node lacks earlier ones, it fetches the log reader's whole
// configuration.
func (d *Daemon) receiveRecords(m recordsMessage) {
	if d.feed.ApplyUpdate(m.Update) {
		return
	}
	p := peers{
		d: d,
	}
	if address, err := p.address(m.From); err == nil {
		d.gossip.Fetch(address)
	}
}
