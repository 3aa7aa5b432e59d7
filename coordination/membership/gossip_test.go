package membership_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/coordination/membership"
)

// startNode runs a node until the returned function is called. That function
// may be called twice.
func startNode(node *membership.Node) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = node.Run(ctx) })
	return func() {
		cancel()
		group.Wait()
	}
}

// stateOf returns the state in which a node records a member.
func stateOf(node *membership.Node, name string) membership.State {
	m, _ := node.View().Find(name)
	return m.State
}

// waitFor waits up to a minute until a node records a member in a state, and
// returns the time.
func waitFor(node *membership.Node, name string, state membership.State) time.Time {
	for end := time.Now().Add(time.Minute); stateOf(node, name) != state && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Now()
}

func TestReturningMemberRestartsSuspicionsOfItsRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		node := nodeWithMembers(0, nil)
		for i := range 20 {
			m := member(i)
			m.Region = "far"
			sendProbe(node, m)
		}
		stop := startNode(node)
		defer stop()
		suspect := func(i int) membership.Member {
			m := member(i)
			m.Region, m.State = "far", membership.Suspect
			return m
		}
		sender := member(19)
		sender.Region = "far"
		sendProbe(node, sender, suspect(1))
		// A node looks for expired suspicions every 450 to 550 ms. With less
		// between the two, one look can find both expired.
		time.Sleep(600 * time.Millisecond)
		sendProbe(node, sender, suspect(2))
		waitFor(node, "m1", membership.Dead)
		returning := suspect(1)
		returning.State, returning.Round = membership.Alive, 1
		sendProbe(node, returning)
		returnedAt := time.Now()
		g.Expect(stateOf(node, "m2")).To(gomega.Equal(membership.Suspect))
		// The suspicion timeout among twenty members of another region, with no
		// sign that this process is slow: 1.5 s times 1 + log10(21), and half as
		// much again.
		const minTimeout = 5 * time.Second
		g.Expect(waitFor(node, "m2", membership.Dead).Sub(returnedAt)).To(gomega.BeNumerically(">=", minTimeout))
	})
}

// recordingNetwork is a network that replies to probes and records those that
// were sent. It has no VM list.
type recordingNetwork struct {
	silentNetwork
	sent chan membership.Message
}

func (r recordingNetwork) Exchange(_ context.Context, _ string, m membership.Message) (membership.Message, error) {
	r.sent <- m
	from := member(0)
	from.Name = m.Target
	reply := membership.Message{From: from, Summary: 1}
	if m.Full {
		reply.Buckets = make([]uint64, len(m.Buckets))
	}
	return reply, nil
}

// newRecordedNode returns a node and a channel with the probes that it sent.
func newRecordedNode() (*membership.Node, chan membership.Message) {
	network := recordingNetwork{sent: make(chan membership.Message, 1000)}
	node := membership.New(membership.Config{
		Self:      membership.Member{Name: "self", Address: "10.0.0.1:1"},
		Transport: network, Lister: network,
	})
	return node, network.sent
}

func TestMissingDetailsOfUnknownMemberAreRequestedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		node, sent := newRecordedNode()
		sendProbe(node, member(0), membership.Member{Name: "m1", Incarnation: 10, State: membership.Alive})
		_, known := node.View().Find("m1")
		g.Expect(known).To(gomega.BeFalse())
		stop := startNode(node)
		defer stop()
		time.Sleep(10 * time.Second)
		stop()
		close(sent)
		fullRequests := 0
		for m := range sent {
			if m.Full && len(m.Buckets) > 0 {
				fullRequests++
			}
		}
		g.Expect(fullRequests).To(gomega.Equal(1), "once, until details of another process are missing")
	})
}

func TestUpdatesIncludeDetailsOnlyWhileTheyAreNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		node := nodeWithMembers(3, nil)
		probeForUpdates := func(updates ...membership.Member) map[string]membership.Member {
			found := map[string]membership.Member{}
			for _, m := range sendProbe(node, member(0), updates...).Updates {
				found[m.Name] = m
			}
			return found
		}
		g.Expect(probeForUpdates()["m1"].Address).NotTo(gomega.BeEmpty(), "it has just joined")
		time.Sleep(2 * time.Minute)
		refutation := member(1)
		refutation.Round = 7
		compact := probeForUpdates(refutation)["m1"]
		g.Expect(compact.Round).To(gomega.Equal(uint32(7)))
		g.Expect(compact.Address).To(gomega.BeEmpty())
		successor := member(1)
		successor.Incarnation++
		g.Expect(probeForUpdates(successor)["m1"].Address).NotTo(gomega.BeEmpty())
	})
}

func TestUpdateWithoutAddressDoesNotReplaceEarlierIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		node := nodeWithMembers(2, nil)
		before, _ := node.View().Find("m1")
		sendProbe(node, member(0), membership.Member{Name: "m1", Incarnation: 11, State: membership.Alive})
		after, _ := node.View().Find("m1")
		g.Expect(after).To(gomega.Equal(before), "its address may have changed")
	})
}

func TestViewComparisonsAreRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		node := nodeWithMembers(20, nil)
		time.Sleep(2 * time.Minute)
		const seconds, peers = 30, 20
		compared := 0
		for range seconds {
			for i := range peers {
				reply, err := node.HandleExchange(context.Background(),
					membership.Message{From: member(i), Buckets: make([]uint64, 32)})
				g.Expect(err).NotTo(gomega.HaveOccurred())
				if len(reply.Buckets) > 0 {
					compared++
				}
			}
			time.Sleep(time.Second)
		}
		g.Expect(compared).To(gomega.BeNumerically("<=", seconds/3))
		g.Expect(compared).To(gomega.BeNumerically(">=", seconds/5))
	})
}

func TestRefutedDeathClaimIsNotProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		node, sent := newRecordedNode()
		for i := range 20 {
			claim, refutation := member(i), member(i)
			claim.State = membership.Dead
			refutation.Round = 1
			sendProbe(node, member(i), claim)
			sendProbe(node, refutation)
		}
		stop := startNode(node)
		defer stop()
		time.Sleep(10 * time.Second)
		stop()
		// One probe a second, and none for members in doubt.
		g.Expect(len(sent)).To(gomega.BeNumerically("<=", 12))
	})
}

func TestProbeOfSuspectCarriesNoUpdates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		node, sent := newRecordedNode()
		for i := range 20 {
			sendProbe(node, member(i))
		}
		g.Expect(node.HandleRelay(context.Background(), membership.Target{Name: "m3", Address: member(3).Address})).To(gomega.Succeed())
		g.Expect((<-sent).Updates).To(gomega.BeEmpty())
	})
}
