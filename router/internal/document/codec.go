package document

import (
	"bytes"
	"encoding/json"
	"fmt"

	"snipetally.example/coordination/revision"
)

// Kind is the kind of a document. It is the first part of the document's key.
type Kind string

// The kinds of documents.
const (
	KindPartner Kind = "partner"
	KindClass   Kind = "class"
	KindPreset  Kind = "preset"
	KindTeam    Kind = "team"
	KindService Kind = "service"
	KindServer  Kind = "server"
)

// ActivePresetKey is the key of the one document that names the preset in force.
const ActivePresetKey = "force"

// Key returns the key of the document of kind with name.
func Key(kind Kind, name string) string {
	return string(kind) + "/" + name
}

// Encode returns the changes that write every document of the plan.
func Encode(p Plan) ([]revision.Change, error) {
	e := &encoder{}
	for _, form := range p.Partners {
		e.add(KindPartner, form.Name, form)
	}
	for _, form := range p.Classes {
		e.add(KindClass, form.Name, form)
	}
	for _, form := range p.Presets {
		e.add(KindPreset, form.Name, form)
	}
	for _, form := range p.Teams {
		e.add(KindTeam, form.Name, form)
	}
	for _, form := range p.Services {
		e.add(KindService, form.Name, form)
	}
	for _, form := range p.Servers {
		e.add(KindServer, form.Name, form)
	}
	e.changes = append(e.changes, revision.Change{Key: ActivePresetKey, Value: []byte(p.ActivePreset)})
	return e.changes, e.err
}

// encoder collects changes and the first error.
type encoder struct {
	changes []revision.Change
	err     error
}

func (e *encoder) add(kind Kind, name string, form any) {
	value, err := json.Marshal(form)
	if err != nil && e.err == nil {
		e.err = fmt.Errorf("encode %s %q: %w", kind, name, err)
	}
	e.changes = append(e.changes, revision.Change{Key: Key(kind, name), Value: value})
}

// Decode returns the plan that a snapshot holds. The parts of the plan stand in
// the order of their names. Fields that this version does not know are passed
// over, so that a newer version can be rolled out VM by VM.
func Decode(s *revision.Snapshot) (Plan, error) {
	var d Decoder
	return d.Decode(s)
}

// Canonicalize parses one document of the kind and refuses unknown fields. It returns
// the document in its canonical form.
func Canonicalize(kind Kind, value []byte) ([]byte, error) {
	switch kind {
	case KindPartner:
		return strict[Partner](value)
	case KindClass:
		return strict[Class](value)
	case KindPreset:
		return strict[Preset](value)
	case KindTeam:
		return strict[Team](value)
	case KindService:
		return strict[Service](value)
	case KindServer:
		return strict[Server](value)
	}
	return nil, fmt.Errorf("kind %q: %w", kind, ErrInvalid)
}

func strict[T any](value []byte) ([]byte, error) {
	decoder := json.NewDecoder(bytes.NewReader(value))
	decoder.DisallowUnknownFields()
	var form T
	if err := decoder.Decode(&form); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	canonical, err := json.Marshal(form)
	if err != nil {
		return nil, fmt.Errorf("encode: %w", err)
	}
	return canonical, nil
}
