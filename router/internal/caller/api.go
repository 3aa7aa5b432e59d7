// Package caller is the HTTP API for callers. It authenticates teams, checks
// requests, asks the gate for a place, has the request run on a backend server
// and relays the answer. It imports attempt, link, fleet, schedule, the library
// of records and the packages of plain data.
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

// Options are what the API needs.
type Options struct {
	Fleet    *fleet.Store
	Gate     *schedule.Gate
	Inflight *Inflight
	Log      zerolog.Logger

	// Attempts, Links, Policy and Budget make the attempts of a request.
	Attempts    AttemptRunner
	Links       LinkPool
	RetryPolicy attempt.Policy
	RetryBudget *attempt.RetryBudget

	// SettingsFresh reports whether the settings in force are known well enough to be
	// the newest. A router that is cut off takes no new work.
	SettingsFresh func() bool

	// Recorder holds the records of calls that run at most once.
	Recorder Recorder

	// Metrics receives the figures of MeterWhole and its kin.
	Metrics metrics.Registry

	// MaxBodyBytes is the largest body of a request in bytes.
	MaxBodyBytes int64

	// MaxBufferedBytes bounds the bytes of the bodies that are held at once.
	MaxBufferedBytes int64

	// WriteTimeout is the time in which a caller must take each part of an answer.
	WriteTimeout time.Duration
}

// API answers callers' requests.
type API struct {
	options Options
	router  *mux.Router
	meter   meter
	room    *room
}

// New returns an API.
func New(options Options) *API {
	api := &API{options: options, router: mux.NewRouter(), meter: meter{options.Metrics}, room: &room{size: options.MaxBufferedBytes}}
	api.router.UseEncodedPath()
	api.router.SkipClean(true)
	api.router.HandleFunc("/v1/chat/completions", api.enter(api.completion)).Methods(http.MethodPost)
	api.router.HandleFunc("/v1/completions", api.enter(api.completion)).Methods(http.MethodPost)
	api.router.HandleFunc("/v1/models", api.enter(api.models)).Methods(http.MethodGet)
	api.router.PathPrefix("/service/{name}").HandlerFunc(api.enter(api.service))
	api.router.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		refuse(http.StatusNotFound, CodePath, "there is no such path").write(w)
	})
	api.router.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		refuse(http.StatusMethodNotAllowed, CodeMethod, "the path does not take this method").write(w)
	})
	return api
}

// ServeHTTP implements http.Handler.
func (api *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	api.router.ServeHTTP(w, r)
}

// flush sends what is buffered of an answer, so that a request has left only when
// its caller has got it or did not take it in time.
func (api *API) flush(w http.ResponseWriter) {
	ctl := http.NewResponseController(w)
	_ = ctl.SetWriteDeadline(time.Now().Add(api.options.WriteTimeout))
	_ = ctl.Flush()
}

// handler answers a request. A refusal that it returns has been written if the
// answer has begun.
type handler func(w http.ResponseWriter, v *inbound) *Refusal

// enter takes each request in and ends it afterwards.
func (api *API) enter(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !api.options.Inflight.Begin() {
			refused := refuse(http.StatusServiceUnavailable, CodeClosing, "the router is stopping")
			refused.RetryAfter = time.Second
			w.Header().Set("Connection", "close")
			refused.forKey(r).write(w)
			return
		}
		defer api.options.Inflight.End()
		defer api.flush(w)
		v, refused := api.open(r)
		if refused != nil {
			refused.forKey(r).write(w)
			return
		}
		defer v.fleet.Release()
		defer api.options.Inflight.classify(v.class.Name)()
		w.Header().Set("X-Request-Id", v.id)
		defer func() { api.room.leave(v.held) }()
		refused = h(w, v)
		if refused != nil && !v.settled {
			refused = refused.forKey(r)
		}
		v.log(api.options.Log, refused)
		if refused == nil {
			return
		}
		api.meter.refused(v.class.Name, refused.Code)
		if !v.begun {
			refused.write(w)
		}
	}
}
