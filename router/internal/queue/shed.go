package queue

import "snipetally.example/router/internal/class"

// Sheddable is an item that may be dropped to make room. Only sheddable makes
// one, and it makes none of a protected item: no code that drops items to make
// room can name a protected one.
type Sheddable[T any] struct {
	item *Item[T]
}

// Item returns the item to drop.
func (s Sheddable[T]) Item() *Item[T] {
	return s.item
}

// sheddable returns the item as one that may be dropped, if it may.
func sheddable[T any](item *Item[T]) (Sheddable[T], bool) {
	if item.Class.Protected {
		return Sheddable[T]{}, false
	}
	return Sheddable[T]{item: item}, true
}

// Victim returns an item to drop in place of a new one of class c and team: of
// the least important tier below c, or of c's own class and a team that has
// more waiting for its weight than the new item's team. It names no protected
// item.
func (l *Queue[T]) Victim(c *class.Class, team string) (Sheddable[T], bool) {
	for i := class.Tiers - 1; i > int(c.Tier); i-- {
		if l.tiers[i].waiting == 0 {
			continue
		}
		if s, ok := l.worstOf(class.Tier(i)); ok {
			return s, true
		}
	}
	lane, ok := l.lanes[c.Name]
	if !ok {
		return Sheddable[T]{}, false
	}
	f := lane.heaviest()
	if f == nil || f.team == team {
		return Sheddable[T]{}, false
	}
	own := 0.0
	if mine, ok := lane.flows[team]; ok {
		own = mine.backlog / max(mine.weight, minimumWeight)
	}
	if f.backlog/f.weight <= 2*own+Quantum {
		return Sheddable[T]{}, false
	}
	return sheddable(f.items.items[len(f.items.items)-1])
}

// worstOf returns a sheddable item of the heaviest team of a tier.
func (l *Queue[T]) worstOf(t class.Tier) (Sheddable[T], bool) {
	for _, lane := range l.order {
		if lane.class.Tier != t || lane.waiting <= 1 || lane.class.Protected {
			continue
		}
		f := lane.heaviest()
		return sheddable(f.items.items[len(f.items.items)-1])
	}
	return Sheddable[T]{}, false
}

// heaviest returns the flow with the largest backlog for its weight.
func (l *lane[T]) heaviest() *flow[T] {
	var best *flow[T]
	for _, f := range l.own.items {
		if best == nil || f.backlog/f.weight > best.backlog/best.weight {
			best = f
		}
	}
	return best
}
