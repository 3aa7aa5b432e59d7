package operators

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sync"

	"github.com/juju/errors"

	"snipetally.example/coordination/revision"
	"snipetally.example/router/internal/document"
	"snipetally.example/router/internal/settings"
)

const (
	// ErrForbidden means that the operator may not change the document.
	ErrForbidden = errors.ConstError("not the operator's own")

	// ErrNotFound means that there is no such document.
	ErrNotFound = errors.ConstError("no such document")

	// ErrExists means that the document already exists.
	ErrExists = errors.ConstError("document exists")
)

// Action is the kind of an edit.
type Action uint8

// The actions of edits.
const (
	// ActionSet changes fields of an existing document.
	ActionSet Action = iota

	// ActionAdd creates a document.
	ActionAdd

	// ActionRemove removes a document.
	ActionRemove

	// ActionForce puts the named preset in force.
	ActionForce
)

// Field sets one field of a document to a JSON value.
type Field struct {
	Name  string
	Value []byte
}

// Edit is one step of an operator's command.
type Edit struct {
	Action Action
	Kind   document.Kind
	Name   string
	Fields []Field
}

// BuildChanges converts edits of snapshot s to document changes. It checks that
// the account may make each edit and that the resulting plan is valid.
func BuildChanges(s *revision.Snapshot, account *settings.Account, edits []Edit) ([]revision.Change, error) {
	var v validator
	return v.changes(s, account, edits)
}

// Validate checks the plan in a snapshot. The error wraps document.ErrInvalid if
// the plan is invalid.
func Validate(s *revision.Snapshot) error {
	var v validator
	return v.validate(s)
}

// validator validates successive snapshots. It parses only the documents that
// differ from those of the previous snapshot.
type validator struct {
	// mu guards decoder.
	mu      sync.Mutex
	decoder document.Decoder
}

// changes implements BuildChanges.
func (v *validator) changes(s *revision.Snapshot, account *settings.Account, edits []Edit) ([]revision.Change, error) {
	next := s
	var changes []revision.Change
	for _, edit := range edits {
		change, err := edit.buildChange(next, account)
		if err != nil {
			return nil, fmt.Errorf("%s %q: %w", edit.Kind, edit.Name, err)
		}
		changes = append(changes, change)
		entry := revision.Entry{Revision: next.Revision + 1, Changes: []revision.Change{change}}
		next, err = next.Apply(entry)
		if err != nil {
			return nil, fmt.Errorf("try change: %w", err)
		}
	}
	if err := v.validate(next); err != nil {
		return nil, err
	}
	return changes, nil
}

// validate implements Validate.
func (v *validator) validate(s *revision.Snapshot) error {
	plan, err := v.decode(s)
	if err != nil {
		return fmt.Errorf("decode plan: %w", err)
	}
	if _, problems := document.Convert(plan); len(problems) > 0 {
		return problems[0]
	}
	return nil
}

func (v *validator) decode(s *revision.Snapshot) (document.Plan, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.decoder.Decode(s) //nolint:wrapcheck // The caller wraps the error.
}

// buildChange returns the document change that the edit makes to a snapshot.
func (e Edit) buildChange(s *revision.Snapshot, account *settings.Account) (revision.Change, error) {
	if e.Action == ActionForce {
		return revision.Change{Key: document.ActivePresetKey, Value: []byte(e.Name)}, nil
	}
	key := document.Key(e.Kind, e.Name)
	before, exists := s.Documents[key]
	if e.Action == ActionAdd && exists {
		return revision.Change{}, ErrExists
	}
	if e.Action != ActionAdd && !exists {
		return revision.Change{}, ErrNotFound
	}
	value, err := e.newValue(before.Value)
	if err != nil {
		return revision.Change{}, err
	}
	if !mayWrite(s, account, e.Kind, before.Value, value) {
		return revision.Change{}, ErrForbidden
	}
	return revision.Change{Key: key, Value: value, Remove: e.Action == ActionRemove}, nil
}

// newValue returns the document in canonical form with the edit's fields set, or
// nil if the edit removes it.
func (e Edit) newValue(before []byte) ([]byte, error) {
	if e.Action == ActionRemove {
		return nil, nil
	}
	fields := make(map[string]json.RawMessage)
	if len(before) > 0 {
		if err := json.Unmarshal(before, &fields); err != nil {
			return nil, fmt.Errorf("parse document: %w", err)
		}
	}
	for _, field := range e.Fields {
		fields[field.Name] = field.Value
	}
	name, err := json.Marshal(e.Name)
	if err != nil {
		return nil, fmt.Errorf("encode name: %w", err)
	}
	fields["name"] = name
	raw, err := json.Marshal(fields)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", document.ErrInvalid, err)
	}
	value, err := document.Canonicalize(e.Kind, raw)
	if err != nil {
		return nil, fmt.Errorf("check fields: %w", err)
	}
	return value, nil
}

// ownership holds the fields of a document that determine its owner.
type ownership struct {
	Name    string `json:"name"`
	Partner string `json:"partner"`
}

// mayWrite reports whether the account may replace the document value before with
// after. Either may be empty. Every operator may write documents that no partner
// owns.
func mayWrite(s *revision.Snapshot, account *settings.Account, kind document.Kind, before, after []byte) bool {
	if account.Partner == "" {
		return true
	}
	if kind == document.KindPreset {
		return mayWritePreset(s, account, before, after)
	}
	return ownsDocument(account, kind, before) && ownsDocument(account, kind, after)
}

// ownsDocument reports whether the document is empty, shared, or owned by the
// account's partner.
func ownsDocument(account *settings.Account, kind document.Kind, value []byte) bool {
	if len(value) == 0 || kind == document.KindService {
		return true
	}
	var owner ownership
	if err := json.Unmarshal(value, &owner); err != nil {
		return false
	}
	if kind == document.KindPartner {
		return owner.Name == account.Partner
	}
	return owner.Partner == "" || owner.Partner == account.Partner
}

// mayWritePreset reports whether two versions of a preset differ only in parts
// about classes and backend servers that the account may change.
func mayWritePreset(s *revision.Snapshot, account *settings.Account, before, after []byte) bool {
	old, err := presetParts(before)
	if err != nil {
		return false
	}
	parts, err := presetParts(after)
	if err != nil {
		return false
	}
	for key := range old {
		if _, ok := parts[key]; !ok {
			parts[key] = nil
		}
	}
	for key, part := range parts {
		target := s.Documents[document.Key(key.kind, key.name)]
		if !bytes.Equal(old[key], part) && !ownsDocument(account, key.kind, target.Value) {
			return false
		}
	}
	return true
}

// partKey identifies a part of a preset by the class or backend server that it
// applies to.
type partKey struct {
	kind document.Kind
	name string
}

// presetParts returns the class overrides and placements of a preset, each encoded
// as JSON.
func presetParts(value []byte) (map[partKey][]byte, error) {
	parts := make(map[partKey][]byte)
	if len(value) == 0 {
		return parts, nil
	}
	var preset document.Preset
	if err := json.Unmarshal(value, &preset); err != nil {
		return nil, fmt.Errorf("parse preset: %w", err)
	}
	for _, override := range preset.Overrides {
		if err := addPart(parts, partKey{document.KindClass, override.Name}, override); err != nil {
			return nil, err
		}
	}
	for _, placement := range preset.Placements {
		if err := addPart(parts, partKey{document.KindServer, placement.Name}, placement); err != nil {
			return nil, err
		}
	}
	return parts, nil
}

// addPart encodes a part of a preset and adds it under its key.
func addPart(parts map[partKey][]byte, key partKey, part any) error {
	raw, err := json.Marshal(part)
	if err != nil {
		return fmt.Errorf("encode part of preset: %w", err)
	}
	parts[key] = raw
	return nil
}
