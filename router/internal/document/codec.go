package document

import (
	"bytes"
	"encoding/json"
	"fmt"

	"snipetally.example/coordination/revision"
)

// Kind is the kind of a document and the first part of its key.
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

// ActivePresetKey is the key of the document that holds the name of the preset in
// force.
const ActivePresetKey = "force"

// Key returns the key of the document of the given kind and name.
func Key(kind Kind, name string) string {
	return string(kind) + "/" + name
}

// Encode returns the changes that write every document of the plan.
func Encode(p Plan) ([]revision.Change, error) {
	e := &encoder{}
	for _, doc := range p.Partners {
		e.add(KindPartner, doc.Name, doc)
	}
	for _, doc := range p.Classes {
		e.add(KindClass, doc.Name, doc)
	}
	for _, doc := range p.Presets {
		e.add(KindPreset, doc.Name, doc)
	}
	for _, doc := range p.Teams {
		e.add(KindTeam, doc.Name, doc)
	}
	for _, doc := range p.Services {
		e.add(KindService, doc.Name, doc)
	}
	for _, doc := range p.Servers {
		e.add(KindServer, doc.Name, doc)
	}
	e.changes = append(e.changes, revision.Change{Key: ActivePresetKey, Value: []byte(p.ActivePreset)})
	return e.changes, e.err
}

// encoder collects changes and the first error.
type encoder struct {
	changes []revision.Change
	err     error
}

// add adds the change that writes one document.
func (e *encoder) add(kind Kind, name string, doc any) {
	value, err := json.Marshal(doc)
	if err != nil && e.err == nil {
		e.err = fmt.Errorf("encode %s %q: %w", kind, name, err)
	}
	e.changes = append(e.changes, revision.Change{Key: Key(kind, name), Value: value})
}

// Decode returns the plan in a snapshot. The parts of the plan are sorted by name.
// Unknown fields are ignored, so that a newer version can be rolled out VM by VM.
func Decode(s *revision.Snapshot) (Plan, error) {
	var d Decoder
	return d.Decode(s)
}

// Canonicalize parses a document of the given kind and re-encodes it in canonical
// form. It rejects unknown fields.
func Canonicalize(kind Kind, value []byte) ([]byte, error) {
	switch kind {
	case KindPartner:
		return canonicalize[Partner](value)
	case KindClass:
		return canonicalize[Class](value)
	case KindPreset:
		return canonicalize[Preset](value)
	case KindTeam:
		return canonicalize[Team](value)
	case KindService:
		return canonicalize[Service](value)
	case KindServer:
		return canonicalize[Server](value)
	}
	return nil, fmt.Errorf("kind %q: %w", kind, ErrInvalid)
}

// canonicalize is Canonicalize for a kind of document with the encoded form T.
func canonicalize[T any](value []byte) ([]byte, error) {
	decoder := json.NewDecoder(bytes.NewReader(value))
	decoder.DisallowUnknownFields()
	var doc T
	if err := decoder.Decode(&doc); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	canonical, err := json.Marshal(doc)
	if err != nil {
		return nil, fmt.Errorf("encode: %w", err)
	}
	return canonical, nil
}
