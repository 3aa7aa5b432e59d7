// Package link is the path from the operators' command to a router. It adds
// the operator's key to each call and maps the router's errors. It imports the
// wire contract only.
package link

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/twitchtv/twirp"

	"snipetally.example/wire/operators"
)

// Errors of calls to a router.
const (
	// ErrSuperseded says that the document was changed meanwhile. Nothing was
	// changed.
	ErrSuperseded = errors.ConstError("superseded")

	// ErrForbidden says that the key is unknown or that the operator may not
	// change the document. Nothing was changed.
	ErrForbidden = errors.ConstError("not allowed")

	// ErrInvalid says that the change is wrong in itself. Nothing was changed.
	ErrInvalid = errors.ConstError("invalid change")

	// ErrUnavailable says that the router or the table service did not take
	// the call. Nothing was changed.
	ErrUnavailable = errors.ConstError("unavailable")

	// ErrUncertain says that the answer was lost. The change may or may not be
	// accepted; repeating it with the same token is safe.
	ErrUncertain = errors.ConstError("outcome unknown")
)

// Options tell which router to call and how.
type Options struct {
	// Address is the IP address and port of the router's operators' address.
	Address string
	Key     string
	Timeout time.Duration

	// CAFile is the path of a PEM file with the certificate authority of
	// the router's address. Without it the address speaks plain HTTP.
	CAFile string
}

// Client calls one router.
type Client struct {
	operators.Operators

	base   string
	client *http.Client
}

// keyed adds the operator's key to each request.
type keyed struct {
	key  string
	next http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (k *keyed) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+k.key)
	return k.next.RoundTrip(r)
}

// New returns a link to the router.
func New(options Options) (*Client, error) {
	transport := &http.Transport{}
	scheme := "http"
	if options.CAFile != "" {
		scheme = "https"
		pem, err := os.ReadFile(options.CAFile)
		if err != nil {
			return nil, fmt.Errorf("read certificate authority: %w", err)
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return nil, fmt.Errorf("certificate authority %s: %w", options.CAFile, ErrInvalid)
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	}
	l := &Client{
		base:   scheme + "://" + options.Address,
		client: &http.Client{Transport: &keyed{options.Key, transport}, Timeout: options.Timeout},
	}
	l.Operators = operators.NewOperatorsProtobufClient(l.base, l.client)
	return l, nil
}

// Dump copies the router's state dump to w.
func (l *Client) Dump(ctx context.Context, w io.Writer) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, l.base+"/state", nil)
	if err != nil {
		return fmt.Errorf("make request: %w", err)
	}
	response, err := l.client.Do(request)
	if err != nil {
		return fmt.Errorf("ask for dump: %w: %w", ErrUnavailable, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("ask for dump: status %d: %w", response.StatusCode, ErrForbidden)
	}
	if _, err := io.Copy(w, response.Body); err != nil {
		return fmt.Errorf("read dump: %w", err)
	}
	return nil
}

// MapReadError maps an error of a twirp call that changes nothing. Its outcome is
// never in doubt.
func MapReadError(err error) error {
	cause := MapError(err)
	if errors.Is(cause, ErrUncertain) {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return cause
}

// unsent reports whether a call failed before a connection was there to send
// it on.
func unsent(err error) bool {
	failure, ok := errors.AsType[*net.OpError](err)
	return ok && failure.Op == "dial"
}

// MapError maps an error of a twirp call to one of the errors of this package.
func MapError(err error) error {
	failure, ok := errors.AsType[twirp.Error](err)
	if !ok {
		return err
	}
	kind := ErrUncertain
	if unsent(err) {
		kind = ErrUnavailable
	}
	switch failure.Code() {
	case twirp.FailedPrecondition, twirp.Aborted:
		kind = ErrSuperseded
	case twirp.Unauthenticated, twirp.PermissionDenied:
		kind = ErrForbidden
	case twirp.InvalidArgument, twirp.NotFound, twirp.AlreadyExists:
		kind = ErrInvalid
	case twirp.Unavailable, twirp.ResourceExhausted, twirp.BadRoute:
		kind = ErrUnavailable
	}
	return fmt.Errorf("%w: %s", kind, failure.Msg())
}
