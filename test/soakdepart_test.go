package test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"syscall"
	"time"

	"fuchsiapier/lab/backend"
	"fuchsiapier/lab/store"
)

// restoreGap is the time around a restore of the store in which a departure that the store had taken
// may be missing there, so that only the nodes that hold it know of it.
const restoreGap = 3 * time.Second

// holdersGap is how long before a confirmation, and after the old report, a fault of a node may keep it from
// holding the departure or from telling of it.
const holdersGap = 1 * time.Second

// departing is a server that withdraws itself once in a soak.
type departing struct {
	vm *vm
	// after is when, from the start of the soak; domain says that the whole failure domain is killed
	// then, and late how long after the confirmation an old report arrives.
	after  time.Duration
	domain bool
	late   time.Duration
	// outage says that the store is away from before the withdrawal until the old report has arrived.
	outage bool
	// drill says that the store comes back from a copy of before the withdrawal while the node is away; not
	// if outage is set.
	drill bool
	// server is the start that has left, confirmedAt when that was confirmed, zero if it was not.
	server      *backend.Backend
	confirmedAt time.Time
}

// newDeparting draws a departure.
func newDeparting(random *rand.Rand, vms []*vm) *departing {
	return &departing{
		vm:     vms[random.IntN(len(vms))],
		after:  time.Second + time.Duration(random.Int64N(int64(soakTime/3))),
		domain: random.IntN(2) == 0,
		late:   time.Duration(random.Int64N(int64(2 * time.Second))),
		outage: random.IntN(2) == 0,
		drill:  random.IntN(2) == 0,
	}
}

// depart lets the server of a VM withdraw itself, and kills its node or its failure domain right after
// the confirmation. A report that it sent before arrives late; it starts again some seconds later.
func (s *soak) depart() {
	d := s.departing
	time.Sleep(d.after)
	s.mu.Lock()
	server := d.vm.server
	s.mu.Unlock()
	server.StopReports()
	report := server.Report()
	endOutage := func() {}
	if d.outage {
		s.storeFaults.Lock()
		s.note("the store is away while the server of %s departs", d.vm.name)
		s.store.SetFault(store.Unavailable)
		endOutage = func() {
			s.store.SetFault(store.NoFault)
			s.storeFaults.Unlock()
		}
	}
	drill := func() {}
	if d.drill && !d.outage {
		drill = s.prepareDrill()
	}
	confirmed := false
	for end := time.Now().Add(soakTime); !confirmed && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		confirmed = d.vm.withdraws("i-" + d.vm.name)
	}
	if !confirmed {
		endOutage()
		drill()
		s.note("the departure of the server of %s is not confirmed", d.vm.name)
		return
	}
	s.mu.Lock()
	if s.departing.vm.server == server {
		d.server, d.confirmedAt = server, time.Now()
	}
	s.mu.Unlock()
	s.note("the departure of the server of %s is confirmed; its domain is killed: %v", d.vm.name, d.domain)
	drill()
	for _, v := range s.vms {
		if v == d.vm || d.domain && v.domain == d.vm.domain {
			s.disturb(v, "SIGKILL after the departure", false, func() { s.restart(v, syscall.SIGKILL) })
		}
	}
	time.Sleep(d.late)
	server.Send(report)
	endOutage()
	time.Sleep(drainTime + quietTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if d.vm.server == server {
		d.vm.stopServer()
		d.vm.startServer()
	}
}

// drillTime is how long the store is away in a drill: longer than a restart of a node takes.
const drillTime = 1200 * time.Millisecond

// prepareDrill copies the store, and returns the function that begins a drill: the store goes away and comes back
// from the copy. No other fault of the store overlaps it.
func (s *soak) prepareDrill() func() {
	s.storeFaults.Lock()
	older := s.store.Copy()
	return func() {
		s.note("the store is away, and comes back from a copy of before the departure")
		s.store.SetFault(store.Unavailable)
		s.faults.Go(func() {
			defer s.storeFaults.Unlock()
			time.Sleep(drillTime)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.store.Restore(older)
			s.restoredAt = append(s.restoredAt, time.Now())
			s.publish()
			s.store.SetFault(store.NoFault)
		})
	}
}

// withdraws withdraws a server and returns whether that was confirmed.
func (v *vm) withdraws(id string) bool {
	req, err := http.NewRequest(http.MethodDelete, "http://"+v.address(portControl)+"/v1/instances/"+id, nil)
	if err != nil {
		v.cluster.t.Error(err)
		return false
	}
	client := &http.Client{
		Timeout: time.Second,
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// holdersDisturbed reports whether all nodes of the other failure domain were disturbed between the confirmation of the
// departure and the old report, so that nobody may hold it any more. One that was not holds it.
func (s *soak) holdersDisturbed() bool {
	d := s.departing
	from, to := d.confirmedAt.Add(-holdersGap), d.confirmedAt.Add(d.late+holdersGap)
	return !slices.ContainsFunc(s.vms, func(v *vm) bool {
		disturbed := slices.ContainsFunc(s.spans[v], func(at span) bool { return at.from.Before(to) && at.to.After(from) })
		return v.domain != d.vm.domain && !disturbed
	})
}

// restoredAround reports whether the store was restored around a time, so that it may have lost what it took then.
func (s *soak) restoredAround(at time.Time) bool {
	return slices.ContainsFunc(s.restoredAt, func(restored time.Time) bool {
		gap := restored.Sub(at)
		return gap > -restoreGap && gap < restoreGap
	})
}

// checkDeparture checks that a server got no requests after its departure was confirmed.
func (s *soak) checkDeparture() (broken []string) {
	d := s.departing
	if d.confirmedAt.IsZero() {
		return nil
	}
	if (d.outage || s.restoredAround(d.confirmedAt)) && s.holdersDisturbed() {
		return nil
	}
	late := 0
	for _, r := range d.server.Runs() {
		if r.At.After(d.confirmedAt.Add(drainTime)) {
			late++
		}
	}
	if late > 0 {
		broken = append(broken, fmt.Sprintf("the server of %s got %d requests later than %v after its departure was confirmed at %s", d.vm.name, late, drainTime, d.confirmedAt.Format("05.000")))
	}
	return broken
}
