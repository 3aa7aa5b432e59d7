package attempt_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/coordination/seeds"
	"snipetally.example/router/internal/attempt"
	"snipetally.example/router/internal/link"
	"snipetally.example/standin/engine"
	"snipetally.example/standin/network"
)

func init() { seeds.Fix() }

// pace is the time for a token on the engine of a bench.
const pace = 10 * time.Millisecond

// caller is a sink that keeps what the caller was given.
type caller struct {
	head   attempt.Head
	events []attempt.Event

	// leaves is the number of events after which the caller goes away, or 0.
	leaves int
}

// Begin implements attempt.Sink.
func (c *caller) Begin(head attempt.Head) error {
	c.head = head
	return nil
}

// Event implements attempt.Sink.
func (c *caller) Event(e attempt.Event) error {
	if c.leaves > 0 && len(c.events) >= c.leaves {
		return errors.New("caller left")
	}
	e.Raw = append([]byte(nil), e.Raw...)
	c.events = append(c.events, e)
	return nil
}

// Flush implements attempt.Sink.
func (c *caller) Flush() error { return nil }

// marked reports whether the caller was given the end of a whole answer.
func (c *caller) marked() bool {
	if len(c.events) == 0 {
		return false
	}
	last := c.events[len(c.events)-1].Kind
	return last == attempt.KindDone || last == attempt.KindBody
}

// text returns the output that the caller was given.
func (c *caller) text() string {
	var text strings.Builder
	for _, e := range c.events {
		data, _ := strings.CutPrefix(strings.TrimSpace(string(e.Raw)), "data: ")
		var piece struct {
			Choices []struct {
				Delta, Message struct{ Content string }
				Text           string
			}
		}
		if json.Unmarshal([]byte(data), &piece) == nil && len(piece.Choices) > 0 {
			c := piece.Choices[0]
			text.WriteString(c.Delta.Content + c.Message.Content + c.Text)
		}
	}
	return text.String()
}

// bench is an engine, the link to it and a runner, in virtual time.
type bench struct {
	*gomega.WithT
	engine   *engine.Engine
	pipe     *network.Pipe
	link     *link.Link
	runner   *attempt.Runner
	released atomic.Int64
	dials    atomic.Int64
}

// inBubble runs a test against an engine in virtual time.
func inBubble(t *testing.T, config engine.Config, test func(b *bench)) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, config)
		defer b.close()
		test(b)
	})
}

// newBench starts an engine.
func newBench(t *testing.T, config engine.Config) *bench {
	if config.Pace == 0 {
		config.Pace = pace
	}
	b := &bench{
		WithT:  gomega.NewWithT(t),
		engine: engine.New(config),
		pipe:   network.NewPipe(),
		runner: attempt.NewRunner(attempt.Config{}),
	}
	dial := func(ctx context.Context, n, a string) (net.Conn, error) {
		b.dials.Add(1)
		return b.pipe.Dial(ctx, n, a)
	}
	b.link = link.New(link.Config{Address: "10.0.0.1:80", Dial: dial})
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = b.engine.Serve(ctx, b.pipe)
	}()
	t.Cleanup(func() {
		cancel()
		b.engine.Close()
		<-served
	})
	return b
}

// close ends the router's side.
func (b *bench) close() {
	b.runner.Close(context.Background())
	b.link.Close()
}

// prime lets the link learn the engine's epoch.
func (b *bench) prime() {
	exchange, err := b.link.Send(context.Background(), link.Request{Method: "GET", Path: "/load"})
	b.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = exchange.ReadAll(1 << 10)
	b.Expect(err).NotTo(gomega.HaveOccurred())
	exchange.Close()
}

// call returns a call with an answer of some tokens.
func (b *bench) call(id string, stream bool, tokens int) attempt.EngineCall {
	body := fmt.Sprintf(`{"model":"m","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, stream, tokens, "prompt of "+id)
	return attempt.EngineCall{
		AttemptID: id,
		Path:      "/v1/chat/completions",
		Body:      []byte(body),
		Stream:    stream,
		Timeouts:  attempt.ProgressTimeouts{First: 400 * time.Millisecond, Between: 200 * time.Millisecond},
		Release:   func() { b.released.Add(1) },
	}
}

// run makes an attempt and returns its outcome and what the caller got.
func (b *bench) run(ctx context.Context, call attempt.EngineCall) (attempt.Outcome, *caller) {
	got := &caller{}
	return b.runner.Engine(ctx, b.link, call, got), got
}

// answer returns the answer that belongs to a call.
func answer(call attempt.EngineCall) string {
	text, err := engine.Answer(call.Body)
	if err != nil {
		panic(err)
	}
	return text
}
