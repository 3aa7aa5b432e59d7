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
	// ErrForbidden says that the operator may not change the document.
	ErrForbidden = errors.ConstError("not the operator's own")

	// ErrNotFound says that there is no such document.
	ErrNotFound = errors.ConstError("no such document")

	// ErrExists says that the document exists already.
	ErrExists = errors.ConstError("document exists")
)

// Action is what an edit does.
type Action uint8

// The actions of edits.
const (
	// ActionSet changes fields of a document that exists.
	ActionSet Action = iota

	// ActionAdd makes a document that does not exist.
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

// BuildChanges turns edits into changes of documents. It checks that the account may
// make them and that the plan is valid afterwards.
func BuildChanges(s *revision.Snapshot, account *settings.Account, edits []Edit) ([]revision.Change, error) {
	var v validator
	return v.changes(s, account, edits)
}

// Validate checks the plan that a snapshot holds. The error wraps
// document.ErrInvalid.
func Validate(s *revision.Snapshot) error {
	var v validator
	return v.validate(s)
}

// validator checks one snapshot after the other. It parses only what differs
// from the one before.
type validator struct {
	// mu guards decoder.
	mu      sync.Mutex
	decoder document.Decoder
}

// changes does what Changes does.
func (v *validator) changes(s *revision.Snapshot, account *settings.Account, edits []Edit) ([]revision.Change, error) {
	next := s
	var changes []revision.Change
	for _, edit := range edits {
		change, err := edit.change(next, account)
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

// validate does what Validate does.
func (v *validator) validate(s *revision.Snapshot) error {
	form, err := v.decode(s)
	if err != nil {
		return fmt.Errorf("decode plan: %w", err)
	}
	if _, problems := document.Convert(form); len(problems) > 0 {
		return problems[0]
	}
	return nil
}

func (v *validator) decode(s *revision.Snapshot) (document.Plan, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.decoder.Decode(s) //nolint:wrapcheck // The caller wraps it.
}

// change returns the change that the edit makes of a snapshot.
func (e Edit) change(s *revision.Snapshot, account *settings.Account) (revision.Change, error) {
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
	value, err := e.value(before.Value)
	if err != nil {
		return revision.Change{}, err
	}
	if !allowed(s, account, e.Kind, before.Value, value) {
		return revision.Change{}, ErrForbidden
	}
	return revision.Change{Key: key, Value: value, Remove: e.Action == ActionRemove}, nil
}

// value returns the document with the edit's fields set, or nothing if the edit
// removes it.
func (e Edit) value(before []byte) ([]byte, error) {
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

// owned is the part of a document that tells whose it is.
type owned struct {
	Name    string `json:"name"`
	Partner string `json:"partner"`
}

// allowed reports whether the account may put after in place of before. Either
// may be empty. What no partner owns may be written by every operator.
func allowed(s *revision.Snapshot, account *settings.Account, kind document.Kind, before, after []byte) bool {
	if account.Partner == "" {
		return true
	}
	if kind == document.KindPreset {
		return presetAllowed(s, account, before, after)
	}
	return owns(account, kind, before) && owns(account, kind, after)
}

// owns reports whether the document is empty, shared or the account's own.
func owns(account *settings.Account, kind document.Kind, value []byte) bool {
	if len(value) == 0 || kind == document.KindService {
		return true
	}
	var owner owned
	if err := json.Unmarshal(value, &owner); err != nil {
		return false
	}
	if kind == document.KindPartner {
		return owner.Name == account.Partner
	}
	return owner.Partner == "" || owner.Partner == account.Partner
}

// presetAllowed reports whether only classes and backend servers that the
// account may change differ between two forms of a preset.
func presetAllowed(s *revision.Snapshot, account *settings.Account, before, after []byte) bool {
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
		owner := s.Documents[document.Key(key.kind, key.name)]
		if !bytes.Equal(old[key], part) && !owns(account, key.kind, owner.Value) {
			return false
		}
	}
	return true
}

// partKey names the class or backend server that a part of a preset is about.
type partKey struct {
	kind document.Kind
	name string
}

// presetParts returns the parts of a preset in their canonical form.
func presetParts(value []byte) (map[partKey][]byte, error) {
	parts := make(map[partKey][]byte)
	if len(value) == 0 {
		return parts, nil
	}
	var form document.Preset
	if err := json.Unmarshal(value, &form); err != nil {
		return nil, fmt.Errorf("parse preset: %w", err)
	}
	for _, change := range form.Overrides {
		if err := addPart(parts, partKey{document.KindClass, change.Name}, change); err != nil {
			return nil, err
		}
	}
	for _, placement := range form.Placements {
		if err := addPart(parts, partKey{document.KindServer, placement.Name}, placement); err != nil {
			return nil, err
		}
	}
	return parts, nil
}

func addPart(parts map[partKey][]byte, key partKey, part any) error {
	raw, err := json.Marshal(part)
	if err != nil {
		return fmt.Errorf("encode part of preset: %w", err)
	}
	parts[key] = raw
	return nil
}
