package measure

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Tally collects figures during a simulation: the tokens wasted, and the first
// tokens of the class lowestClass.
type Tally struct {
	lowestClass  string
	wastedTokens int
	firstTokens  []time.Duration
	longestWait  time.Duration
}

// Result is the outcome of a policy in a scenario.
type Result struct {
	Scenario string
	Policy   string

	// Attained is the fraction of each class's requests that met both latency
	// targets, and Refused the fraction that was refused.
	Attained map[string]float64
	Refused  map[string]float64

	// LateFirstToken and SlowTokens are the fractions of requests that
	// completed with a late first token, or with the first token in time but
	// too long between tokens.
	LateFirstToken map[string]float64
	SlowTokens     map[string]float64

	// Goodput is the number of tokens a second of responses that met their
	// targets.
	Goodput float64

	// Wasted is the number of tokens generated for responses that did not
	// complete, as a fraction of the tokens of goodput.
	Wasted float64

	// LongestWait is the longest wait for a first token, and LongestGap the
	// longest time without any first token, in the least important class.
	LongestWait time.Duration
	LongestGap  time.Duration

	// ControlBytes is the number of bytes a second that a router sends to other
	// routers.
	ControlBytes float64

	// DecisionTime is the mean real time that routers spent on a request.
	DecisionTime time.Duration
}

// recordFirstToken records the first token of a job.
func (t *Tally) recordFirstToken(j *Job) {
	if j.Class.Name != t.lowestClass {
		return
	}
	t.firstTokens = append(t.firstTokens, j.firstToken)
	t.longestWait = max(t.longestWait, j.firstToken-j.Arrived)
}

// recordWasted records the tokens of a response that did not complete.
func (t *Tally) recordWasted(tokens int) {
	t.wastedTokens += tokens
}

// metTargets reports whether a job met both latency targets of its class.
func (j *Job) metTargets() bool {
	if j.state != jobDone || j.firstToken-j.Arrived > j.Class.FirstTokenTarget {
		return false
	}
	if j.Class.BetweenTokensTarget == 0 || j.Length < 2 {
		return true
	}
	return (j.finished-j.firstToken)/time.Duration(j.Length-1) <= j.Class.BetweenTokensTarget
}

// result computes the result from all jobs, including those that have not
// ended.
func (sim *simulation) result(all []*Job, end time.Duration) Result {
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
		case j.metTargets():
			result.Attained[name]++
			tokens += j.Length
		case j.state == jobDone && j.firstToken-j.Arrived > j.Class.FirstTokenTarget:
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
	result.Wasted = float64(sim.tally.wastedTokens) / float64(max(tokens, 1))
	result.LongestWait = sim.tally.longestWait
	last := time.Duration(0)
	for _, at := range sim.tally.firstTokens {
		result.LongestGap = max(result.LongestGap, at-last)
		last = at
	}
	result.LongestGap = max(result.LongestGap, end-last)
	sent := 0
	for _, r := range sim.routers {
		if scheduler, ok := r.(*schedulerRouter); ok {
			sent += scheduler.sentBytes
		}
	}
	result.ControlBytes = float64(sent) / float64(len(sim.routers)) / sim.now.Seconds()
	result.DecisionTime = sim.decisionTime / time.Duration(max(sim.arrivals, 1))
	return result
}

// Header returns the header row of the table for a scenario's classes.
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

// Causes returns why requests of each class missed their targets: the
// percentages refused, late and slow.
func (r *Result) Causes(classes []string) string {
	cells := make([]string, len(classes))
	for i, name := range classes {
		cells[i] = fmt.Sprintf("%.0f/%.0f/%.0f", 100*r.Refused[name], 100*r.LateFirstToken[name], 100*r.SlowTokens[name])
	}
	return fmt.Sprintf("%-12s", "  causes") + columns(cells) + fmt.Sprintf("  %.0f bytes/s for each router", r.ControlBytes)
}

// columns formats cells with equal width.
func columns(cells []string) string {
	var b strings.Builder
	for _, cell := range cells {
		fmt.Fprintf(&b, " %9s", cell)
	}
	return b.String()
}

// columnNames returns the columns of the streams, the most important class
// first.
func (sim *simulation) columnNames(streams []Stream) []string {
	streams = slices.Clone(streams)
	slices.SortStableFunc(streams, func(a, b Stream) int {
		return int(sim.snapshot.Classes[a.Class].Tier) - int(sim.snapshot.Classes[b.Class].Tier)
	})
	var names []string
	for i := range streams {
		if name := streams[i].columnName(); !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}
