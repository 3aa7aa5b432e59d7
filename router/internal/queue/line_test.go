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
func take(line *queue.Queue[int]) *queue.Item[int] {
	next, _ := line.Peek()
	line.Take(next)
	return next
}

// TestFloorBoundsTheServiceBeforeAClass keeps all classes waiting. Between two
// of its items a class sees at most the service that its floor states: its
// cost, and that of one item of each other class, divided by the floor.
func TestFloorBoundsTheServiceBeforeAClass(t *testing.T) {
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
		line := queue.New[int]()
		push := func(i, k int) {
			line.Push(item(&classes[i], fmt.Sprintf("team%d", k%3), costs[k%len(costs)], time.Duration(k)))
		}
		for i := range classes {
			push(i, i)
			push(i, i+1)
		}
		since := make([]float64, n)
		for k := range 3000 {
			next := take(line)
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

func TestTiersGoStrictlyBeyondTheFloor(t *testing.T) {
	g := gomega.NewWithT(t)
	line := queue.New[int]()
	high := &class.Class{Name: "high", Tier: 1, Weight: 1}
	low := &class.Class{Name: "low", Tier: 2, Weight: 100}
	for i := range 50 {
		line.Push(item(low, "a", 10, time.Duration(i)))
		line.Push(item(high, "a", 10, time.Hour))
	}
	for range 50 {
		g.Expect(take(line).Class).To(gomega.Equal(high))
	}
}

func TestFloodOfOneTeamLeavesTheOthersTheirShare(t *testing.T) {
	g := gomega.NewWithT(t)
	line := queue.New[int]()
	c := &class.Class{Name: "chat", Tier: 2, Weight: 1}
	for i := range 1000 {
		line.Push(item(c, "flood", 100, time.Duration(i)))
	}
	for range 100 {
		take(line)
	}
	for i := range 20 {
		line.Push(item(c, "small", 100, time.Hour+time.Duration(i)))
	}
	small := 0
	for range 40 {
		if take(line).Team == "small" {
			small++
		}
	}
	g.Expect(small).To(gomega.BeNumerically(">=", 16))
}

func TestTeamThatCrowdsOutOthersIsToldFromThem(t *testing.T) {
	g := gomega.NewWithT(t)
	c := &class.Class{Name: "chat", Tier: 2, Weight: 1}
	serve := func(team func(i int) string) *queue.Queue[int] {
		line := queue.New[int]()
		for i := range 200 {
			taken := item(c, team(i), 100, time.Duration(i))
			line.Push(taken)
			line.Take(taken)
		}
		return line
	}
	waits := func(line *queue.Queue[int], team string) *queue.Item[int] {
		waiting := item(c, team, 100, time.Hour)
		line.Push(waiting)
		return waiting
	}
	even := serve(func(i int) string { return []string{"a", "b", "c"}[i%3] })
	g.Expect(even.Underserved(waits(even, "a"))).To(gomega.BeFalse())
	g.Expect(even.ExcessRunning(waits(even, "a"))).To(gomega.BeZero())
	flooded := serve(func(i int) string {
		if i%10 == 0 {
			return "a"
		}
		return "flood"
	})
	g.Expect(flooded.Underserved(waits(flooded, "a"))).To(gomega.BeTrue())
	g.Expect(flooded.Underserved(waits(flooded, "new"))).To(gomega.BeTrue())
	g.Expect(flooded.Underserved(waits(flooded, "flood"))).To(gomega.BeFalse())
	g.Expect(flooded.ExcessRunning(waits(flooded, "a"))).To(gomega.BeZero())
	g.Expect(flooded.ExcessRunning(waits(flooded, "flood"))).To(gomega.BeNumerically("~", 20, 10))
}

func TestWithinItsShareTheEarliestTargetGoesFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	line := queue.New[int]()
	c := &class.Class{Name: "chat", Tier: 2, Weight: 1}
	line.Push(item(c, "a", 10, 3*time.Second))
	line.Push(item(c, "b", 10, time.Second))
	line.Push(item(c, "a", 10, 2*time.Second))
	var targets []time.Duration
	for range 3 {
		targets = append(targets, take(line).Target.Sub(start))
	}
	g.Expect(targets).To(gomega.Equal([]time.Duration{time.Second, 2 * time.Second, 3 * time.Second}))
}

func TestUnderestimatedAnswerIsChargedToItsTeam(t *testing.T) {
	g := gomega.NewWithT(t)
	line := queue.New[int]()
	c := &class.Class{Name: "chat", Tier: 2, Weight: 1}
	for i := range 20 {
		line.Push(item(c, "long", 10, time.Duration(i)))
		line.Push(item(c, "short", 10, time.Hour+time.Duration(i)))
	}
	long := take(line)
	g.Expect(long.Team).To(gomega.Equal("long"))
	line.CorrectCost(long, 4000)
	for range 20 {
		g.Expect(take(line).Team).To(gomega.Equal("short"))
	}
}

// TestNoProtectedItemIsNamedForShedding drives a line through random calls.
func TestNoProtectedItemIsNamedForShedding(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := gomega.NewWithT(rt)
		line := queue.New[int]()
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
				if next, _ := line.Peek(); next != nil {
					line.Take(next)
					delete(waiting, next)
				}
			case 1:
				victim, ok := line.Victim(c, team)
				if !ok {
					continue
				}
				g.Expect(victim.Item().Class.Protected).To(gomega.BeFalse())
				g.Expect(victim.Item().Class.Tier).To(gomega.BeNumerically(">=", c.Tier))
				g.Expect(line.Remove(victim.Item())).To(gomega.BeTrue())
				delete(waiting, victim.Item())
			case 2:
				changed := *c
				changed.Floor = 0.1
				*c = changed
				line.UpdateClass(&changed)
			default:
				added := item(c, team, float64(rapid.IntRange(1, 900).Draw(rt, "cost")), time.Duration(k))
				line.Push(added)
				waiting[added] = true
			}
			g.Expect(line.Len()).To(gomega.Equal(len(waiting)))
			g.Expect(line.Bytes()).To(gomega.Equal(len(waiting)))
		}
		for line.Len() > 0 {
			next := take(line)
			g.Expect(waiting[next]).To(gomega.BeTrue())
			delete(waiting, next)
		}
		g.Expect(waiting).To(gomega.BeEmpty())
	})
}
