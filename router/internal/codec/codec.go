// Package codec encodes what routers tell each other. All of it goes through CBOR with the same
// rules: texts may hold any bytes, as headers of callers do, and one that is no UTF-8 must not make the
// rest of its message unreadable.
package codec

import (
	"fmt"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// decMode decodes messages.
var decMode = newDecMode()

// newDecMode returns the rules for decoding. It panics if they contradict each other.
func newDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Marshal returns the encoding of a value.
func Marshal(value any) ([]byte, error) {
	data, err := cbor.Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("encode as CBOR: %w", err)
	}
	return data, nil
}

// Unmarshal is the inverse of Marshal.
func Unmarshal(data []byte, value any) error {
	if err := decMode.Unmarshal(data, value); err != nil {
		return fmt.Errorf("decode CBOR: %w", err)
	}
	return nil
}

// Duration returns n units as a duration, from zero to a year. What routers tell each other lies within
// that, and nothing that is added to it overflows.
func Duration(n int64, unit time.Duration) time.Duration {
	const longest = 365 * 24 * time.Hour
	return time.Duration(min(max(n, 0), int64(longest/unit))) * unit
}

// MaxNumber bounds the numbers of a message that others add to sums and take off again: one that is infinite
// or far larger would spoil a sum for good.
const MaxNumber = 1e12

// IsNumber reports whether a number can be added to a sum.
func IsNumber(n float64) bool { return math.Abs(n) <= MaxNumber } // False for NaN, too.
