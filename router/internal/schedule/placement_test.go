package schedule_test

import (
	"testing"
	"testing/synctest"

	"github.com/onsi/gomega"

	"snipetally.example/router/internal/fleet"
	"snipetally.example/router/internal/preset"
	"snipetally.example/router/internal/schedule"
)

func TestRequestsFollowPresetPlacements(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		plan := testPlan(2, 4)
		plan.Presets = []preset.Preset{{Name: "day"}, {
			Name:       "night",
			Placements: map[string]preset.Placement{"server1": {Models: []string{"other"}}},
		}}
		gate := schedule.NewGate()
		served := func(revision uint64, activePreset, model string) string {
			plan.ActivePreset = activePreset
			s := fleet.New(revision, plan)
			gate.Apply(s)
			r := request(s, "protected")
			r.Model = model
			grant, err := gate.Acquire(t.Context(), s, r)
			if err != nil {
				return ""
			}
			defer grant.Close(schedule.Result{})
			return grant.Server.Name
		}
		g.Expect(served(1, "day", "other")).To(gomega.BeEmpty())
		g.Expect(served(2, "night", "other")).To(gomega.Equal("server1"))
		for revision := range uint64(8) {
			g.Expect(served(3+revision, "night", "model")).To(gomega.Equal("server0"))
		}
		g.Expect(served(20, "day", "other")).To(gomega.BeEmpty())
	})
}
