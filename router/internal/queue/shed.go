package queue

import "snipetally.example/router/internal/class"

// Sheddable is an item that may be dropped to make room. Only the function
// sheddable creates one, and never for a protected item: code that drops items
// to make room can't refer to a protected one.
type Sheddable[T any] struct {
	item *Item[T]
}

// Item returns the item to drop.
func (s Sheddable[T]) Item() *Item[T] {
	return s.item
}

// sheddable returns the item as a Sheddable, or false if it is protected.
func sheddable[T any](item *Item[T]) (Sheddable[T], bool) {
	if item.Class.Protected {
		return Sheddable[T]{}, false
	}
	return Sheddable[T]{item: item}, true
}

// Victim returns an item to drop in place of a new one of class c and the given
// team: one of the least important tier below c that has one, or else that of
// ClassVictim. It never returns a protected item.
func (q *Queue[T]) Victim(c *class.Class, team string) (Sheddable[T], bool) {
	for i := class.Tiers - 1; i > int(c.Tier); i-- {
		if q.tiers[i].waiting == 0 {
			continue
		}
		if s, ok := q.victimOf(class.Tier(i)); ok {
			return s, true
		}
	}
	return q.ClassVictim(c, team)
}

// ClassVictim returns an item of class c to drop in place of a new one of the
// class and the given team: one of a team whose backlog for its weight is more
// than twice that of the new item's team, plus Quantum. It never returns a
// protected item.
func (q *Queue[T]) ClassVictim(c *class.Class, team string) (Sheddable[T], bool) {
	cq, ok := q.classes[c.Name]
	if !ok {
		return Sheddable[T]{}, false
	}
	f := cq.heaviestFlow()
	if f == nil || f.team == team {
		return Sheddable[T]{}, false
	}
	own := 0.0
	if mine, ok := cq.flows[team]; ok {
		own = mine.backlog / max(mine.weight, minimumWeight)
	}
	if f.backlog/f.weight <= 2*own+Quantum {
		return Sheddable[T]{}, false
	}
	return sheddable(f.items.items[len(f.items.items)-1])
}

// victimOf returns a sheddable item of a tier: one of the first unprotected
// class with more than one waiting item, from the flow with the largest backlog
// for its weight.
func (q *Queue[T]) victimOf(t class.Tier) (Sheddable[T], bool) {
	for _, cq := range q.classOrder {
		if cq.class.Tier != t || cq.waiting <= 1 || cq.class.Protected {
			continue
		}
		f := cq.heaviestFlow()
		return sheddable(f.items.items[len(f.items.items)-1])
	}
	return Sheddable[T]{}, false
}

// heaviestFlow returns the flow with the largest backlog for its weight.
func (cq *classQueue[T]) heaviestFlow() *flow[T] {
	var best *flow[T]
	for _, f := range cq.active.items {
		if best == nil || f.backlog/f.weight > best.backlog/best.weight {
			best = f
		}
	}
	return best
}
