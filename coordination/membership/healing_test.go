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

// running runs a pool until the returned function is called, which may be
// called twice.
func running(pool *membership.Node) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = pool.Run(ctx) })
	return func() {
		cancel()
		group.Wait()
	}
}

// held returns the state in which a pool holds a member.
func held(pool *membership.Node, name string) membership.State {
	m, _ := pool.Members().Find(name)
	return m.State
}

// waitFor waits until a pool holds a member in a state, a minute at most, and
// returns the time.
func waitFor(pool *membership.Node, name string, state membership.State) time.Time {
	for end := time.Now().Add(time.Minute); held(pool, name) != state && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Now()
}

func TestMemberThatComesBackGivesTheSuspectsOfItsRegionTheirTimeAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		pool := withPool(0, nil)
		for i := range 20 {
			m := member(i)
			m.Region = "far"
			tell(pool, m)
		}
		stop := running(pool)
		defer stop()
		suspect := func(i int) membership.Member {
			m := member(i)
			m.Region, m.State = "far", membership.Suspect
			return m
		}
		asker := member(19)
		asker.Region = "far"
		tell(pool, asker, suspect(1))
		time.Sleep(500 * time.Millisecond)
		tell(pool, asker, suspect(2))
		waitFor(pool, "m1", membership.Dead)
		back := suspect(1)
		back.State, back.Round = membership.Alive, 1
		tell(pool, back)
		returned := time.Now()
		g.Expect(held(pool, "m2")).To(gomega.Equal(membership.Suspect))
		// The time among twenty members of another region, without any health
		// taken off: 1.5 s times 1 + log10(21), and half as much again.
		const least = 5 * time.Second
		g.Expect(waitFor(pool, "m2", membership.Dead).Sub(returned)).To(gomega.BeNumerically(">=", least))
	})
}

// recorder is silence that keeps the probes that were sent.
type recorder struct {
	silence
	sent chan membership.Message
}

func (r recorder) Exchange(_ context.Context, _ string, m membership.Message) (membership.Message, error) {
	r.sent <- m
	from := member(0)
	from.Name = m.Target
	answer := membership.Message{From: from, Summary: 1}
	if m.Full {
		answer.Buckets = make([]uint64, len(m.Buckets))
	}
	return answer, nil
}

func TestProcessOfWhichOnlyTheStateIsHeardIsAskedForWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		network := recorder{sent: make(chan membership.Message, 1000)}
		pool := membership.New(membership.Config{
			Self:      membership.Member{Name: "self", Address: "10.0.0.1:1"},
			Transport: network, Lister: network,
		})
		tell(pool, member(0), membership.Member{Name: "m1", Incarnation: 10, State: membership.Alive})
		_, known := pool.Members().Find("m1")
		g.Expect(known).To(gomega.BeFalse())
		stop := running(pool)
		defer stop()
		time.Sleep(10 * time.Second)
		stop()
		close(network.sent)
		whole := 0
		for m := range network.sent {
			if m.Full && len(m.Buckets) > 0 {
				whole++
			}
		}
		g.Expect(whole).To(gomega.Equal(1), "once, until another is heard of")
	})
}

func TestNewsOfAKnownProcessAreShortAndOfANewOneWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		pool := withPool(3, nil)
		news := func(updates ...membership.Member) map[string]membership.Member {
			found := map[string]membership.Member{}
			for _, m := range tell(pool, member(0), updates...).Updates {
				found[m.Name] = m
			}
			return found
		}
		g.Expect(news()["m1"].Address).NotTo(gomega.BeEmpty(), "it joined just now")
		time.Sleep(2 * time.Minute)
		contradiction := member(1)
		contradiction.Round = 7
		short := news(contradiction)["m1"]
		g.Expect(short.Round).To(gomega.Equal(uint32(7)))
		g.Expect(short.Address).To(gomega.BeEmpty())
		successor := member(1)
		successor.Incarnation++
		g.Expect(news(successor)["m1"].Address).NotTo(gomega.BeEmpty())
	})
}

func TestStateAloneOfALaterProcessChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		pool := withPool(2, nil)
		before, _ := pool.Members().Find("m1")
		tell(pool, member(0), membership.Member{Name: "m1", Incarnation: 11, State: membership.Alive})
		after, _ := pool.Members().Find("m1")
		g.Expect(after).To(gomega.Equal(before), "its address may be another")
	})
}

func TestFewViewsAreComparedHoweverManyAsk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		pool := withPool(20, nil)
		time.Sleep(2 * time.Minute)
		const seconds, askers = 30, 20
		compared := 0
		for range seconds {
			for i := range askers {
				answer, err := pool.HandleExchange(context.Background(),
					membership.Message{From: member(i), Buckets: make([]uint64, 32)})
				g.Expect(err).NotTo(gomega.HaveOccurred())
				if len(answer.Buckets) > 0 {
					compared++
				}
			}
			time.Sleep(time.Second)
		}
		g.Expect(compared).To(gomega.BeNumerically("<=", seconds/3))
		g.Expect(compared).To(gomega.BeNumerically(">=", seconds/5))
	})
}

func TestClaimOfDeathThatWasContradictedIsNotProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		network := recorder{sent: make(chan membership.Message, 1000)}
		pool := membership.New(membership.Config{
			Self:      membership.Member{Name: "self", Address: "10.0.0.1:1"},
			Transport: network, Lister: network,
		})
		for i := range 20 {
			claim, contradiction := member(i), member(i)
			claim.State = membership.Dead
			contradiction.Round = 1
			tell(pool, member(i), claim)
			tell(pool, contradiction)
		}
		stop := running(pool)
		defer stop()
		time.Sleep(10 * time.Second)
		stop()
		// One probe a second, and none for members in doubt besides.
		g.Expect(len(network.sent)).To(gomega.BeNumerically("<=", 12))
	})
}

func TestProbeOfASuspectCarriesNoNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		network := recorder{sent: make(chan membership.Message, 1000)}
		pool := membership.New(membership.Config{
			Self:      membership.Member{Name: "self", Address: "10.0.0.1:1"},
			Transport: network, Lister: network,
		})
		for i := range 20 {
			tell(pool, member(i))
		}
		g.Expect(pool.HandleRelay(context.Background(), membership.Target{Name: "m3", Address: member(3).Address})).To(gomega.Succeed())
		g.Expect((<-network.sent).Updates).To(gomega.BeEmpty())
	})
}
