// Package preset describes presets: named sets of overrides of class settings
// and of the models and roles of engines. Exactly one preset is in force at any
// time. Of the router, it imports package class only.
package preset

import (
	"time"

	"snipetally.example/router/internal/class"
)

// Override holds the settings of one class that a preset overrides. A nil field
// keeps the value of the class.
type Override struct {
	FirstTokenTarget    *time.Duration
	BetweenTokensTarget *time.Duration
	QueueTimeout        *time.Duration
	Weight              *float64
	Floor               *float64
	MaxQueued           *int
}

// Placement is the models and the role that a model engine has while a preset is
// in force. An empty Role keeps the current role.
type Placement struct {
	Models []string
	Role   string
}

// Preset is a named set of overrides and placements.
type Preset struct {
	Name string

	// Overrides are keyed by the name of the class.
	Overrides map[string]Override

	// Placements are keyed by the name of the backend server.
	Placements map[string]Placement
}

// Apply returns c with the overrides of the preset.
func (p *Preset) Apply(c class.Class) class.Class {
	overrides, ok := p.Overrides[c.Name]
	if !ok {
		return c
	}
	override(&c.FirstTokenTarget, overrides.FirstTokenTarget)
	override(&c.BetweenTokensTarget, overrides.BetweenTokensTarget)
	override(&c.QueueTimeout, overrides.QueueTimeout)
	override(&c.Weight, overrides.Weight)
	override(&c.Floor, overrides.Floor)
	override(&c.MaxQueued, overrides.MaxQueued)
	return c
}

// override sets *target to *value unless value is nil.
func override[T any](target, value *T) {
	if value != nil {
		*target = *value
	}
}
