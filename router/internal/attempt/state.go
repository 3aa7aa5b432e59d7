package attempt

import (
	"context"

	"snipetally.example/router/internal/link"
)

// State is the state that a backend server reports for an attempt that was made
// earlier, by this router or by another one.
type State uint8

const (
	// StateUnknown means that the server can't tell whether the attempt ran.
	StateUnknown State = iota

	// StateRan means that the attempt ran, completely or in part. An attempt that
	// was canceled without making a token is StateUnknown.
	StateRan

	// StateRunning means that the attempt is queued or running.
	StateRunning

	// StateNotRun means that the server has not run the attempt and refuses it
	// from now on.
	StateNotRun
)

// QueryState queries a backend server for the state of an attempt. The service
// flag is set for plain services and unset for engines. The epoch is the server's
// epoch as known before the attempt was made: a server with a different epoch may
// have forgotten the attempt.
func QueryState(ctx context.Context, l *link.Link, service bool, attempt, epoch string) (State, error) {
	path := requestPath(attempt)
	if service {
		path = servicePath(attempt)
	}
	s, err := queryStatus(ctx, l, path, attempt)
	if err != nil {
		return StateUnknown, err
	}
	switch s.state {
	case reportedDone:
		return StateRan, nil
	case reportedCanceled:
		if s.tokens > 0 {
			return StateRan, nil
		}
		return StateUnknown, nil
	case reportedRunning, reportedQueued:
		return StateRunning, nil
	}
	if s.provesNotRun(epoch) {
		return StateNotRun, nil
	}
	return StateUnknown, nil
}
