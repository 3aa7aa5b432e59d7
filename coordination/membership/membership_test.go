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

func TestDigestStaysWithinItsBudgetAndCarriesEachOftenEnough(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := gomega.NewWithT(rt)
		digest := membership.NewBroadcastQueue[int, int]()
		carried := map[int]int{}
		sizes := rapid.SliceOfN(rapid.IntRange(1, 50), 1, 40).Draw(rt, "sizes")
		limit := rapid.IntRange(1, 12).Draw(rt, "limit")
		budget := rapid.IntRange(50, 200).Draw(rt, "budget")
		for key, size := range sizes {
			digest.Put(key, size)
		}
		for digest.Len() > 0 {
			used := 0
			keys := digest.Take(budget, limit, func(_, size int) int { return size })
			g.Expect(keys).NotTo(gomega.BeEmpty())
			for _, key := range keys {
				used += sizes[key]
				carried[key]++
			}
			g.Expect(used).To(gomega.BeNumerically("<=", budget))
		}
		for key := range sizes {
			g.Expect(carried[key]).To(gomega.Equal(limit))
		}
	})
}

func TestDigestCarriesTheNewestChangeFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	digest := membership.NewBroadcastQueue[string, int]()
	one := func(string, int) int { return 1 }
	digest.Put("old", 0)
	digest.Put("new", 0)
	g.Expect(digest.Take(1, 3, one)).To(gomega.Equal([]string{"new"}))
	g.Expect(digest.Take(1, 3, one)).To(gomega.Equal([]string{"old"}))
	digest.Put("old", 1)
	g.Expect(digest.Take(1, 3, one)).To(gomega.Equal([]string{"old"}))
}

// silence is a network on which nobody answers, and a VM list.
type silence []membership.VM

var errSilent = errors.New("no answer")

func (silence) Exchange(ctx context.Context, _ string, _ membership.Message) (membership.Message, error) {
	<-ctx.Done()
	return membership.Message{}, errSilent
}

func (silence) Relay(ctx context.Context, _ string, _ membership.Target) error {
	<-ctx.Done()
	return errSilent
}

func (s silence) List(context.Context) ([]membership.VM, error) {
	return s, nil
}

// withPool returns a pool that knows n members, who tell of themselves once.
func withPool(n int, events func(membership.Event)) *membership.Node {
	network := silence{}
	pool := membership.New(membership.Config{
		Self:      membership.Member{Name: "self", Address: "10.0.0.1:1"},
		Transport: network, Lister: network, OnEvent: events,
	})
	for i := range n {
		tell(pool, member(i))
	}
	return pool
}

func member(i int) membership.Member {
	return membership.Member{
		Name: fmt.Sprintf("m%d", i), Address: fmt.Sprintf("10.0.1.%d:1", i),
		Zone: fmt.Sprintf("zone-%d", i%3), Incarnation: 10, State: membership.Alive, Version: 1,
	}
}

// tell sends a probe of a member with updates and returns the answer.
func tell(pool *membership.Node, from membership.Member, updates ...membership.Member) membership.Message {
	answer, err := pool.HandleExchange(context.Background(), membership.Message{From: from, Updates: updates})
	if err != nil {
		panic(err)
	}
	return answer
}

func TestHomeMovesOnlyTheKeysOfTheMemberThatLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		pool := withPool(8, nil)
		before := pool.Members()
		gone := member(3)
		gone.State = membership.Leaving
		gone.Round++
		tell(pool, gone)
		after := pool.Members()
		count := map[string]int{}
		for i := range 900 {
			key := fmt.Sprint("key ", i)
			was, _ := before.Home(key)
			is, ok := after.Home(key)
			g.Expect(ok).To(gomega.BeTrue())
			count[was.Name]++
			if was.Name != gone.Name {
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

func TestClaimOfDeathIsNotTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		pool := withPool(3, nil)
		dead := member(1)
		dead.State = membership.Dead
		tell(pool, member(0), dead)
		held, _ := pool.Members().Find("m1")
		g.Expect(held.State).To(gomega.Equal(membership.Alive))
	})
}

func TestBriefNewsKeepsWhatIsKnownAndAdmitsNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		pool := withPool(2, nil)
		before, _ := pool.Members().Find("m1")
		tell(pool, member(0),
			membership.Member{Name: "m1", Incarnation: 10, State: membership.Suspect},
			membership.Member{Name: "m9", Incarnation: 10, State: membership.Suspect})
		after, _ := pool.Members().Find("m1")
		before.State = membership.Suspect
		g.Expect(after).To(gomega.Equal(before))
		_, known := pool.Members().Find("m9")
		g.Expect(known).To(gomega.BeFalse())
	})
}

func TestClaimAboutOneselfIsContradicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		pool := withPool(3, nil)
		claim := pool.Self()
		claim.State = membership.Suspect
		answer := tell(pool, member(0), claim)
		g.Expect(answer.From.State).To(gomega.Equal(membership.Alive))
		g.Expect(answer.From.Round).To(gomega.BeNumerically(">", claim.Round))
		g.Expect(answer.From.Incarnation).To(gomega.Equal(claim.Incarnation))
	})
}

func TestProcessWhoseClockWentBackStillSupersedesItsForerunner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		pool := withPool(1, nil)
		forerunner := pool.Self()
		forerunner.Incarnation += 1 << 30
		forerunner.State = membership.Dead
		answer := tell(pool, member(0), forerunner)
		g.Expect(answer.From.Incarnation).To(gomega.BeNumerically(">", forerunner.Incarnation))
	})
}

func TestProbeForAnotherMemberIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		pool := withPool(1, nil)
		_, err := pool.HandleExchange(context.Background(), membership.Message{From: member(0), Target: "predecessor"})
		g.Expect(err).To(gomega.MatchError(membership.ErrWrongTarget))
	})
}

func TestSuspicionComesBeforeDeathAndDeathIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		var states []membership.State
		pool := withPool(1, func(e membership.Event) { states = append(states, e.Member.State) })
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error)
		go func() { done <- pool.Run(ctx) }()
		time.Sleep(time.Minute)
		g.Expect(pool.Members().Live()).To(gomega.HaveLen(1))
		g.Expect(pool.Members().Members).To(gomega.HaveLen(2))
		time.Sleep(10 * time.Minute)
		g.Expect(pool.Members().Members).To(gomega.HaveLen(1))
		cancel()
		g.Expect(<-done).To(gomega.Succeed())
		g.Expect(states).To(gomega.Equal([]membership.State{membership.Alive, membership.Suspect, membership.Dead}))
	})
}

func TestOlderNoteNeverReplacesANewerOne(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := gomega.NewWithT(rt)
		pool := withPool(1, nil)
		newest := uint64(1)
		for _, version := range rapid.SliceOfN(rapid.Uint64Range(1, 9), 1, 20).Draw(rt, "versions") {
			m := member(0)
			m.Version = version
			m.Note = fmt.Append(nil, version)
			tell(pool, m)
			newest = max(newest, version)
			held, _ := pool.Members().Find("m0")
			g.Expect(held.Version).To(gomega.Equal(newest))
			if newest > 1 {
				g.Expect(string(held.Note)).To(gomega.Equal(fmt.Sprint(newest)))
			}
		}
		g.Expect(pool.SetNote(make([]byte, membership.NoteBytes+1))).To(gomega.MatchError(membership.ErrNoteTooLong))
	})
}
