// Package report sums up what became of the trial's requests. It imports
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

// Guarantee is one thing that must hold, and whether it did.
type Guarantee struct {
	Description string
	Held        bool

	// Detail tells what was seen.
	Detail string
}

// Report is the outcome of a trial.
type Report struct {
	Results    []traffic.Result
	Duration   time.Duration
	Guarantees []Guarantee

	// GeneratedTokens is the number of tokens that the engines generated.
	GeneratedTokens int
}

// GuaranteesHeld reports whether every promise was kept.
func (r *Report) GuaranteesHeld() bool {
	return !slices.ContainsFunc(r.Guarantees, func(p Guarantee) bool { return !p.Held })
}

type row struct {
	class    string
	sent     int
	whole    int
	attained int
	refused  int
	tokens   int
	firsts   []time.Duration
}

// Write prints the report.
func (r *Report) Write(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "class\tsent\twhole\trefused\tattainment\tfirst p50\tfirst p95\ttokens")
	goodput, delivered := 0, 0
	for _, row := range r.rows() {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%.1f%%\t%v\t%v\t%d\n", row.class, row.sent, row.whole, row.refused,
			percent(row.attained, row.sent), quantile(row.firsts, 0.5), quantile(row.firsts, 0.95), row.tokens)
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
	for _, promise := range r.Guarantees {
		verdict := "kept"
		if !promise.Held {
			verdict = "BROKEN"
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\n", verdict, promise.Description, promise.Detail)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("print report: %w", err)
	}
	return nil
}

// rows returns a row for each class, in the order of their names.
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

func (r *row) add(result *traffic.Result) {
	r.sent++
	r.tokens += result.OutputTokens
	if result.Completed {
		r.whole++
		r.firsts = append(r.firsts, result.FirstToken)
	}
	if result.MetTarget() {
		r.attained++
	}
	if result.ErrorCode != "" {
		r.refused++
	}
}

func percent(part, whole int) float64 {
	const hundred = 100
	return hundred * float64(part) / float64(max(whole, 1))
}

func quantile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[int(q*float64(len(times)-1))].Round(time.Millisecond / 10)
}
