// Package grant defines the messages by which nodes hand tokens of a budget to each
// other. A grant transfers tokens for good: tokens of a lost reply are wasted, but no
// token is spent twice.
package grant

import "context"

// Request is a request for tokens of one budget. It is encoded as a CBOR array, so the
// order of the fields is part of the protocol.
type Request struct {
	_ struct{} `cbor:",toarray"`
	// Budget is the name of a workspace, or of another budget.
	Budget string
	// From is the name of the requesting node.
	From string
	// Want is the requested number of tokens, at least 1, or 0 if Returned is set.
	Want float64
	// Demand is the recent demand of the requesting node, in tokens per second.
	Demand float64
	// Remote is set if the requesting node asks for its whole failure domain: the
	// receiver answers from its own tokens and asks no other node.
	Remote bool
	// Returned is the number of granted tokens that the requesting node gives back.
	Returned float64
}

// Reply transfers tokens. It is encoded as a CBOR array, so the order of the fields is
// part of the protocol.
type Reply struct {
	_ struct{} `cbor:",toarray"`
	// Amount is a whole number of tokens, 0 if there are none.
	Amount float64
	// RetryMillis is the time until more tokens are expected, in milliseconds, if
	// Amount is 0.
	RetryMillis uint32
}

// Sender sends requests to other nodes.
type Sender interface {
	// Request sends a request to the named node and returns its reply.
	Request(ctx context.Context, node string, r Request) (Reply, error)
}
