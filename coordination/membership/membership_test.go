package membership_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"snipetally.example/coordination/membership"
	"snipetally.example/coordination/seeds"
)

func init() {
	seeds.Fix()
}

func TestBroadcastQueueStaysWithinBudgetAndSendsEachValueUpToLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := gomega.NewWithT(rt)
		queue := membership.NewBroadcastQueue[int, int]()
		sent := map[int]int{}
		sizes := rapid.SliceOfN(rapid.IntRange(1, 50), 1, 40).Draw(rt, "sizes")
		limit := rapid.IntRange(1, 12).Draw(rt, "limit")
		budget := rapid.IntRange(50, 200).Draw(rt, "budget")
		for key, size := range sizes {
			queue.Put(key, size)
		}
		for queue.Len() > 0 {
			used := 0
			keys := queue.Take(budget, limit, func(_, size int) int { return size })
			g.Expect(keys).NotTo(gomega.BeEmpty())
			for _, key := range keys {
				used += sizes[key]
				sent[key]++
			}
			g.Expect(used).To(gomega.BeNumerically("<=", budget))
		}
		for key := range sizes {
			g.Expect(sent[key]).To(gomega.Equal(limit))
		}
	})
}

func TestBroadcastQueueSendsNewestChangeFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	queue := membership.NewBroadcastQueue[string, int]()
	one := func(string, int) int { return 1 }
	queue.Put("old", 0)
	queue.Put("new", 0)
	g.Expect(queue.Take(1, 3, one)).To(gomega.Equal([]string{"new"}))
	g.Expect(queue.Take(1, 3, one)).To(gomega.Equal([]string{"old"}))
	queue.Put("old", 1)
	g.Expect(queue.Take(1, 3, one)).To(gomega.Equal([]string{"old"}))
}

// silentNetwork is a network on which no one replies, and a VM list.
type silentNetwork []membership.VM

var errNoReply = errors.New("no reply")

func (silentNetwork) Exchange(ctx context.Context, _ string, _ membership.Message) (membership.Message, error) {
	<-ctx.Done()
	return membership.Message{}, errNoReply
}

func (silentNetwork) Relay(ctx context.Context, _ string, _ membership.Target) error {
	<-ctx.Done()
	return errNoReply
}

func (s silentNetwork) List(context.Context) ([]membership.VM, error) {
	return s, nil
}

// nodeWithMembers returns a node that knows n members, each of which has sent
// one probe.
func nodeWithMembers(n int, events func(membership.Event)) *membership.Node {
	network := silentNetwork{}
	node := membership.New(membership.Config{
		Self:      membership.Member{Name: "self", Address: "10.0.0.1:1"},
		Transport: network, Lister: network, OnEvent: events,
	})
	for i := range n {
		sendProbe(node, member(i))
	}
	return node
}

func member(i int) membership.Member {
	return membership.Member{
		Name: fmt.Sprintf("m%d", i), Address: fmt.Sprintf("10.0.1.%d:1", i),
		Zone: fmt.Sprintf("zone-%d", i%3), Incarnation: 10, State: membership.Alive, Version: 1,
	}
}

// sendProbe sends the node a probe from a member with updates and returns the
// reply.
func sendProbe(node *membership.Node, from membership.Member, updates ...membership.Member) membership.Message {
	reply, err := node.HandleExchange(context.Background(), membership.Message{From: from, Updates: updates})
	if err != nil {
		panic(err)
	}
	return reply
}

func TestHomeMovesOnlyKeysOfLeavingMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		node := nodeWithMembers(8, nil)
		before := node.View()
		leaving := member(3)
		leaving.State = membership.Leaving
		leaving.Round++
		sendProbe(node, leaving)
		after := node.View()
		count := map[string]int{}
		for i := range 900 {
			key := fmt.Sprint("key ", i)
			was, _ := before.Home(key)
			is, ok := after.Home(key)
			g.Expect(ok).To(gomega.BeTrue())
			count[was.Name]++
			if was.Name != leaving.Name {
				g.Expect(is.Name).To(gomega.Equal(was.Name))
			}
			near, _ := after.HomeInZone("zone-1", key)
			g.Expect(near.Zone).To(gomega.Equal("zone-1"))
		}
		g.Expect(count).To(gomega.HaveLen(9))
		for name, keys := range count {
			g.Expect(keys).To(gomega.BeNumerically("~", 100, 50), name)
		}
	})
}

func TestDeathClaimFromOthersIsNotAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		node := nodeWithMembers(3, nil)
		dead := member(1)
		dead.State = membership.Dead
		sendProbe(node, member(0), dead)
		found, _ := node.View().Find("m1")
		g.Expect(found.State).To(gomega.Equal(membership.Alive))
	})
}

func TestUpdateWithoutDetailsKeepsKnownDetailsAndAddsNoMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		node := nodeWithMembers(2, nil)
		before, _ := node.View().Find("m1")
		sendProbe(node, member(0),
			membership.Member{Name: "m1", Incarnation: 10, State: membership.Suspect},
			membership.Member{Name: "m9", Incarnation: 10, State: membership.Suspect})
		after, _ := node.View().Find("m1")
		before.State = membership.Suspect
		g.Expect(after).To(gomega.Equal(before))
		_, known := node.View().Find("m9")
		g.Expect(known).To(gomega.BeFalse())
	})
}

func TestSuspicionOfSelfIsRefuted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		node := nodeWithMembers(3, nil)
		claim := node.Self()
		claim.State = membership.Suspect
		reply := sendProbe(node, member(0), claim)
		g.Expect(reply.From.State).To(gomega.Equal(membership.Alive))
		g.Expect(reply.From.Round).To(gomega.BeNumerically(">", claim.Round))
		g.Expect(reply.From.Incarnation).To(gomega.Equal(claim.Incarnation))
	})
}

func TestIncarnationExceedsPredecessorsAfterClockWentBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		node := nodeWithMembers(1, nil)
		predecessor := node.Self()
		predecessor.Incarnation += 1 << 30
		predecessor.State = membership.Dead
		reply := sendProbe(node, member(0), predecessor)
		g.Expect(reply.From.Incarnation).To(gomega.BeNumerically(">", predecessor.Incarnation))
	})
}

func TestProbeForAnotherMemberIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		node := nodeWithMembers(1, nil)
		_, err := node.HandleExchange(context.Background(), membership.Message{From: member(0), Target: "predecessor"})
		g.Expect(err).To(gomega.MatchError(membership.ErrWrongTarget))
	})
}

func TestSilentMemberIsSuspectedThenDeadThenForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		var states []membership.State
		node := nodeWithMembers(1, func(e membership.Event) { states = append(states, e.Member.State) })
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error)
		go func() { done <- node.Run(ctx) }()
		time.Sleep(time.Minute)
		g.Expect(node.View().Live()).To(gomega.HaveLen(1))
		g.Expect(node.View().Members).To(gomega.HaveLen(2))
		time.Sleep(10 * time.Minute)
		g.Expect(node.View().Members).To(gomega.HaveLen(1))
		cancel()
		g.Expect(<-done).To(gomega.Succeed())
		g.Expect(states).To(gomega.Equal([]membership.State{membership.Alive, membership.Suspect, membership.Dead}))
	})
}

func TestOlderNoteNeverReplacesNewerOne(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := gomega.NewWithT(rt)
		node := nodeWithMembers(1, nil)
		newest := uint64(1)
		for _, version := range rapid.SliceOfN(rapid.Uint64Range(1, 9), 1, 20).Draw(rt, "versions") {
			m := member(0)
			m.Version = version
			m.Note = fmt.Append(nil, version)
			sendProbe(node, m)
			newest = max(newest, version)
			found, _ := node.View().Find("m0")
			g.Expect(found.Version).To(gomega.Equal(newest))
			if newest > 1 {
				g.Expect(string(found.Note)).To(gomega.Equal(fmt.Sprint(newest)))
			}
		}
		g.Expect(node.SetNote(make([]byte, membership.NoteBytes+1))).To(gomega.MatchError(membership.ErrNoteTooLong))
	})
}
