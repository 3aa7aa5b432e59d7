package placement_test

import (
	"cmp"
	"slices"
	"time"
)

// engineRequest is a request at an engine.
type engineRequest struct {
	priority   int
	parts      []part
	onFirst    func()
	onEnd      func()
	decodeTime time.Duration
}

// part is a part of a prompt.
type part struct {
	id     uint64
	tokens int
}

// engine models an inference engine. It takes the most urgent request when a
// slot is free, runs one prefill after the other without a break, and generates
// answers at the same time. It caches what it processed and evicts the least
// recently used parts.
type engine struct {
	sim      *simulation
	slowdown float64
	// cacheTokens is the number of tokens that the cache holds.
	cacheTokens int
	waiting     []*engineRequest
	running     int
	prefilling  bool

	// cache holds the tokens of each part; lruOrder lists the parts from the
	// least to the most recently used one; cachedTokens is the sum of their
	// tokens.
	cache        map[uint64]int
	lruOrder     []uint64
	cachedTokens int
}

func newEngine(s *simulation) *engine {
	return &engine{sim: s, slowdown: 1, cacheTokens: cacheTokens, cache: make(map[uint64]int)}
}

// submit queues a request.
func (e *engine) submit(r *engineRequest) {
	e.waiting = append(e.waiting, r)
	slices.SortStableFunc(e.waiting, func(a, b *engineRequest) int { return cmp.Compare(a.priority, b.priority) })
	e.startNext()
}

// startNext starts the prefill of the first queued request.
func (e *engine) startNext() {
	if e.prefilling || e.running >= slots || len(e.waiting) == 0 {
		return
	}
	r := e.waiting[0]
	e.waiting = e.waiting[1:]
	e.prefilling = true
	e.running++
	seconds := float64(e.prefill(r.parts)) / prefillSpeed * e.slowdown
	e.sim.schedule(time.Duration(seconds*float64(time.Second)), func() {
		e.prefilling = false
		r.onFirst()
		e.sim.schedule(r.decodeTime, func() {
			e.running--
			r.onEnd()
			e.startNext()
		})
		e.startNext()
	})
}

// prefill returns the number of tokens to process and caches all parts.
func (e *engine) prefill(parts []part) int {
	uncached := 0
	for _, p := range parts {
		if _, ok := e.cache[p.id]; !ok {
			uncached += p.tokens
			e.cachedTokens += p.tokens
		}
		e.cache[p.id] = p.tokens
		e.lruOrder = slices.DeleteFunc(e.lruOrder, func(id uint64) bool { return id == p.id })
		e.lruOrder = append(e.lruOrder, p.id)
	}
	for e.cachedTokens > e.cacheTokens {
		oldest := e.lruOrder[0]
		e.lruOrder = e.lruOrder[1:]
		e.cachedTokens -= e.cache[oldest]
		delete(e.cache, oldest)
	}
	return uncached
}
