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

// Recorder holds the records of calls that run at most once. *record.Recorder is one.
type Recorder interface {
	Begin(ctx context.Context, call record.Call) (record.Decision, error)
}

// once runs a call that carries an idempotency key at most once.
func (api *API) once(w http.ResponseWriter, v *inbound, c *call, request schedule.Request) *Refusal {
	ctx, cancel := context.WithDeadline(v.ctx(), request.Deadline)
	defer cancel()
	recorded := record.Call{
		Partner:     v.team.Partner,
		Team:        v.team.Name,
		Key:         v.key,
		Fingerprint: fingerprint(c),
		Outage:      record.OutageRefuse,
	}
	if v.class.Outage == class.OutageAttempt {
		recorded.Outage = record.OutageAttempt
	}
	var avoid []string
	for tries := 1; ; tries++ {
		target := pick(v.servers(request), avoid)
		if target == nil {
			return refuse(http.StatusServiceUnavailable, CodeServer, "no backend server can take the request")
		}
		recorded.Target = Target{Server: target.Name, Epoch: api.options.Links.Get(target.Address).State().Epoch}.String()
		decision, err := api.options.Recorder.Begin(ctx, recorded)
		if err != nil {
			return refuse(http.StatusServiceUnavailable, CodeTable, "the call could not be recorded")
		}
		if decision.Kind == record.Join {
			decision = decision.Join.Wait(ctx)
		}
		if decision.Kind != record.Run {
			return api.told(w, v, decision)
		}
		v.settled = true
		outcome, refused := api.runOnce(w, v, c, pin(v.servers(request), ParseTarget(decision.Attempt.Target()).Server, request), decision.Attempt)
		if refused == nil || outcome.Run != attempt.RunNo || !api.again(v, c, outcome, tries) {
			return refused
		}
		avoid = append(avoid, target.Name)
	}
}

// Target names the backend server of a recorded attempt and the epoch that the
// server was known to be in before the attempt. A server in another epoch may
// have forgotten which attempts it ran.
type Target struct {
	Server string
	Epoch  string
}

// targetSeparator parts the fields of a target. No name of a server holds it.
const targetSeparator = "@"

// String returns the form that is kept in the record.
func (t Target) String() string {
	return t.Server + targetSeparator + t.Epoch
}

// ParseTarget reads the form that is kept in the record.
func ParseTarget(text string) Target {
	server, epoch, _ := strings.Cut(text, targetSeparator)
	return Target{Server: server, Epoch: epoch}
}

// told answers a call that this router does not run.
func (api *API) told(w http.ResponseWriter, v *inbound, decision record.Decision) *Refusal {
	switch decision.Kind {
	case record.Replay:
		v.settled = true
		newAnswer(w, v, api.options.WriteTimeout).replay(decision.Response)
		v.timing.end()
		api.meter.whole(v.class, &v.timing)
		return nil
	case record.Mismatch:
		return refuse(http.StatusUnprocessableEntity, CodeDifferent, "the idempotency key belongs to another request")
	case record.Unavailable:
		refused := refuse(http.StatusServiceUnavailable, CodeTable, "the call could not be recorded; this request ran nothing")
		refused.RetryAfter = retryAfter
		return refused
	}
	refused := &Refusal{Status: http.StatusConflict, Code: CodeLost, Run: RunUnknown,
		Message: "it is not known whether the call with this key ran"}
	if decision.Running {
		refused.Code, refused.Message, refused.RetryAfter = CodeRunning, "the call with this key may still be running", retryAfter
	}
	if decision.Kind == record.Expired {
		refused.Code, refused.Message = CodeOld, "the idempotency key is too old"
	}
	if decision.Ran {
		refused.Run, refused.Message = RunYes, "the call with this key ran, and its answer is no longer kept"
	}
	return refused
}

// runOnce makes the one attempt that the record allows and settles it.
func (api *API) runOnce(w http.ResponseWriter, v *inbound, c *call, request schedule.Request, a *record.Attempt) (attempt.Outcome, *Refusal) {
	unrun := attempt.Outcome{Run: attempt.RunNo, Reason: attempt.Canceled}
	settle := context.WithoutCancel(v.ctx())
	grant, err := api.options.Gate.Acquire(v.ctx(), v.fleet, request)
	if err != nil {
		api.settled(v, a.NotRun(settle))
		return unrun, gateRefusal(err)
	}
	if err := a.Dispatch(v.ctx()); err != nil {
		grant.Close(schedule.Result{})
		refused := refuse(http.StatusServiceUnavailable, CodeExpired, "the call was held up and not run")
		refused.RetryAfter = retryAfter
		return unrun, refused
	}
	kept := &keeper{}
	outcome := api.run(v, c, grant, a.ID(), kept)
	switch {
	case outcome.Complete:
		api.settled(v, a.Finish(settle, kept.answer()))
		newAnswer(w, v, api.options.WriteTimeout).replay(kept.answer())
		v.timing.end()
		api.meter.whole(v.class, &v.timing)
		return outcome, nil
	case outcome.Run == attempt.RunNo:
		api.settled(v, a.NotRun(settle))
	default:
		api.settled(v, a.Lost(settle))
	}
	return outcome, failure(outcome, outcome.Run)
}

// settled logs a record that could not be settled. The begun record goes on
// protecting the key.
func (api *API) settled(v *inbound, err error) {
	if err != nil {
		api.options.Log.Warn().Err(err).Str("request", v.id).Msg("record not settled")
	}
}

// servers returns the backend servers that can run the request.
func (v *inbound) servers(request schedule.Request) []*backend.Server {
	if request.Model != "" {
		return v.fleet.ByModel[request.Model]
	}
	return v.fleet.ByService[request.Service]
}

// pick returns one of the servers that take new work, or nil.
func pick(servers []*backend.Server, avoid []string) *backend.Server {
	var fit []*backend.Server
	for _, server := range servers {
		if server.State == backend.StateActive && !slices.Contains(avoid, server.Name) {
			fit = append(fit, server)
		}
	}
	if len(fit) == 0 {
		return nil
	}
	return fit[rand.IntN(len(fit))]
}

// pin returns the request with every server but one excluded.
func pin(servers []*backend.Server, name string, request schedule.Request) schedule.Request {
	request.Avoid = nil
	for _, server := range servers {
		if server.Name != name {
			request.Avoid = append(request.Avoid, server.Name)
		}
	}
	return request
}

// fingerprint tells two calls apart that carry the same key.
func fingerprint(c *call) record.Fingerprint {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(c.method), []byte(c.path), c.body} {
		_ = binary.Write(h, binary.BigEndian, uint64(len(part)))
		_, _ = h.Write(part)
	}
	return record.Fingerprint(h.Sum(nil))
}

// keeper keeps a whole answer.
type keeper struct {
	head attempt.Head
	body []byte
}

// Begin implements attempt.Sink.
func (k *keeper) Begin(head attempt.Head) error {
	k.head = head
	return nil
}

// Event implements attempt.Sink.
func (k *keeper) Event(e attempt.Event) error {
	k.body = append(k.body, e.Raw...)
	return nil
}

// Flush implements attempt.Sink.
func (k *keeper) Flush() error {
	return nil
}

// answer returns what was kept, in the form of the records.
func (k *keeper) answer() *record.Response {
	a := &record.Response{Status: k.head.Status, Body: k.body}
	for name, values := range k.head.Header {
		for _, value := range values {
			a.Header = append(a.Header, record.HeaderField{Name: name, Value: value})
		}
	}
	return a
}
