package record

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

const (
	// MaxKeyLength is the maximum length of an idempotency key in bytes.
	MaxKeyLength = 255

	rootPrefix   = "once/"
	timedPrefix  = rootPrefix + "t/"
	plainPrefix  = rootPrefix + "k/"
	pagePrefix   = rootPrefix + "p/"
	objectPrefix = rootPrefix + "o/"

	uuidLength       = 36
	uuidVersionIndex = 14
	hourDigits       = 8
)

// newIncarnation generates the name of an incarnation.
func newIncarnation() string {
	var raw [8]byte
	_, _ = rand.Read(raw[:]) // crypto/rand.Read never fails.
	return hex.EncodeToString(raw[:])
}

// KeyTime returns the time that a key carries. Keys that have the form of a
// version 7 UUID carry one; others do not.
func KeyTime(key string) (time.Time, bool) {
	if len(key) != uuidLength || key[uuidVersionIndex] != '7' {
		return time.Time{}, false
	}
	for _, i := range [...]int{8, 13, 18, 23} {
		if key[i] != '-' {
			return time.Time{}, false
		}
	}
	digits := strings.ReplaceAll(key, "-", "")
	if _, err := hex.DecodeString(digits); err != nil {
		return time.Time{}, false
	}
	millis, err := strconv.ParseInt(digits[:12], 16, 64)
	if err != nil {
		return time.Time{}, false
	}
	return time.UnixMilli(millis), true
}

// location is where the record of a call is stored.
type location struct {
	partner string

	// row is the key of a row that holds one record, or the prefix of the rows
	// of a window, which ends with a slash.
	row string

	// slot is the name of the record within a window.
	slot string
}

// locationOf returns the location of a call's record. Keys that carry a time
// share the window of their second, and their rows sort by that time, so that
// they can be removed once the key is refused for its age. Other keys have a
// row of their own, which is never removed.
func locationOf(call *Call) location {
	sum := sha256.New()
	_, _ = fmt.Fprintf(sum, "%d:%s%s", len(call.Team), call.Team, call.Key)
	slot := hex.EncodeToString(sum.Sum(nil)[:20])
	partner := sha256.Sum256([]byte(call.Partner))
	partnerHash := hex.EncodeToString(partner[:4])
	at, ok := KeyTime(call.Key)
	if !ok {
		return location{partner: call.Partner, row: plainPrefix + partnerHash + "/" + slot, slot: slot}
	}
	row := fmt.Sprintf("%s%s/%08x/%s/", timedPrefix, hourString(at), at.Unix(), partnerHash)
	return location{partner: call.Partner, row: row, slot: slot}
}

// name returns a string that is unique to the location.
func (l location) name() string {
	return l.row + l.slot
}

// isWindow reports whether a row is the prefix of a window.
func isWindow(row string) bool {
	return strings.HasSuffix(row, "/")
}

// hourString returns the hour of a time as hexadecimal digits that sort by
// time.
func hourString(at time.Time) string {
	return fmt.Sprintf("%0*x", hourDigits, at.Unix()/int64(time.Hour/time.Second))
}

// validate returns an error that satisfies errors.NotValid if a call can't be
// recorded.
func validate(call *Call, now time.Time, skew time.Duration) error {
	if len(call.Key) > MaxKeyLength {
		return fmt.Errorf("idempotency key of %d bytes: %w", len(call.Key), errors.NotValid)
	}
	if at, ok := KeyTime(call.Key); ok && at.After(now.Add(skew)) {
		return fmt.Errorf("idempotency key from the future: %w", errors.NotValid)
	}
	return nil
}

// expired reports whether the record of a key may have been removed. A record
// is removed at the earliest Retention after the hour of its key. A key is
// refused 2*skew earlier, so that it is refused by every clock before its
// record can be removed by any.
func expired(key string, now time.Time, retention, skew time.Duration) bool {
	at, ok := KeyTime(key)
	return ok && now.After(at.Add(retention-2*skew))
}
