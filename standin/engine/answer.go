package engine

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// blockBytes is the length of one block of the prefix cache.
	blockBytes = 64

	// bytesPerToken is the length of one token of a prompt.
	bytesPerToken = 4

	shortestAnswer = 8
	answerSpread   = 57
)

// completion is the part of a request's body that the engine reads.
type completion struct {
	Model     string          `json:"model"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  []message       `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	MaxNew    int             `json:"max_completion_tokens"`
	Stream    bool            `json:"stream"`
	Options   streamOptions   `json:"stream_options"`
}

// message is one message of a chat.
type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// streamOptions are the options of a streamed answer.
type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// CompletionText returns the text that an engine makes for the body of a completion,
// so that a test can tell whether an answer belongs to its request.
func CompletionText(body []byte) (string, error) {
	var c completion
	if err := json.Unmarshal(body, &c); err != nil {
		return "", fmt.Errorf("read completion: %w", err)
	}
	prompt := c.prompt()
	count, _ := c.length()
	var text strings.Builder
	for n := range count {
		text.WriteString(word(prompt, n))
	}
	return text.String(), nil
}

// PrefixHashes returns the names of the prefixes of a prompt, shortest first, as
// cache events give them. The prompt of a chat is each role and raw JSON
// content, each followed by a line feed; that of a completion is the raw JSON
// prompt. There is one prefix for each whole block of 64 bytes.
func PrefixHashes(prompt string) []string {
	var names []string
	digest := xxhash.New()
	for len(prompt) >= blockBytes {
		_, _ = digest.WriteString(prompt[:blockBytes])
		names = append(names, fmt.Sprintf("%016x", digest.Sum64()))
		prompt = prompt[blockBytes:]
	}
	return names
}

// prompt returns the whole prompt.
func (c *completion) prompt() string {
	if len(c.Messages) == 0 {
		return string(c.Prompt)
	}
	var text strings.Builder
	for _, m := range c.Messages {
		text.WriteString(m.Role + "\n" + string(m.Content) + "\n")
	}
	return text.String()
}

// length returns the number of tokens of the answer and the reason for its end.
func (c *completion) length() (int, string) {
	if limit := max(c.MaxTokens, c.MaxNew); limit > 0 {
		return limit, "length"
	}
	return shortestAnswer + int(xxhash.Sum64String(c.prompt())%answerSpread), "stop"
}

// word returns token n of the answer to a prompt.
func word(prompt string, n int) string {
	return fmt.Sprintf("%s-%d ", digest(prompt), n)
}

// digest returns the hash of a prompt that its answer repeats.
func digest(prompt string) string {
	return fmt.Sprintf("%08x", uint32(xxhash.Sum64String(prompt)))
}
