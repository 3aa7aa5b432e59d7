package document

import (
	"encoding/hex"
	"fmt"
	"strconv"
	"time"

	"snipetally.example/router/internal/backend"
	"snipetally.example/router/internal/class"
	"snipetally.example/router/internal/contract"
	"snipetally.example/router/internal/fleet"
	"snipetally.example/router/internal/preset"
)

const (
	outageRefuse  = "refuse"
	outageAttempt = "attempt"
)

// converter converts one plan and collects its problems.
type converter struct {
	problems []Problem
}

// problemf adds a problem with the value at a path.
func (conv *converter) problemf(path, format string, args ...any) {
	conv.problems = append(conv.problems, Problem{Path: path, Message: fmt.Sprintf(format, args...)})
}

// duration parses a positive duration. It returns zero for an empty text.
func (conv *converter) duration(path, text string) time.Duration {
	if text == "" {
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		conv.problemf(path, "%q is not a positive duration such as 420ms", text)
		return 0
	}
	return d
}

// optionalDuration is like duration for a field that may be absent.
func (conv *converter) optionalDuration(path string, text *string) *time.Duration {
	if text == nil {
		return nil
	}
	d := conv.duration(path, *text)
	return &d
}

// Convert converts a plan to plain data and returns all problems found in it.
func Convert(p Plan) (fleet.Plan, []Problem) {
	conv := &converter{}
	plan := fleet.Plan{
		ActivePreset: p.ActivePreset,
		Teams:        make([]contract.Team, 0, len(p.Teams)),
		Servers:      make([]backend.Server, 0, len(p.Servers)),
	}
	for i, doc := range p.Partners {
		plan.Partners = append(plan.Partners, conv.partner(indexedPath("partner", i), doc))
	}
	for i, doc := range p.Classes {
		plan.Classes = append(plan.Classes, conv.class(indexedPath("class", i), doc))
	}
	for i, doc := range p.Presets {
		plan.Presets = append(plan.Presets, conv.preset(indexedPath("preset", i), doc))
	}
	for i, doc := range p.Teams {
		plan.Teams = append(plan.Teams, conv.team(i, doc))
	}
	for _, doc := range p.Services {
		plan.Services = append(plan.Services, fleet.Service{Name: doc.Name, AtMostOnce: doc.AtMostOnce, ReportsStatus: doc.ReportsStatus})
	}
	for i, doc := range p.Servers {
		plan.Servers = append(plan.Servers, conv.server(i, doc))
	}
	conv.checkPlan(plan)
	return plan, conv.problems
}

// indexedPath returns the path of an element of an array of tables, such as
// class[2].
func indexedPath(kind string, i int) string {
	return kind + "[" + strconv.Itoa(i) + "]"
}

// partner converts the partner at a path.
func (conv *converter) partner(path string, doc Partner) contract.Partner {
	partner := contract.Partner{Name: doc.Name}
	for i, loan := range doc.Loans {
		if loan.MaxShare < 0 || loan.MaxShare > 1 {
			conv.problemf(indexedPath(path+".loan", i)+".share", "%v is not between 0 and 1", loan.MaxShare)
		}
		partner.Loans = append(partner.Loans, contract.Loan{Borrower: loan.Borrower, MaxShare: loan.MaxShare})
	}
	return partner
}

// class converts the class at a path. The ranges of the values are checked later,
// since presets change them.
func (conv *converter) class(path string, doc Class) class.Class {
	if doc.Tier < 0 || doc.Tier >= class.Tiers {
		conv.problemf(path+".tier", "%d is not between 0 and %d", doc.Tier, class.Tiers-1)
	}
	outage := class.OutageRefuse
	switch doc.Outage {
	case "", outageRefuse:
	case outageAttempt:
		outage = class.OutageAttempt
	default:
		conv.problemf(path+".outage", "%q is neither %q nor %q", doc.Outage, outageRefuse, outageAttempt)
	}
	return class.Class{
		Name:                doc.Name,
		Tier:                class.Tier(doc.Tier),
		Partner:             doc.Partner,
		Protected:           doc.Protected,
		AtMostOnce:          doc.AtMostOnce,
		Outage:              outage,
		FirstTokenTarget:    conv.duration(path+".first", doc.FirstTokenTarget),
		BetweenTokensTarget: conv.duration(path+".between", doc.BetweenTokensTarget),
		QueueTimeout:        conv.duration(path+".deadline", doc.QueueTimeout),
		Weight:              doc.Weight,
		Floor:               doc.Floor,
		MaxQueued:           doc.MaxQueued,
	}
}

// preset converts the preset at a path.
func (conv *converter) preset(path string, doc Preset) preset.Preset {
	p := preset.Preset{
		Name:       doc.Name,
		Overrides:  make(map[string]preset.Override, len(doc.Overrides)),
		Placements: make(map[string]preset.Placement, len(doc.Placements)),
	}
	for i, placed := range doc.Placements {
		if len(placed.Models) == 0 {
			conv.problemf(indexedPath(path+".server", i)+".models", "a model is needed")
		}
		p.Placements[placed.Name] = preset.Placement{Models: placed.Models, Role: placed.Role}
	}
	for i, override := range doc.Overrides {
		overridePath := indexedPath(path+".class", i)
		p.Overrides[override.Name] = preset.Override{
			FirstTokenTarget:    conv.optionalDuration(overridePath+".first", override.FirstTokenTarget),
			BetweenTokensTarget: conv.optionalDuration(overridePath+".between", override.BetweenTokensTarget),
			QueueTimeout:        conv.optionalDuration(overridePath+".deadline", override.QueueTimeout),
			Weight:              override.Weight,
			Floor:               override.Floor,
			MaxQueued:           override.MaxQueued,
		}
	}
	return p
}

// team converts the team at an index. Unlike the parts above it takes no path, so
// that a plan with thousands of teams builds paths only for actual problems.
func (conv *converter) team(index int, doc Team) contract.Team {
	team := contract.Team{
		Name:    doc.Name,
		Partner: doc.Partner,
		Classes: doc.Classes,
		Weight:  doc.Weight,
		Limits: contract.Limits{
			RequestsPerSecond: doc.RequestsPerSecond,
			TokensPerSecond:   doc.TokensPerSecond,
			MaxRunning:        doc.MaxRunning,
		},
	}
	for i, text := range doc.Keys {
		hash, err := ParseKeyHash(text)
		if err != nil {
			conv.problemf(indexedPath(indexedPath("team", index)+".keys", i), "%v", err)
			continue
		}
		team.Keys = append(team.Keys, hash)
	}
	return team
}

// server converts the backend server at an index, for the same reason.
func (conv *converter) server(index int, doc Server) backend.Server {
	server := backend.Server{
		Name:            doc.Name,
		Address:         doc.Address,
		Zone:            doc.Zone,
		Region:          doc.Region,
		Partner:         doc.Partner,
		Service:         doc.Service,
		Models:          doc.Models,
		Slots:           doc.Slots,
		SupportsFencing: doc.SupportsFencing,
	}
	if doc.Service != "" {
		server.Kind = backend.KindService
	}
	if doc.Draining {
		server.State = backend.StateDraining
	}
	if (doc.Service == "") == (len(doc.Models) == 0) {
		conv.problemf(indexedPath("server", index), "a backend server has either a service or models")
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
