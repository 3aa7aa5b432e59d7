// Package report summarizes the results of a trial's requests. It imports
// package traffic.
package report

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"snipetally.example/try/internal/traffic"
)

// Guarantee is a property that must hold during a trial, and whether it did.
type Guarantee struct {
	Description string
	Held        bool

	// Detail describes what was observed.
	Detail string
}

// Report is the outcome of a trial.
type Report struct {
	Results []traffic.Result

	// Duration is how long traffic was sent.
	Duration   time.Duration
	Guarantees []Guarantee

	// GeneratedTokens is the number of tokens that the engines generated, also
	// those that no caller received.
	GeneratedTokens int
}

// GuaranteesHeld reports whether every guarantee held.
func (r *Report) GuaranteesHeld() bool {
	return !slices.ContainsFunc(r.Guarantees, func(g Guarantee) bool { return !g.Held })
}

// row sums up the requests of one class.
type row struct {
	class        string
	sent         int
	completed    int
	metTarget    int
	refused      int
	outputTokens int
	firstTokens  []time.Duration
}

// Write prints the report as a table.
func (r *Report) Write(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "class\tsent\twhole\trefused\tattainment\tfirst p50\tfirst p95\ttokens")
	goodput, delivered := 0, 0
	for _, row := range r.rows() {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%.1f%%\t%v\t%v\t%d\n", row.class, row.sent, row.completed, row.refused,
			percent(row.metTarget, row.sent), quantile(row.firstTokens, 0.5), quantile(row.firstTokens, 0.95), row.outputTokens)
	}
	for i := range r.Results {
		if r.Results[i].Completed {
			delivered += r.Results[i].OutputTokens
		}
		if r.Results[i].MetTarget() {
			goodput += r.Results[i].OutputTokens
		}
	}
	_, _ = fmt.Fprintf(table, "\ngoodput\t%.0f tokens/s within target\n", float64(goodput)/r.Duration.Seconds())
	_, _ = fmt.Fprintf(table, "wasted\t%d of %d tokens\n\n", r.GeneratedTokens-delivered, r.GeneratedTokens)
	for _, guarantee := range r.Guarantees {
		verdict := "kept"
		if !guarantee.Held {
			verdict = "BROKEN"
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\n", verdict, guarantee.Description, guarantee.Detail)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("print report: %w", err)
	}
	return nil
}

// rows returns a row for each class, sorted by class name.
func (r *Report) rows() []*row {
	var rows []*row
	for i := range r.Results {
		result := &r.Results[i]
		index := slices.IndexFunc(rows, func(row *row) bool { return row.class == result.Stream.Class })
		if index < 0 {
			index = len(rows)
			rows = append(rows, &row{class: result.Stream.Class})
		}
		rows[index].add(result)
	}
	slices.SortFunc(rows, func(a, b *row) int { return strings.Compare(a.class, b.class) })
	return rows
}

// add counts the result of one request.
func (r *row) add(result *traffic.Result) {
	r.sent++
	r.outputTokens += result.OutputTokens
	if result.Completed {
		r.completed++
		r.firstTokens = append(r.firstTokens, result.FirstToken)
	}
	if result.MetTarget() {
		r.metTarget++
	}
	if result.ErrorCode != "" {
		r.refused++
	}
}

// percent returns a part of a total in percent, and zero if the total is zero.
func percent(part, total int) float64 {
	const hundred = 100
	return hundred * float64(part) / float64(max(total, 1))
}

// quantile sorts times and returns their q-quantile, rounded to 0.1 ms.
func quantile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[int(q*float64(len(times)-1))].Round(time.Millisecond / 10)
}
