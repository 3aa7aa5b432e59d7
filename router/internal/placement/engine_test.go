package placement_test

import (
	"cmp"
	"slices"
	"time"
)

// engineModel holds the properties of an inference engine.
type engineModel struct {
	// slots is the number of requests that run at once; cacheTokens is the
	// number of tokens that the KV cache holds.
	slots       int
	cacheTokens int

	// chunkTokens is the number of prompt tokens that one step processes at
	// most, and prefillSpeed how many of them take a second.
	chunkTokens  int
	prefillSpeed float64

	// stepTime and stepTimePerRequest are the time of a decode step of an empty
	// batch, and what each running request adds to it.
	stepTime           time.Duration
	stepTimePerRequest time.Duration

	// tokensPerEvent is the number of tokens in an event of a stream.
	tokensPerEvent int
}

// part is a part of a prompt.
type part struct {
	id     uint64
	tokens int
}

// engineRequest is a request at an engine.
type engineRequest struct {
	priority     int
	parts        []part
	outputTokens int
	deadline     time.Time

	// canceled makes the engine drop the request at the end of a step.
	canceled bool

	// onStart is called with the number of prompt tokens to process when the
	// request gets a slot, onEvent with each event, onEnd when the request is complete,
	// and onExpired when its deadline passes before that.
	onStart   func(uncachedTokens int)
	onEvent   func()
	onEnd     func()
	onExpired func()

	// prefillLeft is the number of prompt tokens still to process, chunk the
	// part of them in the current step, and generated the number of output
	// tokens.
	prefillLeft int
	chunk       int
	generated   int
}

// tokens returns the memory that the request takes beside the parts that it
// shares with others.
func (r *engineRequest) tokens() int { return r.parts[len(r.parts)-1].tokens + r.outputTokens }

// engine models an inference engine with continuous batching. Each step
// processes a chunk of the waiting prompts and generates one token for each
// other running request, so that long prompts delay the tokens of all requests
// that run beside them. The engine takes the most urgent request when a slot is
// free, caches what it processed, and evicts the least recently used parts.
type engine struct {
	sim      *simulation
	model    engineModel
	slowdown float64
	waiting  []*engineRequest
	running  []*engineRequest
	stepping bool

	// pausedUntil is until when the engine stands still.
	pausedUntil time.Time

	// cache holds the tokens of each part; lruOrder lists the parts from the
	// least to the most recently used one; cachedTokens is the sum of their
	// tokens, and runningTokens that of the running requests.
	cache         map[uint64]int
	lruOrder      []uint64
	cachedTokens  int
	runningTokens int

	// processedTokens counts the prompt tokens that were processed.
	processedTokens int
}

func newEngine(s *simulation, model engineModel) *engine {
	return &engine{sim: s, model: model, slowdown: 1, cache: make(map[uint64]int)}
}

// submit queues a request.
func (e *engine) submit(r *engineRequest) {
	e.waiting = append(e.waiting, r)
	slices.SortStableFunc(e.waiting, byPriority)
	if !e.stepping {
		e.step()
	}
}

func byPriority(a, b *engineRequest) int { return cmp.Compare(a.priority, b.priority) }

// step starts a step of the batch.
func (e *engine) step() {
	e.admit()
	e.stepping = len(e.running) > 0
	if !e.stepping {
		return
	}
	left := e.model.chunkTokens
	for _, r := range e.running {
		r.chunk = min(left, r.prefillLeft)
		left -= r.chunk
	}
	processed := e.model.chunkTokens - left
	e.processedTokens += processed
	seconds := (e.model.stepTime + time.Duration(len(e.running))*e.model.stepTimePerRequest).Seconds() +
		float64(processed)/e.model.prefillSpeed
	e.sim.schedule(time.Duration(seconds*e.slowdown*float64(time.Second)), e.endStep)
}

// admit moves waiting requests into free slots while memory lasts.
func (e *engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.model.slots {
		r := e.waiting[0]
		if len(e.running) > 0 && e.runningTokens+r.tokens() > e.model.cacheTokens {
			return
		}
		e.waiting = e.waiting[1:]
		e.runningTokens += r.tokens()
		r.prefillLeft = max(e.uncachedTokens(r.parts), 1)
		r.onStart(r.prefillLeft)
		e.running = append(e.running, r)
		slices.SortStableFunc(e.running, byPriority)
	}
}

// endStep ends a step and starts the next one.
func (e *engine) endStep() {
	if left := e.pausedUntil.Sub(e.sim.now); left > 0 {
		e.sim.schedule(left, e.endStep)
		return
	}
	running := e.running
	e.running = nil
	for _, r := range running {
		if e.advance(r) {
			e.running = append(e.running, r)
			continue
		}
		e.runningTokens -= r.tokens()
	}
	e.step()
}

// advance applies a step to a request and reports whether it goes on.
func (e *engine) advance(r *engineRequest) bool {
	if r.canceled {
		return false
	}
	if e.sim.now.After(r.deadline) {
		r.onExpired()
		return false
	}
	if r.prefillLeft > 0 {
		r.prefillLeft -= r.chunk
		if r.prefillLeft > 0 {
			return true
		}
		e.store(r.parts[:len(r.parts)-1])
	}
	r.generated++
	ended := r.generated >= r.outputTokens
	if ended || r.generated%e.model.tokensPerEvent == 0 {
		r.onEvent()
	}
	if ended {
		r.onEnd()
	}
	return !ended
}

// uncachedTokens returns the tokens from the first part on that is not cached.
func (e *engine) uncachedTokens(parts []part) int {
	uncached, cached := 0, true
	for _, p := range parts {
		_, ok := e.cache[p.id]
		cached = cached && ok
		if !cached {
			uncached += p.tokens
		}
	}
	return uncached
}

// store caches the parts of a prompt.
func (e *engine) store(parts []part) {
	for _, p := range parts {
		if _, ok := e.cache[p.id]; !ok {
			e.cachedTokens += p.tokens
		}
		e.cache[p.id] = p.tokens
		e.lruOrder = slices.DeleteFunc(e.lruOrder, func(id uint64) bool { return id == p.id })
		e.lruOrder = append(e.lruOrder, p.id)
	}
	for len(e.lruOrder) > 0 && e.cachedTokens+e.runningTokens > e.model.cacheTokens {
		oldest := e.lruOrder[0]
		e.lruOrder = e.lruOrder[1:]
		e.cachedTokens -= e.cache[oldest]
		delete(e.cache, oldest)
	}
}
