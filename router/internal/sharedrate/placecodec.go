package sharedrate

import (
	"fmt"
	"time"

	"snipetally.example/router/internal/codec"
)

// placesKind is the first byte of a message about places. It begins no other message, so that
// routers of versions that know nothing of places ignore it.
const placesKind = 0x50

// maxSlots bounds the number of slots of a server in a message, and maxPatience the time for which a
// request may wait.
const (
	maxSlots    = 1 << 20
	maxPatience = time.Minute
)

// placeAsk asks the home of a server for a place.
type placeAsk struct {
	Number    uint32
	Key       Key
	Slots     int
	Opened    bool
	Tolerated int
	Level     Level
	Patience  time.Duration
}

// placeState is what an answer says.
type placeState uint8

const (
	placeDenied placeState = iota
	placeQueued
	placeGranted
)

// placeAnswer answers a question. Wait is how long a request that is denied would have to wait.
type placeAnswer struct {
	Number uint32
	State  placeState
	Wait   time.Duration
}

// placeHold says that a request has a place, for Length from now on.
type placeHold struct {
	Key    Key
	Number uint32
	Length time.Duration
}

// placeRelease says that a request has left its place.
type placeRelease struct {
	Key    Key
	Number uint32
	Ending Ending
}

// placeMessage is the content of a datagram about places. Returns are the numbers of requests that no
// longer waited when a place was given to them. Started says that the sender's process has started.
type placeMessage struct {
	Started  bool
	Ask      placeAsk
	Answers  []placeAnswer
	Holds    []placeHold
	Releases []placeRelease
	Returns  []uint32
	Brittle  []keyedBrittleness
}

// wirePlaces is the wire format of a message about places.
type wirePlaces struct {
	_        struct{} `cbor:",toarray"`
	Started  bool
	Ask      *wirePlaceAsk
	Answers  []wirePlaceAnswer
	Holds    []wireHold
	Releases []wireRelease
	Returns  []uint32
	Brittle  []wireBrittleness
}

// wirePlaceAsk is the wire format of a question. The level is in 255ths, the patience in microseconds.
type wirePlaceAsk struct {
	_          struct{} `cbor:",toarray"`
	Number     uint32
	Key        uint64
	Slots      int
	Opened     bool
	Tolerated  int
	Level      uint8
	PatienceUS int64
}

// wirePlaceAnswer is the wire format of an answer. The wait is in microseconds.
type wirePlaceAnswer struct {
	_      struct{} `cbor:",toarray"`
	Number uint32
	State  uint8
	WaitUS int64
}

// wireHold is the wire format of a place that is taken. The length is in milliseconds.
type wireHold struct {
	_        struct{} `cbor:",toarray"`
	Key      uint64
	Number   uint32
	LengthMS int64
}

// wireRelease is the wire format of a place that is released.
type wireRelease struct {
	_      struct{} `cbor:",toarray"`
	Key    uint64
	Number uint32
	Ending uint8
}

// wireBrittleness is the wire format of a statement. The age is in microseconds.
type wireBrittleness struct {
	_         struct{} `cbor:",toarray"`
	Key       uint64
	Brittle   bool
	Tolerated int
	AgeUS     int64
}

// encodePlaces returns the encoding of a message at a time on the sender's clock.
func encodePlaces(now time.Duration, m placeMessage) ([]byte, error) {
	w := wirePlaces{Started: m.Started, Returns: m.Returns}
	if a := m.Ask; a.Number != 0 {
		w.Ask = &wirePlaceAsk{
			Number: a.Number, Key: uint64(a.Key), Slots: a.Slots, Opened: a.Opened, Tolerated: a.Tolerated, Level: encodeLevel(a.Level), PatienceUS: a.Patience.Microseconds(),
		}
	}
	for _, a := range m.Answers {
		w.Answers = append(w.Answers, wirePlaceAnswer{Number: a.Number, State: uint8(a.State), WaitUS: a.Wait.Microseconds()})
	}
	for _, h := range m.Holds {
		w.Holds = append(w.Holds, wireHold{Key: uint64(h.Key), Number: h.Number, LengthMS: h.Length.Milliseconds()})
	}
	for _, r := range m.Releases {
		w.Releases = append(w.Releases, wireRelease{Key: uint64(r.Key), Number: r.Number, Ending: uint8(r.Ending)})
	}
	for _, b := range m.Brittle {
		w.Brittle = append(w.Brittle, wireBrittleness{
			Key: uint64(b.Key), Brittle: b.Brittle, Tolerated: b.Tolerated, AgeUS: max(now-b.At, 0).Microseconds(),
		})
	}
	data, err := codec.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("encode message about places: %w", err)
	}
	return append([]byte{placesKind}, data...), nil
}

// decodePlaces is the inverse of encodePlaces at a time on the receiver's clock, but for the time
// that the message took. Statements that are not valid are left out, and numbers are kept within bounds.
func decodePlaces(now time.Duration, data []byte) (placeMessage, error) {
	var w wirePlaces
	if err := codec.Unmarshal(data[1:], &w); err != nil {
		return placeMessage{}, fmt.Errorf("decode message about places: %w", err)
	}
	m := placeMessage{Started: w.Started, Returns: w.Returns}
	if a := w.Ask; a != nil {
		m.Ask = placeAsk{
			Number: a.Number, Key: Key(a.Key), Slots: min(max(a.Slots, 0), maxSlots), Opened: a.Opened, Tolerated: max(a.Tolerated, 0),
			Level: decodeLevel(a.Level), Patience: min(codec.Duration(a.PatienceUS, time.Microsecond), maxPatience),
		}
	}
	for _, a := range w.Answers {
		wait := time.Duration(min(max(a.WaitUS, 0), maxPatience.Microseconds())) * time.Microsecond
		m.Answers = append(m.Answers, placeAnswer{Number: a.Number, State: placeState(a.State), Wait: wait})
	}
	for _, h := range w.Holds {
		length := time.Duration(min(max(h.LengthMS, 0), maxLeaseTime.Milliseconds())) * time.Millisecond
		m.Holds = append(m.Holds, placeHold{Key: Key(h.Key), Number: h.Number, Length: length})
	}
	for _, r := range w.Releases {
		m.Releases = append(m.Releases, placeRelease{Key: Key(r.Key), Number: r.Number, Ending: Ending(r.Ending)})
	}
	for _, b := range w.Brittle {
		if b.Tolerated < 0 || b.AgeUS < 0 {
			continue
		}
		at := now - codec.Duration(b.AgeUS, time.Microsecond)
		m.Brittle = append(m.Brittle, keyedBrittleness{Key: Key(b.Key), Brittleness: Brittleness{Brittle: b.Brittle, Tolerated: b.Tolerated, At: at}})
	}
	return m, nil
}
