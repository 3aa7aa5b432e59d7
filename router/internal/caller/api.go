// Package caller is the HTTP API for callers. It authenticates teams, validates
// requests, acquires a slot from the gate, runs the request on a backend server
// and relays the response. It imports attempt, link, fleet, schedule, the
// record library and packages that only define data.
package caller

import (
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"snipetally.example/router/internal/attempt"
	"snipetally.example/router/internal/fleet"
	"snipetally.example/router/internal/schedule"
)

// Options holds the dependencies and limits of the API.
type Options struct {
	Fleet    *fleet.Store
	Gate     *schedule.Gate
	Inflight *Inflight
	Log      zerolog.Logger

	// Attempts, Links, RetryPolicy and RetryBudget run and limit the attempts
	// of a request.
	Attempts    AttemptRunner
	Links       LinkPool
	RetryPolicy attempt.Policy
	RetryBudget *attempt.RetryBudget

	// SettingsFresh reports whether the settings in force are recent enough to
	// count as the newest. An isolated router, which can't tell, takes no new
	// requests.
	SettingsFresh func() bool

	// Recorder stores the records of calls that run at most once.
	Recorder Recorder

	// Metrics receives the metrics named MetricCompleted and so on.
	Metrics metrics.Registry

	// MaxBodyBytes is the largest request body in bytes.
	MaxBodyBytes int64

	// MaxBufferedBytes bounds the total size of the request bodies in memory.
	MaxBufferedBytes int64

	// WriteTimeout is the time in which a caller must accept each part of a
	// response.
	WriteTimeout time.Duration
}

// API serves the requests of callers.
type API struct {
	options Options
	router  *mux.Router
	metrics requestMetrics
	bodies  *bodyBudget
}

// New returns an API with all its routes registered.
func New(options Options) *API {
	api := &API{options: options, router: mux.NewRouter(), metrics: requestMetrics{options.Metrics}, bodies: &bodyBudget{size: options.MaxBufferedBytes}}
	api.router.UseEncodedPath()
	api.router.SkipClean(true)
	api.router.HandleFunc("/v1/chat/completions", api.wrap(api.completion)).Methods(http.MethodPost)
	api.router.HandleFunc("/v1/completions", api.wrap(api.completion)).Methods(http.MethodPost)
	api.router.HandleFunc("/v1/models", api.wrap(api.models)).Methods(http.MethodGet)
	api.router.PathPrefix("/service/{name}").HandlerFunc(api.wrap(api.service))
	api.router.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		newRefusal(http.StatusNotFound, CodePath, "there is no such path").write(w)
	})
	api.router.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		newRefusal(http.StatusMethodNotAllowed, CodeMethod, "the path does not take this method").write(w)
	})
	return api
}

// ServeHTTP implements http.Handler.
func (api *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	api.router.ServeHTTP(w, r)
}

// flush sends what is buffered of a response, so that a request counts as ended
// only after its caller has received the response or failed to accept it in
// time.
func (api *API) flush(w http.ResponseWriter) {
	ctl := http.NewResponseController(w)
	_ = ctl.SetWriteDeadline(time.Now().Add(api.options.WriteTimeout))
	_ = ctl.Flush()
}

// handler serves a request. If the response has started when it returns a
// refusal, the handler has already written the refusal as far as it can be.
type handler func(w http.ResponseWriter, in *inbound) *Refusal

// wrap returns a handler that admits a request, runs h, logs the outcome and
// releases what the request holds.
func (api *API) wrap(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !api.options.Inflight.Begin() {
			refusal := newRefusal(http.StatusServiceUnavailable, CodeClosing, "the router is stopping")
			refusal.RetryAfter = time.Second
			w.Header().Set("Connection", "close")
			refusal.beforeKeyLookup(r).write(w)
			return
		}
		defer api.options.Inflight.End()
		defer api.flush(w)
		in, refusal := api.accept(r)
		if refusal != nil {
			refusal.beforeKeyLookup(r).write(w)
			return
		}
		defer in.fleet.Release()
		defer api.options.Inflight.trackClass(in.class.Name)()
		w.Header().Set("X-Request-Id", in.id)
		defer func() { api.bodies.release(in.bodyBytes) }()
		refusal = h(w, in)
		if refusal != nil && !in.runKnown {
			refusal = refusal.beforeKeyLookup(r)
		}
		in.logEnd(api.options.Log, refusal)
		if refusal == nil {
			return
		}
		api.metrics.refused(in.class.Name, refusal.Code)
		if !in.responseStarted {
			refusal.write(w)
		}
	}
}
