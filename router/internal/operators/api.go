package operators

import (
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"snipetally.example/router/internal/credential"
	"snipetally.example/router/internal/dump"
	wire "snipetally.example/wire/operators"
)

// Options configure an API.
type Options struct {
	VM         string
	Accounts   credential.Accounts
	Replicator Replicator
	Log        zerolog.Logger
	Metrics    metrics.Registry

	// Writer commits changes to the table service.
	Writer Writer

	// TableStatus returns the result of the last call to the table service.
	TableStatus func() TableStatus

	// Ready reports whether the load balancer may send callers to this router.
	Ready func() bool

	// Dump returns the state of the process.
	Dump func() dump.State
}

// API serves operators and the health checks of the platform's load balancer.
type API struct {
	options Options
	router  *mux.Router
}

// New returns an API.
func New(options Options) *API {
	api := &API{options: options, router: mux.NewRouter()}
	api.router.HandleFunc("/live", api.live).Methods(http.MethodGet)
	api.router.HandleFunc("/ready", api.ready).Methods(http.MethodGet)
	api.router.Handle("/state", api.requireOperator(http.HandlerFunc(api.state))).Methods(http.MethodGet)
	api.router.Handle("/metrics", api.requireOperator(http.HandlerFunc(api.metrics))).Methods(http.MethodGet)
	server := wire.NewOperatorsServer(&service{options: options})
	api.router.PathPrefix(server.PathPrefix()).Handler(api.requireOperator(http.MaxBytesHandler(server, maxRequestBytes)))
	return api
}

// maxRequestBytes bounds the body of an operator's request.
const maxRequestBytes = 1 << 20

// ServeHTTP implements http.Handler.
func (api *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	api.router.ServeHTTP(w, r)
}

// requireOperator rejects requests without an operator's key and puts the
// operator's account into the request's context.
func (api *API) requireOperator(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		account, ok := api.options.Accounts.Find(r)
		if !ok {
			unauthenticated(w)
			return
		}
		next.ServeHTTP(w, r.WithContext(withAccount(r.Context(), account)))
	})
}

// live always answers with status 200: the process runs.
func (api *API) live(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

// ready answers with status 200 if the load balancer may send callers to this
// router, and with 503 otherwise.
func (api *API) ready(w http.ResponseWriter, _ *http.Request) {
	if !api.options.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// state answers with the state dump.
func (api *API) state(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", " ")
	if err := encoder.Encode(api.options.Dump()); err != nil {
		api.options.Log.Debug().Err(err).Msg("failed to write state dump")
	}
}

// metrics answers with every metric.
func (api *API) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(api.options.Metrics, w)
}
