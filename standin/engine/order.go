package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"

	"github.com/gorilla/mux"
)

// orderState is the state that results from the orders applied so far. It is
// guarded by Engine.mu.
type orderState struct {
	fence  uint64
	models []string
	role   string
}

// newOrderState returns the state before the first order.
func newOrderState(models []string) orderState {
	return orderState{models: slices.Clone(models), role: "serve"}
}

// servesModel reports whether the engine serves the model. An engine without
// loaded models serves every model.
func (o *orderState) servesModel(model string) bool {
	return len(o.models) == 0 || slices.Contains(o.models, model)
}

// orderRequest is the body of a request with an order. Name is a model or, for
// kind "role", the role.
type orderRequest struct {
	Fence uint64 `json:"fence"`
	Kind  string `json:"kind"`
	Name  string `json:"name"`
}

// orderStateBody is the encoded form of orderState.
type orderStateBody struct {
	Fence  uint64   `json:"fence"`
	Models []string `json:"models"`
	Role   string   `json:"role"`
}

// applyOrder applies an order. An engine that supports fencing refuses orders
// with a lower fencing token than the highest one applied.
func (e *Engine) applyOrder(w http.ResponseWriter, r *http.Request) {
	var order orderRequest
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		e.writeError(w, http.StatusBadRequest, "json", err.Error())
		return
	}
	e.mu.Lock()
	stale := e.config.SupportsFencing && order.Fence < e.orderState.fence
	known := stale || e.orderState.apply(order)
	e.mu.Unlock()
	switch {
	case stale:
		e.writeError(w, http.StatusConflict, "fence", "the fencing number is old")
	case !known:
		e.writeError(w, http.StatusBadRequest, "kind", "no such order")
	default:
		e.writeJSON(w, struct{}{})
	}
}

// apply updates the state and reports whether the kind of the order is known.
func (o *orderState) apply(order orderRequest) bool {
	switch order.Kind {
	case "load":
		if !slices.Contains(o.models, order.Name) {
			o.models = append(o.models, order.Name)
		}
	case "unload":
		o.models = slices.DeleteFunc(o.models, func(name string) bool { return name == order.Name })
	case "role":
		o.role = order.Name
	default:
		return false
	}
	o.fence = max(o.fence, order.Fence)
	return true
}

// getOrderState returns the state that results from the orders so far.
func (e *Engine) getOrderState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	state := orderStateBody{Fence: e.orderState.fence, Models: slices.Clone(e.orderState.models), Role: e.orderState.role}
	e.mu.Unlock()
	e.writeJSON(w, state)
}

// exportedRequest is a request and its progress, in place of the KV cache that a
// real engine would transfer.
type exportedRequest struct {
	Body         []byte `json:"body"`
	Chat         bool   `json:"chat"`
	OutputTokens int    `json:"tokens"`
	CachedTokens int    `json:"cached"`
	Priority     int    `json:"priority"`
}

// exportRequest returns the state of a running request and cancels the request
// on this engine.
func (e *Engine) exportRequest(w http.ResponseWriter, r *http.Request) {
	attempt := mux.Vars(r)["attempt"]
	e.mu.Lock()
	j := e.jobs[attempt]
	running := j != nil && j.state == StateRunning
	var state exportedRequest
	if running {
		j.cancel()
		state = exportedRequest{Body: j.body, Chat: j.chat, OutputTokens: j.outputTokens, CachedTokens: j.cachedTokens, Priority: j.priority}
	}
	e.mu.Unlock()
	w.Header().Set(attemptHeader, attempt)
	if !running {
		e.writeError(w, http.StatusNotFound, "absent", "the request does not run here")
		return
	}
	e.writeJSON(w, state)
}

// importRequest accepts the state of a request from another engine and continues
// the request.
func (e *Engine) importRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var state exportedRequest
	if err == nil {
		err = json.Unmarshal(body, &state)
	}
	if err != nil {
		e.writeError(w, http.StatusBadRequest, "json", err.Error())
		return
	}
	j, err := newJob(state.Body, state.Chat)
	if err != nil {
		e.writeError(w, http.StatusBadRequest, "json", err.Error())
		return
	}
	j.attempt, j.priority, j.cachedTokens = mux.Vars(r)["attempt"], state.Priority, state.CachedTokens
	for j.outputTokens < state.OutputTokens {
		j.events = append(j.events, j.encodeChunk(tokenText(j.prompt, j.outputTokens), ""))
		j.outputTokens++
	}
	if e.submit(w, j) {
		e.writeJSON(w, struct{}{})
	}
}
