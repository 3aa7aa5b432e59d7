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
	errMismatch  = errors.ConstError("response does not match the request")
	errTruncated = errors.ConstError("stream ended without [DONE]")
)

// Result is the outcome of one request.
type Result struct {
	Stream Stream

	// RequestID identifies the request. Service calls send it as their
	// idempotency key.
	RequestID string

	// Status is the HTTP status, or zero if there was no response.
	Status int

	// Completed means that the response was complete and matched the request.
	Completed bool

	// Mismatched means that the response ended as if complete but did not match
	// the request.
	Mismatched bool

	// ErrorCode and RunState are the fields code and run of an error response.
	ErrorCode string
	RunState  string

	// FirstToken is the time to the first token of a streamed completion. For
	// other requests it is the time to the response header.
	FirstToken   time.Duration
	OutputTokens int

	// Duration is the time to the end of the response.
	Duration time.Duration
	Err      error

	// Response is the response body of a plain service.
	Response string
}

// MetTarget reports whether the request completed and FirstToken was within the
// stream's target.
func (r *Result) MetTarget() bool {
	return r.Completed && r.FirstToken <= r.Stream.FirstTokenTarget
}

type completionRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type errorResponse struct {
	Error struct {
		Code string `json:"code"`
		Run  string `json:"run"`
	} `json:"error"`
}

// completionResponse is a chunk of a streamed completion or a whole non-streaming
// one.
type completionResponse struct {
	Choices []struct {
		Delta   chatMessage `json:"delta"`
		Message chatMessage `json:"message"`
	} `json:"choices"`
}

// SendRequest sends one request to the router at the given address and reads its
// response.
func (g *Generator) SendRequest(ctx context.Context, stream Stream, router, requestID string) (result Result) {
	result = Result{Stream: stream, RequestID: requestID}
	body := stream.body(requestID)
	path := "/v1/chat/completions"
	if stream.Service != "" {
		path = "/service/" + stream.Service + "/" + stream.Class
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+router+path, bytes.NewReader(body))
	if err != nil {
		result.Err = fmt.Errorf("make request: %w", err)
		return result
	}
	request.Header.Set("Authorization", "Bearer "+g.TeamKey(stream.Team))
	request.Header.Set("Class", stream.Class)
	request.Header.Set("Content-Type", "application/json")
	if stream.Service != "" {
		request.Header.Set("Idempotency-Key", requestID)
	}
	start := time.Now()
	defer func() { result.Duration = time.Since(start) }()
	response, err := g.client.Do(request)
	if err != nil {
		result.Err = fmt.Errorf("send: %w", err)
		return result
	}
	defer func() { _ = response.Body.Close() }()
	result.Status = response.StatusCode
	result.FirstToken = time.Since(start)
	switch {
	case response.StatusCode != http.StatusOK:
		result.readError(response.Body)
	case stream.Service != "":
		result.readServiceResponse(response.Body, requestID)
	case stream.NonStreaming:
		result.readCompletion(response.Body, body)
	default:
		result.readStream(response.Body, body, start)
	}
	return result
}

// body returns the request body. It contains the request ID, which the response
// must match.
func (s Stream) body(requestID string) []byte {
	if s.Service != "" {
		return []byte(`{"number":"` + requestID + `","note":"` + strings.Repeat("x", s.PromptBytes) + `"}`)
	}
	systemPrompt := strings.Repeat(s.Class+" ", s.PromptBytes/(len(s.Class)+1))
	body, err := json.Marshal(completionRequest{
		Model:     s.Model,
		Messages:  []chatMessage{{Role: "system", Content: systemPrompt}, {Role: "user", Content: requestID}},
		Stream:    !s.NonStreaming,
		MaxTokens: s.MaxTokens,
	})
	if err != nil {
		panic(err)
	}
	return body
}

// readError reads an error response.
func (r *Result) readError(body io.Reader) {
	var response errorResponse
	if err := json.NewDecoder(body).Decode(&response); err != nil {
		r.Err = fmt.Errorf("read error response: %w", err)
		return
	}
	r.ErrorCode, r.RunState = response.Error.Code, response.Error.Run
}

// readServiceResponse reads the response of a plain service, which must contain
// the request ID.
func (r *Result) readServiceResponse(body io.Reader, requestID string) {
	data, err := io.ReadAll(body)
	if err != nil {
		r.Err = fmt.Errorf("read response: %w", err)
		return
	}
	r.Completed = bytes.Contains(data, []byte(requestID))
	r.Response = string(data)
	r.Mismatched = !r.Completed
}

// readCompletion reads a non-streaming completion.
func (r *Result) readCompletion(body io.Reader, request []byte) {
	var completion completionResponse
	if err := json.NewDecoder(body).Decode(&completion); err != nil {
		r.Err = fmt.Errorf("read response: %w", err)
		return
	}
	text := ""
	if len(completion.Choices) > 0 {
		text = completion.Choices[0].Message.Content
	}
	r.OutputTokens = len(strings.Fields(text))
	r.verifyText(text, request)
}

// readStream reads a streamed completion up to its [DONE] event. start is the
// time at which the request was sent.
func (r *Result) readStream(body io.Reader, request []byte, start time.Time) {
	var text strings.Builder
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.verifyText(text.String(), request)
			return
		}
		var chunk completionResponse
		if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) == 0 || chunk.Choices[0].Delta.Content == "" {
			continue
		}
		if r.OutputTokens == 0 {
			r.FirstToken = time.Since(start)
		}
		r.OutputTokens++
		text.WriteString(chunk.Choices[0].Delta.Content)
	}
	r.Err = errTruncated
}

// verifyText compares the text of a response that ended as if complete with the
// expected text.
func (r *Result) verifyText(text string, request []byte) {
	want, err := engine.CompletionText(request)
	if err != nil {
		r.Err = fmt.Errorf("compute expected response: %w", err)
		return
	}
	r.Completed = text == want
	if !r.Completed {
		r.Mismatched = true
		r.Err = errMismatch
	}
}
