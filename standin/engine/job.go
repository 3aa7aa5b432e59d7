package engine

import (
	"context"
	"slices"
	"time"
)

// State is where an attempt stands.
type State string

// The states of an attempt.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateDone      State = "done"
	StateCancelled State = "cancelled" //nolint:misspell // The protocol spells it so.
	StateAbsent    State = "absent"
)

// Record is what an engine remembers of an attempt for tests. It survives a
// crash of the engine.
type Record struct {
	Attempt string
	Model   string

	// Arrivals is how often the request arrived, Runs how often it started.
	Arrivals int
	Starts   int

	// OutputTokens is the number of tokens made, Cached that of prompt tokens that
	// were found in the cache.
	OutputTokens int
	CachedTokens int
	Priority     int
	State        State
}

// job is one request on the engine. Its fields are guarded by the engine's
// lock, but for those that are set once.
type job struct {
	attempt string
	body    []byte
	request completion
	chat    bool
	prompt  string
	length  int
	finish  string
	record  *Record

	sequence uint64
	priority int
	state    State
	tokens   int
	cached   int
	events   [][]byte
	readers  int

	// lost is set when the engine crashed.
	lost    bool
	start   chan struct{}
	changed chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc
}

// enqueue adds a job that the caller built and starts its goroutine. The caller
// holds e.mu.
func (e *Engine) enqueue(j *job) {
	e.sequence++
	j.sequence = e.sequence
	j.state = StateQueued
	j.start = make(chan struct{})
	j.changed = make(chan struct{})
	j.ctx, j.cancel = context.WithCancel(e.ctx)
	e.jobs[j.attempt] = j
	e.waiting = append(e.waiting, j)
	e.group.Go(func() { e.run(j) })
	e.admit()
}

// admit starts waiting jobs, the most urgent first, while slots are free. The
// caller holds e.mu.
func (e *Engine) admit() {
	for len(e.running) < e.config.Slots && len(e.waiting) > 0 {
		next := slices.MinFunc(e.waiting, compareJobs)
		e.unqueue(next)
		e.running[next] = struct{}{}
		next.state = StateRunning
		next.record.Starts++
		close(next.start)
	}
	e.sample()
}

// compareJobs orders jobs by priority and then by arrival.
func compareJobs(a, b *job) int {
	if a.priority != b.priority {
		return a.priority - b.priority
	}
	return int(a.sequence) - int(b.sequence)
}

// unqueue takes a job from the waiting ones. The caller holds e.mu.
func (e *Engine) unqueue(j *job) {
	e.waiting = slices.DeleteFunc(e.waiting, func(other *job) bool { return other == j })
}

// run takes a job from its arrival to its end.
func (e *Engine) run(j *job) {
	defer e.end(j)
	select {
	case <-j.start:
	case <-j.ctx.Done():
		return
	}
	if !pause(j.ctx, e.prefill(j)) {
		return
	}
	for j.tokens < j.length {
		if !pause(j.ctx, e.step()) {
			return
		}
		e.emit(j)
	}
}

// prefill returns how long the prompt takes and puts it into the cache.
func (e *Engine) prefill(j *job) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	prefixes := PrefixHashes(j.prompt)
	hit := e.cache.match(prefixes)
	j.cached = hit * blockBytes / bytesPerToken
	j.record.CachedTokens = j.cached
	e.cache.keep(prefixes)
	blocks := len(j.prompt)/blockBytes + 1 - hit
	return time.Duration(float64(blocks) * float64(e.config.PrefillPerBlock) * e.factor)
}

// step returns the time for the next token.
func (e *Engine) step() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.pace()
}

// pace returns the time for a token with what runs now. The caller holds e.mu.
func (e *Engine) pace() time.Duration {
	batch := 1 + e.config.BatchSlowdown*float64(max(len(e.running)-1, 0))
	return time.Duration(float64(e.config.TokenLatency) * batch * e.factor)
}

// emit makes the next token.
func (e *Engine) emit(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if j.ctx.Err() != nil {
		return
	}
	j.events = append(j.events, j.chunk(word(j.prompt, j.tokens), ""))
	j.tokens++
	j.record.OutputTokens++
	j.signal()
}

// end settles a job that is complete, canceled or lost, and frees its slot.
func (e *Engine) end(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j.state = StateCancelled
	if j.tokens == j.length && !j.lost && j.ctx.Err() == nil {
		j.state = StateDone
		j.events = append(j.events, j.closing()...)
		e.retain(j)
	}
	j.record.State = j.state
	j.cancel()
	e.unqueue(j)
	delete(e.running, j)
	j.signal()
	if !j.lost {
		e.admit()
	}
}

// retain keeps a finished answer for a while. The caller holds e.mu.
func (e *Engine) retain(j *job) {
	e.finished = append(e.finished, j)
	if len(e.finished) > keptAnswers {
		e.finished[0].events = nil
		e.finished = e.finished[1:]
	}
}

// signal wakes all who wait for a change of the job. The caller holds e.mu.
func (j *job) signal() {
	close(j.changed)
	j.changed = make(chan struct{})
}

// ended reports whether nothing more will come. The caller holds e.mu.
func (j *job) ended() bool {
	return j.state == StateDone || j.state == StateCancelled
}

// pause waits and reports whether the context still holds.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
