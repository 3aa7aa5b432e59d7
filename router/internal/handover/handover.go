// Package handover encodes requests that one router hands over to another one, which reaches the
// backend servers while the first does not. A request is handed over as a whole in the body of
// a call, so that nothing that a caller sends can be taken for a part of it. The response is the
// one that the caller gets, apart from the outcome in its header, which each one has.
package handover

import (
	"fmt"
	"net/http"
	"time"

	"github.com/juju/errors"

	"snipetally.example/router/internal/codec"
)

// Path is the path of the call, and ContentType the type of its body.
const (
	Path        = "/handover"
	ContentType = "application/cbor"
)

// Outcome says in the header of a response where it comes from.
type Outcome string

const (
	// OutcomeHeader is the header that holds the outcome.
	OutcomeHeader = "Handover-Outcome"

	// Relayed means that the response is that of a backend server.
	Relayed Outcome = "relayed"

	// Declined means that the router did not take the request. Another one may.
	Declined Outcome = "declined"

	// Refused means that the request did not run and will not run.
	Refused Outcome = "refused"

	// Ended means that the router ended the request otherwise; it may have run.
	Ended Outcome = "ended"
)

// Request is a request of a caller as the first router got it, with what the other one needs to
// go on.
type Request struct {
	Method string

	// Target is the path with the query, and Host the host, as the caller sent them.
	Target  string
	Host    string
	Header  http.Header
	Body    []byte
	HasBody bool

	// Timeout is the time that is left, and Service the service that was picked.
	Timeout time.Duration
	Service string

	// Executions is the number of servers that may have run the request, and LastEventID the
	// ID of the last event that the caller has, or empty.
	Executions  int
	LastEventID string

	// PlanVersion is the version of the plan by which the first router admitted the request. A
	// router with an older one must not run it.
	PlanVersion int64
}

// wireRequest is the wire format of a request. The timeout is in microseconds.
type wireRequest struct {
	_           struct{} `cbor:",toarray"`
	Method      string
	Target      string
	Host        string
	Header      map[string][]string
	Body        []byte
	HasBody     bool
	TimeoutUS   int64
	Service     string
	Executions  int
	LastEventID string
	PlanVersion int64
}

// maxTimeout bounds the time that is left.
const maxTimeout = 24 * time.Hour

// Encode returns the CBOR encoding of a request.
func Encode(r Request) ([]byte, error) {
	data, err := codec.Marshal(wireRequest{
		Method: r.Method, Target: r.Target, Host: r.Host, Header: r.Header, Body: r.Body, HasBody: r.HasBody,
		TimeoutUS: r.Timeout.Microseconds(), Service: r.Service, Executions: r.Executions, LastEventID: r.LastEventID,
		PlanVersion: r.PlanVersion,
	})
	if err != nil {
		return nil, fmt.Errorf("encode handed over request: %w", err)
	}
	return data, nil
}

// Decode is the inverse of Encode. It returns an error if the encoding is malformed or holds
// impossible values.
func Decode(data []byte) (Request, error) {
	var w wireRequest
	if err := codec.Unmarshal(data, &w); err != nil {
		return Request{}, fmt.Errorf("decode handed over request: %w", err)
	}
	if w.TimeoutUS <= 0 || w.TimeoutUS > maxTimeout.Microseconds() || w.Executions < 0 || w.Method == "" || w.Target == "" {
		return Request{}, errors.NotValidf("handed over request %s %q with timeout %d and %d executions", w.Method, w.Target, w.TimeoutUS, w.Executions)
	}
	return Request{
		Method: w.Method, Target: w.Target, Host: w.Host, Header: w.Header, Body: w.Body, HasBody: w.HasBody,
		Timeout: time.Duration(w.TimeoutUS) * time.Microsecond, Service: w.Service, Executions: w.Executions, LastEventID: w.LastEventID,
		PlanVersion: w.PlanVersion,
	}, nil
}
