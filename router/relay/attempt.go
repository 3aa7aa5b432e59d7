package relay

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"snipetally.example/router/internal/hop"
	"snipetally.example/router/internal/link"
	"snipetally.example/router/internal/placement"
)

const (
	// errStalled says that a server was left as nothing came from it.
	errStalled = errors.ConstError("server stalled")

	// errUnsigned says that no backend server vouches for an answer.
	errUnsigned = errors.ConstError("answer without signature")

	// errCut says that an answer ended before its end.
	errCut = errors.ConstError("answer cut short")

	// wholeLimit is the length up to which an answer is held until it is
	// whole, in bytes.
	wholeLimit = 1 << 20

	// rejections is the largest number of servers that may reject a request
	// before it is given up.
	rejections = 3

	// stallFactor and stallTargets bound how long a request waits for its
	// answer before its server counts as stalled: a multiple of the expected
	// time and of the target of its class.
	stallFactor  = 8
	stallTargets = 2

	// gapFactor and gapFloor bound the pause between events of a stream.
	gapFactor = 4
	gapFloor  = 800 * time.Millisecond

	// leastPatience is the least time that is worth an attempt.
	leastPatience = 5 * time.Millisecond
)

// result says how an attempt ended.
type result uint8

const (
	// answered means that the caller has the whole answer.
	answered result = iota

	// unexecuted means that the request did not run there and never will.
	unexecuted

	// broken means that it may have run and the caller has no whole answer.
	broken

	// failing means that it ran and the server said that it failed. The
	// answer is kept as fallback.
	failing

	// gone means that the caller left or can't be written to.
	gone
)

// resultNames are the words for logs, in the order of the constants.
var resultNames = [...]string{"answered", "unexecuted", "broken", "failing", "gone"}

// String returns the word for logs.
func (r result) String() string { return resultNames[r] }

// wholeAnswer is an answer that was read to its end.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// run makes attempts until one answers or the request is given up.
func (x *exchange) run(ctx context.Context) {
	defer x.dropMove()
	for {
		ticket, choice, err := x.relay.board.Pick(time.Now(), x.work, x.tried)
		if err != nil {
			x.unplaced(ctx, choice, err)
			return
		}
		x.choice = choice
		x.tried = append(x.tried, choice.Server)
		outcome, err := x.attempt(ctx, ticket)
		x.countAttempt(outcome)
		switch {
		case outcome == answered:
			x.served()
			return
		case outcome == gone, x.request.Context().Err() != nil:
			x.abandoned()
			return
		}
		if x.continueMoved(ctx) {
			return
		}
		if reason := x.final(ctx, outcome); reason != "" {
			x.logFailure(outcome, err)
			x.giveUp(ctx, reason)
			return
		}
		x.logRepeat(outcome, err)
	}
}

// unplaced ends a request for which there is no server, or none in time.
func (x *exchange) unplaced(ctx context.Context, choice placement.Choice, err error) {
	if errors.Is(err, placement.ErrBusy) && !x.begun && x.runs == 0 {
		x.choice = choice
		x.refuse(err.Error(), max(choice.ExcessWait, soon))
		return
	}
	x.giveUp(ctx, err.Error())
}

// final returns why there is no further attempt, or nothing.
func (x *exchange) final(ctx context.Context, outcome result) string {
	switch {
	case ctx.Err() != nil || time.Until(x.deadline) < leastPatience:
		return "out of time"
	case outcome != unexecuted && !x.class.Retryable():
		return "may have run"
	case x.runs >= max(x.class.MaxAttempts, 1):
		return "attempts used up"
	case len(x.tried)-x.runs >= rejections:
		return "rejected"
	case !x.relay.repeats.Take(time.Now(), x.service):
		x.countRepeat(false)
		return "retry budget used up"
	}
	x.countRepeat(true)
	x.relay.meters.repeats.Inc(1)
	return ""
}

// attempt sends the request to the chosen server and relays the answer.
func (x *exchange) attempt(ctx context.Context, ticket *placement.Reservation) (result, error) {
	target, ok := (*x.relay.servers.Load())[x.choice.Server]
	if !ok {
		ticket.Done(time.Now(), placement.Canceled)
		return unexecuted, fmt.Errorf("server %s: %w", x.choice.Server, errors.NotFound)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	x.relay.streams.enter(x, target.ID)
	defer x.relay.streams.leave(x)
	watch := x.watch(ticket, cancel)
	defer watch.stop()
	answer, err := target.pool.Send(ctx, x.hopRequest(target))
	if err != nil {
		return x.sendFailed(ctx, ticket, target, err)
	}
	defer answer.Close()
	outcome, err := x.relayAnswer(answer, ticket, watch)
	ticket.Done(time.Now(), x.end(ctx, outcome, answer))
	if outcome != unexecuted {
		x.runs++
	}
	return outcome, err
}

// end tells the board how an attempt ended.
func (x *exchange) end(ctx context.Context, outcome result, answer *hop.Response) placement.Outcome {
	switch outcome {
	case answered:
		return placement.Served
	case unexecuted:
		if answer.Status == http.StatusMisdirectedRequest {
			return placement.Unreachable
		}
		return placement.Rejected
	case broken, failing:
		if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errStalled) {
			return placement.Canceled
		}
		return placement.Failed
	case gone:
	}
	return placement.Canceled
}

// sendFailed classes an attempt without an answer.
func (x *exchange) sendFailed(ctx context.Context, ticket *placement.Reservation, target *target, err error) (result, error) {
	var failure *link.ExchangeError
	sent := !errors.As(err, &failure) || failure.MaybeSent
	callerLeft := ctx.Err() != nil && !errors.Is(context.Cause(ctx), errStalled)
	switch {
	case callerLeft:
		ticket.Done(time.Now(), placement.Canceled)
	case !sent:
		ticket.Done(time.Now(), placement.Unreachable)
	default:
		ticket.Done(time.Now(), placement.Failed)
		target.pool.CloseIdle()
	}
	if !sent {
		return unexecuted, err
	}
	x.runs++
	return broken, err
}

// hopRequest builds the request for a server.
func (x *exchange) hopRequest(target *target) hop.Request {
	header := x.relay.options.codec.ForwardHeader(endToEnd(x.request.Header), ForwardInfo{
		InstanceID:  target.ID,
		Timeout:     time.Until(x.deadline),
		Team:        x.teamName(),
		Rank:        x.rank,
		RankCount:   len(x.view.ranks),
		LastEventID: x.last,
		KVCopy:      x.copy,
	})
	return hop.Request{
		Method:  x.request.Method,
		Target:  x.target,
		Host:    x.request.Host,
		Header:  header,
		Body:    x.body,
		HasBody: x.framed,
		Matches: func(header http.Header) bool {
			note := x.relay.options.codec.ParseResponse(0, header)
			return note.AttemptID == x.call.AttemptID || (note.AttemptID == "" && !note.Signed)
		},
	}
}

// teamName returns the name of the caller's team, or nothing.
func (x *exchange) teamName() string {
	if x.team == nil {
		return ""
	}
	return x.team.Name
}

// relayAnswer passes an answer on to the caller, or keeps it if another server
// may have a better one.
func (x *exchange) relayAnswer(answer *hop.Response, ticket *placement.Reservation, watch *watchdog) (result, error) {
	note := x.relay.options.codec.ParseResponse(answer.Status, answer.Header)
	success := answer.Status >= 200 && answer.Status < 300
	switch {
	case success && !note.Signed:
		return broken, errUnsigned
	case success && x.class.Kind == Stream:
		return x.relayStream(answer, ticket, watch)
	}
	whole, err := readWhole(answer)
	if err != nil {
		if note.NotExecuted {
			return unexecuted, nil
		}
		return broken, err
	}
	switch {
	case note.NotExecuted:
		return unexecuted, nil
	case !success && answer.Status >= http.StatusInternalServerError:
		x.fallback = whole
		return failing, nil
	}
	ticket.RecordFirstEvent(time.Now())
	x.markFirst()
	if err := x.write(whole); err != nil {
		return gone, err
	}
	return answered, nil
}

// readWhole reads an answer to its end.
func readWhole(answer *hop.Response) (*wholeAnswer, error) {
	var body bytes.Buffer
	n, err := io.Copy(&body, io.LimitReader(answer, wholeLimit+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errCut, err)
	}
	if n > wholeLimit {
		return nil, fmt.Errorf("%w: over %d bytes", errCut, wholeLimit)
	}
	return &wholeAnswer{status: answer.Status, header: answer.Header, body: body.Bytes()}, nil
}

// markFirst notes the first byte of the answer.
func (x *exchange) markFirst() {
	if x.firstAfter == 0 {
		x.firstAfter = time.Since(x.arrived)
		x.relay.meters.answered(x.firstAfter)
	}
}
