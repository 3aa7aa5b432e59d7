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

// defaultTokenLatency is the default time per token on the engine of a harness.
const defaultTokenLatency = 10 * time.Millisecond

// recordingSink is an attempt.Sink that records what the caller receives.
type recordingSink struct {
	head   attempt.Head
	events []attempt.Event

	// failAfter is the number of events after which Event returns an error, or 0
	// for never.
	failAfter int
}

// Begin implements attempt.Sink.
func (s *recordingSink) Begin(head attempt.Head) error {
	s.head = head
	return nil
}

// Event implements attempt.Sink.
func (s *recordingSink) Event(e attempt.Event) error {
	if s.failAfter > 0 && len(s.events) >= s.failAfter {
		return errors.New("caller left")
	}
	e.Raw = append([]byte(nil), e.Raw...)
	s.events = append(s.events, e)
	return nil
}

// Flush implements attempt.Sink.
func (s *recordingSink) Flush() error { return nil }

// ended reports whether the caller received the end of a complete response.
func (s *recordingSink) ended() bool {
	if len(s.events) == 0 {
		return false
	}
	last := s.events[len(s.events)-1].Kind
	return last == attempt.KindDone || last == attempt.KindBody
}

// text returns the output that the caller received.
func (s *recordingSink) text() string {
	var text strings.Builder
	for _, e := range s.events {
		data, _ := strings.CutPrefix(strings.TrimSpace(string(e.Raw)), "data: ")
		var piece struct {
			Choices []struct {
				Delta, Message struct{ Content string }
				Text           string
			}
		}
		if json.Unmarshal([]byte(data), &piece) == nil && len(piece.Choices) > 0 {
			choice := piece.Choices[0]
			text.WriteString(choice.Delta.Content + choice.Message.Content + choice.Text)
		}
	}
	return text.String()
}

// harness is a fake engine, the link to it and a runner, for use in a synctest
// bubble.
type harness struct {
	*gomega.WithT
	engine   *engine.Engine
	pipe     *network.PipeListener
	link     *link.Link
	runner   *attempt.Runner
	released atomic.Int64
	dials    atomic.Int64
}

// inBubble runs a test against an engine in a synctest bubble.
func inBubble(t *testing.T, config engine.Config, test func(h *harness)) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, config)
		defer h.close()
		test(h)
	})
}

// newHarness starts an engine, which ends with the test.
func newHarness(t *testing.T, config engine.Config) *harness {
	if config.TokenLatency == 0 {
		config.TokenLatency = defaultTokenLatency
	}
	h := &harness{
		WithT:  gomega.NewWithT(t),
		engine: engine.New(config),
		pipe:   network.NewPipeListener(),
		runner: attempt.NewRunner(attempt.Config{}),
	}
	dial := func(ctx context.Context, n, a string) (net.Conn, error) {
		h.dials.Add(1)
		return h.pipe.DialContext(ctx, n, a)
	}
	h.link = link.New(link.Config{Address: "10.0.0.1:80", Dial: dial})
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = h.engine.Serve(ctx, h.pipe)
	}()
	t.Cleanup(func() {
		cancel()
		h.engine.Close()
		<-served
	})
	return h
}

// close closes the runner and the link.
func (h *harness) close() {
	h.runner.Close(context.Background())
	h.link.Close()
}

// learnEpoch makes an exchange from which the link learns the engine's epoch. It
// leaves a connection in the link's pool.
func (h *harness) learnEpoch() {
	exchange, err := h.link.Send(context.Background(), link.Request{Method: "GET", Path: "/load"})
	h.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = exchange.ReadAll(1 << 10)
	h.Expect(err).NotTo(gomega.HaveOccurred())
	exchange.Close()
}

// call returns a call whose response has the given number of tokens.
func (h *harness) call(id string, stream bool, tokens int) attempt.EngineCall {
	body := fmt.Sprintf(`{"model":"m","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, stream, tokens, "prompt of "+id)
	return attempt.EngineCall{
		AttemptID: id,
		Path:      "/v1/chat/completions",
		Body:      []byte(body),
		Stream:    stream,
		Timeouts:  attempt.ProgressTimeouts{First: 400 * time.Millisecond, Between: 200 * time.Millisecond},
		Release:   func() { h.released.Add(1) },
	}
}

// run makes an attempt and returns its outcome and what the caller received.
func (h *harness) run(ctx context.Context, call attempt.EngineCall) (attempt.Outcome, *recordingSink) {
	got := &recordingSink{}
	return h.runner.CallEngine(ctx, h.link, call, got), got
}

// expectedOutput returns the expected output for a call.
func expectedOutput(call attempt.EngineCall) string {
	text, err := engine.CompletionText(call.Body)
	if err != nil {
		panic(err)
	}
	return text
}
