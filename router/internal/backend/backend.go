// Package backend describes backend servers: model engines and plain services.
// It holds plain data and imports nothing of the router.
package backend

import "slices"

// Kind tells the two kinds of backend server apart.
type Kind uint8

const (
	// KindEngine is a model engine, which batches requests and streams tokens.
	KindEngine Kind = iota

	// KindService is a plain HTTP service.
	KindService
)

// State is where a backend server stands in its life.
type State uint8

const (
	// StateActive servers receive new work.
	StateActive State = iota

	// StateDraining servers receive no new work and finish what they run.
	StateDraining
)

// Server is a backend server as operators declared it.
type Server struct {
	Name string

	// Address is the IP address and port of the server.
	Address string
	Zone    string
	Region  string
	Partner string
	Kind    Kind

	// Service is the name of the plain service that the server runs.
	Service string

	// Models are the names of the models that an engine serves.
	Models []string

	// Slots is the number of requests that the server runs well at once.
	Slots int

	// SupportsFencing servers refuse an order that carries an old fencing number.
	SupportsFencing bool
	State           State
}

// Serves reports whether the server serves the model.
func (s *Server) Serves(model string) bool {
	return s.Kind == KindEngine && slices.Contains(s.Models, model)
}
