package caller

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"snipetally.example/router/internal/attempt"
	"snipetally.example/router/internal/link"
	"snipetally.example/router/internal/schedule"
)

// call is a request in the form that is sent to a backend server.
type call struct {
	method string
	path   string
	header http.Header
	body   []byte

	// service is set for calls to a service other than a model engine.
	// reportsStatus is set if the service answers status queries for attempts.
	service       bool
	reportsStatus bool

	// stream is set if the body asks for server-sent events.
	stream bool

	// atMostOnce marks a call that is not idempotent.
	atMostOnce bool
}

// AttemptRunner makes attempts on backend servers. *attempt.Runner implements
// it.
type AttemptRunner interface {
	CallEngine(ctx context.Context, l *link.Link, call attempt.EngineCall, sink attempt.Sink) attempt.Outcome
	CallService(ctx context.Context, l *link.Link, call attempt.ServiceCall, sink attempt.Sink) attempt.Outcome
}

// LinkPool finds the link to a backend server. *link.Pool implements it.
type LinkPool interface {
	Get(address string) *link.Link
}

// minRetryFraction is the fraction of a class's first-token target that must
// remain before the deadline for another attempt to make sense.
const minRetryFraction = 0.25

// execute runs the call and relays its response.
func (api *API) execute(w http.ResponseWriter, in *inbound, c *call, request schedule.Request) *Refusal {
	request = in.schedulingRequest(request, len(c.body))
	if c.atMostOnce && in.idempotencyKey != "" {
		return api.executeAtMostOnce(w, in, c, request)
	}
	in.runKnown = true
	sink := newResponseSink(w, in, api.options.WriteTimeout)
	refusal := api.executeWithRetries(in, c, request, sink)
	if refusal == nil {
		in.timing.finish()
		api.metrics.completed(in.class, &in.timing)
		return nil
	}
	if in.responseStarted {
		sink.writeErrorEvent(refusal)
	}
	return refusal
}

// executeWithRetries makes attempts on one backend server after another, as far
// as the retry policy and the retry budget allow.
func (api *API) executeWithRetries(in *inbound, c *call, request schedule.Request, sink attempt.Sink) *Refusal {
	ran := attempt.RunNo
	for attempts := 1; ; attempts++ {
		grant, err := api.options.Gate.Acquire(in.ctx(), in.fleet, request)
		if err != nil {
			refusal := gateRefusal(err)
			refusal.Run = callerRun(ran)
			return refusal
		}
		outcome := api.runAttempt(in, c, grant, attempt.NewID(), sink)
		ran = combineRuns(ran, outcome.Run)
		if outcome.Complete {
			api.options.RetryBudget.RecordSuccess(in.class.Name)
			return nil
		}
		if !api.shouldRetry(in, c, outcome, attempts) {
			return attemptRefusal(outcome, ran)
		}
		request.Avoid = append(slices.Clip(request.Avoid), grant.Server.Name)
	}
}

// shouldRetry decides whether to make another attempt. If so, it waits for the
// backoff first; it returns false if the caller leaves meanwhile.
func (api *API) shouldRetry(in *inbound, c *call, outcome attempt.Outcome, attempts int) bool {
	decision, backoff := api.options.RetryPolicy.Decide(attempt.RetryInput{
		Last:       outcome,
		Attempts:   attempts,
		AtMostOnce: c.atMostOnce,
		Remaining:  time.Until(in.arrived.Add(in.class.QueueTimeout)),
		Expected:   time.Duration(minRetryFraction * float64(in.class.FirstTokenTarget)),
		Random:     rand.Float64(),
	})
	if decision != attempt.Retry || !api.options.RetryBudget.Take(in.class.Name) {
		return false
	}
	api.options.Log.Info().
		Str("request", in.id).
		Str("class", in.class.Name).
		Str("server", in.server).
		Stringer("reason", outcome.Reason).
		Int("tries", attempts).
		Msg("retrying request")
	timer := time.NewTimer(backoff)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-in.ctx().Done():
		return false
	}
}

// runAttempt makes one attempt on the granted server and closes the grant.
func (api *API) runAttempt(in *inbound, c *call, grant *schedule.Grant, id string, sink attempt.Sink) attempt.Outcome {
	in.server = grant.Server.Name
	l := api.options.Links.Get(grant.Server.Address)
	api.metrics.queued(in.class, grant.Waited)
	timeouts := attempt.TimeoutsFor(in.class, latencyEstimate(grant))
	if c.service {
		outcome := api.options.Attempts.CallService(in.ctx(), l, attempt.ServiceCall{
			AttemptID:     id,
			Method:        c.method,
			Path:          c.path,
			Header:        c.header,
			Body:          c.body,
			AtMostOnce:    c.atMostOnce,
			ReportsStatus: c.reportsStatus,
			Timeouts:      timeouts,
		}, sink)
		grant.Close(scheduleResult(outcome))
		return outcome
	}
	release := &grantRelease{grant: grant}
	outcome := api.options.Attempts.CallEngine(in.ctx(), l, attempt.EngineCall{
		AttemptID: id,
		Path:      c.path,
		Header:    c.header,
		Body:      c.body,
		Priority:  grant.Priority,
		Stream:    c.stream,
		Timeouts:  timeouts,
		Release:   release.engineDone,
	}, &timedSink{Sink: sink, timing: &in.timing, grant: grant})
	release.attemptDone(outcome)
	api.countTokens(in, outcome)
	return outcome
}

// latencyEstimate returns the gate's estimate for the granted server in the form
// that package attempt takes.
func latencyEstimate(grant *schedule.Grant) attempt.LatencyEstimate {
	latency := grant.Latency()
	return attempt.LatencyEstimate{
		FirstToken:          latency.FirstToken,
		FirstTokenDeviation: latency.FirstTokenDeviation,
		BetweenTokens:       latency.BetweenTokens,
	}
}

// grantRelease closes a grant once the outcome of the attempt is known and the
// engine has stopped working on the request.
type grantRelease struct {
	grant *schedule.Grant

	// mu guards the fields below.
	mu             sync.Mutex
	engineReleased bool
	attemptEnded   bool
	result         schedule.Result
}

// engineDone records that the engine no longer works on the request.
func (r *grantRelease) engineDone() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.engineReleased = true
	r.closeIfDone()
}

// attemptDone records the outcome of the attempt.
func (r *grantRelease) attemptDone(outcome attempt.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attemptEnded = true
	r.result = scheduleResult(outcome)
	r.closeIfDone()
}

// closeIfDone closes the grant if both conditions hold. The caller must hold
// r.mu.
func (r *grantRelease) closeIfDone() {
	if r.engineReleased && r.attemptEnded {
		r.grant.Close(r.result)
	}
}

// scheduleResult converts the outcome of an attempt for the gate. A request
// that the server refused or that the caller canceled does not count as a
// failure of the server.
func scheduleResult(outcome attempt.Outcome) schedule.Result {
	r := schedule.Result{Tokens: generatedTokens(outcome)}
	switch {
	case outcome.Complete:
	case outcome.Reason == attempt.Refused, outcome.Reason == attempt.Canceled:
		r.Partial = true
	default:
		r.Failed = true
	}
	return r
}

// generatedTokens returns the number of tokens that an attempt is known to have
// generated.
func generatedTokens(outcome attempt.Outcome) int {
	return max(outcome.Tokens, outcome.Usage.Output)
}

// countTokens counts the tokens of an attempt: the wasted tokens of an
// incomplete one, and those of a non-streaming response, which had no token
// events.
func (api *API) countTokens(in *inbound, outcome attempt.Outcome) {
	if !outcome.Complete {
		api.metrics.wasted(in.class, generatedTokens(outcome))
		in.timing.tokens = 0
		return
	}
	if in.timing.tokens == 0 {
		in.timing.tokens = generatedTokens(outcome)
	}
}

// timedSink records the times of the tokens that pass through it.
type timedSink struct {
	attempt.Sink

	timing *timing
	grant  *schedule.Grant
}

// Event implements attempt.Sink.
func (s *timedSink) Event(e attempt.Event) error {
	if e.Kind == attempt.KindToken {
		s.recordToken()
	}
	return s.Sink.Event(e)
}

// recordToken records a token in the timing of the response and at the gate.
func (s *timedSink) recordToken() {
	now := time.Now()
	if s.timing.tokens == 0 {
		s.timing.firstToken = now
		s.grant.FirstToken(0)
	}
	s.timing.tokens++
	s.timing.lastToken = now
	s.grant.Token(1)
}

// combineRuns returns whether a request ran, given the values of two of its
// attempts. Unknown prevails over yes, and yes over no.
func combineRuns(a, b attempt.Run) attempt.Run {
	if a == attempt.RunUnknown || b == attempt.RunUnknown {
		return attempt.RunUnknown
	}
	if a == attempt.RunYes || b == attempt.RunYes {
		return attempt.RunYes
	}
	return attempt.RunNo
}

// callerRun converts an attempt's Run to the value that the caller sees.
func callerRun(run attempt.Run) Run {
	return Run(run.String())
}
