package fault_test

import (
	"testing"
)

// Each engine fault must lead to a retry or an error, never to a partial response
// that is passed on as complete. The engines truncate streams, stop responding on
// open connections, crash and slow down. The desk and chat classes have first token
// targets below a second, since the router abandons a silent connection after twice
// the target.
func TestEngineFaultsNeverPassPartialResponsesAsComplete(t *testing.T) {
	h := newHarness(t)
	nonStreaming := streamsOf("desk")[0]
	nonStreaming.NonStreaming = true
	stop := h.startStreams(3, append(streamsOf("desk", "chat", "lease"), nonStreaming)...)
	h.waitCompleted("chat", 20)
	first, second, third := h.site.Engines[0], h.site.Engines[1], h.site.Engines[3]
	for event := range 20 {
		first.BreakAfter(event)
		third.BreakAfter(event * 10)
	}
	h.waitCompleted("chat", 20)
	second.BlackholeConnections()
	third.BlackholeConnections()
	h.waitCompleted("chat", 20)
	first.Crash()
	h.waitCompleted("chat", 20)
	first.Restart()
	second.SetLatencyFactor(20)
	h.waitCompleted("chat", 20)
	third.Crash()
	h.waitCompleted("lease", 5)
	third.Restart()
	second.SetLatencyFactor(1)
	h.waitCompleted("lease", 5)
	stop()
	h.audit()
}
