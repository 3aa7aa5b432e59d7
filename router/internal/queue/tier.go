package queue

import "math"

// Quantum is the service in tokens by which a flow of weight one may run ahead
// of its share while other flows of the tier wait.
const Quantum = 400

const (
	// overuseFactor is the multiple of its share above which a flow counts as
	// crowding out others.
	overuseFactor = 1.5

	// recentDecay is the factor by which earlier service counts less with each
	// item taken.
	recentDecay = 63.0 / 64
)

// tier holds the flows of all classes of one tier. Flows that are within their
// share are in ready, ordered by their earliest target; flows that are ahead of
// it are in ahead, ordered by their virtual time, until the others have caught
// up or are empty. So shares hold under load, and unused shares go to others.
type tier[T any] struct {
	ready Heap[*flow[T]]
	ahead Heap[*flow[T]]

	// virtualTime is the service in tokens, for each unit of weight, that a
	// flow with items is entitled to.
	virtualTime float64

	// activeWeight is the sum of the weights of the flows that have items.
	activeWeight float64

	// running counts the items of the tier that were taken and are not done;
	// runningWeight is the sum of the weights of the flows that have such
	// items.
	running       int
	runningWeight float64
	waiting       int
	backlog       float64

	// recentService is the decayed sum of the tier's service, in tokens, taken
	// counts the items taken, and topFlow is the flow that got the most recent
	// service for its weight.
	recentService float64
	taken         uint64
	topFlow       *flow[T]
}

// newTier returns a tier without flows.
func newTier[T any]() *tier[T] {
	return &tier[T]{
		ready: Heap[*flow[T]]{
			less:     func(a, b *flow[T]) bool { return a.head().Target.Before(b.head().Target) },
			setIndex: func(f *flow[T], index int) { f.readyIndex = index },
		},
		ahead: Heap[*flow[T]]{
			less:     func(a, b *flow[T]) bool { return a.virtualTime < b.virtualTime },
			setIndex: func(f *flow[T], index int) { f.aheadIndex = index },
		},
	}
}

// next returns the flow to serve, or nil if no item waits.
func (t *tier[T]) next() *flow[T] {
	t.promote()
	if f, ok := t.ready.Top(); ok {
		return f
	}
	f, ok := t.ahead.Top()
	if !ok {
		return nil
	}
	t.virtualTime = f.virtualTime
	t.promote()
	f, _ = t.ready.Top()
	return f
}

// promote moves flows that are within their share from ahead to ready.
func (t *tier[T]) promote() {
	for {
		f, ok := t.ahead.Top()
		if !ok || !t.withinShare(f) {
			return
		}
		t.ahead.Remove(f.aheadIndex)
		t.ready.Push(f)
	}
}

// withinShare reports whether a flow is within its share.
func (t *tier[T]) withinShare(f *flow[T]) bool {
	return f.virtualTime <= t.virtualTime+Quantum/f.weight
}

// activate adds a flow that got its first item. Service that it did not use
// while it was empty is lost.
func (t *tier[T]) activate(f *flow[T]) {
	f.virtualTime = max(f.virtualTime, t.virtualTime)
	t.activeWeight += f.weight
	t.enqueue(f)
}

// enqueue adds a flow to the heap where it belongs.
func (t *tier[T]) enqueue(f *flow[T]) {
	if t.withinShare(f) {
		t.ready.Push(f)
		return
	}
	t.ahead.Push(f)
}

// dequeue removes a flow from its heap.
func (t *tier[T]) dequeue(f *flow[T]) {
	if f.readyIndex >= 0 {
		t.ready.Remove(f.readyIndex)
	}
	if f.aheadIndex >= 0 {
		t.ahead.Remove(f.aheadIndex)
	}
}

// deactivate removes a flow that has no more items.
func (t *tier[T]) deactivate(f *flow[T]) {
	t.dequeue(f)
	t.activeWeight -= f.weight
}

// charge charges service to a flow and advances the virtual time.
func (t *tier[T]) charge(f *flow[T], cost float64) {
	f.virtualTime += cost / f.weight
	if t.activeWeight > 0 {
		t.virtualTime += cost / t.activeWeight
	}
}

// recordService adds to the recent service of the tier and the flow. Earlier
// service counts less with each item taken since.
func (t *tier[T]) recordService(f *flow[T], cost float64) {
	recent := t.recentOf(f)
	t.taken++
	t.recentService = t.recentService*recentDecay + cost
	f.recentService = recent*recentDecay + cost
	f.recentAt = t.taken
	if t.topFlow == nil || f == t.topFlow || f.recentService/f.weight >= t.recentOf(t.topFlow)/t.topFlow.weight {
		t.topFlow = f
	}
}

// recentOf returns the recent service of a flow.
func (t *tier[T]) recentOf(f *flow[T]) float64 {
	return f.recentService * math.Pow(recentDecay, float64(t.taken-f.recentAt))
}

// servedShare returns the flow's share of the tier's recent service, from 0 to
// 1.
func (t *tier[T]) servedShare(f *flow[T]) float64 {
	return t.recentOf(f) / max(t.recentService, 1)
}

// fairShare returns the share, from 0 to 1, that a flow is entitled to among
// the flows with running items, itself and another flow.
func (t *tier[T]) fairShare(f, other *flow[T]) float64 {
	total := t.runningWeight
	if f.running == 0 {
		total += f.weight
	}
	if other != f && other.running == 0 {
		total += other.weight
	}
	return f.weight / max(total, minimumWeight)
}

// crowdedOut reports whether a flow other than f gets much more than its share.
func (t *tier[T]) crowdedOut(f *flow[T]) bool {
	if t.topFlow == nil || t.topFlow == f {
		return false
	}
	return t.servedShare(t.topFlow) > overuseFactor*t.fairShare(t.topFlow, f)
}
