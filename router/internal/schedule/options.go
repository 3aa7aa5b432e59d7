package schedule

import (
	"cmp"
	"time"

	"snipetally.example/router/internal/backend"
)

// Mode determines how routers share the slots of a server.
type Mode uint8

const (
	// ModeDivided divides the slots of each server between routers by demand.
	ModeDivided Mode = iota

	// ModeIndependent lets each router decide from load reports whether a
	// server has room.
	ModeIndependent
)

// Lending determines when a partner's servers run requests of another partner.
type Lending uint8

const (
	// LendIdle lends slots that the owner's demand leaves idle.
	LendIdle Lending = iota

	// LendTier lends up to the loan's share, even if the borrower's request
	// competes with requests of the owner.
	LendTier

	// LendNone disables lending.
	LendNone
)

// Options configures a Core or a Gate.
type Options struct {
	// Router is the name of this router among those that share the servers, and
	// Zone and Region are its availability zone and region.
	Router string
	Zone   string
	Region string

	Mode    Mode
	Lending Lending

	// Seed makes random choices reproducible. Zero selects a random seed.
	Seed uint64

	// MaxRequests and MaxBytes bound the waiting requests of all queues
	// together.
	MaxRequests int
	MaxBytes    int

	// Overcommit is the number of requests beyond its own slots on a server
	// that the router may send to the engine, for protected requests and those
	// of the first OvercommitTiers tiers. Negative means none.
	Overcommit      int
	OvercommitTiers int

	// ReserveFactor sizes the reserve: the own slots that the tiers from
	// ReserveTier on leave free for more important ones. It is multiplied by
	// the square root of the slots that those use, since their fluctuation
	// grows with it. Negative means none.
	ReserveFactor float64
	ReserveTier   int

	// Period is the interval at which routers exchange their demand. Gate.Run
	// adapts it to the traffic.
	Period time.Duration

	// OracleLength predicts the output length of a request in place of the
	// learned lengths, and OracleLoad returns the number of requests on a
	// server and its token latency in place of reports and measurements. They
	// are set only to measure what better knowledge would gain.
	OracleLength func(*Request) float64
	OracleLoad   func(server string) (outstanding int, tokenLatency time.Duration)
}

const (
	defaultMaxRequests     = 20_000
	defaultMaxBytes        = 64 << 20
	defaultPeriod          = 500 * time.Millisecond
	defaultOvercommitTiers = 2
	defaultReserveTier     = 2
	defaultReserveFactor   = 1.5
	defaultOvercommit      = 1

	// defaultSlots is assumed for a server whose settings do not specify a
	// number of slots.
	defaultSlots = 16

	// promptWeight is the cost of a prompt token relative to a generated token.
	promptWeight = 1.0 / 16

	// prefillRate is the number of prompt tokens that an engine is assumed to
	// process per second. An engine that is slower shows a longer start delay.
	prefillRate = 8000.0

	// nominalTokenLatency is the token latency assumed for an engine that has
	// not been measured.
	nominalTokenLatency = 30 * time.Millisecond

	// serviceTime is the time assumed for a call to a plain service.
	serviceTime = 50 * time.Millisecond
)

// withDefaults replaces zero options by their defaults.
func (o Options) withDefaults() Options {
	o.MaxRequests = cmp.Or(o.MaxRequests, defaultMaxRequests)
	o.MaxBytes = cmp.Or(o.MaxBytes, defaultMaxBytes)
	o.Period = cmp.Or(o.Period, defaultPeriod)
	o.OvercommitTiers = cmp.Or(o.OvercommitTiers, defaultOvercommitTiers)
	o.Overcommit = cmp.Or(o.Overcommit, defaultOvercommit)
	o.ReserveFactor = cmp.Or(o.ReserveFactor, defaultReserveFactor)
	o.ReserveTier = cmp.Or(o.ReserveTier, defaultReserveTier)
	return o
}

// networkLatency estimates the one-way network latency to a server.
func (o *Options) networkLatency(s *backend.Server) time.Duration {
	const (
		near = 200 * time.Microsecond
		zone = time.Millisecond
		far  = 30 * time.Millisecond
	)
	switch {
	case s.Region != o.Region:
		return far
	case s.Zone != o.Zone:
		return zone
	}
	return near
}
