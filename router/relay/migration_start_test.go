package relay_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/coordination/feed"
	"snipetally.example/router/relay"
)

// countMigrations configures a migrator that counts its calls and fails.
func countMigrations(calls *atomic.Int32) func(*relay.Config) {
	return func(c *relay.Config) {
		c.Migrator = migratorFunc(func(relay.MigrationRequest) (relay.KVCopy, error) {
			calls.Add(1)
			return relay.KVCopy{}, errUnavailable
		})

		// Migrations start after 0.6 s. The list of servers is read often.
		c.Bounds.DrainTimeout = 2 * time.Second
		c.Heartbeat = 50 * time.Millisecond
	}
}

// Guards against streams that are stopped at a sound server: its entry was gone
// for a moment and is back before streams are migrated.
func TestStreamStaysOnAServerThatIsListedAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	var calls atomic.Int32
	n := newMigrationNode()
	n.start(t, newClass("a", relay.Stream, 1), countMigrations(&calls), 2)
	n.startStream(t)
	defer close(n.stopped)
	n.servers.set(feed.Change[relay.Server]{Key: n.source, Removed: true})
	n.waitUntil(t, n.logged("backend server removed", 1))
	n.drain(func(string) bool { return false })
	n.waitUntil(t, n.logged("backend server added", 3))
	time.Sleep(time.Second)
	g.Expect(calls.Load()).To(gomega.BeZero())
}
