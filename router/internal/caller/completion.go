package caller

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"snipetally.example/router/internal/schedule"
)

const (
	// prefixBlock is the length in bytes of one block of a prompt prefix. It is
	// a multiple of the block size for which engines report cache events.
	prefixBlock = 256

	// maxPrefixes is the largest number of prefixes of one prompt that are
	// hashed.
	maxPrefixes = 64

	// bytesPerToken converts the size of a prompt into an estimate of its
	// tokens.
	bytesPerToken = 4
)

// completionBody holds the fields of a completion request that the router
// reads.
type completionBody struct {
	Model               *string         `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Messages            []messageBody   `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
}

// messageBody holds the fields of a message that the router reads.
type messageBody struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// completion handles a chat or text completion.
func (api *API) completion(w http.ResponseWriter, in *inbound) *Refusal {
	data, refusal := api.readBody(w, in)
	if refusal != nil {
		return refusal
	}
	body, refusal := readCompletion(data, in.request.URL.Path == "/v1/chat/completions")
	if refusal != nil {
		return refusal
	}
	if len(in.fleet.ByModel[*body.Model]) == 0 {
		return newRefusal(http.StatusNotFound, CodeModel, "there is no such model")
	}
	prompt := body.promptText()
	return api.execute(w, in, &call{
		method:     http.MethodPost,
		path:       in.request.URL.Path,
		header:     http.Header{"Content-Type": {"application/json"}},
		body:       data,
		stream:     body.Stream,
		atMostOnce: in.class.AtMostOnce,
	}, schedule.Request{
		Model:        *body.Model,
		Prefixes:     prefixHashes(prompt),
		PromptTokens: len(prompt) / bytesPerToken,
		MaxTokens:    body.maxTokens(),
	})
}

// readCompletion parses and validates the body of a completion request.
func readCompletion(data []byte, chat bool) (*completionBody, *Refusal) {
	var body completionBody
	if err := json.Unmarshal(data, &body); err != nil {
		if wrong, ok := errors.AsType[*json.UnmarshalTypeError](err); ok {
			return nil, newRefusal(http.StatusBadRequest, CodeType, "the field "+wrong.Field+" has the wrong type")
		}
		return nil, newRefusal(http.StatusBadRequest, CodeSyntax, "the body is not JSON")
	}
	if body.Model == nil || *body.Model == "" {
		return nil, newRefusal(http.StatusBadRequest, CodeType, "the field model is missing")
	}
	if chat && len(body.Messages) == 0 {
		return nil, newRefusal(http.StatusBadRequest, CodeType, "the field messages is missing")
	}
	if !chat && (len(body.Prompt) == 0 || string(body.Prompt) == "null") {
		return nil, newRefusal(http.StatusBadRequest, CodeType, "the field prompt is missing")
	}
	if body.maxTokens() < 0 {
		return nil, newRefusal(http.StatusBadRequest, CodeType, "the token limit is below 0")
	}
	return &body, nil
}

// maxTokens returns the largest number of tokens that the caller accepts, or
// zero if the request sets no limit.
func (c *completionBody) maxTokens() int {
	if c.MaxCompletionTokens != nil {
		return *c.MaxCompletionTokens
	}
	if c.MaxTokens != nil {
		return *c.MaxTokens
	}
	return 0
}

// promptText returns the prompt in the form over which engines hash prefixes:
// role and content of each message, each followed by a line feed.
func (c *completionBody) promptText() []byte {
	if len(c.Messages) == 0 {
		return c.Prompt
	}
	var text []byte
	for _, m := range c.Messages {
		text = append(text, m.Role...)
		text = append(text, '\n')
		text = append(text, m.Content...)
		text = append(text, '\n')
	}
	return text
}

// prefixHashes returns the hashes of the prompt's prefixes, the shortest first.
func prefixHashes(prompt []byte) []uint64 {
	digest := xxhash.New()
	var hashes []uint64
	for len(prompt) >= prefixBlock && len(hashes) < maxPrefixes {
		_, _ = digest.Write(prompt[:prefixBlock])
		hashes = append(hashes, digest.Sum64())
		prompt = prompt[prefixBlock:]
	}
	return hashes
}

// schedulingRequest completes r, the request to the gate, with the fields that
// don't depend on the kind of call.
func (in *inbound) schedulingRequest(r schedule.Request, size int) schedule.Request {
	r.ID = in.id
	r.Class = in.class
	r.Team = in.team
	r.Size = size
	r.Arrived = in.arrived
	r.Deadline = in.arrived.Add(in.class.QueueTimeout)
	if r.MaxTokens < 0 {
		r.MaxTokens = 0
	}
	return r
}

// modelList is the model list of the completions API.
type modelList struct {
	Object string        `json:"object"`
	Data   []modelObject `json:"data"`
}

type modelObject struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// models lists the models that have a backend server.
func (api *API) models(w http.ResponseWriter, in *inbound) *Refusal {
	list := modelList{Object: "list", Data: []modelObject{}}
	for name := range in.fleet.ByModel {
		list.Data = append(list.Data, modelObject{
			ID:      name,
			Object:  "model",
			Created: time.Unix(0, 0).Unix(),
			OwnedBy: "snipetally",
		})
	}
	slices.SortFunc(list.Data, func(a, b modelObject) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(list); err != nil {
		api.options.Log.Debug().Err(err).Str("request", in.id).Msg("failed to send the list of models")
	}
	return nil
}
