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

// ClassHeader names the class that a caller asks for.
const ClassHeader = "Class"

// IdempotencyHeader carries the caller's idempotency key.
const IdempotencyHeader = "Idempotency-Key"

// maxIdempotencyKey bounds the length of an idempotency key in bytes.
const maxIdempotencyKey = 255

// inbound is one request of a caller, from its arrival to its end. It holds one
// snapshot of the fleet throughout.
type inbound struct {
	id      string
	request *http.Request
	arrived time.Time
	fleet   *fleet.Snapshot
	team    *contract.Team
	class   *class.Class
	key     string

	// server is the name of the backend server that ran the request last.
	server string
	timing timing

	// begun means that the caller has got a part of the answer.
	begun bool

	// held is the room in bytes that is reserved for the body.
	held int64

	// settled means that what the caller is told of whether the request ran
	// holds for earlier calls with the same idempotency key, too.
	settled bool
}

// ctx returns the context of the caller's connection.
func (v *inbound) ctx() context.Context {
	return v.request.Context()
}

// open acquires a snapshot for the request, authenticates its team and finds
// its class.
func (api *API) open(r *http.Request) (*inbound, *Refusal) {
	snapshot := api.options.Fleet.Acquire()
	if snapshot == nil {
		refused := refuse(http.StatusServiceUnavailable, CodeStarting, "the router has no settings yet")
		refused.RetryAfter = time.Second
		return nil, refused
	}
	if !api.options.SettingsFresh() {
		snapshot.Release()
		refused := refuse(http.StatusServiceUnavailable, CodeIsolated, "the router is cut off from the others and the table")
		refused.RetryAfter = time.Second
		return nil, refused
	}
	now := time.Now()
	v := &inbound{id: newID(), request: r, arrived: now, fleet: snapshot, timing: timing{arrived: now}}
	if refused := v.identify(); refused != nil {
		snapshot.Release()
		return nil, refused
	}
	return v, nil
}

func (v *inbound) identify() *Refusal {
	team, ok := authenticate(v.fleet, v.request.Header.Get("Authorization"))
	if !ok {
		return refuse(http.StatusUnauthorized, CodeKey, "the key names no team")
	}
	v.team = team
	v.key = v.request.Header.Get(IdempotencyHeader)
	if len(v.key) > maxIdempotencyKey {
		return refuse(http.StatusBadRequest, CodeLarge, "the idempotency key is too long")
	}
	name := v.request.Header.Get(ClassHeader)
	if name == "" {
		name = team.Classes[0]
	}
	if !slices.Contains(team.Classes, name) {
		return refuse(http.StatusForbidden, CodeClass, "the team's contract does not allow the class")
	}
	v.class, ok = v.fleet.Classes[name]
	if !ok {
		return refuse(http.StatusForbidden, CodeClass, "there is no such class")
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

// body reads the whole body of the request. Room for it is held until the
// request ends.
func (api *API) body(w http.ResponseWriter, v *inbound) ([]byte, *Refusal) {
	if v.request.ContentLength > api.options.MaxBodyBytes {
		return nil, refuse(http.StatusRequestEntityTooLarge, CodeLarge, "the body is too large")
	}
	reader := &roomReader{
		Reader:    http.MaxBytesReader(w, v.request.Body, api.options.MaxBodyBytes),
		room:      api.room,
		protected: v.class.Protected,
	}
	data, err := io.ReadAll(reader)
	v.held = reader.held
	if err == nil {
		// The time to read is over; the answer may take longer.
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
		return data, nil
	}
	return nil, unread(err)
}

// unread returns the refusal of a body that could not be read.
func unread(err error) *Refusal {
	if _, ok := errors.AsType[*http.MaxBytesError](err); ok {
		return refuse(http.StatusRequestEntityTooLarge, CodeLarge, "the body is too large")
	}
	if errors.Is(err, errNoRoom) {
		refused := refuse(http.StatusServiceUnavailable, CodeOverload, "the router holds too many requests")
		refused.RetryAfter = retryAfter
		return refused
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return refuse(http.StatusRequestTimeout, CodeSlow, "the body took too long to arrive")
	}
	return refuse(http.StatusBadRequest, CodeSyntax, "the body could not be read")
}

// log writes the line that tells how the request ended.
func (v *inbound) log(log zerolog.Logger, refused *Refusal) {
	event := log.Info()
	if refused != nil {
		event = event.Str("code", string(refused.Code)).Str("run", string(refused.Run))
	}
	event.
		Str("request", v.id).
		Str("team", v.team.Name).
		Str("class", v.class.Name).
		Str("server", v.server).
		Uint64("revision", v.fleet.Revision).
		Str("preset", v.fleet.Preset.Name).
		Dur("took", time.Since(v.arrived)).
		Msg("request ended")
}

const idBytes = 12

// newID returns a random id.
func newID() string {
	var raw [idBytes]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}
