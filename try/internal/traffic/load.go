// Package traffic sends the partners' mixed traffic to routers and notes what
// became of each request. It imports the engine stand-in only for the answer
// that a prompt must get.
package traffic

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Stream is a steady flow of one class's requests.
type Stream struct {
	Class string
	Team  string

	// Model is set for completions, Service for calls of a plain service.
	Model   string
	Service string

	// Rate is the number of requests in a second.
	Rate float64

	// PromptBytes is the length of a prompt in bytes, Limit the largest number of
	// tokens of an answer.
	PromptBytes int
	MaxTokens   int

	// Unstreamed asks for an answer in one piece in place of a stream.
	Unstreamed bool

	// FirstTokenTarget is the target for the time to the first token or byte.
	FirstTokenTarget time.Duration
}

// DefaultStreams returns the mixed traffic of both partners, with its rates multiplied
// by scale.
func DefaultStreams(scale float64) []Stream {
	streams := []Stream{
		{Class: "grant", Team: "portal", Service: "login", Rate: 12, FirstTokenTarget: 250 * time.Millisecond},
		{Class: "desk", Team: "hotel", Model: "mazungumzo", Rate: 10, PromptBytes: 600, MaxTokens: 64, FirstTokenTarget: 420 * time.Millisecond},
		{Class: "chat", Team: "hotel", Model: "mazungumzo", Rate: 12, PromptBytes: 200, MaxTokens: 32, FirstTokenTarget: 420 * time.Millisecond},
		{Class: "ticket", Team: "hotel", Model: "mazungumzo", Rate: 8, PromptBytes: 400, MaxTokens: 8, Unstreamed: true, FirstTokenTarget: 20 * time.Second},
		{Class: "booking", Team: "plots", Service: "plots", Rate: 5, FirstTokenTarget: 250 * time.Millisecond},
		{Class: "lookup", Team: "plots", Service: "plots", Rate: 10, FirstTokenTarget: 300 * time.Millisecond},
		{Class: "lease", Team: "volunteers", Model: "bhasha", Rate: 2, PromptBytes: 6000, MaxTokens: 400, FirstTokenTarget: 2 * time.Second},
		{Class: "crop", Team: "volunteers", Model: "bhasha", Rate: 6, PromptBytes: 300, MaxTokens: 8, Unstreamed: true, FirstTokenTarget: 20 * time.Second},
	}
	for i := range streams {
		streams[i].Rate *= scale
	}
	return streams
}

// Generator sends streams to the routers.
type Generator struct {
	// RouterAddresses are the routers' addresses for callers.
	RouterAddresses []string

	// TeamKey returns the key of a team.
	TeamKey func(team string) string

	client *http.Client

	// mu guards results.
	mu      sync.Mutex
	results []Result
}

// NewGenerator returns a load for the routers.
func NewGenerator(key func(string) string, routers ...string) *Generator {
	const idle = 64
	return &Generator{
		RouterAddresses: routers,
		TeamKey:         key,
		client:          &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idle}},
	}
}

// Run sends the streams for the given time and waits for the last answer.
func (l *Generator) Run(ctx context.Context, streams []Stream, length time.Duration, seed uint64) {
	var group sync.WaitGroup
	for i, stream := range streams {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		group.Go(func() {
			l.send(ctx, &group, stream, length, random)
		})
	}
	group.Wait()
}

// send starts the requests of one stream at random intervals.
func (l *Generator) send(ctx context.Context, group *sync.WaitGroup, stream Stream, length time.Duration, random *rand.Rand) {
	stop := time.Now().Add(length)
	next := time.Now()
	for n := 0; ; n++ {
		next = next.Add(time.Duration(random.ExpFloat64() / stream.Rate * float64(time.Second)))
		if next.After(stop) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		router := l.RouterAddresses[random.IntN(len(l.RouterAddresses))]
		number := fmt.Sprintf("%s-%d-%x", stream.Class, n, random.Uint32())
		group.Go(func() {
			l.note(l.SendRequest(ctx, stream, router, number))
		})
	}
}

func (l *Generator) note(result Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, result)
}

// Results returns what became of the requests so far.
func (l *Generator) Results() []Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Result(nil), l.results...)
}
