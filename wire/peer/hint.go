package peer

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"snipetally.example/coordination/spread"
)

// ErrMalformedRuns says that the runs of a hint are malformed.
const ErrMalformedRuns = errors.ConstError("malformed runs")

// maxLags bounds the number of members that a hint may speak of.
const maxLags = 1 << 16

// HintCodec encodes the hints that travel on probes.
type HintCodec struct{}

// Encode returns the bytes of a hint.
func (HintCodec) Encode(h spread.Hint) []byte {
	w := &HintWire{
		Revision: h.Revision,
		Fresh:    h.Fresh,
		Age:      uint64((h.Age + time.Millisecond - 1) / time.Millisecond),
		Roster:   h.RosterHash,
		Base:     h.Base,
	}
	if runs := runsOf(h.Lags); len(runs) < len(h.Lags) {
		w.Runs = runs
	} else {
		w.Lags = h.Lags
	}
	raw, err := proto.Marshal(w)
	if err != nil {
		// A message of numbers and bytes always encodes.
		panic(fmt.Sprintf("peer: encode hint: %v", err))
	}
	return raw
}

// Decode returns the hint of the bytes.
func (HintCodec) Decode(raw []byte) (spread.Hint, error) {
	w := &HintWire{}
	if err := proto.Unmarshal(raw, w); err != nil {
		return spread.Hint{}, fmt.Errorf("decode hint: %w", err)
	}
	h := spread.Hint{
		Revision:   w.GetRevision(),
		Fresh:      w.GetFresh(),
		Age:        time.Duration(w.GetAge()) * time.Millisecond,
		RosterHash: w.GetRoster(),
		Base:       w.GetBase(),
		Lags:       w.GetLags(),
	}
	if len(w.GetRuns()) == 0 {
		return h, nil
	}
	lags, err := lagsOf(w.GetRuns())
	if err != nil {
		return spread.Hint{}, fmt.Errorf("decode hint: %w", err)
	}
	h.Lags = lags
	return h, nil
}

// runsOf encodes runs of equal bytes, each as a count and the byte.
func runsOf(lags []byte) []byte {
	var runs []byte
	for i := 0; i < len(lags); {
		j := i
		for j < len(lags) && lags[j] == lags[i] {
			j++
		}
		runs = binary.AppendUvarint(runs, uint64(j-i))
		runs = append(runs, lags[i])
		i = j
	}
	return runs
}

// lagsOf decodes runs.
func lagsOf(runs []byte) ([]byte, error) {
	var lags []byte
	for len(runs) > 0 {
		count, n := binary.Uvarint(runs)
		if n <= 0 || n >= len(runs) || count > uint64(maxLags-len(lags)) {
			return nil, ErrMalformedRuns
		}
		for range count {
			lags = append(lags, runs[n])
		}
		runs = runs[n+1:]
	}
	return lags, nil
}
