package engine

import (
	"encoding/json"
	"strings"
)

// doneMarker is the data of the last event of a stream.
const doneMarker = "[DONE]"

// response is a chunk of a stream or a complete response.
type response struct {
	ID      string      `json:"id"`
	Object  string      `json:"object"`
	Created int64       `json:"created"`
	Model   string      `json:"model"`
	Choices []choice    `json:"choices"`
	Usage   *tokenUsage `json:"usage,omitempty"`
}

// choice is the only choice of a response. Delta is set in chunks of a chat
// stream, Message in complete chat responses, Text in plain completions.
type choice struct {
	Index        int              `json:"index"`
	Delta        *responseMessage `json:"delta,omitempty"`
	Message      *responseMessage `json:"message,omitempty"`
	Text         *string          `json:"text,omitempty"`
	FinishReason *string          `json:"finish_reason"`
}

// responseMessage is a chat message or, in a stream, a part of one.
type responseMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// tokenUsage holds the token counts of a request.
type tokenUsage struct {
	PromptTokens     int                `json:"prompt_tokens"`
	CompletionTokens int                `json:"completion_tokens"`
	TotalTokens      int                `json:"total_tokens"`
	Details          promptTokenDetails `json:"prompt_tokens_details"`
}

// promptTokenDetails holds the number of prompt tokens found in the cache.
type promptTokenDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// encodeChunk returns the data of one stream event. An empty finish reason is
// encoded as null.
func (j *job) encodeChunk(text, finishReason string) []byte {
	c := choice{}
	if finishReason != "" {
		c.FinishReason = &finishReason
	}
	if j.chat {
		c.Delta = &responseMessage{Content: text}
	} else {
		c.Text = &text
	}
	return encodeJSON(j.newResponse(j.chat, "chat.completion.chunk", []choice{c}))
}

// finalEvents returns the events that follow the last token: the finish reason,
// the usage if it was requested, and the done marker.
func (j *job) finalEvents() [][]byte {
	events := [][]byte{j.encodeChunk("", j.finishReason)}
	if j.request.StreamOptions.IncludeUsage {
		last := j.newResponse(j.chat, "chat.completion.chunk", []choice{})
		last.Usage = j.tokenUsage()
		events = append(events, encodeJSON(last))
	}
	return append(events, []byte(doneMarker))
}

// encodeResponse returns the body of a non-streaming response.
func (j *job) encodeResponse() []byte {
	var text strings.Builder
	for n := range j.outputTokens {
		text.WriteString(tokenText(j.prompt, n))
	}
	output := text.String()
	c := choice{FinishReason: &j.finishReason}
	if j.chat {
		c.Message = &responseMessage{Role: "assistant", Content: output}
	} else {
		c.Text = &output
	}
	response := j.newResponse(j.chat, "chat.completion", []choice{c})
	response.Usage = j.tokenUsage()
	return encodeJSON(response)
}

// newResponse returns a response without usage. Plain completions have an object
// type of their own instead of the given one.
func (j *job) newResponse(chat bool, object string, choices []choice) *response {
	if !chat {
		object = "text_completion"
	}
	return &response{ID: j.attempt, Object: object, Model: j.request.Model, Choices: choices}
}

// tokenUsage returns the token counts of the job.
func (j *job) tokenUsage() *tokenUsage {
	prompt := len(j.prompt)/bytesPerToken + 1
	return &tokenUsage{
		PromptTokens:     prompt,
		CompletionTokens: j.outputTokens,
		TotalTokens:      prompt + j.outputTokens,
		Details:          promptTokenDetails{CachedTokens: j.cachedTokens},
	}
}

// encodeJSON encodes v and panics if that fails.
func encodeJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic("engine: " + err.Error())
	}
	return data
}
