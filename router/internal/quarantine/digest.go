package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
)

// Digest identifies a request by its content, so that its copies have the same one at all
// routers. The zero digest identifies none. It is cryptographic: no caller can make a
// request with the digest of another team's request.
type Digest [16]byte

// NewDigest returns the digest of the fields of a request, in their order.
func NewDigest(fields ...[]byte) Digest {
	h := sha256.New()
	var length [8]byte
	for _, field := range fields {
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = h.Write(length[:]) // A hash returns no error.
		_, _ = h.Write(field)     // As above.
	}
	return Digest(h.Sum(nil)[:len(Digest{})])
}

// IsZero reports whether the digest identifies no request.
func (d Digest) IsZero() bool { return d == Digest{} }

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// parseDigest is the inverse of String.
func parseDigest(text string) (Digest, error) {
	data, err := hex.DecodeString(text)
	if err != nil {
		return Digest{}, fmt.Errorf("parse digest: %w", err)
	}
	return digestFrom(data), nil
}

// digestFrom returns the digest with these bytes, or the zero digest if their number is
// another one.
func digestFrom(data []byte) Digest {
	if len(data) != len(Digest{}) {
		return Digest{}
	}
	return Digest(data)
}

// bytes returns the bytes of the digest, or nil for the zero digest.
func (d Digest) bytes() []byte {
	if d.IsZero() {
		return nil
	}
	return d[:]
}
