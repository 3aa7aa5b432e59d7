// Package traffic sends the partners' mixed traffic to routers and records the
// result of each request. It imports the fake engine only to compute the expected
// response to a prompt.
package traffic

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Stream describes a steady flow of requests of one class.
type Stream struct {
	Class string
	Team  string

	// Model is set for completions, Service for calls of a plain service.
	Model   string
	Service string

	// Rate is the mean number of requests per second.
	Rate float64

	// PromptBytes is the approximate length of a prompt, or of the note in a
	// service call. MaxTokens is the largest number of output tokens.
	PromptBytes int
	MaxTokens   int

	// NonStreaming requests the response in one piece instead of as a stream.
	NonStreaming bool

	// FirstTokenTarget is the target for Result.FirstToken.
	FirstTokenTarget time.Duration
}

// DefaultStreams returns the mixed traffic of both partners, with its rates
// multiplied by scale.
func DefaultStreams(scale float64) []Stream {
	streams := []Stream{
		{Class: "grant", Team: "portal", Service: "login", Rate: 12, FirstTokenTarget: 250 * time.Millisecond},
		{Class: "desk", Team: "hotel", Model: "mazungumzo", Rate: 10, PromptBytes: 600, MaxTokens: 64, FirstTokenTarget: 420 * time.Millisecond},
		{Class: "chat", Team: "hotel", Model: "mazungumzo", Rate: 12, PromptBytes: 200, MaxTokens: 32, FirstTokenTarget: 420 * time.Millisecond},
		{Class: "ticket", Team: "hotel", Model: "mazungumzo", Rate: 8, PromptBytes: 400, MaxTokens: 8, NonStreaming: true, FirstTokenTarget: 20 * time.Second},
		{Class: "booking", Team: "plots", Service: "plots", Rate: 5, FirstTokenTarget: 250 * time.Millisecond},
		{Class: "lookup", Team: "plots", Service: "plots", Rate: 10, FirstTokenTarget: 300 * time.Millisecond},
		{Class: "lease", Team: "volunteers", Model: "bhasha", Rate: 2, PromptBytes: 6000, MaxTokens: 400, FirstTokenTarget: 2 * time.Second},
		{Class: "crop", Team: "volunteers", Model: "bhasha", Rate: 6, PromptBytes: 300, MaxTokens: 8, NonStreaming: true, FirstTokenTarget: 20 * time.Second},
	}
	for i := range streams {
		streams[i].Rate *= scale
	}
	return streams
}

// Generator sends streams of requests to the routers.
type Generator struct {
	// RouterAddresses are the addresses of the routers that callers connect to.
	RouterAddresses []string

	// TeamKey returns the API key of a team.
	TeamKey func(team string) string

	client *http.Client

	// mu guards results.
	mu      sync.Mutex
	results []Result
}

// NewGenerator returns a generator that sends requests to the routers.
func NewGenerator(teamKey func(string) string, routerAddresses ...string) *Generator {
	const maxIdle = 64
	return &Generator{
		RouterAddresses: routerAddresses,
		TeamKey:         teamKey,
		client:          &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdle}},
	}
}

// Run sends the streams for the given duration and waits for the last response.
func (g *Generator) Run(ctx context.Context, streams []Stream, duration time.Duration, seed uint64) {
	var group sync.WaitGroup
	for i, stream := range streams {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		group.Go(func() {
			g.runStream(ctx, &group, stream, duration, random)
		})
	}
	group.Wait()
}

// runStream starts the requests of one stream at exponentially distributed
// intervals.
func (g *Generator) runStream(ctx context.Context, group *sync.WaitGroup, stream Stream, duration time.Duration, random *rand.Rand) {
	stop := time.Now().Add(duration)
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
		router := g.RouterAddresses[random.IntN(len(g.RouterAddresses))]
		requestID := fmt.Sprintf("%s-%d-%x", stream.Class, n, random.Uint32())
		group.Go(func() {
			g.record(g.SendRequest(ctx, stream, router, requestID))
		})
	}
}

// record adds the result of a request.
func (g *Generator) record(result Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.results = append(g.results, result)
}

// Results returns the results of the requests that have ended so far.
func (g *Generator) Results() []Result {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Result(nil), g.results...)
}
