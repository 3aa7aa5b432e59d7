package relay_test

import (
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"testing"

	"github.com/onsi/gomega"

	"snipetally.example/router/relay"
)

// serviceCount reads a counter of the service of all backends.
func (r *testNode) serviceCount(t *testing.T, name string) int {
	t.Helper()
	text := r.metrics(t)
	match := regexp.MustCompile(fmt.Sprintf(`service\.s\.%s\s+count:\s+(\d+)\s`, name)).FindStringSubmatch(text)
	if match == nil {
		t.Fatalf("no metric %s in %s", name, text)
	}
	count, err := strconv.Atoi(match[1])
	if err != nil {
		t.Fatal(err)
	}
	return count
}

// expectEachArrivalPaid checks that a retry was taken from the budget for each arrival
// at the backends beyond that of the only request.
func expectEachArrivalPaid(t *testing.T, r *testNode, backends []*backend, arrivals int) {
	t.Helper()
	g := gomega.NewWithT(t)
	g.Expect(totalArrived(backends)).To(gomega.Equal(arrivals))
	g.Expect(r.serviceCount(t, "further")).To(gomega.Equal(arrivals - 1))
	g.Expect(r.serviceCount(t, "taken")).To(gomega.Equal(arrivals - 1))
}

// TestEachFurtherArrivalTakesARetry guards against arrivals beyond the first of their
// request that the retry budget doesn't know of, on each path that sends.
func TestEachFurtherArrivalTakesARetry(t *testing.T) {
	t.Run("server errors", func(t *testing.T) {
		fails := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
		r, backends := startNode(t, newPlan(newClass("a", relay.Idempotent, 3)), fails, fails, fails)
		r.call(t, http.MethodGet, "/a/x", "")
		expectEachArrivalPaid(t, r, backends, 3)
	})
	t.Run("rejections", func(t *testing.T) {
		r, backends := startNode(t, newPlan(newClass("a", relay.NonIdempotent, 1)), rejectRequest, rejectRequest)
		r.call(t, http.MethodGet, "/a/x", "")
		expectEachArrivalPaid(t, r, backends, 2)
	})
	t.Run("closed connections", func(t *testing.T) {
		r, backends := startNode(t, newPlan(newClass("a", relay.Idempotent, 2)), closeConnection, closeConnection)
		r.call(t, http.MethodGet, "/a/x", "")
		expectEachArrivalPaid(t, r, backends, 2)
	})
	t.Run("resumed stream", func(t *testing.T) {
		class := newClass("a", relay.Stream, 2)
		class.Resumable = true
		r, backends := startNode(t, newPlan(class), streamEvents(1, 3, false), streamEvents(1, 3, false))
		r.call(t, http.MethodPost, "/a/x", "")
		expectEachArrivalPaid(t, r, backends, 2)
	})
	t.Run("migration", func(t *testing.T) {
		n := startMigrationNode(t, func(n *migrationNode, request relay.MigrationRequest) relay.KVCopy {
			close(n.stopped)
			return relay.KVCopy{Source: request.Source, Handle: "h1"}
		})
		n.drain(func(id string) bool { return id == n.source })
		<-n.end
		expectEachArrivalPaid(t, n.testNode, n.backends, 2)
	})
	t.Run("return to the source", func(t *testing.T) {
		n := newMigrationNode()
		startReturnNode(t, n, errUnavailable)
		<-n.end
		expectEachArrivalPaid(t, n.testNode, n.backends, 2)
	})
	t.Run("rejected copy", func(t *testing.T) {
		n := newMigrationNode()
		n.resume = inTurn(rejectRequest, streamEvents(1, 4, true))
		startReturnNode(t, n, nil)
		<-n.end
		expectEachArrivalPaid(t, n.testNode, n.backends, 3)
	})
}
