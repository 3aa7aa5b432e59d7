package relay

import (
	"time"

	"github.com/rs/zerolog"
)

// describe adds what is known of the request and of its last choice.
func (x *exchange) describe(event *zerolog.Event) *zerolog.Event {
	event = event.Str("request", x.call.AttemptID).Dur("after", time.Since(x.arrived))
	if x.class != nil {
		event = event.Str("class", x.class.Name).Str("service", x.service).Int("rank", x.rank)
	}
	if x.view != nil {
		event = event.Int64("version", x.view.plan.Version).Dur("age", x.relay.age())
	}
	if x.choice.Server != "" {
		event = event.Dur("expected", x.choice.ExpectedLatency).Str("chosen", x.choice.Server).Strs("servers", x.tried).Int("prompt", x.call.PromptTokens).Int("runs", x.runs).Float64("cost", x.choice.Cost).
			Float64("next", x.choice.NextCost).Int("backlog", x.choice.QueuedTokens).Int("load", x.choice.Running).
			Bool("kept", x.choice.Cached).Int("speed", int(x.choice.PrefillSpeed)).Int("apart", x.choice.UrgentServers)
	}
	return event
}

// logEnd tells a request that was not served.
func (x *exchange) logEnd(status int, reason string) {
	x.describe(x.relay.options.log.Request(time.Now(), nil)).Int("status", status).Str("reason", reason).Msg("request ended")
}

// logServed tells a request that was served in an unusual way.
func (x *exchange) logServed(message string) {
	x.describe(x.relay.options.log.Request(time.Now(), nil)).Dur("first", x.firstAfter).Dur("gap", x.longestGap).Msg(message)
}

// logRoutine tells a request that was served as usual.
func (x *exchange) logRoutine() {
	event := x.relay.options.log.Success(time.Now())
	if event != nil {
		x.describe(event).Dur("first", x.firstAfter).Dur("gap", x.longestGap).Msg("served")
	}
}

// logFailure tells an attempt after which there is none.
func (x *exchange) logFailure(outcome result, err error) {
	x.describe(x.relay.options.log.Request(time.Now(), err)).Stringer("outcome", outcome).Msg("last attempt failed")
}

// logRepeat tells an attempt after which there is another.
func (x *exchange) logRepeat(outcome result, err error) {
	if x.begun {
		x.relay.meters.resumed.Inc(1)
	}
	x.describe(x.relay.options.log.Request(time.Now(), err)).Stringer("outcome", outcome).Bool("begun", x.begun).
		Str("last", x.last).Msg("request repeated")
}
