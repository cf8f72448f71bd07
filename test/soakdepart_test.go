package test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"fuchsiapier/lab/backend"
)

// restoreGap is the time around a restore of the store in which a departure that the store had taken
// may be missing there.
const restoreGap = 3 * time.Second

// departing is a server that withdraws itself once in a soak.
type departing struct {
	vm *vm
	// after is when, from the start of the soak; domain says that the whole failure domain is killed
	// then, and late how long after the confirmation an old report arrives.
	after  time.Duration
	domain bool
	late   time.Duration
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
	confirmed := false
	for end := time.Now().Add(soakTime); !confirmed && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		confirmed = d.vm.withdraws("i-" + d.vm.name)
	}
	if !confirmed {
		s.note("the departure of the server of %s is not confirmed", d.vm.name)
		return
	}
	s.mu.Lock()
	if s.departing.vm.server == server {
		d.server, d.confirmedAt = server, time.Now()
	}
	s.mu.Unlock()
	s.note("the departure of the server of %s is confirmed; its domain is killed: %v", d.vm.name, d.domain)
	for _, v := range s.vms {
		if v == d.vm || d.domain && v.domain == d.vm.domain {
			s.disturb(v, "SIGKILL after the departure", false, func() { s.restart(v, syscall.SIGKILL) })
		}
	}
	time.Sleep(d.late)
	server.Send(report)
	time.Sleep(drainTime + quietTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if d.vm.server == server {
		d.vm.stopServer()
		d.vm.startServer()
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

// checkDeparture checks that a server got no requests after its departure was confirmed.
func (s *soak) checkDeparture() (broken []string) {
	d := s.departing
	if d.confirmedAt.IsZero() {
		return nil
	}
	for _, at := range s.restoredAt {
		if gap := at.Sub(d.confirmedAt); gap > -restoreGap && gap < restoreGap {
			// The store may have lost the departure, and the node that knew of it was killed.
			return nil
		}
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
