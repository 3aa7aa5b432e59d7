package document

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"snipetally.example/coordination/revision"
)

// Decoder decodes one snapshot after the other. It parses only the documents
// whose values differ from those of the snapshot before, since most changes
// touch a few of many thousand. It is not safe for concurrent use. The zero
// value is ready for use.
type Decoder struct {
	// entries are in the order of their keys.
	entries []entry
}

// entry is a document and what was parsed from it.
type entry struct {
	key   string
	value []byte

	// form is a pointer to the form of the document, or nil if the document is
	// none of those that make up a plan.
	form any
}

// Decode returns the plan that a snapshot holds, as the function Decode does.
// Parts of the plan are shared with the plans that were returned before; the
// caller must not change them. After an error the decoder may be used again.
func (d *Decoder) Decode(s *revision.Snapshot) (Plan, error) {
	d.follow(s)
	var p Plan
	for i := range d.entries {
		e := &d.entries[i]
		value := s.Documents[e.key].Value
		if e.value == nil || !bytes.Equal(e.value, value) {
			form, err := parse(e.key, value)
			if err != nil {
				e.value = nil
				return Plan{}, fmt.Errorf("decode document %q: %w", e.key, err)
			}
			e.value, e.form = value, form
		}
		p.add(e.form)
	}
	p.ActivePreset = string(s.Documents[ActivePresetKey].Value)
	return p, nil
}

// follow makes the entries name the documents of the snapshot, in order.
func (d *Decoder) follow(s *revision.Snapshot) {
	if d.same(s) {
		return
	}
	before := make(map[string]entry, len(d.entries))
	for _, e := range d.entries {
		before[e.key] = e
	}
	d.entries = make([]entry, 0, len(s.Documents))
	for key := range s.Documents {
		e := before[key]
		e.key = key
		d.entries = append(d.entries, e)
	}
	sort.Slice(d.entries, func(i, j int) bool { return d.entries[i].key < d.entries[j].key })
}

// same reports whether the snapshot has documents under the same keys as the
// one before.
func (d *Decoder) same(s *revision.Snapshot) bool {
	if len(d.entries) != len(s.Documents) {
		return false
	}
	for i := range d.entries {
		if _, ok := s.Documents[d.entries[i].key]; !ok {
			return false
		}
	}
	return true
}

// parse returns a pointer to the form of a document, or nil if the key names
// no kind of document that this version knows.
func parse(key string, value []byte) (any, error) {
	kind, _, _ := strings.Cut(key, "/")
	switch Kind(kind) {
	case KindPartner:
		return parseForm[Partner](value)
	case KindClass:
		return parseForm[Class](value)
	case KindPreset:
		return parseForm[Preset](value)
	case KindTeam:
		return parseForm[Team](value)
	case KindService:
		return parseForm[Service](value)
	case KindServer:
		return parseForm[Server](value)
	}
	return nil, nil //nolint:nilnil // A document of no known kind has no form.
}

func parseForm[T any](value []byte) (any, error) {
	form := new(T)
	if err := json.Unmarshal(value, form); err != nil {
		return nil, fmt.Errorf("parse: %w", err)
	}
	return form, nil
}

// add adds the form of one document to the plan.
func (p *Plan) add(form any) {
	switch form := form.(type) {
	case *Partner:
		p.Partners = append(p.Partners, *form)
	case *Class:
		p.Classes = append(p.Classes, *form)
	case *Preset:
		p.Presets = append(p.Presets, *form)
	case *Team:
		p.Teams = append(p.Teams, *form)
	case *Service:
		p.Services = append(p.Services, *form)
	case *Server:
		p.Servers = append(p.Servers, *form)
	}
}
