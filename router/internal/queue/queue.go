package queue

import (
	"slices"

	"snipetally.example/router/internal/class"
)

// minimumWeight is the least weight of a flow.
const minimumWeight = 1e-3

// Queue holds the requests that wait for one kind of server.
type Queue[T any] struct {
	tiers   [class.Tiers]*tier[T]
	classes map[string]*classQueue[T]

	// classOrder holds the classes in the order of their first items, so that
	// decisions do not depend on the order of map iteration.
	classOrder []*classQueue[T]
	count      int
	bytes      int
}

// New returns an empty queue.
func New[T any]() *Queue[T] {
	q := &Queue[T]{classes: make(map[string]*classQueue[T])}
	for i := range q.tiers {
		q.tiers[i] = newTier[T]()
	}
	return q
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return q.count }

// Bytes returns the number of bytes that the waiting items hold.
func (q *Queue[T]) Bytes() int { return q.bytes }

// ClassLen returns the number of waiting items of a class.
func (q *Queue[T]) ClassLen(className string) int {
	if cq, ok := q.classes[className]; ok {
		return cq.waiting
	}
	return 0
}

// TierLen returns the number of waiting items of a tier.
func (q *Queue[T]) TierLen(t class.Tier) int {
	return q.tiers[t].waiting
}

// Push adds an item in logarithmic time.
func (q *Queue[T]) Push(item *Item[T]) {
	f := q.flowOf(item)
	t := q.tiers[item.Class.Tier]
	first := len(f.items.items) == 0
	item.flow = f
	f.items.Push(item)
	q.count++
	q.bytes += item.Size
	t.waiting++
	t.backlog += item.Cost
	f.backlog += item.Cost
	f.queue.waiting++
	f.queue.backlog += item.Cost
	if first {
		f.weight = max(item.Weight*item.Class.Weight, minimumWeight)
		t.activate(f)
		f.queue.active.Push(f)
		return
	}
	if f.readyIndex >= 0 {
		t.ready.Fix(f.readyIndex)
	}
}

// Remove removes a waiting item. It reports false if the item does not wait in
// a queue.
func (q *Queue[T]) Remove(item *Item[T]) bool {
	f := item.flow
	if f == nil {
		return false
	}
	t := q.tiers[f.queue.class.Tier]
	f.items.Remove(item.index)
	item.flow = nil
	q.count--
	q.bytes -= item.Size
	t.waiting--
	t.backlog -= item.Cost
	f.backlog -= item.Cost
	f.queue.waiting--
	f.queue.backlog -= item.Cost
	if len(f.items.items) == 0 {
		t.deactivate(f)
		f.queue.active.Remove(f.classIndex)
		q.forgetIdle(f)
		return true
	}
	if f.readyIndex >= 0 {
		t.ready.Fix(f.readyIndex)
	}
	return true
}

// Peek returns the item to dispatch next without removing it: one of a class
// whose floor is due, else one of the most important tier. It reports whether a
// floor decided.
func (q *Queue[T]) Peek() (*Item[T], bool) {
	if cq := q.dueClass(); cq != nil {
		f, _ := cq.active.Top()
		return f.head(), true
	}
	for _, t := range q.tiers {
		if f := t.next(); f != nil {
			return f.head(), false
		}
	}
	return nil, false
}

// Take removes an item to dispatch it. Its cost is charged to the share of its
// team, and credited to the floors of the classes that still wait.
func (q *Queue[T]) Take(item *Item[T]) {
	f := item.flow
	if f == nil {
		return
	}
	t := q.tiers[f.queue.class.Tier]
	t.charge(f, item.Cost)
	t.recordService(f, item.Cost)
	if f.readyIndex >= 0 && !t.withinShare(f) {
		t.dequeue(f)
		t.ahead.Push(f)
	} else if f.aheadIndex >= 0 {
		t.ahead.Fix(f.aheadIndex)
	}
	f.queue.active.Fix(f.classIndex)
	item.runningIn = f
	t.running++
	if f.running++; f.running == 1 {
		t.runningWeight += f.weight
	}
	q.Remove(item)
	q.creditFloors(f.queue, item.Cost)
}

// Done records that an item removed by Take has ended.
func (q *Queue[T]) Done(item *Item[T]) {
	f := item.runningIn
	if f == nil {
		return
	}
	item.runningIn = nil
	t := q.tiers[f.queue.class.Tier]
	t.running--
	if f.running--; f.running == 0 {
		t.runningWeight -= f.weight
		if len(f.items.items) == 0 {
			q.forgetIdle(f)
		}
	}
}

// Underserved reports whether the item's team got less than its share of its
// tier's recent service, while another team got much more than its own.
func (q *Queue[T]) Underserved(item *Item[T]) bool {
	f := item.flow
	if f == nil {
		return false
	}
	t := q.tiers[f.queue.class.Tier]
	return t.crowdedOut(f) && t.servedShare(f) < t.fairShare(f, f)
}

// ExcessRunning estimates by how many of the tier's running items the item's
// flow exceeds its share, but no more than other flows have running. It is zero
// for a flow that does not crowd out others.
func (q *Queue[T]) ExcessRunning(item *Item[T]) float64 {
	f := item.flow
	if f == nil {
		return 0
	}
	t := q.tiers[f.queue.class.Tier]
	served, fair := t.servedShare(f), t.fairShare(f, f)
	if served < overuseFactor*fair {
		return 0
	}
	return float64(t.running) * min(served-fair, 1-served)
}

// CorrectCost corrects the service charged to an item's flow by the difference
// between the item's actual and its estimated cost.
func (q *Queue[T]) CorrectCost(item *Item[T], actual float64) {
	cq, ok := q.classes[item.Class.Name]
	if !ok {
		return
	}
	f, ok := cq.flows[item.Team]
	if !ok {
		return
	}
	f.virtualTime += (actual - item.Cost) / max(f.weight, minimumWeight)
	item.Cost = actual
	t := q.tiers[cq.class.Tier]
	if f.classIndex < 0 {
		return
	}
	cq.active.Fix(f.classIndex)
	t.dequeue(f)
	t.enqueue(f)
}

// ServiceAhead estimates the service in tokens that is dispatched before a new
// item of the flow: the backlog of more important tiers, and the smaller of the
// tier's backlog and the flow's own backlog divided by its share. The floor of
// the class bounds it.
func (q *Queue[T]) ServiceAhead(c *class.Class, team string, weight float64) float64 {
	tokens := 0.0
	for i := range c.Tier {
		tokens += q.tiers[i].backlog
	}
	t := q.tiers[c.Tier]
	w := max(weight*c.Weight, minimumWeight)
	own, classBacklog, total := 0.0, 0.0, t.activeWeight+w
	if cq, ok := q.classes[c.Name]; ok {
		classBacklog = cq.backlog
		if f, ok := cq.flows[team]; ok {
			own = f.backlog
			if f.classIndex >= 0 {
				total = t.activeWeight
			}
			if t.crowdedOut(f) && t.servedShare(f) < t.fairShare(f, f) {
				total = w
			}
		}
	}
	tokens += min(t.backlog, own*total/w)
	return min(tokens, classBacklog/floor(c))
}

// UpdateClass applies new settings of a class to its waiting items. Their
// targets move by the change of the class's target, so that the time that they
// have waited still counts. None is dropped.
func (q *Queue[T]) UpdateClass(c *class.Class) {
	old, ok := q.classes[c.Name]
	if !ok {
		return
	}
	var items []*Item[T]
	for _, f := range old.active.items {
		items = append(items, f.items.items...)
	}
	for _, item := range items {
		q.Remove(item)
	}
	credit := old.credit
	delete(q.classes, c.Name)
	q.classOrder = slices.DeleteFunc(q.classOrder, func(other *classQueue[T]) bool { return other == old })
	for _, item := range items {
		item.Target = item.Target.Add(c.FirstTokenTarget - item.Class.FirstTokenTarget)
		item.Class = c
		q.Push(item)
	}
	if cq, ok := q.classes[c.Name]; ok {
		cq.credit = credit
	}
}

// Items calls yield for each waiting item, in no particular order, until it
// returns false.
func (q *Queue[T]) Items(yield func(*Item[T]) bool) {
	for _, cq := range q.classOrder {
		for _, f := range cq.active.items {
			for _, item := range f.items.items {
				if !yield(item) {
					return
				}
			}
		}
	}
}

// flowOf returns the flow of an item and creates it if needed.
func (q *Queue[T]) flowOf(item *Item[T]) *flow[T] {
	cq, ok := q.classes[item.Class.Name]
	if !ok {
		cq = newClassQueue[T](item.Class)
		q.classes[item.Class.Name] = cq
		q.classOrder = append(q.classOrder, cq)
	}
	f, ok := cq.flows[item.Team]
	if !ok {
		f = newFlow(cq, item.Team)
		cq.flows[item.Team] = f
	}
	return f
}

// forgetIdle drops an empty flow that has nothing running and is not ahead of
// its share, so that memory is bounded by the teams that wait, run or are
// ahead.
func (q *Queue[T]) forgetIdle(f *flow[T]) {
	if f.running == 0 && f.virtualTime <= q.tiers[f.queue.class.Tier].virtualTime && f.queue.flows[f.team] == f {
		delete(f.queue.flows, f.team)
	}
}
