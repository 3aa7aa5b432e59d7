package fault_test

import (
	"testing"

	"github.com/google/subcommands"
	"github.com/onsi/gomega"

	"snipetally.example/operator/command"
	"snipetally.example/standin/platform"
	"snipetally.example/try/internal/fault"
)

// The table is unavailable for a while. Completions must still be served, routers
// must stay ready, grants must be refused with a true statement of whether they
// ran, and a preset switch made in the outage must take effect only after it.
func TestTableOutageServesCompletionsAndRefusesGrantsTruthfully(t *testing.T) {
	h := newHarness(t)
	h.caller.Pick = h.balancer.Pick
	stop := h.startLoad(2, "grant", "booking", "chat", "desk")
	h.waitCompleted("grant", 20)
	h.site.Table.SetUnavailable(true)
	before := h.countRefusals("table")
	h.Eventually(func() int { return h.countRefusals("table") }).Should(gomega.BeNumerically(">=", before+8))
	h.waitCompleted("chat", 30)
	h.waitCompleted("desk", 30)
	code, out := h.runCommand(1, "preset", "switch", "-token", "in-the-outage", "peak")
	h.Expect(code).To(gomega.BeElementOf(command.ExitUnavailable, command.ExitUncertain), out)
	for i := range h.site.Routers {
		h.Expect(h.site.Routers[i].Ready()).To(gomega.BeTrue())
		_, out := h.runCommand(i, "status")
		h.Expect(out).To(gomega.ContainSubstring(`"value": "day"`))
	}
	h.site.Table.SetUnavailable(false)
	h.waitCompleted("grant", 30)
	h.Eventually(func() subcommands.ExitStatus {
		code, _ := h.runCommand(1, "preset", "switch", "-token", "in-the-outage", "-base", "1", "peak")
		return code
	}).Should(gomega.Equal(subcommands.ExitSuccess))
	h.waitPreset("peak", 0, 1, 2)
	stop()
	h.audit()
	for _, history := range h.caller.Histories() {
		if !fault.AtMostOnce(history.Stream.Class) {
			h.Expect(history.Completed()).To(gomega.BeTrue(), "%s: %s", history.RequestID, history.Summary())
		}
	}
}

// countRefusals counts the requests whose last attempt was refused with an error
// code.
func (h *harness) countRefusals(code string) int {
	n := 0
	for _, history := range h.caller.Histories() {
		if history.Last().ErrorCode == code {
			n++
		}
	}
	return n
}

// The table drops requests before it applies them, drops responses after it has
// applied the requests, and is unavailable for single requests. No grant may run
// twice because of this, and a preset switch that is retried with its token must
// take effect.
func TestLostTableResponsesNeitherRepeatGrantsNorLoseChanges(t *testing.T) {
	h := newHarness(t)
	h.caller.Retry = true
	stop := h.startLoad(4, "grant", "booking")
	h.waitCompleted("grant", 20)
	presets := []string{"peak", "maintenance", "day", "peak"}
	for round, preset := range presets {
		for _, tableFault := range []platform.Fault{platform.FaultRequestLost, platform.FaultResponseLost, platform.FaultUnavailable, platform.FaultResponseLost} {
			h.site.Table.Inject(tableFault)
			h.waitCompleted("grant", 5)
		}
		token := "lost-" + preset + string(rune('a'+round))
		_, status := h.runCommand(round%3, "status")
		base := revisionOf(status)
		h.site.Table.Inject(platform.FaultResponseLost)
		h.Eventually(func() subcommands.ExitStatus {
			code, _ := h.runCommand(round%3, "preset", "switch", "-token", token, "-base", base, preset)
			return code
		}).Should(gomega.Equal(subcommands.ExitSuccess))
		h.waitPreset(preset, 0, 1, 2)
		h.waitCompleted("grant", 20)
	}
	stop()
	h.audit()
}

func TestConcurrentPresetSwitchesAcceptOneAndRejectTheOther(t *testing.T) {
	h := newHarness(t)
	stop := h.startLoad(1, "chat", "grant")
	presets := [][2]string{{"peak", "maintenance"}, {"day", "peak"}, {"maintenance", "day"}}
	for round, pair := range presets {
		_, status := h.runCommand(round, "status")
		base := revisionOf(status)
		codes := make([]subcommands.ExitStatus, len(pair))
		outputs := make([]string, len(pair))
		done := make(chan struct{})
		for i, preset := range pair {
			go func() {
				codes[i], outputs[i] = h.runCommand((round+i)%3, "preset", "switch", "-base", base, preset)
				done <- struct{}{}
			}()
		}
		<-done
		<-done
		h.Expect(codes).To(gomega.ConsistOf(subcommands.ExitSuccess, command.ExitSuperseded), "%v", outputs)
		winner := pair[0]
		if codes[1] == subcommands.ExitSuccess {
			winner = pair[1]
		}
		h.waitPreset(winner, 0, 1, 2)
		h.waitCompleted("chat", 20)
		h.waitPreset(winner, 0, 1, 2)
	}
	stop()
	h.audit()
	h.Expect(fault.Incomplete(h.caller.Histories())).To(gomega.BeEmpty())
}

func TestBackendServerListedAsLeavingGetsNoNewRequests(t *testing.T) {
	h := newHarness(t)
	stop := h.startLoad(3, "chat", "desk", "ticket")
	h.waitCompleted("chat", 30)
	leaving := h.site.Engines[1]
	h.Expect(leaving.Records()).NotTo(gomega.BeEmpty())
	h.site.UpdateVMList(leaving.Address)
	// The change has reached the routers once none of 60 further requests arrives
	// at the server. None may arrive after that.
	h.Eventually(func() int {
		before := len(leaving.Records())
		h.waitCompleted("chat", 60)
		return len(leaving.Records()) - before
	}).Should(gomega.BeZero())
	arrived := len(leaving.Records())
	h.waitCompleted("chat", 300)
	h.Expect(leaving.Records()).To(gomega.HaveLen(arrived))
	stop()
	h.audit()
	h.Expect(fault.Incomplete(h.caller.Histories())).To(gomega.BeEmpty())
}
