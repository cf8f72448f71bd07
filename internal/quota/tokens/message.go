package tokens

import "fuchsiapier/internal/quota/bucket"

// Methods of the peer protocol for budgets.
const (
	// MethodLend requests loans of one budget.
	MethodLend = "lend"
	// MethodSettle ends loans; it has no result.
	MethodSettle = "settle"
)

// Scope limits which nodes' tokens a request may be met from.
type Scope string

// Scopes of a request.
const (
	// ScopeMember requests tokens of the receiving node's own slice only.
	ScopeMember Scope = "member"
	// ScopeDomain requests tokens of the receiving broker's failure domain.
	ScopeDomain Scope = "domain"
	// ScopeFleet requests tokens of any failure domain through the receiving
	// broker.
	ScopeFleet Scope = "fleet"
)

// LendRequest is a request for loans of one budget.
type LendRequest struct {
	Budget string `json:"budget"`
	// From is the name of the requesting node.
	From  string `json:"from"`
	Scope Scope  `json:"scope"`
	// Want is the requested amount, in tokens.
	Want float64 `json:"want"`
	// Demand is the requesting node's recent demand, both granted and refused, in
	// tokens per second.
	Demand float64 `json:"demand,omitempty"`
}

// Answer is the answer to a request for loans.
type Answer struct {
	// Loans may amount to less than was requested.
	Loans []bucket.Loan `json:"loans,omitempty"`
	// BackoffMillis is how long the requesting node should wait before it sends
	// another request, in milliseconds; 0 if not stated.
	BackoffMillis int64 `json:"dry-millis,omitempty"`
	// Demand is the recent demand of the whole failure domain, in tokens per
	// second; 0 if not stated.
	Demand float64 `json:"demand,omitempty"`
}

// SettleRequest ends loans of one budget. It is sent by their borrower.
type SettleRequest struct {
	Budget      string              `json:"budget"`
	Settlements []bucket.Settlement `json:"settlements"`
}

// derive returns a copy of the request with another requesting node, scope and
// amount.
func (r LendRequest) derive(from string, scope Scope, want float64) LendRequest {
	r.From = from
	r.Scope = scope
	r.Want = want
	return r
}
