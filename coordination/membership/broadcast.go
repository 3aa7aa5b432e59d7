package membership

import (
	"cmp"
	"math/bits"
	"slices"
)

// BroadcastQueue holds updates that are waiting to be sent along with other
// messages, one value for each key. Each value is sent a number of times that
// grows with the logarithm of the number of members; those sent least often and
// changed most recently go first. It is not safe for concurrent use.
type BroadcastQueue[K comparable, V any] struct {
	items        map[K]*queuedBroadcast[K, V]
	lastSequence uint64
}

// queuedBroadcast is a value with the number of times it was sent.
type queuedBroadcast[K comparable, V any] struct {
	key       K
	value     V
	transmits int
	sequence  uint64
}

// NewBroadcastQueue returns an empty queue.
func NewBroadcastQueue[K comparable, V any]() *BroadcastQueue[K, V] {
	return &BroadcastQueue[K, V]{items: make(map[K]*queuedBroadcast[K, V])}
}

// Put adds the value or replaces the one with the same key, and resets its send
// count.
func (q *BroadcastQueue[K, V]) Put(key K, value V) {
	q.lastSequence++
	q.items[key] = &queuedBroadcast[K, V]{key: key, value: value, sequence: q.lastSequence}
}

// Len returns the number of queued values.
func (q *BroadcastQueue[K, V]) Len() int {
	return len(q.items)
}

// Take returns the keys of values that have at most budget bytes together, and
// drops those that have now been sent limit times.
func (q *BroadcastQueue[K, V]) Take(budget, limit int, size func(K, V) int) []K {
	if len(q.items) == 0 {
		return nil
	}
	order := make([]*queuedBroadcast[K, V], 0, len(q.items))
	for _, it := range q.items {
		order = append(order, it)
	}
	slices.SortFunc(order, func(a, b *queuedBroadcast[K, V]) int {
		return cmp.Or(cmp.Compare(a.transmits, b.transmits), cmp.Compare(b.sequence, a.sequence))
	})
	var taken []K
	for _, it := range order {
		cost := size(it.key, it.value)
		if cost > budget {
			break
		}
		budget -= cost
		taken = append(taken, it.key)
		it.transmits++
		if it.transmits >= limit {
			delete(q.items, it.key)
		}
	}
	return taken
}

// TransmitLimit returns how many messages carry each value in a cluster of the
// given number of members.
func TransmitLimit(members int) int {
	const factor = 2
	return factor * bits.Len(uint(max(members, 1)))
}
