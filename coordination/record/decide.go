package record

import "context"

// decideFromTable reads the record and decides, or returns the state from which
// begin continues.
func (r *Recorder) decideFromTable(ctx context.Context, call *Call, loc location, state beginState) (Decision, beginState) {
	s, version, err := r.loadRecord(ctx, loc)
	if err != nil {
		return r.readAgain(state)
	}
	state.readFirst = false
	state.version = version
	state.replaces = ""
	if s == nil {
		return Decision{}, state
	}
	if s.fingerprint != call.Fingerprint {
		return Decision{Kind: Mismatch}, state
	}
	o, err := r.outcomeOf(ctx, s)
	if err != nil {
		return r.readAgain(state)
	}
	state.replaces = s.attempt
	return r.decideByOutcome(ctx, call, loc, s, &o, state)
}

// readAgain returns the state in which begin reads the record again.
func (r *Recorder) readAgain(state beginState) (Decision, beginState) {
	state.readFirst = true
	return Decision{}, state
}

// outcomeOf returns what is known of the outcome of a record's attempt.
func (r *Recorder) outcomeOf(ctx context.Context, s *storedRecord) (storedOutcome, error) {
	if s.settled.State != OutcomeNone {
		return s.settled, nil
	}
	r.mu.Lock()
	a := r.attempts[s.attempt]
	if a != nil && a.phase == phaseEnded {
		o := a.outcome
		r.mu.Unlock()
		return o, nil
	}
	r.mu.Unlock()
	if a != nil {
		return storedOutcome{}, nil
	}
	rows, err := readRows(ctx, &r.config, &r.count, s.page)
	if err != nil {
		return storedOutcome{}, err
	}
	return findOutcome(rows[0].Value, s.attempt)
}

// decideByOutcome decides by a record and what is known of its outcome.
func (r *Recorder) decideByOutcome(ctx context.Context, call *Call, loc location, s *storedRecord, o *storedOutcome, state beginState) (Decision, beginState) {
	switch o.State {
	case OutcomeDone:
		return r.replay(ctx, o), state
	case OutcomeNotRun:
		state.notRun = s.attempt
		return Decision{}, state
	case OutcomeUnknown:
		return r.probe(ctx, loc, s, state)
	case OutcomeNone:
	}
	if elapsed(s.startedAt) > r.config.Retention {
		return Decision{Kind: Expired}, state
	}
	r.mu.Lock()
	a := r.attempts[s.attempt]
	r.mu.Unlock()
	if a != nil {
		return Decision{Kind: Join, Join: r.joinLocal(call, a)}, state
	}
	if r.canAsk(s, state) {
		running := &RunningAttempt{recorder: r, call: call, vm: s.vm, incarnation: s.incarnation, attempt: s.attempt}
		return Decision{Kind: Join, Join: running}, state
	}
	return r.probe(ctx, loc, s, state)
}

// canAsk reports whether the router that runs the attempt may still know its
// outcome.
func (r *Recorder) canAsk(s *storedRecord, state beginState) bool {
	if r.config.Peers == nil || s.attempt == state.unresolved || s.incarnation == r.config.Incarnation {
		return false
	}
	return r.config.Liveness == nil || r.config.Liveness.Live(s.vm, s.incarnation)
}

// replay decides by an attempt that is done. It reads a large response from the
// object store.
func (r *Recorder) replay(ctx context.Context, o *storedOutcome) Decision {
	if o.Response != nil {
		return Decision{Kind: Replay, Response: o.Response}
	}
	if o.object == "" || r.config.Store == nil {
		return Decision{Kind: Unknown, Ran: true}
	}
	data, err := r.config.Store.Get(ctx, o.object)
	if err != nil {
		return Decision{Kind: Unknown, Ran: true}
	}
	response, err := decodeResponse(data)
	if err != nil {
		return Decision{Kind: Unknown, Ran: true}
	}
	return Decision{Kind: Replay, Response: response}
}

// probe asks the backend server about an attempt whose router can't tell the
// outcome. Another attempt may run only if the server reports that this one did
// not run and is refused from now on.
func (r *Recorder) probe(ctx context.Context, loc location, s *storedRecord, state beginState) (Decision, beginState) {
	if r.config.Prober == nil || s.target == "" {
		return Decision{Kind: Unknown}, state
	}
	r.count.probes.Add(1)
	r.config.observe(ctx, StepProbe)
	report, err := r.config.Prober.Probe(ctx, s.target, s.attempt)
	r.config.observe(ctx, StepProbeDone)
	switch {
	case err != nil:
		return Decision{Kind: Unknown}, state
	case report.State == ReportRunning:
		return Decision{Kind: Unknown, Running: true}, state
	case report.State == ReportNotRun:
		state.notRun = s.attempt
		return Decision{}, state
	case report.State == ReportDone && report.Response != nil:
		r.storeProbedResponse(ctx, loc, s, report.Response, state.version)
		return Decision{Kind: Replay, Response: report.Response}, state
	case report.State == ReportDone:
		return Decision{Kind: Unknown, Ran: true}, state
	}
	return Decision{Kind: Unknown}, state
}

// storeProbedResponse stores a response that the backend server reported.
// Decisions are correct without it, so a failure is ignored.
func (r *Recorder) storeProbedResponse(ctx context.Context, loc location, s *storedRecord, response *Response, version uint64) {
	updated := *s
	updated.settled = storedOutcome{Outcome: Outcome{State: OutcomeDone, Response: response}}
	if response.size() > r.config.MaxInline {
		updated.settled = r.storeLargeProbedResponse(ctx, s, response)
	}
	value, err := encodeRecord(&updated)
	if err != nil {
		return
	}
	r.config.observe(ctx, StepReplace)
	ctx, cancel := context.WithTimeout(ctx, r.config.CallTimeout)
	defer cancel()
	r.submit(ctx, Entry{
		Partner:  loc.partner,
		Row:      loc.row,
		Slot:     loc.slot,
		Value:    value,
		Version:  version,
		Replaces: s.attempt,
		Attempt:  s.attempt,
	})
}

// storeLargeProbedResponse stores a large response that the backend server
// reported in the object store, and returns the outcome that refers to it.
func (r *Recorder) storeLargeProbedResponse(ctx context.Context, s *storedRecord, response *Response) storedOutcome {
	o := storedOutcome{Outcome: Outcome{State: OutcomeDone, Omitted: true}}
	if r.config.Store == nil {
		return o
	}
	object, err := r.storeResponse(ctx, hourString(s.startedAt), s.attempt, response)
	if err == nil {
		o.object = object
		o.Omitted = false
	}
	return o
}
