package notice

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"snipetally.example/router/internal/placement"
)

// message is the content of a datagram.
type message struct {
	Note  placement.LoadReport
	Known []netip.AddrPort

	// Age is how old the sender's plan may be, negative while it has none.
	Age time.Duration
}

// wireMessage is a message on the wire. Arrays in place of maps keep it small.
type wireMessage struct {
	_       struct{} `cbor:",toarray"`
	Loads   []wireLoad
	Demands []wireDemand
	Known   [][]byte

	// Uses holds pairs of a session and a server.
	Uses []uint32

	// AgeMS is the age of the plan in milliseconds.
	AgeMS int64
}

// wireLoad is a server's load on the wire.
type wireLoad struct {
	_       struct{} `cbor:",toarray"`
	Server  uint32
	Running int
	Held    int
	Failing float32

	// Reading holds pairs of a rank and the prompt tokens that wait.
	Reading []int
}

// wireDemand is a service's demand on the wire.
type wireDemand struct {
	_       struct{} `cbor:",toarray"`
	Service uint32
	Flow    float32
	Speed   float32
	Samples int

	// Apart and Mixed hold the servers that a group keeps busy with reading
	// and with holding slots.
	Apart [2]float32
	Mixed [2]float32

	// Drawn and Servers are the border between the groups.
	Drawn   int
	Servers int
}

// encode maps a message to bytes.
func encode(m message) ([]byte, error) {
	w := wireMessage{AgeMS: m.Age.Milliseconds()}
	for _, l := range m.Note.Loads {
		w.Loads = append(w.Loads, wireLoad{
			Server: l.Server, Running: l.Running, Held: l.ReservedTokens, Failing: float32(l.FailureRate),
			Reading: encodeReading(l.Queued),
		})
	}
	for _, d := range m.Note.Demands {
		w.Demands = append(w.Demands, wireDemand{
			Service: d.Service, Flow: float32(d.TokenRate), Speed: float32(d.PrefillSpeed), Samples: d.Samples,
			Apart: encodeDemand(d.Urgent), Mixed: encodeDemand(d.Patient),
			Drawn: d.UrgentServers, Servers: d.Servers,
		})
	}
	for _, u := range m.Note.Uses {
		w.Uses = append(w.Uses, u.Session, u.Server)
	}
	for _, address := range m.Known {
		data, err := address.MarshalBinary()
		if err != nil {
			return nil, fmt.Errorf("encode address: %w", err)
		}
		w.Known = append(w.Known, data)
	}
	data, err := cbor.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("encode message: %w", err)
	}
	return data, nil
}

// decode maps bytes to a message.
func decode(data []byte) (message, error) {
	var w wireMessage
	if err := cbor.Unmarshal(data, &w); err != nil {
		return message{}, fmt.Errorf("decode message: %w", err)
	}
	m := message{Age: time.Duration(w.AgeMS) * time.Millisecond}
	for _, l := range w.Loads {
		m.Note.Loads = append(m.Note.Loads, placement.ServerLoad{
			Server: l.Server,
			Load: placement.Load{
				Queued: decodeReading(l.Reading), Running: l.Running, ReservedTokens: l.Held, FailureRate: float64(l.Failing),
			},
		})
	}
	for _, d := range w.Demands {
		m.Note.Demands = append(m.Note.Demands, placement.ServiceDemand{
			Service: d.Service, TokenRate: float64(d.Flow), PrefillSpeed: float64(d.Speed), Samples: d.Samples,
			Urgent: decodeDemand(d.Apart), Patient: decodeDemand(d.Mixed),
			UrgentServers: d.Drawn, Servers: d.Servers,
		})
	}
	for i := 0; i+1 < len(w.Uses); i += 2 {
		m.Note.Uses = append(m.Note.Uses, placement.SessionUse{Session: w.Uses[i], Server: w.Uses[i+1]})
	}
	for _, data := range w.Known {
		var address netip.AddrPort
		if err := address.UnmarshalBinary(data); err != nil {
			return message{}, fmt.Errorf("decode address: %w", err)
		}
		m.Known = append(m.Known, address)
	}
	return m, nil
}

// encodeReading maps the prompts that wait to pairs of numbers.
func encodeReading(waiting []placement.QueuedTokens) []int {
	pairs := make([]int, 0, 2*len(waiting))
	for _, w := range waiting {
		pairs = append(pairs, w.Priority, w.Tokens)
	}
	return pairs
}

// decodeReading maps pairs of numbers to the prompts that wait. A rank without
// tokens is left out.
func decodeReading(pairs []int) []placement.QueuedTokens {
	waiting := make([]placement.QueuedTokens, 0, len(pairs)/2)
	for i := 0; i+1 < len(pairs); i += 2 {
		waiting = append(waiting, placement.QueuedTokens{Priority: pairs[i], Tokens: pairs[i+1]})
	}
	return waiting
}

// encodeDemand maps a demand to its two numbers.
func encodeDemand(d placement.GroupDemand) [2]float32 {
	return [2]float32{float32(d.Prefill), float32(d.Slots)}
}

// decodeDemand maps two numbers to a demand.
func decodeDemand(pair [2]float32) placement.GroupDemand {
	return placement.GroupDemand{Prefill: float64(pair[0]), Slots: float64(pair[1])}
}
