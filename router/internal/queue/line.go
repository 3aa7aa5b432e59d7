package queue

import (
	"math"
	"slices"
	"time"

	"snipetally.example/router/internal/class"
)

const (
	// MinimumFloor is the floor of a class that has none or a lower one.
	MinimumFloor = 0.01

	// creditLimit bounds what a floor may owe, in tokens.
	creditLimit = 20_000

	// minimumWeight is the least weight of a flow.
	minimumWeight = 1e-3
)

// Queue holds the requests that wait for one kind of server.
type Queue[T any] struct {
	tiers [class.Tiers]*tier[T]
	lanes map[string]*lane[T]

	// order holds the lanes in the order of their first items, so that
	// decisions do not depend on the order of a map.
	order []*lane[T]
	count int
	bytes int
}

// New returns an empty line.
func New[T any]() *Queue[T] {
	l := &Queue[T]{lanes: make(map[string]*lane[T])}
	for i := range l.tiers {
		l.tiers[i] = newTier[T]()
	}
	return l
}

// Len returns the number of items.
func (l *Queue[T]) Len() int { return l.count }

// Bytes returns the number of bytes that the items hold.
func (l *Queue[T]) Bytes() int { return l.bytes }

// ClassLen returns the number of items of a class.
func (l *Queue[T]) ClassLen(className string) int {
	if lane, ok := l.lanes[className]; ok {
		return lane.waiting
	}
	return 0
}

// TierLen returns the number of items of a tier.
func (l *Queue[T]) TierLen(t class.Tier) int {
	return l.tiers[t].waiting
}

// Push adds an item. It costs logarithmic time.
func (l *Queue[T]) Push(item *Item[T]) {
	f := l.flow(item)
	t := l.tiers[item.Class.Tier]
	first := len(f.items.items) == 0
	item.flow = f
	f.items.Push(item)
	l.count++
	l.bytes += item.Size
	t.waiting++
	t.backlog += item.Cost
	f.backlog += item.Cost
	f.lane.waiting++
	f.lane.backlog += item.Cost
	if first {
		f.weight = max(item.Weight*item.Class.Weight, minimumWeight)
		t.enter(f)
		f.lane.own.Push(f)
		return
	}
	if f.ready >= 0 {
		t.ready.Fix(f.ready)
	}
}

// Remove takes out an item. It reports false if the item is in no line.
func (l *Queue[T]) Remove(item *Item[T]) bool {
	f := item.flow
	if f == nil {
		return false
	}
	t := l.tiers[f.lane.class.Tier]
	f.items.Remove(item.position)
	item.flow = nil
	l.count--
	l.bytes -= item.Size
	t.waiting--
	t.backlog -= item.Cost
	f.backlog -= item.Cost
	f.lane.waiting--
	f.lane.backlog -= item.Cost
	if len(f.items.items) == 0 {
		t.leave(f)
		f.lane.own.Remove(f.own)
		l.drop(f)
		return true
	}
	if f.ready >= 0 {
		t.ready.Fix(f.ready)
	}
	return true
}

// Peek returns the item to dispatch next without taking it out: that of a class
// whose floor is due, else that of the most important tier. It reports whether
// a floor decided.
func (l *Queue[T]) Peek() (*Item[T], bool) {
	if lane := l.due(); lane != nil {
		f, _ := lane.own.Top()
		return f.head(), true
	}
	for _, t := range l.tiers {
		if f := t.next(); f != nil {
			return f.head(), false
		}
	}
	return nil, false
}

// Take takes out an item to dispatch it. Its service is booked: to the share of
// its team, and as credit to the floors of the classes that wait on.
func (l *Queue[T]) Take(item *Item[T]) {
	f := item.flow
	if f == nil {
		return
	}
	t := l.tiers[f.lane.class.Tier]
	t.charge(f, item.Cost)
	t.note(f, item.Cost)
	if f.ready >= 0 && !t.within(f) {
		t.lift(f)
		t.ahead.Push(f)
	} else if f.ahead >= 0 {
		t.ahead.Fix(f.ahead)
	}
	f.lane.own.Fix(f.own)
	item.taken = f
	t.running++
	if f.running++; f.running == 1 {
		t.busy += f.weight
	}
	l.Remove(item)
	l.credit(f.lane, item.Cost)
}

// Done books that an item that was taken has ended.
func (l *Queue[T]) Done(item *Item[T]) {
	f := item.taken
	if f == nil {
		return
	}
	item.taken = nil
	t := l.tiers[f.lane.class.Tier]
	t.running--
	if f.running--; f.running == 0 {
		t.busy -= f.weight
		if len(f.items.items) == 0 {
			l.drop(f)
		}
	}
}

// Underserved reports whether the item's team got less than its share of the service
// that its tier gave lately, while another one got much more than its own.
func (l *Queue[T]) Underserved(item *Item[T]) bool {
	f := item.flow
	if f == nil {
		return false
	}
	t := l.tiers[f.lane.class.Tier]
	return t.crowded(f) && t.part(f) < t.share(f, f)
}

// ExcessRunning returns how many of the tier's running items are to be guarded from
// the item's flow: those of other flows, but no more than the number by which
// the flow itself runs more than its share.
func (l *Queue[T]) ExcessRunning(item *Item[T]) float64 {
	f := item.flow
	if f == nil {
		return 0
	}
	t := l.tiers[f.lane.class.Tier]
	part, share := t.part(f), t.share(f, f)
	if part < crowdPart*share {
		return 0
	}
	return float64(t.running) * min(part-share, 1-part)
}

// CorrectCost corrects the booked service of an item by the difference between its
// actual and its estimated cost.
func (l *Queue[T]) CorrectCost(item *Item[T], actual float64) {
	lane, ok := l.lanes[item.Class.Name]
	if !ok {
		return
	}
	f, ok := lane.flows[item.Team]
	if !ok {
		return
	}
	f.service += (actual - item.Cost) / max(f.weight, minimumWeight)
	item.Cost = actual
	t := l.tiers[lane.class.Tier]
	if f.own < 0 {
		return
	}
	lane.own.Fix(f.own)
	t.lift(f)
	t.place(f)
}

// credit books the service of one class to the floors of the classes that wait.
func (l *Queue[T]) credit(served *lane[T], cost float64) {
	for _, other := range l.order {
		if other.waiting == 0 {
			other.credit = 0
			continue
		}
		other.credit = min(other.credit+cost*floor(other.class), creditLimit)
	}
	// A class that gets more than its floor by its tier owes nothing.
	served.credit = max(served.credit-cost, 0)
}

// due returns the class whose floor is owed the most, at least the cost of its
// next item.
func (l *Queue[T]) due() *lane[T] {
	var best *lane[T]
	for _, candidate := range l.order {
		if candidate.waiting == 0 {
			continue
		}
		f, _ := candidate.own.Top()
		if candidate.credit < min(f.head().Cost, creditLimit) {
			continue
		}
		if best == nil || candidate.credit > best.credit {
			best = candidate
		}
	}
	return best
}

// ServiceAhead estimates the service in tokens that is dispatched before a new item
// of the flow: the backlog of more important tiers and the smaller of the
// tier's backlog and the flow's own one stretched by its share. The floor of
// the class bounds it.
func (l *Queue[T]) ServiceAhead(c *class.Class, team string, weight float64) float64 {
	tokens := 0.0
	for i := range c.Tier {
		tokens += l.tiers[i].backlog
	}
	t := l.tiers[c.Tier]
	w := max(weight*c.Weight, minimumWeight)
	own, laneBacklog, total := 0.0, 0.0, t.weight+w
	if lane, ok := l.lanes[c.Name]; ok {
		laneBacklog = lane.backlog
		if f, ok := lane.flows[team]; ok {
			own = f.backlog
			if f.own >= 0 {
				total = t.weight
			}
			if t.crowded(f) && t.part(f) < t.share(f, f) {
				total = w
			}
		}
	}
	tokens += min(t.backlog, own*total/w)
	return min(tokens, laneBacklog/floor(c))
}

// UpdateClass puts the settings of a class in force for the items that wait. Items
// keep their place in time; none is dropped.
func (l *Queue[T]) UpdateClass(c *class.Class) {
	old, ok := l.lanes[c.Name]
	if !ok {
		return
	}
	var items []*Item[T]
	for _, f := range old.own.items {
		items = append(items, f.items.items...)
	}
	for _, item := range items {
		l.Remove(item)
	}
	credit := old.credit
	delete(l.lanes, c.Name)
	l.order = slices.DeleteFunc(l.order, func(other *lane[T]) bool { return other == old })
	for _, item := range items {
		item.Target = item.Target.Add(c.FirstToken - item.Class.FirstToken)
		item.Class = c
		l.Push(item)
	}
	if lane, ok := l.lanes[c.Name]; ok {
		lane.credit = credit
	}
}

// Items calls yield for each item, in no order, until it returns false.
func (l *Queue[T]) Items(yield func(*Item[T]) bool) {
	for _, lane := range l.order {
		for _, f := range lane.own.items {
			for _, item := range f.items.items {
				if !yield(item) {
					return
				}
			}
		}
	}
}

// EarliestTarget returns the earliest target of a tier's items that wait.
func (l *Queue[T]) EarliestTarget(t class.Tier) (time.Time, bool) {
	f := l.tiers[t].next()
	if f == nil {
		return time.Time{}, false
	}
	return f.head().Target, true
}

// flow returns the flow of an item and makes it if need be.
func (l *Queue[T]) flow(item *Item[T]) *flow[T] {
	lane, ok := l.lanes[item.Class.Name]
	if !ok {
		lane = newLane[T](item.Class)
		l.lanes[item.Class.Name] = lane
		l.order = append(l.order, lane)
	}
	f, ok := lane.flows[item.Team]
	if !ok {
		f = newFlow(lane, item.Team)
		lane.flows[item.Team] = f
	}
	return f
}

// drop forgets an empty flow that is not ahead of its share, so that memory is
// bounded by the teams that wait or ran ahead.
func (l *Queue[T]) drop(f *flow[T]) {
	if f.running == 0 && f.service <= l.tiers[f.lane.class.Tier].clock && f.lane.flows[f.team] == f {
		delete(f.lane.flows, f.team)
	}
}

// floor returns the floor of a class.
func floor(c *class.Class) float64 {
	return math.Max(c.Floor, MinimumFloor)
}
