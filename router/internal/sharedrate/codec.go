package sharedrate

import (
	"fmt"
	"math"
	"time"

	"snipetally.example/router/internal/codec"
)

// keyedStatement is a statement on a rate.
type keyedStatement struct {
	Key Key
	Statement
}

// ask asks the home of a rate for a permit. Its statement is the one that the asker knows.
type ask struct {
	Number    uint32
	Key       Key
	Statement Statement
	Level     Level

	// Want is the number of permits that the asker needs, one at least.
	Want int
}

// answer answers a question, with the statement that the home knows.
type answer struct {
	Number    uint32
	Key       Key
	Statement Statement

	// Permits is the number of permits that are given, at most those that were asked for.
	Permits int

	// Wait and Level are those of a denial. Unreachable says that there is no answer; it
	// is not sent.
	Wait        time.Duration
	Level       Level
	Unreachable bool
}

// syncStep is what a message says about the start of a router.
type syncStep uint8

const (
	// syncAsk asks for all statements, and syncAnswer marks the last message of the
	// answer. syncNothing answers that the sender waits for statements itself.
	syncAsk     syncStep = 1
	syncAnswer  syncStep = 2
	syncNothing syncStep = 3
)

// message is the content of a datagram. A question or an answer with the number zero is
// none.
type message struct {
	// sentAt is the time on the sender's clock, by which statements are given an age.
	sentAt     time.Duration
	Statements []keyedStatement
	Ask        ask
	Answer     answer
	Sync       syncStep

	// Routers is the number of routers to reckon with, in a syncAnswer.
	Routers int
}

// wireMessage is the wire format of a message. Structs are encoded as arrays instead of
// maps to keep it small.
type wireMessage struct {
	_          struct{} `cbor:",toarray"`
	Statements []wireStatement
	Ask        *wireAsk
	Answer     *wireAnswer
	Sync       uint8
	Routers    int
}

// wireStatement is the wire format of a statement. The age is in microseconds.
type wireStatement struct {
	_         struct{} `cbor:",toarray"`
	Key       uint64
	Limited   bool
	PerSecond float64
	AgeUS     int64
	Leaving   bool
}

// wireAsk is the wire format of a question. The level is in 255ths.
type wireAsk struct {
	_         struct{} `cbor:",toarray"`
	Number    uint32
	Statement wireStatement
	Level     uint8
	Want      int
}

// wireAnswer is the wire format of an answer. The wait is in microseconds.
type wireAnswer struct {
	_         struct{} `cbor:",toarray"`
	Number    uint32
	Statement wireStatement
	Permits   int
	WaitUS    int64
	Level     uint8
}

// maxPermits bounds the permits of a question or an answer. It is far more than a router needs at a time.
const maxPermits = 1 << 20

// levels is the number of steps between the first and the last level on the wire.
const levels = math.MaxUint8

// encode returns the CBOR encoding of a message.
func encode(m message) ([]byte, error) {
	w := wireMessage{Sync: uint8(m.Sync), Routers: m.Routers}
	for _, s := range m.Statements {
		w.Statements = append(w.Statements, encodeStatement(m.sentAt, s.Key, s.Statement))
	}
	if m.Ask.Number != 0 {
		w.Ask = &wireAsk{
			Number: m.Ask.Number, Statement: encodeStatement(m.sentAt, m.Ask.Key, m.Ask.Statement), Level: encodeLevel(m.Ask.Level),
			Want: m.Ask.Want,
		}
	}
	if m.Answer.Number != 0 {
		w.Answer = &wireAnswer{
			Number: m.Answer.Number, Statement: encodeStatement(m.sentAt, m.Answer.Key, m.Answer.Statement),
			Permits: m.Answer.Permits, WaitUS: m.Answer.Wait.Microseconds(), Level: encodeLevel(m.Answer.Level),
		}
	}
	data, err := codec.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("encode message: %w", err)
	}
	return data, nil
}

// decode is the inverse of encode at a time on the receiver's clock, but for the time that
// the message took. Statements that are not valid, and questions and answers with one, are left
// out; the rest holds.
func decode(now time.Duration, data []byte) (message, error) {
	var w wireMessage
	if err := codec.Unmarshal(data, &w); err != nil {
		return message{}, fmt.Errorf("decode message: %w", err)
	}
	m := message{sentAt: now, Sync: syncStep(w.Sync), Routers: w.Routers}
	for _, s := range w.Statements {
		if statement, ok := decodeStatement(now, s); ok {
			m.Statements = append(m.Statements, keyedStatement{Key: Key(s.Key), Statement: statement})
		}
	}
	if w.Ask != nil {
		if statement, ok := decodeStatement(now, w.Ask.Statement); ok {
			m.Ask = ask{
				Number: w.Ask.Number, Key: Key(w.Ask.Statement.Key), Statement: statement, Level: decodeLevel(w.Ask.Level),
				Want: min(max(w.Ask.Want, 1), maxPermits),
			}
		}
	}
	if w.Answer != nil {
		if statement, ok := decodeStatement(now, w.Answer.Statement); ok {
			m.Answer = answer{
				Number: w.Answer.Number, Key: Key(w.Answer.Statement.Key), Statement: statement, Permits: min(max(w.Answer.Permits, 0), maxPermits),
				Wait: codec.Duration(w.Answer.WaitUS, time.Microsecond), Level: decodeLevel(w.Answer.Level),
			}
		}
	}
	return m, nil
}

// encodeStatement returns the wire format of a statement at a time.
func encodeStatement(now time.Duration, key Key, s Statement) wireStatement {
	return wireStatement{
		Key: uint64(key), Limited: s.Limited, PerSecond: min(s.PerSecond, codec.MaxNumber), AgeUS: max(now-s.At, 0).Microseconds(), Leaving: s.Leaving,
	}
}

// decodeStatement is the inverse of encodeStatement. It returns false if the statement is not valid.
func decodeStatement(now time.Duration, w wireStatement) (Statement, bool) {
	if w.PerSecond < 0 || !codec.IsNumber(w.PerSecond) || w.AgeUS < 0 {
		return Statement{}, false
	}
	return Statement{
		Limited: w.Limited, PerSecond: w.PerSecond, Leaving: w.Leaving, At: now - codec.Duration(w.AgeUS, time.Microsecond),
	}, true
}

// encodeLevel returns the wire format of a level.
func encodeLevel(l Level) uint8 { return uint8(min(max(l, 0), 1) * levels) }

// decodeLevel is the inverse of encodeLevel, but for its precision.
func decodeLevel(l uint8) Level { return Level(l) / levels }
