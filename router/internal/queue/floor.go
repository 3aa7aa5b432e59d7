package queue

import (
	"math"

	"snipetally.example/router/internal/class"
)

const (
	// MinimumFloor is the floor of a class that has none or a lower one.
	MinimumFloor = 0.01

	// maxCredit bounds the service that a floor may owe to a class, in tokens.
	maxCredit = 20_000
)

// creditFloors credits the service of one class to the floors of the classes
// that wait.
func (q *Queue[T]) creditFloors(served *classQueue[T], cost float64) {
	for _, other := range q.classOrder {
		if other.waiting == 0 {
			other.credit = 0
			continue
		}
		other.credit = min(other.credit+cost*floor(other.class), maxCredit)
	}
	// A class that gets more than its floor through its tier is owed nothing.
	served.credit = max(served.credit-cost, 0)
}

// dueClass returns the class whose floor owes the most, if that is at least the
// cost of the class's next item.
func (q *Queue[T]) dueClass() *classQueue[T] {
	var best *classQueue[T]
	for _, candidate := range q.classOrder {
		if candidate.waiting == 0 {
			continue
		}
		f, _ := candidate.active.Top()
		if candidate.credit < min(f.head().Cost, maxCredit) {
			continue
		}
		if best == nil || candidate.credit > best.credit {
			best = candidate
		}
	}
	return best
}

// floor returns the effective floor of a class.
func floor(c *class.Class) float64 {
	return math.Max(c.Floor, MinimumFloor)
}
