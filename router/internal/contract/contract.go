// Package contract describes the entitlements of teams and partners: the
// classes that a team may use, its weight and limits, and the capacity that a
// partner lends. It holds plain data and imports no other package of the router.
package contract

import "crypto/sha256"

// KeyHash is the SHA-256 hash of an API key. Keys themselves are never stored.
type KeyHash [sha256.Size]byte

// Limits bound the usage of a team, summed over all routers. Zero means no limit.
type Limits struct {
	// RequestsPerSecond is the number of requests that may start per second.
	RequestsPerSecond float64

	// TokensPerSecond is the number of prompt and generated tokens per second.
	TokensPerSecond float64

	// MaxRunning is the number of requests that may be in progress at once.
	MaxRunning int
}

// Team is the contract of one team. A caller authenticates as the team with one
// of its keys.
type Team struct {
	Name string

	// Partner is the name of the partner that owns the team.
	Partner string

	// Keys are the hashes of the keys that identify the team. Several keys are
	// valid at once while a key is rotated.
	Keys []KeyHash

	// Classes are the names of the classes that the team may request. The
	// first one is the default for requests that name no class.
	Classes []string

	// Weight is the relative share of the team among the teams of a class.
	Weight float64
	Limits Limits
}

// Loan is the part of its capacity that a partner lends to another partner.
type Loan struct {
	// Borrower is the name of the partner that may use the capacity.
	Borrower string

	// MaxShare is the maximum fraction, from 0 to 1, of each backend server
	// that may run requests of the borrower.
	MaxShare float64
}

// Partner is an owner of teams, classes and backend servers.
type Partner struct {
	Name  string
	Loans []Loan
}
