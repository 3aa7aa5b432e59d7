package fault

import (
	"context"
	"fmt"
	"sync"
	"time"

	"snipetally.example/coordination/pause"
	"snipetally.example/try/internal/traffic"
)

const (
	// requestTimeout bounds all attempts of one request together.
	requestTimeout = time.Minute

	// retryDelay is the pause between two attempts.
	retryDelay = 50 * time.Millisecond
)

// History holds the results of the attempts of one request, in order. Attempts
// after the first carry the same idempotency key.
type History struct {
	Stream    traffic.Stream
	RequestID string
	Attempts  []traffic.Result
}

// Last returns the result of the last attempt.
func (h *History) Last() *traffic.Result {
	return &h.Attempts[len(h.Attempts)-1]
}

// Completed reports whether the last attempt received a complete response.
func (h *History) Completed() bool {
	return h.Last().Completed
}

// Picker returns the caller address of the router to send an attempt to.
type Picker func(ctx context.Context) (string, error)

// Caller sends requests, retries those that are safe to retry and keeps their
// histories.
type Caller struct {
	// Pick selects the router for each attempt.
	Pick Picker

	// Retry retries service calls with the same idempotency key until they
	// complete, are refused because it is unknown whether they ran, or
	// RetryTimeout has passed. Completions, and all requests if Retry is false,
	// are retried only if a router that is starting or closing refused them.
	Retry bool

	// RetryTimeout bounds the time in which a request is retried. Zero sets no
	// bound besides requestTimeout.
	RetryTimeout time.Duration

	// AttemptTimeout bounds one attempt. Zero sets no bound besides
	// requestTimeout.
	AttemptTimeout time.Duration

	generator *traffic.Generator

	// mu guards histories.
	mu        sync.Mutex
	histories []History
}

// NewCaller returns a caller that authenticates with the keys that teamKey returns.
func NewCaller(teamKey func(team string) string, pick Picker) *Caller {
	return &Caller{Pick: pick, generator: traffic.NewGenerator(teamKey)}
}

// Run keeps perStream requests of each stream in flight until stop is closed, and
// returns when the last request has ended.
func (c *Caller) Run(ctx context.Context, perStream int, stop <-chan struct{}, streams ...traffic.Stream) {
	var group sync.WaitGroup
	for index, stream := range streams {
		for worker := range perStream {
			group.Go(func() {
				for n := 0; !isClosed(stop) && ctx.Err() == nil; n++ {
					c.Send(ctx, stream, fmt.Sprintf("%s-%d-%d-%d-%d", stream.Class, index, worker, n, time.Now().UnixNano()))
				}
			})
		}
	}
	group.Wait()
}

// Send sends one request with its retries, records its history and returns it.
func (c *Caller) Send(ctx context.Context, stream traffic.Stream, requestID string) History {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	retryDeadline := time.Now().Add(c.RetryTimeout)
	h := History{Stream: stream, RequestID: requestID}
	for {
		router, err := c.Pick(ctx)
		if err != nil {
			h.Attempts = append(h.Attempts, traffic.Result{Stream: stream, RequestID: requestID, Err: err})
			break
		}
		h.Attempts = append(h.Attempts, c.attempt(ctx, stream, router, requestID))
		if !c.shouldRetry(h.Last()) || c.RetryTimeout > 0 && time.Now().After(retryDeadline) {
			break
		}
		if !pause.For(ctx, retryDelay) {
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.histories = append(c.histories, h)
	return h
}

// attempt sends a request once, for AttemptTimeout at most.
func (c *Caller) attempt(ctx context.Context, stream traffic.Stream, router, requestID string) traffic.Result {
	if c.AttemptTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.AttemptTimeout)
		defer cancel()
	}
	return c.generator.SendRequest(ctx, stream, router, requestID)
}

// shouldRetry reports whether a request is retried after its last attempt.
func (c *Caller) shouldRetry(last *traffic.Result) bool {
	if last.ErrorCode == "closing" || last.ErrorCode == "starting" {
		return true
	}
	if !c.Retry || last.Stream.Service == "" || last.Completed {
		return false
	}
	return last.Err != nil || last.RunState == "no" || last.ErrorCode == "running" || last.ErrorCode == "table"
}

// Histories returns the histories of the requests that have ended.
func (c *Caller) Histories() []History {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]History(nil), c.histories...)
}

// isClosed reports whether a channel on which nothing is sent is closed.
func isClosed(stop <-chan struct{}) bool {
	select {
	case <-stop:
		return true
	default:
		return false
	}
}
