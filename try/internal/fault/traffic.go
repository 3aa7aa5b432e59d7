package fault

import (
	"context"
	"fmt"
	"sync"
	"time"

	"snipetally.example/try/internal/traffic"
)

const (
	// giveUp bounds the tries of one request.
	giveUp = time.Minute

	retryPause = 50 * time.Millisecond
)

// History is what became of one request: each try, in order. Tries after the
// first carry the same idempotency key.
type History struct {
	Stream    traffic.Stream
	RequestID string
	Attempts  []traffic.Result
}

// Last is the last try.
func (h *History) Last() *traffic.Result {
	return &h.Attempts[len(h.Attempts)-1]
}

// Completed reports whether the request got its whole answer.
func (h *History) Completed() bool {
	return h.Last().Completed
}

// Picker returns the address of a router to send to.
type Picker func(ctx context.Context) (string, error)

// Caller sends requests one after the other and repeats those that a careful
// client repeats.
type Caller struct {
	Pick Picker

	// Retry repeats calls of services with the same idempotency key until they
	// are answered or told that it is not known whether they ran, or their
	// patience is over. Without it a request is tried again only if a router
	// turned it away before it was taken.
	Retry bool

	// RetryTimeout is how long a call is repeated. Zero means the longest time.
	RetryTimeout time.Duration

	// AttemptTimeout is how long a try may take. Zero means the longest time.
	AttemptTimeout time.Duration

	load *traffic.Generator

	// mu guards histories.
	mu        sync.Mutex
	histories []History
}

// NewCaller returns a caller with the keys of teams.
func NewCaller(key func(team string) string, pick Picker) *Caller {
	return &Caller{Pick: pick, load: traffic.NewGenerator(key)}
}

// Run keeps the given number of requests of each stream going until stop is
// closed, and returns when the last has ended.
func (c *Caller) Run(ctx context.Context, each int, stop <-chan struct{}, streams ...traffic.Stream) {
	var group sync.WaitGroup
	for index, stream := range streams {
		for worker := range each {
			group.Go(func() {
				for n := 0; !closed(stop) && ctx.Err() == nil; n++ {
					c.Send(ctx, stream, fmt.Sprintf("%s-%d-%d-%d-%d", stream.Class, index, worker, n, time.Now().UnixNano()))
				}
			})
		}
	}
	group.Wait()
}

// Send sends one request and returns its history.
func (c *Caller) Send(ctx context.Context, stream traffic.Stream, number string) History {
	ctx, cancel := context.WithTimeout(ctx, giveUp)
	defer cancel()
	patience := time.Now().Add(c.RetryTimeout)
	h := History{Stream: stream, RequestID: number}
	for {
		router, err := c.Pick(ctx)
		if err != nil {
			h.Attempts = append(h.Attempts, traffic.Result{Stream: stream, RequestID: number, Err: err})
			break
		}
		h.Attempts = append(h.Attempts, c.try(ctx, stream, router, number))
		if !c.again(h.Last()) || c.RetryTimeout > 0 && time.Now().After(patience) {
			break
		}
		if pause(ctx, retryPause) != nil {
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.histories = append(c.histories, h)
	return h
}

// try sends a request once.
func (c *Caller) try(ctx context.Context, stream traffic.Stream, router, number string) traffic.Result {
	if c.AttemptTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.AttemptTimeout)
		defer cancel()
	}
	return c.load.SendRequest(ctx, stream, router, number)
}

// again decides whether a request is sent again after a try.
func (c *Caller) again(last *traffic.Result) bool {
	if last.ErrorCode == "closing" || last.ErrorCode == "starting" {
		return true
	}
	if !c.Retry || last.Stream.Service == "" || last.Completed {
		return false
	}
	return last.Err != nil || last.RunState == "no" || last.ErrorCode == "running" || last.ErrorCode == "table"
}

// Histories returns what became of the requests that have ended.
func (c *Caller) Histories() []History {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]History(nil), c.histories...)
}

func closed(stop <-chan struct{}) bool {
	select {
	case <-stop:
		return true
	default:
		return false
	}
}
