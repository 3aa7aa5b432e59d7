package relay

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"snipetally.example/router/internal/placement"
)

const (
	// errBodyTooLong says that a body exceeds the plan's limit.
	errBodyTooLong = errors.ConstError("body too long")

	// errNoRoom says that the bodies of other requests take all the memory that
	// there is for them.
	errNoRoom = errors.ConstError("no room for body")

	// bodyStep is the number of bytes by which room is taken for a body of
	// unknown length.
	bodyStep = 64 << 10
)

// exchange is one request of a caller. It belongs to the goroutine that serves
// it.
type exchange struct {
	relay   *relay
	writer  http.ResponseWriter
	request *http.Request
	arrived time.Time

	view  *view
	class *Class
	team  *Team
	call  RequestInfo

	// rank is the place of the request among all that the plan allows, from
	// the most urgent one on.
	rank int

	// target is the path with the query as the caller sent it.
	target string
	body   []byte
	framed bool

	// room is the number of bytes that the body takes of the relay's room.
	room int64

	service  string
	work     placement.Request
	deadline time.Time

	// tried are the backend servers that got the request, runs the number of
	// those that may have run it.
	tried []string
	runs  int

	// choice is the last choice.
	choice placement.Choice

	// begun says that the head of an answer went to the caller, last is the
	// last event that did.
	begun bool
	last  string

	// firstAfter is the time from the arrival to the first byte of the answer.
	firstAfter time.Duration

	// eventAt is when the last event went to the caller, longestGap the longest
	// pause between two of them.
	eventAt    time.Time
	longestGap time.Duration

	// copy is the memory that the next attempt starts from, if the run was
	// moved.
	copy KVCopy

	// fallback is a failure of a server that ran the request. It is given if no
	// other server has a better answer.
	fallback *wholeAnswer
}

// serve answers the request.
func (x *exchange) serve() {
	r := x.relay
	r.meters.requests.Inc(1)
	if !x.admit() {
		return
	}
	defer x.freeBody()
	if err := x.readBody(); err != nil {
		x.bodyFailed(err)
		return
	}
	x.prepare()
	ctx, cancel := context.WithDeadline(x.request.Context(), x.deadline)
	defer cancel()
	x.run(ctx)
}

// admit finds the class and the team of the request. It answers the request
// and returns false if it may not run.
func (x *exchange) admit() bool {
	r := x.relay
	var undecoded error
	x.call, undecoded = r.options.codec.ParseRequest(x.request.Header)
	x.view = r.view.Load()
	if x.view == nil {
		x.refuseOutdated("no plan")
		return false
	}
	if r.refuses() {
		x.refuse("stopping", atOnce)
		return false
	}
	x.target = x.request.RequestURI
	if !strings.HasPrefix(x.target, "/") {
		x.target = x.request.URL.RequestURI()
	}
	path, _, _ := strings.Cut(x.target, "?")
	x.class = x.view.class(x.request.Host, path)
	if x.class == nil {
		return x.unknown(http.StatusNotFound, "no class")
	}
	if limit := x.view.plan.Limits.MaxHeaderBytes; limit > 0 && headerSize(x.request) > limit {
		x.reject(http.StatusRequestHeaderFieldsTooLarge, "header too long")
		return false
	}
	if undecoded != nil {
		x.reject(http.StatusBadRequest, undecoded.Error())
		return false
	}
	return x.authorize()
}

// headerSize returns the length of a request's head as HTTP writes it, in bytes.
func headerSize(request *http.Request) int {
	size := len(request.Method) + len(request.RequestURI) + len(request.Proto) + len(request.Host) + headFraming
	for name, values := range request.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return size
}

// headFraming is the length of what stands between the parts of the first line,
// around the host and at the end of a head.
const headFraming = len("  \r\n") + len("Host: \r\n") + len("\r\n")

// authorize finds the team of a request that needs a key. While the router
// can't know whether a key was withdrawn, it takes none.
func (x *exchange) authorize() bool {
	if x.class.Public || len(x.view.plan.Teams) == 0 {
		return true
	}
	if x.relay.outdated(keyPart) {
		x.refuseOutdated("plan outdated")
		return false
	}
	team, ok := x.view.keys[x.call.APIKey]
	if !ok {
		return x.unknown(http.StatusUnauthorized, "unknown key")
	}
	x.team = team
	return true
}

// unknown answers a request for something that the plan does not have. An old
// plan can't tell, so that the caller is asked to come back.
func (x *exchange) unknown(status int, reason string) bool {
	if x.relay.outdated(keyPart) {
		x.refuseOutdated("plan outdated")
		return false
	}
	x.reject(status, reason)
	return false
}

// readBody reads the whole body, so that it can be sent again and that the
// server sees the caller leave. The room that it takes is given back by
// freeBody.
func (x *exchange) readBody() error {
	x.framed = x.request.ContentLength > 0 || len(x.request.TransferEncoding) > 0 ||
		x.request.Header.Get("Content-Length") != ""
	limit := x.view.plan.Limits.MaxBodyBytes
	length := x.request.ContentLength
	if limit > 0 && length > limit {
		return errBodyTooLong
	}
	if length < 0 {
		return x.readChunks(limit)
	}
	if err := x.takeRoom(length); err != nil {
		return err
	}
	x.body = make([]byte, length)
	if _, err := io.ReadFull(x.request.Body, x.body); err != nil {
		return fmt.Errorf("read body: %w", err)
	}
	return nil
}

// readChunks reads a body of unknown length.
func (x *exchange) readChunks(limit int64) error {
	for {
		if err := x.takeRoom(bodyStep); err != nil {
			return err
		}
		var step bytes.Buffer
		n, err := io.CopyN(&step, x.request.Body, bodyStep)
		x.body = append(x.body, step.Bytes()...)
		switch {
		case limit > 0 && int64(len(x.body)) > limit:
			return errBodyTooLong
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return fmt.Errorf("read body after %d bytes: %w", n, err)
		}
	}
}

// takeRoom counts bytes of the body.
func (x *exchange) takeRoom(n int64) error {
	x.room += n
	if held := x.relay.bodies.Add(n); x.relay.options.room > 0 && held > x.relay.options.room {
		return errNoRoom
	}
	return nil
}

// freeBody gives the room of the body back.
func (x *exchange) freeBody() { x.relay.bodies.Add(-x.room) }

// bodyFailed answers a request whose body could not be read.
func (x *exchange) bodyFailed(err error) {
	if errors.Is(err, errBodyTooLong) {
		x.reject(http.StatusRequestEntityTooLarge, err.Error())
		return
	}
	if errors.Is(err, errNoRoom) {
		x.refuse(err.Error(), soon)
		return
	}
	if x.request.Context().Err() != nil {
		x.abandoned()
		return
	}
	x.reject(http.StatusBadRequest, err.Error())
}

// prepare works out what the choice of a server depends on.
func (x *exchange) prepare() {
	patience := x.class.Timeout
	if x.call.Timeout > 0 && (patience <= 0 || x.call.Timeout < patience) {
		patience = x.call.Timeout
	}
	if patience <= 0 {
		patience = longestPatience
	}
	x.deadline = x.arrived.Add(patience)
	x.rank = x.view.ranks[importanceOf(x.class, x.team)]
	x.service = draw(x.class.Splits)
	x.last = x.request.Header.Get("Last-Event-Id")
	x.work = placement.Request{
		Service:      x.service,
		PromptTokens: x.call.PromptTokens,
		OutputTokens: x.call.MaxOutputTokens,
		Target:       x.class.TargetLatency,
		Priority:     x.rank,
	}
	if x.call.ExpectedOutputTokens > 0 {
		x.work.OutputTokens = x.call.ExpectedOutputTokens
	}
	for _, part := range x.call.Parts {
		x.work.Parts = append(x.work.Parts, placement.Part(part))
	}
	x.relay.repeats.RecordRequest(x.arrived, x.service)
}

// longestPatience bounds a request for which nobody states a bound.
const longestPatience = 60 * time.Second

// draw chooses a service by the weights.
func draw(splits []Split) string {
	total := 0
	for _, s := range splits {
		total += max(s.Weight, 0)
	}
	if total == 0 {
		if len(splits) == 0 {
			return ""
		}
		return splits[0].Service
	}
	n := rand.IntN(total)
	for _, s := range splits {
		if n -= max(s.Weight, 0); n < 0 {
			return s.Service
		}
	}
	return ""
}
