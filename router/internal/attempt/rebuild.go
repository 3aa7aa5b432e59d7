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

// errUnsupported says that a stream holds more than can be put together.
const errUnsupported = errors.ConstError("answer can't be put together from its stream")

// rebuild reads the stream of an answer that was asked for in one piece and
// puts the answer together. Token counts are left out where the stream has
// none. The caller sees nothing of an answer that can't be put together.
func (a *engineAttempt) rebuild(ctx context.Context) error {
	caller := a.sink
	pieces := &assembler{limit: a.runner.config.MaxResponseBytes}
	a.sink = pieces
	err := a.streamAgain(ctx)
	a.sink = caller
	a.outcome.ResponseStarted, a.outcome.Events = false, 0
	if err != nil {
		if errors.Is(err, errUnsupported) {
			return &ended{run: RunYes, reason: Broken, idle: a.finished, err: err}
		}
		return err
	}
	body, err := pieces.body()
	if err != nil {
		return &ended{run: RunYes, reason: Broken, idle: true, err: err}
	}
	tokens := a.outcome.Tokens
	err = a.giveWhole(wholeAnswer{head: pieces.head, body: body})
	a.outcome.Tokens = tokens
	return err
}

// streamAgain follows the stream of the attempt from its start.
func (a *engineAttempt) streamAgain(ctx context.Context) error {
	err := a.resume(ctx)
	for err != nil {
		if over(err) {
			return err
		}
		if err = a.locate(ctx, err); err != nil {
			return err
		}
		err = a.resume(ctx)
	}
	return nil
}

// chunk is the part of a stream's event that can be put together. Any other
// field makes the answer unsupported.
type chunk struct {
	ID          string        `json:"id"`
	Object      string        `json:"object"`
	Created     int64         `json:"created"`
	Model       string        `json:"model"`
	Fingerprint string        `json:"system_fingerprint,omitempty"`
	Choices     []chunkChoice `json:"choices"`

	Usage json.RawMessage `json:"usage,omitempty"`
}

// chunkChoice is the choice of a chunk, or of a whole answer.
type chunkChoice struct {
	Index   int         `json:"index"`
	Delta   *chunkDelta `json:"delta,omitempty"`
	Message *chunkDelta `json:"message,omitempty"`
	Text    *string     `json:"text,omitempty"`
	Finish  *string     `json:"finish_reason"`
}

// chunkDelta is a piece of a message.
type chunkDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// assembler is the sink that puts an answer together.
type assembler struct {
	limit  int64
	head   Head
	answer *chunk
	text   strings.Builder
	finish *string
	usage  json.RawMessage
}

// Begin implements Sink.
func (s *assembler) Begin(head Head) error {
	header := head.Header.Clone()
	header.Set(contentTypeHeader, jsonBody)
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

// add appends a chunk.
func (s *assembler) add(c *chunk) error {
	if s.answer == nil {
		s.answer = c
	}
	if len(c.Usage) > 0 && !bytes.Equal(c.Usage, nullMark) {
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
	if choice.Finish != nil {
		s.finish = choice.Finish
	}
	if int64(s.text.Len()) > s.limit {
		return errUnsupported
	}
	return nil
}

// body returns the whole answer.
func (s *assembler) body() ([]byte, error) {
	if s.answer == nil || len(s.answer.Choices) == 0 {
		return nil, errUnsupported
	}
	text := s.text.String()
	choice := chunkChoice{Finish: s.finish}
	whole := *s.answer
	whole.Usage = s.usage
	if s.answer.Choices[0].Text != nil {
		choice.Text = &text
	} else {
		choice.Message = &chunkDelta{Role: "assistant", Content: text}
		whole.Object = "chat.completion"
	}
	whole.Choices = []chunkChoice{choice}
	body, err := json.Marshal(whole)
	if err != nil {
		return nil, fmt.Errorf("write answer: %w", err)
	}
	return body, nil
}
