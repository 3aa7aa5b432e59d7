package engine

import "slices"

// FaultKind is a way in which one answer goes wrong.
type FaultKind uint8

// The faults of an answer.
const (
	// FaultBreak closes the connection after Event events of a stream, or
	// after half of a whole answer.
	FaultBreak FaultKind = iota

	// FaultTruncate ends the stream after Event events as if it were whole.
	FaultTruncate

	// FaultHang sends nothing after Event events and keeps the connection.
	FaultHang

	// FaultDuplicate sends event number Event twice.
	FaultDuplicate

	// FaultSkip leaves event number Event out.
	FaultSkip

	// FaultSwap gives event number Event and the next one each other's number.
	FaultSwap

	// FaultWrongAttempt gives the answer of another attempt, with that one's id.
	FaultWrongAttempt

	// FaultEarlyDone sends the end mark after Event events of a stream, without a
	// finish reason before it.
	FaultEarlyDone

	// FaultLongBody declares fewer bytes of a whole answer than it has, FaultShort
	// more. They leave streams as they are.
	FaultLongBody
	FaultShortBody
)

// Fault makes one answer go wrong.
type Fault struct {
	Kind  FaultKind
	Event int
}

// Inject makes the next answers go wrong, each by one fault, in the order of
// the calls. Resumed streams count as answers.
func (e *Engine) Inject(faults ...Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = append(e.faults, faults...)
}

// BreakAfter cuts the next answer after n events.
func (e *Engine) BreakAfter(n int) { e.Inject(Fault{Kind: FaultBreak, Event: n}) }

// SendWrongAttempt makes the next answer carry another attempt's id.
func (e *Engine) SendWrongAttempt() { e.Inject(Fault{Kind: FaultWrongAttempt}) }

// DuplicateEvent makes the next stream send event number n twice.
func (e *Engine) DuplicateEvent(n int) { e.Inject(Fault{Kind: FaultDuplicate, Event: n}) }

// SetLatencyFactor multiplies the time of all work by factor. A factor of 1 ends it.
func (e *Engine) SetLatencyFactor(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.factor = factor
	e.sample()
}

// BlackholeConnections makes all open connections silent for good while new ones work.
func (e *Engine) BlackholeConnections() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range e.listeners {
		l.Blackhole()
	}
}

// Crash ends all work without an answer and cuts all connections. The engine
// forgets everything but its records and accepts nothing until Restart.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range e.listeners {
		l.Disable()
	}
	for _, j := range e.jobs {
		j.lost = true
	}
	e.cancel()
	e.reset()
}

// Restart makes a crashed engine accept connections again.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range e.listeners {
		l.Enable()
	}
}

// Record returns what the engine remembers of an attempt.
func (e *Engine) Record(attempt string) (Record, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.records[attempt]
	if !ok {
		return Record{}, false
	}
	return *r, true
}

// Records returns what the engine remembers of all attempts.
func (e *Engine) Records() []Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := make([]Record, 0, len(e.records))
	for _, r := range e.records {
		all = append(all, *r)
	}
	return all
}

// Load returns the number of waiting and of running requests, without lag.
func (e *Engine) Load() (waiting, running int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.waiting), len(e.running)
}

// fault takes the fault of the next answer.
func (e *Engine) fault() *Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.faults) == 0 {
		return nil
	}
	f := e.faults[0]
	e.faults = e.faults[1:]
	return &f
}

// Models returns the models that are loaded.
func (e *Engine) Models() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders.models)
}
