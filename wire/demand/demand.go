// Package demand is the protocol in which routers tell each other their demand:
// small datagrams that may be lost, each sealed with a key of the routers. It
// holds the generated messages and the sealing; the mapping from domain types
// stands beside those. It imports the protobuf library and the standard
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
	// sealBytes is the length of the seal that ends a datagram.
	sealBytes = 16

	// MaxDatagram bounds a datagram in bytes.
	MaxDatagram = 8 << 10
)

// ErrInvalidMAC says that a datagram was not sealed with a known key.
const ErrInvalidMAC = errors.ConstError("datagram without a known seal")

// Signer seals datagrams with the first of its keys and takes all of them, so
// that a key can be changed without a stop.
type Signer struct {
	keys [][]byte
}

// NewSigner returns a sealer.
func NewSigner(keys []string) *Signer {
	s := &Signer{}
	for _, key := range keys {
		s.keys = append(s.keys, []byte(key))
	}
	return s
}

// Sign returns the datagram of a packet.
func (s *Signer) Sign(p *Packet) ([]byte, error) {
	data, err := proto.Marshal(p)
	if err != nil {
		return nil, fmt.Errorf("encode packet: %w", err)
	}
	return append(data, seal(s.keys[0], data)...), nil
}

// Verify returns the packet of a datagram. The error wraps ErrSeal unless a known
// key sealed it.
func (s *Signer) Verify(datagram []byte) (*Packet, error) {
	if len(datagram) < sealBytes {
		return nil, fmt.Errorf("datagram of %d bytes: %w", len(datagram), ErrInvalidMAC)
	}
	data, mac := datagram[:len(datagram)-sealBytes], datagram[len(datagram)-sealBytes:]
	known := false
	for _, key := range s.keys {
		known = hmac.Equal(mac, seal(key, data)) || known
	}
	if !known {
		return nil, ErrInvalidMAC
	}
	p := &Packet{}
	if err := proto.Unmarshal(data, p); err != nil {
		return nil, fmt.Errorf("decode packet: %w", err)
	}
	return p, nil
}

func seal(key, data []byte) []byte {
	h := hmac.New(sha256.New, key)
	_, _ = h.Write(data)
	return h.Sum(nil)[:sealBytes]
}
