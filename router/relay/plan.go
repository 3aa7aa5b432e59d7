package relay

import "time"

// Kind says what may be repeated.
type Kind uint8

const (
	// NonIdempotent marks a request that runs at most once.
	NonIdempotent Kind = iota

	// Idempotent marks a request that may run any number of times.
	Idempotent

	// Stream marks a request whose answer is a series of events. It runs at
	// most once unless its class is resumable.
	Stream
)

// String returns the word for logs.
func (k Kind) String() string {
	switch k {
	case NonIdempotent:
		return "once"
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	}
	return "invalid"
}

// Plan is all that operators decide, at one version. It arrives whole.
type Plan struct {
	Version  int64
	Classes  []Class
	Services []Service
	Teams    []Team
	Limits   Limits
}

// Class is a request class with the host and path prefix that select it.
type Class struct {
	Name string
	Host string

	// Prefix begins and ends with a slash. The longest one that begins the
	// path of a request selects its class.
	Prefix string
	Kind   Kind

	// Timeout is the longest time that a request is kept, Target the time
	// within which its answer, or the first event of it, is worth most, and
	// Gap the longest pause between events that does no harm.
	Timeout       time.Duration
	TargetLatency time.Duration
	TargetGap     time.Duration

	// Tier is the importance; 0 matters most.
	Tier int

	// Splits are the services and their shares of the requests.
	Splits []Split

	// MaxAttempts is the largest number of backend servers that run one request.
	MaxAttempts int

	// Public marks a class whose requests need no key.
	Public bool

	// Resumable marks a stream that another backend server can continue.
	Resumable bool
}

// Retryable reports whether a request of the class may run again.
func (c *Class) Retryable() bool {
	return c.Kind == Idempotent || (c.Kind == Stream && c.Resumable)
}

// Split is a service's share of the requests of a class.
type Split struct {
	Service string
	Weight  int
}

// Service is a kind of backend server.
type Service struct {
	Name string

	// Slots is the number of requests that a model engine runs at once. It is
	// zero for a plain service.
	Slots int

	// TokensPerEvent is the number of tokens in an event of a model engine's stream.
	TokensPerEvent int

	// SupportsMigration says that the engines can hand a running request to each other.
	SupportsMigration bool

	// CacheTokens is the size of a model engine's KV cache.
	CacheTokens int64
}

// IsEngine reports whether the service's servers are model engines.
func (s *Service) IsEngine() bool { return s.Slots > 0 }

// Team is a caller's contract.
type Team struct {
	Name string
	Keys []string

	// Tier takes the place of the tier of the class if Ranked is set.
	Tier          int
	OverridesTier bool
}

// Limits bound what a caller may send.
type Limits struct {
	// MaxHeaderBytes and BodyBytes bound the sizes; zero means no bound.
	MaxHeaderBytes int
	MaxBodyBytes   int64
}

// Server is a backend server as it registered itself.
type Server struct {
	// ID names one lifetime of a backend server.
	ID      string
	Service string
	Address string
	Zone    string
	Slots   int

	// Draining says that it takes no new work and will be gone soon.
	Draining bool

	// WarmupRemaining is how much longer the server is slow after its start.
	WarmupRemaining time.Duration
}

// Bounds are the promises that the router keeps.
type Bounds struct {
	// MaxRevocationDelay is how long after its withdrawal a key may still be taken.
	// Zero means that there is no such bound.
	MaxRevocationDelay time.Duration

	// DrainTimeout is how long a leaving server serves at least after it told so.
	DrainTimeout time.Duration

	// GracePeriod is the time between the signal to stop and the end by force.
	GracePeriod time.Duration

	// RetryRatio bounds the repeats at a service in a window, as a part of the
	// requests for it.
	RetryRatio  float64
	RetryWindow time.Duration
}
