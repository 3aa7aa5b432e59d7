package record

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"snipetally.example/coordination/record/internal/wire"
)

// marshal encodes a message. It can't fail for the messages of this package,
// because the callers make all strings in them valid.
func marshal(message proto.Message) ([]byte, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("encode: %w", err)
	}
	return data, nil
}

// encodeRecord returns the stored form of a record.
func encodeRecord(s *storedRecord) ([]byte, error) {
	message := &wire.Record{
		Fingerprint: s.fingerprint[:],
		Attempt:     s.attempt,
		Vm:          s.vm,
		Incarnation: s.incarnation,
		Target:      s.target,
		Page:        s.page,
		At:          s.startedAt.UnixMilli(),
	}
	if s.settled.State != OutcomeNone {
		message.Settled = toWire(s.attempt, &s.settled)
	}
	return marshal(message)
}

// decodeRecord reads the stored form of a record.
func decodeRecord(data []byte) (*storedRecord, error) {
	var message wire.Record
	if err := proto.Unmarshal(data, &message); err != nil {
		return nil, fmt.Errorf("decode record: %w", err)
	}
	s := &storedRecord{
		attempt:     message.GetAttempt(),
		vm:          message.GetVm(),
		incarnation: message.GetIncarnation(),
		target:      message.GetTarget(),
		page:        message.GetPage(),
		startedAt:   time.UnixMilli(message.GetAt()),
		settled:     fromWire(message.GetSettled()),
	}
	copy(s.fingerprint[:], message.GetFingerprint())
	return s, nil
}

// encodePage returns the stored form of a page with those outcomes for which
// include returns true.
func encodePage(attempts []string, outcomes map[string]*storedOutcome, include func(*storedOutcome) bool) ([]byte, error) {
	message := &wire.Page{}
	for _, attempt := range attempts {
		if o := outcomes[attempt]; o != nil && include(o) {
			message.Outcomes = append(message.Outcomes, toWire(attempt, o))
		}
	}
	return marshal(message)
}

// findOutcome returns the outcome of an attempt in the stored form of a page,
// or a zero outcome if the page does not have it.
func findOutcome(data []byte, attempt string) (storedOutcome, error) {
	var message wire.Page
	if err := proto.Unmarshal(data, &message); err != nil {
		return storedOutcome{}, fmt.Errorf("decode page: %w", err)
	}
	for _, o := range message.GetOutcomes() {
		if o.GetAttempt() == attempt {
			return fromWire(o), nil
		}
	}
	return storedOutcome{}, nil
}

// encodeBatch returns the stored form of one row of a window.
func encodeBatch(submissions []*submission) ([]byte, error) {
	message := &wire.Batch{}
	for _, s := range submissions {
		message.Slots = append(message.Slots, &wire.Slot{Name: s.entry.Slot, Record: s.entry.Value})
	}
	return marshal(message)
}

// decodeBatch reads the stored form of one row of a window.
func decodeBatch(data []byte) ([]*wire.Slot, error) {
	var message wire.Batch
	if err := proto.Unmarshal(data, &message); err != nil {
		return nil, fmt.Errorf("decode batch: %w", err)
	}
	return message.GetSlots(), nil
}

// toWire converts an outcome. The response is left out if it is stored as an
// object.
func toWire(attempt string, o *storedOutcome) *wire.Outcome {
	message := &wire.Outcome{
		Attempt: attempt,
		State:   uint32(o.State),
		Object:  o.object,
		Omitted: o.Omitted,
	}
	if o.Response != nil && o.object == "" {
		message.Answer = responseToWire(o.Response)
	}
	return message
}

// fromWire converts an outcome, which may be nil.
func fromWire(message *wire.Outcome) storedOutcome {
	o := storedOutcome{object: message.GetObject()}
	o.State = OutcomeState(message.GetState())
	o.Omitted = message.GetOmitted()
	if message.GetAnswer() != nil {
		o.Response = responseFromWire(message.GetAnswer())
	}
	return o
}

// responseToWire converts a response.
func responseToWire(response *Response) *wire.Answer {
	message := &wire.Answer{Status: int32(response.Status), Body: response.Body}
	for _, field := range response.Header {
		message.Header = append(message.Header, &wire.Field{Name: field.Name, Value: field.Value})
	}
	return message
}

// responseFromWire converts a response.
func responseFromWire(message *wire.Answer) *Response {
	response := &Response{Status: int(message.GetStatus()), Body: message.GetBody()}
	for _, field := range message.GetHeader() {
		response.Header = append(response.Header, HeaderField{Name: field.GetName(), Value: field.GetValue()})
	}
	return response
}

// encodeResponse returns the content of the object that holds a large response.
func encodeResponse(response *Response) ([]byte, error) {
	return marshal(responseToWire(response))
}

// decodeResponse reads the object of a large response.
func decodeResponse(data []byte) (*Response, error) {
	var message wire.Answer
	if err := proto.Unmarshal(data, &message); err != nil {
		return nil, fmt.Errorf("decode response: %w", err)
	}
	return responseFromWire(&message), nil
}
