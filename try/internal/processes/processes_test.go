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
	// frozen is how long a router is frozen, and tableFrozen the table.
	frozen      = 20 * time.Second
	tableFrozen = 8 * time.Second

	// exitCut is the exit code of a router that cut requests off.
	exitCut = 3
)

func TestSeparateProcessesKeepThePromisesThroughFaults(t *testing.T) {
	s := newStage(t)
	c := s.caller(s.balancer.Pick)

	h := c.Send(context.Background(), streams("chat")[0], "first")
	s.Expect(h.Completed()).To(gomega.BeTrue(), h.Summary())
	out, err := s.operate(0, "preset", "switch", "-wait", "peak")
	s.Expect(err).NotTo(gomega.HaveOccurred(), out)
	t.Logf("served end to end; preset switched: %s", out)

	stopCalls := s.load(c, 8, "grant", "booking")
	stopCompletions := s.load(c, 2, "chat", "desk", "lease")
	s.answered(c, "grant", 50)
	s.kill(c)
	s.freezeRouter(c)
	s.freezeTable(c)
	stopCalls()
	stopCompletions()
	s.stopGracefully()
	s.stopTwice()
	s.inForce("peak", 0, 1, 2)
	s.audit()
}

// kill ends a router with SIGKILL under load and starts it again.
func (s *stage) kill(c *fault.Caller) {
	s.routers[0].signal(syscall.SIGKILL)
	s.exited(0)
	s.answered(c, "grant", 100)
	s.answered(c, "chat", 50)
	s.launch(0)
	s.ready(0)
	s.inForce("peak", 0)
	s.t.Log("a router was killed and started again")
}

// freezeRouter stops a router for a while in the midst of its requests. What it
// does when it wakes is part of the audit.
func (s *stage) freezeRouter(c *fault.Caller) {
	s.routers[1].signal(syscall.SIGSTOP)
	begun := whole(c, "grant")
	time.Sleep(frozen)
	s.t.Logf("%d grants while a router was frozen for %v", whole(c, "grant")-begun, frozen)
	s.Expect(whole(c, "grant")).To(gomega.BeNumerically(">", begun))
	s.routers[1].signal(syscall.SIGCONT)
	s.ready(1)
	s.answered(c, "grant", 50)
	s.inForce("peak", 1)
}

// freezeTable stops the table for a while. Completions go on.
func (s *stage) freezeTable(c *fault.Caller) {
	s.table.signal(syscall.SIGSTOP)
	begun := time.Now()
	s.answered(c, "chat", 50)
	s.answered(c, "desk", 50)
	if rest := tableFrozen - time.Since(begun); rest > 0 {
		time.Sleep(rest)
	}
	s.table.signal(syscall.SIGCONT)
	s.answered(c, "grant", 50)
	s.t.Log("the table was frozen; completions went on, and grants afterwards")
}

// stopGracefully stops a router with one signal under load. Nothing is cut.
func (s *stage) stopGracefully() {
	c := s.caller(s.balancer.Pick)
	c.AttemptTimeout = 0
	stop := s.load(c, 2, "grant", "booking", "chat", "desk", "lease")
	s.answered(c, "lease", 2)
	s.routers[2].signal(syscall.SIGTERM)
	s.unready(2)
	s.Expect(s.exited(2)).To(gomega.BeZero())
	s.answered(c, "lease", 2)
	s.launch(2)
	s.ready(2)
	stop()
	s.Expect(fault.Incomplete(c.Histories())).To(gomega.BeEmpty())
	s.t.Logf("a router was stopped under load: none of %d requests was cut", len(c.Histories()))
}

// stopTwice ends a router with two signals while long streams run.
func (s *stage) stopTwice() {
	const long = 6
	target := s.targets[3]
	c := s.caller(func(context.Context) (string, error) { return target.CallerAddress, nil })
	var group sync.WaitGroup
	for n := range long {
		group.Go(func() { c.Send(context.Background(), streams("lease")[0], fmt.Sprintf("cut-%d", n)) })
	}
	s.Eventually(s.busy).Should(gomega.Equal(long))
	s.routers[3].signal(syscall.SIGTERM)
	s.unready(3)
	s.routers[3].signal(syscall.SIGTERM)
	s.Expect(s.exited(3)).To(gomega.Equal(exitCut))
	group.Wait()
	text := fmt.Sprintf("requests cut off: %d lease", long)
	s.Expect(s.routers[3].errors.String()).To(gomega.ContainSubstring(text))
	s.Expect(fault.Incomplete(c.Histories())).To(gomega.HaveLen(long))
	s.Eventually(s.busy).Should(gomega.BeZero())
	s.t.Logf("a router was ended by two signals, %s; the engines left them", text)
}
