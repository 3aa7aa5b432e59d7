package measure_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"snipetally.example/router/internal/measure"
)

// BenchmarkPolicy prints a table for each scenario, with a row for each policy.
// The environment variable SNIPETALLY_SCENARIO selects scenarios by a part of
// their name, SNIPETALLY_POLICY policies. With SNIPETALLY_CAUSES set, a second
// row shows the percentages of requests that were refused, got a late first
// token, or slow tokens.
func BenchmarkPolicy(b *testing.B) {
	only := os.Getenv("SNIPETALLY_SCENARIO")
	for _, s := range measure.Scenarios() {
		if !strings.Contains(s.Name, only) {
			continue
		}
		b.Run(strings.ReplaceAll(s.Name, " ", "-"), func(b *testing.B) {
			for b.Loop() {
				printTable(&s)
			}
		})
	}
}

// printTable prints the results of all policies in a scenario.
func printTable(s *measure.Scenario) {
	fmt.Printf("\n%s: %d routers\n", s.Name, s.Routers)
	i := 0
	for _, p := range measure.Policies() {
		if !strings.Contains(p.Name, os.Getenv("SNIPETALLY_POLICY")) {
			continue
		}
		result, classes := measure.Run(s, p)
		if i++; i == 1 {
			fmt.Println(measure.Header(classes))
		}
		fmt.Println(result.Row(classes))
		if os.Getenv("SNIPETALLY_CAUSES") != "" {
			fmt.Println(result.Causes(classes))
		}
	}
}

// BenchmarkOverload prints the goodput of each policy at multiples of the
// capacity. It does not run the scenarios of BenchmarkPolicy.
func BenchmarkOverload(b *testing.B) {
	for b.Loop() {
		for _, p := range measure.Policies() {
			if !strings.Contains(p.Name, os.Getenv("SNIPETALLY_POLICY")) {
				continue
			}
			fmt.Printf("%-12s", p.Name)
			for _, factor := range []float64{0.5, 1, 1.5, 2, 3, 5} {
				s := measure.Overload(factor)
				result, _ := measure.Run(&s, p)
				fmt.Printf("  %gx %6.0f", factor, result.Goodput)
			}
			fmt.Println()
		}
	}
}
