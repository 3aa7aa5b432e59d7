package fault_test

import (
	"testing"

	"github.com/onsi/gomega"

	"snipetally.example/try/internal/fault"
	"snipetally.example/try/internal/traffic"
)

func TestAuditReportsEachViolation(t *testing.T) {
	g := gomega.NewWithT(t)
	completed := traffic.Result{Completed: true, Response: "one"}
	different := traffic.Result{Completed: true, Response: "two"}
	mismatched := traffic.Result{Mismatched: true}
	refused := traffic.Result{ErrorCode: "server", RunState: "no"}
	unknown := traffic.Result{ErrorCode: "lost", RunState: "unknown"}
	for _, c := range []struct {
		runs       int
		attempts   []traffic.Result
		violations int
	}{
		{1, []traffic.Result{completed}, 0},
		{1, []traffic.Result{completed, completed}, 0},
		{1, []traffic.Result{unknown, refused}, 0},
		{1, []traffic.Result{refused, completed}, 0},
		{0, []traffic.Result{refused, refused}, 0},
		{0, []traffic.Result{unknown}, 0},
		{1, []traffic.Result{completed, different}, 1},
		{2, []traffic.Result{unknown}, 1},
		{2, []traffic.Result{completed}, 2},
		{0, []traffic.Result{completed}, 1},
		{1, []traffic.Result{refused}, 2},
		{1, []traffic.Result{mismatched}, 1},
	} {
		h := fault.History{Stream: streamsOf("grant")[0], RequestID: "key", Attempts: c.attempts}
		runs := func(string, string) int { return c.runs }
		g.Expect(fault.Audit([]fault.History{h}, runs)).To(gomega.HaveLen(c.violations), "%s, ran %d times", h.Summary(), c.runs)
	}
}
