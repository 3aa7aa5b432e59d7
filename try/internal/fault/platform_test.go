package fault_test

import (
	"testing"

	"github.com/google/subcommands"
	"github.com/onsi/gomega"

	"snipetally.example/operator/command"
	"snipetally.example/standin/platform"
	"snipetally.example/try/internal/fault"
)

func TestTableOutageLeavesCompletionsServedAndGrantsTruthfullyRefused(t *testing.T) {
	r := newRig(t)
	r.caller.Pick = r.balancer.Pick
	stop := r.load(2, "grant", "booking", "chat", "desk")
	r.answered("grant", 20)
	r.site.Table.SetUnavailable(true)
	before := r.refusals("table")
	r.Eventually(func() int { return r.refusals("table") }).Should(gomega.BeNumerically(">=", before+8))
	r.answered("chat", 30)
	r.answered("desk", 30)
	code, out := r.operate(1, "preset", "switch", "-token", "in-the-outage", "peak")
	r.Expect(code).To(gomega.BeElementOf(command.ExitUnavailable, command.ExitUncertain), out)
	for i := range r.site.Routers {
		r.Expect(r.site.Routers[i].Ready()).To(gomega.BeTrue())
		_, out := r.operate(i, "status")
		r.Expect(out).To(gomega.ContainSubstring(`"value": "day"`))
	}
	r.site.Table.SetUnavailable(false)
	r.answered("grant", 30)
	r.Eventually(func() subcommands.ExitStatus {
		code, _ := r.operate(1, "preset", "switch", "-token", "in-the-outage", "-base", "1", "peak")
		return code
	}).Should(gomega.Equal(subcommands.ExitSuccess))
	r.inForce("peak", 0, 1, 2)
	stop()
	r.audit()
	for _, h := range r.caller.Histories() {
		if !fault.AtMostOnce(h.Stream.Class) {
			r.Expect(h.Completed()).To(gomega.BeTrue(), "%s: %s", h.RequestID, h.Summary())
		}
	}
}

// refusals counts the requests that were refused with the code.
func (r *rig) refusals(code string) int {
	n := 0
	for _, h := range r.caller.Histories() {
		if h.Last().ErrorCode == code {
			n++
		}
	}
	return n
}

func TestLostTableAnswersDoubleNoGrantAndLoseNoChange(t *testing.T) {
	r := newRig(t)
	r.caller.Retry = true
	stop := r.load(4, "grant", "booking")
	r.answered("grant", 20)
	presets := []string{"peak", "maintenance", "day", "peak"}
	for round, preset := range presets {
		for _, outcome := range []platform.Fault{platform.FaultRequestLost, platform.FaultResponseLost, platform.FaultUnavailable, platform.FaultResponseLost} {
			r.site.Table.Inject(outcome)
			r.answered("grant", 5)
		}
		token := "lost-" + preset + string(rune('a'+round))
		_, status := r.operate(round%3, "status")
		base := revisionOf(status)
		r.site.Table.Inject(platform.FaultResponseLost)
		r.Eventually(func() subcommands.ExitStatus {
			code, _ := r.operate(round%3, "preset", "switch", "-token", token, "-base", base, preset)
			return code
		}).Should(gomega.Equal(subcommands.ExitSuccess))
		r.inForce(preset, 0, 1, 2)
		r.answered("grant", 20)
	}
	stop()
	r.audit()
}

func TestOfTwoOperatorsOneSwitchesThePresetAndTheOtherIsTold(t *testing.T) {
	r := newRig(t)
	stop := r.load(1, "chat", "grant")
	presets := [][2]string{{"peak", "maintenance"}, {"day", "peak"}, {"maintenance", "day"}}
	for round, pair := range presets {
		_, status := r.operate(round, "status")
		base := revisionOf(status)
		codes := make([]subcommands.ExitStatus, len(pair))
		outs := make([]string, len(pair))
		done := make(chan struct{})
		for i, preset := range pair {
			go func() {
				codes[i], outs[i] = r.operate((round+i)%3, "preset", "switch", "-base", base, preset)
				done <- struct{}{}
			}()
		}
		<-done
		<-done
		r.Expect(codes).To(gomega.ConsistOf(subcommands.ExitSuccess, command.ExitSuperseded), "%v", outs)
		winner := pair[0]
		if codes[1] == subcommands.ExitSuccess {
			winner = pair[1]
		}
		r.inForce(winner, 0, 1, 2)
		r.answered("chat", 20)
		r.inForce(winner, 0, 1, 2)
	}
	stop()
	r.audit()
	r.Expect(fault.Incomplete(r.caller.Histories())).To(gomega.BeEmpty())
}

func TestBackendServerThatTheListCallsLeavingGetsNoNewWork(t *testing.T) {
	r := newRig(t)
	stop := r.load(3, "chat", "desk", "ticket")
	r.answered("chat", 30)
	leaving := r.site.Engines[1]
	r.Expect(leaving.Records()).NotTo(gomega.BeEmpty())
	r.site.UpdateVMList(leaving.Address)
	// Once no request of sixty arrives there, none ever does.
	r.Eventually(func() int {
		before := len(leaving.Records())
		r.answered("chat", 60)
		return len(leaving.Records()) - before
	}).Should(gomega.BeZero())
	arrived := len(leaving.Records())
	r.answered("chat", 300)
	r.Expect(leaving.Records()).To(gomega.HaveLen(arrived))
	stop()
	r.audit()
	r.Expect(fault.Incomplete(r.caller.Histories())).To(gomega.BeEmpty())
}
