package attempt

import (
	"context"

	"snipetally.example/router/internal/link"
)

// State is what a backend server says of an attempt that was made earlier,
// by this router or by another one.
type State uint8

const (
	// StateUnknown means that the server can't tell.
	StateUnknown State = iota

	// StateRan means that the attempt ran, wholly or in part. One that was
	// canceled and made no token is unsure.
	StateRan

	// StateRunning means that the attempt waits or runs.
	StateRunning

	// StateNotRun means that the server has not run the attempt and refuses
	// it from now on.
	StateNotRun
)

// QueryState asks a backend server about an attempt. Service tells plain services
// apart from engines. Epoch is the server's epoch that was known before the
// attempt was made: a server with another one may have forgotten it.
func QueryState(ctx context.Context, l *link.Link, service bool, attempt, epoch string) (State, error) {
	path := requestPath(attempt)
	if service {
		path = servicePath(attempt)
	}
	s, err := ask(ctx, l, path, attempt)
	if err != nil {
		return StateUnknown, err
	}
	switch s.state {
	case stateDone:
		return StateRan, nil
	case stateCanceled:
		if s.tokens > 0 {
			return StateRan, nil
		}
		return StateUnknown, nil
	case stateRunning, stateQueued:
		return StateRunning, nil
	}
	if s.notRun(epoch) {
		return StateNotRun, nil
	}
	return StateUnknown, nil
}
