// Package backend describes backend servers: model engines and plain services.
// It holds plain data and imports no other package of the router.
package backend

// Kind is the kind of a backend server.
type Kind uint8

const (
	// KindEngine is a model engine, which batches requests and streams tokens.
	KindEngine Kind = iota

	// KindService is a plain HTTP service.
	KindService
)

// State is the lifecycle state of a backend server.
type State uint8

const (
	// StateActive means that the server receives new requests.
	StateActive State = iota

	// StateDraining means that the server receives no new requests and finishes
	// those that it runs.
	StateDraining
)

// Server describes a backend server.
type Server struct {
	Name string

	// Address is the IP address and port of the server.
	Address string
	Zone    string
	Region  string

	// Partner is the name of the partner that owns the server.
	Partner string
	Kind    Kind

	// Service is the name of the plain service that the server runs. It is
	// empty for an engine.
	Service string

	// Models are the names of the models that an engine serves.
	Models []string

	// Slots is the number of concurrent requests that the server handles well.
	Slots int

	// SupportsFencing reports whether the server rejects orders that carry an
	// outdated fencing token.
	SupportsFencing bool
	State           State
}
