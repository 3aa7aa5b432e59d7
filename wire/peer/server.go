package peer

import (
	"context"
	"fmt"
	"net/http"

	"github.com/twitchtv/twirp"

	"snipetally.example/coordination/membership"
	"snipetally.example/coordination/spread"
)

// ProbeHandler handles membership probes. *membership.Node implements it.
type ProbeHandler interface {
	HandleExchange(ctx context.Context, request membership.Message) (membership.Message, error)
	HandleRelay(ctx context.Context, target membership.Target) error
}

// RevisionHandler handles pushes and pulls of revisions. *spread.Replicator
// implements it.
type RevisionHandler interface {
	HandlePush(ctx context.Context, a spread.Announcement) error
	HandlePull(ctx context.Context, after uint64) (spread.Delta, error)
}

// MaxRequestBytes bounds the body of a request between routers.
const MaxRequestBytes = 1 << 20

// NewHandler returns the HTTP handler for calls of other routers, to be served
// under PeerPathPrefix. The middleware authenticate checks the Authorization
// header and may be nil.
func NewHandler(probes ProbeHandler, revisions RevisionHandler, authenticate func(http.Handler) http.Handler) http.Handler {
	server := NewPeerServer(&service{probes: probes, revisions: revisions})
	var handler http.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
		defer cancel()
		r = r.WithContext(ctx)
		r.Body = http.MaxBytesReader(w, r.Body, MaxRequestBytes)
		server.ServeHTTP(w, r)
	})
	if authenticate != nil {
		handler = authenticate(handler)
	}
	return handler
}

// service adapts the handlers to the generated server.
type service struct {
	probes    ProbeHandler
	revisions RevisionHandler
}

// Exchange handles a membership message and returns the reply.
func (s *service) Exchange(ctx context.Context, w *MessageWire) (*MessageWire, error) {
	reply, err := s.probes.HandleExchange(ctx, messageFromWire(w))
	if err != nil {
		return nil, serverError(twirp.FailedPrecondition, "exchange", err)
	}
	return messageToWire(reply), nil
}

// Relay probes a member on behalf of the calling router.
func (s *service) Relay(ctx context.Context, w *RelayRequest) (*RelayReply, error) {
	target := membership.Target{Name: w.GetName(), Address: w.GetAddress()}
	if err := s.probes.HandleRelay(ctx, target); err != nil {
		return nil, serverError(twirp.Unavailable, "relay", err)
	}
	return &RelayReply{}, nil
}

// Push handles the announcement of a revision.
func (s *service) Push(ctx context.Context, w *PushRequest) (*PushReply, error) {
	a := spread.Announcement{
		Name: w.GetName(), Address: w.GetAddress(), Incarnation: w.GetIncarnation(), Revision: w.GetRevision(),
	}
	if err := s.revisions.HandlePush(ctx, a); err != nil {
		return nil, serverError(twirp.Internal, "push", err)
	}
	return &PushReply{}, nil
}

// Pull returns what the calling router lacks after its revision.
func (s *service) Pull(ctx context.Context, w *PullRequest) (*DeltaWire, error) {
	delta, err := s.revisions.HandlePull(ctx, w.GetAfter())
	if err != nil {
		return nil, serverError(twirp.Internal, "pull", err)
	}
	return deltaToWire(delta), nil
}

// serverError returns a twirp error with the operation as its message that
// wraps err.
func serverError(code twirp.ErrorCode, operation string, err error) error {
	return twirp.WrapError(twirp.NewError(code, operation), fmt.Errorf("%s: %w", operation, err))
}
