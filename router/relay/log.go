package relay

import (
	"strconv"
	"time"

	"github.com/rs/zerolog"
)

// addRequestFields adds what is known about the request and its last placement:
//
//   - request: the ID of the caller's attempt
//   - after: the time since the request arrived, in milliseconds
//   - class, service: the request class, and the service picked for it
//   - rank: the priority rank; 0 is the most important
//   - version: the version of the plan that the request uses
//   - age: the time since the plan was last known to be the newest, in
//     milliseconds, negative without a plan
//   - missing: for how long a newer version has been known to exist that the
//     router lacks, in milliseconds
//   - expected: the expected time to the first event, in milliseconds
//   - chosen: the ID of the last server chosen, also if the request was refused
//     because that server is busy
//   - servers: the IDs of all servers that were picked
//   - prompt: the length of the prompt, in tokens
//   - runs: the number of servers that may have run the request
//   - cost, next: the costs of the chosen and of the second best server, at
//     engines in requests and at plain servers in seconds; next is -1 if there
//     is no second one
//   - backlog: the prompt tokens estimated to be queued at the chosen server
//   - load: the number of requests in progress there, from all routers
//   - kept: whether the chosen server is expected to have the session cached
//   - speed: the estimated prefill speed of the service, in tokens a second
//   - apart: the number of the service's servers reserved for short prompts
//   - listed: the age of the list of servers when the server was chosen, in
//     milliseconds
//   - router: the other router, if the request was handed over, and taken whether it
//     came from there
//   - sent: the time from the choice to the first byte written to the server,
//     in milliseconds, or 0 if none was written
//
// Keys whose values are not known yet are left out. expected, backlog, speed and
// apart are 0 if the server is not a model engine.
func (p *proxiedRequest) addRequestFields(event *zerolog.Event) *zerolog.Event {
	event = event.Str("request", p.info.AttemptID).Dur("after", time.Since(p.arrivedAt))
	if p.class != nil {
		event = event.Str("class", p.class.Name).Str("service", p.service).Int("rank", p.rank)
	}
	if p.index != nil {
		event = event.Int64("version", p.index.plan.Version)
		if age, ok := p.relay.planAge(); ok {
			event = event.Dur("age", age)
		}
		if missing := p.relay.options.planMissingFor(); missing > 0 {
			event = event.Dur("missing", missing)
		}
	}
	if p.peer.IsValid() {
		event = event.Str("router", p.peer.String()).Bool("taken", p.handedOver != nil)
	}
	if p.choice.Server != "" {
		event = p.addChoiceFields(event)
	}
	return event
}

// addChoiceFields adds what is known about the last choice of a server.
func (p *proxiedRequest) addChoiceFields(event *zerolog.Event) *zerolog.Event {
	return event.Dur("expected", p.choice.ExpectedLatency).
		Str("chosen", p.choice.Server).
		Strs("servers", p.tried).
		Int("prompt", p.info.PromptTokens).
		Int("runs", p.executions).
		Float64("cost", p.choice.Cost).
		Float64("next", p.choice.NextCost).
		Int("backlog", p.choice.QueuedTokens).
		Int("load", p.choice.Running).
		Bool("kept", p.choice.Cached).
		Int("speed", int(p.choice.PrefillSpeed)).
		Int("apart", p.choice.ShortServers).
		Dur("listed", p.listAge).
		Dur("sent", p.sendDelay)
}

// logUnserved logs a request that was not served. The key status holds the
// response's status code, or 0 if the response was cut off or the caller had
// disconnected.
func (p *proxiedRequest) logUnserved(status int, reason string) {
	p.addRequestFields(p.relay.options.log.Request(time.Now(), nil)).Int("status", status).Str("reason", reason).Msg("request ended")
}

// logAbandoned logs a request whose caller left. The key error holds how reading from its
// connection ended, which is that of the router that handed the request over, if one did.
func (p *proxiedRequest) logAbandoned() {
	event := p.addRequestFields(p.relay.options.log.Request(time.Now(), nil))
	event.AnErr("error", p.conn.Ending()).Int("status", 0).Str("reason", "caller left").Msg("request ended")
}

// logServed logs a request that was served late or after several attempts. The
// keys first and gap hold the time from its arrival to the first byte of the
// response and the longest pause between events, both in milliseconds, and
// queued the prompt tokens queued at the server when a pause ended that was
// longer than the class tolerates.
func (p *proxiedRequest) logServed(message string) {
	p.addRequestFields(p.relay.options.log.Request(time.Now(), nil)).Dur("first", p.timeToFirstByte).
		Dur("gap", p.longestGap).Int("queued", p.gapBacklog).Msg(message)
}

// logRoutine logs a request that was served in time at the first attempt, with
// the keys of logServed.
func (p *proxiedRequest) logRoutine() {
	event := p.relay.options.log.Success(time.Now())
	if event != nil {
		p.addRequestFields(event).Dur("first", p.timeToFirstByte).Dur("gap", p.longestGap).Msg("served")
	}
}

// logLastAttempt logs a failed attempt that is not retried, with the keys of
// addAttemptFields.
func (p *proxiedRequest) logLastAttempt(result attemptResult, err error) {
	p.addAttemptFields(p.relay.options.log.Request(time.Now(), err), result).Msg("last attempt failed")
}

// maxLoggedParts is the number of prompt parts in a line.
const maxLoggedParts = 16

// addAttemptFields adds what is known about an attempt that failed to the fields of
// its request and of the retry budget:
//
//   - outcome: the result of the attempt
//   - started: whether it had delivered an event
//   - digest: the digest of the request's content, the same for its copies
//   - parts: the IDs of the prompt's parts but the last, in hexadecimal, as far as
//     maxLoggedParts
func (p *proxiedRequest) addAttemptFields(event *zerolog.Event, result attemptResult) *zerolog.Event {
	var parts []string
	for _, part := range p.sharedParts() {
		if len(parts) == maxLoggedParts {
			break
		}
		parts = append(parts, strconv.FormatUint(part.ID, 16))
	}
	return p.addBudgetFields(p.addRequestFields(event)).Stringer("outcome", result).Bool("started", p.started).
		Stringer("digest", p.run.Request).Strs("parts", parts)
}

// logRetry logs a failed attempt that is retried, with the keys of
// addAttemptFields. begun says whether the caller already has the head of a
// response, and last holds the ID of the last event that the caller has.
func (p *proxiedRequest) logRetry(result attemptResult, err error) {
	if p.headWritten {
		p.relay.metrics.resumed.Inc(1)
	}
	p.addAttemptFields(p.relay.options.log.Request(time.Now(), err), result).Bool("begun", p.headWritten).
		Str("last", p.lastEventID).Msg("request repeated")
}

// logSilence logs an attempt at a server that makes no progress. The key silent
// holds the time since the server last did, and overdue how long that is beyond
// the limit, both in milliseconds; with a high overdue the router itself stood
// still.
func (p *proxiedRequest) logSilence(server string, silent, overdue time.Duration) {
	p.relay.metrics.silent.Inc(1)
	p.relay.options.log.Request(time.Now(), nil).Str("request", p.info.AttemptID).Str("class", p.class.Name).Str("server", server).
		Dur("silent", silent).Dur("overdue", overdue).Msg("server silent")
}

// logReplacement logs an attempt that is given up for one at another server. The
// key silent is as in logSilence; from and to hold the IDs of the servers.
func (p *proxiedRequest) logReplacement(from, to string, silent time.Duration) {
	p.relay.options.log.Request(time.Now(), nil).Str("request", p.info.AttemptID).Str("class", p.class.Name).
		Str("from", from).Str("to", to).Dur("silent", silent).Msg("silent attempt replaced")
}
