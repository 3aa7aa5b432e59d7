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

// Options are what the API needs.
type Options struct {
	VM         string
	Accounts   credential.Accounts
	Replicator Replicator
	Log        zerolog.Logger
	Metrics    metrics.Registry

	// Writer writes changes to the table service.
	Writer Writer

	// TableStatus tells how the last call to the table service ended.
	TableStatus func() TableStatus

	// Ready reports whether callers may be sent here.
	Ready func() bool

	// Dump returns the state of the process.
	Dump func() dump.State
}

// API answers operators and the platform's balancer.
type API struct {
	options Options
	router  *mux.Router
}

// New returns an API.
func New(options Options) *API {
	api := &API{options: options, router: mux.NewRouter()}
	api.router.HandleFunc("/live", api.live).Methods(http.MethodGet)
	api.router.HandleFunc("/ready", api.ready).Methods(http.MethodGet)
	api.router.Handle("/state", api.guard(http.HandlerFunc(api.state))).Methods(http.MethodGet)
	api.router.Handle("/metrics", api.guard(http.HandlerFunc(api.metrics))).Methods(http.MethodGet)
	server := wire.NewOperatorsServer(&service{options: options})
	api.router.PathPrefix(server.PathPrefix()).Handler(api.guard(http.MaxBytesHandler(server, maxCommand)))
	return api
}

// maxCommand bounds the size of an operator's command in bytes.
const maxCommand = 1 << 20

// ServeHTTP implements http.Handler.
func (api *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	api.router.ServeHTTP(w, r)
}

// guard lets only operators through.
func (api *API) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		account, ok := api.options.Accounts.Find(r)
		if !ok {
			unauthenticated(w)
			return
		}
		next.ServeHTTP(w, r.WithContext(withAccount(r.Context(), account)))
	})
}

// live answers that the process runs.
func (api *API) live(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

// ready answers whether callers may be sent here.
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
		api.options.Log.Debug().Err(err).Msg("state dump not taken")
	}
}

// metrics answers with every metric.
func (api *API) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(api.options.Metrics, w)
}
