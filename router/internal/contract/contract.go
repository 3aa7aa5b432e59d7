// Package contract describes what a partner and a team are owed: the classes
// that a team may use, its weight and limits, and the capacity that a partner
// lends. It holds plain data and imports nothing of the router.
package contract

import "crypto/sha256"

// KeyHash is the SHA-256 hash of a key. Keys themselves are never stored.
type KeyHash [sha256.Size]byte

// Limits bound what a team may use over all routers together. Zero means that
// there is no limit.
type Limits struct {
	// RequestsPerSecond is the number of requests that may start in a second.
	RequestsPerSecond float64

	// TokensPerSecond is the number of prompt and generated tokens in a second.
	TokensPerSecond float64

	// MaxRunning is the number of requests that may be in progress.
	MaxRunning int
}

// Team is a caller's contract.
type Team struct {
	Name    string
	Partner string

	// Keys are the hashes of the keys that name the team. Two or more are
	// valid at once while a key is changed.
	Keys []KeyHash

	// Classes are the names of the classes that the team may ask for. The
	// first one is used for a request that names none.
	Classes []string

	// Weight is the team's share among the teams of a class.
	Weight float64
	Limits Limits
}

// Loan says how much of its capacity a partner lends to another one.
type Loan struct {
	Borrower string

	// MaxShare is the largest fraction, from 0 to 1, of each backend server
	// that may run requests of the borrower.
	MaxShare float64
}

// Partner is an owner of teams, classes and backend servers.
type Partner struct {
	Name  string
	Loans []Loan
}
