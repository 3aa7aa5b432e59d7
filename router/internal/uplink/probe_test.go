package uplink_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/router/internal/uplink"
)

// hear has bytes arrive from servers for a time.
func hear(contacts *uplink.Contacts, length time.Duration) {
	const interval = 50 * time.Millisecond
	for range length / interval {
		contacts.Heard(time.Now())
		time.Sleep(interval)
	}
}

// raiseDoubt has a server refuse a connection after a time in which nothing was heard, and waits for the
// probes that follow.
func raiseDoubt(contacts *uplink.Contacts, monitor *uplink.Monitor) {
	hear(contacts, time.Second)
	time.Sleep(quietTime)
	contacts.Begin(time.Now(), "0", serveTime).Failed()
	monitor.Doubt()
	synctest.Wait()
}

// Guards against a router that forgets that servers refuse new connections, as responses still
// come on those that are open.
func TestRefusedProbesAreNotForgottenForOpenConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		contacts, monitor := startMonitor(t, func(context.Context) error {
			time.Sleep(serveTime)
			return errBroken
		}, 0)
		raiseDoubt(contacts, monitor)
		hear(contacts, known)
		synctest.Wait()
		g.Expect(monitor.State()).To(gomega.Equal(uplink.CutOff))
	})
}

// Guards against servers that stand still, and leave probes without a response, whose
// connections count as failed.
func TestProbesWithoutResponseAreNoFailedConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		contacts, monitor := startMonitor(t, hang, 0)
		hear(contacts, time.Second)
		contacts.Begin(time.Now(), "0", serveTime)
		time.Sleep(3 * time.Second)
		synctest.Wait()
		g.Expect(monitor.State()).To(gomega.Equal(uplink.CutOff))
		g.Expect(contacts.Failing()).To(gomega.BeZero())
	})
}

// Guards against a server that refuses its probe beside others that answer theirs and counts as
// failing, so that there is doubt again.
func TestProbesThatAreAnsweredOutweighRefusedOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		var probed atomic.Int64
		contacts, monitor := startMonitor(t, func(context.Context) error {
			if probed.Add(1) > 1 { // The first one of the round is answered, and soonest.
				time.Sleep(serveTime)
				return errBroken
			}
			return nil
		}, 0)
		raiseDoubt(contacts, monitor)
		hear(contacts, 2*time.Second)
		g.Expect(monitor.State()).To(gomega.Equal(uplink.Reached))
		g.Expect(contacts.Failing()).To(gomega.BeZero())
	})
}
