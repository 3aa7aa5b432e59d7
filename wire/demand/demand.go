// Package demand is the protocol by which routers report their demand to each
// other: small datagrams that may be lost, each authenticated by an HMAC with a
// shared key of the routers. It holds the generated messages and the
// authentication; the conversion from domain types is done where those are
// defined. It imports the protobuf library, the error library and the standard
// library.
package demand

import (
	"crypto/hmac"
	"crypto/sha256"
	"fmt"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"
)

//go:generate protoc --go_out=. --go_opt=paths=source_relative demand.proto

const (
	// macBytes is the length of the truncated HMAC-SHA256 at the end of a
	// datagram.
	macBytes = 16

	// MaxDatagram is the largest size of a datagram in bytes.
	MaxDatagram = 8 << 10
)

// ErrInvalidMAC means that a datagram has no MAC of a known key.
const ErrInvalidMAC = errors.ConstError("datagram without a valid MAC")

// Signer signs datagrams with the first of its keys and accepts datagrams
// signed with any of them, so that keys can be rotated without downtime.
type Signer struct {
	keys [][]byte
}

// NewSigner returns a signer with the keys, of which there must be at least one
// to sign.
func NewSigner(keys []string) *Signer {
	s := &Signer{}
	for _, key := range keys {
		s.keys = append(s.keys, []byte(key))
	}
	return s
}

// Sign encodes a packet and returns it as a datagram with its MAC.
func (s *Signer) Sign(p *Packet) ([]byte, error) {
	data, err := proto.Marshal(p)
	if err != nil {
		return nil, fmt.Errorf("encode packet: %w", err)
	}
	return append(data, computeMAC(s.keys[0], data)...), nil
}

// Verify checks the MAC of a datagram and decodes its packet. The error wraps
// ErrInvalidMAC if no key matches.
func (s *Signer) Verify(datagram []byte) (*Packet, error) {
	if len(datagram) < macBytes {
		return nil, fmt.Errorf("datagram of %d bytes: %w", len(datagram), ErrInvalidMAC)
	}
	data, mac := datagram[:len(datagram)-macBytes], datagram[len(datagram)-macBytes:]
	valid := false
	for _, key := range s.keys {
		valid = hmac.Equal(mac, computeMAC(key, data)) || valid
	}
	if !valid {
		return nil, ErrInvalidMAC
	}
	p := &Packet{}
	if err := proto.Unmarshal(data, p); err != nil {
		return nil, fmt.Errorf("decode packet: %w", err)
	}
	return p, nil
}

// computeMAC returns the truncated HMAC-SHA256 of data.
func computeMAC(key, data []byte) []byte {
	h := hmac.New(sha256.New, key)
	_, _ = h.Write(data)
	return h.Sum(nil)[:macBytes]
}
