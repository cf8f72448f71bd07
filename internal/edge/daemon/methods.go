package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"fuchsiapier/internal/admit/claim"
	"fuchsiapier/internal/edge/wire"
	"fuchsiapier/internal/mesh/gossip"
	"fuchsiapier/internal/mesh/link"
	"fuchsiapier/internal/quota/tokens"
)

// decoded adapts a typed handler. Parameters that can't be decoded are reported to
// the peer as an error.
func decoded[P, R any](f func(ctx context.Context, p P) R) link.Handler {
	return func(ctx context.Context, params json.RawMessage) (any, error) {
		var p P
		if err := json.Unmarshal(params, &p); err != nil {
			return nil, fmt.Errorf("parameters: %w", err)
		}
		return f(ctx, p), nil
	}
}

// handlers returns the handlers of the peer protocol as options. Each waits until
// the components that it uses have started.
func (d *Daemon) handlers() []link.Option {
	var options []link.Option
	for name, h := range d.methods() {
		options = append(options, link.WithHandler(name, func(ctx context.Context, params json.RawMessage) (any, error) {
			select {
			case <-d.started:
				return h(ctx, params)
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}))
	}
	return options
}

// methods returns the handler of each method of the peer protocol.
func (d *Daemon) methods() map[string]link.Handler {
	return map[string]link.Handler{
		wire.MethodRun:      decoded(d.serveRun),
		wire.MethodCancel:   notification(func(c wire.Cancel) { d.runner.Cancel(c.Serial) }),
		wire.MethodJoin:     decoded(d.serveJoin),
		wire.MethodClaim:    decoded(func(_ context.Context, q claim.Request) claim.Answer { return d.once.Claim(q) }),
		wire.MethodCrash:    notification(d.receiveCrash),
		tokens.MethodLend:   decoded(func(ctx context.Context, req tokens.LendRequest) tokens.Answer { return d.tokens.Lend(ctx, req) }),
		tokens.MethodSettle: notification(func(r tokens.SettleRequest) { d.tokens.Settle(r) }),
		gossip.MethodGossip: decoded(func(_ context.Context, m gossip.Message) gossip.Message { return d.gossip.Answer(m) }),
		gossip.MethodProbe:  decoded(func(_ context.Context, p gossip.Probe) bool { return d.gossip.Probe(p) }),
		gossip.MethodConfiguration: func(context.Context, json.RawMessage) (any, error) {
			return d.feed.State(), nil
		},
		methodRecords: notification(d.receiveRecords),
	}
}

// notification adapts a handler that returns no result.
func notification[P any](f func(p P)) link.Handler {
	return decoded(func(_ context.Context, p P) any {
		f(p)
		return nil
	})
}

// serveJoin waits on behalf of a peer for the reply to a call whose claim this node
// holds.
func (d *Daemon) serveJoin(ctx context.Context, j wire.Join) wire.Reply {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(j.LeftMillis)*time.Millisecond)
	defer cancel()
	return d.once.Join(ctx, j)
}

// serveRun runs a call for another node. If that node is in another region, the
// expected bytes of the reply are reserved first, so that a call whose reply would
// exceed the preset's limit is refused before it runs.
func (d *Daemon) serveRun(ctx context.Context, c wire.Call) wire.Reply {
	p := peers{
		d: d,
	}
	if c.From == "" || c.From == d.settings.Node.Region {
		return d.runner.Run(ctx, c)
	}
	release, ok := p.reserve(ctx, c.From, replyBytes)
	if !ok {
		return wire.Refuse(wire.ReasonBytes, time.Second).WithRetriesLeft(c.Retries)
	}
	defer release()
	return d.runner.Run(ctx, c)
}
