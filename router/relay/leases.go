package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"snipetally.example/router/internal/placement"
	"snipetally.example/router/internal/sharedrate"
)

// placeEnding is how a request leaves its place at a server.
type placeEnding struct {
	sharedrate.Ending

	// abandoned says that the router closed the connection while the server may work on the request.
	// Some servers go on.
	abandoned bool
}

// sendErrorEnding returns how an attempt without a response leaves its place.
func sendErrorEnding(ctx context.Context, err error) placeEnding {
	switch {
	case errors.Is(err, errServerLeaving), errors.Is(err, errQuarantined), errors.Is(err, placement.ErrLimited):
		return placeEnding{Ending: sharedrate.Unused}
	case ctx.Err() != nil:
		return placeEnding{Ending: sharedrate.Unused, abandoned: true}
	}
	return placeEnding{Ending: sharedrate.Lost}
}

// responseEnding returns how an attempt with a response leaves its place.
func responseEnding(ctx context.Context, result attemptResult, status int) placeEnding {
	switch {
	case status == http.StatusMisdirectedRequest:
		return placeEnding{Ending: sharedrate.Lost}
	case result == notExecuted:
		return placeEnding{Ending: sharedrate.Rejected}
	case result == answered, result == serverError:
		return placeEnding{Ending: sharedrate.Finished}
	case ctx.Err() != nil, result == callerGone:
		return placeEnding{Ending: sharedrate.Unused, abandoned: true}
	}
	return placeEnding{Ending: sharedrate.Lost}
}

// releaseLease gives back the place of a request at a server. If the server may still work on the
// request, that is done after the time that it usually takes.
func (r *relay) releaseLease(at *place) {
	lease, ending := at.lease, at.ending
	at.lease = 0
	switch {
	case lease == 0:
	case ending.abandoned:
		time.AfterFunc(at.reservation.ExpectedLatency(), func() { r.limits.Release(lease, ending.Ending) })
	default:
		r.limits.Release(lease, ending.Ending)
	}
}
