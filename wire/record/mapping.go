package record

import (
	"fmt"

	"snipetally.example/coordination/record"
)

// entryToWire converts an entry to its wire type.
func entryToWire(e record.Entry) *EntryWire {
	return &EntryWire{
		Partner: e.Partner,
		Row:     e.Row,
		Slot:    e.Slot,
		Value:   e.Value,
		Version: e.Version,
		Over:    e.Replaces,
		Attempt: e.Attempt,
	}
}

// entryFromWire converts an entry from its wire type.
func entryFromWire(w *EntryWire) record.Entry {
	return record.Entry{
		Partner:  w.GetPartner(),
		Row:      w.GetRow(),
		Slot:     w.GetSlot(),
		Value:    w.GetValue(),
		Version:  w.GetVersion(),
		Replaces: w.GetOver(),
		Attempt:  w.GetAttempt(),
	}
}

// outcomeToWire converts an outcome to its wire type.
func outcomeToWire(o record.Outcome) *OutcomeWire {
	w := &OutcomeWire{State: uint32(o.State), Omitted: o.Omitted}
	if o.Response == nil {
		return w
	}
	w.Answer = &AnswerWire{Status: int32(o.Response.Status), Body: o.Response.Body}
	for _, field := range o.Response.Header {
		w.Answer.Header = append(w.Answer.Header, &FieldWire{Name: field.Name, Value: field.Value})
	}
	return w
}

// outcomeFromWire converts an outcome from its wire type.
func outcomeFromWire(w *OutcomeWire) record.Outcome {
	o := record.Outcome{State: record.OutcomeState(w.GetState()), Omitted: w.GetOmitted()}
	if w.GetAnswer() == nil {
		return o
	}
	o.Response = &record.Response{Status: int(w.GetAnswer().GetStatus()), Body: w.GetAnswer().GetBody()}
	for _, field := range w.GetAnswer().GetHeader() {
		o.Response.Header = append(o.Response.Header, record.HeaderField{Name: field.GetName(), Value: field.GetValue()})
	}
	return o
}

// claimToWire converts a claim to its wire type.
func claimToWire(c record.Claim) *ClaimWire {
	return &ClaimWire{
		Place:       c.Location,
		Fingerprint: c.Fingerprint[:],
		Vm:          c.VM,
		Incarnation: c.Incarnation,
		Attempt:     c.Attempt,
		Over:        c.Replaces,
		Recorded:    c.Recorded,
		Tentative:   c.Tentative,
	}
}

// claimFromWire converts a claim from its wire type. The error wraps
// ErrMalformed if the fingerprint has the wrong length.
func claimFromWire(w *ClaimWire) (record.Claim, error) {
	c := record.Claim{
		Location:    w.GetPlace(),
		VM:          w.GetVm(),
		Incarnation: w.GetIncarnation(),
		Attempt:     w.GetAttempt(),
		Replaces:    w.GetOver(),
		Recorded:    w.GetRecorded(),
		Tentative:   w.GetTentative(),
	}
	if len(w.GetFingerprint()) != len(c.Fingerprint) {
		return record.Claim{}, fmt.Errorf("fingerprint of %d bytes: %w", len(w.GetFingerprint()), ErrMalformed)
	}
	copy(c.Fingerprint[:], w.GetFingerprint())
	return c, nil
}
