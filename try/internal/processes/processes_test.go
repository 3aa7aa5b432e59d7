//go:build processes

package processes_test

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/try/internal/fault"
)

const (
	// routerFreeze is how long a router is frozen, and tableFreeze how long the
	// table is.
	routerFreeze = 20 * time.Second
	tableFreeze  = 8 * time.Second

	// exitAborted is the exit code of a router that aborted requests in progress.
	exitAborted = 3
)

// A router is killed and restarted, a router and the table are frozen, and routers
// are stopped with one and with two signals, all under load. The guarantees must
// hold for every request.
func TestSeparateProcessesKeepGuaranteesThroughFaults(t *testing.T) {
	c := newCluster(t)
	caller := c.newCaller(c.balancer.Pick)

	history := caller.Send(context.Background(), streamsOf("chat")[0], "first")
	c.Expect(history.Completed()).To(gomega.BeTrue(), history.Summary())
	output, err := c.runCommand(0, "preset", "switch", "-wait", "peak")
	c.Expect(err).NotTo(gomega.HaveOccurred(), output)
	t.Logf("completed a request end to end; switched the preset: %s", output)

	stopCalls := c.startLoad(caller, 8, "grant", "booking")
	stopCompletions := c.startLoad(caller, 2, "chat", "desk", "lease")
	c.waitCompleted(caller, "grant", 50)
	c.killRouter(caller)
	c.freezeRouter(caller)
	c.freezeTable(caller)
	stopCalls()
	stopCompletions()
	c.stopGracefully()
	c.stopWithTwoSignals()
	c.waitPreset("peak", 0, 1, 2)
	c.audit()
}

// killRouter kills a router with SIGKILL under load and restarts it.
func (c *cluster) killRouter(caller *fault.Caller) {
	c.routers[0].signal(syscall.SIGKILL)
	c.waitExit(0)
	c.waitCompleted(caller, "grant", 100)
	c.waitCompleted(caller, "chat", 50)
	c.startRouter(0)
	c.waitReady(0)
	c.waitPreset("peak", 0)
	c.t.Log("killed and restarted a router")
}

// freezeRouter suspends a router with SIGSTOP for routerFreeze while it has
// requests in progress. The audit covers what the router does once it resumes.
func (c *cluster) freezeRouter(caller *fault.Caller) {
	c.routers[1].signal(syscall.SIGSTOP)
	before := countCompleted(caller, "grant")
	time.Sleep(routerFreeze)
	c.t.Logf("%d grants completed while a router was frozen for %v", countCompleted(caller, "grant")-before, routerFreeze)
	c.Expect(countCompleted(caller, "grant")).To(gomega.BeNumerically(">", before))
	c.routers[1].signal(syscall.SIGCONT)
	c.waitReady(1)
	c.waitCompleted(caller, "grant", 50)
	c.waitPreset("peak", 1)
}

// freezeTable suspends the table for at least tableFreeze. Completions must still be
// served meanwhile, and grants must complete afterwards.
func (c *cluster) freezeTable(caller *fault.Caller) {
	c.table.signal(syscall.SIGSTOP)
	start := time.Now()
	c.waitCompleted(caller, "chat", 50)
	c.waitCompleted(caller, "desk", 50)
	if remaining := tableFreeze - time.Since(start); remaining > 0 {
		time.Sleep(remaining)
	}
	c.table.signal(syscall.SIGCONT)
	c.waitCompleted(caller, "grant", 50)
	c.t.Log("froze the table: completions were served meanwhile, grants completed afterwards")
}

// stopGracefully stops a router with one SIGTERM under load. Every request must
// complete.
func (c *cluster) stopGracefully() {
	caller := c.newCaller(c.balancer.Pick)
	caller.AttemptTimeout = 0
	stop := c.startLoad(caller, 2, "grant", "booking", "chat", "desk", "lease")
	c.waitCompleted(caller, "lease", 2)
	c.routers[2].signal(syscall.SIGTERM)
	c.waitNotReady(2)
	c.Expect(c.waitExit(2)).To(gomega.BeZero())
	c.waitCompleted(caller, "lease", 2)
	c.startRouter(2)
	c.waitReady(2)
	stop()
	c.Expect(fault.Incomplete(caller.Histories())).To(gomega.BeEmpty())
	c.t.Logf("stopped a router gracefully under load: all %d requests completed", len(caller.Histories()))
}

// stopWithTwoSignals stops a router with two SIGTERM while long streams run. The
// router must report the aborted streams, and the engines must stop generating
// them.
func (c *cluster) stopWithTwoSignals() {
	const streamCount = 6
	target := c.targets[3]
	caller := c.newCaller(func(context.Context) (string, error) { return target.CallerAddress, nil })
	var group sync.WaitGroup
	for n := range streamCount {
		group.Go(func() { caller.Send(context.Background(), streamsOf("lease")[0], fmt.Sprintf("cut-%d", n)) })
	}
	c.Eventually(c.countEngineRequests).Should(gomega.Equal(streamCount))
	c.routers[3].signal(syscall.SIGTERM)
	c.waitNotReady(3)
	c.routers[3].signal(syscall.SIGTERM)
	c.Expect(c.waitExit(3)).To(gomega.Equal(exitAborted))
	group.Wait()
	message := fmt.Sprintf("requests cut off: %d lease", streamCount)
	c.Expect(c.routers[3].stderr.String()).To(gomega.ContainSubstring(message))
	c.Expect(fault.Incomplete(caller.Histories())).To(gomega.HaveLen(streamCount))
	c.Eventually(c.countEngineRequests).Should(gomega.BeZero())
	c.t.Logf("stopped a router with two signals, %s; the engines ended them too", message)
}
