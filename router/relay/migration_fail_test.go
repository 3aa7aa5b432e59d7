package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/onsi/gomega"

	"snipetally.example/router/relay"
)

// Guards against requests that run at more servers than their class allows: the
// destination of a migration rejects the copy, and the run before it counts.
func TestRunBeforeRejectedMigrationCounts(t *testing.T) {
	g := gomega.NewWithT(t)
	class := newClass("a", relay.Stream, 1)
	class.Resumable = true
	n := newMigrationNode()
	n.resume = rejectRequest
	n.start(t, class, func(c *relay.Config) {
		c.Migrator = migratorFunc(func(request relay.MigrationRequest) (relay.KVCopy, error) {
			close(n.stopped)
			return relay.KVCopy{Source: request.Source, Handle: "h1"}, nil
		})
	}, 3)
	n.startStream(t)
	n.drain(func(id string) bool { return id == n.source })
	end := <-n.end
	g.Expect(end.err).To(gomega.HaveOccurred(), "the stream ends as incomplete")
	g.Expect(n.continued).To(gomega.Receive())
	g.Expect(totalArrived(n.backends)).To(gomega.Equal(2), "the run and the rejected copy")
}

// Guards against requests that run twice: a migration that names no copy can't be
// continued by a request that may run once.
func TestMigrationWithoutCopyIsNotContinued(t *testing.T) {
	g := gomega.NewWithT(t)
	n := startMigrationNode(t, func(n *migrationNode, _ relay.MigrationRequest) relay.KVCopy {
		close(n.stopped)
		return relay.KVCopy{}
	})
	n.drain(func(id string) bool { return id == n.source })
	end := <-n.end
	g.Expect(end.err).To(gomega.HaveOccurred(), "the stream ends as incomplete")
	g.Expect(totalArrived(n.backends)).To(gomega.Equal(1))
}

// fullMigrator finds no room at any destination: copying fails, and so does a
// migration after it has stopped the run.
type fullMigrator struct {
	stopped chan struct{}
	copies  chan struct{}
}

// errNoRoom means that a destination has no room for a run.
const errNoRoom = errors.ConstError("no room")

func (m fullMigrator) Copy(context.Context, relay.MigrationRequest) error {
	select {
	case m.copies <- struct{}{}:
	default:
	}
	return errNoRoom
}

func (m fullMigrator) Migrate(context.Context, relay.MigrationRequest) (relay.KVCopy, error) {
	close(m.stopped)
	return relay.KVCopy{}, errNoRoom
}

// Guards against runs that are stopped for a migration before there is room for
// them at another server.
func TestRunGoesOnIfThereIsNoRoomToMigrateIt(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newMigrationNode()
	copies := make(chan struct{}, 1)
	n.start(t, newClass("a", relay.Stream, 1), func(c *relay.Config) {
		c.Migrator = fullMigrator{stopped: n.stopped, copies: copies}
	}, 2)
	n.startStream(t)
	n.drain(func(id string) bool { return id == n.source })
	g.Eventually(copies, noticeTime).Should(gomega.Receive())
	g.Consistently(n.end, 200*time.Millisecond).ShouldNot(gomega.Receive(), "the stream goes on")
	close(n.stopped)
	<-n.end
}

// slowMigrator stops a run at once and names the copy after a time, unless the
// call is canceled before.
type slowMigrator struct {
	stopped chan struct{}
	time    time.Duration
}

func (m slowMigrator) Copy(context.Context, relay.MigrationRequest) error { return nil }

func (m slowMigrator) Migrate(ctx context.Context, request relay.MigrationRequest) (relay.KVCopy, error) {
	close(m.stopped)
	select {
	case <-ctx.Done():
		return relay.KVCopy{}, ctx.Err()
	case <-time.After(m.time):
		return relay.KVCopy{Source: request.Source, Handle: "h1"}, nil
	}
}

// Guards against streams that are cut because the copying of their KV cache takes
// long. The run has stopped, and a stream that may run once has nothing else.
func TestSlowMigrationIsAwaited(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newMigrationNode()
	n.start(t, newClass("a", relay.Stream, 1), func(c *relay.Config) {
		c.Migrator = slowMigrator{stopped: n.stopped, time: 1700 * time.Millisecond}
	}, 2)
	n.startStream(t)
	n.drain(func(id string) bool { return id == n.source })
	end := <-n.end
	g.Expect(end.err).NotTo(gomega.HaveOccurred())
	g.Expect(end.body).To(gomega.HaveSuffix("id: 4\ndata: 4\n\n"))
}

// Guards against streams that are cut because they were migrated before: their
// second server leaves too.
func TestStreamMigratesTwice(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newMigrationNode()
	second, stopped := make(chan string, 1), make(chan struct{})
	n.resume = inTurn(func(w http.ResponseWriter, req *http.Request) {
		streamEvents(1, 3, true)(w, req)
		second <- req.Header.Get(instanceHeader)
		<-stopped
		panic(http.ErrAbortHandler)
	}, streamEvents(1, 4, true))
	var migrations atomic.Int32
	n.start(t, newClass("a", relay.Stream, 1), func(c *relay.Config) {
		c.Migrator = migratorFunc(func(request relay.MigrationRequest) (relay.KVCopy, error) {
			number := migrations.Add(1)
			if number == 1 {
				close(n.stopped)
			} else {
				close(stopped)
			}
			return relay.KVCopy{Source: request.Source, Handle: fmt.Sprint(number)}, nil
		})
	}, 3)
	n.startStream(t)
	n.drain(func(id string) bool { return id == n.source })
	next := <-second
	n.drain(func(id string) bool { return id == n.source || id == next })
	end := <-n.end
	g.Expect(end.err).NotTo(gomega.HaveOccurred())
	g.Expect(end.body).To(gomega.HaveSuffix("id: 4\ndata: 4\n\n"))
}

// Guards against runs that are counted as stopped for a migration though their engine broke them off
// before it was ordered to stop them.
func TestRunThatBrokeOffIsNotCountedAsStopped(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newMigrationNode()
	startStoppedRunNode(t, n, scriptedMigrator{copyRun: func() error {
		close(n.stopped)
		time.Sleep(100 * time.Millisecond) // The stream ends before.
		return errNoRoom
	}}, 2)
	end := <-n.end
	g.Expect(end.err).To(gomega.HaveOccurred())
	g.Expect(n.counter(t, "migrations.stranded")).To(gomega.BeZero())
}
