// Package settings reads the settings file of one VM: its addresses, zone and
// keys, where the platform's services are, and the plan with which an empty
// table is filled. It holds the defaults and every check, and imports package
// document and the packages of plain data.
package settings

import (
	"fmt"
	"strings"
	"time"

	"github.com/juju/errors"

	"snipetally.example/router/internal/contract"
	"snipetally.example/router/internal/document"
	"snipetally.example/router/internal/fleet"
)

// ErrInvalid is wrapped by the error for a settings file with problems.
const ErrInvalid = errors.ConstError("invalid settings")

// Settings are the checked settings of one VM.
type Settings struct {
	VM        VM
	Caller    Endpoint
	Operators Endpoint
	Peers     Endpoint

	// PeerKeys authenticate the routers to each other. The first is sent, all
	// are taken, so that a key can be changed without a stop.
	PeerKeys []string

	// PeerAuthority is the path of a PEM file with the certificate authority of
	// the routers. It is needed if the address for peers has a certificate.
	PeerAuthority string

	CallerLimits CallerLimits
	Table        PlatformService
	VMList       PlatformService

	// ObjectStore is the object store for large answers of calls that run at most
	// once. Without an address such answers are not kept.
	ObjectStore PlatformService
	LogLevel    string
	Accounts    []Account

	// SeedName names the seed. A seed is written to the table once, by the
	// first router that finds no seed of its name there.
	SeedName string

	// Seed is the plan in its document form; Plan is the same as plain data.
	Seed document.Plan
	Plan fleet.Plan
}

// VM is the router VM that the process runs on.
type VM struct {
	Name   string
	Zone   string
	Region string

	// Linger is how long a router that was told to stop still takes what the
	// platform's balancer sends.
	Linger time.Duration
}

// Endpoint is an address that the router listens on. Certificate and Key are the
// paths of PEM files; without them the address speaks plain HTTP.
type Endpoint struct {
	Listen      string
	Certificate string
	Key         string
}

// CallerLimits limit what one caller's request may use.
type CallerLimits struct {
	// MaxBodyBytes and Header are sizes in bytes.
	MaxBodyBytes   int64
	MaxHeaderBytes int

	// MaxBufferedBytes bounds the bytes of the bodies that are held at once.
	MaxBufferedBytes int64

	// ReadTimeout is the time in which a request must have arrived.
	ReadTimeout time.Duration

	// WriteTimeout is the time in which a caller must take each part of an answer.
	WriteTimeout time.Duration
}

// PlatformService is where one of the platform's services is, and how long a call to
// it may take.
type PlatformService struct {
	Address string
	Timeout time.Duration
}

// Account is an operator who may change things. An empty partner stands for
// both partners.
type Account struct {
	Name    string
	Partner string
	Keys    []contract.KeyHash
}

// Problem is one fault of a settings file.
type Problem struct {
	Line    int
	Path    string
	Message string
}

// Error implements error.
func (p Problem) Error() string {
	return fmt.Sprintf("line %d: %s: %s", p.Line, p.Path, p.Message)
}

// InvalidError lists every problem of a settings file.
type InvalidError struct {
	Problems []Problem
}

// Error implements error.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, problem := range e.Problems {
		lines = append(lines, problem.Error())
	}
	return strings.Join(lines, "\n")
}

// Unwrap makes the error match ErrInvalid.
func (e *InvalidError) Unwrap() error {
	return ErrInvalid
}
