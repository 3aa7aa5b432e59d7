package fault_test

import (
	"testing"

	"github.com/onsi/gomega"

	"snipetally.example/try/internal/fault"
	"snipetally.example/try/internal/traffic"
)

func TestAuditFindsEachBrokenPromise(t *testing.T) {
	g := gomega.NewWithT(t)
	whole := traffic.Result{Completed: true, Response: "one"}
	other := traffic.Result{Completed: true, Response: "two"}
	wrong := traffic.Result{Mismatched: true}
	refused := traffic.Result{ErrorCode: "server", RunState: "no"}
	unknown := traffic.Result{ErrorCode: "lost", RunState: "unknown"}
	for _, c := range []struct {
		runs  int
		tries []traffic.Result
		found int
	}{
		{1, []traffic.Result{whole}, 0},
		{1, []traffic.Result{whole, whole}, 0},
		{1, []traffic.Result{unknown, refused}, 0},
		{1, []traffic.Result{refused, whole}, 0},
		{0, []traffic.Result{refused, refused}, 0},
		{0, []traffic.Result{unknown}, 0},
		{1, []traffic.Result{whole, other}, 1},
		{2, []traffic.Result{unknown}, 1},
		{2, []traffic.Result{whole}, 2},
		{0, []traffic.Result{whole}, 1},
		{1, []traffic.Result{refused}, 2},
		{1, []traffic.Result{wrong}, 1},
	} {
		h := fault.History{Stream: streams("grant")[0], RequestID: "key", Attempts: c.tries}
		ran := func(string, string) int { return c.runs }
		g.Expect(fault.Audit([]fault.History{h}, ran)).To(gomega.HaveLen(c.found), "%s, ran %d times", h.Summary(), c.runs)
	}
}
