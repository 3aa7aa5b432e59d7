// Package queue orders the requests that wait for one kind of server: strictly
// by tier, with a guaranteed floor for each class, by weighted shares between
// classes and teams within a tier, and by target time within a team's share. It
// is pure code on plain data, is not safe for concurrent use, and imports no
// other package of the router than class.
package queue

import (
	"time"

	"snipetally.example/router/internal/class"
)

// Item is a waiting request. T is the type of the data that the owner of the
// queue attaches to it.
type Item[T any] struct {
	Class *class.Class
	Team  string

	// Weight is the team's weight among the teams of the class.
	Weight float64

	// Cost is the estimated service in tokens.
	Cost float64

	// Size is the number of bytes that the item holds.
	Size int

	// Target is the time by which the item must be dispatched to meet the
	// target of its class.
	Target time.Time
	Value  T

	flow      *flow[T]
	runningIn *flow[T]
	index     int
}

// Waiting reports whether the item is in a queue.
func (i *Item[T]) Waiting() bool {
	return i.flow != nil
}

// flow holds the waiting items of one team in one class.
type flow[T any] struct {
	team   string
	queue  *classQueue[T]
	weight float64

	// virtualTime is the service charged to the flow, in tokens divided by its
	// weight.
	virtualTime float64
	items       Heap[*Item[T]]
	backlog     float64

	// running counts the flow's items that were taken and are not done.
	running int

	// recentService is the decayed sum of the flow's service, in tokens, as of
	// recentAt in the tier's count of taken items.
	recentService float64
	recentAt      uint64

	// readyIndex, aheadIndex and classIndex are indexes in the heaps of the
	// tier and of the class, or -1.
	readyIndex, aheadIndex, classIndex int
}

// classQueue holds the flows of one class.
type classQueue[T any] struct {
	class *class.Class
	flows map[string]*flow[T]

	// active holds the flows that have items, ordered by their virtual time.
	active  Heap[*flow[T]]
	waiting int
	backlog float64

	// credit is the service in tokens that the floor owes to the class.
	credit float64
}

// newFlow returns an empty flow.
func newFlow[T any](cq *classQueue[T], team string) *flow[T] {
	return &flow[T]{
		team:  team,
		queue: cq,
		items: Heap[*Item[T]]{
			less:     func(a, b *Item[T]) bool { return a.Target.Before(b.Target) },
			setIndex: func(i *Item[T], index int) { i.index = index },
		},
		readyIndex: -1,
		aheadIndex: -1,
		classIndex: -1,
	}
}

// newClassQueue returns an empty classQueue.
func newClassQueue[T any](c *class.Class) *classQueue[T] {
	return &classQueue[T]{
		class: c,
		flows: make(map[string]*flow[T]),
		active: Heap[*flow[T]]{
			less:     func(a, b *flow[T]) bool { return a.virtualTime < b.virtualTime },
			setIndex: func(f *flow[T], index int) { f.classIndex = index },
		},
	}
}

// head returns the item of the flow with the earliest target.
func (f *flow[T]) head() *Item[T] {
	return f.items.items[0]
}
