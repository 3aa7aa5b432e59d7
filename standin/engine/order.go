package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"

	"github.com/gorilla/mux"
)

// orders is what the orders so far made of the engine.
type orders struct {
	fence  uint64
	models []string
	role   string
}

// newOrders returns the state before the first order.
func newOrders(models []string) orders {
	return orders{models: slices.Clone(models), role: "serve"}
}

// loaded reports whether the model is loaded. An engine without any model
// serves each one.
func (o *orders) loaded(model string) bool {
	return len(o.models) == 0 || slices.Contains(o.models, model)
}

// orderBody is one order.
type orderBody struct {
	Fence uint64 `json:"fence"`
	Kind  string `json:"kind"`
	Name  string `json:"name"`
}

// ordersAnswer is what is in effect.
type ordersAnswer struct {
	Fence  uint64   `json:"fence"`
	Models []string `json:"models"`
	Role   string   `json:"role"`
}

// order carries out an order.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var body orderBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		e.refuse(w, http.StatusBadRequest, "json", err.Error())
		return
	}
	e.mu.Lock()
	old := e.config.SupportsFencing && body.Fence < e.orders.fence
	known := old || e.orders.apply(body)
	e.mu.Unlock()
	switch {
	case old:
		e.refuse(w, http.StatusConflict, "fence", "the fencing number is old")
	case !known:
		e.refuse(w, http.StatusBadRequest, "kind", "no such order")
	default:
		e.reply(w, struct{}{})
	}
}

// apply changes what is in effect and reports whether the order is known.
func (o *orders) apply(body orderBody) bool {
	switch body.Kind {
	case "load":
		if !slices.Contains(o.models, body.Name) {
			o.models = append(o.models, body.Name)
		}
	case "unload":
		o.models = slices.DeleteFunc(o.models, func(name string) bool { return name == body.Name })
	case "role":
		o.role = body.Name
	default:
		return false
	}
	o.fence = max(o.fence, body.Fence)
	return true
}

// inEffect answers the state that the orders led to.
func (e *Engine) inEffect(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	answer := ordersAnswer{Fence: e.orders.fence, Models: slices.Clone(e.orders.models), Role: e.orders.role}
	e.mu.Unlock()
	e.reply(w, answer)
}

// exported is a request and how far it got.
type exported struct {
	Body     []byte `json:"body"`
	Chat     bool   `json:"chat"`
	Tokens   int    `json:"tokens"`
	Cached   int    `json:"cached"`
	Priority int    `json:"priority"`
}

// export answers the KV cache of a request and stops it here.
func (e *Engine) export(w http.ResponseWriter, r *http.Request) {
	attempt := mux.Vars(r)["attempt"]
	e.mu.Lock()
	j := e.jobs[attempt]
	moves := j != nil && j.state == StateRunning
	var state exported
	if moves {
		j.cancel()
		state = exported{Body: j.body, Chat: j.chat, Tokens: j.tokens, Cached: j.cached, Priority: j.priority}
	}
	e.mu.Unlock()
	w.Header().Set(attemptHeader, attempt)
	if !moves {
		e.refuse(w, http.StatusNotFound, "absent", "the request does not run here")
		return
	}
	e.reply(w, state)
}

// restore takes the KV cache of a request and goes on with it.
func (e *Engine) restore(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	var state exported
	if err == nil {
		err = json.Unmarshal(body, &state)
	}
	if err != nil {
		e.refuse(w, http.StatusBadRequest, "json", err.Error())
		return
	}
	j, err := newJob(state.Body, state.Chat)
	if err != nil {
		e.refuse(w, http.StatusBadRequest, "json", err.Error())
		return
	}
	j.attempt, j.priority, j.cached = mux.Vars(r)["attempt"], state.Priority, state.Cached
	for j.tokens < state.Tokens {
		j.events = append(j.events, j.chunk(word(j.prompt, j.tokens), ""))
		j.tokens++
	}
	if e.accept(w, j) {
		e.reply(w, struct{}{})
	}
}
