package loadreport

import (
	"fmt"
	"net/netip"
	"time"

	"snipetally.example/coordination/feed"
	"snipetally.example/router/internal/codec"
	"snipetally.example/router/internal/datagram"
	"snipetally.example/router/internal/placement"
)

// report is the content of a datagram. Peers are addresses of other routers
// that the sender knows. Without HasReport, only Proofs and PlanInForce are set.
type report struct {
	HasReport bool
	Report    placement.LoadReport
	Peers     []netip.AddrPort

	// PlanAge is the time since the sender's plan was last known to be the
	// newest. It is used only if HasPlan is set.
	PlanAge time.Duration
	HasPlan bool

	// PlanInForce is the version of the sender's plan, or zero.
	PlanInForce int64

	Proofs Proofs
	Reach  Reach
}

// wireReport is the wire format of a report. Structs are encoded as arrays
// instead of maps to keep it small.
type wireReport struct {
	_       struct{} `cbor:",toarray"`
	Loads   []wireLoad
	Demands []wireDemand
	Peers   [][]byte

	// SessionUses holds pairs of a session and a server.
	SessionUses []uint32

	// PlanAgeMS is the age of the plan in milliseconds, or noPlanAgeMS.
	PlanAgeMS int64

	Plan      wireProof
	Servers   wireProof
	HasReport bool

	// UnheardMS is the time in milliseconds since the sender heard a server, or
	// neverHeardMS.
	UnheardMS int64
	Closed    bool

	PlanInForce int64
}

// neverHeardMS stands for the time since a router heard a server that has not heard any.
const neverHeardMS = -1

// wireProof is the wire format of a proof. The clock is in milliseconds.
type wireProof struct {
	_       struct{} `cbor:",toarray"`
	Era     int64
	Changed int64
	Covered int64
	ClockMS int64
}

// noPlanAgeMS stands for the age of the plan of a router that has none.
const noPlanAgeMS = -1

// wireLoad is the wire format of a server's load.
type wireLoad struct {
	_              struct{} `cbor:",toarray"`
	Server         uint32
	Running        int
	ReservedTokens int
	FailureRate    float32

	// Queued holds pairs of a priority and the number of queued prompt tokens,
	// and Streams pairs of a tolerated pause in milliseconds and the number of
	// streams in progress that tolerate it.
	Queued  []int
	Streams []int64
}

// wireDemand is the wire format of a service's demand.
type wireDemand struct {
	_            struct{} `cbor:",toarray"`
	Service      uint32
	TokenRate    float32
	PrefillSpeed float32
	Samples      int

	// Short and Long are the demands of the two groups of requests, each as
	// the number of servers that it keeps busy with prefill and with held
	// slots.
	Short [2]float32
	Long  [2]float32

	// ShortServers is the number of the service's Servers that are reserved
	// for short prompts.
	ShortServers int
	Servers      int

	// ShortLength is the longest prompt that counts as short, in tokens, or
	// zero if all prompts are treated alike.
	ShortLength float32
}

// encode returns the encoding of a report. If it would not fit into a datagram, a part of the loads, demands or
// uses is left out, so that the sender is heard all the same.
func encode(m report) ([]byte, error) {
	w, err := newWireReport(m)
	if err != nil {
		return nil, err
	}
	for {
		data, err := codec.Marshal(w)
		if err != nil {
			return nil, fmt.Errorf("encode report: %w", err)
		}
		if len(data) <= datagram.MaxSize {
			return data, nil
		}
		if !w.shorten() {
			return nil, fmt.Errorf("encode report of %d bytes: %w", len(data), datagram.ErrTooLong)
		}
	}
}

// newWireReport returns the wire format of a report.
func newWireReport(m report) (wireReport, error) {
	w := wireReport{
		HasReport: m.HasReport, PlanAgeMS: noPlanAgeMS, PlanInForce: m.PlanInForce, Plan: encodeProof(m.Proofs.Plan), Servers: encodeProof(m.Proofs.Servers),
	}
	if m.HasPlan {
		w.PlanAgeMS = m.PlanAge.Milliseconds()
	}
	w.UnheardMS, w.Closed = neverHeardMS, m.Reach.Closed
	if m.Reach.Heard {
		w.UnheardMS = m.Reach.Unheard.Milliseconds()
	}
	w.Loads = encodeLoads(m.Report.Loads)
	for _, d := range m.Report.Demands {
		w.Demands = append(w.Demands, wireDemand{
			Service: d.Service, TokenRate: float32(d.TokenRate), PrefillSpeed: float32(d.PrefillSpeed), Samples: d.Samples,
			Short: encodeDemand(d.Short), Long: encodeDemand(d.Long),
			ShortServers: d.ShortServers, Servers: d.Servers, ShortLength: float32(d.ShortLength),
		})
	}
	for _, u := range m.Report.Uses {
		w.SessionUses = append(w.SessionUses, u.Session, u.Server)
	}
	for _, address := range m.Peers {
		data, err := address.MarshalBinary()
		if err != nil {
			return wireReport{}, fmt.Errorf("encode address: %w", err)
		}
		w.Peers = append(w.Peers, data)
	}
	return w, nil
}

// Approximate lengths of the parts of a report on the wire, in bytes.
const (
	loadBytes   = 30
	demandBytes = 60
	useBytes    = 10
)

// shorten halves the longest list of a report. What is lost of it is drawn anew in the next report, as the lists
// are in no order but for the uses, of which the last ones are kept. It returns false if all are empty.
func (w *wireReport) shorten() bool {
	loads, demands, uses := len(w.Loads)*loadBytes, len(w.Demands)*demandBytes, len(w.SessionUses)/2*useBytes
	switch longest := max(loads, demands, uses); longest {
	case 0:
		return false
	case uses:
		drop := (len(w.SessionUses)/2 + 1) / 2
		w.SessionUses = w.SessionUses[2*drop:]
	case loads:
		w.Loads = w.Loads[:len(w.Loads)/2]
	default:
		w.Demands = w.Demands[:len(w.Demands)/2]
	}
	return true
}

// decode is the inverse of encode, but for the precision of numbers. Loads, demands and addresses that are not
// valid are left out; the rest holds.
func decode(data []byte) (report, error) {
	var w wireReport
	if err := codec.Unmarshal(data, &w); err != nil {
		return report{}, fmt.Errorf("decode report: %w", err)
	}
	m := report{HasReport: w.HasReport, PlanAge: codec.Duration(w.PlanAgeMS, time.Millisecond), HasPlan: w.PlanAgeMS >= 0}
	m.PlanInForce = w.PlanInForce
	m.Reach = Reach{Heard: w.UnheardMS >= 0, Unheard: codec.Duration(w.UnheardMS, time.Millisecond), Closed: w.Closed}
	m.Proofs = Proofs{Plan: decodeProof(w.Plan), Servers: decodeProof(w.Servers)}
	m.Report.Loads = decodeLoads(w.Loads)
	for _, d := range w.Demands {
		if !d.isValid() {
			continue
		}
		m.Report.Demands = append(m.Report.Demands, placement.ServiceDemand{
			Service: d.Service, TokenRate: float64(d.TokenRate), PrefillSpeed: float64(d.PrefillSpeed), Samples: d.Samples,
			Short: decodeDemand(d.Short), Long: decodeDemand(d.Long),
			ShortServers: d.ShortServers, Servers: d.Servers, ShortLength: float64(d.ShortLength),
		})
	}
	for i := 0; i+1 < len(w.SessionUses); i += 2 {
		m.Report.Uses = append(m.Report.Uses, placement.SessionUse{Session: w.SessionUses[i], Server: w.SessionUses[i+1]})
	}
	for _, data := range w.Peers {
		var address netip.AddrPort
		if err := address.UnmarshalBinary(data); err != nil || !address.IsValid() {
			continue
		}
		m.Peers = append(m.Peers, address)
	}
	return m, nil
}

// isValid reports whether a demand can be added to sums and adopted.
func (d *wireDemand) isValid() bool {
	for _, n := range []float32{d.TokenRate, d.PrefillSpeed, d.ShortLength, d.Short[0], d.Short[1], d.Long[0], d.Long[1]} {
		if !codec.IsNumber(float64(n)) {
			return false
		}
	}
	return d.PrefillSpeed > 0 && d.Samples >= 0 && d.ShortServers >= 0 && d.ShortServers <= d.Servers
}

// maxPairs bounds the pairs of a list of a load.
const maxPairs = 64

// isValid reports whether a load can be added to sums.
func (l *wireLoad) isValid() bool {
	if !codec.IsNumber(float64(l.FailureRate)) || !isCount(l.Running) || !isCount(l.ReservedTokens) {
		return false
	}
	for _, n := range l.Queued {
		if !isCount(n) {
			return false
		}
	}
	for _, n := range l.Streams {
		if !isCount(n) {
			return false
		}
	}
	return len(l.Queued) <= 2*maxPairs && len(l.Streams) <= 2*maxPairs
}

// isCount reports whether a number is zero or more and can be added to a sum.
func isCount[N int | int64](n N) bool { return n >= 0 && float64(n) <= codec.MaxNumber }

// encodeProof returns the wire format of a proof.
func encodeProof(p feed.Proof) wireProof {
	return wireProof{Era: p.Era, Changed: p.Changed, Covered: p.Covered, ClockMS: p.Clock.Milliseconds()}
}

// decodeProof is the inverse of encodeProof. The clock is rounded down, which a
// proof allows.
func decodeProof(w wireProof) feed.Proof {
	return feed.Proof{Era: w.Era, Changed: w.Changed, Covered: w.Covered, Clock: time.Duration(w.ClockMS) * time.Millisecond}
}

// encodeLoads returns the wire format of loads.
func encodeLoads(loads []placement.ServerLoad) []wireLoad {
	var wire []wireLoad
	for _, l := range loads {
		wire = append(wire, wireLoad{
			Server: l.Server, Running: l.Running, ReservedTokens: l.ReservedTokens, FailureRate: float32(l.FailureRate),
			Queued: encodeQueued(l.Queued), Streams: encodeStreams(l.Streams),
		})
	}
	return wire
}

// decodeLoads is the inverse of encodeLoads, but for the precision of numbers. Loads that are not valid are left
// out.
func decodeLoads(wire []wireLoad) []placement.ServerLoad {
	var loads []placement.ServerLoad
	for _, l := range wire {
		if !l.isValid() {
			continue
		}
		loads = append(loads, placement.ServerLoad{
			Server: l.Server,
			Load: placement.Load{
				Queued: decodeQueued(l.Queued), Running: l.Running, Streams: decodeStreams(l.Streams),
				ReservedTokens: l.ReservedTokens, FailureRate: float64(l.FailureRate),
			},
		})
	}
	return loads
}

// encodeQueued returns pairs of a priority and its queued prompt tokens.
func encodeQueued(queued []placement.QueuedTokens) []int {
	pairs := make([]int, 0, 2*len(queued))
	for _, q := range queued[:min(len(queued), maxPairs)] {
		pairs = append(pairs, q.Priority, q.Tokens)
	}
	return pairs
}

// decodeQueued is the inverse of encodeQueued. An incomplete pair at the end is
// ignored.
func decodeQueued(pairs []int) []placement.QueuedTokens {
	queued := make([]placement.QueuedTokens, 0, len(pairs)/2)
	for i := 0; i+1 < len(pairs); i += 2 {
		queued = append(queued, placement.QueuedTokens{Priority: pairs[i], Tokens: pairs[i+1]})
	}
	return queued
}

// encodeStreams returns pairs of a tolerated pause in milliseconds and the
// number of streams.
func encodeStreams(counts []placement.StreamCount) []int64 {
	pairs := make([]int64, 0, 2*len(counts))
	for _, c := range counts[:min(len(counts), maxPairs)] {
		pairs = append(pairs, c.Gap.Milliseconds(), int64(c.Streams))
	}
	return pairs
}

// decodeStreams is the inverse of encodeStreams. An incomplete pair at the end
// is ignored.
func decodeStreams(pairs []int64) []placement.StreamCount {
	var counts []placement.StreamCount
	for i := 0; i+1 < len(pairs); i += 2 {
		counts = append(counts, placement.StreamCount{Gap: codec.Duration(pairs[i], time.Millisecond), Streams: int(pairs[i+1])})
	}
	return counts
}

// encodeDemand returns a group's demand as a pair of numbers.
func encodeDemand(d placement.GroupDemand) [2]float32 {
	return [2]float32{float32(d.Prefill), float32(d.Slots)}
}

// decodeDemand is the inverse of encodeDemand.
func decodeDemand(pair [2]float32) placement.GroupDemand {
	return placement.GroupDemand{Prefill: float64(pair[0]), Slots: float64(pair[1])}
}
