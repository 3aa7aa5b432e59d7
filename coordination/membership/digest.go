package membership

import (
	"cmp"
	"math/bits"
	"slices"
)

// BroadcastQueue holds news that wait to be carried on messages, one value for each
// key. Each is carried a number of times that grows with the logarithm of the
// number of members, those carried least often and changed most recently
// first. It is not safe for concurrent use.
type BroadcastQueue[K comparable, V any] struct {
	items map[K]*item[K, V]
	clock uint64
}

// item is a value with the number of messages that carried it.
type item[K comparable, V any] struct {
	key     K
	value   V
	carried int
	changed uint64
}

// NewBroadcastQueue returns an empty digest.
func NewBroadcastQueue[K comparable, V any]() *BroadcastQueue[K, V] {
	return &BroadcastQueue[K, V]{items: make(map[K]*item[K, V])}
}

// Put adds the value or replaces the one of the same key, and counts its
// messages from zero.
func (d *BroadcastQueue[K, V]) Put(key K, value V) {
	d.clock++
	d.items[key] = &item[K, V]{key: key, value: value, changed: d.clock}
}

// Len returns the number of values that still wait.
func (d *BroadcastQueue[K, V]) Len() int {
	return len(d.items)
}

// Take returns the keys of values of at most budget bytes in all, and drops
// those that have now been carried limit times.
func (d *BroadcastQueue[K, V]) Take(budget, limit int, size func(K, V) int) []K {
	if len(d.items) == 0 {
		return nil
	}
	order := make([]*item[K, V], 0, len(d.items))
	for _, it := range d.items {
		order = append(order, it)
	}
	slices.SortFunc(order, func(a, b *item[K, V]) int {
		return cmp.Or(cmp.Compare(a.carried, b.carried), cmp.Compare(b.changed, a.changed))
	})
	var taken []K
	for _, it := range order {
		cost := size(it.key, it.value)
		if cost > budget {
			break
		}
		budget -= cost
		taken = append(taken, it.key)
		it.carried++
		if it.carried >= limit {
			delete(d.items, it.key)
		}
	}
	return taken
}

// TransmitLimit returns the number of messages that carry one value among n members.
func TransmitLimit(n int) int {
	const factor = 2
	return factor * bits.Len(uint(max(n, 1)))
}
