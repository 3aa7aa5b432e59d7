// Package record is the contract between routers for the records of calls that
// run at most once. It maps the types of coordination/record to generated ones
// by hand. It imports that package, the generated code's libraries and the
// standard library.
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

// ErrMalformed says that a message of another router can't be used.
const ErrMalformed = errors.ConstError("malformed message")

// RequestHandler is what answers other routers. *record.RequestHandler is one.
type RequestHandler interface {
	Commit(ctx context.Context, entry record.Entry) record.CommitResult
	Await(ctx context.Context, incarnation, attempt string) (record.Outcome, error)
	Claim(ctx context.Context, claim record.Claim) (record.Claim, error)
}

// AddressResolver finds the address of a VM, which is an IP address and a port.
type AddressResolver func(vm string) (address string, ok bool)

// Client reaches other routers. It implements record.Client.
type Client struct {
	client    *http.Client
	scheme    string
	addresses AddressResolver
}

var _ record.Peers = (*Client)(nil)

// NewClient returns the way to other routers. The round tripper adds the
// Authorization header. Scheme is http or https.
func NewClient(tripper http.RoundTripper, scheme string, addresses AddressResolver) *Client {
	return &Client{client: &http.Client{Transport: tripper}, scheme: scheme, addresses: addresses}
}

// at returns the client of a VM.
func (p *Client) at(vm string) (Records, error) {
	address, ok := p.addresses(vm)
	if !ok {
		return nil, fmt.Errorf("find %s: %w", vm, record.ErrUnknownAttempt)
	}
	return NewRecordsProtobufClient(p.scheme+"://"+address, p.client), nil
}

// Commit implements record.Peers.
func (p *Client) Commit(ctx context.Context, vm string, entry record.Entry) (record.CommitResult, error) {
	client, err := p.at(vm)
	if err != nil {
		return record.CommitUncertain, err
	}
	reply, err := client.Commit(ctx, entryToWire(entry))
	if err != nil {
		return record.CommitUncertain, fmt.Errorf("commit at %s: %w", vm, err)
	}
	return record.CommitResult(reply.GetVerdict()), nil
}

// Await implements record.Peers. The error wraps record.ErrGone if the VM or
// the attempt is not known.
func (p *Client) Await(ctx context.Context, vm, incarnation, attempt string) (record.Outcome, error) {
	client, err := p.at(vm)
	if err != nil {
		return record.Outcome{}, err
	}
	reply, err := client.Await(ctx, &AwaitRequest{Incarnation: incarnation, Attempt: attempt})
	if err != nil {
		return record.Outcome{}, fmt.Errorf("await at %s: %w", vm, cause(err))
	}
	return outcomeFromWire(reply), nil
}

// Claim implements record.Peers.
func (p *Client) Claim(ctx context.Context, vm string, claim record.Claim) (record.Claim, error) {
	client, err := p.at(vm)
	if err != nil {
		return record.Claim{}, err
	}
	reply, err := client.Claim(ctx, claimToWire(claim))
	if err != nil {
		return record.Claim{}, fmt.Errorf("claim at %s: %w", vm, cause(err))
	}
	held, err := claimFromWire(reply)
	if err != nil {
		return record.Claim{}, fmt.Errorf("claim at %s: %w", vm, err)
	}
	return held, nil
}

// cause maps the word of another router that an attempt is gone.
func cause(err error) error {
	if failure, ok := errors.AsType[twirp.Error](err); ok && failure.Code() == twirp.NotFound {
		return fmt.Errorf("%w: %s", record.ErrUnknownAttempt, failure.Msg())
	}
	return err
}

// NewHandler returns the handler for calls of other routers, to be served
// under RecordsPathPrefix.
func NewHandler(book RequestHandler) http.Handler {
	return NewRecordsServer(&service{book: book})
}

// service adapts a book to the generated server.
type service struct {
	book RequestHandler
}

// Commit answers a router that hands over an entry.
func (s *service) Commit(ctx context.Context, w *EntryWire) (*VerdictWire, error) {
	return &VerdictWire{Verdict: uint32(s.book.Commit(ctx, entryFromWire(w)))}, nil
}

// Await answers a router that waits for an attempt.
func (s *service) Await(ctx context.Context, w *AwaitRequest) (*OutcomeWire, error) {
	outcome, err := s.book.Await(ctx, w.GetIncarnation(), w.GetAttempt())
	if errors.Is(err, record.ErrUnknownAttempt) {
		return nil, twirp.NewError(twirp.NotFound, err.Error())
	}
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return outcomeToWire(outcome), nil
}

// Claim answers a router that asks for a place.
func (s *service) Claim(ctx context.Context, w *ClaimWire) (*ClaimWire, error) {
	claim, err := claimFromWire(w)
	if err != nil {
		return nil, twirp.NewError(twirp.InvalidArgument, err.Error())
	}
	held, err := s.book.Claim(ctx, claim)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return claimToWire(held), nil
}
