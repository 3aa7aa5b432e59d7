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

// call is a request as it goes to a backend server.
type call struct {
	method string
	path   string
	header http.Header
	body   []byte

	// service is set for calls of a plain service. Tells says that the service
	// answers where an attempt stands.
	service bool
	tells   bool

	// stream asks for server-sent events.
	stream bool

	// once marks a call that is not idempotent.
	once bool
}

// AttemptRunner makes attempts on backend servers. *attempt.Runner is one.
type AttemptRunner interface {
	Engine(ctx context.Context, l *link.Link, call attempt.EngineCall, sink attempt.Sink) attempt.Outcome
	Service(ctx context.Context, l *link.Link, call attempt.ServiceCall, sink attempt.Sink) attempt.Outcome
}

// LinkPool finds the link to a backend server. *link.Pool is one.
type LinkPool interface {
	Get(address string) *link.Link
}

// expectedFirst is the part of a class's target for the first token that must
// be left for another attempt to make sense.
const expectedFirst = 0.25

// perform runs the call and relays its answer.
func (api *API) perform(w http.ResponseWriter, v *inbound, c *call, request schedule.Request) *Refusal {
	request = v.ask(request, len(c.body))
	if c.once && v.key != "" {
		return api.once(w, v, c, request)
	}
	v.settled = true
	answer := newAnswer(w, v, api.options.WriteTimeout)
	refused := api.try(v, c, request, answer)
	if refused == nil {
		v.timing.end()
		api.meter.whole(v.class, &v.timing)
		return nil
	}
	if v.begun {
		answer.cut(refused)
	}
	return refused
}

// try makes attempts on one backend server after the other, as the retry
// policy and the budget allow.
func (api *API) try(v *inbound, c *call, request schedule.Request, sink attempt.Sink) *Refusal {
	ran := attempt.RunNo
	for tries := 1; ; tries++ {
		grant, err := api.options.Gate.Acquire(v.ctx(), v.fleet, request)
		if err != nil {
			refused := gateRefusal(err)
			refused.Run = runOf(ran)
			return refused
		}
		outcome := api.run(v, c, grant, attempt.NewID(), sink)
		ran = worse(ran, outcome.Run)
		if outcome.Complete {
			api.options.RetryBudget.RecordSuccess(v.class.Name)
			return nil
		}
		if !api.again(v, c, outcome, tries) {
			return failure(outcome, ran)
		}
		request.Avoid = append(slices.Clip(request.Avoid), grant.Server.Name)
	}
}

// again decides whether a request is tried again, and waits until then.
func (api *API) again(v *inbound, c *call, outcome attempt.Outcome, tries int) bool {
	verdict, pause := api.options.RetryPolicy.Decide(attempt.RetryInput{
		Last:       outcome,
		Attempts:   tries,
		AtMostOnce: c.once,
		Remaining:  time.Until(v.arrived.Add(v.class.QueueTimeout)),
		Expected:   time.Duration(expectedFirst * float64(v.class.FirstTokenTarget)),
		Random:     rand.Float64(),
	})
	if verdict != attempt.Retry || !api.options.RetryBudget.Take(v.class.Name) {
		return false
	}
	api.options.Log.Info().
		Str("request", v.id).
		Str("class", v.class.Name).
		Str("server", v.server).
		Stringer("reason", outcome.Reason).
		Int("tries", tries).
		Msg("trying again")
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-v.ctx().Done():
		return false
	}
}

// run makes one attempt on the granted server and gives the place back.
func (api *API) run(v *inbound, c *call, grant *schedule.Grant, id string, sink attempt.Sink) attempt.Outcome {
	v.server = grant.Server.Name
	l := api.options.Links.Get(grant.Server.Address)
	api.meter.waited(v.class, grant.Waited)
	progress := attempt.TimeoutsFor(v.class, paceOf(grant))
	if c.service {
		outcome := api.options.Attempts.Service(v.ctx(), l, attempt.ServiceCall{
			AttemptID:     id,
			Method:        c.method,
			Path:          c.path,
			Header:        c.header,
			Body:          c.body,
			AtMostOnce:    c.once,
			ReportsStatus: c.tells,
			Timeouts:      progress,
		}, sink)
		grant.Close(resultOf(outcome))
		return outcome
	}
	held := &place{grant: grant}
	outcome := api.options.Attempts.Engine(v.ctx(), l, attempt.EngineCall{
		AttemptID: id,
		Path:      c.path,
		Header:    c.header,
		Body:      c.body,
		Priority:  grant.Priority,
		Stream:    c.stream,
		Timeouts:  progress,
		Release:   held.release,
	}, &paced{Sink: sink, timing: &v.timing, grant: grant})
	held.end(outcome)
	api.count(v, outcome)
	return outcome
}

// paceOf returns what the gate has learned of the granted server.
func paceOf(grant *schedule.Grant) attempt.LatencyEstimate {
	learned := grant.Latency()
	return attempt.LatencyEstimate{
		First:          learned.FirstToken,
		FirstDeviation: learned.Deviation,
		Between:        learned.BetweenTokens,
	}
}

// place gives a grant back once its outcome is known and the engine no longer
// works on the request.
type place struct {
	grant *schedule.Grant

	// mu guards the fields below.
	mu       sync.Mutex
	released bool
	ended    bool
	result   schedule.Result
}

// release notes that the engine no longer works on the request.
func (p *place) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.released = true
	p.close()
}

// end notes the outcome.
func (p *place) end(outcome attempt.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	p.result = resultOf(outcome)
	p.close()
}

// close gives the grant back if both is known. The caller holds p.mu.
func (p *place) close() {
	if p.released && p.ended {
		p.grant.Close(p.result)
	}
}

// resultOf tells the gate how an attempt ended. What a server refused, and what
// its caller left, says nothing against the server.
func resultOf(outcome attempt.Outcome) schedule.Result {
	r := schedule.Result{Tokens: made(outcome)}
	switch {
	case outcome.Complete:
	case outcome.Reason == attempt.Refused, outcome.Reason == attempt.Canceled:
		r.Partial = true
	default:
		r.Failed = true
	}
	return r
}

// made returns the number of tokens that an attempt is known to have made.
func made(outcome attempt.Outcome) int {
	return max(outcome.Tokens, outcome.Usage.Output)
}

// count notes the tokens of an attempt: those of an answer in one piece, which
// no event told, and those that were made for nothing.
func (api *API) count(v *inbound, outcome attempt.Outcome) {
	if !outcome.Complete {
		api.meter.wasted(v.class, made(outcome))
		v.timing.tokens = 0
		return
	}
	if v.timing.tokens == 0 {
		v.timing.tokens = made(outcome)
	}
}

// paced notes the times of tokens on their way to the caller.
type paced struct {
	attempt.Sink

	timing *timing
	grant  *schedule.Grant
}

// Event implements attempt.Sink.
func (p *paced) Event(e attempt.Event) error {
	if e.Kind == attempt.KindToken {
		p.token()
	}
	return p.Sink.Event(e)
}

func (p *paced) token() {
	now := time.Now()
	if p.timing.tokens == 0 {
		p.timing.first = now
		p.grant.FirstToken(0)
	}
	p.timing.tokens++
	p.timing.last = now
	p.grant.Token(1)
}

// worse returns which of two answers to whether a request ran holds for both
// attempts together.
func worse(a, b attempt.Run) attempt.Run {
	if a == attempt.RunUnknown || b == attempt.RunUnknown {
		return attempt.RunUnknown
	}
	if a == attempt.RunYes || b == attempt.RunYes {
		return attempt.RunYes
	}
	return attempt.RunNo
}

// runOf maps an attempt's word to the caller's.
func runOf(run attempt.Run) Run {
	return Run(run.String())
}
