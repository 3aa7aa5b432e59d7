package peer

import (
	"context"
	"fmt"
	"net/http"

	"github.com/twitchtv/twirp"

	"snipetally.example/coordination/membership"
	"snipetally.example/coordination/spread"
)

// ProbeHandler answers probes. *membership.Pool implements it.
type ProbeHandler interface {
	HandleExchange(ctx context.Context, request membership.Message) (membership.Message, error)
	HandleRelay(ctx context.Context, target membership.Target) error
}

// RevisionHandler answers pushes and pulls. *spread.Spreader implements it.
type RevisionHandler interface {
	HandlePush(ctx context.Context, a spread.Announcement) error
	HandlePull(ctx context.Context, after uint64) (spread.Delta, error)
}

// MaxRequestBytes bounds the body of a request between routers.
const MaxRequestBytes = 1 << 20

// NewHandler returns the handler for calls of other routers, to be served
// under PeerPathPrefix. Guard checks the Authorization header and may be nil.
func NewHandler(prober ProbeHandler, revisions RevisionHandler, guard func(http.Handler) http.Handler) http.Handler {
	server := NewPeerServer(&service{prober: prober, revisions: revisions})
	var handler http.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), deadline)
		defer cancel()
		r = r.WithContext(ctx)
		r.Body = http.MaxBytesReader(w, r.Body, MaxRequestBytes)
		server.ServeHTTP(w, r)
	})
	if guard != nil {
		handler = guard(handler)
	}
	return handler
}

// service adapts the coordination packages to the generated server.
type service struct {
	prober    ProbeHandler
	revisions RevisionHandler
}

// Exchange answers a probe.
func (s *service) Exchange(ctx context.Context, w *MessageWire) (*MessageWire, error) {
	answer, err := s.prober.HandleExchange(ctx, messageFromWire(w))
	if err != nil {
		return nil, failure(twirp.FailedPrecondition, "exchange", err)
	}
	return messageToWire(answer), nil
}

// Relay probes a member for the caller.
func (s *service) Relay(ctx context.Context, w *RelayRequest) (*RelayReply, error) {
	target := membership.Target{Name: w.GetName(), Address: w.GetAddress()}
	if err := s.prober.HandleRelay(ctx, target); err != nil {
		return nil, failure(twirp.Unavailable, "relay", err)
	}
	return &RelayReply{}, nil
}

// Push takes an announcement.
func (s *service) Push(ctx context.Context, w *PushRequest) (*PushReply, error) {
	a := spread.Announcement{
		Name: w.GetName(), Address: w.GetAddress(), Incarnation: w.GetIncarnation(), Revision: w.GetRevision(),
	}
	if err := s.revisions.HandlePush(ctx, a); err != nil {
		return nil, failure(twirp.Internal, "push", err)
	}
	return &PushReply{}, nil
}

// Pull returns what the caller lacks.
func (s *service) Pull(ctx context.Context, w *PullRequest) (*DeltaWire, error) {
	delta, err := s.revisions.HandlePull(ctx, w.GetAfter())
	if err != nil {
		return nil, failure(twirp.Internal, "pull", err)
	}
	return deltaToWire(delta), nil
}

// failure returns the error that the generated server sends.
func failure(code twirp.ErrorCode, what string, err error) error {
	return twirp.WrapError(twirp.NewError(code, what), fmt.Errorf("%s: %w", what, err))
}
