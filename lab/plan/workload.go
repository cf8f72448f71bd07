package plan

import (
	"time"

	"fuchsiapier/internal/conf/preset"
)

const (
	requestDeadline = preset.Duration(2 * time.Second)
	serviceTime     = 10 * time.Millisecond
)

// workspaces returns eight workspaces, two of which have 4 times the rate of the
// others. Bursts are the requests of half a second.
func workspaces(prefix string) map[string]preset.Workspace {
	out := map[string]preset.Workspace{}
	for i, name := range []string{"one", "two", "three", "four", "five", "six", "seven", "eight"} {
		rate := 40.0
		if i < 2 {
			rate = 160
		}
		out[prefix+"-"+name] = preset.Workspace{
			Rate:  rate,
			Burst: rate / 2,
		}
	}
	return out
}

// newService returns a service with the service time that all services share.
func newService(name string, slots, connections int, calls map[string][]string) Service {
	return Service{
		Name:        name,
		Slots:       slots,
		Connections: connections,
		ServiceTime: serviceTime,
		Calls:       calls,
	}
}

// Litoral returns the workload of the user Litoral Permise Scoici: 4 services in
// 3 regions.
func Litoral() Workload {
	return Workload{
		Name:    "litoral",
		Regions: []string{"constanta", "tulcea", "mangalia"},
		Services: []Service{
			newService("quota", 90, 600, map[string][]string{"/quota/check": {"/inspection/record"}}),
			newService("permits", 90, 600, map[string][]string{"/permits/issue": {"/quota/check"}}),
			newService("landings", 90, 600, map[string][]string{"/landings/record": {"/permits/verify", "/quota/check"}}),
			newService("inspection", 12, 170, nil),
		},
		Routes: []preset.Route{
			{Name: "quota-check", Path: "/quota/check", Service: "quota", Class: "normal", Idempotent: true, Deadline: requestDeadline, Retries: 2},
			{Name: "tide-windows", Path: "/tide/windows", Service: "quota", Class: "background", Open: true, Idempotent: true, Deadline: requestDeadline, Retries: 1},
			{Name: "permit-issue", Path: "/permits/issue", Service: "permits", Class: "critical", Deadline: requestDeadline, Retries: 2},
			{Name: "permit-verify", Path: "/permits/verify", Service: "permits", Class: "important", Idempotent: true, Deadline: requestDeadline, Retries: 2},
			{Name: "landing-record", Path: "/landings/record", Service: "landings", Class: "important", Deadline: requestDeadline, Retries: 2},
			{Name: "inspection-record", Path: "/inspection/record", Service: "inspection", Class: "normal", Idempotent: true, Deadline: requestDeadline, Retries: 1},
		},
		Workspaces: workspaces("picker"),
	}
}

// Vltava returns the workload of the user Prádelna Vltava Textil: 4 services in 3
// regions.
func Vltava() Workload {
	return Workload{
		Name:    "vltava",
		Regions: []string{"praha", "brno", "ostrava"},
		Services: []Service{
			newService("routing", 60, 470, map[string][]string{"/routing/plan": {"/stock/aprons"}}),
			newService("billing", 60, 470, map[string][]string{"/billing/batch": {"/stock/aprons"}}),
			newService("pickup", 60, 470, map[string][]string{"/pickup/schedule": {"/routing/plan"}}),
			newService("stock", 7, 140, nil),
		},
		Routes: []preset.Route{
			{Name: "routing-plan", Path: "/routing/plan", Service: "routing", Class: "normal", Idempotent: true, Deadline: requestDeadline, Retries: 2},
			{Name: "billing-batch", Path: "/billing/batch", Service: "billing", Class: "critical", Deadline: requestDeadline, Retries: 2},
			{Name: "pickup-schedule", Path: "/pickup/schedule", Service: "pickup", Class: "important", Deadline: requestDeadline, Retries: 2},
			{Name: "stock-aprons", Path: "/stock/aprons", Service: "stock", Class: "normal", Idempotent: true, Deadline: requestDeadline, Retries: 1},
		},
		Workspaces: workspaces("client"),
	}
}
