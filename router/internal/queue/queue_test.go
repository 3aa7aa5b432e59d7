package queue_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"snipetally.example/coordination/seeds"
	"snipetally.example/router/internal/class"
	"snipetally.example/router/internal/queue"
)

func init() {
	seeds.Fix()
}

var start = time.Unix(1000, 0)

// item returns an item of a class and team.
func item(c *class.Class, team string, cost float64, target time.Duration) *queue.Item[int] {
	return &queue.Item[int]{Class: c, Team: team, Weight: 1, Cost: cost, Size: 1, Target: start.Add(target)}
}

// take takes the next item.
func take(q *queue.Queue[int]) *queue.Item[int] {
	next, _ := q.Peek()
	q.Take(next)
	return next
}

// TestFloorBoundsTheServiceBetweenItemsOfAClass keeps all classes waiting.
// Between two of its items a class sees at most the service that its floor
// allows: its cost, and that of one item of each other class, divided by the
// floor.
func TestFloorBoundsTheServiceBetweenItemsOfAClass(t *testing.T) {
	const largest = 500.0
	rapid.Check(t, func(rt *rapid.T) {
		g := gomega.NewWithT(rt)
		n := rapid.IntRange(2, 6).Draw(rt, "classes")
		classes := make([]class.Class, n)
		for i := range classes {
			classes[i] = class.Class{
				Name:      fmt.Sprintf("class%d", i),
				Tier:      class.Tier(rapid.IntRange(0, class.Tiers-1).Draw(rt, "tier")),
				Weight:    1,
				Floor:     float64(rapid.IntRange(0, 10).Draw(rt, "floor percent")) / 100,
				Protected: rapid.Bool().Draw(rt, "protected"),
			}
		}
		costs := rapid.SliceOfN(rapid.Float64Range(1, largest), 20, 20).Draw(rt, "costs")
		q := queue.New[int]()
		push := func(i, k int) {
			q.Push(item(&classes[i], fmt.Sprintf("team%d", k%3), costs[k%len(costs)], time.Duration(k)))
		}
		for i := range classes {
			push(i, i)
			push(i, i+1)
		}
		since := make([]float64, n)
		for k := range 3000 {
			next := take(q)
			for i := range classes {
				if next.Class == &classes[i] {
					since[i] = 0
					push(i, k)
					continue
				}
				since[i] += next.Cost
				floor := max(classes[i].Floor, queue.MinimumFloor)
				g.Expect(since[i]).To(gomega.BeNumerically("<=", float64(n)*largest/floor))
			}
		}
	})
}

func TestTiersAreStrictBeyondTheFloor(t *testing.T) {
	g := gomega.NewWithT(t)
	q := queue.New[int]()
	high := &class.Class{Name: "high", Tier: 1, Weight: 1}
	low := &class.Class{Name: "low", Tier: 2, Weight: 100}
	for i := range 50 {
		q.Push(item(low, "a", 10, time.Duration(i)))
		q.Push(item(high, "a", 10, time.Hour))
	}
	for range 50 {
		g.Expect(take(q).Class).To(gomega.Equal(high))
	}
}

func TestFloodOfOneTeamLeavesOtherTeamsTheirShare(t *testing.T) {
	g := gomega.NewWithT(t)
	q := queue.New[int]()
	c := &class.Class{Name: "chat", Tier: 2, Weight: 1}
	for i := range 1000 {
		q.Push(item(c, "flood", 100, time.Duration(i)))
	}
	for range 100 {
		take(q)
	}
	for i := range 20 {
		q.Push(item(c, "small", 100, time.Hour+time.Duration(i)))
	}
	small := 0
	for range 40 {
		if take(q).Team == "small" {
			small++
		}
	}
	g.Expect(small).To(gomega.BeNumerically(">=", 16))
}

func TestTeamAboveItsShareIsDistinguishedFromOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	c := &class.Class{Name: "chat", Tier: 2, Weight: 1}
	serve := func(team func(i int) string) *queue.Queue[int] {
		q := queue.New[int]()
		for i := range 200 {
			taken := item(c, team(i), 100, time.Duration(i))
			q.Push(taken)
			q.Take(taken)
		}
		return q
	}
	push := func(q *queue.Queue[int], team string) *queue.Item[int] {
		waiting := item(c, team, 100, time.Hour)
		q.Push(waiting)
		return waiting
	}
	even := serve(func(i int) string { return []string{"a", "b", "c"}[i%3] })
	g.Expect(even.Underserved(push(even, "a"))).To(gomega.BeFalse())
	g.Expect(even.ExcessRunning(push(even, "a"))).To(gomega.BeZero())
	flooded := serve(func(i int) string {
		if i%10 == 0 {
			return "a"
		}
		return "flood"
	})
	g.Expect(flooded.Underserved(push(flooded, "a"))).To(gomega.BeTrue())
	g.Expect(flooded.Underserved(push(flooded, "new"))).To(gomega.BeTrue())
	g.Expect(flooded.Underserved(push(flooded, "flood"))).To(gomega.BeFalse())
	g.Expect(flooded.ExcessRunning(push(flooded, "a"))).To(gomega.BeZero())
	g.Expect(flooded.ExcessRunning(push(flooded, "flood"))).To(gomega.BeNumerically("~", 20, 10))
}

func TestEarliestTargetGoesFirstWithinTheShare(t *testing.T) {
	g := gomega.NewWithT(t)
	q := queue.New[int]()
	c := &class.Class{Name: "chat", Tier: 2, Weight: 1}
	q.Push(item(c, "a", 10, 3*time.Second))
	q.Push(item(c, "b", 10, time.Second))
	q.Push(item(c, "a", 10, 2*time.Second))
	var targets []time.Duration
	for range 3 {
		targets = append(targets, take(q).Target.Sub(start))
	}
	g.Expect(targets).To(gomega.Equal([]time.Duration{time.Second, 2 * time.Second, 3 * time.Second}))
}

func TestUnderestimatedCostIsChargedToTheTeam(t *testing.T) {
	g := gomega.NewWithT(t)
	q := queue.New[int]()
	c := &class.Class{Name: "chat", Tier: 2, Weight: 1}
	for i := range 20 {
		q.Push(item(c, "long", 10, time.Duration(i)))
		q.Push(item(c, "short", 10, time.Hour+time.Duration(i)))
	}
	long := take(q)
	g.Expect(long.Team).To(gomega.Equal("long"))
	q.CorrectCost(long, 4000)
	for range 20 {
		g.Expect(take(q).Team).To(gomega.Equal("short"))
	}
}

// TestProtectedItemsAreNeverShed makes random calls to a queue. It also checks
// that no item gets lost.
func TestProtectedItemsAreNeverShed(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := gomega.NewWithT(rt)
		q := queue.New[int]()
		waiting := make(map[*queue.Item[int]]bool)
		classes := make([]class.Class, 5)
		for i := range classes {
			tier := class.Tier(rapid.IntRange(0, class.Tiers-1).Draw(rt, "tier"))
			classes[i] = class.Class{Name: fmt.Sprint(i), Tier: tier, Weight: 1, Protected: rapid.Bool().Draw(rt, "protected")}
		}
		for k := range rapid.IntRange(1, 100).Draw(rt, "steps") {
			c := &classes[rapid.IntRange(0, 4).Draw(rt, "class")]
			team := rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "team")
			switch rapid.IntRange(0, 4).Draw(rt, "call") {
			case 0:
				if next, _ := q.Peek(); next != nil {
					q.Take(next)
					delete(waiting, next)
				}
			case 1:
				if own, ok := q.ClassVictim(c, team); ok {
					g.Expect(own.Item().Class.Protected).To(gomega.BeFalse())
					g.Expect(own.Item().Class.Name).To(gomega.Equal(c.Name))
					g.Expect(own.Item().Team).NotTo(gomega.Equal(team))
				}
				victim, ok := q.Victim(c, team)
				if !ok {
					continue
				}
				g.Expect(victim.Item().Class.Protected).To(gomega.BeFalse())
				g.Expect(victim.Item().Class.Tier).To(gomega.BeNumerically(">=", c.Tier))
				g.Expect(q.Remove(victim.Item())).To(gomega.BeTrue())
				delete(waiting, victim.Item())
			case 2:
				changed := *c
				changed.Floor = 0.1
				*c = changed
				q.UpdateClass(&changed)
			default:
				added := item(c, team, float64(rapid.IntRange(1, 900).Draw(rt, "cost")), time.Duration(k))
				q.Push(added)
				waiting[added] = true
			}
			g.Expect(q.Len()).To(gomega.Equal(len(waiting)))
			g.Expect(q.Bytes()).To(gomega.Equal(len(waiting)))
		}
		for q.Len() > 0 {
			next := take(q)
			g.Expect(waiting[next]).To(gomega.BeTrue())
			delete(waiting, next)
		}
		g.Expect(waiting).To(gomega.BeEmpty())
	})
}
