package queue

// Heap is a binary heap that passes on the index of each element, so that any
// element can be removed or moved in logarithmic time.
type Heap[T any] struct {
	items    []T
	less     func(a, b T) bool
	setIndex func(item T, index int)
}

// NewHeap returns an empty heap with the least element at the top. The heap
// calls setIndex with the new index of an element, or -1 once the element has
// been removed.
func NewHeap[T any](less func(a, b T) bool, setIndex func(item T, index int)) Heap[T] {
	return Heap[T]{less: less, setIndex: setIndex}
}

// Len returns the number of elements.
func (h *Heap[T]) Len() int { return len(h.items) }

// Push adds an element.
func (h *Heap[T]) Push(item T) {
	h.items = append(h.items, item)
	h.setIndex(item, len(h.items)-1)
	h.up(len(h.items) - 1)
}

// Top returns the least element.
func (h *Heap[T]) Top() (T, bool) {
	if len(h.items) == 0 {
		var none T
		return none, false
	}
	return h.items[0], true
}

// Remove removes the element at an index.
func (h *Heap[T]) Remove(index int) T {
	last := len(h.items) - 1
	item := h.items[index]
	h.swap(index, last)
	var none T
	h.items[last] = none
	h.items = h.items[:last]
	h.setIndex(item, -1)
	if index < last {
		h.Fix(index)
	}
	return item
}

// Fix restores the order after the element at an index has changed.
func (h *Heap[T]) Fix(index int) {
	if !h.down(index) {
		h.up(index)
	}
}

// up moves an element towards the top.
func (h *Heap[T]) up(index int) {
	for index > 0 {
		parent := (index - 1) / 2
		if !h.less(h.items[index], h.items[parent]) {
			return
		}
		h.swap(index, parent)
		index = parent
	}
}

// down moves an element away from the top and reports whether it moved.
func (h *Heap[T]) down(index int) bool {
	start := index
	for {
		child := 2*index + 1
		if child >= len(h.items) {
			break
		}
		if child+1 < len(h.items) && h.less(h.items[child+1], h.items[child]) {
			child++
		}
		if !h.less(h.items[child], h.items[index]) {
			break
		}
		h.swap(index, child)
		index = child
	}
	return index > start
}

// swap exchanges two elements.
func (h *Heap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.setIndex(h.items[i], i)
	h.setIndex(h.items[j], j)
}
