package bank

import "fuchsiapier/internal/quota/purse"

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
	// FromMember requests tokens of the asked node's own slice only.
	FromMember Scope = "member"
	// FromDomain requests tokens of the failure domain of the asked broker.
	FromDomain Scope = "domain"
	// FromFleet requests tokens of any failure domain from the asked broker.
	FromFleet Scope = "fleet"
)

// Ask is a request for loans of one budget.
type Ask struct {
	Budget string `json:"budget"`
	// From is the name of the requesting node.
	From  string `json:"from"`
	Scope Scope  `json:"scope"`
	// Want is the requested amount, in tokens.
	Want float64 `json:"want"`
	// Demand is the requesting node's recent demand, served or refused, in tokens
	// per second.
	Demand float64 `json:"demand,omitempty"`
}

// Answer is the answer to a request for loans.
type Answer struct {
	// Loans may amount to less than was requested.
	Loans []purse.Loan `json:"loans,omitempty"`
	// DryMillis is how long the requesting node should wait before it asks again,
	// in milliseconds; 0 if not stated.
	DryMillis int64 `json:"dry-millis,omitempty"`
	// Demand is the recent demand of the whole failure domain, in tokens per
	// second; 0 if not stated.
	Demand float64 `json:"demand,omitempty"`
}

// Report ends loans of one budget. It is sent by their borrower.
type Report struct {
	Budget      string             `json:"budget"`
	Settlements []purse.Settlement `json:"settlements"`
}

// derive returns a copy of the request with another requesting node, scope and
// amount.
func (a Ask) derive(from string, scope Scope, want float64) Ask {
	a.From = from
	a.Scope = scope
	a.Want = want
	return a
}
