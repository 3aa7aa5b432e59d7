// Package document defines the encoded form of the plan that operators manage: JSON
// documents in a revision, and tables of the TOML settings file. Its tagged types
// mirror the plain data types one to one. It converts between the two and validates
// plans. It imports the packages of plain data, fleet and coordination/revision.
package document

import (
	"github.com/juju/errors"
)

// ErrInvalid is wrapped by every error about the content of a document.
const ErrInvalid = errors.ConstError("invalid document")

// Plan is the encoded form of fleet.Plan.
type Plan struct {
	ActivePreset string    `json:"force"    toml:"force"`
	Partners     []Partner `json:"partner"  toml:"partner"`
	Classes      []Class   `json:"class"    toml:"class"`
	Presets      []Preset  `json:"preset"   toml:"preset"`
	Teams        []Team    `json:"team"     toml:"team"`
	Services     []Service `json:"service"  toml:"service"`
	Servers      []Server  `json:"server"   toml:"server"`
}

// Partner is the encoded form of contract.Partner.
type Partner struct {
	Name  string `json:"name"           toml:"name"`
	Loans []Loan `json:"loan,omitempty" toml:"loan"`
}

// Loan is the encoded form of contract.Loan.
type Loan struct {
	Borrower string  `json:"to"    toml:"to"`
	MaxShare float64 `json:"share" toml:"share"`
}

// Class is the encoded form of class.Class. Durations are in the format of
// time.ParseDuration.
type Class struct {
	Name                string  `json:"name"                toml:"name"`
	Tier                int     `json:"tier"                toml:"tier"`
	Partner             string  `json:"partner,omitempty"   toml:"partner"`
	Protected           bool    `json:"protected,omitempty" toml:"protected"`
	AtMostOnce          bool    `json:"once,omitempty"      toml:"once"`
	Outage              string  `json:"outage,omitempty"    toml:"outage"`
	FirstTokenTarget    string  `json:"first"               toml:"first"`
	BetweenTokensTarget string  `json:"between,omitempty"   toml:"between"`
	QueueTimeout        string  `json:"deadline"            toml:"deadline"`
	Weight              float64 `json:"weight"              toml:"weight"`
	Floor               float64 `json:"floor,omitempty"     toml:"floor"`
	MaxQueued           int     `json:"queue"               toml:"queue"`
}

// Preset is the encoded form of preset.Preset.
type Preset struct {
	Name       string      `json:"name"             toml:"name"`
	Overrides  []Change    `json:"class,omitempty"  toml:"class"`
	Placements []Placement `json:"server,omitempty" toml:"server"`
}

// Placement is the encoded form of preset.Placement.
type Placement struct {
	Name   string   `json:"name"           toml:"name"`
	Models []string `json:"models"         toml:"models"`
	Role   string   `json:"role,omitempty" toml:"role"`
}

// Change is the encoded form of preset.Override. An absent field keeps the value
// of the class.
type Change struct {
	Name                string   `json:"name"               toml:"name"`
	FirstTokenTarget    *string  `json:"first,omitempty"    toml:"first"`
	BetweenTokensTarget *string  `json:"between,omitempty"  toml:"between"`
	QueueTimeout        *string  `json:"deadline,omitempty" toml:"deadline"`
	Weight              *float64 `json:"weight,omitempty"   toml:"weight"`
	Floor               *float64 `json:"floor,omitempty"    toml:"floor"`
	MaxQueued           *int     `json:"queue,omitempty"    toml:"queue"`
}

// Team is the encoded form of contract.Team. Keys are SHA-256 hashes in
// hexadecimal.
type Team struct {
	Name              string   `json:"name"               toml:"name"`
	Partner           string   `json:"partner"            toml:"partner"`
	Keys              []string `json:"keys"               toml:"keys"`
	Classes           []string `json:"classes"            toml:"classes"`
	Weight            float64  `json:"weight"             toml:"weight"`
	RequestsPerSecond float64  `json:"requests,omitempty" toml:"requests"`
	TokensPerSecond   float64  `json:"tokens,omitempty"   toml:"tokens"`
	MaxRunning        int      `json:"running,omitempty"  toml:"running"`
}

// Service is the encoded form of fleet.Service.
type Service struct {
	Name          string `json:"name"            toml:"name"`
	AtMostOnce    bool   `json:"once,omitempty"  toml:"once"`
	ReportsStatus bool   `json:"tells,omitempty" toml:"tells"`
}

// Server is the encoded form of backend.Server.
type Server struct {
	Name            string   `json:"name"              toml:"name"`
	Address         string   `json:"address"           toml:"address"`
	Zone            string   `json:"zone"              toml:"zone"`
	Region          string   `json:"region"            toml:"region"`
	Partner         string   `json:"partner"           toml:"partner"`
	Service         string   `json:"service,omitempty" toml:"service"`
	Models          []string `json:"models,omitempty"  toml:"models"`
	Slots           int      `json:"slots"             toml:"slots"`
	SupportsFencing bool     `json:"fenced,omitempty"  toml:"fenced"`
	Draining        bool     `json:"leaving,omitempty" toml:"leaving"`
}

// Problem is one problem in a plan. Path is the path of the key concerned, such as
// class[2].first.
type Problem struct {
	Path    string
	Message string
}

// Error implements error.
func (p Problem) Error() string {
	return p.Path + ": " + p.Message
}

// Unwrap makes a problem match ErrInvalid.
func (p Problem) Unwrap() error {
	return ErrInvalid
}
