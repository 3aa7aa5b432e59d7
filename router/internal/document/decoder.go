package document

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"snipetally.example/coordination/revision"
)

// Decoder decodes successive snapshots. It parses only the documents whose values
// differ from those of the previous snapshot, since most changes affect a few of
// many thousand documents. It is not safe for concurrent use. The zero value is
// ready to use.
type Decoder struct {
	// entries are sorted by key.
	entries []entry
}

// entry is a document and its parsed value.
type entry struct {
	key   string
	value []byte

	// parsed is a pointer to a Partner, Class, Preset, Team, Service or Server, or
	// nil if the document is not part of a plan.
	parsed any
}

// Decode returns the plan in a snapshot, like the function Decode. Parts of the
// plan are shared with previously returned plans; the caller must not modify them.
// The decoder remains usable after an error.
func (d *Decoder) Decode(s *revision.Snapshot) (Plan, error) {
	d.syncKeys(s)
	var p Plan
	for i := range d.entries {
		e := &d.entries[i]
		value := s.Documents[e.key].Value
		if e.value == nil || !bytes.Equal(e.value, value) {
			doc, err := parse(e.key, value)
			if err != nil {
				e.value = nil
				return Plan{}, fmt.Errorf("decode document %q: %w", e.key, err)
			}
			e.value, e.parsed = value, doc
		}
		p.add(e.parsed)
	}
	p.ActivePreset = string(s.Documents[ActivePresetKey].Value)
	return p, nil
}

// syncKeys makes the entries match the keys of the snapshot, in sorted order.
func (d *Decoder) syncKeys(s *revision.Snapshot) {
	if d.hasSameKeys(s) {
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

// hasSameKeys reports whether the snapshot has the same keys as the previous one.
func (d *Decoder) hasSameKeys(s *revision.Snapshot) bool {
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

// parse returns a pointer to the parsed document, or nil if the key has no kind
// that this version knows.
func parse(key string, value []byte) (any, error) {
	kind, _, _ := strings.Cut(key, "/")
	switch Kind(kind) {
	case KindPartner:
		return parseAs[Partner](value)
	case KindClass:
		return parseAs[Class](value)
	case KindPreset:
		return parseAs[Preset](value)
	case KindTeam:
		return parseAs[Team](value)
	case KindService:
		return parseAs[Service](value)
	case KindServer:
		return parseAs[Server](value)
	}
	return nil, nil //nolint:nilnil // A document of unknown kind has no parsed value.
}

// parseAs parses a document with the encoded form T and returns a pointer to it.
// It ignores unknown fields.
func parseAs[T any](value []byte) (any, error) {
	doc := new(T)
	if err := json.Unmarshal(value, doc); err != nil {
		return nil, fmt.Errorf("parse: %w", err)
	}
	return doc, nil
}

// add appends a parsed document to the plan.
func (p *Plan) add(doc any) {
	switch doc := doc.(type) {
	case *Partner:
		p.Partners = append(p.Partners, *doc)
	case *Class:
		p.Classes = append(p.Classes, *doc)
	case *Preset:
		p.Presets = append(p.Presets, *doc)
	case *Team:
		p.Teams = append(p.Teams, *doc)
	case *Service:
		p.Services = append(p.Services, *doc)
	case *Server:
		p.Servers = append(p.Servers, *doc)
	}
}
