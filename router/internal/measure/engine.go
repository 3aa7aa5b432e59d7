// Package measure compares ways to schedule requests: a small fake of the
// engines' interface in virtual time, streams of requests, simple policies to
// compare with, and a table of results. It is imported by tests only.
package measure

import (
	"container/heap"
	"math"
	"time"
)

// Engine is a fake of a model engine: continuous batching, a batch that slows
// down as it fills, prefill, a prefix cache, priorities, crash and straggling.
// Token times are worked out, not stepped: every running answer advances along
// the common clock of the batch.
type Engine struct {
	Name string

	// TargetBatch is the number of answers that it runs well; Batch the number that
	// it runs at most.
	TargetBatch int
	MaxBatch    int

	// Speed is one for a healthy engine.
	Speed float64

	// Fixed engines run plain calls, each of the same length.
	Fixed time.Duration

	down     bool
	at       time.Duration
	clock    float64
	waiting  waitHeap
	prefill  []*Attempt
	done     time.Duration
	decoding runHeap
	cache    *cache
	sequence int
	version  int
}

// Attempt is a request on an engine.
type Attempt struct {
	Job      *Job
	Priority int

	engine  *Engine
	order   int
	start   float64
	finish  float64
	cached  int
	looked  bool
	left    int
	index   int
	state   runState
	began   time.Duration
	firstAt time.Duration
}

type runState uint8

const (
	runWaiting runState = iota
	runPrefill
	runDecoding
	runDone
)

const (
	basePace    = 16 * time.Millisecond
	batchPace   = 1100 * time.Microsecond
	prefillPace = 1.15
	prefillRate = 8000.0
	blockTokens = 256

	// prefillChunk is the number of prompt tokens that are taken in at once.
	prefillChunk = 512
	cacheBlocks  = 600
)

// newEngine returns an idle engine.
func newEngine(name string, slots int) *Engine {
	return &Engine{Name: name, TargetBatch: slots, MaxBatch: slots * 3 / 2, Speed: 1, cache: newCache(cacheBlocks)}
}

// outstanding returns the requests that wait and that run.
func (e *Engine) outstanding() (waiting, running int) {
	return len(e.waiting), len(e.prefill) + len(e.decoding)
}

// pace returns the time for a token.
func (e *Engine) pace() time.Duration {
	n := len(e.decoding)
	pace := float64(basePace) + float64(batchPace)*float64(n)
	if len(e.prefill) > 0 {
		pace *= prefillPace
	}
	return time.Duration(pace / e.Speed)
}

// advance moves the clock of the batch to now.
func (e *Engine) advance(now time.Duration) {
	if len(e.decoding) > 0 {
		e.clock += float64(now-e.at) / float64(e.pace())
	}
	e.at = now
}

// submit takes in a run.
func (e *Engine) submit(now time.Duration, r *Attempt) {
	e.advance(now)
	r.engine = e
	r.order = e.sequence
	e.sequence++
	heap.Push(&e.waiting, r)
	e.fill(now)
}

// fill starts the prefill of waiting runs while the batch has room.
func (e *Engine) fill(now time.Duration) {
	for len(e.waiting) > 0 && len(e.prefill)+len(e.decoding) < e.MaxBatch {
		r := heap.Pop(&e.waiting).(*Attempt)
		r.state = runPrefill
		e.prefill = append(e.prefill, r)
		if len(e.prefill) == 1 {
			e.begin(now)
		}
	}
}

// begin starts the next chunk of prefill: of the most urgent run in line.
func (e *Engine) begin(now time.Duration) {
	at := 0
	for i, r := range e.prefill {
		if r.Priority < e.prefill[at].Priority {
			at = i
		}
	}
	e.prefill[0], e.prefill[at] = e.prefill[at], e.prefill[0]
	r := e.prefill[0]
	if !r.looked {
		r.looked = true
		r.cached = e.cache.touch(r.Job.Request.Prefixes) * blockTokens
		r.cached = min(r.cached, r.Job.Request.PromptTokens)
		r.left = r.Job.Request.PromptTokens - r.cached
	}
	chunk := min(r.left, prefillChunk)
	r.left -= chunk
	seconds := float64(chunk) / prefillRate / e.Speed
	e.done = now + time.Duration(seconds*float64(time.Second)) + time.Millisecond
}

// next returns when something happens by itself.
func (e *Engine) next() time.Duration {
	at := time.Duration(math.MaxInt64)
	if len(e.prefill) > 0 {
		at = e.done
	}
	if len(e.decoding) > 0 {
		left := max(e.decoding[0].finish-e.clock, 0)
		finish := e.at + time.Duration(left*float64(e.pace())) + time.Microsecond
		at = min(at, finish)
	}
	return at
}

// step does what is due: at most one prefill and all answers that are whole. It
// returns the run that got its first token and the runs that ended.
func (e *Engine) step(now time.Duration) (*Attempt, []*Attempt) {
	e.advance(now)
	var first *Attempt
	var ended []*Attempt
	if len(e.prefill) > 0 && now >= e.done && e.prefill[0].left > 0 {
		e.begin(now)
	} else if len(e.prefill) > 0 && now >= e.done {
		first = e.prefill[0]
		e.prefill = e.prefill[1:]
		first.state = runDecoding
		first.firstAt = now
		first.start = e.clock
		first.finish = e.clock + float64(first.Job.Length-1)
		heap.Push(&e.decoding, first)
		if len(e.prefill) > 0 {
			e.begin(now)
		}
	}
	const slack = 1e-6
	for len(e.decoding) > 0 && e.decoding[0].finish <= e.clock+slack {
		r := heap.Pop(&e.decoding).(*Attempt)
		r.state = runDone
		ended = append(ended, r)
	}
	e.fill(now)
	return first, ended
}

// tokens returns the tokens that a run has generated.
func (e *Engine) tokens(r *Attempt) int {
	switch r.state {
	case runDecoding:
		return 1 + int(e.clock-r.start)
	case runDone:
		return r.Job.Length
	}
	return 0
}

// cancel ends a run early.
func (e *Engine) cancel(now time.Duration, r *Attempt) {
	e.advance(now)
	switch r.state {
	case runWaiting:
		heap.Remove(&e.waiting, r.index)
	case runDecoding:
		heap.Remove(&e.decoding, r.index)
	case runPrefill:
		for i := range e.prefill {
			if e.prefill[i] != r {
				continue
			}
			e.prefill = append(e.prefill[:i:i], e.prefill[i+1:]...)
			if i == 0 && len(e.prefill) > 0 {
				e.begin(now)
			}
			break
		}
	}
	r.state = runDone
	e.fill(now)
}

// crash drops everything and returns the runs that were lost.
func (e *Engine) crash(now time.Duration) []*Attempt {
	e.advance(now)
	var lost []*Attempt
	lost = append(lost, e.waiting...)
	lost = append(lost, e.prefill...)
	lost = append(lost, e.decoding...)
	e.waiting, e.prefill, e.decoding = nil, nil, nil
	e.cache = newCache(cacheBlocks)
	e.down = true
	e.version++
	return lost
}

// waitHeap orders runs that wait by priority, then by order of entry.
type waitHeap []*Attempt

func (h waitHeap) Len() int { return len(h) }
func (h waitHeap) Less(i, j int) bool {
	if h[i].Priority != h[j].Priority {
		return h[i].Priority < h[j].Priority
	}
	return h[i].order < h[j].order
}
func (h waitHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}
func (h *waitHeap) Push(x any) {
	r := x.(*Attempt)
	r.index = len(*h)
	*h = append(*h, r)
}
func (h *waitHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	*h = old[:len(old)-1]
	return r
}

// runHeap orders runs by the clock at which they end.
type runHeap []*Attempt

func (h runHeap) Len() int           { return len(h) }
func (h runHeap) Less(i, j int) bool { return h[i].finish < h[j].finish }
func (h runHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}
func (h *runHeap) Push(x any) {
	r := x.(*Attempt)
	r.index = len(*h)
	*h = append(*h, r)
}
func (h *runHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	*h = old[:len(old)-1]
	return r
}

// cache is a prefix cache that drops the least recently used block.
type cache struct {
	limit int
	tick  int
	used  map[uint64]int
}

// newCache returns an empty cache.
func newCache(limit int) *cache {
	return &cache{limit: limit, used: make(map[uint64]int)}
}

// touch returns how many leading blocks are cached, and caches all.
func (c *cache) touch(prefixes []uint64) int {
	c.tick++
	found := 0
	for _, p := range prefixes {
		if _, ok := c.used[p]; !ok {
			break
		}
		found++
	}
	for _, p := range prefixes {
		c.used[p] = c.tick
	}
	for len(c.used) > c.limit {
		c.evict()
	}
	return found
}

// evict drops an eighth of the blocks, the least recently used ones.
func (c *cache) evict() {
	ticks := make([]int, 0, len(c.used))
	for _, tick := range c.used {
		ticks = append(ticks, tick)
	}
	bound := quantile(ticks, 8)
	for p, tick := range c.used {
		if tick <= bound {
			delete(c.used, p)
		}
	}
}
