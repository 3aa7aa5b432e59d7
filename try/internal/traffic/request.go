package traffic

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"snipetally.example/standin/engine"
)

const (
	errWrongAnswer = errors.ConstError("answer belongs to another request")
	errCut         = errors.ConstError("stream ended without its end marker")
)

// Result is what became of one request.
type Result struct {
	Stream    Stream
	RequestID string

	// Status is the HTTP status, or zero if there was no answer.
	Status int

	// Completed means that the answer was complete and the right one.
	Completed bool

	// Mismatched means that an answer was given as whole and was not the right one.
	Mismatched bool

	// ErrorCode and Run are those of a refusal.
	ErrorCode string
	RunState  string

	// FirstToken is the time to the first token or byte.
	FirstToken   time.Duration
	OutputTokens int

	// Duration is the time to the end of the answer.
	Duration time.Duration
	Err      error

	// Response is the whole answer of a plain service.
	Response string
}

// MetTarget reports whether the request met its target.
func (r *Result) MetTarget() bool {
	return r.Completed && r.FirstToken <= r.Stream.FirstTokenTarget
}

type completionBody struct {
	Model    string        `json:"model"`
	Messages []messageBody `json:"messages"`
	Stream   bool          `json:"stream"`
	Limit    int           `json:"max_tokens"`
}

type messageBody struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type refusalBody struct {
	Error struct {
		Code string `json:"code"`
		Run  string `json:"run"`
	} `json:"error"`
}

type chunkBody struct {
	Choices []struct {
		Delta   messageBody `json:"delta"`
		Message messageBody `json:"message"`
	} `json:"choices"`
}

// SendRequest sends one request to a router and reads its answer.
func (l *Generator) SendRequest(ctx context.Context, stream Stream, router, number string) (result Result) {
	result = Result{Stream: stream, RequestID: number}
	body := stream.body(number)
	path := "/v1/chat/completions"
	if stream.Service != "" {
		path = "/service/" + stream.Service + "/" + stream.Class
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+router+path, bytes.NewReader(body))
	if err != nil {
		result.Err = fmt.Errorf("make request: %w", err)
		return result
	}
	request.Header.Set("Authorization", "Bearer "+l.TeamKey(stream.Team))
	request.Header.Set("Class", stream.Class)
	request.Header.Set("Content-Type", "application/json")
	if stream.Service != "" {
		request.Header.Set("Idempotency-Key", number)
	}
	start := time.Now()
	defer func() { result.Duration = time.Since(start) }()
	response, err := l.client.Do(request)
	if err != nil {
		result.Err = fmt.Errorf("send: %w", err)
		return result
	}
	defer func() { _ = response.Body.Close() }()
	result.Status = response.StatusCode
	result.FirstToken = time.Since(start)
	switch {
	case response.StatusCode != http.StatusOK:
		result.refused(response.Body)
	case stream.Service != "":
		result.service(response.Body, number)
	case stream.Unstreamed:
		result.whole(response.Body, body)
	default:
		result.streamed(response.Body, body, start)
	}
	return result
}

// body returns the body of a request.
func (s Stream) body(number string) []byte {
	if s.Service != "" {
		return []byte(`{"number":"` + number + `","note":"` + strings.Repeat("x", s.PromptBytes) + `"}`)
	}
	shared := strings.Repeat(s.Class+" ", s.PromptBytes/(len(s.Class)+1))
	body, err := json.Marshal(completionBody{
		Model:    s.Model,
		Messages: []messageBody{{Role: "system", Content: shared}, {Role: "user", Content: number}},
		Stream:   !s.Unstreamed,
		Limit:    s.MaxTokens,
	})
	if err != nil {
		panic(err)
	}
	return body
}

func (r *Result) refused(body io.Reader) {
	var refusal refusalBody
	if err := json.NewDecoder(body).Decode(&refusal); err != nil {
		r.Err = fmt.Errorf("read refusal: %w", err)
		return
	}
	r.ErrorCode, r.RunState = refusal.Error.Code, refusal.Error.Run
}

func (r *Result) service(body io.Reader, number string) {
	data, err := io.ReadAll(body)
	if err != nil {
		r.Err = fmt.Errorf("read answer: %w", err)
		return
	}
	r.Completed = bytes.Contains(data, []byte(number))
	r.Response = string(data)
	r.Mismatched = !r.Completed
}

func (r *Result) whole(body io.Reader, request []byte) {
	var chunk chunkBody
	if err := json.NewDecoder(body).Decode(&chunk); err != nil {
		r.Err = fmt.Errorf("read answer: %w", err)
		return
	}
	text := ""
	if len(chunk.Choices) > 0 {
		text = chunk.Choices[0].Message.Content
	}
	r.OutputTokens = len(strings.Fields(text))
	r.judge(text, request)
}

func (r *Result) streamed(body io.Reader, request []byte, start time.Time) {
	var text strings.Builder
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.judge(text.String(), request)
			return
		}
		var chunk chunkBody
		if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) == 0 || chunk.Choices[0].Delta.Content == "" {
			continue
		}
		if r.OutputTokens == 0 {
			r.FirstToken = time.Since(start)
		}
		r.OutputTokens++
		text.WriteString(chunk.Choices[0].Delta.Content)
	}
	r.Err = errCut
}

// judge compares an answer that was given as whole with the right one.
func (r *Result) judge(text string, request []byte) {
	want, err := engine.CompletionText(request)
	if err != nil {
		r.Err = fmt.Errorf("work out answer: %w", err)
		return
	}
	r.Completed = text == want
	if !r.Completed {
		r.Mismatched = true
		r.Err = errWrongAnswer
	}
}
