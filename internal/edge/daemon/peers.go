package daemon

import (
	"context"
	"errors"

	"fuchsiapier/internal/admit/claim"
	"fuchsiapier/internal/edge/wire"
	"fuchsiapier/internal/mesh/link"
	"fuchsiapier/internal/mesh/rank"
	"fuchsiapier/internal/mesh/roster"
	"fuchsiapier/internal/quota/tokens"
)

const (
	// envelopeBytes is the expected size of a call on a link besides its body.
	envelopeBytes = 700
	// bodyFactor is the growth of a body by its base64 encoding in JSON.
	bodyFactor = 4.0 / 3.0
	// replyBytes is the expected size of a reply to another region.
	replyBytes = 1000
)

// linkBudget returns the name of the budget for the bytes sent to a region.
func linkBudget(region string) string {
	return linkBudgetPrefix + region
}

// linkBudgetPrefix precedes the region in the names of region link budgets.
const linkBudgetPrefix = "bytes-to:"

// peers implements the interfaces through which claims, budgets and the sender
// reach other nodes.
type peers struct {
	d *Daemon
}

var errUnknownNode = errors.New("node is not in the roster")

func (p peers) address(node string) (string, error) {
	e, ok := p.d.roster.Get(node)
	if !ok {
		return "", errUnknownNode
	}
	return e.Peers, nil
}

// call calls a method of the named node.
func (p peers) call(ctx context.Context, node, method string, params, result any) error {
	address, err := p.address(node)
	if err != nil {
		return err
	}
	return p.d.links.Call(ctx, address, method, params, result)
}

// Run sends a call to the node beside a target and waits for its reply, as long as
// the node responds to liveness checks. The second result is false if the call can't
// have reached the node.
func (p peers) Run(ctx context.Context, e roster.Entry, c wire.Call) (wire.Reply, bool, error) {
	if e.Name == p.d.settings.Node.Name {
		return p.d.runner.Run(ctx, c), true, nil
	}
	c.From = p.d.settings.Node.Region
	defer p.d.links.Watch(e.Peers)()
	var r wire.Reply
	err := p.d.links.Call(ctx, e.Peers, wire.MethodRun, c, &r)
	return r, !errors.Is(err, link.ErrNotSent), err
}

// Cancel cancels one attempt of a call, by its serial.
func (p peers) Cancel(e roster.Entry, serial string) {
	if e.Name == p.d.settings.Node.Name {
		p.d.runner.Cancel(serial)
		return
	}
	_ = p.d.links.Notify(e.Peers, wire.MethodCancel, wire.Cancel{
		Serial: serial,
	})
}

// Reachable reports whether a node is this one, is connected, or may be dialled; it
// is false while a dial is under way or has failed recently.
func (p peers) Reachable(e roster.Entry) bool {
	return e.Name == p.d.settings.Node.Name || p.d.links.Reachable(e.Peers)
}

// Reserve reserves the expected bytes of a call to a region. The returned function
// ends the reservation, since the bytes that were sent are charged separately. It
// returns false if the budget has too few left.
func (p peers) Reserve(ctx context.Context, region string, c wire.Call) (func(), bool) {
	return p.reserve(ctx, region, envelopeBytes+bodyFactor*float64(len(c.Body)))
}

func (p peers) reserve(ctx context.Context, region string, bytes float64) (func(), bool) {
	budget := linkBudget(region)
	if ok, _ := p.d.tokens.Take(ctx, budget, bytes); !ok {
		return nil, false
	}
	return func() { p.d.tokens.Refund(budget, bytes) }, true
}

// Claim sends a claim or a release to a replica.
func (p peers) Claim(ctx context.Context, node string, q claim.Request) (claim.Answer, error) {
	var a claim.Answer
	return a, p.call(ctx, node, wire.MethodClaim, q, &a)
}

// Join waits for the reply of a claim's holder.
func (p peers) Join(ctx context.Context, node string, j wire.Join) (wire.Reply, error) {
	var r wire.Reply
	return r, p.call(ctx, node, wire.MethodJoin, j, &r)
}

// Replica returns the name of the node in a slot, or "" if none is known. Of several
// nodes it is the one with the highest incarnation.
func (p peers) Replica(domain string, slot int) string {
	return p.d.view.Load().holders[slotKey{
		domain: domain,
		slot:   slot,
	}].Name
}

// members returns the names of the live nodes of a failure domain.
func (p peers) members(domain string) []string {
	return p.d.view.Load().members[domain]
}

// Broker returns the name of the broker of a budget in the local failure domain.
// Rendezvous hashing chooses it among the live nodes.
func (p peers) Broker(budget string) string {
	return rank.Best(budget, p.members(p.d.settings.Node.Domain))
}

// Members returns the names of the other live nodes of the local failure domain.
func (p peers) Members() []string {
	var others []string
	for _, name := range p.members(p.d.settings.Node.Domain) {
		if name != p.d.settings.Node.Name {
			others = append(others, name)
		}
	}
	return others
}

// Brokers returns the names of the brokers of a budget in the other failure
// domains. For a budget of bytes to a region they are only those in the local
// region, since each sending region has a limit of its own.
func (p peers) Brokers(budget string) []string {
	preset, ok := p.d.feed.State().Active()
	if !ok {
		return nil
	}
	self := p.d.settings.Node
	var names []string
	for _, domain := range preset.DomainNames() {
		otherRegion := preset.Domains[domain].Region != self.Region
		if domain == self.Domain || (isLinkBudget(budget) && otherRegion) {
			continue
		}
		if name := rank.Best(budget, p.members(domain)); name != "" {
			names = append(names, name)
		}
	}
	return names
}

// Lend asks a peer to lend tokens.
func (p peers) Lend(ctx context.Context, node string, req tokens.LendRequest) (tokens.Answer, error) {
	var answer tokens.Answer
	return answer, p.call(ctx, node, tokens.MethodLend, req, &answer)
}

// Settle reports ended loans to their lender. If the message is lost, only the
// unspent tokens are lost with it.
func (p peers) Settle(node string, r tokens.SettleRequest) {
	address, err := p.address(node)
	if err != nil {
		return
	}
	go func() {
		_ = p.d.links.Notify(address, tokens.MethodSettle, r)
	}()
}
