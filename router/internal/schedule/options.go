package schedule

import (
	"time"

	"snipetally.example/router/internal/backend"
)

// Mode says how routers agree on the slots of a server that they share.
type Mode uint8

const (
	// ModeDivided divides the slots of each server between routers by demand.
	ModeDivided Mode = iota

	// ModeIndependent lets each router judge by load reports whether a server has room.
	ModeIndependent
)

// Lending says when a partner's servers run requests of another partner.
type Lending uint8

const (
	// LendIdle lends what the owner's demand leaves idle.
	LendIdle Lending = iota

	// LendTier lends up to the loan's share, also to a borrower's request
	// that competes with requests of the owner.
	LendTier

	// LendNone lends nothing.
	LendNone
)

// Options set up a Core or a Gate.
type Options struct {
	// Router names this router among those that share the servers.
	Router string
	Zone   string
	Region string

	Mode    Mode
	Lending Lending

	// Seed makes random choices repeatable. Zero takes a random one.
	Seed uint64

	// MaxRequests and Bytes bound what waits in all queues together.
	MaxRequests int
	MaxBytes    int

	// Overcommit is the number of requests beyond the own slots of a server that
	// protected requests and those of the first AheadTiers tiers may be sent
	// ahead into the engine. Negative is none.
	Overcommit      int
	OvercommitTiers int

	// ReserveFactor sizes the own slots that the tiers from ReserveTier on leave
	// free for more important ones: so many times the square root of the
	// slots that those use, as their fluctuation grows. Negative is none.
	ReserveFactor float64
	ReserveTier   int

	// Period is how often routers exchange their demand.
	Period time.Duration

	// OracleLength foretells the length of an answer in place of what was learned,
	// and Truth the number of requests on a server in place of reports. They
	// are set to measure what better knowledge would bring.
	OracleLength func(*Request) float64
	OracleLoad   func(server string) (outstanding int, pace time.Duration)
}

const (
	defaultRequests    = 20_000
	defaultBytes       = 64 << 20
	defaultPeriod      = 500 * time.Millisecond
	defaultAheadTiers  = 2
	defaultReserveTier = 2
	defaultReserve     = 1.5
	defaultAhead       = 1

	// defaultSlots is assumed of a server whose settings name none.
	defaultSlots = 16

	// promptWeight is the service of a token of the prompt, as a fraction of
	// that of a generated token.
	promptWeight = 1.0 / 16

	// prefillRate is the number of prompt tokens that an engine takes in a
	// second, until the answers of the server tell otherwise.
	prefillRate = 8000.0

	// nominalPace is assumed of an engine that has not been measured.
	nominalPace = 30 * time.Millisecond

	// serviceTime is assumed of a call to a plain service.
	serviceTime = 50 * time.Millisecond
)

// withDefaults fills in what is not set.
func (o Options) withDefaults() Options {
	if o.MaxRequests == 0 {
		o.MaxRequests = defaultRequests
	}
	if o.MaxBytes == 0 {
		o.MaxBytes = defaultBytes
	}
	if o.Period == 0 {
		o.Period = defaultPeriod
	}
	if o.OvercommitTiers == 0 {
		o.OvercommitTiers = defaultAheadTiers
	}
	if o.Overcommit == 0 {
		o.Overcommit = defaultAhead
	}
	if o.ReserveFactor == 0 {
		o.ReserveFactor = defaultReserve
	}
	if o.ReserveTier == 0 {
		o.ReserveTier = defaultReserveTier
	}
	return o
}

// latency estimates the time one way to a server.
func (o *Options) latency(s *backend.Server) time.Duration {
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
