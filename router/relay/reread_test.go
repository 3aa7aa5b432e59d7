package relay_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/router/internal/quarantine"
	"snipetally.example/router/relay"
)

// Guards against a router that sends a request to servers that it crashes although others
// have had a verdict in the store since long: it was read at the start only, and a router
// that no datagram reaches learns of it nowhere else.
func TestVerdictsThatOthersSaveLaterAreRead(t *testing.T) {
	g := gomega.NewWithT(t)
	verdicts := &fakeRowStore{rows: make(map[string][]byte)}
	node, _ := startConfiguredNode(t, func(c *relay.Config) {
		c.QuarantineAddress = netip.MustParseAddrPort(freeAddresses(t, c.PeerAddress.Addr().String(), 1)[0])
		c.Quarantine = verdicts
		c.Routers = &fakeRowStore{rows: make(map[string][]byte)}
	}, newPlan(newClass("a", relay.Idempotent, 1)), respond("ok"))
	node.waitUntil(t, node.logged("router added to list of routers", 1))
	row, value, err := quarantine.EncodeRow(quarantine.Verdict{
		Scope: quarantine.Scope{Service: "s"}, Request: quarantine.NewDigest([]byte("a request")), Epoch: 1,
		DecidedAt: time.Now(), Until: time.Now().Add(time.Hour), DecidedBy: "another",
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(verdicts.Put(t.Context(), row, value, "")).To(gomega.Succeed())
	g.Eventually(func() string { return node.metrics(t) }, meetingTime).Should(gomega.MatchRegexp(`gauge quarantine\.verdicts\s+value:\s+1\s`))
}
