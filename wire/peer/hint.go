package peer

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"snipetally.example/coordination/spread"
)

// ErrMalformedRuns means that the run-length encoded lags of a hint are
// malformed or too long.
const ErrMalformedRuns = errors.ConstError("malformed runs")

// maxLags bounds the number of lags, one per member, that are decoded from a
// hint.
const maxLags = 1 << 16

// HintCodec encodes and decodes the hints that are carried by membership
// messages.
type HintCodec struct{}

// Encode encodes a hint. The age is rounded up to milliseconds, and the lags
// are run-length encoded if that is shorter.
func (HintCodec) Encode(h spread.Hint) []byte {
	w := &HintWire{
		Revision: h.Revision,
		Fresh:    h.Fresh,
		Age:      uint64((h.Age + time.Millisecond - 1) / time.Millisecond),
		Roster:   h.RosterHash,
		Base:     h.Base,
	}
	if runs := encodeRuns(h.Lags); len(runs) < len(h.Lags) {
		w.Runs = runs
	} else {
		w.Lags = h.Lags
	}
	raw, err := proto.Marshal(w)
	if err != nil {
		// Encoding cannot fail: the message holds only numbers and bytes.
		panic(fmt.Sprintf("peer: encode hint: %v", err))
	}
	return raw
}

// Decode decodes a hint. The error wraps ErrMalformedRuns if its runs are
// invalid.
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
	lags, err := decodeRuns(w.GetRuns())
	if err != nil {
		return spread.Hint{}, fmt.Errorf("decode hint: %w", err)
	}
	h.Lags = lags
	return h, nil
}

// encodeRuns run-length encodes lags: each run is its length as a varint and
// the byte.
func encodeRuns(lags []byte) []byte {
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

// decodeRuns decodes run-length encoded lags, up to maxLags of them.
func decodeRuns(runs []byte) ([]byte, error) {
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
