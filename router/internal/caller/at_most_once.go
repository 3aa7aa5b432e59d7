package caller

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"

	"snipetally.example/coordination/record"
	"snipetally.example/router/internal/attempt"
	"snipetally.example/router/internal/backend"
	"snipetally.example/router/internal/class"
	"snipetally.example/router/internal/schedule"
)

// Recorder stores the records of calls that run at most once. *record.Recorder
// implements it.
type Recorder interface {
	Begin(ctx context.Context, call record.Call) (record.Decision, error)
}

// executeAtMostOnce runs a call that carries an idempotency key at most once.
func (api *API) executeAtMostOnce(w http.ResponseWriter, in *inbound, c *call, request schedule.Request) *Refusal {
	ctx, cancel := context.WithDeadline(in.ctx(), request.Deadline)
	defer cancel()
	recordCall := record.Call{
		Partner:     in.team.Partner,
		Team:        in.team.Name,
		Key:         in.idempotencyKey,
		Fingerprint: fingerprint(c),
		Outage:      record.OutageRefuse,
	}
	if in.class.Outage == class.OutageAttempt {
		recordCall.Outage = record.OutageAttempt
	}
	var avoid []string
	for attempts := 1; ; attempts++ {
		server := pickServer(in.candidates(request), avoid)
		if server == nil {
			return newRefusal(http.StatusServiceUnavailable, CodeServer, "no backend server can take the request")
		}
		recordCall.Target = Target{Server: server.Name, Epoch: api.options.Links.Get(server.Address).State().Epoch}.String()
		decision, err := api.options.Recorder.Begin(ctx, recordCall)
		if err != nil {
			return newRefusal(http.StatusServiceUnavailable, CodeTable, "the call could not be recorded")
		}
		if decision.Kind == record.Join {
			decision = decision.Join.Wait(ctx)
		}
		if decision.Kind != record.Run {
			return api.replyFromRecord(w, in, decision)
		}
		in.runKnown = true
		outcome, refusal := api.runRecorded(w, in, c, pinToServer(in.candidates(request), ParseTarget(decision.Attempt.Target()).Server, request), decision.Attempt)
		if refusal == nil || outcome.Run != attempt.RunNo || !api.shouldRetry(in, c, outcome, attempts) {
			return refusal
		}
		avoid = append(avoid, server.Name)
	}
}

// Target names the backend server of a recorded attempt and the epoch in which
// the server was last seen before the attempt. A server in another epoch may
// have forgotten which attempts it ran.
type Target struct {
	Server string
	Epoch  string
}

// targetSeparator separates the fields of a target. Server names can't contain
// it.
const targetSeparator = "@"

// String returns the form that is stored in the record.
func (t Target) String() string {
	return t.Server + targetSeparator + t.Epoch
}

// ParseTarget parses the form that is stored in the record.
func ParseTarget(text string) Target {
	server, epoch, _ := strings.Cut(text, targetSeparator)
	return Target{Server: server, Epoch: epoch}
}

// replyFromRecord answers a call that this router does not run, from what its
// record says.
func (api *API) replyFromRecord(w http.ResponseWriter, in *inbound, decision record.Decision) *Refusal {
	switch decision.Kind {
	case record.Replay:
		in.runKnown = true
		newResponseSink(w, in, api.options.WriteTimeout).replay(decision.Response)
		in.timing.finish()
		api.metrics.completed(in.class, &in.timing)
		return nil
	case record.Mismatch:
		return newRefusal(http.StatusUnprocessableEntity, CodeDifferent, "the idempotency key belongs to another request")
	case record.Unavailable:
		refusal := newRefusal(http.StatusServiceUnavailable, CodeTable, "the call could not be recorded; this request ran nothing")
		refusal.RetryAfter = defaultRetryAfter
		return refusal
	}
	refusal := &Refusal{Status: http.StatusConflict, Code: CodeLost, Run: RunUnknown,
		Message: "it is not known whether the call with this key ran"}
	if decision.Running {
		refusal.Code, refusal.Message, refusal.RetryAfter = CodeRunning, "the call with this key may still be running", defaultRetryAfter
	}
	if decision.Kind == record.Expired {
		refusal.Code, refusal.Message = CodeOld, "the idempotency key is too old"
	}
	if decision.Ran {
		refusal.Run, refusal.Message = RunYes, "the call with this key ran, and its answer is no longer kept"
	}
	return refusal
}

// runRecorded makes the one attempt that the record allows and records its
// outcome.
func (api *API) runRecorded(w http.ResponseWriter, in *inbound, c *call, request schedule.Request, recordAttempt *record.Attempt) (attempt.Outcome, *Refusal) {
	notRun := attempt.Outcome{Run: attempt.RunNo, Reason: attempt.Canceled}
	settleCtx := context.WithoutCancel(in.ctx())
	grant, err := api.options.Gate.Acquire(in.ctx(), in.fleet, request)
	if err != nil {
		api.logUnsettled(in, recordAttempt.NotRun(settleCtx))
		return notRun, gateRefusal(err)
	}
	if err := recordAttempt.Dispatch(in.ctx()); err != nil {
		grant.Close(schedule.Result{})
		refusal := newRefusal(http.StatusServiceUnavailable, CodeExpired, "the call was held up and not run")
		refusal.RetryAfter = defaultRetryAfter
		return notRun, refusal
	}
	buffer := &bufferSink{}
	outcome := api.runAttempt(in, c, grant, recordAttempt.ID(), buffer)
	switch {
	case outcome.Complete:
		api.logUnsettled(in, recordAttempt.Finish(settleCtx, buffer.response()))
		newResponseSink(w, in, api.options.WriteTimeout).replay(buffer.response())
		in.timing.finish()
		api.metrics.completed(in.class, &in.timing)
		return outcome, nil
	case outcome.Run == attempt.RunNo:
		api.logUnsettled(in, recordAttempt.NotRun(settleCtx))
	default:
		api.logUnsettled(in, recordAttempt.Lost(settleCtx))
	}
	return outcome, attemptRefusal(outcome, outcome.Run)
}

// logUnsettled logs err, the failure to record the outcome of an attempt,
// unless it is nil. The record of the begun attempt still protects the key.
func (api *API) logUnsettled(in *inbound, err error) {
	if err != nil {
		api.options.Log.Warn().Err(err).Str("request", in.id).Msg("failed to record the outcome of a call")
	}
}

// candidates returns the backend servers that can run the request.
func (in *inbound) candidates(request schedule.Request) []*backend.Server {
	if request.Model != "" {
		return in.fleet.ByModel[request.Model]
	}
	return in.fleet.ByService[request.Service]
}

// pickServer returns a random one of the active servers that are not in avoid,
// or nil if there is none.
func pickServer(servers []*backend.Server, avoid []string) *backend.Server {
	var available []*backend.Server
	for _, server := range servers {
		if server.State == backend.StateActive && !slices.Contains(avoid, server.Name) {
			available = append(available, server)
		}
	}
	if len(available) == 0 {
		return nil
	}
	return available[rand.IntN(len(available))]
}

// pinToServer returns the request with every server but the named one excluded.
func pinToServer(servers []*backend.Server, name string, request schedule.Request) schedule.Request {
	request.Avoid = nil
	for _, server := range servers {
		if server.Name != name {
			request.Avoid = append(request.Avoid, server.Name)
		}
	}
	return request
}

// fingerprint returns a hash of the call, by which two different calls with the
// same key are told apart.
func fingerprint(c *call) record.Fingerprint {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(c.method), []byte(c.path), c.body} {
		_ = binary.Write(h, binary.BigEndian, uint64(len(part)))
		_, _ = h.Write(part)
	}
	return record.Fingerprint(h.Sum(nil))
}

// bufferSink collects a whole response in memory.
type bufferSink struct {
	head attempt.Head
	body []byte
}

// Begin implements attempt.Sink.
func (b *bufferSink) Begin(head attempt.Head) error {
	b.head = head
	return nil
}

// Event implements attempt.Sink.
func (b *bufferSink) Event(e attempt.Event) error {
	b.body = append(b.body, e.Raw...)
	return nil
}

// Flush implements attempt.Sink.
func (b *bufferSink) Flush() error {
	return nil
}

// response returns the collected response in the form that records store.
func (b *bufferSink) response() *record.Response {
	response := &record.Response{Status: b.head.Status, Body: b.body}
	for name, values := range b.head.Header {
		for _, value := range values {
			response.Header = append(response.Header, record.HeaderField{Name: name, Value: value})
		}
	}
	return response
}
