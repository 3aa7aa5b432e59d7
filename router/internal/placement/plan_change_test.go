package placement_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/router/internal/placement"
)

// Guards against loads that are counted for ever: a plan that no longer names a
// service, and with which its servers are plain, comes into force while a request
// is in progress there. A later plan names the service again.
func TestLoadIsReleasedWhenItsServiceChangesMeanwhile(t *testing.T) {
	now := time.Unix(1e9, 0)
	const gap = 250 * time.Millisecond
	request := placement.Request{Service: "s", PromptTokens: 100, OutputTokens: 10, Target: time.Second, Gap: gap}
	for _, before := range []bool{true, false} {
		g := gomega.NewWithT(t)
		balancer := placement.NewBalancer(now, "self", "zone")
		setEngine := func(engine bool) {
			balancer.SetServers(now, []placement.Server{{ID: "0", Service: "s", Zone: "zone", Slots: 4, Engine: engine}})
		}
		setEngine(before)
		reservation, _, err := balancer.Pick(now, request, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		setEngine(!before)
		reservation.RecordFirstEvent(now)
		reservation.Done(now, placement.Served)
		setEngine(true)
		_, _, err = balancer.Pick(now, request, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		loads := balancer.EngineLoads()
		g.Expect(loads).To(gomega.HaveLen(1))
		g.Expect(loads[0].Streams).To(gomega.Equal([]placement.StreamCount{{Gap: gap, Streams: 1}}), "engine before: %t", before)
	}
}
