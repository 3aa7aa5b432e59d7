package relay

import "time"

// Kind says whether requests of a class may run more than once.
type Kind uint8

const (
	// NonIdempotent marks a request that may run at most once.
	NonIdempotent Kind = iota

	// Idempotent marks a request that may run any number of times.
	Idempotent

	// Stream marks a request whose response is a stream of events. It runs at
	// most once unless its class is resumable.
	Stream
)

// String returns the name for logs.
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

// Plan is the routing configuration that operators set. It is always replaced
// as a whole by a newer version.
type Plan struct {
	Version  int64
	Classes  []Class
	Services []Service
	Teams    []Team
	Limits   Limits

	// KeysRequired says that requests of classes that are not public need a key. It holds
	// for each plan with teams, and for one whose teams are all gone.
	KeysRequired bool
}

// Class is a request class with the host and path prefix that select it.
type Class struct {
	Name string
	Host string

	// Prefix begins and ends with a slash. The longest prefix that matches the
	// path of a request selects its class.
	Prefix string
	Kind   Kind

	// Timeout bounds the processing of a request. TargetLatency is the desired
	// time to the response, or to the first event of a stream, and TargetGap
	// the desired bound on the pause between events.
	Timeout       time.Duration
	TargetLatency time.Duration
	TargetGap     time.Duration

	// Tier is the priority tier; 0 is the most important.
	Tier int

	// Splits are the services and their weights in the traffic split.
	Splits []Split

	// MaxAttempts is the largest number of backend servers that run one
	// request.
	MaxAttempts int

	// Public marks a class whose requests need no API key.
	Public bool

	// Resumable marks a stream that another backend server can resume after the
	// last event that the caller has.
	Resumable bool
}

// Retryable reports whether a request of the class may run more than once.
func (c *Class) Retryable() bool {
	return c.Kind == Idempotent || (c.Kind == Stream && c.Resumable)
}

// Split is a service's share of the requests of a class.
type Split struct {
	Service string
	Weight  int
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name string

	// Slots is the number of requests that a model engine runs concurrently,
	// or zero if the servers are not model engines.
	Slots int

	// TokensPerEvent is the number of tokens in an event of a model engine's
	// stream.
	TokensPerEvent int

	// SupportsMigration says that the engines can migrate running requests
	// between each other.
	SupportsMigration bool

	// CacheTokens is the capacity of a model engine's KV cache in tokens.
	CacheTokens int64

	// HealthPath is the path of the servers' health checks, or empty.
	HealthPath string
}

// IsEngine reports whether the service's servers are model engines.
func (s *Service) IsEngine() bool { return s.Slots > 0 }

// Team is a group of callers with common API keys.
type Team struct {
	Name string
	Keys []string

	// Tier replaces the tier of the class if OverridesTier is set.
	Tier          int
	OverridesTier bool
}

// Limits bound the size of callers' requests.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes bound the sizes; zero means no limit.
	MaxHeaderBytes int
	MaxBodyBytes   int64
}

// Server is a backend server as it registered itself.
type Server struct {
	// ID identifies a backend server. A server that starts again may keep it.
	ID string

	// StartedAt is when the server's process started, by the server's clock, or
	// the zero time if the entry does not say.
	StartedAt time.Time

	Service string
	Address string
	Zone    string
	Slots   int

	// Draining says that the server accepts no new work and will stop soon.
	Draining bool

	// Sequence rises with each heartbeat of the server.
	Sequence int64

	// WarmupRemaining is how much longer the server is slow after its start.
	WarmupRemaining time.Duration
}

// sameLifetime reports whether two entries with the same ID are about one run of
// a server's process.
func (s Server) sameLifetime(other Server) bool {
	return s.Address == other.Address && s.StartedAt.Equal(other.StartedAt)
}

// Bounds are the operator's limits on delays and retries that the router has to
// keep. Operators may change them while the router runs.
type Bounds struct {
	// MaxRevocationDelay is how long after its revocation an API key may still
	// be accepted. Zero means that there is no such limit.
	MaxRevocationDelay time.Duration

	// MaxPlanDelay is how long after its acknowledgment a new plan may come into
	// force. Zero means that there is no such limit.
	MaxPlanDelay time.Duration

	// DrainTimeout is the least time for which a server keeps serving after it
	// announced that it is draining.
	DrainTimeout time.Duration

	// GracePeriod is the time between the signal to stop and the forced end of
	// the process.
	GracePeriod time.Duration

	// RetryRatio bounds the retries at a service within RetryWindow, as a
	// fraction of the requests for it.
	RetryRatio  float64
	RetryWindow time.Duration

	// RetryExtra is the number of retries at a service beyond the ratio that all
	// routers together may send within RetryWindow. Zero means that it is not known.
	RetryExtra float64
}
