package relay_test

import (
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/router/relay"
)

// inReplacement reports whether it is called while a place for a replacement is
// secured.
func inReplacement() bool {
	callers := make([]uintptr, 16)
	frames := runtime.CallersFrames(callers[:runtime.Callers(1, callers)])
	for {
		frame, more := frames.Next()
		if strings.HasSuffix(frame.Function, ".secureReplacement") {
			return true
		}
		if !more {
			return false
		}
	}
}

// Guards against capacity that stays reserved for a migration that nobody awaits:
// its server begins to leave while the stream is given up for a place elsewhere.
func TestMigrationDuringAReplacementReservesNothing(t *testing.T) {
	g := gomega.NewWithT(t)

	// longestMigration is how long the test waits for the migration to begin, and
	// runEnd how long after it the stream at the source ends.
	const longestMigration, runEnd = 5 * time.Second, time.Second
	migrated := make(chan struct{})
	sources := make(chan string, 1)
	handler := func(w http.ResponseWriter, req *http.Request) {
		select {
		case sources <- req.Header.Get(instanceHeader): // The first attempt.
			w.Header().Set(signedHeader, "yes")
			_, _ = io.WriteString(w, "id: 1\ndata: 1\n\n")
			_ = http.NewResponseController(w).Flush()
			<-migrated
			select {
			case <-req.Context().Done():
			case <-time.After(runEnd):
				panic(http.ErrAbortHandler)
			}
		default:
			streamEvents(1, 4, true)(w, req)
		}
	}
	plan := newPlan(newQuickClass(relay.Stream))
	plan.Services[0] = relay.Service{Name: "s", Slots: 4, TokensPerEvent: 1, SupportsMigration: true}
	n := &migrationNode{}
	var leave func()
	configure := func(c *relay.Config) {
		clock := c.Clock
		c.Clock = func() time.Duration {
			if inReplacement() {
				leave()
			}
			return clock()
		}
		c.Migrator = migratorFunc(func(request relay.MigrationRequest) (relay.KVCopy, error) {
			close(migrated)
			return relay.KVCopy{Source: request.Source, Handle: "h1"}, nil
		})
	}
	leave = sync.OnceFunc(func() {
		source := <-sources
		sources <- source // Later attempts are not the first one.
		n.drain(func(id string) bool { return id == source })
		select {
		case <-migrated:
		case <-time.After(longestMigration):
		}
	})
	n.testNode, n.backends = startConfiguredNode(t, configure, plan, handler, handler)
	got := n.call(t, http.MethodPost, "/a/x", "")
	g.Expect(got.err).NotTo(gomega.HaveOccurred())
	g.Expect(got.body).To(gomega.Equal(fourEvents))
	running := func() float64 {
		sum := 0.0
		for _, server := range n.stateDump(t)["Servers"].([]any) {
			sum += server.(map[string]any)["Running"].(float64)
		}
		return sum
	}
	g.Eventually(running).WithTimeout(5 * time.Second).Should(gomega.BeZero())
}
