package quarantine_test

import (
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/router/internal/quarantine"
)

// Guards against evidence that no other router can read, as the name of a model that a caller sent is not in
// UTF-8, by itself or as it was cut within a character.
func TestCrashOfAModelWhoseNameIsNoUTF8IsShared(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	f := newExchangeFleet(t, 2)
	first, _ := f.start(0)
	second, _ := f.start(1)
	g.Eventually(func() bool { return first.Synced() && second.Synced() }, shareTime).Should(gomega.BeTrue())
	bad := copyOf("bad")
	bad.Scope.Model = strings.Repeat("m", 63) + "\xc3"
	for engine := range uint64(3) {
		first.ReportCrash(quarantine.Crash{Engine: engine, Runs: []quarantine.Run{bad}})
	}
	g.Eventually(func() bool { return second.Check(bad, false).Refused }, shareTime).Should(gomega.BeTrue())
}

// Guards against routers that never learn of verdicts whose message does not fit into a datagram.
func TestVerdictsBeyondADatagramAreShared(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	const verdicts = 64
	f := newExchangeFleet(t, 2)
	now := time.Now()
	for i := range verdicts {
		v := quarantine.Verdict{
			Scope: quarantine.Scope{Service: strings.Repeat("s", 200), Model: strings.Repeat("m", 64)},
			Parts: []uint64{uint64(i)}, Epoch: 1, DecidedAt: now, Until: now.Add(time.Hour), DecidedBy: "router", Engines: 5, Requests: 5,
		}
		key, value, err := quarantine.EncodeRow(v)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(f.store.Put(t.Context(), key, value, "")).To(gomega.Succeed())
	}
	known := func(e *quarantine.Exchange) func() int { return func() int { return len(e.Ledger().Verdicts()) } }
	first, _ := f.start(0)
	g.Eventually(known(first), shareTime).Should(gomega.Equal(verdicts))
	f.store.mu.Lock()
	f.store.unavailable = true // What the second router knows, it was told.
	f.store.mu.Unlock()
	second, _ := f.start(1)
	g.Eventually(known(second), shareTime).Should(gomega.Equal(verdicts))
}
