package fault_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/google/subcommands"
	"github.com/onsi/gomega"

	"snipetally.example/try/internal/fault"
	"snipetally.example/try/internal/site"
	"snipetally.example/try/internal/traffic"
)

// eventuallyTimeout bounds each wait for a condition.
const eventuallyTimeout = time.Minute

// harness runs a site, a balancer and a caller that sends load.
type harness struct {
	*gomega.WithT
	t        *testing.T
	site     *site.Site
	balancer *fault.Balancer
	caller   *fault.Caller
}

// newHarness starts a site and waits until its routers are ready.
func newHarness(t *testing.T) *harness {
	t.Helper()
	t.Parallel()
	g := gomega.NewWithT(t)
	g.SetDefaultEventuallyTimeout(eventuallyTimeout)
	ctx, cancel := context.WithCancel(context.Background())
	s, err := site.New(ctx, "", io.Discard)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	h := &harness{WithT: g, t: t, site: s, balancer: fault.NewBalancer()}
	h.caller = fault.NewCaller(site.TeamKey, h.balancer.Pick)
	siteDone := make(chan error, 1)
	go func() { siteDone <- s.Run(ctx) }()
	balancerDone := make(chan struct{})
	go func() {
		h.balancer.Run(ctx)
		close(balancerDone)
	}()
	t.Cleanup(func() {
		cancel()
		<-balancerDone
		if err := <-siteDone; err != nil {
			t.Error(err)
		}
	})
	for i := range s.Routers {
		h.balancer.Add(h.target(i))
	}
	for i := range s.Routers {
		h.Eventually(func() bool { return h.balancer.Ready(h.target(i)) }).Should(gomega.BeTrue())
	}
	return h
}

// target returns the addresses of router i for the balancer.
func (h *harness) target(i int) fault.Target {
	router := h.site.Routers[i]
	return fault.Target{CallerAddress: router.CallerAddress(), OperatorAddress: router.OperatorAddress()}
}

// startLoad keeps perStream requests of each class in flight until the returned
// function is called, which waits for the last request to end.
func (h *harness) startLoad(perStream int, classes ...string) (stop func()) {
	return h.startStreams(perStream, streamsOf(classes...)...)
}

// startStreams is startLoad with streams that may differ from the trial's.
func (h *harness) startStreams(perStream int, streams ...traffic.Stream) (stop func()) {
	done := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() { h.caller.Run(context.Background(), perStream, done, streams...) })
	return func() {
		close(done)
		group.Wait()
	}
}

// waitCompleted waits until the given number of further requests of a class have
// completed.
func (h *harness) waitCompleted(class string, more int) {
	h.t.Helper()
	before := h.countCompleted(class)
	h.Eventually(func() int { return h.countCompleted(class) }).Should(gomega.BeNumerically(">=", before+more))
}

// countCompleted counts the completed requests of a class.
func (h *harness) countCompleted(class string) int {
	n := 0
	for _, history := range h.caller.Histories() {
		if history.Stream.Class == class && history.Completed() {
			n++
		}
	}
	return n
}

// audit expects that Audit finds no violation.
func (h *harness) audit() {
	h.t.Helper()
	histories := h.caller.Histories()
	h.t.Logf("%d requests", len(histories))
	h.Expect(histories).NotTo(gomega.BeEmpty())
	h.Expect(fault.Audit(histories, h.countRuns)).To(gomega.BeEmpty())
}

// countRuns returns how often a service ran calls with an idempotency key.
func (h *harness) countRuns(name, key string) int {
	for _, service := range h.site.Services {
		if service.Name == name {
			_, n := service.CountRuns("", key)
			return n
		}
	}
	return 0
}

// runCommand runs the operator command against a router and returns its exit code
// and its standard output followed by its standard error.
func (h *harness) runCommand(router int, args ...string) (subcommands.ExitStatus, string) {
	code, stdout, stderr, err := h.site.RunCommandWithKey(context.Background(), router, site.OperatorKey, args...)
	h.Expect(err).NotTo(gomega.HaveOccurred())
	return subcommands.ExitStatus(code), stdout + stderr
}

// waitPreset waits until the routers report that a preset is in force.
func (h *harness) waitPreset(preset string, routers ...int) {
	h.t.Helper()
	for _, router := range routers {
		h.Eventually(func() string {
			_, out := h.runCommand(router, "status")
			return out
		}).Should(gomega.ContainSubstring(fmt.Sprintf(`"value": %q`, preset)))
	}
}

// streamsOf returns the trial's streams of the given classes, in the order of the
// classes.
func streamsOf(classes ...string) []traffic.Stream {
	var selected []traffic.Stream
	for _, class := range classes {
		for _, stream := range traffic.DefaultStreams(1) {
			if stream.Class == class {
				selected = append(selected, stream)
			}
		}
	}
	return selected
}

// revisionOf returns the revision in the output of the status command, or the
// empty string.
func revisionOf(status string) string {
	var rows []struct{ Item, Value string }
	if json.Unmarshal([]byte(status), &rows) != nil {
		return ""
	}
	for _, row := range rows {
		if row.Item == "revision" {
			return row.Value
		}
	}
	return ""
}
