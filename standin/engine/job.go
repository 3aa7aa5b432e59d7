package engine

import (
	"context"
	"slices"
	"time"

	"snipetally.example/coordination/pause"
)

// State is the state of an attempt.
type State string

// The states of an attempt.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateDone      State = "done"
	StateCancelled State = "cancelled" //nolint:misspell // The protocol spells it so.
	StateAbsent    State = "absent"
)

// Record is the history of an attempt, which tests can query. It survives a crash
// of the engine.
type Record struct {
	Attempt string
	Model   string

	// Arrivals counts how often the request arrived, Starts how often it
	// started to run.
	Arrivals int
	Starts   int

	// OutputTokens is the number of generated tokens, CachedTokens the number
	// of prompt tokens found in the cache.
	OutputTokens int
	CachedTokens int
	Priority     int
	State        State
}

// job is one request on the engine. Its fields are guarded by Engine.mu, except
// those that are set only once.
type job struct {
	attempt      string
	body         []byte
	request      completionRequest
	chat         bool
	prompt       string
	outputLength int
	finishReason string
	record       *Record

	sequence     uint64
	priority     int
	state        State
	outputTokens int
	cachedTokens int
	events       [][]byte
	readers      int

	// crashed is set when the engine crashes.
	crashed bool
	started chan struct{}
	changed chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc
}

// enqueue adds a job to the queue and starts its goroutine. The caller holds
// e.mu.
func (e *Engine) enqueue(j *job) {
	e.sequence++
	j.sequence = e.sequence
	j.state = StateQueued
	j.started = make(chan struct{})
	j.changed = make(chan struct{})
	j.ctx, j.cancel = context.WithCancel(e.ctx)
	e.jobs[j.attempt] = j
	e.waiting = append(e.waiting, j)
	e.workers.Go(func() { e.run(j) })
	e.startWaiting()
}

// startWaiting starts waiting jobs, in the order of compareJobs, while slots are
// free. The caller holds e.mu.
func (e *Engine) startWaiting() {
	for len(e.running) < e.config.Slots && len(e.waiting) > 0 {
		next := slices.MinFunc(e.waiting, compareJobs)
		e.removeWaiting(next)
		e.running[next] = struct{}{}
		next.state = StateRunning
		next.record.Starts++
		close(next.started)
	}
	e.recordLoad()
}

// compareJobs orders jobs by priority, lowest number first, and then by arrival.
func compareJobs(a, b *job) int {
	if a.priority != b.priority {
		return a.priority - b.priority
	}
	return int(a.sequence) - int(b.sequence)
}

// removeWaiting removes a job from the queue. The caller holds e.mu.
func (e *Engine) removeWaiting(j *job) {
	e.waiting = slices.DeleteFunc(e.waiting, func(other *job) bool { return other == j })
}

// run waits for a slot, generates the tokens of the job and finishes it.
func (e *Engine) run(j *job) {
	defer e.finish(j)
	select {
	case <-j.started:
	case <-j.ctx.Done():
		return
	}
	if !pause.For(j.ctx, e.prefill(j)) {
		return
	}
	for j.outputTokens < j.outputLength {
		if !pause.For(j.ctx, e.nextTokenLatency()) {
			return
		}
		e.generateToken(j)
	}
}

// prefill returns the duration of the prefill and adds the prompt to the cache.
func (e *Engine) prefill(j *job) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	prefixes := PrefixHashes(j.prompt)
	cachedBlocks := e.cache.matchLength(prefixes)
	j.cachedTokens = cachedBlocks * blockBytes / bytesPerToken
	j.record.CachedTokens = j.cachedTokens
	e.cache.insert(prefixes)
	uncachedBlocks := len(j.prompt)/blockBytes + 1 - cachedBlocks
	return time.Duration(float64(uncachedBlocks) * float64(e.config.PrefillPerBlock) * e.latencyFactor)
}

// nextTokenLatency returns the latency of the next token. It locks e.mu.
func (e *Engine) nextTokenLatency() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tokenLatency()
}

// tokenLatency returns the latency of a token with the current number of running
// requests. The caller holds e.mu.
func (e *Engine) tokenLatency() time.Duration {
	batchFactor := 1 + e.config.BatchSlowdown*float64(max(len(e.running)-1, 0))
	return time.Duration(float64(e.config.TokenLatency) * batchFactor * e.latencyFactor)
}

// generateToken appends the event of the next token, unless the job is canceled.
func (e *Engine) generateToken(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if j.ctx.Err() != nil {
		return
	}
	j.events = append(j.events, j.encodeChunk(tokenText(j.prompt, j.outputTokens), ""))
	j.outputTokens++
	j.record.OutputTokens++
	j.notifyChange()
}

// finish sets the final state of a job that is complete, canceled or lost in a
// crash, and frees its slot.
func (e *Engine) finish(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j.state = StateCancelled
	if j.outputTokens == j.outputLength && !j.crashed && j.ctx.Err() == nil {
		j.state = StateDone
		j.events = append(j.events, j.finalEvents()...)
		e.retain(j)
	}
	j.record.State = j.state
	j.cancel()
	e.removeWaiting(j)
	delete(e.running, j)
	j.notifyChange()
	if !j.crashed {
		e.startWaiting()
	}
}

// retain keeps the events of a finished job until retainedJobs others have
// finished after it. The caller holds e.mu.
func (e *Engine) retain(j *job) {
	e.finished = append(e.finished, j)
	if len(e.finished) > retainedJobs {
		e.finished[0].events = nil
		e.finished = e.finished[1:]
	}
}

// notifyChange wakes all goroutines that wait for a change of the job. The caller
// holds e.mu.
func (j *job) notifyChange() {
	close(j.changed)
	j.changed = make(chan struct{})
}

// ended reports whether the job is done or canceled. The caller holds e.mu.
func (j *job) ended() bool {
	return j.state == StateDone || j.state == StateCancelled
}
