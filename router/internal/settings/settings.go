// Package settings parses the settings file of one router VM: its addresses, zone
// and keys, the addresses of the platform's services, and the seed plan for an
// empty table. It contains the defaults and all checks except those of the plan,
// which are in package document. It imports package document and the packages of
// plain data.
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

// ErrInvalid is wrapped by the error about an invalid settings file.
const ErrInvalid = errors.ConstError("invalid settings")

// Settings are the checked settings of one VM.
type Settings struct {
	VM        VM
	Caller    Endpoint
	Operators Endpoint
	Peers     Endpoint

	// PeerKeys authenticate the routers to each other. Requests carry the first
	// key and every key is accepted, so that a key can be rotated without downtime.
	PeerKeys []string

	// PeerAuthority is the path of a PEM file with the routers' certificate
	// authority. It is required if the peer address has a certificate.
	PeerAuthority string

	CallerLimits CallerLimits
	Table        PlatformService
	VMList       PlatformService

	// ObjectStore is the object store for large responses of at-most-once calls.
	// Without an address such responses are not stored.
	ObjectStore PlatformService
	LogLevel    string
	Accounts    []Account

	// SeedName is the name of the seed. A seed is written to the table once, by
	// the first router that finds no seed of that name there. If it is empty,
	// nothing is written.
	SeedName string

	// Seed is the plan as documents. Plan is the same plan as plain data.
	Seed document.Plan
	Plan fleet.Plan
}

// VM is the router VM that the process runs on.
type VM struct {
	Name   string
	Zone   string
	Region string

	// Linger is how long a stopping router still accepts requests that the
	// platform's load balancer sends.
	Linger time.Duration
}

// Endpoint is an address that the router listens on. Certificate and Key are the
// paths of PEM files; without them the endpoint serves plain HTTP.
type Endpoint struct {
	Listen      string
	Certificate string
	Key         string
}

// CallerLimits bound the size and duration of callers' requests.
type CallerLimits struct {
	// MaxBodyBytes and MaxHeaderBytes bound a single request.
	MaxBodyBytes   int64
	MaxHeaderBytes int

	// MaxBufferedBytes bounds the total size of the request bodies in memory.
	MaxBufferedBytes int64

	// ReadTimeout bounds the time until a request has been received completely.
	ReadTimeout time.Duration

	// WriteTimeout bounds the time that a caller takes to accept each part of a
	// response.
	WriteTimeout time.Duration
}

// PlatformService is the address of one of the platform's services and the timeout
// of a call to it.
type PlatformService struct {
	Address string
	Timeout time.Duration
}

// Account is the account of an operator. An empty Partner stands for both
// partners.
type Account struct {
	Name    string
	Partner string
	Keys    []contract.KeyHash
}

// Problem is one problem in a settings file. Path is the path of the key concerned,
// such as class[2].first.
type Problem struct {
	Line    int
	Path    string
	Message string
}

// Error implements error.
func (p Problem) Error() string {
	return fmt.Sprintf("line %d: %s: %s", p.Line, p.Path, p.Message)
}

// InvalidError lists all problems of a settings file.
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
