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
	Note  placement.Note
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

	// AgeMS is the age of the plan in milliseconds.
	AgeMS int64
}

// wireLoad is a server's load on the wire.
type wireLoad struct {
	_       struct{} `cbor:",toarray"`
	Server  uint32
	Reading int
	Running int
	Held    int
	Failing float32
}

// wireDemand is a service's demand on the wire.
type wireDemand struct {
	_       struct{} `cbor:",toarray"`
	Service uint32
	Urgent  float32
	Patient float32
	Speed   float32
	Samples int
}

// encode maps a message to bytes.
func encode(m message) ([]byte, error) {
	w := wireMessage{AgeMS: m.Age.Milliseconds()}
	for _, l := range m.Note.Loads {
		w.Loads = append(w.Loads, wireLoad{
			Server: l.Server, Reading: l.Reading, Running: l.Running, Held: l.Held, Failing: float32(l.Failing),
		})
	}
	for _, d := range m.Note.Demands {
		w.Demands = append(w.Demands, wireDemand{
			Service: d.Service, Urgent: float32(d.Urgent), Patient: float32(d.Patient),
			Speed: float32(d.Speed), Samples: d.Samples,
		})
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
				Reading: l.Reading, Running: l.Running, Held: l.Held, Failing: float64(l.Failing),
			},
		})
	}
	for _, d := range w.Demands {
		m.Note.Demands = append(m.Note.Demands, placement.ServiceDemand{
			Service: d.Service, Urgent: float64(d.Urgent), Patient: float64(d.Patient),
			Speed: float64(d.Speed), Samples: d.Samples,
		})
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
