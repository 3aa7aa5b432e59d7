package peer

import (
	"time"

	"snipetally.example/coordination/membership"
	"snipetally.example/coordination/revision"
	"snipetally.example/coordination/spread"
)

// memberToWire converts a member to its wire type.
func memberToWire(m membership.Member) *MemberWire {
	return &MemberWire{
		Name:        m.Name,
		Address:     m.Address,
		Zone:        m.Zone,
		Region:      m.Region,
		Incarnation: m.Incarnation,
		Round:       m.Round,
		State:       uint32(m.State),
		Note:        m.Note,
		Version:     m.Version,
	}
}

// memberFromWire converts a member from its wire type. A nil value gives an
// empty member.
func memberFromWire(w *MemberWire) membership.Member {
	return membership.Member{
		Name:        w.GetName(),
		Address:     w.GetAddress(),
		Zone:        w.GetZone(),
		Region:      w.GetRegion(),
		Incarnation: w.GetIncarnation(),
		Round:       w.GetRound(),
		State:       stateFromWire(w.GetState()),
		Note:        w.GetNote(),
		Version:     w.GetVersion(),
	}
}

// stateFromWire converts a state. A state that this version does not know
// becomes Alive, so that the member is probed.
func stateFromWire(state uint32) membership.State {
	if state < uint32(membership.Alive) || state > uint32(membership.Left) {
		return membership.Alive
	}
	return membership.State(state)
}

// messageToWire converts a message to its wire type.
func messageToWire(m membership.Message) *MessageWire {
	w := &MessageWire{
		From:    memberToWire(m.From),
		Target:  m.Target,
		Summary: m.Summary,
		Buckets: m.Buckets,
		Whole:   m.Full,
		Extra:   m.Extra,
	}
	for _, u := range m.Updates {
		w.Updates = append(w.Updates, memberToWire(u))
	}
	return w
}

// messageFromWire converts a message from its wire type.
func messageFromWire(w *MessageWire) membership.Message {
	m := membership.Message{
		From:    memberFromWire(w.GetFrom()),
		Target:  w.GetTarget(),
		Summary: w.GetSummary(),
		Buckets: w.GetBuckets(),
		Full:    w.GetWhole(),
		Extra:   w.GetExtra(),
	}
	for _, u := range w.GetUpdates() {
		m.Updates = append(m.Updates, memberFromWire(u))
	}
	return m
}

// deltaToWire converts a delta to its wire type.
func deltaToWire(d spread.Delta) *DeltaWire {
	w := &DeltaWire{}
	if d.Snapshot != nil {
		w.Snapshot = &SnapshotWire{Revision: d.Snapshot.Revision}
		for _, doc := range d.Snapshot.Documents {
			w.Snapshot.Documents = append(w.Snapshot.Documents,
				&DocumentWire{Key: doc.Key, Value: doc.Value, Revision: doc.Revision})
		}
	}
	for _, entry := range d.Entries {
		w.Entries = append(w.Entries, entryToWire(entry))
	}
	return w
}

// deltaFromWire converts a delta from its wire type.
func deltaFromWire(w *DeltaWire) spread.Delta {
	var d spread.Delta
	if s := w.GetSnapshot(); s != nil {
		d.Snapshot = &revision.Snapshot{
			Revision:  s.GetRevision(),
			Documents: make(map[string]revision.Document, len(s.GetDocuments())),
		}
		for _, doc := range s.GetDocuments() {
			d.Snapshot.Documents[doc.GetKey()] = revision.Document{
				Key: doc.GetKey(), Value: doc.GetValue(), Revision: doc.GetRevision(),
			}
		}
	}
	for _, entry := range w.GetEntries() {
		d.Entries = append(d.Entries, entryFromWire(entry))
	}
	return d
}

// entryToWire converts an entry to its wire type.
func entryToWire(e revision.Entry) *EntryWire {
	w := &EntryWire{Revision: e.Revision, Author: e.Author, Token: e.Token, At: e.At.UnixNano()}
	for _, c := range e.Changes {
		w.Changes = append(w.Changes, &ChangeWire{Key: c.Key, Value: c.Value, Remove: c.Remove})
	}
	return w
}

// entryFromWire converts an entry from its wire type.
func entryFromWire(w *EntryWire) revision.Entry {
	e := revision.Entry{
		Revision: w.GetRevision(),
		Author:   w.GetAuthor(),
		Token:    w.GetToken(),
		At:       time.Unix(0, w.GetAt()),
	}
	for _, c := range w.GetChanges() {
		e.Changes = append(e.Changes, revision.Change{Key: c.GetKey(), Value: c.GetValue(), Remove: c.GetRemove()})
	}
	return e
}
