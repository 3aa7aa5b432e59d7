package quarantine

import (
	"encoding/binary"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// isRequest reports whether the key names a request.
func (k Key) isRequest() bool { return !k.Request.IsZero() }

// anywhere returns the key without its scope.
func (k Key) anywhere() Key { return Key{Part: k.Part, Request: k.Request} }

// crashWeight returns the step of the test for a crash.
func (k Key) crashWeight() int {
	if k.isRequest() {
		return requestCrashWeight
	}
	return partCrashWeight
}

// soundWeight returns the step of the test for a sound start or end.
func (k Key) soundWeight() int {
	if k.isRequest() {
		return requestSoundWeight
	}
	return partSoundWeight
}

// name returns the digest of the request, or the ID of the part, in hexadecimal.
func (k Key) name() string {
	if k.isRequest() {
		return k.Request.String()
	}
	return PartName(k.Part)
}

// hash returns a hash of the key that is the same at all routers.
func (k Key) hash() uint64 {
	b := binary.BigEndian.AppendUint64(nil, k.Part)
	if k.isRequest() {
		b = append(b, k.Request[:]...)
	}
	b = append(b, k.Scope.Service...)
	b = append(b, 0)
	return xxhash.Sum64(append(b, k.Scope.Model...))
}

// id identifies the request among those with the same parts.
func (r *Run) id() uint64 {
	if r.Request.IsZero() {
		return r.Session
	}
	return binary.BigEndian.Uint64(r.Request[:])
}

// partKeys returns the keys of the parts of the run.
func (r *Run) partKeys() []Key {
	keys := make([]Key, 0, len(r.Parts)+1)
	for _, part := range r.Parts[:min(len(r.Parts), MaxParts)] {
		keys = append(keys, Key{Scope: r.Scope, Part: part})
	}
	return keys
}

// requestKey returns the key of the request, and false if it isn't judged.
func (r *Run) requestKey() (Key, bool) {
	return Key{Scope: r.Scope, Request: r.Request}, !r.Request.IsZero()
}

// keys returns the keys of all that may be under a verdict.
func (r *Run) keys() []Key {
	keys := r.partKeys()
	if key, ok := r.requestKey(); ok {
		keys = append(keys, key)
	}
	return keys
}

// rowKey returns the key of the row of a verdict at an epoch.
func rowKey(v *Verdict, epoch uint32) string {
	var hash uint64
	for _, key := range v.keys() {
		hash = hash*31 + key.hash()
	}
	return fmt.Sprintf("%016x-%d", hash, epoch)
}

// ParseName parses what an operator names: the digest of a request or the ID of a part,
// in hexadecimal. The key has no scope.
func ParseName(name string) (Key, error) {
	if len(name) == len(Digest{}.String()) {
		digest, err := parseDigest(name)
		return Key{Request: digest}, err
	}
	part, err := strconv.ParseUint(name, 16, 64)
	if err != nil {
		return Key{}, fmt.Errorf("parse ID of prompt part: %w", err)
	}
	return Key{Part: part}, nil
}
