package measure

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Tally counts how requests ended.
type Tally struct {
	lowest  string
	wasted  int
	served  []time.Duration
	longest time.Duration
}

// Result is the outcome of a policy in a scenario.
type Result struct {
	Scenario string
	Policy   string

	// Attained is the fraction of each class's requests that met both targets,
	// and Refused the fraction that was refused.
	Attained map[string]float64
	Refused  map[string]float64

	// LateFirstToken and Slow are the fractions that were answered, but with the first
	// token late, or in time and with the tokens too slow.
	LateFirstToken map[string]float64
	SlowTokens     map[string]float64

	// Goodput is the number of tokens a second of answers within target.
	Goodput float64

	// Wasted is the number of tokens that were generated for answers that did
	// not end, as a fraction of the tokens of goodput.
	Wasted float64

	// LongestWait is the longest wait for the first token, and Gap the longest time
	// without any first token, in the least important class.
	LongestWait time.Duration
	LongestGap  time.Duration

	// ControlBytes is the number of bytes a second that a router sends to others.
	ControlBytes float64

	// DecisionTime is the mean real time that routers took for a request.
	DecisionTime time.Duration
}

// first books a first token.
func (t *Tally) first(j *Job) {
	if j.Class.Name != t.lowest {
		return
	}
	t.served = append(t.served, j.first)
	t.longest = max(t.longest, j.first-j.Arrived)
}

// refused books a refusal.
func (t *Tally) refused(*Job) {}

// done books a whole answer.
func (t *Tally) done(*Job) {}

// waste books tokens of an answer that did not end.
func (t *Tally) waste(tokens int) {
	t.wasted += tokens
}

// attained reports whether a job met both targets of its class.
func (j *Job) attained() bool {
	if j.state != jobDone || j.first-j.Arrived > j.Class.FirstTokenTarget {
		return false
	}
	if j.Class.BetweenTokensTarget == 0 || j.Length < 2 {
		return true
	}
	return (j.ended-j.first)/time.Duration(j.Length-1) <= j.Class.BetweenTokensTarget
}

// result works out the outcome. Requests that arrive in the last part, too late
// to end, don't count.
func (w *world) result(all []*Job, end time.Duration) Result {
	result := Result{
		Attained:       make(map[string]float64),
		Refused:        make(map[string]float64),
		LateFirstToken: make(map[string]float64),
		SlowTokens:     make(map[string]float64),
	}
	counts := make(map[string]int)
	tokens := 0
	for _, j := range all {
		name := j.column
		counts[name]++
		if j.state == jobRefused {
			result.Refused[name]++
		}
		switch {
		case j.attained():
			result.Attained[name]++
			tokens += j.Length
		case j.state == jobDone && j.first-j.Arrived > j.Class.FirstTokenTarget:
			result.LateFirstToken[name]++
		case j.state == jobDone:
			result.SlowTokens[name]++
		}
	}
	for name, n := range counts {
		result.Attained[name] /= float64(n)
		result.Refused[name] /= float64(n)
		result.LateFirstToken[name] /= float64(n)
		result.SlowTokens[name] /= float64(n)
	}
	result.Goodput = float64(tokens) / end.Seconds()
	result.Wasted = float64(w.tally.wasted) / float64(max(tokens, 1))
	result.LongestWait = w.tally.longest
	last := time.Duration(0)
	for _, at := range w.tally.served {
		result.LongestGap = max(result.LongestGap, at-last)
		last = at
	}
	result.LongestGap = max(result.LongestGap, end-last)
	sent := 0
	for _, r := range w.routers {
		if product, ok := r.(*coreRouter); ok {
			sent += product.sent
		}
	}
	result.ControlBytes = float64(sent) / float64(len(w.routers)) / w.now.Seconds()
	result.DecisionTime = w.spent / time.Duration(max(w.calls, 1))
	return result
}

// Header returns the heading of the table for a scenario's classes.
func Header(classes []string) string {
	return fmt.Sprintf("%-12s", "policy") + columns(classes) + "  goodput  wasted   worst     gap  decision"
}

// Row returns the result as a row of the table.
func (r *Result) Row(classes []string) string {
	cells := make([]string, len(classes))
	for i, name := range classes {
		cells[i] = fmt.Sprintf("%.1f", 100*r.Attained[name])
	}
	return fmt.Sprintf("%-12s", r.Policy) + columns(cells) + fmt.Sprintf("  %7.0f  %5.2f%%  %5.1fs  %5.1fs  %8v",
		r.Goodput, 100*r.Wasted, r.LongestWait.Seconds(), r.LongestGap.Seconds(), r.DecisionTime.Round(100*time.Nanosecond))
}

// Causes returns why requests of each class were not attained: the percentages
// refused, late and slow.
func (r *Result) Causes(classes []string) string {
	cells := make([]string, len(classes))
	for i, name := range classes {
		cells[i] = fmt.Sprintf("%.0f/%.0f/%.0f", 100*r.Refused[name], 100*r.LateFirstToken[name], 100*r.SlowTokens[name])
	}
	return fmt.Sprintf("%-12s", "  causes") + columns(cells) + fmt.Sprintf("  %.0f bytes/s for each router", r.ControlBytes)
}

// columns formats cells of equal width.
func columns(cells []string) string {
	var b strings.Builder
	for _, cell := range cells {
		fmt.Fprintf(&b, " %9s", cell)
	}
	return b.String()
}

// columnNames returns the columns of the streams, the most important class first.
func (w *world) columnNames(streams []Stream) []string {
	streams = slices.Clone(streams)
	slices.SortStableFunc(streams, func(a, b Stream) int {
		return int(w.snapshot.Classes[a.Class].Tier) - int(w.snapshot.Classes[b.Class].Tier)
	})
	var names []string
	for i := range streams {
		if name := streams[i].column(); !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}
