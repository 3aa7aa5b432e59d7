package measure

// attemptHeap implements heap.Interface and keeps the index of each attempt up to
// date. goesBefore determines the order.
type attemptHeap struct {
	attempts   []*Attempt
	goesBefore func(a, b *Attempt) bool
}

func (h *attemptHeap) Len() int { return len(h.attempts) }

func (h *attemptHeap) Less(i, j int) bool { return h.goesBefore(h.attempts[i], h.attempts[j]) }

func (h *attemptHeap) Swap(i, j int) {
	h.attempts[i], h.attempts[j] = h.attempts[j], h.attempts[i]
	h.attempts[i].index = i
	h.attempts[j].index = j
}

func (h *attemptHeap) Push(x any) {
	a := x.(*Attempt)
	a.index = len(h.attempts)
	h.attempts = append(h.attempts, a)
}

func (h *attemptHeap) Pop() any {
	last := len(h.attempts) - 1
	a := h.attempts[last]
	h.attempts = h.attempts[:last]
	return a
}

// isAdmittedBefore orders waiting attempts by priority, then by arrival.
func isAdmittedBefore(a, b *Attempt) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.arrivalOrder < b.arrivalOrder
}

// endsBefore orders decoding attempts by the clock value at which they end.
func endsBefore(a, b *Attempt) bool { return a.finishClock < b.finishClock }
