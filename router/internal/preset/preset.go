// Package preset describes presets: named sets of changes to classes and of
// what model engines serve. Exactly one is in force at any time. It imports package class only.
package preset

import (
	"time"

	"snipetally.example/router/internal/class"
)

// Override holds what a preset changes of one class. A nil field leaves the
// value of the class as it is.
type Override struct {
	FirstTokenTarget    *time.Duration
	BetweenTokensTarget *time.Duration
	QueueTimeout        *time.Duration
	Weight              *float64
	Floor               *float64
	MaxQueued           *int
}

// Placement says what a model engine shall serve while a preset is in force. An
// empty Role leaves the role as it is.
type Placement struct {
	Models []string
	Role   string
}

// Preset is a named set of changes, by the name of the class, and of
// placements, by the name of the backend server.
type Preset struct {
	Name       string
	Overrides  map[string]Override
	Placements map[string]Placement
}

// Apply returns c with the changes of the preset.
func (p *Preset) Apply(c class.Class) class.Class {
	change, ok := p.Overrides[c.Name]
	if !ok {
		return c
	}
	override(&c.FirstTokenTarget, change.FirstTokenTarget)
	override(&c.BetweenTokensTarget, change.BetweenTokensTarget)
	override(&c.QueueTimeout, change.QueueTimeout)
	override(&c.Weight, change.Weight)
	override(&c.Floor, change.Floor)
	override(&c.MaxQueued, change.MaxQueued)
	return c
}

// override sets target to value if there is one.
func override[T any](target, value *T) {
	if value != nil {
		*target = *value
	}
}
