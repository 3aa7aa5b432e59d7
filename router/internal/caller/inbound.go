package caller

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"snipetally.example/router/internal/class"
	"snipetally.example/router/internal/contract"
	"snipetally.example/router/internal/fleet"
)

// ClassHeader is the header with the class that a caller asks for.
const ClassHeader = "Class"

// IdempotencyHeader is the header with the caller's idempotency key.
const IdempotencyHeader = "Idempotency-Key"

// maxIdempotencyKey is the longest idempotency key in bytes.
const maxIdempotencyKey = 255

// inbound is a caller's request from its arrival to its end. It holds one
// snapshot of the fleet throughout.
type inbound struct {
	id             string
	request        *http.Request
	arrived        time.Time
	fleet          *fleet.Snapshot
	team           *contract.Team
	class          *class.Class
	idempotencyKey string

	// server is the name of the backend server of the latest attempt.
	server string
	timing timing

	// responseStarted is set once a part of the response was sent to the
	// caller.
	responseStarted bool

	// bodyBytes is the number of bytes reserved in the body budget.
	bodyBytes int64

	// runKnown is set once the Run value reported to the caller also covers
	// earlier calls with the same idempotency key.
	runKnown bool
}

// ctx returns the context of the caller's connection.
func (in *inbound) ctx() context.Context {
	return in.request.Context()
}

// accept acquires a fleet snapshot for the request, authenticates its team and
// finds its class.
func (api *API) accept(r *http.Request) (*inbound, *Refusal) {
	snapshot := api.options.Fleet.Acquire()
	if snapshot == nil {
		refusal := newRefusal(http.StatusServiceUnavailable, CodeStarting, "the router has no settings yet")
		refusal.RetryAfter = time.Second
		return nil, refusal
	}
	if !api.options.SettingsFresh() {
		snapshot.Release()
		refusal := newRefusal(http.StatusServiceUnavailable, CodeIsolated, "the router is cut off from the others and the table")
		refusal.RetryAfter = time.Second
		return nil, refusal
	}
	now := time.Now()
	in := &inbound{id: newID(), request: r, arrived: now, fleet: snapshot, timing: timing{arrived: now}}
	if refusal := in.authorize(); refusal != nil {
		snapshot.Release()
		return nil, refusal
	}
	return in, nil
}

// authorize sets the team, the idempotency key and the class of the request,
// and refuses a request whose team may not use the class. Without a class
// header, the first class of the team applies.
func (in *inbound) authorize() *Refusal {
	team, ok := authenticate(in.fleet, in.request.Header.Get("Authorization"))
	if !ok {
		return newRefusal(http.StatusUnauthorized, CodeKey, "the key names no team")
	}
	in.team = team
	in.idempotencyKey = in.request.Header.Get(IdempotencyHeader)
	if len(in.idempotencyKey) > maxIdempotencyKey {
		return newRefusal(http.StatusBadRequest, CodeLarge, "the idempotency key is too long")
	}
	name := in.request.Header.Get(ClassHeader)
	if name == "" {
		name = team.Classes[0]
	}
	if !slices.Contains(team.Classes, name) {
		return newRefusal(http.StatusForbidden, CodeClass, "the team's contract does not allow the class")
	}
	in.class, ok = in.fleet.Classes[name]
	if !ok {
		return newRefusal(http.StatusForbidden, CodeClass, "there is no such class")
	}
	return nil
}

// authenticate finds the team of a bearer key. Keys are looked up by their
// hash, and hashes are compared in constant time.
func authenticate(s *fleet.Snapshot, header string) (*contract.Team, bool) {
	key, ok := strings.CutPrefix(header, "Bearer ")
	if !ok {
		return nil, false
	}
	hash := contract.KeyHash(sha256.Sum256([]byte(key)))
	team, ok := s.TeamByKey(hash)
	if !ok {
		return nil, false
	}
	for _, known := range team.Keys {
		if subtle.ConstantTimeCompare(known[:], hash[:]) == 1 {
			return team, true
		}
	}
	return nil, false
}

// readBody reads the whole request body. Its size stays reserved in the body
// budget until the request ends.
func (api *API) readBody(w http.ResponseWriter, in *inbound) ([]byte, *Refusal) {
	if in.request.ContentLength > api.options.MaxBodyBytes {
		return nil, newRefusal(http.StatusRequestEntityTooLarge, CodeLarge, "the body is too large")
	}
	reader := &budgetReader{
		Reader:    http.MaxBytesReader(w, in.request.Body, api.options.MaxBodyBytes),
		budget:    api.bodies,
		protected: in.class.Protected,
	}
	data, err := io.ReadAll(reader)
	in.bodyBytes = reader.reserved
	if err == nil {
		// Clear the read deadline: the response may take longer.
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
		return data, nil
	}
	return nil, bodyRefusal(err)
}

// bodyRefusal returns the refusal for a body that could not be read.
func bodyRefusal(err error) *Refusal {
	if _, ok := errors.AsType[*http.MaxBytesError](err); ok {
		return newRefusal(http.StatusRequestEntityTooLarge, CodeLarge, "the body is too large")
	}
	if errors.Is(err, errBodyBudget) {
		refusal := newRefusal(http.StatusServiceUnavailable, CodeOverload, "the router holds too many requests")
		refusal.RetryAfter = defaultRetryAfter
		return refusal
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return newRefusal(http.StatusRequestTimeout, CodeSlow, "the body took too long to arrive")
	}
	return newRefusal(http.StatusBadRequest, CodeSyntax, "the body could not be read")
}

// logEnd logs how the request ended.
func (in *inbound) logEnd(log zerolog.Logger, refusal *Refusal) {
	event := log.Info()
	if refusal != nil {
		event = event.Str("code", string(refusal.Code)).Str("run", string(refusal.Run))
	}
	event.
		Str("request", in.id).
		Str("team", in.team.Name).
		Str("class", in.class.Name).
		Str("server", in.server).
		Uint64("revision", in.fleet.Revision).
		Str("preset", in.fleet.Preset.Name).
		Dur("took", time.Since(in.arrived)).
		Msg("request ended")
}

const idBytes = 12

// newID returns a random request ID.
func newID() string {
	var raw [idBytes]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}
