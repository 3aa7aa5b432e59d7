// Package measure compares scheduling policies in a discrete-event simulation:
// it has a model of the engines in virtual time, synthetic workloads, simple
// policies as baselines, and a table of results. Only tests import it.
package measure

import (
	"container/heap"
	"math"
	"time"
)

// Engine simulates a model engine with continuous batching, a batch that slows
// down as it fills, chunked prefill, a prefix cache, priorities, crashes and
// slowdowns. Token times are computed rather than stepped: every running
// response advances along the common clock of the batch, which counts tokens.
type Engine struct {
	Name string

	// TargetBatch is the number of requests that the engine should run at a
	// time, which load reports give as its slots. MaxBatch is the largest
	// number that it runs.
	TargetBatch int
	MaxBatch    int

	// Speed is 1 for a healthy engine.
	Speed float64

	down     bool
	clockAt  time.Duration
	clock    float64
	waiting  attemptHeap
	prefill  []*Attempt
	chunkEnd time.Duration
	decoding attemptHeap
	cache    *prefixCache
	sequence int
	version  int
}

// Attempt is one attempt to run a job on an engine.
type Attempt struct {
	Job      *Job
	Priority int

	engine       *Engine
	arrivalOrder int
	startClock   float64
	finishClock  float64
	cachedTokens int
	cacheChecked bool
	promptLeft   int
	index        int
	state        attemptState
}

type attemptState uint8

const (
	attemptWaiting attemptState = iota
	attemptPrefill
	attemptDecoding
	attemptDone
)

const (
	baseTokenLatency       = 16 * time.Millisecond
	tokenLatencyPerRequest = 1100 * time.Microsecond
	prefillSlowdown        = 1.15
	prefillTokensPerSecond = 8000.0
	blockTokens            = 256

	// prefillChunk is the number of prompt tokens that are processed in one
	// step.
	prefillChunk = 512
	cacheBlocks  = 600
)

// newEngine returns an idle engine.
func newEngine(name string, slots int) *Engine {
	return &Engine{
		Name:        name,
		TargetBatch: slots,
		MaxBatch:    slots * 3 / 2,
		Speed:       1,
		waiting:     attemptHeap{goesBefore: isAdmittedBefore},
		decoding:    attemptHeap{goesBefore: endsBefore},
		cache:       newPrefixCache(cacheBlocks),
	}
}

// outstanding returns the numbers of waiting and of running requests.
func (e *Engine) outstanding() (waiting, running int) {
	return e.waiting.Len(), len(e.prefill) + e.decoding.Len()
}

// tokenLatency returns the time between two tokens of a response at the current
// batch size.
func (e *Engine) tokenLatency() time.Duration {
	n := e.decoding.Len()
	perToken := float64(baseTokenLatency) + float64(tokenLatencyPerRequest)*float64(n)
	if len(e.prefill) > 0 {
		perToken *= prefillSlowdown
	}
	return time.Duration(perToken / e.Speed)
}

// advance moves the clock of the batch to now.
func (e *Engine) advance(now time.Duration) {
	if e.decoding.Len() > 0 {
		e.clock += float64(now-e.clockAt) / float64(e.tokenLatency())
	}
	e.clockAt = now
}

// submit queues an attempt and starts it if the batch has room.
func (e *Engine) submit(now time.Duration, a *Attempt) {
	e.advance(now)
	a.engine = e
	a.arrivalOrder = e.sequence
	e.sequence++
	heap.Push(&e.waiting, a)
	e.admit(now)
}

// admit starts the prefill of waiting attempts while the batch has room.
func (e *Engine) admit(now time.Duration) {
	for e.waiting.Len() > 0 && len(e.prefill)+e.decoding.Len() < e.MaxBatch {
		a := heap.Pop(&e.waiting).(*Attempt)
		a.state = attemptPrefill
		e.prefill = append(e.prefill, a)
		if len(e.prefill) == 1 {
			e.startChunk(now)
		}
	}
}

// startChunk starts the next chunk of prefill, of the attempt with the highest
// priority.
func (e *Engine) startChunk(now time.Duration) {
	at := 0
	for i, a := range e.prefill {
		if a.Priority < e.prefill[at].Priority {
			at = i
		}
	}
	e.prefill[0], e.prefill[at] = e.prefill[at], e.prefill[0]
	a := e.prefill[0]
	if !a.cacheChecked {
		a.cacheChecked = true
		a.cachedTokens = e.cache.lookup(a.Job.Request.Prefixes) * blockTokens
		a.cachedTokens = min(a.cachedTokens, a.Job.Request.PromptTokens)
		a.promptLeft = a.Job.Request.PromptTokens - a.cachedTokens
	}
	chunk := min(a.promptLeft, prefillChunk)
	a.promptLeft -= chunk
	seconds := float64(chunk) / prefillTokensPerSecond / e.Speed
	e.chunkEnd = now + time.Duration(seconds*float64(time.Second)) + time.Millisecond
}

// nextEvent returns when the engine must be stepped next.
func (e *Engine) nextEvent() time.Duration {
	at := time.Duration(math.MaxInt64)
	if len(e.prefill) > 0 {
		at = e.chunkEnd
	}
	if e.decoding.Len() > 0 {
		left := max(e.decoding.attempts[0].finishClock-e.clock, 0)
		finish := e.clockAt + time.Duration(left*float64(e.tokenLatency())) + time.Microsecond
		at = min(at, finish)
	}
	return at
}

// step does what is due: at most one chunk of prefill and all responses that
// are complete. It returns the attempt that got its first token and the
// attempts that ended.
func (e *Engine) step(now time.Duration) (*Attempt, []*Attempt) {
	e.advance(now)
	var first *Attempt
	var ended []*Attempt
	if len(e.prefill) > 0 && now >= e.chunkEnd && e.prefill[0].promptLeft > 0 {
		e.startChunk(now)
	} else if len(e.prefill) > 0 && now >= e.chunkEnd {
		first = e.prefill[0]
		e.prefill = e.prefill[1:]
		first.state = attemptDecoding
		first.startClock = e.clock
		first.finishClock = e.clock + float64(first.Job.Length-1)
		heap.Push(&e.decoding, first)
		if len(e.prefill) > 0 {
			e.startChunk(now)
		}
	}
	const slack = 1e-6
	for e.decoding.Len() > 0 && e.decoding.attempts[0].finishClock <= e.clock+slack {
		a := heap.Pop(&e.decoding).(*Attempt)
		a.state = attemptDone
		ended = append(ended, a)
	}
	e.admit(now)
	return first, ended
}

// tokens returns the number of tokens that an attempt has generated.
func (e *Engine) tokens(a *Attempt) int {
	switch a.state {
	case attemptDecoding:
		return 1 + int(e.clock-a.startClock)
	case attemptDone:
		return a.Job.Length
	}
	return 0
}

// cancel ends an attempt early.
func (e *Engine) cancel(now time.Duration, a *Attempt) {
	e.advance(now)
	switch a.state {
	case attemptWaiting:
		heap.Remove(&e.waiting, a.index)
	case attemptDecoding:
		heap.Remove(&e.decoding, a.index)
	case attemptPrefill:
		for i := range e.prefill {
			if e.prefill[i] != a {
				continue
			}
			e.prefill = append(e.prefill[:i:i], e.prefill[i+1:]...)
			if i == 0 && len(e.prefill) > 0 {
				e.startChunk(now)
			}
			break
		}
	}
	a.state = attemptDone
	e.admit(now)
}

// crash drops all attempts and the cache, and returns the attempts that were
// lost.
func (e *Engine) crash(now time.Duration) []*Attempt {
	e.advance(now)
	var lost []*Attempt
	lost = append(lost, e.waiting.attempts...)
	lost = append(lost, e.prefill...)
	lost = append(lost, e.decoding.attempts...)
	e.waiting.attempts, e.prefill, e.decoding.attempts = nil, nil, nil
	e.cache = newPrefixCache(cacheBlocks)
	e.down = true
	e.version++
	return lost
}
