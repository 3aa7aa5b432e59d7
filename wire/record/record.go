// Package record is the protocol between routers for the records of calls that
// run at most once. It converts the types of coordination/record to and from
// generated ones. It imports that package, the libraries of the generated code
// and the standard library.
package record

import (
	"context"
	"fmt"
	"net/http"

	"github.com/juju/errors"
	"github.com/twitchtv/twirp"

	"snipetally.example/coordination/record"
)

//go:generate protoc --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative record.proto

// ErrMalformed means that a message of another router is invalid.
const ErrMalformed = errors.ConstError("malformed message")

// RequestHandler handles the calls of other routers. *record.Recorder
// implements it.
type RequestHandler interface {
	Commit(ctx context.Context, entry record.Entry) record.CommitResult
	Await(ctx context.Context, incarnation, attempt string) (record.Outcome, error)
	Claim(ctx context.Context, claim record.Claim) (record.Claim, error)
}

// AddressResolver returns the address of a VM, an IP address and a port, and
// whether it is known.
type AddressResolver func(vm string) (address string, ok bool)

// Client calls other routers. It implements record.Peers.
type Client struct {
	client  *http.Client
	scheme  string
	resolve AddressResolver
}

var _ record.Peers = (*Client)(nil)

// NewClient returns a client that calls other routers through transport, which
// adds the Authorization header. Scheme is http or https.
func NewClient(transport http.RoundTripper, scheme string, resolve AddressResolver) *Client {
	return &Client{client: &http.Client{Transport: transport}, scheme: scheme, resolve: resolve}
}

// clientFor returns the generated client for a VM. The error wraps
// record.ErrUnknownAttempt if the address of the VM is not known.
func (c *Client) clientFor(vm string) (Records, error) {
	address, ok := c.resolve(vm)
	if !ok {
		return nil, fmt.Errorf("find %s: %w", vm, record.ErrUnknownAttempt)
	}
	return NewRecordsProtobufClient(c.scheme+"://"+address, c.client), nil
}

// Commit implements record.Peers.
func (c *Client) Commit(ctx context.Context, vm string, entry record.Entry) (record.CommitResult, error) {
	client, err := c.clientFor(vm)
	if err != nil {
		return record.CommitUncertain, err
	}
	reply, err := client.Commit(ctx, entryToWire(entry))
	if err != nil {
		return record.CommitUncertain, fmt.Errorf("commit at %s: %w", vm, err)
	}
	return record.CommitResult(reply.GetVerdict()), nil
}

// Await implements record.Peers. The error wraps record.ErrUnknownAttempt if
// the VM or the attempt is not known.
func (c *Client) Await(ctx context.Context, vm, incarnation, attempt string) (record.Outcome, error) {
	client, err := c.clientFor(vm)
	if err != nil {
		return record.Outcome{}, err
	}
	reply, err := client.Await(ctx, &AwaitRequest{Incarnation: incarnation, Attempt: attempt})
	if err != nil {
		return record.Outcome{}, fmt.Errorf("await at %s: %w", vm, mapError(err))
	}
	return outcomeFromWire(reply), nil
}

// Claim implements record.Peers.
func (c *Client) Claim(ctx context.Context, vm string, claim record.Claim) (record.Claim, error) {
	client, err := c.clientFor(vm)
	if err != nil {
		return record.Claim{}, err
	}
	reply, err := client.Claim(ctx, claimToWire(claim))
	if err != nil {
		return record.Claim{}, fmt.Errorf("claim at %s: %w", vm, mapError(err))
	}
	current, err := claimFromWire(reply)
	if err != nil {
		return record.Claim{}, fmt.Errorf("claim at %s: %w", vm, err)
	}
	return current, nil
}

// mapError wraps record.ErrUnknownAttempt if another router answered that it
// does not know the attempt.
func mapError(err error) error {
	if failure, ok := errors.AsType[twirp.Error](err); ok && failure.Code() == twirp.NotFound {
		return fmt.Errorf("%w: %s", record.ErrUnknownAttempt, failure.Msg())
	}
	return err
}

// NewHandler returns the HTTP handler for calls of other routers, to be served
// under RecordsPathPrefix.
func NewHandler(handler RequestHandler) http.Handler {
	return NewRecordsServer(&service{handler: handler})
}

// service adapts a RequestHandler to the generated server.
type service struct {
	handler RequestHandler
}

// Commit handles a call of another router to commit an entry.
func (s *service) Commit(ctx context.Context, w *EntryWire) (*VerdictWire, error) {
	return &VerdictWire{Verdict: uint32(s.handler.Commit(ctx, entryFromWire(w)))}, nil
}

// Await handles a call of another router to wait for the outcome of an attempt.
func (s *service) Await(ctx context.Context, w *AwaitRequest) (*OutcomeWire, error) {
	outcome, err := s.handler.Await(ctx, w.GetIncarnation(), w.GetAttempt())
	if errors.Is(err, record.ErrUnknownAttempt) {
		return nil, twirp.NewError(twirp.NotFound, err.Error())
	}
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return outcomeToWire(outcome), nil
}

// Claim handles a call of another router to claim a location.
func (s *service) Claim(ctx context.Context, w *ClaimWire) (*ClaimWire, error) {
	claim, err := claimFromWire(w)
	if err != nil {
		return nil, twirp.NewError(twirp.InvalidArgument, err.Error())
	}
	current, err := s.handler.Claim(ctx, claim)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return claimToWire(current), nil
}
