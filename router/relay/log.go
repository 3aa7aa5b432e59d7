package relay

import (
	"time"

	"github.com/rs/zerolog"
)

// addRequestFields adds what is known about the request and its last placement.
func (x *exchange) addRequestFields(event *zerolog.Event) *zerolog.Event {
	event = event.Str("request", x.info.AttemptID).Dur("after", time.Since(x.arrivedAt))
	if x.class != nil {
		event = event.Str("class", x.class.Name).Str("service", x.service).Int("rank", x.rank)
	}
	if x.index != nil {
		event = event.Int64("version", x.index.plan.Version).Dur("age", x.relay.planAge())
	}
	if x.choice.Server != "" {
		event = event.Dur("expected", x.choice.ExpectedLatency).Str("chosen", x.choice.Server).Strs("servers", x.tried).Int("prompt", x.info.PromptTokens).Int("runs", x.executions).Float64("cost", x.choice.Cost).
			Float64("next", x.choice.NextCost).Int("backlog", x.choice.QueuedTokens).Int("load", x.choice.Running).
			Bool("kept", x.choice.Cached).Int("speed", int(x.choice.PrefillSpeed)).Int("apart", x.choice.UrgentServers)
	}
	return event
}

// logUnserved logs a request that was not served.
func (x *exchange) logUnserved(status int, reason string) {
	x.addRequestFields(x.relay.options.log.Request(time.Now(), nil)).Int("status", status).Str("reason", reason).Msg("request ended")
}

// logServed logs a request that was served late or after several attempts.
func (x *exchange) logServed(message string) {
	x.addRequestFields(x.relay.options.log.Request(time.Now(), nil)).Dur("first", x.timeToFirstByte).Dur("gap", x.longestGap).Msg(message)
}

// logRoutine logs a request that was served in time at the first attempt.
func (x *exchange) logRoutine() {
	event := x.relay.options.log.Success(time.Now())
	if event != nil {
		x.addRequestFields(event).Dur("first", x.timeToFirstByte).Dur("gap", x.longestGap).Msg("served")
	}
}

// logLastAttempt logs a failed attempt that is not retried.
func (x *exchange) logLastAttempt(result attemptResult, err error) {
	x.addRequestFields(x.relay.options.log.Request(time.Now(), err)).Stringer("outcome", result).Msg("last attempt failed")
}

// logRetry logs a failed attempt that is retried.
func (x *exchange) logRetry(result attemptResult, err error) {
	if x.headWritten {
		x.relay.metrics.resumed.Inc(1)
	}
	x.addRequestFields(x.relay.options.log.Request(time.Now(), err)).Stringer("outcome", result).Bool("begun", x.headWritten).
		Str("last", x.lastEventID).Msg("request repeated")
}
