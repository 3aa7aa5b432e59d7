package engine

import "slices"

// FaultKind is a way in which one response fails.
type FaultKind uint8

// The kinds of faults.
const (
	// FaultBreak closes the connection after Event events of a stream, or
	// after half the body of a non-streaming response.
	FaultBreak FaultKind = iota

	// FaultTruncate ends the stream after Event events as if it were complete.
	FaultTruncate

	// FaultHang sends nothing after Event events and keeps the connection
	// open. It affects a non-streaming response only if Event is zero.
	FaultHang

	// FaultDuplicate sends event number Event twice.
	FaultDuplicate

	// FaultSkip omits event number Event.
	FaultSkip

	// FaultSwap exchanges the ids of event number Event and the next one.
	FaultSwap

	// FaultWrongAttempt sends the response of another attempt, with the id of
	// that attempt.
	FaultWrongAttempt

	// FaultEarlyDone sends the done marker after Event events of a stream,
	// without a finish reason before it.
	FaultEarlyDone

	// FaultLongBody sends a non-streaming response whose body is longer than
	// its Content-Length, FaultShortBody one whose body is shorter. They have
	// no effect on streams.
	FaultLongBody
	FaultShortBody
)

// Fault makes one response fail. Event is an event number, counted from 1, or a
// number of events, depending on Kind.
type Fault struct {
	Kind  FaultKind
	Event int
}

// Inject appends faults to the queue, from which each of the next responses takes
// one. Resumed streams count as responses.
func (e *Engine) Inject(faults ...Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = append(e.faults, faults...)
}

// BreakAfter closes the connection of the next response after n events.
func (e *Engine) BreakAfter(n int) { e.Inject(Fault{Kind: FaultBreak, Event: n}) }

// SendWrongAttempt makes the next response that of another attempt.
func (e *Engine) SendWrongAttempt() { e.Inject(Fault{Kind: FaultWrongAttempt}) }

// SetLatencyFactor multiplies the duration of prefill and of each token by
// factor. A factor of 1 restores normal speed.
func (e *Engine) SetLatencyFactor(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.latencyFactor = factor
	e.recordLoad()
}

// BlackholeConnections permanently stops all traffic on the open connections
// without closing them. New connections work.
func (e *Engine) BlackholeConnections() { e.server.Blackhole() }

// Crash aborts all requests without a response and closes all connections. The
// engine loses its state, except the records, the queued faults and the latency
// factor, and accepts no connections until Restart.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.server.Disable()
	for _, j := range e.jobs {
		j.crashed = true
	}
	e.cancel()
	e.reset()
}

// Restart makes a crashed engine accept connections again.
func (e *Engine) Restart() { e.server.Enable() }

// Record returns the record of an attempt and whether there is one.
func (e *Engine) Record(attempt string) (Record, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.records[attempt]
	if !ok {
		return Record{}, false
	}
	return *r, true
}

// Records returns the records of all attempts, in no particular order.
func (e *Engine) Records() []Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	records := make([]Record, 0, len(e.records))
	for _, r := range e.records {
		records = append(records, *r)
	}
	return records
}

// Load returns the current numbers of waiting and running requests, without
// ReportDelay.
func (e *Engine) Load() (waiting, running int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.waiting), len(e.running)
}

// nextFault removes and returns the fault for the next response, or nil.
func (e *Engine) nextFault() *Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.faults) == 0 {
		return nil
	}
	f := e.faults[0]
	e.faults = e.faults[1:]
	return &f
}

// Models returns the loaded models.
func (e *Engine) Models() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orderState.models)
}
