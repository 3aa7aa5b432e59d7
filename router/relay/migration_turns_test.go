package relay_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/coordination/feed"
	"snipetally.example/router/relay"
)

// Guards against streams that are moved off a sound server: it accepts requests again while the
// migration of another stream keeps them waiting.
func TestStreamsInTurnStayOnAServerThatIsListedAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newMigrationNode()
	n.end = make(chan reply, 3)
	defer close(n.stopped)
	var copies atomic.Int32
	n.start(t, newClass("a", relay.Stream, 1), func(c *relay.Config) {
		c.Bounds.DrainTimeout = stoppedRunDrain
		c.Heartbeat = 50 * time.Millisecond
		c.Migrator = scriptedMigrator{copyRun: func() error {
			if copies.Add(1) == 1 {
				n.drain(func(string) bool { return false })
				n.waitUntil(t, n.logged("backend server added", 3))
				time.Sleep(50 * time.Millisecond) // The list is in force right after it is logged.
			}
			return errNoRoom
		}}
	}, 2)
	started := make(map[string]int)
	for started[n.source] < 2 {
		n.startStream(t)
		started[n.source]++
	}
	n.servers.set(feed.Change[relay.Server]{Key: n.source, Removed: true})
	g.Eventually(copies.Load, noticeTime).Should(gomega.BeNumerically(">", 0))
	time.Sleep(stoppedRunDrain / 2)
	g.Expect(copies.Load()).To(gomega.BeEquivalentTo(1))
}
