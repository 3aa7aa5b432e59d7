package record

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"snipetally.example/coordination/record/internal/wire"
)

// marshal encodes a message that always can be encoded: all strings in it were
// made valid by the caller.
func marshal(message proto.Message) ([]byte, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("encode: %w", err)
	}
	return data, nil
}

// encodeRecord returns the stored form of a record.
func encodeRecord(s *stored) ([]byte, error) {
	message := &wire.Record{
		Fingerprint: s.fingerprint[:],
		Attempt:     s.attempt,
		Vm:          s.vm,
		Incarnation: s.incarnation,
		Target:      s.target,
		Page:        s.page,
		At:          s.at.UnixMilli(),
	}
	if s.settled.State != OutcomeNone {
		message.Settled = toWire(s.attempt, &s.settled)
	}
	return marshal(message)
}

// decodeRecord reads the stored form of a record.
func decodeRecord(data []byte) (*stored, error) {
	var message wire.Record
	if err := proto.Unmarshal(data, &message); err != nil {
		return nil, fmt.Errorf("decode record: %w", err)
	}
	s := &stored{
		attempt:     message.GetAttempt(),
		vm:          message.GetVm(),
		incarnation: message.GetIncarnation(),
		target:      message.GetTarget(),
		page:        message.GetPage(),
		at:          time.UnixMilli(message.GetAt()),
		settled:     fromWire(message.GetSettled()),
	}
	copy(s.fingerprint[:], message.GetFingerprint())
	return s, nil
}

// encodePage returns the stored form of a page of those outcomes that ready
// reports true for.
func encodePage(attempts []string, outcomes map[string]*outcome, ready func(*outcome) bool) ([]byte, error) {
	message := &wire.Page{}
	for _, attempt := range attempts {
		if o := outcomes[attempt]; o != nil && ready(o) {
			message.Outcomes = append(message.Outcomes, toWire(attempt, o))
		}
	}
	return marshal(message)
}

// findOutcome returns the outcome of an attempt in the stored form of a page.
func findOutcome(data []byte, attempt string) (outcome, error) {
	var message wire.Page
	if err := proto.Unmarshal(data, &message); err != nil {
		return outcome{}, fmt.Errorf("decode page: %w", err)
	}
	for _, o := range message.GetOutcomes() {
		if o.GetAttempt() == attempt {
			return fromWire(o), nil
		}
	}
	return outcome{}, nil
}

// encodeBatch returns the stored form of a row of a window.
func encodeBatch(members []*submission) ([]byte, error) {
	message := &wire.Batch{}
	for _, s := range members {
		message.Slots = append(message.Slots, &wire.Slot{Name: s.entry.Slot, Record: s.entry.Value})
	}
	return marshal(message)
}

// decodeBatch reads the stored form of a row of a window.
func decodeBatch(data []byte) ([]*wire.Slot, error) {
	var message wire.Batch
	if err := proto.Unmarshal(data, &message); err != nil {
		return nil, fmt.Errorf("decode batch: %w", err)
	}
	return message.GetSlots(), nil
}

// toWire maps an outcome. A large answer is left out if it has a reference.
func toWire(attempt string, o *outcome) *wire.Outcome {
	message := &wire.Outcome{
		Attempt: attempt,
		State:   uint32(o.State),
		Object:  o.object,
		Omitted: o.Omitted,
	}
	if o.Response != nil && o.object == "" {
		message.Answer = answerToWire(o.Response)
	}
	return message
}

// fromWire maps an outcome, which may be nil.
func fromWire(message *wire.Outcome) outcome {
	o := outcome{object: message.GetObject()}
	o.State = OutcomeState(message.GetState())
	o.Omitted = message.GetOmitted()
	if message.GetAnswer() != nil {
		o.Response = answerFromWire(message.GetAnswer())
	}
	return o
}

// answerToWire maps an answer.
func answerToWire(a *Response) *wire.Answer {
	message := &wire.Answer{Status: int32(a.Status), Body: a.Body}
	for _, field := range a.Header {
		message.Header = append(message.Header, &wire.Field{Name: field.Name, Value: field.Value})
	}
	return message
}

// answerFromWire maps an answer.
func answerFromWire(message *wire.Answer) *Response {
	a := &Response{Status: int(message.GetStatus()), Body: message.GetBody()}
	for _, field := range message.GetHeader() {
		a.Header = append(a.Header, HeaderField{Name: field.GetName(), Value: field.GetValue()})
	}
	return a
}

// encodeAnswer returns the object that holds a large answer.
func encodeAnswer(a *Response) ([]byte, error) {
	return marshal(answerToWire(a))
}

// decodeAnswer reads the object of a large answer.
func decodeAnswer(data []byte) (*Response, error) {
	var message wire.Answer
	if err := proto.Unmarshal(data, &message); err != nil {
		return nil, fmt.Errorf("decode answer: %w", err)
	}
	return answerFromWire(&message), nil
}
