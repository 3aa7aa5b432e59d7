package attempt

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/juju/errors"
)

// errUnsupported means that a stream holds data that the assembler does not
// support.
const errUnsupported = errors.ConstError("response can't be assembled from its stream")

// assembleFromStream assembles a non-streaming response from the stream that the
// engine keeps of it. Token counts are omitted where the stream has none. The
// caller receives nothing of a response that can't be assembled.
func (a *engineAttempt) assembleFromStream(ctx context.Context) error {
	original := a.sink
	assembled := &assembler{limit: a.runner.config.MaxResponseBytes}
	a.sink = assembled
	err := a.completeStream(ctx, a.resumeStream(ctx))
	a.sink = original
	a.outcome.ResponseStarted, a.outcome.Events = false, 0
	if err != nil {
		if errors.Is(err, errUnsupported) {
			return &finalError{run: RunYes, reason: Broken, engineIdle: a.finishReasonSeen, err: err}
		}
		return err
	}
	body, err := assembled.body()
	if err != nil {
		return &finalError{run: RunYes, reason: Broken, engineIdle: true, err: err}
	}
	tokens := a.outcome.Tokens
	err = a.deliverBody(fetchResult{head: assembled.head, body: body})
	a.outcome.Tokens = tokens
	return err
}

// chunk is a stream event in the form that the assembler supports, or the
// assembled response. Any other field makes the response unsupported.
type chunk struct {
	ID          string        `json:"id"`
	Object      string        `json:"object"`
	Created     int64         `json:"created"`
	Model       string        `json:"model"`
	Fingerprint string        `json:"system_fingerprint,omitempty"`
	Choices     []chunkChoice `json:"choices"`

	Usage json.RawMessage `json:"usage,omitempty"`
}

// chunkChoice is the choice of a chunk or of an assembled response.
type chunkChoice struct {
	Index        int         `json:"index"`
	Delta        *chunkDelta `json:"delta,omitempty"`
	Message      *chunkDelta `json:"message,omitempty"`
	Text         *string     `json:"text,omitempty"`
	FinishReason *string     `json:"finish_reason"`
}

// chunkDelta is a piece of a message.
type chunkDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// assembler is a Sink that assembles a non-streaming response from stream events.
// limit bounds its text, in bytes.
type assembler struct {
	limit        int64
	head         Head
	first        *chunk
	text         strings.Builder
	finishReason *string
	usage        json.RawMessage
}

// Begin implements Sink.
func (s *assembler) Begin(head Head) error {
	header := head.Header.Clone()
	header.Set(contentTypeHeader, jsonType)
	header.Del("Transfer-Encoding")
	s.head = Head{Status: http.StatusOK, Header: header}
	return nil
}

// Flush implements Sink.
func (s *assembler) Flush() error { return nil }

// Event implements Sink.
func (s *assembler) Event(e Event) error {
	if e.Kind == KindDone {
		return nil
	}
	data := bytes.TrimSpace(bytes.TrimPrefix(bytes.TrimSpace(e.Raw), dataField))
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var c chunk
	if err := decoder.Decode(&c); err != nil {
		return fmt.Errorf("%w: %w", errUnsupported, err)
	}
	return s.add(&c)
}

// add appends the text of a chunk and keeps its finish reason and usage.
func (s *assembler) add(c *chunk) error {
	if s.first == nil {
		s.first = c
	}
	if len(c.Usage) > 0 && !bytes.Equal(c.Usage, nullValue) {
		s.usage = c.Usage
	}
	if len(c.Choices) == 0 {
		return nil
	}
	choice := c.Choices[0]
	if len(c.Choices) > 1 || choice.Index != 0 {
		return errUnsupported
	}
	if choice.Delta != nil {
		s.text.WriteString(choice.Delta.Content)
	}
	if choice.Text != nil {
		s.text.WriteString(*choice.Text)
	}
	if choice.FinishReason != nil {
		s.finishReason = choice.FinishReason
	}
	if int64(s.text.Len()) > s.limit {
		return errUnsupported
	}
	return nil
}

// body returns the assembled response as JSON.
func (s *assembler) body() ([]byte, error) {
	if s.first == nil || len(s.first.Choices) == 0 {
		return nil, errUnsupported
	}
	text := s.text.String()
	choice := chunkChoice{FinishReason: s.finishReason}
	response := *s.first
	response.Usage = s.usage
	if s.first.Choices[0].Text != nil {
		choice.Text = &text
	} else {
		choice.Message = &chunkDelta{Role: "assistant", Content: text}
		response.Object = "chat.completion"
	}
	response.Choices = []chunkChoice{choice}
	body, err := json.Marshal(response)
	if err != nil {
		return nil, fmt.Errorf("encode response: %w", err)
	}
	return body, nil
}
