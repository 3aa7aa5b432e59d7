// Package link is the client that the operators' command line uses to call a
// router. It adds the operator's key to each call and maps the router's errors. Of
// the project, it imports the wire contract only.
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
	// ErrSuperseded means that the document was changed by somebody else in the
	// meantime. The call changed nothing.
	ErrSuperseded = errors.ConstError("superseded")

	// ErrForbidden means that the key is unknown or that the operator may not
	// change the document. The call changed nothing.
	ErrForbidden = errors.ConstError("not allowed")

	// ErrInvalid means that the change itself is invalid. The call changed nothing.
	ErrInvalid = errors.ConstError("invalid change")

	// ErrUnavailable means that the router or the table service did not accept
	// the call. The call changed nothing.
	ErrUnavailable = errors.ConstError("unavailable")

	// ErrUncertain means that the response was lost. The change may or may not have
	// been accepted. Repeating it with the same token is safe.
	ErrUncertain = errors.ConstError("outcome unknown")
)

// Options are the options of a client.
type Options struct {
	// Address is the IP address and port at which the router serves operators.
	Address string
	Key     string

	// Timeout bounds each call.
	Timeout time.Duration

	// CAFile is the path of a PEM file with the certificate authority of the
	// router. If it is empty, the client uses plain HTTP.
	CAFile string
}

// Client calls one router.
type Client struct {
	operators.Operators

	baseURL string
	client  *http.Client
}

// authorizingTransport adds the operator's key to each request.
type authorizingTransport struct {
	key  string
	next http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t *authorizingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+t.key)
	return t.next.RoundTrip(r)
}

// New returns a client of the router.
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
	c := &Client{
		baseURL: scheme + "://" + options.Address,
		client:  &http.Client{Transport: &authorizingTransport{options.Key, transport}, Timeout: options.Timeout},
	}
	c.Operators = operators.NewOperatorsProtobufClient(c.baseURL, c.client)
	return c, nil
}

// Dump copies the router's state dump to w.
func (c *Client) Dump(ctx context.Context, w io.Writer) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+"/state", nil)
	if err != nil {
		return fmt.Errorf("create request: %w", err)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return fmt.Errorf("request dump: %w: %w", ErrUnavailable, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("request dump: status %d: %w", response.StatusCode, ErrForbidden)
	}
	if _, err := io.Copy(w, response.Body); err != nil {
		return fmt.Errorf("read dump: %w", err)
	}
	return nil
}

// MapReadError is like MapError, but for a call that changes nothing. It returns
// ErrUnavailable in place of ErrUncertain, since the call has no outcome to be
// uncertain about.
func MapReadError(err error) error {
	mapped := MapError(err)
	if errors.Is(mapped, ErrUncertain) {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return mapped
}

// failedToConnect reports whether a call failed before there was a connection to
// send it on.
func failedToConnect(err error) bool {
	opErr, ok := errors.AsType[*net.OpError](err)
	return ok && opErr.Op == "dial"
}

// MapError maps an error of a Twirp call to one that wraps an error of this
// package. It returns other errors unchanged.
func MapError(err error) error {
	twirpErr, ok := errors.AsType[twirp.Error](err)
	if !ok {
		return err
	}
	mapped := ErrUncertain
	if failedToConnect(err) {
		mapped = ErrUnavailable
	}
	switch twirpErr.Code() {
	case twirp.FailedPrecondition, twirp.Aborted:
		mapped = ErrSuperseded
	case twirp.Unauthenticated, twirp.PermissionDenied:
		mapped = ErrForbidden
	case twirp.InvalidArgument, twirp.NotFound, twirp.AlreadyExists:
		mapped = ErrInvalid
	case twirp.Unavailable, twirp.ResourceExhausted, twirp.BadRoute:
		mapped = ErrUnavailable
	}
	return fmt.Errorf("%w: %s", mapped, twirpErr.Msg())
}
