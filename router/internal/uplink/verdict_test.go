package uplink_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/router/internal/uplink"
)

// startMonitor starts a monitor of links whose probes have one outcome. Other routers tell after
// a time that they heard servers.
func startMonitor(t *testing.T, probe func(context.Context) error, peersTell time.Duration) (*uplink.Contacts, *uplink.Monitor) {
	t.Helper()
	contacts := uplink.NewContacts(time.Now())
	monitor := uplink.NewMonitor(time.Now(), uplink.Config{
		Contacts: contacts, Servers: serverNames, Shuffle: func([]string) {}, OnChange: func(uplink.Change) {},
		Probe:          func(ctx context.Context, _ string) error { return probe(ctx) },
		LinkFailed:     func(err error) bool { return err != nil },
		PeerHeardAfter: func(after time.Time) bool { return time.Since(after) >= peersTell },
	})
	go func() { _ = monitor.Run(t.Context()) }()
	return contacts, monitor
}

// hang is a probe that gets no response.
func hang(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// Guards against a cut that is known late, as each step of the verdict waits for the next look at
// the links.
func TestVerdictWaitsForNoLooks(t *testing.T) {
	const (
		// needed is the time that the steps take: an exchange is overdue, another router tells that
		// it heard a server, and the cut is confirmed. looks is the time for what they wait for.
		peersTell = 110 * time.Millisecond
		needed    = 200*time.Millisecond + peersTell + 250*time.Millisecond
		looks     = 90 * time.Millisecond
	)
	for phase := 0; phase < 100; phase += 5 {
		t.Run(fmt.Sprintf("begun %d ms later", phase), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				contacts, monitor := startMonitor(t, hang, peersTell)
				time.Sleep(time.Second)
				contacts.Heard(time.Now())
				time.Sleep(time.Second + time.Duration(phase)*time.Millisecond)
				contacts.Begin(time.Now(), "0", serveTime)
				time.Sleep(needed + looks)
				synctest.Wait()
				g.Expect(monitor.State()).To(gomega.Equal(uplink.CutOff))
			})
		})
	}
}
