package load

import (
	"fmt"
	"io"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fuchsiapier/internal/edge/wire"
)

const (
	// histogramMax bounds recorded latencies, in microseconds.
	histogramMax = 60_000_000
	// significantDigits is the precision of the histogram, in significant decimal
	// digits.
	significantDigits = 3
)

// Summary summarizes the requests of one phase.
type Summary struct {
	Phase    string  `json:"phase"`
	Seconds  float64 `json:"seconds"`
	Requests int     `json:"requests"`
	Good     int     `json:"good"`
	// Important counts the requests marked as important.
	Important int `json:"important"`
	// ImportantGood counts the good requests among those marked as important.
	ImportantGood int `json:"important-good"`
	// Goodput is the number of good requests per second.
	Goodput float64 `json:"goodput-per-second"`
	// P50Millis and P99Millis are the 50th and 99th percentile of the latency of
	// good requests.
	P50Millis float64 `json:"p50-millis"`
	P99Millis float64 `json:"p99-millis"`
	// Refusals counts the requests that are not good by outcome and reason, or by
	// outcome and status where there is no reason.
	Refusals map[string]int `json:"refusals"`
	// WorstWorkspace is the workspace with the lowest share.
	WorstWorkspace string `json:"worst-workspace"`
	// WorstShare is the share of that workspace.
	WorstShare float64 `json:"worst-workspace-part"`
	// Shares maps each workspace to its share: its goodput over the lesser of its
	// offered load and the rate it is entitled to, 1 at most.
	Shares map[string]float64 `json:"workspace-parts"`
	// Wrong counts the requests with a wrong response.
	Wrong int `json:"wrong-answers"`
}

// Summarise summarizes the results of each phase of a script. entitled maps each
// workspace to the rate it is entitled to, in requests per second; without one, or
// with 0, its offered load counts in full.
func Summarise(s Script, results []Result, entitled map[string]float64) []Summary {
	var out []Summary
	for _, p := range s.Phases {
		out = append(out, summarise(p, results, entitled))
	}
	return out
}

func summarise(p Phase, results []Result, entitled map[string]float64) Summary {
	sum := Summary{
		Phase:    p.Name,
		Seconds:  p.Duration.D().Seconds(),
		Refusals: map[string]int{},
		Shares:   map[string]float64{},
	}
	h := hdrhistogram.New(1, histogramMax, significantDigits)
	offered, good := map[string]float64{}, map[string]float64{}
	for _, r := range results {
		if r.Phase != p.Name {
			continue
		}
		sum = sum.withResult(r)
		offered[r.Workspace]++
		if r.Good() {
			good[r.Workspace]++
			_ = h.RecordValue(r.Latency.Microseconds())
		}
	}
	sum.Goodput = float64(sum.Good) / sum.Seconds
	sum.P50Millis = float64(h.ValueAtQuantile(50)) / 1000
	sum.P99Millis = float64(h.ValueAtQuantile(99)) / 1000
	sum.WorstShare = 1
	for w, n := range offered {
		expected := n
		if limit := entitled[w] * sum.Seconds; limit > 0 {
			expected = min(expected, limit)
		}
		share := min(1, good[w]/expected)
		sum.Shares[w] = share
		if share <= sum.WorstShare {
			sum.WorstWorkspace, sum.WorstShare = w, share
		}
	}
	return sum
}

// withResult returns the summary with a result counted in.
func (s Summary) withResult(r Result) Summary {
	s.Requests++
	if r.Important {
		s.Important++
	}
	if r.Wrong {
		s.Wrong++
	}
	if !r.Good() {
		s.Refusals[failureReason(r)]++
		return s
	}
	s.Good++
	if r.Important {
		s.ImportantGood++
	}
	return s
}

// failureReason returns the key in Summary.Refusals for a result that is not good.
func failureReason(r Result) string {
	if r.Reason != "" {
		return string(r.Outcome) + "/" + string(r.Reason)
	}
	return fmt.Sprintf("%s/status-%d", r.Outcome, r.Status)
}

// Print writes a table with one line for each summary and ignores write errors.
func Print(w io.Writer, sums []Summary) {
	_, _ = fmt.Fprintf(w, "%-12s %8s %8s %9s %9s %8s %8s  %-22s %s\n", "phase", "requests", "good", "goodput/s", "important", "p50 ms", "p99 ms", "worst workspace", "not completed")
	for _, s := range sums {
		_, _ = fmt.Fprintf(w, "%-12s %8d %8d %9.1f %4d/%-4d %8.1f %8.1f  %-14s %6.1f%%  %s\n",
			s.Phase, s.Requests, s.Good, s.Goodput, s.ImportantGood, s.Important, s.P50Millis, s.P99Millis, s.WorstWorkspace, 100*s.WorstShare, formatCounts(s.Refusals))
	}
}

// formatCounts lists counts as name=count, sorted by name.
func formatCounts(counts map[string]int) string {
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	sort.Strings(names)
	out := ""
	for _, name := range names {
		out += fmt.Sprintf("%s=%d ", name, counts[name])
	}
	return out
}

// Recovery returns how long after the end of a disturbance the goodput stayed
// below a share of its baseline, the goodput between from and trigger, when the
// disturbance began. It looks at consecutive windows of the given length and
// returns the start of the first one that reaches the share, as the time after
// end. It returns false if none does.
func Recovery(results []Result, from, trigger, end time.Time, window time.Duration, share float64) (time.Duration, bool) {
	before := goodput(results, from, trigger)
	for t := end; t.Before(lastSent(results)); t = t.Add(window) {
		if goodput(results, t, t.Add(window)) >= share*before {
			return t.Sub(end), true
		}
	}
	return 0, false
}

// goodput returns the good requests per second among those first sent in a
// period.
func goodput(results []Result, from, to time.Time) float64 {
	n := 0
	for _, r := range results {
		if r.Good() && !r.Sent.Before(from) && r.Sent.Before(to) {
			n++
		}
	}
	return float64(n) / to.Sub(from).Seconds()
}

// lastSent returns the time of the latest first send.
func lastSent(results []Result) time.Time {
	var t time.Time
	for _, r := range results {
		if r.Sent.After(t) {
			t = r.Sent
		}
	}
	return t
}

// Outcomes counts results by outcome.
func Outcomes(results []Result) map[wire.Outcome]int {
	out := map[wire.Outcome]int{}
	for _, r := range results {
		out[r.Outcome]++
	}
	return out
}
