package engine

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// blockBytes is the number of prompt bytes in one block of the prefix cache.
	blockBytes = 64

	// bytesPerToken is the number of prompt bytes that count as one token.
	bytesPerToken = 4

	// Requests without a token limit get minOutputTokens to
	// minOutputTokens+outputTokenRange-1 output tokens.
	minOutputTokens  = 8
	outputTokenRange = 57
)

// completionRequest holds the fields of a completion request that the engine
// reads.
type completionRequest struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []chatMessage   `json:"messages"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	StreamOptions       streamOptions   `json:"stream_options"`
}

// chatMessage is one message of a chat completion request.
type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// streamOptions holds the options of a streaming response.
type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// CompletionText returns the text that an engine generates for the body of a
// completion request, so that a test can check that a response belongs to its
// request.
func CompletionText(body []byte) (string, error) {
	var c completionRequest
	if err := json.Unmarshal(body, &c); err != nil {
		return "", fmt.Errorf("decode completion request: %w", err)
	}
	prompt := c.promptText()
	count, _ := c.outputLength()
	var text strings.Builder
	for n := range count {
		text.WriteString(tokenText(prompt, n))
	}
	return text.String(), nil
}

// PrefixHashes returns the hashes of the prefixes of a prompt, shortest first,
// in the form in which cache events identify them. There is one prefix for each
// whole block of 64 bytes. The prompt of a chat completion consists of the role
// and the raw JSON content of each message, each followed by a line feed. The
// prompt of a plain completion is the raw JSON value of its prompt field.
func PrefixHashes(prompt string) []string {
	var hashes []string
	digest := xxhash.New()
	for len(prompt) >= blockBytes {
		_, _ = digest.WriteString(prompt[:blockBytes])
		hashes = append(hashes, fmt.Sprintf("%016x", digest.Sum64()))
		prompt = prompt[blockBytes:]
	}
	return hashes
}

// promptText returns the prompt in the form that PrefixHashes expects.
func (c *completionRequest) promptText() string {
	if len(c.Messages) == 0 {
		return string(c.Prompt)
	}
	var text strings.Builder
	for _, m := range c.Messages {
		text.WriteString(m.Role + "\n" + string(m.Content) + "\n")
	}
	return text.String()
}

// outputLength returns the number of output tokens and the finish reason.
// Without a token limit, the number depends on the hash of the prompt only.
func (c *completionRequest) outputLength() (int, string) {
	if limit := max(c.MaxTokens, c.MaxCompletionTokens); limit > 0 {
		return limit, "length"
	}
	return minOutputTokens + int(xxhash.Sum64String(c.promptText())%outputTokenRange), "stop"
}

// tokenText returns the text of output token n, counted from 0, for a prompt.
func tokenText(prompt string, n int) string {
	return fmt.Sprintf("%s-%d ", promptHash(prompt), n)
}

// promptHash returns the hash of a prompt that each of its output tokens
// contains.
func promptHash(prompt string) string {
	return fmt.Sprintf("%08x", uint32(xxhash.Sum64String(prompt)))
}
