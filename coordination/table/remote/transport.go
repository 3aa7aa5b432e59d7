package remote

import (
	"net"
	"net/http"
	"time"

	"snipetally.example/coordination/response"
)

const (
	dialTimeout        = time.Second
	idleTimeout        = 10 * time.Second
	maxIdleConnections = 16
	maxHeaderBytes     = 64 << 10
)

// newClient returns a client that sends each request at most once. It does not
// follow redirects, since 307 and 308 resend the body, and does not use HTTP/2,
// which resends requests after GOAWAY. Idle connections are closed after
// idleTimeout, since a middlebox may have dropped their state.
func newClient() *http.Client {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Client{
		Transport: &http.Transport{
			DialContext:            response.Checked((&net.Dialer{Timeout: dialTimeout}).DialContext),
			MaxIdleConnsPerHost:    maxIdleConnections,
			IdleConnTimeout:        idleTimeout,
			MaxResponseHeaderBytes: maxHeaderBytes,
			Protocols:              protocols,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}
