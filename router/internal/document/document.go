// Package document maps what operators decide to documents and back: JSON
// documents under a revision, and tables of the TOML settings file. It holds
// the tagged forms, which mirror the plain data one to one, and the checks that
// a plan must pass. It imports the packages of plain data, fleet and
// coordination/revision.
package document

import (
	"encoding/hex"
	"fmt"
	"strconv"
	"time"

	"github.com/juju/errors"

	"snipetally.example/router/internal/backend"
	"snipetally.example/router/internal/class"
	"snipetally.example/router/internal/contract"
	"snipetally.example/router/internal/fleet"
	"snipetally.example/router/internal/preset"
)

// ErrInvalid is wrapped by each error about the content of a document.
const ErrInvalid = errors.ConstError("invalid document")

// Plan is the form of fleet.Plan.
type Plan struct {
	ActivePreset string    `json:"force"    toml:"force"`
	Partners     []Partner `json:"partner"  toml:"partner"`
	Classes      []Class   `json:"class"    toml:"class"`
	Presets      []Preset  `json:"preset"   toml:"preset"`
	Teams        []Team    `json:"team"     toml:"team"`
	Services     []Service `json:"service"  toml:"service"`
	Servers      []Server  `json:"server"   toml:"server"`
}

// Partner is the form of contract.Partner.
type Partner struct {
	Name  string `json:"name"           toml:"name"`
	Loans []Loan `json:"loan,omitempty" toml:"loan"`
}

// Loan is the form of contract.Loan.
type Loan struct {
	Borrower string  `json:"to"    toml:"to"`
	MaxShare float64 `json:"share" toml:"share"`
}

// Class is the form of class.Class. Durations are written as Go writes them.
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

// Preset is the form of preset.Preset.
type Preset struct {
	Name       string      `json:"name"             toml:"name"`
	Overrides  []Override  `json:"class,omitempty"  toml:"class"`
	Placements []Placement `json:"server,omitempty" toml:"server"`
}

// Placement is the form of preset.Placement.
type Placement struct {
	Name   string   `json:"name"           toml:"name"`
	Models []string `json:"models"         toml:"models"`
	Role   string   `json:"role,omitempty" toml:"role"`
}

// Override is the form of preset.Override. An absent field leaves the class as it is.
type Override struct {
	Name                string   `json:"name"               toml:"name"`
	FirstTokenTarget    *string  `json:"first,omitempty"    toml:"first"`
	BetweenTokensTarget *string  `json:"between,omitempty"  toml:"between"`
	QueueTimeout        *string  `json:"deadline,omitempty" toml:"deadline"`
	Weight              *float64 `json:"weight,omitempty"   toml:"weight"`
	Floor               *float64 `json:"floor,omitempty"    toml:"floor"`
	MaxQueued           *int     `json:"queue,omitempty"    toml:"queue"`
}

// Team is the form of contract.Team. Keys are SHA-256 hashes in hexadecimal.
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

// Service is the form of fleet.Service.
type Service struct {
	Name          string `json:"name"            toml:"name"`
	AtMostOnce    bool   `json:"once,omitempty"  toml:"once"`
	ReportsStatus bool   `json:"tells,omitempty" toml:"tells"`
}

// Server is the form of backend.Server.
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

// Problem is one fault of a plan. Place is the path of the faulty key, such as
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

const (
	outageRefuse  = "refuse"
	outageAttempt = "attempt"
)

// reader collects the problems of one plan while it is converted.
type reader struct {
	problems []Problem
}

func (r *reader) problemf(place, format string, args ...any) {
	r.problems = append(r.problems, Problem{Path: place, Message: fmt.Sprintf(format, args...)})
}

// duration parses a positive duration. An empty text gives zero.
func (r *reader) duration(place, text string) time.Duration {
	if text == "" {
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		r.problemf(place, "%q is not a positive duration such as 420ms", text)
		return 0
	}
	return d
}

func (r *reader) optionalDuration(place string, text *string) *time.Duration {
	if text == nil {
		return nil
	}
	d := r.duration(place, *text)
	return &d
}

// Convert converts a plan to plain data and returns every problem of it.
func Convert(p Plan) (fleet.Plan, []Problem) {
	r := &reader{}
	plan := fleet.Plan{
		ActivePreset: p.ActivePreset,
		Teams:        make([]contract.Team, 0, len(p.Teams)),
		Servers:      make([]backend.Server, 0, len(p.Servers)),
	}
	for i, form := range p.Partners {
		plan.Partners = append(plan.Partners, r.partner(place("partner", i), form))
	}
	for i, form := range p.Classes {
		plan.Classes = append(plan.Classes, r.class(place("class", i), form))
	}
	for i, form := range p.Presets {
		plan.Presets = append(plan.Presets, r.preset(place("preset", i), form))
	}
	for i, form := range p.Teams {
		plan.Teams = append(plan.Teams, r.team(i, form))
	}
	for _, form := range p.Services {
		plan.Services = append(plan.Services, fleet.Service{Name: form.Name, AtMostOnce: form.AtMostOnce, ReportsStatus: form.ReportsStatus})
	}
	for i, form := range p.Servers {
		plan.Servers = append(plan.Servers, r.server(i, form))
	}
	r.check(plan)
	return plan, r.problems
}

func place(kind string, i int) string {
	return kind + "[" + strconv.Itoa(i) + "]"
}

func (r *reader) partner(at string, form Partner) contract.Partner {
	partner := contract.Partner{Name: form.Name}
	for i, loan := range form.Loans {
		if loan.MaxShare < 0 || loan.MaxShare > 1 {
			r.problemf(place(at+".loan", i)+".share", "%v is not between 0 and 1", loan.MaxShare)
		}
		partner.Loans = append(partner.Loans, contract.Loan{Borrower: loan.Borrower, MaxShare: loan.MaxShare})
	}
	return partner
}

func (r *reader) class(at string, form Class) class.Class {
	if form.Tier < 0 || form.Tier >= class.Tiers {
		r.problemf(at+".tier", "%d is not between 0 and %d", form.Tier, class.Tiers-1)
	}
	outage := class.OutageRefuse
	switch form.Outage {
	case "", outageRefuse:
	case outageAttempt:
		outage = class.OutageAttempt
	default:
		r.problemf(at+".outage", "%q is neither %q nor %q", form.Outage, outageRefuse, outageAttempt)
	}
	return class.Class{
		Name:                form.Name,
		Tier:                class.Tier(form.Tier),
		Partner:             form.Partner,
		Protected:           form.Protected,
		AtMostOnce:          form.AtMostOnce,
		Outage:              outage,
		FirstTokenTarget:    r.duration(at+".first", form.FirstTokenTarget),
		BetweenTokensTarget: r.duration(at+".between", form.BetweenTokensTarget),
		QueueTimeout:        r.duration(at+".deadline", form.QueueTimeout),
		Weight:              form.Weight,
		Floor:               form.Floor,
		MaxQueued:           form.MaxQueued,
	}
}

func (r *reader) preset(at string, form Preset) preset.Preset {
	p := preset.Preset{
		Name:       form.Name,
		Overrides:  make(map[string]preset.Override, len(form.Overrides)),
		Placements: make(map[string]preset.Placement, len(form.Placements)),
	}
	for i, placed := range form.Placements {
		if len(placed.Models) == 0 {
			r.problemf(place(at+".server", i)+".models", "a model is needed")
		}
		p.Placements[placed.Name] = preset.Placement{Models: placed.Models, Role: placed.Role}
	}
	for i, c := range form.Overrides {
		here := place(at+".class", i)
		p.Overrides[c.Name] = preset.Override{
			FirstTokenTarget:    r.optionalDuration(here+".first", c.FirstTokenTarget),
			BetweenTokensTarget: r.optionalDuration(here+".between", c.BetweenTokensTarget),
			QueueTimeout:        r.optionalDuration(here+".deadline", c.QueueTimeout),
			Weight:              c.Weight,
			Floor:               c.Floor,
			MaxQueued:           c.MaxQueued,
		}
	}
	return p
}

func (r *reader) team(at int, form Team) contract.Team {
	team := contract.Team{
		Name:    form.Name,
		Partner: form.Partner,
		Classes: form.Classes,
		Weight:  form.Weight,
		Limits: contract.Limits{
			RequestsPerSecond: form.RequestsPerSecond,
			TokensPerSecond:   form.TokensPerSecond,
			MaxRunning:        form.MaxRunning,
		},
	}
	for i, text := range form.Keys {
		hash, err := ParseKeyHash(text)
		if err != nil {
			r.problemf(place(place("team", at)+".keys", i), "%v", err)
			continue
		}
		team.Keys = append(team.Keys, hash)
	}
	return team
}

func (r *reader) server(at int, form Server) backend.Server {
	server := backend.Server{
		Name:            form.Name,
		Address:         form.Address,
		Zone:            form.Zone,
		Region:          form.Region,
		Partner:         form.Partner,
		Service:         form.Service,
		Models:          form.Models,
		Slots:           form.Slots,
		SupportsFencing: form.SupportsFencing,
	}
	if form.Service != "" {
		server.Kind = backend.KindService
	}
	if form.Draining {
		server.State = backend.StateDraining
	}
	if (form.Service == "") == (len(form.Models) == 0) {
		r.problemf(place("server", at), "a backend server has either a service or models")
	}
	return server
}

// ParseKeyHash parses a key hash in hexadecimal.
func ParseKeyHash(text string) (contract.KeyHash, error) {
	var hash contract.KeyHash
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(hash) {
		return hash, fmt.Errorf("key hash of %d characters: %w", len(text), ErrInvalid)
	}
	copy(hash[:], raw)
	return hash, nil
}
