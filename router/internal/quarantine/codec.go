package quarantine

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"snipetally.example/router/internal/codec"
)

// message is the content of a datagram between routers.
type message struct {
	// Crashes are crashes that the sender saw, Sound the sound starts there of requests
	// with suspect parts and the sound ends of suspect requests, and Verdicts some
	// verdicts that it knows.
	Crashes  []Crash
	Sound    map[Key]int
	Verdicts []Verdict

	// Asked are suspect requests of which a copy came that is left to their homes.
	Asked []Key

	// Ask asks for all verdicts of the receiver. Answer marks the last message of the
	// answer.
	Ask    bool
	Answer bool
}

// wireMessage is the wire format of a message. Structs are encoded as arrays instead of
// maps to keep it small.
type wireMessage struct {
	_        struct{} `cbor:",toarray"`
	Crashes  []wireCrash
	Sound    []wireSound
	Verdicts []wireVerdict
	Ask      bool
	Answer   bool
	Asked    []wireSound
}

// wireCrash is the wire format of a crash.
type wireCrash struct {
	_      struct{} `cbor:",toarray"`
	Engine uint64
	Runs   []wireRun
}

// wireRun is the wire format of a run.
type wireRun struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Model   string
	Session uint64
	Parts   []uint64
	Request []byte
	Started bool
}

// wireSound is the wire format of the sound starts of requests with a part, or of the
// sound ends of a request, or of its key alone.
type wireSound struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Model   string
	Part    uint64
	Request []byte
	Count   int
}

// wireVerdict is the wire format of a verdict. Times are in milliseconds since the Unix
// epoch.
type wireVerdict struct {
	_           struct{} `cbor:",toarray"`
	Service     string
	Model       string
	Parts       []uint64
	Epoch       uint32
	Lifted      bool
	Probation   bool
	DecidedAtMS int64
	UntilMS     int64
	DecidedBy   string
	Engines     int
	Requests    int
	Saved       bool
	Request     []byte
}

// encode returns the CBOR encoding of a message.
func encode(m message) ([]byte, error) {
	w := wireMessage{Ask: m.Ask, Answer: m.Answer}
	for _, c := range m.Crashes {
		crash := wireCrash{Engine: c.Engine}
		for _, r := range c.Runs {
			crash.Runs = append(crash.Runs, wireRun{
				Service: r.Scope.Service, Model: r.Scope.Model, Session: r.Session, Parts: r.Parts,
				Request: r.Request.bytes(), Started: r.Started,
			})
		}
		w.Crashes = append(w.Crashes, crash)
	}
	for key, n := range m.Sound {
		w.Sound = append(w.Sound, encodeSound(key, n))
	}
	for _, key := range m.Asked {
		w.Asked = append(w.Asked, encodeSound(key, 0))
	}
	for i := range m.Verdicts {
		w.Verdicts = append(w.Verdicts, encodeVerdict(&m.Verdicts[i]))
	}
	data, err := codec.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("encode message: %w", err)
	}
	return data, nil
}

// decode is the inverse of encode.
func decode(data []byte) (message, error) {
	var w wireMessage
	if err := codec.Unmarshal(data, &w); err != nil {
		return message{}, fmt.Errorf("decode message: %w", err)
	}
	m := message{Ask: w.Ask, Answer: w.Answer, Sound: make(map[Key]int, len(w.Sound))}
	for _, c := range w.Crashes {
		crash := Crash{Engine: c.Engine}
		for _, r := range c.Runs {
			crash.Runs = append(crash.Runs, Run{
				Scope: Scope{Service: r.Service, Model: r.Model}, Session: r.Session, Parts: r.Parts,
				Request: digestFrom(r.Request), Started: r.Started,
			})
		}
		m.Crashes = append(m.Crashes, crash)
	}
	for _, s := range w.Sound {
		m.Sound[s.key()] += s.Count
	}
	for _, s := range w.Asked {
		m.Asked = append(m.Asked, s.key())
	}
	for i := range w.Verdicts {
		m.Verdicts = append(m.Verdicts, decodeVerdict(&w.Verdicts[i]))
	}
	return m, nil
}

// split returns two messages that say together what a message says, and false if it says one thing only.
func (m message) split() (first, second message, ok bool) {
	first, second = m, message{}
	switch {
	case len(m.Crashes) > 1:
		half := len(m.Crashes) / 2
		first.Crashes, second.Crashes = m.Crashes[:half], m.Crashes[half:]
	case len(m.Crashes) == 1 && len(m.Crashes[0].Runs) > 1:
		crash := m.Crashes[0]
		half := len(crash.Runs) / 2
		first.Crashes = []Crash{{Engine: crash.Engine, Runs: crash.Runs[:half]}}
		second.Crashes = []Crash{{Engine: crash.Engine, Runs: crash.Runs[half:]}}
	case len(m.Sound) > 1:
		first.Sound, second.Sound = make(map[Key]int), make(map[Key]int)
		for key, n := range m.Sound {
			if len(first.Sound) < len(m.Sound)/2 {
				first.Sound[key] = n
			} else {
				second.Sound[key] = n
			}
		}
	case len(m.Verdicts) > 1:
		half := len(m.Verdicts) / 2
		first.Verdicts, second.Verdicts = m.Verdicts[:half], m.Verdicts[half:]
	case len(m.Asked) > 1:
		half := len(m.Asked) / 2
		first.Asked, second.Asked = m.Asked[:half], m.Asked[half:]
	default:
		return m, message{}, false
	}
	return first, second, true
}

// encodeSound returns the wire format of a key and a number of sound starts or ends.
func encodeSound(key Key, count int) wireSound {
	return wireSound{Service: key.Scope.Service, Model: key.Scope.Model, Part: key.Part, Request: key.Request.bytes(), Count: count}
}

// key returns the key.
func (s *wireSound) key() Key {
	return Key{Scope: Scope{Service: s.Service, Model: s.Model}, Part: s.Part, Request: digestFrom(s.Request)}
}

// encodeVerdict returns the wire format of a verdict.
func encodeVerdict(v *Verdict) wireVerdict {
	return wireVerdict{
		Service: v.Scope.Service, Model: v.Scope.Model, Parts: v.Parts, Epoch: v.Epoch, Lifted: v.Lifted, Probation: v.Probation,
		DecidedAtMS: v.DecidedAt.UnixMilli(), UntilMS: v.Until.UnixMilli(), DecidedBy: v.DecidedBy,
		Engines: v.Engines, Requests: v.Requests, Saved: v.Saved, Request: v.Request.bytes(),
	}
}

// decodeVerdict is the inverse of encodeVerdict.
func decodeVerdict(w *wireVerdict) Verdict {
	return Verdict{
		Scope: Scope{Service: w.Service, Model: w.Model}, Parts: w.Parts, Epoch: w.Epoch, Lifted: w.Lifted, Probation: w.Probation,
		DecidedAt: time.UnixMilli(w.DecidedAtMS), Until: time.UnixMilli(w.UntilMS), DecidedBy: w.DecidedBy,
		Engines: w.Engines, Requests: w.Requests, Saved: w.Saved, Request: digestFrom(w.Request),
	}
}

// EncodeRow returns the key of a verdict's row in a store, and the row's value. Each
// epoch has a row of its own, so that a write that takes effect late replaces nothing
// newer.
func EncodeRow(v Verdict) (key string, value []byte, err error) {
	value, err = codec.Marshal(encodeVerdict(&v))
	if err != nil {
		return "", nil, fmt.Errorf("encode verdict: %w", err)
	}
	return rowKey(&v, v.Epoch), value, nil
}

// PreviousRow returns the key of the row of a verdict's last epoch, or an empty string if
// this is the first one.
func PreviousRow(v Verdict) string {
	if v.Epoch <= 1 {
		return ""
	}
	return rowKey(&v, v.Epoch-1)
}

// verdictFields is the number of fields of a wireVerdict.
const verdictFields = 13

// padVerdict adds the fields that a row lacks which a router of an older version wrote.
func padVerdict(row []byte) ([]byte, error) {
	var fields []cbor.RawMessage
	if err := codec.Unmarshal(row, &fields); err != nil {
		return nil, err //nolint:wrapcheck // DecodeRow wraps it.
	}
	for len(fields) < verdictFields {
		fields = append(fields, cborNull)
	}
	return codec.Marshal(fields) //nolint:wrapcheck // As above.
}

// cborNull is the encoding of null.
var cborNull = cbor.RawMessage{0xf6}

// DecodeRow is the inverse of EncodeRow for the value of a row.
func DecodeRow(value []byte) (Verdict, error) {
	var w wireVerdict
	value, err := padVerdict(value)
	if err != nil {
		return Verdict{}, fmt.Errorf("decode verdict: %w", err)
	}
	if err := codec.Unmarshal(value, &w); err != nil {
		return Verdict{}, fmt.Errorf("decode verdict: %w", err)
	}
	v := decodeVerdict(&w)
	v.Saved = true
	return v, nil
}
