package fault_test

import (
	"testing"
)

// The classes have targets below a second, since a connection that went silent
// is left after twice the target for the first token.
func TestFailingEnginesLetNoPartPassForTheWhole(t *testing.T) {
	r := newRig(t)
	whole := streams("desk")[0]
	whole.Unstreamed = true
	stop := r.loadStreams(3, append(streams("desk", "chat", "lease"), whole)...)
	r.answered("chat", 20)
	first, second, third := r.site.Engines[0], r.site.Engines[1], r.site.Engines[3]
	for event := range 20 {
		first.BreakAfter(event)
		third.BreakAfter(event * 10)
	}
	r.answered("chat", 20)
	second.BlackholeConnections()
	third.BlackholeConnections()
	r.answered("chat", 20)
	first.Crash()
	r.answered("chat", 20)
	first.Restart()
	second.SetLatencyFactor(20)
	r.answered("chat", 20)
	third.Crash()
	r.answered("lease", 5)
	third.Restart()
	second.SetLatencyFactor(1)
	r.answered("lease", 5)
	stop()
	r.audit()
}
